package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutspring/chestnutspring/internal/admission"
	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/spread"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// This file holds requests back whose service is contended, in the order of package admission.

// admissionGates are the gates of the services. The zero value is ready to use.
type admissionGates struct {
	services sync.Map // service name to *admissionGate
	weights  atomic.Pointer[meanWeight]
}

// meanWeight is the mean limit of the teams of a table.
type meanWeight struct {
	table *ingress.Table
	mean  float64
}

// admissionGate is the gate of one service. Nothing blocks while its lock is held.
type admissionGate struct {
	mu        sync.Mutex
	gate      *admission.Gate
	ready     map[*admission.Request]chan struct{}
	scheduled bool
}

// pass is the permission of a request to be sent to a server of its service.
type pass struct {
	gate    *admissionGate
	request *admission.Request
}

// weightOf returns the weight of a team: its limit in requests per second, or the mean of those
// of the teams that have one. A nil team is that of requests without one.
func (a *admissionGates) weightOf(table *ingress.Table, team *ingress.Team) float64 {
	if team != nil && team.Limit.PerSecond > 0 {
		return requestLimit(team)
	}
	m := a.weights.Load()
	if m == nil || m.table != table {
		m = &meanWeight{table: table, mean: meanRequestLimit(table)}
		a.weights.Store(m)
	}
	return m.mean
}

// requestLimit returns a team's limit in requests per second. Tokens count as requests with the
// number of tokens that is assumed of those that don't state it.
func requestLimit(team *ingress.Team) float64 {
	if team.Limit.Tokens {
		return team.Limit.PerSecond / float64(max(1, team.Limit.PlainTokens))
	}
	return team.Limit.PerSecond
}

// meanRequestLimit returns the mean limit of the teams that have one, or 1.
func meanRequestLimit(table *ingress.Table) float64 {
	sum, n := 0.0, 0
	_, visit := table.Teams()
	visit(func(team *ingress.Team) bool {
		if team.Limit.PerSecond > 0 {
			sum += requestLimit(team)
			n++
		}
		return true
	})
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// admissionGate returns the gate of the request's service, or nil if its requests aren't ordered:
// the configuration has no teams, and no plain server has refused requests lately.
func (x *transaction) admissionGate() *admissionGate {
	v, ok := x.admission.services.Load(x.service.Name)
	switch {
	case x.table.HasTeams():
		if !ok {
			v, _ = x.admission.services.LoadOrStore(x.service.Name, x.newAdmissionGate())
		}
		return v.(*admissionGate)
	case !ok || x.service.Engine != nil:
		return nil
	}
	g := v.(*admissionGate)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.gate.Refusing(x.Now()) && g.gate.Waiting() == 0 {
		return nil
	}
	return g
}

func (x *transaction) newAdmissionGate() *admissionGate {
	phase := spread.Unit(xxhash.Sum64String(x.VM + "/" + x.service.Name))
	return &admissionGate{gate: admission.New(phase), ready: map[*admission.Request]chan struct{}{}}
}

// awaitAdmission lets a caller's request pass that is about to be sent to a server of this region,
// or holds it while the service is contended. Held means that another plan may be better now, as
// the request was held or is to go to another region.
func (x *transaction) awaitAdmission(ctx context.Context, plan *balance.Plan) (held bool, refusal *verdict.Refusal) {
	if plan.Server == nil {
		x.endAdmission(false)
		if plan.Region == "" && x.possibleRuns == 0 {
			refusal = x.admissionRefusal
		}
		return false, refusal
	}
	// A request that may have run, or whose caller has a part of the response, isn't held: it
	// can't be refused as not run.
	if x.pass != nil || x.req.Entry != "" || x.possibleRuns > 0 || x.origin != nil || x.w.Started() {
		return false, nil
	}
	g := x.admissionGate()
	if g == nil {
		return false, nil
	}
	r := x.admissionRequest()
	full := plan.Estimate.ActiveRequests >= float64(max(1, plan.Server.Slots))
	decision, ready := g.arrive(x, r, full)
	if decision == admission.Wait {
		held = true
		select {
		case <-ready:
		case <-ctx.Done():
			g.cancel(x, r)
		}
	}
	if held || decision != admission.Pass {
		x.recordAdmission(r)
	}
	switch r.Decision {
	case admission.Pass:
		x.pass = &pass{gate: g, request: r}
	case admission.Refuse, admission.Late:
		x.admissionRefusal = verdict.Busy(verdict.CodeOverloaded, "no backend server can begin in time: waiting requests of this and other teams go first", jitter(r.RetryAfter))
		if !x.leaveRegion() {
			return held, x.admissionRefusal
		}
		held = true
	case admission.Wait: // the request has ended
	}
	return held, nil
}

// leaveRegion excludes this region from the next choice if another one has room, and reports
// whether that is so.
func (x *transaction) leaveRegion() bool {
	q := x.query()
	if !x.Balancer.RoomElsewhere(&q) {
		return false
	}
	for _, s := range x.Roster.View().Usable(x.service.Name, x.Region) {
		x.triedServers = append(x.triedServers, s.Key())
	}
	x.triedRegions = append(x.triedRegions, x.Region)
	return true
}

// admissionRequest returns the request as the gate sees it.
func (x *transaction) admissionRequest() *admission.Request {
	objective := x.route.LatencyObjective
	if objective <= 0 {
		objective = x.deadline.Sub(x.req.Arrived)
	}
	r := &admission.Request{
		Team: x.req.Team, HasTeams: x.table.HasTeams(), Weight: x.admission.weightOf(x.table, x.team), Priority: x.table.Priority(x.route, x.team, maxPriority),
		Arrived: x.req.Arrived, Objective: objective, Returned: x.sends > 0, Held: x.admissionHeld,
	}
	if !r.HasTeams {
		r.Team, r.Weight = "", 1
	}
	return r
}

// arrive returns the decision on a request and, if it waits, the channel that is closed once that
// has changed.
func (g *admissionGate) arrive(x *transaction, r *admission.Request, full bool) (admission.Decision, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	occupancy := x.occupancy()
	decision := g.gate.Arrive(r, full, occupancy, x.Now())
	if decision != admission.Wait {
		return decision, nil
	}
	ready := make(chan struct{})
	g.ready[r] = ready
	g.advance(x.Relay, x.service, occupancy)
	return decision, ready
}

// advance informs the requests that wait no longer. The caller holds the lock.
func (g *admissionGate) advance(r *Relay, service *ingress.Service, occupancy func() admission.Occupancy) {
	for _, decided := range g.gate.Advance(occupancy, r.Now()) {
		close(g.ready[decided])
		delete(g.ready, decided)
	}
	if g.scheduled || g.gate.Waiting() == 0 {
		return
	}
	g.scheduled = true
	time.AfterFunc(admission.AdvanceInterval, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.scheduled = false
		g.advance(r, service, r.occupancyOf(service))
	})
}

// cancel removes a request from the queue whose context has ended.
func (g *admissionGate) cancel(x *transaction, r *admission.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gate.Cancel(r, x.Now()) {
		delete(g.ready, r)
	}
}

// occupancy returns the occupancy of the servers of the request's service.
func (x *transaction) occupancy() func() admission.Occupancy { return x.occupancyOf(x.service) }

func (r *Relay) occupancyOf(service *ingress.Service) func() admission.Occupancy {
	return func() admission.Occupancy {
		return admission.Occupancy(r.Balancer.Occupancy(service, r.Roster.View(), r.Now()))
	}
}

// endAdmission records the end of the send for which the request had passed. Later calls do
// nothing.
func (x *transaction) endAdmission(served bool) {
	if x.pass == nil {
		return
	}
	g, r := x.pass.gate, x.pass.request
	x.pass, x.admissionHeld = nil, r.Held
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.End(r, served, x.Now())
	if g.gate.Waiting() > 0 {
		g.advance(x.Relay, x.service, x.occupancy())
	}
}

// recordAdmissionOutcome informs the gate of a send to a server. A request that was refused for
// lack of room may be sent again only if its team uses less than its share.
func (x *transaction) recordAdmissionOutcome(plan *balance.Plan, out *outcome) {
	defer x.endAdmission(out.delivered)
	if plan.Server == nil || x.sentToVM || !out.notRun || !out.mayHaveArrived || !x.table.HasTeams() && x.service.Engine != nil {
		return
	}
	v, ok := x.admission.services.Load(x.service.Name)
	if !ok {
		v, _ = x.admission.services.LoadOrStore(x.service.Name, x.newAdmissionGate())
	}
	r, g, o := x.admissionRequest(), v.(*admissionGate), x.occupancy()()
	g.mu.Lock()
	mayReturn := g.gate.RecordRefusal(r, x.sends, x.budget.Ample(x.Now()), o, x.Now())
	g.mu.Unlock()
	switch {
	case x.pass == nil:
	case !mayReturn:
		out.final = true
	case r.HasTeams && x.possibleRuns == 0 && len(x.triedServers) >= o.Servers:
		// All servers were full when they were tried. The request is held before the next try.
		x.triedServers = nil
	}
}

// recordAdmission counts and logs the decision on a request that was held or refused.
func (x *transaction) recordAdmission(r *admission.Request) {
	x.Metrics.countAdmission(r.Decision, r.Team)
	log := x.Log.Info
	if r.Decision != admission.Pass {
		log = x.Log.Warn
	}
	log("request ordered among those of a contended service", "request", x.req.ID, "service", x.service.Name, "team", r.Team,
		"decision", r.Decision.String(), "waiting", r.Waiting, "share", r.Share, "expectedWait", r.Expected, "held", r.Held,
		"priority", r.Priority, "weight", r.Weight, "objective", r.Objective, "returned", r.Returned, "retryAfter", r.RetryAfter)
}
