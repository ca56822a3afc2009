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

// errLost is what an attempt gets when the other has begun the answer.
var errLost = errors.New("another attempt answers")

// arm sends a request once.
type arm func(ctx context.Context, w pipeline.Response) *verdict.Refusal

// hedged runs the first attempt and, if it has no first byte after the delay,
// a second one beside it. The attempt that writes first answers; the other is
// cancelled. A delay of zero means no second attempt.
func (r *run) hedged(ctx context.Context, target *routing.Target, delay time.Duration, first arm) *verdict.Refusal {
	if delay <= 0 || target.Policy.HedgeAfter <= 0 {
		return first(ctx, r.w)
	}
	race := &race{w: r.w, winner: make(chan *entrant, 1)}
	results := make(chan result, 2)
	one := race.start(ctx, first, results)
	defer one.cancel()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case out := <-results:
		return out.refusal
	case <-race.winner:
		return (<-results).refusal
	case <-timer.C:
	}
	send := r.second()
	if send == nil {
		return (<-results).refusal
	}
	two := race.start(ctx, send, results)
	defer two.cancel()
	return race.finish(one, two, results, r.h.metrics.hedgeWins.Inc)
}

// result is the outcome of an attempt.
type result struct {
	from    *entrant
	refusal *verdict.Refusal
}

// race lets one of several attempts answer.
type race struct {
	w      pipeline.Response
	winner chan *entrant

	mu      sync.Mutex // guards claimed only
	claimed *entrant
}

// start runs an attempt.
func (c *race) start(ctx context.Context, send arm, results chan<- result) *entrant {
	ctx, cancel := context.WithCancel(ctx)
	e := &entrant{race: c, cancel: cancel}
	go func() {
		refusal := send(ctx, e)
		if refusal == nil && !e.passed {
			// An answer without a body.
			_, _ = e.Write(nil)
		}
		results <- result{from: e, refusal: refusal}
	}()
	return e
}

// finish waits for the answer of one of two attempts. It doesn't wait for the
// one that lost.
func (c *race) finish(one, two *entrant, results <-chan result, won func(int64)) *verdict.Refusal {
	var refusal *verdict.Refusal
	winner := c.winner
	for pending := 2; pending > 0; {
		select {
		case e := <-winner:
			winner = nil
			if e == two {
				won(1)
				one.cancel()
			} else {
				two.cancel()
			}
		case out := <-results:
			pending--
			if out.refusal == nil || c.won(out.from) {
				return out.refusal
			}
			refusal = worse(refusal, out.refusal)
		}
	}
	return refusal
}

// worse returns the refusal that promises less.
func worse(a, b *verdict.Refusal) *verdict.Refusal {
	if a == nil || b.Verdict == verdict.MayHaveRun {
		return b
	}
	return a
}

func (c *race) won(e *entrant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.claimed == e
}

// claim reports whether the attempt may answer. The first to ask may.
func (c *race) claim(e *entrant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claimed == nil {
		c.claimed = e
		c.winner <- e
	}
	return c.claimed == e
}

// entrant is the response of one attempt. The start of its answer is held back
// until the first byte of the body, as a backend server may send headers long
// before it works on the request.
type entrant struct {
	race   *race
	cancel context.CancelFunc

	head    pipeline.Head
	started bool
	passed  bool
}

var _ pipeline.Response = (*entrant)(nil)

// Start implements pipeline.Response.
func (e *entrant) Start(head pipeline.Head) { e.head, e.started = head, true }

// Write implements pipeline.Response.
func (e *entrant) Write(p []byte) (int, error) {
	if !e.passed {
		if !e.race.claim(e) {
			return 0, errLost
		}
		e.passed = true
		e.race.w.Start(e.head)
	}
	return e.race.w.Write(p)
}

// Flush implements pipeline.Response.
func (e *entrant) Flush() {
	if e.passed {
		e.race.w.Flush()
	}
}

// Started implements pipeline.Response.
func (e *entrant) Started() bool { return e.started }
