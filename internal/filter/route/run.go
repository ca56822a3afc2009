package route

import (
	"context"
	"net/http"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/routing"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

const (
	// headBytes is the size of the headers of a request or answer.
	headBytes = 600
	// tokenBytes and eventBytes are the sizes of a token in a whole answer and
	// in a stream.
	tokenBytes = 5
	eventBytes = 200
	// boundBoost is the boost of a team that can't use the slots that other
	// regions have to spare.
	boundBoost = 4
	// atOnce is the longest wait that still counts as none.
	atOnce = 100 * time.Millisecond
	// serviceAnswerBytes is the size of a plain service's answer.
	serviceAnswerBytes = 2000
)

// remoteSuffix marks a team's requests from other regions in the queue.
const remoteSuffix = " (from another region)"

// run is one request on its way through the handler.
type run struct {
	h   *Handler
	req *pipeline.Request
	w   pipeline.Response

	// tried names the servers and regions that were sent to.
	tried []string
	// crossed means that the region hop has been used.
	crossed bool
	// waited is the time spent waiting for slots, over all attempts.
	waited time.Duration
	// slotWait is the wait for another slot as it was expected at first.
	slotWait time.Duration
	// mayHaveRun means that some attempt may have run.
	mayHaveRun bool
}

// attempt chooses a place and sends the request there. sent is false where the
// request was not sent anywhere.
func (r *run) attempt(ctx context.Context) (refusal *verdict.Refusal, sent bool) {
	picker := r.h.current()
	target := picker.Target(r.req.Target)
	if target == nil {
		return verdict.Refuse(http.StatusNotFound, verdict.CodeNoBackend, "the configuration has no route for "+r.req.Target), false
	}
	switch target.Policy.Algorithm {
	case objects.AlgorithmHomeRoundRobin:
		return r.inTurn(ctx, picker, target)
	case objects.AlgorithmLeastLoad:
		return r.leastLoad(ctx, picker, target)
	default:
		return r.bestPlace(ctx, picker, target)
	}
}

// bestPlace sends to the place with the least score. A request that waits for
// a slot of the own region leaves for another region once that is better.
func (r *run) bestPlace(ctx context.Context, picker *routing.Picker, target *routing.Target) (*verdict.Refusal, bool) {
	q := r.query(picker)
	plan := target.Decide(q, picker.Snapshot.Self.Region, r.local(picker, target, q), r.permitted(picker, target))
	if plan.Local {
		refusal, sent, better := r.serve(ctx, plan)
		if better == nil {
			return refusal, sent
		}
		picker, plan, q = better.picker, better.plan, better.query
	}
	if plan.Region != nil {
		return r.cross(ctx, picker, plan, q), true
	}
	r.h.metrics.refused.Inc(1)
	r.logRefusal("not in time", q, target)
	return r.refuse(plan), false
}

// alternative is a crossing that is better than a longer wait.
type alternative struct {
	picker *routing.Picker
	plan   routing.Plan
	query  *routing.Query
}

// elsewhere returns a crossing that is better than to wait on, or nil. A wait
// that has lasted longer than was expected is taken to last as long again.
// Without local, a request that has waited as long as it may crosses only to a
// region that has a slot for it at once.
func (r *run) elsewhere(expected, waited time.Duration, local bool) *alternative {
	picker := r.h.current()
	target := picker.Target(r.req.Target)
	if target == nil {
		return nil
	}
	left := expected - waited
	if left <= 0 {
		left = waited
	}
	q := r.query(picker)
	own := routing.LocalOption{Allowed: local && r.mayServe(picker), Wait: left, FullWait: left}
	plan := target.Decide(q, picker.Snapshot.Self.Region, own, r.permitted(picker, target))
	if plan.Region == nil || !local && plan.Estimate.Wait > atOnce {
		return nil
	}
	return &alternative{picker: picker, plan: plan, query: q}
}

// refuse returns the refusal of a request that no place can serve in time.
func (r *run) refuse(plan routing.Plan) *verdict.Refusal {
	if plan.RetryAfter > 0 {
		return verdict.Busy(verdict.CodeOverloaded, "no backend server can serve the request before its deadline", plan.RetryAfter)
	}
	return verdict.Busy(verdict.CodeNoBackend, "no backend server can serve the request now", retryAfterNoBackend)
}

// query describes the request for the choice.
func (r *run) query(picker *routing.Picker) *routing.Query {
	now := r.h.cfg.Now()
	q := &routing.Query{
		Now: now, Team: r.req.Team, Home: picker.Snapshot.Self.Region,
		RequestBytes: headBytes + len(r.req.Body), AnswerBytes: headBytes + serviceAnswerBytes,
		Remaining: r.req.Deadline.Sub(now), Tried: r.tried, SlotWait: r.slotWait, Random: r.h.cfg.Random(),
		VisitedVMs: r.req.VisitedVMs,
	}
	if team := picker.Snapshot.Config.Teams[r.req.Team]; team != nil && team.Spec.Home != "" {
		q.Home = team.Spec.Home
	}
	switch {
	case r.req.Model != nil:
		describeChat(q, r.req)
	case r.req.Call != nil:
		q.AnswerTime = seconds(r.req.Call.Seconds)
	}
	return q
}

func describeChat(q *routing.Query, req *pipeline.Request) {
	spec, chat := req.Model.Spec, req.Chat
	q.Prefix = chat.Prefix
	q.PrefillTime = seconds(float64(chat.PromptTokens) * spec.SecondsPerPromptToken)
	q.AnswerTime = seconds(float64(chat.MaxTokens) * spec.SecondsPerToken)
	perToken := tokenBytes
	if chat.Stream {
		perToken = eventBytes
	}
	q.AnswerBytes = headBytes + chat.MaxTokens*perToken
}

// local returns the own region's part in the choice.
func (r *run) local(picker *routing.Picker, target *routing.Target, q *routing.Query) routing.LocalOption {
	if !r.mayServe(picker) || len(target.Candidates) == 0 {
		return routing.LocalOption{}
	}
	wait, full := r.h.gate(target.Name).ExpectedWait(r.queueTeam(), r.weight(picker), int(r.req.Priority))
	r.slotWait = full
	return routing.LocalOption{Allowed: true, Wait: wait, FullWait: full}
}

// mayServe reports whether the newest configuration lets the own region serve.
func (r *run) mayServe(picker *routing.Picker) bool {
	config, own := picker.Snapshot.Config, picker.Snapshot.Self.Region
	return config.Permits(r.req.Team, own) && config.RouteAllows(r.req.Target, own)
}

// permitted returns which regions the request may go to. It is none once the
// region hop is used, or while the configuration is not confirmed. Both the
// newest configuration and the one of the request's start must agree.
func (r *run) permitted(picker *routing.Picker, target *routing.Target) func(region string) bool {
	s := picker.Snapshot
	open := r.req.Hop != pipeline.HopRegion && !r.crossed &&
		s.ConfigFresh(r.h.cfg.Now(), target.Policy.MaxConfigAge.AsDuration())
	return func(region string) bool {
		return open && region != s.Self.Region &&
			s.Config.Permits(r.req.Team, region) && r.req.Snapshot.Config.Permits(r.req.Team, region) &&
			s.Config.RouteAllows(r.req.Target, region)
	}
}

// weight returns the team's share of the slots.
func (r *run) weight(picker *routing.Picker) float64 {
	if team := picker.Snapshot.Config.Teams[r.req.Team]; team != nil {
		return team.Spec.Weight
	}
	return 1
}

// boost returns by how much the team goes before its share in the queue: while
// other regions have slots to spare, a team that may not use them waits less.
func (r *run) boost(picker *routing.Picker, target *routing.Target) float64 {
	if target == nil || r.req.Hop == pipeline.HopRegion {
		return 1
	}
	now := r.h.cfg.Now()
	permitted := func(region string) bool { return picker.Snapshot.Config.Permits(r.req.Team, region) }
	if target.HasSpareRegion(now, nil) && !target.HasSpareRegion(now, permitted) {
		return boundBoost
	}
	return 1
}

// queueTeam returns the team's name in the queue. Requests from another region
// stand apart from those of the team's callers here.
func (r *run) queueTeam() string {
	if r.req.Hop == pipeline.HopRegion {
		return r.req.Team + remoteSuffix
	}
	return r.req.Team
}

// request returns the request as it is sent with the snapshot that decided.
func (r *run) request(picker *routing.Picker) *pipeline.Request {
	if r.req.Snapshot.Config == picker.Snapshot.Config {
		return r.req
	}
	sent := *r.req
	sent.Snapshot = picker.Snapshot
	return &sent
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
