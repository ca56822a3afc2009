package bookingfilter

import (
	"context"
	"sync/atomic"

	"github.com/chestnutspring/chestnutspring/internal/booking"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// own handles an attempt at the owner of its key.
func (f *Filter) own(ctx context.Context, req *pipeline.Request, key booking.Key, w pipeline.Response, next pipeline.Handler) *verdict.Refusal {
	window := keyWindow(req)
	fingerprint := booking.FingerprintOf(req.Body, req.Target, req.Method, req.Path)
	record, decision := f.table.Begin(key, req.Team, fingerprint, window)
	switch decision {
	case booking.Run:
		return f.run(ctx, req, w, next, record, f.table.Expires(key, window))
	case booking.Wait:
		f.metrics.repeated.Inc(1)
		return await(ctx, record, w)
	case booking.Mismatch:
		f.metrics.mismatch.Inc(1)
		return refuseMismatch()
	case booking.Expired:
		return refuseExpired()
	case booking.Full:
		return refuseFull()
	default:
		return refuseForgotten()
	}
}

// run lets the request run and records its outcome before the caller gets it.
func (f *Filter) run(ctx context.Context, req *pipeline.Request, w pipeline.Response, next pipeline.Handler, record *booking.Record, expires clock.Instant) *verdict.Refusal {
	recorder := newRecorder(w)
	// The outcome of a run that panics.
	result := verdict.Ambiguous(verdict.CodeInternal, "the gateway failed while the request ran", 0)
	defer func() { f.table.Finish(record, f.outcome(result, recorder)) }()

	gate := &sendGate{now: f.Now, deadline: req.Deadline, expires: expires}
	runCtx, cancel := gate.context(ctx)
	defer cancel()
	once := *req
	once.BeforeSend = gate.pass
	if refusal := gate.check(); refusal != nil {
		result = closing(refusal)
		return result
	}
	f.metrics.run.Inc(1)
	result = settleRun(next.Handle(runCtx, &once, recorder), recorder)
	if result == nil {
		recorder.deliver()
	}
	return result
}

// settleRun makes the refusal of a run one that all attempts may get.
func settleRun(refusal *verdict.Refusal, recorder *recorder) *verdict.Refusal {
	switch {
	case refusal == nil && recorder.Started():
		return nil
	case refusal == nil:
		refusal = verdict.Ambiguous(verdict.CodeInternal, "the request ended without an answer", 0)
	case refusal.Verdict == verdict.NotRun && !recorder.Started():
		return closing(refusal)
	}
	final := *refusal
	if final.Verdict == verdict.NotRun {
		final.Verdict = verdict.MayHaveRun
	}
	if final.Code == verdict.CodeOwnerUnreachable {
		// The owner is this process. It was another region's gateway.
		final.Code = verdict.CodeBackendFailed
	}
	// The request isn't sent again, so that no later attempt learns more.
	final.Final = true
	final.RetryAfter = 0
	return &final
}

// closing marks a refusal as one that closes the key.
func closing(refusal *verdict.Refusal) *verdict.Refusal {
	closed := *refusal
	closed.KeyClosed = true
	return &closed
}

// outcome returns what is recorded of a run.
func (f *Filter) outcome(result *verdict.Refusal, recorder *recorder) booking.Outcome {
	switch {
	case result == nil:
		return booking.Outcome{Answer: recorder.answer()}
	case result.Verdict == verdict.NotRun:
		f.metrics.closed.Inc(1)
		return booking.Outcome{Refusal: booking.ClosedRefusal()}
	default:
		f.metrics.ambiguous.Inc(1)
		return booking.Outcome{Refusal: result}
	}
}

// await waits for the outcome of a key and passes it on.
func await(ctx context.Context, record *booking.Record, w pipeline.Response) *verdict.Refusal {
	select {
	case <-record.Done():
		return replay(record.Outcome(), w)
	case <-ctx.Done():
		return refuseStillRunning()
	}
}

// replay answers an attempt with a recorded outcome.
func replay(outcome booking.Outcome, w pipeline.Response) *verdict.Refusal {
	switch {
	case outcome.Refusal != nil:
		refusal := *outcome.Refusal
		return &refusal
	case outcome.Answer == nil:
		return refuseNotHeld()
	default:
		send(outcome.Answer, w)
		return nil
	}
}

// sendGate decides, right before a request is sent, whether it still may be.
type sendGate struct {
	now      clock.Clock
	deadline clock.Instant
	expires  clock.Instant
	state    atomic.Int32
}

// The states of a sendGate.
const (
	stateQueued int32 = iota
	stateSent
	stateAbandoned
)

// context returns the context of the run. It ends with the caller's as long as
// nothing was sent, and at the deadline.
func (g *sendGate) context(caller context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(caller), g.deadline.Sub(g.now()))
	stop := context.AfterFunc(caller, func() {
		if g.state.CompareAndSwap(stateQueued, stateAbandoned) {
			cancel()
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// pass is the request's BeforeSend.
func (g *sendGate) pass() *verdict.Refusal {
	if refusal := g.check(); refusal != nil {
		return refusal
	}
	if !g.state.CompareAndSwap(stateQueued, stateSent) && g.state.Load() == stateAbandoned {
		return refuseCallerGone()
	}
	return nil
}

// check refuses a request whose deadline or key window has passed.
func (g *sendGate) check() *verdict.Refusal {
	now := g.now()
	switch {
	case g.deadline.Sub(now) <= 0:
		return refuseDeadline()
	case now.Sub(g.expires) > 0:
		return refuseExpired()
	default:
		return nil
	}
}
