package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// rare-prompt: one block of a prompt crashes each server that begins to write an answer on it.
// Requests with that block share their first block with sound ones, which come now and then. The
// sound ones have to be served.

const (
	deadlyBlock = "e4402b7d"
	firstBlock  = "5c1e07a2"
	otherBlock  = "91bd3f06"
	// soundRequests is the number of sound requests before the trouble and after it, soundGap
	// the time between two, and quietTime the pause between them and the first deadly request.
	soundRequests = 40
	soundGap      = 250 * time.Millisecond
	quietTime     = 4 * time.Second
	deadlyGap     = 250 * time.Millisecond
	// stableWindow is that of the deployment. Sound requests count from twice the window after
	// the fifth crash.
	stableWindow = 6 * time.Second
	maxDeadly    = 20 * time.Second
)

func prepareRarePrompt(f *fleet) {
	f.restarts = true
	f.configure = func(s *serverSpec) {
		s.Events, s.IntervalMs, s.DeadlyBlock = 12, 50, deadlyBlock
	}
}

func runRarePrompt(f *fleet, trouble bool) (broken bool, err error) {
	c := newCallers(f)
	ctx, cancel := context.WithCancel(context.Background())
	defer c.all.Wait()
	defer cancel()
	var turn atomic.Int64
	next := func() *vm { return f.vms[int(turn.Add(1))%len(f.vms)] }
	send := func(kind, blocks string, n int64) answer {
		return c.send(next(), kind, "season-digest", fmt.Sprintf("%s-%d", kind, n), blocks)
	}
	c.every(ctx, 50*time.Millisecond, func(n int64) { send("other", otherBlock+":198", n) })
	time.Sleep(2 * time.Second)
	before := f.sendSound(c, send, "before")
	time.Sleep(quietTime)
	if trouble {
		c.every(ctx, deadlyGap, func(n int64) { send("deadly", firstBlock+":198,"+deadlyBlock+":300", n) })
		for end := time.Now().Add(maxDeadly); len(f.crashTimes()) < 5 && time.Now().Before(end); {
			time.Sleep(50 * time.Millisecond)
		}
		if n := len(f.crashTimes()); n < 5 {
			return false, fmt.Errorf("only %d servers crashed", n)
		}
		time.Sleep(time.Until(f.crashTimes()[4].Add(2 * stableWindow)))
	}
	f.note("sound requests count from now on; %d servers have crashed", len(f.crashTimes()))
	after := f.sendSound(c, send, "after")
	fmt.Printf("sound requests begun at their first try: %d of %d before, %d of %d after; %d crashes\n", before, soundRequests, after, soundRequests, len(f.crashTimes()))
	f.note("sound requests begun at their first try: %d of %d before, %d of %d after; %d crashes", before, soundRequests, after, soundRequests, len(f.crashTimes()))
	if before < soundRequests/2 {
		return false, fmt.Errorf("only %d of %d sound requests are served without trouble", before, soundRequests)
	}
	return 2*after < before, nil
}

// sendSound sends the sound requests and returns how many began.
func (f *fleet) sendSound(c *callers, send func(kind, blocks string, n int64) answer, kind string) int {
	var begun atomic.Int64
	done := make(chan struct{}, soundRequests)
	for range soundRequests {
		go func() {
			if a := send(kind, firstBlock+":198", c.count.Add(1)); a.Status == http.StatusOK {
				begun.Add(1)
			}
			done <- struct{}{}
		}()
		time.Sleep(soundGap)
	}
	for range soundRequests {
		<-done
	}
	return int(begun.Load())
}
