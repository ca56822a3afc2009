package relay

import (
	"context"
	"errors"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// errNoEvent is the cause of the end of a stream whose caller has left, as no event came for
// as long as callers of its route wait.
var errNoEvent = errorx.IllegalState.New("no event came for as long as callers wait")

// patience ends a stream when its caller has left for want of an event. Each VM on the way
// does so by itself: the close of the caller's connection may arrive late, or not at all.
type patience struct {
	now clock.Clock
	// limit is how long callers wait for an event; zero means that this is unknown.
	limit time.Duration
	// margin is how much later the stream ends here.
	margin time.Duration
	// since is when the wait for the next event began.
	since  atomic.Int64
	cancel context.CancelCauseFunc
	// timer is nil if the limit is unknown.
	timer atomic.Pointer[time.Timer]
}

// watch returns a context that ends the margin after callers of the route have left for want of
// an event, which they wait for since the given time, and a function that must be called once
// the stream has ended.
func (p *patience) watch(ctx context.Context, route *ingress.Route, since clock.Instant, margin time.Duration) (context.Context, func()) {
	if route.Kind != ingress.Stream || route.AbandonAfter <= 0 {
		return ctx, func() {}
	}
	ctx, p.cancel = context.WithCancelCause(ctx)
	p.limit, p.margin = route.AbandonAfter, margin
	p.since.Store(int64(since))
	// The check uses the timer, so it may not begin before that is stored.
	timer := time.AfterFunc(math.MaxInt64, p.check)
	p.timer.Store(timer)
	timer.Reset(max(0, p.left()+margin))
	return ctx, func() {
		timer.Stop()
		p.cancel(nil)
	}
}

// check ends the stream if its caller has left, or looks again when that may be.
func (p *patience) check() {
	left := p.left() + p.margin
	if left <= 0 {
		p.cancel(errNoEvent)
		return
	}
	p.timer.Load().Reset(left)
}

// left returns how long callers still wait for the next event.
func (p *patience) left() time.Duration {
	return clock.Instant(p.since.Load()).Add(p.limit).Sub(p.now())
}

// recordEvent records that an event came.
func (p *patience) recordEvent(now clock.Instant) { p.since.Store(int64(now)) }

// isOver reports whether the caller leaves about now, which all VMs on the way know.
func (p *patience) isOver() bool { return p.limit > 0 && p.left() < patienceMargin }

// patienceMargin is how much later than the others the VM that has the caller's connection ends
// a stream: usually it sees the caller leave.
const patienceMargin = 50 * time.Millisecond

// marginOfPatience returns how much later than by the limit the request ends at this VM.
func (x *transaction) marginOfPatience() time.Duration {
	if x.req.Entry == "" {
		return patienceMargin
	}
	return 0
}

// waitingSince returns since when the caller waits for an event. With a stream that goes on
// after a part of the response, it has had an event at an unknown time, this VM's request for
// the rest at the latest.
func (x *transaction) waitingSince() clock.Instant {
	if x.req.Continues {
		return x.Now()
	}
	return x.req.Arrived
}

// endedWithoutEvent reports whether the request's context ended because no event came for as
// long as callers wait.
func endedWithoutEvent(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errNoEvent) }

// noEventRefusal returns the refusal of a stream whose caller has left for want of an event.
func (x *transaction) noEventRefusal() *verdict.Refusal {
	if x.w.Started() {
		return verdict.Ambiguous(verdict.CodeAnswerCut, errNoEvent.Message(), 0)
	}
	if x.possibleRuns == 0 {
		return verdict.Busy(verdict.CodeDeadline, errNoEvent.Message(), jitter(retryAfterFailure))
	}
	refusal := verdict.Ambiguous(verdict.CodeDeadline, errNoEvent.Message(), jitter(retryAfterFailure))
	refusal.Status = http.StatusGatewayTimeout
	return refusal
}
