package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// crash-wave: the servers of a zone crash while they send responses that end with their
// connection. No response that a crash has cut off may reach its caller as a complete one.

const (
	// waveZone is the zone whose servers crash, one after another with waveGap in between.
	waveZone = "jeju-a"
	waveGap  = 50 * time.Millisecond
	// waveEvents is the number of events of a stream, and waveInterval the time between two.
	waveEvents   = 32
	waveInterval = 100 * time.Millisecond
)

func prepareCrashWave(f *fleet) {
	f.configure = func(s *serverSpec) {
		s.Unframed, s.Events, s.IntervalMs = true, waveEvents, int(waveInterval.Milliseconds())
	}
}

func runCrashWave(f *fleet, trouble bool) (broken bool, err error) {
	c := newCallers(f)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i, v := range f.vmsIn(waveZone) {
		for _, route := range []string{"spot-brief", "season-digest"} {
			c.every(ctx, 100*time.Millisecond, func(n int64) {
				c.send(v, "caller", route, fmt.Sprintf("w%d-%d", i, n), "")
			})
		}
	}
	time.Sleep(6 * time.Second)
	if trouble {
		for _, z := range zones {
			if z.name != waveZone {
				continue
			}
			for n := range z.engines {
				f.kill(fmt.Sprintf("%s-engine-%d", z.region, n+1))
				time.Sleep(waveGap)
			}
			f.kill(z.region + "-desk-1")
		}
	}
	time.Sleep(3 * time.Second)
	cancel()
	c.all.Wait()
	whole, cut, failed, wrong := 0, 0, 0, 0
	for _, a := range c.answers {
		switch {
		case a.Status != http.StatusOK:
			failed++
		case !a.Complete:
			cut++
		case a.Body == events(a.id, waveEvents):
			whole++
		default:
			wrong++
			f.note("BROKEN: the answer to %s on %s ends as complete after %d of %d bytes", a.id, a.route, len(a.Body), len(events(a.id, waveEvents)))
		}
	}
	f.note("%d whole, %d cut visibly, %d failed or refused, %d cut but complete for the caller", whole, cut, failed, wrong)
	fmt.Printf("%d whole, %d cut visibly, %d failed or refused, %d cut but complete for the caller\n", whole, cut, failed, wrong)
	if whole == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return wrong > 0, nil
}
