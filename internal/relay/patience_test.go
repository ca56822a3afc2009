package relay

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

var impatientRoute = &ingress.Route{Kind: ingress.Stream, AbandonAfter: 4 * time.Second, MaxAttempts: 2}

func TestStreamEndsWhenCallersLeaveForWantOfAnEvent(t *testing.T) {
	for name, c := range map[string]struct {
		route         *ingress.Route
		waited        time.Duration
		margin        time.Duration
		events        []time.Duration
		endsAfter     time.Duration
		neverByItself bool
	}{
		"no event":              {route: impatientRoute, endsAfter: 4 * time.Second},
		"at another VM":         {route: impatientRoute, waited: 3 * time.Second, endsAfter: time.Second},
		"arrived too late":      {route: impatientRoute, waited: 5 * time.Second},
		"at the entry":          {route: impatientRoute, margin: patienceMargin, endsAfter: 4*time.Second + patienceMargin},
		"after events":          {route: impatientRoute, events: []time.Duration{time.Second, 4900 * time.Millisecond}, endsAfter: 8900 * time.Millisecond},
		"patience unknown":      {route: &ingress.Route{Kind: ingress.Stream}, neverByItself: true},
		"no stream":             {route: &ingress.Route{Kind: ingress.Safe, AbandonAfter: time.Second}, neverByItself: true},
		"an event in good time": {route: impatientRoute, waited: 3900 * time.Millisecond, events: []time.Duration{50 * time.Millisecond}, endsAfter: 4050 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				now := clock.Synthetic()
				began := now()
				p := &patience{now: now}
				ctx, stop := p.watch(t.Context(), c.route, began.Add(-c.waited), c.margin)
				defer stop()
				for _, at := range c.events {
					time.AfterFunc(at, func() { p.recordEvent(now()) })
				}
				select {
				case <-ctx.Done():
					is.True(endedWithoutEvent(ctx))
					is.Equal(now().Sub(began), c.endsAfter)
					is.True(!c.neverByItself)
				case <-time.After(time.Minute):
					is.True(c.neverByItself)
				}
			})
		})
	}
}

func TestWatchThatWasStoppedEndsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now := clock.Synthetic()
		p := &patience{now: now}
		ctx, stop := p.watch(t.Context(), impatientRoute, now(), 0)
		stop()
		time.Sleep(time.Minute)
		is.True(!endedWithoutEvent(ctx))
	})
}

// Guards against issue 51 (GONE): for each request whose caller left for want of an event, a VM
// opened a connection to cancel a hop that ends by itself, in seconds in which its link was full.
func TestHopOfACallerThatLeavesForWantOfAnEventIsNotCancelled(t *testing.T) {
	for name, c := range map[string]struct {
		waited    time.Duration
		cancelled bool
	}{"leaves for want of an event": {waited: 3990 * time.Millisecond}, "leaves before": {waited: 3 * time.Second, cancelled: true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var cancels atomic.Int32
			mux := http.NewServeMux()
			mux.HandleFunc(PathCancelHop, func(http.ResponseWriter, *http.Request) { cancels.Add(1) })
			begun := make(chan struct{})
			mux.HandleFunc(PathHop, func(_ http.ResponseWriter, hr *http.Request) {
				close(begun)
				<-hr.Context().Done()
			})
			server := httptest.NewServer(mux)
			defer server.CloseClientConnections()
			x := hopTransaction(1)
			x.patience.now = x.Now
			ctx, leave := context.WithCancel(t.Context())
			ctx, stop := x.patience.watch(ctx, impatientRoute, x.Now().Add(-c.waited), patienceMargin)
			defer stop()
			go func() { <-begun; leave() }()
			out := x.sendToVM(ctx, balance.Plan{Region: "west"}, "vm-2", server.Listener.Addr().String())
			is.True(!out.delivered)
			wait := 200 * time.Millisecond
			if c.cancelled {
				wait = time.Second
			}
			for end := time.Now().Add(wait); cancels.Load() == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			is.Equal(cancels.Load() > 0, c.cancelled)
		})
	}
}

// Guards against a request that is sent once more just before its caller leaves.
func TestRequestOfACallerThatLeavesIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	x := hopTransaction(3)
	x.patience.now = x.Now
	ctx, stop := x.patience.watch(t.Context(), impatientRoute, x.Now().Add(-3990*time.Millisecond), patienceMargin)
	defer stop()
	is.Equal(x.mayRetry(&outcome{notRun: true}), false)
	<-ctx.Done()
	x.possibleRuns = 1
	refusal := x.contextRefusal(ctx)
	is.Equal(refusal.Verdict, verdict.MayHaveRun)
	is.Equal(refusal.Status, http.StatusGatewayTimeout)
	x.possibleRuns = 0
	is.Equal(x.contextRefusal(ctx).Verdict, verdict.NotRun)
	is.True(errors.Is(context.Cause(ctx), errNoEvent))
}
