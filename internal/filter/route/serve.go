package route

import (
	"context"
	"math"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/fairqueue"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/routing"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// hedgeFactor is how many times its expected time to the first byte a request
// must have waited before it is hedged.
const hedgeFactor = 2

// A stream is far behind when it has taken behindFactor times as long as was
// expected, and behindGrace beyond that.
const (
	behindFactor = 2
	behindGrace  = 100 * time.Millisecond
)

// hopQueueDivisor is the part of the longest wait, one in so many, that a
// request from another region may wait.
const hopQueueDivisor = 4

// placement is a slot at a backend server.
type placement struct {
	picker *routing.Picker
	target *routing.Target
	choice routing.Choice
	query  *routing.Query
}

// serve waits for a slot of the own region and sends the request there. It
// returns a better place where one turns up meanwhile.
func (r *run) serve(ctx context.Context, plan routing.Plan) (refusal *verdict.Refusal, sent bool, better *alternative) {
	gate := r.h.gate(r.req.Target)
	var place placement
	claim := r.claim(plan, &place)
	claim.ShouldAbandon = func(waited time.Duration) bool {
		better = r.elsewhere(plan.Estimate.Wait, waited, true)
		return better != nil
	}
	entered := r.h.cfg.Now()
	err := gate.Acquire(ctx, claim)
	waited := r.h.cfg.Now().Sub(entered)
	r.waited += waited
	r.h.metrics.queueWait.Record(waited)
	if err != nil {
		if better == nil && ctx.Err() == nil {
			better = r.elsewhere(0, waited, false)
		}
		return r.noSlot(ctx, err, gate), false, better
	}
	granted := r.h.cfg.Now()
	release := func() { gate.Release(claim.Team, claim.ExpectedDuration, r.h.cfg.Now().Sub(granted)) }
	if ctx.Err() != nil || r.req.Deadline.Sub(granted) <= 0 {
		place.choice.Candidate.Server.Release()
		release()
		return givenUp(), false, nil
	}
	r.h.metrics.local.Inc(1)
	r.tried = append(r.tried, place.choice.Candidate.Config.Name)
	first := func(ctx context.Context, w pipeline.Response) *verdict.Refusal {
		defer release()
		return r.send(ctx, &place, w)
	}
	return r.hedged(ctx, place.target, r.hedgeDelay(&place), first), true, nil
}

// claim describes the request to the gate. The slot is chosen on the newest
// snapshot when it is granted, so that a request that waited isn't sent on an
// old view.
func (r *run) claim(plan routing.Plan, place *placement) fairqueue.Claim {
	picker := r.h.current()
	target := picker.Target(r.req.Target)
	remaining := r.req.Deadline.Sub(r.h.cfg.Now())
	maxWait := remaining - plan.Estimate.Service
	if target != nil {
		maxWait = min(maxWait, r.maxQueue(target)-r.waited)
	}
	return fairqueue.Claim{
		Team: r.queueTeam(), Weight: r.weight(picker), QueueWeightFactor: r.boost(picker, target), Remote: r.req.Hop == pipeline.HopRegion, Priority: int(r.req.Priority),
		ExpectedDuration: plan.Estimate.Service, MaxWait: maxWait,
		TryReserve: func() bool { return r.place(place) },
		Capacity: func() int {
			if target == nil {
				return 0
			}
			return target.Capacity(r.query(picker))
		},
	}
}

// maxQueue returns how long the request may wait. One from another region has
// waited there and gets a part of the time, so that its sender hears soon that
// this region is full.
func (r *run) maxQueue(target *routing.Target) time.Duration {
	longest := target.Policy.MaxQueue.AsDuration()
	if r.req.Hop == pipeline.HopRegion {
		return longest / hopQueueDivisor
	}
	return longest
}

// place takes a slot on the newest snapshot.
func (r *run) place(into *placement) bool {
	picker := r.h.current()
	target := picker.Target(r.req.Target)
	if target == nil || !r.mayServe(picker) {
		return false
	}
	q := r.query(picker)
	choice, ok := target.ReserveSlot(q)
	if ok {
		*into = placement{picker: picker, target: target, choice: choice, query: q}
	}
	return ok
}

func (r *run) noSlot(ctx context.Context, err error, gate *fairqueue.Gate) *verdict.Refusal {
	if ctx.Err() != nil {
		return givenUp()
	}
	r.h.metrics.refused.Inc(1)
	_, wait := gate.ExpectedWait(r.queueTeam(), 1, int(r.req.Priority))
	picker := r.h.current()
	if t := picker.Target(r.req.Target); t != nil {
		r.logRefusal(err.Error(), r.query(picker), t)
	}
	detail := "no backend server came free in time"
	if errorx.IsOfType(err, fairqueue.ErrQueueFull) {
		detail = "too many requests wait"
	}
	return verdict.Busy(verdict.CodeOverloaded, detail, max(wait, time.Second))
}

// givenUp refuses a request whose caller went away or whose deadline passed
// before it was sent.
func givenUp() *verdict.Refusal {
	return verdict.Busy(verdict.CodeDeadline, "the request was not sent before its deadline", retryAfterNoBackend)
}

// send sends the request to a backend server whose slot is held, and learns
// from the outcome.
func (r *run) send(ctx context.Context, p *placement, w pipeline.Response) *verdict.Refusal {
	now, server := r.h.cfg.Now, p.choice.Candidate.Server
	defer server.Release()
	m := &meter{Response: w, now: now, onFirst: server.RecordProgress}
	whole := r.req.Model != nil && !r.req.Chat.Stream
	if whole {
		// Its first byte comes with its end, which is no sign of a stall.
		m.onFirst = func(clock.Instant) {}
	}
	started := now()
	if r.req.Model != nil {
		m.onEvents = func(events int) { r.notePace(p, events, m.firstAt) }
	}
	if !whole {
		server.RecordSent(started)
	}
	refusal := r.h.cfg.Backend.SendBackend(ctx, r.request(p.picker), p.choice.Candidate.Config, m)
	m.end()
	r.learn(p, m, refusal, started)
	return refusal
}

// notePace counts a stream that is far behind the usual pace of the target's
// streams against its server, before it ends.
func (r *run) notePace(p *placement, events int, first clock.Instant) {
	now := r.h.cfg.Now()
	usual := time.Duration(events) * p.target.EventTime()
	actual := now.Sub(first)
	if usual > 0 && actual > behindFactor*usual+behindGrace {
		p.target.RecordSlowStream(p.choice.Candidate, now, actual.Seconds()/usual.Seconds())
	}
}

// learn records how an exchange with a backend server went.
func (r *run) learn(p *placement, m *meter, refusal *verdict.Refusal, started clock.Instant) {
	now := r.h.cfg.Now()
	server := p.choice.Candidate.Server
	actual := now.Sub(started)
	expected := p.choice.Estimate.ExpectedService(p.query.AnswerTime)
	switch {
	case refusal == nil:
		server.Breaker.RecordSuccess()
		server.RecordServiceTime(now, p.choice.Estimate.ExpectedService(r.answerTime(p, m)), actual)
		if m.events > 1 {
			p.target.RecordEventTime(m.events, actual)
		}
		p.target.RecordPrefix(p.choice.Candidate, p.query.Prefix, now)
	case m.failed:
		// The caller went away, or another attempt has answered.
	case refusal.Code == verdict.CodeBackendFailed || refusal.Code == verdict.CodeAnswerCut:
		server.Breaker.RecordFailure(now)
	case actual > expected:
		// Given up on: the server took at least this long.
		server.RecordServiceTime(now, expected, actual)
	}
}

// answerTime returns the expected time for the answer that came. The events of
// a stream count its tokens, unless they are so few that an event must hold
// several.
func (r *run) answerTime(p *placement, m *meter) time.Duration {
	if r.req.Model == nil || 2*m.events < r.req.Chat.MaxTokens {
		return p.query.AnswerTime
	}
	return seconds(float64(m.events) * r.req.Model.Spec.SecondsPerToken)
}

// cross sends the request to another region.
func (r *run) cross(ctx context.Context, picker *routing.Picker, plan routing.Plan, q *routing.Query) *verdict.Refusal {
	option := plan.Region
	member := option.PickMember(q)
	r.crossed = true
	r.tried = append(r.tried, option.Name)
	r.h.metrics.crossed.Inc(1)
	first := func(ctx context.Context, w pipeline.Response) *verdict.Refusal {
		return r.sendAcross(ctx, picker, plan, member, w)
	}
	target := picker.Target(r.req.Target)
	delay := r.firstByte(target, plan.Estimate)
	return r.hedged(ctx, target, delay, first)
}

// sendAcross sends the request to the region's gateway and learns how long it
// waited there.
func (r *run) sendAcross(ctx context.Context, picker *routing.Picker, plan routing.Plan, member *snapshot.Member, w pipeline.Response) *verdict.Refusal {
	now, crossing := r.h.cfg.Now, plan.Region.Traffic
	crossing.Start(now())
	defer crossing.End()
	expected := plan.Estimate.Link + plan.Estimate.Service
	if r.req.Chat.Stream {
		expected = plan.Estimate.Link + plan.Estimate.Prefill
	}
	started := now()
	m := &meter{Response: w, now: now, onFirst: func(at clock.Instant) {
		crossing.RecordWait(at, at.Sub(started)-expected)
	}}
	refusal := r.h.cfg.Peer.SendPeer(ctx, r.request(picker), pipeline.HopRegion, member, m)
	if refusal != nil && refusal.Code == verdict.CodeOverloaded {
		crossing.RecordWait(now(), refusal.RetryAfter)
	}
	return refusal
}

// hedgeDelay returns how long a request may wait for its first byte at a
// backend server before it is hedged.
func (r *run) hedgeDelay(p *placement) time.Duration {
	return r.firstByte(p.target, p.choice.Estimate)
}

// firstByte returns the time without a first byte after which the policy
// hedges; zero means never.
func (r *run) firstByte(target *routing.Target, e routing.Estimate) time.Duration {
	after := target.Policy.HedgeAfter.AsDuration()
	if after <= 0 || !r.req.Idempotent {
		return 0
	}
	expected := e.Completion()
	if r.req.Chat.Stream {
		expected = e.Wait + e.Link + e.Prefill
	}
	return max(after, hedgeFactor*expected)
}

// second returns the second attempt of a hedged request, if a backend server
// of the own region that wasn't tried has a free slot.
func (r *run) second() func(ctx context.Context, w pipeline.Response) *verdict.Refusal {
	var p placement
	if !r.place(&p) {
		return nil
	}
	if !r.h.budget.Allow() {
		r.h.metrics.budgetEmpty.Inc(1)
		p.choice.Candidate.Server.Release()
		return nil
	}
	r.tried = append(r.tried, p.choice.Candidate.Config.Name)
	r.h.metrics.hedges.Inc(1)
	return func(ctx context.Context, w pipeline.Response) *verdict.Refusal { return r.send(ctx, &p, w) }
}

// inTurn serves by the policy home-round-robin.
func (r *run) inTurn(ctx context.Context, picker *routing.Picker, target *routing.Target) (*verdict.Refusal, bool) {
	q := r.query(picker)
	c := target.NextRoundRobin(q)
	if c == nil || !r.mayServe(picker) {
		return r.refuse(routing.Plan{}), false
	}
	return r.direct(ctx, picker, target, c, q), true
}

// leastLoad serves by the policy least-load.
func (r *run) leastLoad(ctx context.Context, picker *routing.Picker, target *routing.Target) (*verdict.Refusal, bool) {
	q := r.query(picker)
	c, option := target.LeastLoaded(q, r.mayServe(picker), r.permitted(picker, target))
	switch {
	case option != nil:
		return r.cross(ctx, picker, routing.Plan{Region: option}, q), true
	case c != nil:
		return r.direct(ctx, picker, target, c, q), true
	default:
		return r.refuse(routing.Plan{}), false
	}
}

// direct sends to a backend server without waiting for a slot.
func (r *run) direct(ctx context.Context, picker *routing.Picker, target *routing.Target, c *routing.Candidate, q *routing.Query) *verdict.Refusal {
	c.Server.Reserve(math.MaxInt)
	r.tried = append(r.tried, c.Config.Name)
	r.h.metrics.local.Inc(1)
	p := &placement{picker: picker, target: target, choice: routing.Choice{Candidate: c}, query: q}
	return r.send(ctx, p, r.w)
}
