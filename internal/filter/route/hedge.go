package route

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/routing"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// errHedgeLost is returned by writes of an attempt after the other attempt has
// started the response.
var errHedgeLost = errors.New("another attempt has started the response")

// sendFunc sends a request once.
type sendFunc func(ctx context.Context, w pipeline.Response) *verdict.Refusal

// sendHedged runs the first attempt and, if it has written no byte after the
// delay, a second attempt in parallel. The attempt that writes first provides
// the response; the other is cancelled. A delay of zero disables the second
// attempt.
func (r *routedRequest) sendHedged(ctx context.Context, target *routing.Target, delay time.Duration, first sendFunc) *verdict.Refusal {
	if delay <= 0 || target.Policy.HedgeAfter <= 0 {
		return first(ctx, r.w)
	}
	race := &hedgeRace{w: r.w, winner: make(chan *attemptResponse, 1)}
	results := make(chan attemptResult, 2)
	primary := race.start(ctx, first, results)
	defer primary.cancel()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case out := <-results:
		return out.refusal
	case <-race.winner:
		return (<-results).refusal
	case <-timer.C:
	}
	send := r.prepareHedge()
	if send == nil {
		return (<-results).refusal
	}
	hedge := race.start(ctx, send, results)
	defer hedge.cancel()
	return race.wait(primary, hedge, results, r.h.metrics.hedgeWins.Inc)
}

// attemptResult is the outcome of an attempt.
type attemptResult struct {
	from    *attemptResponse
	refusal *verdict.Refusal
}

// hedgeRace lets exactly one of several attempts write the response.
type hedgeRace struct {
	w      pipeline.Response
	winner chan *attemptResponse

	mu        sync.Mutex // guards claimedBy only
	claimedBy *attemptResponse
}

// start runs an attempt in a new goroutine.
func (r *hedgeRace) start(ctx context.Context, send sendFunc, results chan<- attemptResult) *attemptResponse {
	ctx, cancel := context.WithCancel(ctx)
	a := &attemptResponse{race: r, cancel: cancel}
	go func() {
		refusal := send(ctx, a)
		if refusal == nil && !a.claimed {
			// The response has no body.
			_, _ = a.Write(nil)
		}
		results <- attemptResult{from: a, refusal: refusal}
	}()
	return a
}

// wait returns the outcome of the attempt that provides the response, or the
// less certain of both refusals if neither does. It does not wait for the losing
// attempt.
func (r *hedgeRace) wait(primary, hedge *attemptResponse, results <-chan attemptResult, countWin func(int64)) *verdict.Refusal {
	var refusal *verdict.Refusal
	winner := r.winner
	for pending := 2; pending > 0; {
		select {
		case a := <-winner:
			winner = nil
			if a == hedge {
				countWin(1)
				primary.cancel()
			} else {
				hedge.cancel()
			}
		case out := <-results:
			pending--
			if out.refusal == nil || r.hasClaim(out.from) {
				return out.refusal
			}
			refusal = lessCertain(refusal, out.refusal)
		}
	}
	return refusal
}

// lessCertain returns the refusal that guarantees less about whether the
// request ran.
func lessCertain(a, b *verdict.Refusal) *verdict.Refusal {
	if a == nil || b.Verdict == verdict.MayHaveRun {
		return b
	}
	return a
}

func (r *hedgeRace) hasClaim(a *attemptResponse) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.claimedBy == a
}

// claimResponse reports whether the attempt may write the response. The first
// caller may.
func (r *hedgeRace) claimResponse(a *attemptResponse) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.claimedBy == nil {
		r.claimedBy = a
		r.winner <- a
	}
	return r.claimedBy == a
}

// attemptResponse is the response writer of one attempt. It delays the start of
// the response until the first byte of the body, because a backend server may
// send headers long before it processes the request.
type attemptResponse struct {
	race   *hedgeRace
	cancel context.CancelFunc

	head    pipeline.Head
	started bool
	claimed bool
}

var _ pipeline.Response = (*attemptResponse)(nil)

// Start implements pipeline.Response.
func (a *attemptResponse) Start(head pipeline.Head) { a.head, a.started = head, true }

// Write implements pipeline.Response.
func (a *attemptResponse) Write(p []byte) (int, error) {
	if !a.claimed {
		if !a.race.claimResponse(a) {
			return 0, errHedgeLost
		}
		a.claimed = true
		a.race.w.Start(a.head)
	}
	return a.race.w.Write(p)
}

// Flush implements pipeline.Response.
func (a *attemptResponse) Flush() {
	if a.claimed {
		a.race.w.Flush()
	}
}

// Started implements pipeline.Response.
func (a *attemptResponse) Started() bool { return a.started }
