package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// home-prompt: one block of a prompt crashes each server that begins to write an answer on it.
// Requests with that block come on a route that one region serves. Soon after the fifth crash,
// they may no longer reach servers.

const (
	// homeRoute is the route that only one region serves.
	homeRoute = "home-digest"
	// poisonGap is the time between two requests with the block, poisonTime is for how long they
	// come, and tolerated the number that may reach servers later than stableWindow after the
	// fifth crash.
	poisonGap  = 250 * time.Millisecond
	poisonTime = 30 * time.Second
	tolerated  = 3
	// soundRate is the time between two sound requests on each of the two stream routes.
	soundRate = 50 * time.Millisecond
)

func runHomePrompt(f *fleet, trouble bool) (broken bool, err error) {
	c := newCallers(f)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var turn atomic.Int64
	send := func(kind, route, blocks string, n int64) {
		c.send(f.vms[int(turn.Add(1))%len(f.vms)], kind, route, fmt.Sprintf("%s-%d", kind, n), blocks)
	}
	for _, route := range []string{homeRoute, "season-digest"} {
		c.every(ctx, soundRate, func(n int64) { send("sound", route, firstBlock+":198", n) })
	}
	time.Sleep(4 * time.Second)
	if trouble {
		c.every(ctx, poisonGap, func(n int64) { send("deadly", homeRoute, firstBlock+":198,"+deadlyBlock+":300", n) })
	}
	time.Sleep(poisonTime)
	cancel()
	c.all.Wait()
	late, fifth := f.lateDeadlyRuns()
	served, sent := map[string]int{}, map[string]int{}
	for _, a := range c.answers {
		if a.kind != "sound" {
			continue
		}
		sent[a.route]++
		if a.Status == http.StatusOK && a.Complete {
			served[a.route]++
		}
	}
	result := fmt.Sprintf("%d crashes; %d requests with the block reached servers later than %v after the fifth; sound requests served: %d of %d on %s, %d of %d on season-digest",
		len(f.crashTimes()), late, stableWindow, served[homeRoute], sent[homeRoute], homeRoute, served["season-digest"], sent["season-digest"])
	fmt.Println(result)
	f.note("%s", result)
	if trouble && fifth.IsZero() {
		return false, fmt.Errorf("fewer than five servers crashed")
	}
	return late > tolerated, nil
}

// lateDeadlyRuns returns how many requests reached servers that crashed on them later than
// stableWindow after the fifth crash, and when that was.
func (f *fleet) lateDeadlyRuns() (late int, fifth time.Time) {
	crashes := f.crashTimes()
	if len(crashes) < 5 {
		return 0, fifth
	}
	fifth = crashes[4]
	for _, at := range crashes[5:] {
		if at.Sub(fifth) > stableWindow {
			late++
		}
	}
	return late, fifth
}
