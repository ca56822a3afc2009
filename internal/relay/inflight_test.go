package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// Guards against issue 45 (LOST): requests that still waited when their VM shut down got no
// answer. The answer must be true: 503 only if no server may run the request.
func TestRequestsThatWaitAtAShutdownAreRefused(t *testing.T) {
	for name, test := range map[string]struct {
		runs    int
		status  int
		verdict verdict.Verdict
	}{
		"not sent": {0, http.StatusServiceUnavailable, verdict.NotRun},
		"sent":     {1, http.StatusBadGateway, verdict.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := hopTransaction(1)
			x.possibleRuns = test.runs
			ctx, end := x.inFlight.begin(t.Context(), x)
			defer end()
			ctx, cancel := context.WithTimeout(ctx, time.Minute)
			defer cancel()
			is.Equal(x.EndWaiting(), 1)
			is.True(ctx.Err() != nil)
			is.Equal(x.inFlight.beginResponse(x), false)
			refusal := x.contextRefusal(ctx)
			is.Equal(refusal.Status, test.status)
			is.Equal(refusal.Verdict, test.verdict)
			is.Equal(refusal.Code, verdict.CodeShuttingDown)
			is.Equal(x.EndAll(), 0) // it has ended already
		})
	}
}

func TestResponsesThatHaveBegunGoOnUntilTheEnd(t *testing.T) {
	is := is.New(t)
	x := hopTransaction(1)
	ctx, end := x.inFlight.begin(t.Context(), x)
	defer end()
	is.True(x.inFlight.beginResponse(x))
	is.Equal(x.EndWaiting(), 0)
	is.NoErr(ctx.Err())
	is.Equal(x.EndAll(), 1)
	is.True(ctx.Err() != nil)
}

// A request that passed all checks just before the end is ended too.
func TestRequestsAfterTheEndAreRefused(t *testing.T) {
	is := is.New(t)
	x := hopTransaction(1)
	is.Equal(x.EndWaiting(), 0)
	ctx, end := x.inFlight.begin(t.Context(), x)
	defer end()
	is.True(endedByStop(ctx))
}

// Guards against issue 45 (LOST): a VM that shuts down took hops that outlast it for as long
// as callers may not have learned of the shutdown, and cut them at its end. The VMs that send
// them can send them elsewhere.
func TestLingeringVMTakesCallersRequestsButNoHopsThatOutlastIt(t *testing.T) {
	for name, test := range map[string]struct {
		entry   string
		linger  bool
		refused bool
	}{
		"caller while lingering": {"", true, false}, "caller later": {"", false, true},
		"hop while lingering": {"vm-2", true, true}, "hop later": {"vm-2", false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := hopTransaction(1)
			table := ingress.NewTable(1, []*ingress.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: time.Minute, TrafficSplit: []ingress.WeightedService{{Service: "writer", Weight: 1}}}}, nil, ingress.Limits{})
			x.Table = func() *ingress.Table { return table }
			x.Peers, x.budgets.window = onePeer{}, time.Second
			now := clock.Boot()
			x.ExitAt = func() clock.Instant { return now.Add(2 * time.Second) }
			x.Lingering = func() bool { return test.linger }
			_, refusal := x.newTransaction(&Request{ID: "q", Host: "h", Path: "/", Entry: test.entry, Arrived: now, Deadline: now.Add(4 * time.Second)}, &discardResponse{})
			is.Equal(refusal != nil, test.refused)
		})
	}
}
