package bookingfilter

import (
	"context"
	"sync/atomic"

	"github.com/chestnutspring/chestnutspring/internal/booking"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// handleAsOwner handles an attempt at the owner of its key.
func (f *Filter) handleAsOwner(ctx context.Context, req *pipeline.Request, key booking.Key, w pipeline.Response, next pipeline.Handler) *verdict.Refusal {
	window := keyWindow(req)
	fingerprint := booking.FingerprintOf(req.Body, req.Target, req.Method, req.Path)
	record, decision := f.table.Begin(key, req.Team, fingerprint, window)
	switch decision {
	case booking.Run:
		return f.run(ctx, req, w, next, record, f.table.Expires(key, window))
	case booking.Wait:
		f.metrics.repeated.Inc(1)
		return awaitOutcome(ctx, record, w)
	case booking.Mismatch:
		f.metrics.mismatch.Inc(1)
		return refuseMismatch()
	case booking.Expired:
		return refuseExpired()
	case booking.Full:
		return refuseFull()
	default:
		return refuseEvicted()
	}
}

// run runs the request, answers the caller and then records the outcome. It
// records one even if the run panics, so that no other attempt waits forever.
func (f *Filter) run(ctx context.Context, req *pipeline.Request, w pipeline.Response, next pipeline.Handler, record *booking.Record, expires clock.Instant) *verdict.Refusal {
	recorder := newRecorder(w)
	// This result is recorded if the run panics.
	result := verdict.Ambiguous(verdict.CodeInternal, "the gateway failed while the request ran", 0)
	defer func() { f.table.Finish(record, f.outcome(result, recorder)) }()

	gate := &sendGate{now: f.Now, deadline: req.Deadline, expires: expires}
	runCtx, cancel := gate.context(ctx)
	defer cancel()
	attempt := *req
	attempt.BeforeSend = gate.beforeSend
	if refusal := gate.checkExpiry(); refusal != nil {
		result = withKeyClosed(refusal)
		return result
	}
	f.metrics.run.Inc(1)
	result = runRefusal(next.Handle(runCtx, &attempt, recorder), recorder)
	if result == nil {
		recorder.deliver()
	}
	return result
}

// runRefusal converts the refusal of a run to one that is valid for all attempts
// with the key. It returns nil if the run was answered.
func runRefusal(refusal *verdict.Refusal, recorder *recorder) *verdict.Refusal {
	switch {
	case refusal == nil && recorder.Started():
		return nil
	case refusal == nil:
		refusal = verdict.Ambiguous(verdict.CodeInternal, "the request ended without an answer", 0)
	case refusal.Verdict == verdict.NotRun && !recorder.Started():
		return withKeyClosed(refusal)
	}
	final := *refusal
	if final.Verdict == verdict.NotRun {
		final.Verdict = verdict.MayHaveRun
	}
	if final.Code == verdict.CodeOwnerUnreachable {
		// The owner of the key is this process. The unreachable gateway is one in
		// another region.
		final.Code = verdict.CodeBackendFailed
	}
	// The request isn't sent again, so a later attempt can't get another outcome.
	final.Final = true
	final.RetryAfter = 0
	return &final
}

// withKeyClosed returns a copy of the refusal that reports the key as closed.
func withKeyClosed(refusal *verdict.Refusal) *verdict.Refusal {
	closed := *refusal
	closed.KeyClosed = true
	return &closed
}

// outcome returns the outcome to record for a run.
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

// awaitOutcome waits for the outcome of a key and answers with it.
func awaitOutcome(ctx context.Context, record *booking.Record, w pipeline.Response) *verdict.Refusal {
	select {
	case <-record.Done():
		return replay(record.Outcome(), w)
	case <-ctx.Done():
		return refuseStillRunning()
	}
}

// replay answers a repeated attempt with the recorded outcome.
func replay(outcome booking.Outcome, w pipeline.Response) *verdict.Refusal {
	switch {
	case outcome.Refusal != nil:
		refusal := *outcome.Refusal
		return &refusal
	case outcome.Answer == nil:
		return refuseAnswerEvicted()
	default:
		writeAnswer(outcome.Answer, w)
		return nil
	}
}

// sendGate checks immediately before a request is sent whether it may still run.
// Until then a cancellation by the caller stops the request.
type sendGate struct {
	now      clock.Clock
	deadline clock.Instant
	expires  clock.Instant
	state    atomic.Int32
}

// States of a sendGate.
const (
	stateQueued int32 = iota
	stateSent
	stateAbandoned
)

// context returns the context of the run. It ends at the deadline, and with the
// caller's context only if the request hasn't been sent by then: a sent request
// continues, so that its outcome can be recorded.
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

// beforeSend implements the BeforeSend hook of pipeline.Request.
func (g *sendGate) beforeSend() *verdict.Refusal {
	if refusal := g.checkExpiry(); refusal != nil {
		return refusal
	}
	if !g.state.CompareAndSwap(stateQueued, stateSent) && g.state.Load() == stateAbandoned {
		return refuseCallerCancelled()
	}
	return nil
}

// checkExpiry returns a refusal if the deadline or the key's window has passed.
func (g *sendGate) checkExpiry() *verdict.Refusal {
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
