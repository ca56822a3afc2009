package relay

import (
	"context"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// lossCheckInterval is how often a pending request checks whether its
	// backend server still responds to polls and serves this request.
	lossCheckInterval = 250 * time.Millisecond
	// minOverdue is the minimum wait for the first byte after which a request may
	// count as hung, and overdueFactor the same in expected times to first byte.
	minOverdue    = 600 * time.Millisecond
	overdueFactor = 3
	// maxStandstill is how long a server that answers nothing, polls neither, may only
	// stand still. Its requests are not sent elsewhere before: they would run twice.
	maxStandstill = 1500 * time.Millisecond
	// minStall is the minimum pause between events after which a stream may count
	// as hung, and stallFactor the same in gap objectives.
	minStall    = time.Second
	stallFactor = 3
)

// serverWatch cancels a request at a backend server that no longer serves it, so
// that the request can be sent to another one.
type serverWatch struct {
	x      *transaction
	load   *balance.Load
	sentAt clock.Instant
	// expectedFirst is the expected time to the first byte.
	expectedFirst time.Duration
	// next is the query for another server.
	next balance.Query
	// lastEventAt is when the last complete event arrived; zero before the first.
	lastEventAt atomic.Int64
	// retryGranted is true once the watch cancelled the request after it took a
	// retry from the budget.
	retryGranted atomic.Bool
	ctx          context.Context
	cancel       context.CancelFunc
	// timer is nil if the request is not watched.
	timer atomic.Pointer[time.Timer]
}

// watchServer returns a context that is cancelled when the backend server stops
// answering polls and requests, or when it serves other requests but not this one. The server
// is not watched if the request could not be retried elsewhere.
func (x *transaction) watchServer(ctx context.Context, plan *balance.Plan, sentAt clock.Instant) (context.Context, *serverWatch) {
	ctx, cancel := context.WithCancel(ctx)
	w := &serverWatch{x: x, load: plan.Load, sentAt: sentAt, expectedFirst: plan.Estimate.TimeToFirstByte, ctx: ctx, cancel: cancel}
	if x.mayRepeat() && x.attemptsLeft() > 1 && x.sends < maxSends {
		w.next = x.query()
		w.next.TriedRegions = slices.Clone(w.next.TriedRegions) // the transaction shortens its own
		// The check uses the timer, so it may not begin before that is stored.
		timer := time.AfterFunc(math.MaxInt64, w.check)
		w.timer.Store(timer)
		timer.Reset(lossCheckInterval)
	}
	return ctx, w
}

// stop ends the watch and cancels its context.
func (w *serverWatch) stop() {
	w.cancel()
	if timer := w.timer.Load(); timer != nil {
		timer.Stop()
	}
}

// check looks after the request once. It does nothing once the watch has been stopped.
func (w *serverWatch) check() {
	now := w.x.Now()
	switch {
	case w.ctx.Err() != nil, !w.x.mayRepeat():
		return
	case w.load.Link.Lost() && w.load.SilentFor(now) > maxStandstill && w.x.budget.Allow(now):
		// A server that is only slow to answer polls goes on with its work, and so does
		// one that stands still for a moment. Without a retry to send the request elsewhere,
		// it may still be answered here.
		w.retryGranted.Store(true)
		w.x.Log.Warn("backend server is silent and does not respond to polls; sending the request elsewhere", "request", w.x.req.ID,
			"server", w.x.destination, "sentBefore", now.Sub(w.sentAt), "silentFor", w.load.SilentFor(now), "lastEventBefore", w.sinceLastEvent(now))
		w.cancel()
		return
	case w.hung(now) && w.x.budget.Allow(now):
		w.retryGranted.Store(true)
		w.load.RecordErrorResponse(now)
		w.x.Log.Warn("backend server serves other requests but not this one; sending it elsewhere", "request", w.x.req.ID,
			"server", w.x.destination, "sentBefore", now.Sub(w.sentAt), "expectedFirst", w.expectedFirst,
			"lastEventBefore", w.sinceLastEvent(now))
		w.cancel()
		return
	case w.unanswered(now) && w.mayGoElsewhere(now) && w.x.budget.Allow(now):
		w.retryGranted.Store(true)
		w.load.RecordErrorResponse(now)
		w.x.Log.Warn("backend server responds to polls but to no requests; sending the request elsewhere", "request", w.x.req.ID,
			"server", w.x.destination, "sentBefore", now.Sub(w.sentAt), "expectedFirst", w.expectedFirst, "silentFor", w.load.SilentFor(now))
		w.cancel()
		return
	}
	timer := w.timer.Load()
	timer.Reset(lossCheckInterval)
	if w.ctx.Err() != nil {
		timer.Stop() // stop may have done so before the reset
	}
}

// hung reports whether the server progresses with other requests but not with
// this one. A server that is merely slow or full is not left.
func (w *serverWatch) hung(now clock.Instant) bool {
	if w.x.service.Engine != nil && !w.load.NothingQueued(now) {
		return false
	}
	if w.lastEventAt.Load() == 0 {
		return w.overdue(now) && w.load.Overtaken(w.sentAt) && w.load.Settled(now)
	}
	return w.sinceLastEvent(now) > max(minStall, stallFactor*w.x.route.GapObjective) && w.load.Progressing(now)
}

// overdue reports whether the first byte is late.
func (w *serverWatch) overdue(now clock.Instant) bool {
	return now.Sub(w.sentAt) > max(minOverdue, overdueFactor*w.expectedFirst)
}

// unanswered reports whether an engine has sent nothing for this request, nor for others, though
// it responds to polls. Such an engine gets no new requests that could show whether it still
// serves any.
func (w *serverWatch) unanswered(now clock.Instant) bool {
	return w.x.service.Engine != nil && w.lastEventAt.Load() == 0 && w.overdue(now) && w.load.OnlyReports(now)
}

// mayGoElsewhere reports whether another server or region would take the request now.
func (w *serverWatch) mayGoElsewhere(now clock.Instant) bool {
	q := w.next
	q.Now, q.Remaining = now, w.x.remaining()
	plan := w.x.Balancer.Choose(&q, w.x.Roster.View())
	return plan.Server != nil || plan.Region != ""
}

// sinceLastEvent returns the time since the last event, or zero before the first.
func (w *serverWatch) sinceLastEvent(now clock.Instant) time.Duration {
	at := clock.Instant(w.lastEventAt.Load())
	if at == 0 {
		return 0
	}
	return now.Sub(at)
}
