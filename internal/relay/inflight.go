package relay

import (
	"context"
	"errors"
	"sync"

	"github.com/joomcode/errorx"

	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// errVMStops is the cause of the end of requests that end because this VM shuts down.
var errVMStops = errorx.IllegalState.New("this VM shuts down")

// inFlight are the requests that are being served, so that each gets an answer before the
// process exits.
type inFlight struct {
	mu       sync.Mutex
	requests map[*transaction]context.CancelCauseFunc
	// stopped means that requests that have no response yet are ended.
	stopped bool
}

// begin returns a context that ends when the request is ended, and a function that must be
// called once the request has been served.
func (f *inFlight) begin(ctx context.Context, x *transaction) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests == nil {
		f.requests = map[*transaction]context.CancelCauseFunc{}
	}
	f.requests[x] = cancel
	if f.stopped {
		x.ended = true
		cancel(errVMStops)
	}
	return ctx, func() {
		f.mu.Lock()
		delete(f.requests, x)
		f.mu.Unlock()
		cancel(nil)
	}
}

// beginResponse records that the response to the request begins, and reports whether it
// may: a request that was ended is refused instead.
func (f *inFlight) beginResponse(x *transaction) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	x.begun = !x.ended
	return x.begun
}

// end ends the requests that have no response yet, or all. It returns their number.
func (f *inFlight) end(all bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	n := 0
	for x, cancel := range f.requests {
		if !x.ended && (all || !x.begun) {
			x.ended = true
			cancel(errVMStops)
			n++
		}
	}
	return n
}

// EndWaiting answers the requests that have no response yet, and all later ones, before this
// process exits. It returns the number of requests in flight that it ended.
func (r *Relay) EndWaiting() int { return r.inFlight.end(false) }

// EndAll ends all requests in flight. Responses that have begun are cut. It returns the number
// of requests that it ended.
func (r *Relay) EndAll() int { return r.inFlight.end(true) }

// endedByStop reports whether the request's context ended because this VM shuts down.
func endedByStop(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errVMStops) }

// stopRefusal returns the refusal of a request that is ended because this VM shuts down. It
// returns nil if the fallback response was relayed instead.
func (x *transaction) stopRefusal() *verdict.Refusal {
	switch {
	case x.w.Started():
		return verdict.Ambiguous(verdict.CodeAnswerCut, "this VM shut down before the answer ended", 0)
	case x.fallback != nil:
		return x.relayFallback()
	case x.possibleRuns == 0:
		return verdict.Busy(verdict.CodeShuttingDown, "this VM shuts down, and no backend server has taken the request", jitter(retryAfterFailure))
	default:
		return verdict.Ambiguous(verdict.CodeShuttingDown, "this VM shut down before the answer came", jitter(retryAfterFailure))
	}
}
