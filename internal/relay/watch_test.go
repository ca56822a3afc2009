package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/retry"
)

// Guards against issue 45 (LOST): the response of a server that did not respond to polls was
// cut although no retry was left to send its request elsewhere. The server may go on.
func TestRequestAtSilentServerIsLeftOnlyIfItCanBeSentElsewhere(t *testing.T) {
	for name, test := range map[string]struct {
		retries                  float64
		maxAttempts, sends, lost int
		left                     bool
	}{
		"retry left": {5, 3, 1, 0, true}, "no retry left": {0, 3, 1, 0, false}, "no attempt left": {5, 1, 1, 0, false},
		"sent too often": {5, 9, maxSends, 0, false}, "may be what crashes servers": {5, 9, 2, maxLostUnanswered - 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := hopTransaction(test.maxAttempts)
			x.sends, x.lostUnanswered = test.sends, test.lost
			x.budget = retry.NewWindow(10*time.Second, test.retries)
			load := &balance.Load{}
			for range 5 {
				load.Link.RecordPoll(false, x.Now())
			}
			ctx, watch := x.watchServer(t.Context(), &balance.Plan{Load: load}, x.Now())
			defer watch.stop()
			if watch.timer.Load() != nil {
				watch.check()
			}
			is.Equal(ctx.Err() != nil, test.left)
			is.Equal(watch.retryGranted.Load(), test.left)
		})
	}
}

// Guards against issue 45 (LOST): a check of a request that ran while its watch was stopped
// set the timer again, so that the request and its body were kept, and a retry was taken
// from the budget for it.
func TestCheckDuringTheStopEndsWithTheWatch(t *testing.T) {
	is := is.New(t)
	x := hopTransaction(3)
	x.budget = retry.NewWindow(x.RetryWindow, 0)
	_, w := x.watchServer(t.Context(), &balance.Plan{Load: &balance.Load{}}, clock.Boot())
	is.True(w.timer.Load() != nil)
	w.stop()
	w.check()
	is.True(!w.timer.Load().Stop()) // it was not set again
}

// Guards against issue 48 (TWICE): a stream was sent elsewhere while its server stood still for a
// second, because a new request had just been sent there.
func TestStreamOfServerThatStandsStillIsKeptThoughRequestsAreSentThere(t *testing.T) {
	is := is.New(t)
	x := hopTransaction(3)
	x.service.Engine = &ingress.Engine{}
	x.budget = retry.NewWindow(10*time.Second, 5)
	load, now := &balance.Load{}, x.Now()
	last := now.Add(-1200 * time.Millisecond)
	for at := last.Add(-time.Second); at < last; at = at.Add(100 * time.Millisecond) {
		load.Begin(&balance.Demand{}, &balance.Estimate{}, at).RecordFirstByte(at)
	}
	load.RecordPollReport(balance.Report{ReceivedAt: now.Add(-300 * time.Millisecond)})
	ctx, watch := x.watchServer(t.Context(), &balance.Plan{Load: load}, last.Add(-time.Second))
	defer watch.stop()
	watch.lastEventAt.Store(int64(last))
	load.Begin(&balance.Demand{}, &balance.Estimate{}, now)
	watch.check()
	is.NoErr(ctx.Err())
	// A server that has gone on with others for a while serves this one no more.
	for at := now.Add(-600 * time.Millisecond); at < now; at = at.Add(100 * time.Millisecond) {
		load.Begin(&balance.Demand{}, &balance.Estimate{}, at).RecordFirstByte(at)
	}
	watch.check()
	is.True(ctx.Err() != nil)
}
