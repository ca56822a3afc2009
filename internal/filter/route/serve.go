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

// hedgeFactor is the multiple of its expected time to first byte for which a
// request must at least have waited before it is hedged.
const hedgeFactor = 2

// A stream is slow if it has taken more than slowStreamFactor times the
// expected time plus slowStreamGrace.
const (
	slowStreamFactor = 2
	slowStreamGrace  = 100 * time.Millisecond
)

// hopQueueDivisor divides the maximum queue wait of the policy for requests
// from another region.
const hopQueueDivisor = 4

// reservedSlot is a slot reserved at a backend server.
type reservedSlot struct {
	picker *routing.Picker
	target *routing.Target
	choice routing.Choice
	query  *routing.Query
}

// serve waits for a slot in the local region and sends the request to its
// backend server. If another region becomes the better option while the request
// waits, sent is false and better is the plan for that region.
func (r *routedRequest) serve(ctx context.Context, plan routing.Plan) (refusal *verdict.Refusal, sent bool, better *crossRegionPlan) {
	gate := r.h.gate(r.req.Target)
	var slot reservedSlot
	claim := r.newClaim(plan, &slot)
	claim.ShouldAbandon = func(waited time.Duration) bool {
		better = r.planCrossRegion(plan.Estimate.Wait, waited, true)
		return better != nil
	}
	queuedAt := r.h.cfg.Now()
	err := gate.Acquire(ctx, claim)
	waited := r.h.cfg.Now().Sub(queuedAt)
	r.queueTime += waited
	r.h.metrics.queueWait.Record(waited)
	if err != nil {
		if better == nil && ctx.Err() == nil {
			better = r.planCrossRegion(0, waited, false)
		}
		return r.queueRefusal(ctx, err, gate), false, better
	}
	grantedAt := r.h.cfg.Now()
	release := func() { gate.Release(claim.Team, claim.ExpectedDuration, r.h.cfg.Now().Sub(grantedAt)) }
	if ctx.Err() != nil || r.req.Deadline.Sub(grantedAt) <= 0 {
		slot.choice.Candidate.Server.Release()
		release()
		return notSentRefusal(), false, nil
	}
	r.h.metrics.local.Inc(1)
	r.tried = append(r.tried, slot.choice.Candidate.Config.Name)
	first := func(ctx context.Context, w pipeline.Response) *verdict.Refusal {
		defer release()
		return r.send(ctx, &slot, w)
	}
	return r.sendHedged(ctx, slot.target, r.slotHedgeDelay(&slot), first), true, nil
}

// newClaim returns the request's claim for a slot. The slot is chosen on the
// newest snapshot when it is granted, so that a queued request is not routed on
// outdated state.
func (r *routedRequest) newClaim(plan routing.Plan, slot *reservedSlot) fairqueue.Claim {
	picker := r.h.currentPicker()
	target := picker.Target(r.req.Target)
	remaining := r.req.Deadline.Sub(r.h.cfg.Now())
	maxWait := remaining - plan.Estimate.Service
	if target != nil {
		maxWait = min(maxWait, r.maxQueueWait(target)-r.queueTime)
	}
	return fairqueue.Claim{
		Team: r.queueTeam(), Weight: r.weight(picker), QueueWeightFactor: r.boost(picker, target), Remote: r.req.Hop == pipeline.HopRegion, Priority: int(r.req.Priority),
		ExpectedDuration: plan.Estimate.Service, MaxWait: maxWait,
		TryReserve: func() bool { return r.reserveSlot(slot) },
		Capacity: func() int {
			if target == nil {
				return 0
			}
			return target.Capacity(r.query(picker))
		},
	}
}

// maxQueueWait returns how long the request may be queued. A request from
// another region has already been queued in that region. It gets a shorter
// time, so that the sending gateway soon learns that this region is full.
func (r *routedRequest) maxQueueWait(target *routing.Target) time.Duration {
	maxWait := target.Policy.MaxQueue.AsDuration()
	if r.req.Hop == pipeline.HopRegion {
		return maxWait / hopQueueDivisor
	}
	return maxWait
}

// reserveSlot reserves a slot on the newest snapshot and stores it in into. It
// reports whether a slot was free.
func (r *routedRequest) reserveSlot(into *reservedSlot) bool {
	picker := r.h.currentPicker()
	target := picker.Target(r.req.Target)
	if target == nil || !r.mayServe(picker) {
		return false
	}
	q := r.query(picker)
	choice, ok := target.ReserveSlot(q)
	if ok {
		*into = reservedSlot{picker: picker, target: target, choice: choice, query: q}
	}
	return ok
}

// queueRefusal returns the refusal of a request that got no slot.
func (r *routedRequest) queueRefusal(ctx context.Context, err error, gate *fairqueue.Gate) *verdict.Refusal {
	if ctx.Err() != nil {
		return notSentRefusal()
	}
	r.h.metrics.refused.Inc(1)
	_, wait := gate.ExpectedWait(r.queueTeam(), 1, int(r.req.Priority))
	picker := r.h.currentPicker()
	if t := picker.Target(r.req.Target); t != nil {
		r.logRefusal(err.Error(), r.query(picker), t)
	}
	detail := "no backend server came free in time"
	if errorx.IsOfType(err, fairqueue.ErrQueueFull) {
		detail = "too many requests wait"
	}
	return verdict.Busy(verdict.CodeOverloaded, detail, max(wait, time.Second))
}

// notSentRefusal returns the refusal of a request whose caller disconnected or
// whose deadline passed before it was sent.
func notSentRefusal() *verdict.Refusal {
	return verdict.Busy(verdict.CodeDeadline, "the request was not sent before its deadline", retryAfterUnavailable)
}

// send sends the request to the backend server of a reserved slot, releases the
// slot, and records the outcome.
func (r *routedRequest) send(ctx context.Context, p *reservedSlot, w pipeline.Response) *verdict.Refusal {
	now, server := r.h.cfg.Now, p.choice.Candidate.Server
	defer server.Release()
	m := &responseMeter{Response: w, now: now, onFirstByte: server.RecordProgress}
	nonStreaming := r.req.Model != nil && !r.req.Chat.Stream
	if nonStreaming {
		// The first byte comes with the end of the response, so its absence is
		// no sign of a stall.
		m.onFirstByte = func(clock.Instant) {}
	}
	started := now()
	if r.req.Model != nil {
		m.onEvents = func(events int) { r.reportSlowStream(p, events, m.firstByteAt) }
	}
	if !nonStreaming {
		server.RecordSent(started)
	}
	refusal := r.h.cfg.Backend.SendBackend(ctx, r.withSnapshot(p.picker), p.choice.Candidate.Config, m)
	m.finish()
	r.recordOutcome(p, m, refusal, started)
	return refusal
}

// reportSlowStream records a stream that is far behind the usual event rate of
// the target's streams, without waiting for the end of the stream.
func (r *routedRequest) reportSlowStream(p *reservedSlot, events int, firstByteAt clock.Instant) {
	now := r.h.cfg.Now()
	usual := time.Duration(events) * p.target.EventTime()
	actual := now.Sub(firstByteAt)
	if usual > 0 && actual > slowStreamFactor*usual+slowStreamGrace {
		p.target.RecordSlowStream(p.choice.Candidate, now, actual.Seconds()/usual.Seconds())
	}
}

// recordOutcome updates the statistics of a backend server after an exchange.
func (r *routedRequest) recordOutcome(p *reservedSlot, m *responseMeter, refusal *verdict.Refusal, started clock.Instant) {
	now := r.h.cfg.Now()
	server := p.choice.Candidate.Server
	actual := now.Sub(started)
	expected := p.choice.Estimate.ExpectedService(p.query.AnswerTime)
	switch {
	case refusal == nil:
		server.Breaker.RecordSuccess()
		server.RecordServiceTime(now, p.choice.Estimate.ExpectedService(r.expectedResponseTime(p, m)), actual)
		if m.events > 1 {
			p.target.RecordEventTime(m.events, actual)
		}
		p.target.RecordPrefix(p.choice.Candidate, p.query.Prefix, now)
	case m.writeFailed:
		// The caller disconnected, or another attempt provides the response.
	case refusal.Code == verdict.CodeBackendFailed || refusal.Code == verdict.CodeAnswerCut:
		server.Breaker.RecordFailure(now)
	case actual > expected:
		// The attempt was abandoned, so actual is a lower bound of the server's
		// time.
		server.RecordServiceTime(now, expected, actual)
	}
}

// expectedResponseTime returns the expected time of the response that was
// received. Each event of a stream counts as one token, unless there are fewer
// events than half the maximum number of tokens: an event then probably holds
// several tokens, and the estimate made for the request is used.
func (r *routedRequest) expectedResponseTime(p *reservedSlot, m *responseMeter) time.Duration {
	if r.req.Model == nil || 2*m.events < r.req.Chat.MaxTokens {
		return p.query.AnswerTime
	}
	return seconds(float64(m.events) * r.req.Model.Spec.SecondsPerToken)
}

// sendToRegion sends the request to another region.
func (r *routedRequest) sendToRegion(ctx context.Context, picker *routing.Picker, plan routing.Plan, q *routing.Query) *verdict.Refusal {
	option := plan.Region
	member := option.PickMember(q)
	r.regionHopUsed = true
	r.tried = append(r.tried, option.Name)
	r.h.metrics.crossRegion.Inc(1)
	first := func(ctx context.Context, w pipeline.Response) *verdict.Refusal {
		return r.sendToPeer(ctx, picker, plan, member, w)
	}
	target := picker.Target(r.req.Target)
	delay := r.hedgeDelay(target, plan.Estimate)
	return r.sendHedged(ctx, target, delay, first)
}

// sendToPeer sends the request to a gateway of another region and records how
// long it was queued there.
func (r *routedRequest) sendToPeer(ctx context.Context, picker *routing.Picker, plan routing.Plan, member *snapshot.Member, w pipeline.Response) *verdict.Refusal {
	now, traffic := r.h.cfg.Now, plan.Region.Traffic
	traffic.Start(now())
	defer traffic.End()
	expected := plan.Estimate.Link + plan.Estimate.Service
	if r.req.Chat.Stream {
		expected = plan.Estimate.Link + plan.Estimate.Prefill
	}
	started := now()
	m := &responseMeter{Response: w, now: now, onFirstByte: func(at clock.Instant) {
		traffic.RecordWait(at, at.Sub(started)-expected)
	}}
	refusal := r.h.cfg.Peer.SendPeer(ctx, r.withSnapshot(picker), pipeline.HopRegion, member, m)
	if refusal != nil && refusal.Code == verdict.CodeOverloaded {
		traffic.RecordWait(now(), refusal.RetryAfter)
	}
	return refusal
}

// slotHedgeDelay returns how long a request may wait for its first byte from a
// backend server before it is hedged.
func (r *routedRequest) slotHedgeDelay(p *reservedSlot) time.Duration {
	return r.hedgeDelay(p.target, p.choice.Estimate)
}

// hedgeDelay returns the time without a first byte after which the policy
// hedges; zero means never.
func (r *routedRequest) hedgeDelay(target *routing.Target, e routing.Estimate) time.Duration {
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

// prepareHedge returns the second attempt of a hedged request, or nil if no
// untried backend server of the local region has a free slot or the retry
// budget is empty.
func (r *routedRequest) prepareHedge() func(ctx context.Context, w pipeline.Response) *verdict.Refusal {
	var p reservedSlot
	if !r.reserveSlot(&p) {
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

// serveRoundRobin implements the algorithm home-round-robin.
func (r *routedRequest) serveRoundRobin(ctx context.Context, picker *routing.Picker, target *routing.Target) (*verdict.Refusal, bool) {
	q := r.query(picker)
	c := target.NextRoundRobin(q)
	if c == nil || !r.mayServe(picker) {
		return r.unavailableRefusal(routing.Plan{}), false
	}
	return r.sendUnqueued(ctx, picker, target, c, q), true
}

// serveLeastLoad implements the algorithm least-load.
func (r *routedRequest) serveLeastLoad(ctx context.Context, picker *routing.Picker, target *routing.Target) (*verdict.Refusal, bool) {
	q := r.query(picker)
	c, option := target.LeastLoaded(q, r.mayServe(picker), r.regionFilter(picker, target))
	switch {
	case option != nil:
		return r.sendToRegion(ctx, picker, routing.Plan{Region: option}, q), true
	case c != nil:
		return r.sendUnqueued(ctx, picker, target, c, q), true
	default:
		return r.unavailableRefusal(routing.Plan{}), false
	}
}

// sendUnqueued sends the request to a backend server without waiting for a
// slot.
func (r *routedRequest) sendUnqueued(ctx context.Context, picker *routing.Picker, target *routing.Target, c *routing.Candidate, q *routing.Query) *verdict.Refusal {
	c.Server.Reserve(math.MaxInt)
	r.tried = append(r.tried, c.Config.Name)
	r.h.metrics.local.Inc(1)
	p := &reservedSlot{picker: picker, target: target, choice: routing.Choice{Candidate: c}, query: q}
	return r.send(ctx, p, r.w)
}
