package routing

import (
	"slices"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/spread"
)

const (
	// summaryMaxAge is how long a region's summary is used for decisions.
	summaryMaxAge = 10 * time.Second
	// regionContactTimeout is the time without contact after which no requests
	// are sent to a region.
	regionContactTimeout = 5 * time.Second
	// unknownWait is the wait assumed for a region without a fresh summary.
	unknownWait    = time.Second
	bitsPerMegabit = 1e6
	// spareDivisor sets the spare capacity that justifies a cross-region
	// request: more than 1/spareDivisor of the region's slots must be free.
	spareDivisor = 8
	// lastResortSeconds is the score penalty of backend servers that are a last
	// resort.
	lastResortSeconds = 5
	// queueWaitWeight is the weight of the expected queue wait in a score. It
	// is more than 1 because later requests may be served first.
	queueWaitWeight = 2
	// minServiceFraction is the fraction of the estimated service time that a
	// request is certain to take. A request is only refused if its deadline
	// rules out even that.
	minServiceFraction = 0.8
)

// Plan says where a request is sent: to the local region's backend servers, to
// another region or, with neither set, nowhere.
type Plan struct {
	Local    bool
	Region   *RegionOption
	Estimate Estimate
	// RetryAfter is when a refused request may be retried. It is set if every
	// option would miss the deadline.
	RetryAfter time.Duration
}

// LocalOption describes the local region as an option for Decide.
type LocalOption struct {
	// Allowed is false if the local region may not or cannot serve the request.
	Allowed bool
	// Wait is the expected wait for a slot; zero means that the request may use
	// a free slot now. FullWait is the wait if no slot is free.
	Wait, FullWait time.Duration
}

// Decide returns the option with the lowest score that can meet the deadline:
// the local region or one of the regions that permitted accepts.
func (t *Target) Decide(q *Query, localRegion string, local LocalOption, permitted func(region string) bool) Plan {
	var plan, tooLate Plan
	consider := func(p Plan) {
		if p.Estimate.minCompletion() > q.Remaining {
			tooLate = earlier(tooLate, p)
			return
		}
		if !plan.found() || p.Estimate.Score < plan.Estimate.Score {
			plan = p
		}
	}
	localUsable := false
	if local.Allowed {
		e, found, usable := t.localEstimate(q, localRegion, local)
		if found {
			consider(Plan{Local: true, Estimate: e})
		}
		localUsable = usable
	}
	considerRegions := func(minSpare int) {
		for i := range t.Regions {
			o := &t.Regions[i]
			if !permitted(o.Name) || slices.Contains(q.Tried, o.Name) || !o.available(q, t) {
				continue
			}
			// A cross-region request uses spare capacity. It doesn't move from one
			// queue to another while the local region is usable.
			if localUsable && o.freeSlots(q.Now, t.gateways) <= o.capacity*minSpare/spareDivisor {
				continue
			}
			consider(Plan{Region: o, Estimate: t.regionEstimate(o, q)})
		}
	}
	considerRegions(1)
	if !plan.found() {
		considerRegions(0)
	}
	if !plan.found() && tooLate.found() {
		return Plan{RetryAfter: max(tooLate.Estimate.Wait, time.Second)}
	}
	return plan
}

func (p Plan) found() bool { return p.Local || p.Region != nil }

// minCompletion returns the minimum time until the response is complete,
// including the estimated wait.
func (e Estimate) minCompletion() time.Duration {
	return e.Wait + e.Link + time.Duration(minServiceFraction*float64(e.Service))
}

// earlier returns the plan that completes first.
func earlier(a, b Plan) Plan {
	if !a.found() || b.Estimate.Completion() < a.Estimate.Completion() {
		return b
	}
	return a
}

// localEstimate scores the local region. usable is false if its candidates are
// a last resort.
func (t *Target) localEstimate(q *Query, localRegion string, local LocalOption) (e Estimate, found, usable bool) {
	best, wait := t.Best(q, false), max(local.Wait, local.FullWait)
	if local.Wait == 0 {
		free := t.Best(q, true)
		if free.Candidate != nil && !t.worthWaiting(free.Estimate, best.Estimate, wait) {
			best, wait = free, 0
		}
	}
	if best.Candidate == nil {
		return Estimate{}, false, false
	}
	e = best.Estimate
	if best.LastResort {
		e.Score += lastResortSeconds
	}
	if wait > 0 {
		e.Score += queueWaitWeight*wait.Seconds() - e.Wait.Seconds()
		e.Wait = wait
	}
	if localRegion != q.Home {
		e.Score += t.Policy.ShareAwayWeight
	}
	return e, true, !best.LastResort
}

// available reports whether requests may be sent to the region: it has an
// unvisited gateway, recent contact and healthy replicas. During its slow start
// only a growing fraction of requests is let through.
func (o *RegionOption) available(q *Query, t *Target) bool {
	if o.PickMember(q) == nil {
		return false
	}
	if o.lastContact != 0 && q.Now.Sub(o.lastContact) > regionContactTimeout {
		return false
	}
	if s := o.freshSummary(q.Now); s != nil && s.Healthy == 0 {
		return false
	}
	fraction := slowStartFraction(q.Now, o.availableSince, t.Policy.SlowStart)
	return fraction >= 1 || spread.Unit(q.Random) < fraction
}

// HasSpareRegion reports whether a region that permitted accepts has slots to
// spare. A nil permitted accepts all.
func (t *Target) HasSpareRegion(now clock.Instant, permitted func(region string) bool) bool {
	for i := range t.Regions {
		o := &t.Regions[i]
		if permitted != nil && !permitted(o.Name) {
			continue
		}
		if s := o.freshSummary(now); s != nil && s.Healthy > 0 && o.freeSlots(now, t.gateways) > o.capacity/spareDivisor {
			return true
		}
	}
	return false
}

// freeSlots returns the region's free slots, less the requests that its summary
// does not cover yet. Each of the local region's gateways is assumed to have
// sent as many as this one. Without a fresh summary, all slots count as free.
func (o *RegionOption) freeSlots(now clock.Instant, gateways int) int {
	s := o.freshSummary(now)
	if s == nil {
		return o.capacity
	}
	return s.Free - o.Traffic.Unreported(now)*gateways
}

// freshSummary returns the region's summary, or nil if it is older than
// summaryMaxAge.
func (o *RegionOption) freshSummary(now clock.Instant) *snapshot.RegionSummary {
	if o.summary == nil || now.Sub(o.summary.ConfirmedAt) > summaryMaxAge {
		return nil
	}
	return o.summary
}

// regionEstimate scores a region by its summary, corrected for the requests
// that the summary does not cover yet. Each of the local region's gateways is
// assumed to have sent as many as this one.
func (t *Target) regionEstimate(o *RegionOption, q *Query) Estimate {
	service := q.Service().Seconds()
	if o.reportedSlowness > 0 {
		service *= o.reportedSlowness
	}
	wait, load := unknownWait.Seconds(), 1.0
	if s := o.freshSummary(q.Now); s != nil {
		free := float64(s.Free) - float64(o.Traffic.Unreported(q.Now)*t.gateways)
		load = 1 - max(0, free)/float64(o.capacity)
		wait = 0
		if free < 1 {
			wait = s.WaitSeconds + (1-free)/float64(o.capacity)*service
		}
	}
	wait = max(wait, o.Traffic.Wait(q.Now))
	loadSlowdown := 1 + loadSlope*min(max(load, 0), 1)
	service *= loadSlowdown
	megabits := float64(q.RequestBytes+q.AnswerBytes) * 8 / bitsPerMegabit
	link := 2 * o.Link.Delay.AsDuration().Seconds()
	if o.Link.MegabitsPerSecond > 0 {
		link += megabits / o.Link.MegabitsPerSecond
	}
	score := wait + service + link + t.Policy.CostWeight*megabits*o.Link.CostPerMegabit
	if o.Name != q.Home {
		score += t.Policy.ShareAwayWeight
	}
	return Estimate{
		Wait: toDuration(wait), Service: toDuration(service), Link: toDuration(link), Score: score,
		Prefill: q.PrefillTime, LoadSlowdown: loadSlowdown,
	}
}

// PickMember returns a random gateway of the region that has not handled the
// request, or nil. The random choice keeps the use of the gateways' slot shares
// even.
func (o *RegionOption) PickMember(q *Query) *snapshot.Member {
	members := o.unvisited(q)
	if len(members) == 0 {
		return nil
	}
	return members[spread.Mix(q.Random^1)%uint64(len(members))]
}

// unvisited returns the members that have not handled the request.
func (o *RegionOption) unvisited(q *Query) []*snapshot.Member {
	visited := func(m *snapshot.Member) bool { return slices.Contains(q.VisitedVMs, m.VM) }
	if !slices.ContainsFunc(o.Members, visited) {
		return o.Members
	}
	return slices.DeleteFunc(slices.Clone(o.Members), visited)
}
