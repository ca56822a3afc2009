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
	// headerBytes is the assumed size of the headers of a request or response.
	headerBytes = 600
	// tokenBytes and eventBytes are the assumed sizes of a token in a complete
	// response and in a stream.
	tokenBytes = 5
	eventBytes = 200
	// residencyBoost multiplies the queue weight of a team that may not use the
	// spare slots of other regions.
	residencyBoost = 4
	// maxImmediateWait is the maximum expected wait that is treated as no wait.
	maxImmediateWait = 100 * time.Millisecond
	// serviceResponseBytes is the assumed size of the response body of a plain
	// service.
	serviceResponseBytes = 2000
)

// remoteSuffix is appended to the team name under which requests from other
// regions are queued.
const remoteSuffix = " (from another region)"

// routedRequest holds the state of one request across its attempts.
type routedRequest struct {
	h   *Handler
	req *pipeline.Request
	w   pipeline.Response

	// tried names the backend servers and regions to which the request was
	// sent.
	tried []string
	// regionHopUsed means that the request was sent to another region.
	regionHopUsed bool
	// queueTime is the time spent waiting for slots, over all attempts.
	queueTime time.Duration
	// initialSlotWait is the expected wait for a slot if none is free, as
	// estimated before the request is queued.
	initialSlotWait time.Duration
	// mayHaveRun means that at least one attempt may have run.
	mayHaveRun bool
}

// attempt chooses a backend server or region and sends the request there. sent
// is false if the request was not sent anywhere.
func (r *routedRequest) attempt(ctx context.Context) (refusal *verdict.Refusal, sent bool) {
	picker := r.h.currentPicker()
	target := picker.Target(r.req.Target)
	if target == nil {
		return verdict.Refuse(http.StatusNotFound, verdict.CodeNoBackend, "the configuration has no route for "+r.req.Target), false
	}
	switch target.Policy.Algorithm {
	case objects.AlgorithmHomeRoundRobin:
		return r.serveRoundRobin(ctx, picker, target)
	case objects.AlgorithmLeastLoad:
		return r.serveLeastLoad(ctx, picker, target)
	default:
		return r.serveExpectedCompletion(ctx, picker, target)
	}
}

// serveExpectedCompletion implements the algorithm expected-completion: it
// sends the request to the option with the lowest score. A request queued for a
// local slot is sent to another region if that becomes the better option.
func (r *routedRequest) serveExpectedCompletion(ctx context.Context, picker *routing.Picker, target *routing.Target) (*verdict.Refusal, bool) {
	q := r.query(picker)
	plan := target.Decide(q, picker.Snapshot.Self.Region, r.localOption(picker, target, q), r.regionFilter(picker, target))
	if plan.Local {
		refusal, sent, better := r.serve(ctx, plan)
		if better == nil {
			return refusal, sent
		}
		picker, plan, q = better.picker, better.plan, better.query
	}
	if plan.Region != nil {
		return r.sendToRegion(ctx, picker, plan, q), true
	}
	r.h.metrics.refused.Inc(1)
	r.logRefusal("no region can serve the request in time", q, target)
	return r.unavailableRefusal(plan), false
}

// crossRegionPlan is a plan to send a queued request to another region, which is
// better than to keep it waiting for a local slot.
type crossRegionPlan struct {
	picker *routing.Picker
	plan   routing.Plan
	query  *routing.Query
}

// planCrossRegion returns a plan to send the request to another region, or nil
// if it is better to keep waiting for a local slot. If the wait has reached the
// expected wait, the remaining wait is assumed to be as long as the wait so far.
// If allowLocal is false, the request can't wait any longer, and only a region
// that has a slot for it at once is eligible.
func (r *routedRequest) planCrossRegion(expected, waited time.Duration, allowLocal bool) *crossRegionPlan {
	picker := r.h.currentPicker()
	target := picker.Target(r.req.Target)
	if target == nil {
		return nil
	}
	remaining := expected - waited
	if remaining <= 0 {
		remaining = waited
	}
	q := r.query(picker)
	local := routing.LocalOption{Allowed: allowLocal && r.mayServe(picker), Wait: remaining, FullWait: remaining}
	plan := target.Decide(q, picker.Snapshot.Self.Region, local, r.regionFilter(picker, target))
	if plan.Region == nil || !allowLocal && plan.Estimate.Wait > maxImmediateWait {
		return nil
	}
	return &crossRegionPlan{picker: picker, plan: plan, query: q}
}

// unavailableRefusal returns the refusal of a request that no backend server or
// region can serve in time.
func (r *routedRequest) unavailableRefusal(plan routing.Plan) *verdict.Refusal {
	if plan.RetryAfter > 0 {
		return verdict.Busy(verdict.CodeOverloaded, "no backend server can serve the request before its deadline", plan.RetryAfter)
	}
	return verdict.Busy(verdict.CodeNoBackend, "no backend server can serve the request now", retryAfterUnavailable)
}

// query returns the properties of the request on which the choice depends.
func (r *routedRequest) query(picker *routing.Picker) *routing.Query {
	now := r.h.cfg.Now()
	q := &routing.Query{
		Now: now, Team: r.req.Team, Home: picker.Snapshot.Self.Region,
		RequestBytes: headerBytes + len(r.req.Body), AnswerBytes: headerBytes + serviceResponseBytes,
		Remaining: r.req.Deadline.Sub(now), Tried: r.tried, SlotWait: r.initialSlotWait, Random: r.h.cfg.Random(),
		VisitedVMs: r.req.VisitedVMs,
	}
	if team := picker.Snapshot.Config.Teams[r.req.Team]; team != nil && team.Spec.Home != "" {
		q.Home = team.Spec.Home
	}
	switch {
	case r.req.Model != nil:
		setChatEstimates(q, r.req)
	case r.req.Call != nil:
		q.AnswerTime = seconds(r.req.Call.Seconds)
	}
	return q
}

// setChatEstimates sets the prefix and the estimated times and response size of
// a chat request.
func setChatEstimates(q *routing.Query, req *pipeline.Request) {
	spec, chat := req.Model.Spec, req.Chat
	q.Prefix = chat.Prefix
	q.PrefillTime = seconds(float64(chat.PromptTokens) * spec.SecondsPerPromptToken)
	q.AnswerTime = seconds(float64(chat.MaxTokens) * spec.SecondsPerToken)
	perToken := tokenBytes
	if chat.Stream {
		perToken = eventBytes
	}
	q.AnswerBytes = headerBytes + chat.MaxTokens*perToken
}

// localOption returns the option to serve the request in the local region.
func (r *routedRequest) localOption(picker *routing.Picker, target *routing.Target, q *routing.Query) routing.LocalOption {
	if !r.mayServe(picker) || len(target.Candidates) == 0 {
		return routing.LocalOption{}
	}
	wait, full := r.h.gate(target.Name).ExpectedWait(r.queueTeam(), r.weight(picker), int(r.req.Priority))
	r.initialSlotWait = full
	return routing.LocalOption{Allowed: true, Wait: wait, FullWait: full}
}

// mayServe reports whether the newest configuration permits the local region to
// serve the request.
func (r *routedRequest) mayServe(picker *routing.Picker) bool {
	config, local := picker.Snapshot.Config, picker.Snapshot.Self.Region
	return config.Permits(r.req.Team, local) && config.RouteAllows(r.req.Target, local)
}

// regionFilter returns a function that reports whether the request may be sent
// to a region. No region is permitted once the region hop has been used, or
// while the configuration is unconfirmed or was confirmed longer ago than the
// policy's MaxConfigAge. The residency rules of both the newest configuration
// and the one at the start of the request must permit the region.
func (r *routedRequest) regionFilter(picker *routing.Picker, target *routing.Target) func(region string) bool {
	s := picker.Snapshot
	hopAllowed := r.req.Hop != pipeline.HopRegion && !r.regionHopUsed &&
		s.ConfigFresh(r.h.cfg.Now(), target.Policy.MaxConfigAge.AsDuration())
	return func(region string) bool {
		return hopAllowed && region != s.Self.Region &&
			s.Config.Permits(r.req.Team, region) && r.req.Snapshot.Config.Permits(r.req.Team, region) &&
			s.Config.RouteAllows(r.req.Target, region)
	}
}

// weight returns the team's weight in the queue and for its share of the slots.
func (r *routedRequest) weight(picker *routing.Picker) float64 {
	if team := picker.Snapshot.Config.Teams[r.req.Team]; team != nil {
		return team.Spec.Weight
	}
	return 1
}

// boost returns the factor by which the team's weight in the queue is raised.
// While other regions have spare slots, a team that may not use them waits
// less.
func (r *routedRequest) boost(picker *routing.Picker, target *routing.Target) float64 {
	if target == nil || r.req.Hop == pipeline.HopRegion {
		return 1
	}
	now := r.h.cfg.Now()
	permitted := func(region string) bool { return picker.Snapshot.Config.Permits(r.req.Team, region) }
	if target.HasSpareRegion(now, nil) && !target.HasSpareRegion(now, permitted) {
		return residencyBoost
	}
	return 1
}

// queueTeam returns the name under which the request is queued. Requests from
// another region are queued separately from those of the team's local callers.
func (r *routedRequest) queueTeam() string {
	if r.req.Hop == pipeline.HopRegion {
		return r.req.Team + remoteSuffix
	}
	return r.req.Team
}

// withSnapshot returns the request to be sent, with the snapshot on which the
// choice was made.
func (r *routedRequest) withSnapshot(picker *routing.Picker) *pipeline.Request {
	if r.req.Snapshot.Config == picker.Snapshot.Config {
		return r.req
	}
	sent := *r.req
	sent.Snapshot = picker.Snapshot
	return &sent
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
