package routing

import (
	"slices"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/spread"
)

const (
	// summaryAge is how long a region's summary is worth a decision.
	summaryAge = 10 * time.Second
	// silentFor is how long a region may be silent before nothing is sent
	// there.
	silentFor = 5 * time.Second
	// unknownWait is the wait assumed for a region without a summary.
	unknownWait    = time.Second
	bitsPerMegabit = 1e6
	// spareDivisor is the part of a region's slots, one in so many, that must be
	// free for a crossing to be of use.
	spareDivisor = 8
	// lastResortSeconds is added to the score of backend servers that seem to
	// be broken.
	lastResortSeconds = 5
	// waitRisk is how much more an expected wait in the queue weighs than a time
	// that is known, as requests that come later may go first.
	waitRisk = 2
	// surePart is the part of an estimated service time that a request is
	// sure to take. Only a deadline below it is a ground for a refusal.
	surePart = 0.8
)

// Plan says where a request goes: to the own region's backend servers, to
// another region, or, with neither, nowhere now.
type Plan struct {
	Local    bool
	Region   *RegionOption
	Estimate Estimate
	// RetryAfter is when a refused request may find room.
	RetryAfter time.Duration
}

// LocalOption is the own region's part in a Plan.
type LocalOption struct {
	// Allowed is false where the own region may not or can't serve.
	Allowed bool
	// Wait is the expected wait for a slot; zero means that the request may
	// take a free one now. FullWait is the wait where none is free.
	Wait, FullWait time.Duration
}

// Decide weighs the own region against the regions that permitted accepts.
func (t *Target) Decide(q *Query, own string, local LocalOption, permitted func(region string) bool) Plan {
	var plan, late Plan
	consider := func(p Plan) {
		if p.Estimate.sure() > q.Remaining {
			late = sooner(late, p)
			return
		}
		if !plan.found() || p.Estimate.Score < plan.Estimate.Score {
			plan = p
		}
	}
	sound := false
	if local.Allowed {
		e, found, usable := t.localEstimate(q, own, local)
		if found {
			consider(Plan{Local: true, Estimate: e})
		}
		sound = usable
	}
	across := func(spare int) {
		for i := range t.Regions {
			o := &t.Regions[i]
			if !permitted(o.Name) || slices.Contains(q.Tried, o.Name) || !o.open(q, t) {
				continue
			}
			// A crossing moves work to spare capacity, not from queue to queue.
			if sound && o.free(q.Now, t.gateways) <= o.capacity*spare/spareDivisor {
				continue
			}
			consider(Plan{Region: o, Estimate: t.regionEstimate(o, q)})
		}
	}
	across(1)
	if !plan.found() {
		across(0)
	}
	if !plan.found() && late.found() {
		return Plan{RetryAfter: max(late.Estimate.Wait, time.Second)}
	}
	return plan
}

func (p Plan) found() bool { return p.Local || p.Region != nil }

// sure returns the time that a request takes at least, with the estimated wait.
func (e Estimate) sure() time.Duration {
	return e.Wait + e.Link + time.Duration(surePart*float64(e.Service))
}

func sooner(a, b Plan) Plan {
	if !a.found() || b.Estimate.Completion() < a.Estimate.Completion() {
		return b
	}
	return a
}

// localEstimate weighs the own region. usable is false where its candidates
// are a last resort.
func (t *Target) localEstimate(q *Query, own string, local LocalOption) (e Estimate, found, usable bool) {
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
		e.Score += waitRisk*wait.Seconds() - e.Wait.Seconds()
		e.Wait = wait
	}
	if own != q.Home {
		e.Score += t.Policy.ShareAwayWeight
	}
	return e, true, !best.LastResort
}

// open reports whether work may be sent to the region: it is heard of, has
// healthy replicas, and a region that came back gets its traffic step by step.
func (o *RegionOption) open(q *Query, t *Target) bool {
	if o.PickMember(q) == nil {
		return false
	}
	if o.heard != 0 && q.Now.Sub(o.heard) > silentFor {
		return false
	}
	if s := o.fresh(q.Now); s != nil && s.Healthy == 0 {
		return false
	}
	part := ramp(q.Now, o.since, t.Policy.SlowStart)
	return part >= 1 || spread.Unit(q.Random) < part
}

// HasSpareRegion reports whether a permitted region has slots to spare; nil permits all.
func (t *Target) HasSpareRegion(now clock.Instant, permitted func(region string) bool) bool {
	for i := range t.Regions {
		o := &t.Regions[i]
		if permitted != nil && !permitted(o.Name) {
			continue
		}
		if s := o.fresh(now); s != nil && s.Healthy > 0 && o.free(now, t.gateways) > o.capacity/spareDivisor {
			return true
		}
	}
	return false
}

// free returns the region's free slots, less what its summary can't show yet.
// Without a fresh summary they are unknown and taken as all.
func (o *RegionOption) free(now clock.Instant, gateways int) int {
	s := o.fresh(now)
	if s == nil {
		return o.capacity
	}
	return s.Free - o.Traffic.Unreported(now)*gateways
}

// fresh returns the region's summary if it is fresh, else nil.
func (o *RegionOption) fresh(now clock.Instant) *snapshot.RegionSummary {
	if o.summary == nil || now.Sub(o.summary.Heard) > summaryAge {
		return nil
	}
	return o.summary
}

// regionEstimate weighs a region by its summary, less what the summary can't
// show yet. The other gateways of the own region are taken to send as much.
func (t *Target) regionEstimate(o *RegionOption, q *Query) Estimate {
	service := q.Service().Seconds()
	if o.reported > 0 {
		service *= o.reported
	}
	wait, load := unknownWait.Seconds(), 1.0
	if s := o.fresh(q.Now); s != nil {
		free := float64(s.Free) - float64(o.Traffic.Unreported(q.Now)*t.gateways)
		load = 1 - max(0, free)/float64(o.capacity)
		wait = 0
		if free < 1 {
			wait = s.WaitSeconds + (1-free)/float64(o.capacity)*service
		}
	}
	wait = max(wait, o.Traffic.Wait(q.Now))
	pace := 1 + loadSlope*min(max(load, 0), 1)
	service *= pace
	megabits := float64(q.RequestBytes+q.AnswerBytes) * 8 / bitsPerMegabit
	link := 2 * o.Link.Delay.D().Seconds()
	if o.Link.MegabitsPerSecond > 0 {
		link += megabits / o.Link.MegabitsPerSecond
	}
	score := wait + service + link + t.Policy.CostWeight*megabits*o.Link.CostPerMegabit
	if o.Name != q.Home {
		score += t.Policy.ShareAwayWeight
	}
	return Estimate{
		Wait: toDuration(wait), Service: toDuration(service), Link: toDuration(link), Score: score,
		Prefill: q.PrefillTime, LoadSlowdown: pace,
	}
}

// PickMember returns the region's gateway for the request, at random, so that the
// gateways' parts of the slots are used alike.
func (o *RegionOption) PickMember(q *Query) *snapshot.Member {
	members := o.untried(q)
	if len(members) == 0 {
		return nil
	}
	return members[spread.Mix(q.Random^1)%uint64(len(members))]
}

// untried returns the members that aren't on the request's trail.
func (o *RegionOption) untried(q *Query) []*snapshot.Member {
	onTrail := func(m *snapshot.Member) bool { return slices.Contains(q.VisitedVMs, m.VM) }
	if !slices.ContainsFunc(o.Members, onTrail) {
		return o.Members
	}
	return slices.DeleteFunc(slices.Clone(o.Members), onTrail)
}
