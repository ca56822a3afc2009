// Package admission decides in which order a VM sends requests to the servers of a service
// that is contended, and which requests it refuses.
//
// It has no clock, no sockets and no goroutines: callers pass the time and the occupancy of the
// servers. A Gate is not safe for concurrent use.
package admission

import (
	"container/heap"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/fairqueue"
)

const (
	// maxHoldShare is the longest time for which a request is held, as a fraction of its
	// latency objective. It is that of the requirements for refused requests.
	maxHoldShare = 0.125
	// AdvanceInterval is the longest time between two calls of Advance while requests wait.
	AdvanceInterval = 5 * time.Millisecond
	// holdMargin is subtracted from the longest hold, as Advance is not called at once.
	holdMargin = 2 * AdvanceInterval
	// minRetryAfter and maxRetryAfter bound the retry time of refused requests. The upper
	// one is about the time for which the demand of a team can be foreseen.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// defaultDuration is the duration of requests that is assumed before the first one ends.
	defaultDuration = 100 * time.Millisecond
	// returnDelayShare is how long a request that a server refused is kept from the queue, as a
	// fraction of the duration of requests: the servers are likely still full.
	returnDelayShare = 0.25
	// durationSmoothing is the weight of a new sample of the duration.
	durationSmoothing = 0.05
	// MaxPriority is the least urgent priority.
	MaxPriority = 9
)

// Occupancy is how far the servers of the service are in use.
type Occupancy struct {
	// Slots is the number of the servers' slots; zero means unknown. Own is the number of
	// this VM's requests there and Active that of all VMs, as far as this VM knows.
	Slots, Own int
	Active     float64
	// Known means that Active includes the requests of the other VMs.
	Known bool
	// Servers is the number of the servers.
	Servers int
	// Share is the fraction of the slots that this VM may always use.
	Share float64
}

// Decision is what becomes of a request.
type Decision uint8

// The decisions.
const (
	// Wait means that the request is queued; a later call of Advance decides.
	Wait Decision = iota
	// Pass means that the request may be sent. The caller must call End.
	Pass
	// Refuse means that the request can't begin in time, or that its team uses more than
	// its share.
	Refuse
	// Late means that the request is refused as its latency objective passed while it waited.
	Late
)

// String returns the name of the decision for logs.
func (d Decision) String() string {
	return [...]string{Wait: "wait", Pass: "pass", Refuse: "refuse", Late: "late"}[d]
}

// Request is a request to be sent to a server of the service.
type Request struct {
	Team string
	// HasTeams means that the configuration has teams. Only then a team that uses less than
	// its share goes before the limit of this VM's requests, at the cost of the others.
	HasTeams bool
	// Weight is the weight of the team.
	Weight float64
	// Priority is from 0 (served first) to MaxPriority.
	Priority int
	Arrived  clock.Instant
	// Objective is the latency objective, or the time from the arrival to the deadline.
	Objective time.Duration
	// Returned means that a server refused the request before. It is then ordered by the time
	// at which it came back, so that it doesn't overtake those that have waited since.
	Returned bool
	// Held is for how long the request was held so far.
	Held time.Duration

	// Decision is the last decision. Waiting, Share, Expected and RetryAfter state what it was
	// based on: the number of waiting requests, the team's share of this VM's slots, and the
	// expected wait. RetryAfter is set if the request is refused.
	Decision             Decision
	Waiting              int
	Share                float64
	Expected, RetryAfter time.Duration

	item     fairqueue.Item
	queuedAt clock.Instant
	passedAt clock.Instant
	expires  clock.Instant
	// afterDelay is for how long a returned request may be held in the queue, to which it is
	// added at expires; zero means that it is there.
	afterDelay time.Duration
	// place is the place in the heap of expiries plus one; zero means none.
	place int
}

// Gate orders the requests of this VM to one service.
type Gate struct {
	queue    *fairqueue.Queue
	expiries expiries
	teams    map[string]*team
	// weight is the total weight of the teams.
	weight    float64
	evictedAt clock.Instant
	inFlight  int
	// duration is the smoothed time from Pass to End; zero means unknown.
	duration time.Duration
	// limit is the number of this VM's requests up to which more were last let pass; zero
	// means that it wasn't determined yet.
	limit  float64
	window window
}

// New returns a gate. The phase, from 0 to 1, should differ between VMs.
func New(phase float64) *Gate {
	queue := fairqueue.NewQueue()
	queue.ByStart = true
	return &Gate{queue: queue, teams: map[string]*team{}, window: window{phase: phase}}
}

// Arrive decides whether a request passes at once, waits or is refused. Full reports whether the
// server chosen for it has no free slot as far as this VM knows. Occupancy is called only if the
// service may be contended.
func (g *Gate) Arrive(r *Request, full bool, occupancy func() Occupancy, now clock.Instant) Decision {
	t := g.teamOf(r, now)
	g.window.hasTeams = r.HasTeams
	if g.queue.Len() == 0 && !full && !g.Refusing(now) {
		return g.pass(r, t, now)
	}
	o := occupancy()
	if hasRoom := g.hasRoom(&o, r, 0, now); hasRoom && g.queue.Len() == 0 && !r.Returned {
		return g.pass(r, t, now)
	}
	g.explain(r, t, &o)
	hold, within := g.maxHold(r), r.HasTeams && g.withinShare(t, now)
	inTime := r.Expected <= hold || g.queue.Len() == 0
	switch {
	case within && hold <= 0:
		return g.pass(r, t, now) // a server refused it after its hold
	case within && g.Refusing(now):
		hold /= 2 // the rest is for its return if a server refuses it
	case !within && (hold <= 0 || !inTime):
		return g.refuse(r, t, Refuse, now)
	}
	g.enqueue(r, t, hold, now)
	return Wait
}

// maxHold returns for how long a request may still be held.
func (g *Gate) maxHold(r *Request) time.Duration {
	longest := time.Duration(maxHoldShare * float64(r.Objective))
	return max(longest/2, longest-holdMargin) - r.Held
}

func (g *Gate) enqueue(r *Request, t *team, hold time.Duration, now clock.Instant) {
	due := r.Arrived.Add(r.Objective)
	if r.Returned {
		due = now.Add(r.Objective)
	}
	r.item = fairqueue.Item{Team: r.Team, Weight: r.Weight, Priority: fairqueue.Priorities - 1, Cost: 1, Rank: rank(r), Due: due, Value: r}
	r.Decision, r.queuedAt, r.expires = Wait, now, now.Add(hold)
	if r.Returned {
		delay := min(hold/2, time.Duration(returnDelayShare*float64(g.meanDuration())))
		r.expires, r.afterDelay = now.Add(delay), hold-delay
	} else {
		g.queue.Push(&r.item)
	}
	heap.Push(&g.expiries, r)
	t.waiting[rank(r)]++
}

// Advance decides on waiting requests and returns those that wait no longer. It must be called
// after each End, and at least each AdvanceInterval while requests wait.
func (g *Gate) Advance(occupancy func() Occupancy, now clock.Instant) []*Request {
	if len(g.expiries) == 0 {
		return nil
	}
	var decided, expired []*Request
	for len(g.expiries) > 0 && g.expiries[0].expires <= now {
		r := heap.Pop(&g.expiries).(*Request)
		if now >= r.Arrived.Add(r.Objective) {
			// This process may have been paused.
			t := g.dequeue(r, now)
			g.refuse(r, t, Late, now)
			decided = append(decided, r)
			continue
		}
		if r.afterDelay > 0 {
			r.expires, r.afterDelay = r.expires.Add(r.afterDelay), 0
			g.queue.Push(&r.item)
			heap.Push(&g.expiries, r)
			continue
		}
		expired = append(expired, r)
	}
	o := occupancy()
	started := 0
	for g.queue.Len() > 0 {
		r := g.queue.First().Value.(*Request)
		if !g.hasRoom(&o, r, started, now) {
			break
		}
		started++
		g.explain(r, g.teamOf(r, now), &o)
		g.queue.Serve(&r.item)
		g.pass(r, g.dequeue(r, now), now)
		decided = append(decided, r)
	}
	for _, r := range expired {
		if r.Decision != Wait {
			continue
		}
		t := g.dequeue(r, now)
		g.explain(r, t, &o)
		if r.HasTeams && g.withinShare(t, now) {
			g.pass(r, t, now)
		} else {
			g.refuse(r, t, Refuse, now)
		}
		decided = append(decided, r)
	}
	return decided
}

// Cancel removes a waiting request whose caller has left. It reports whether the request still
// waited.
func (g *Gate) Cancel(r *Request, now clock.Instant) bool {
	if r.Decision != Wait || r.queuedAt == 0 {
		return false
	}
	g.dequeue(r, now)
	return true
}

// dequeue removes a request from the queue and returns its team.
func (g *Gate) dequeue(r *Request, now clock.Instant) *team {
	g.queue.Remove(&r.item)
	if r.place > 0 {
		heap.Remove(&g.expiries, r.place-1)
	}
	t := g.teamOf(r, now)
	t.waiting[rank(r)]--
	r.Held += now.Sub(r.queuedAt)
	r.queuedAt = 0
	return t
}

func (g *Gate) pass(r *Request, t *team, now clock.Instant) Decision {
	r.Decision, r.passedAt = Pass, now
	g.inFlight++
	t.inFlight++
	t.credit -= g.meanDuration().Seconds()
	return Pass
}

func (g *Gate) refuse(r *Request, t *team, d Decision, now clock.Instant) Decision {
	r.Decision = d
	r.RetryAfter = t.recordRefused(r, g.meanDuration(), now)
	return d
}

// End records the end of a request that passed. Served means that its response was complete.
func (g *Gate) End(r *Request, served bool, now clock.Instant) {
	g.inFlight--
	t := g.teams[r.Team]
	if t != nil {
		t.inFlight--
	}
	if !served {
		if t != nil {
			t.credit += g.meanDuration().Seconds()
		}
		return
	}
	held := now.Sub(r.passedAt)
	if g.duration == 0 {
		g.duration = held
	}
	g.duration += time.Duration(durationSmoothing * float64(held-g.duration))
	g.window.recordServed(g.inFlight+1, now)
}

// RecordRefusal records that a server refused a request for lack of room, which had been sent that
// many times, and reports whether it may be sent again. The first refusal counts only if it shows
// that the whole service lacks room: a server may refuse requests for a reason of its own, such as
// its end, while others have room. Retries cost a budget that all teams share: unless it is ample,
// teams that use more than their shares get none.
func (g *Gate) RecordRefusal(r *Request, sends int, ample bool, o Occupancy, now clock.Instant) bool {
	if !g.Refusing(now) && sends < 2 && o.Servers > 1 && o.Active < contendedShare*float64(o.Slots) {
		return true
	}
	g.window.share = o.Share * float64(o.Slots)
	g.window.recordRefusal(g.inFlight, g.meanDuration(), now)
	return !r.HasTeams || ample || g.withinShare(g.teamOf(r, now), now)
}

// Refusing reports whether a server has refused a request for lack of room within
// refusalMemory.
func (g *Gate) Refusing(now clock.Instant) bool { return g.window.active(now) }

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int { return len(g.expiries) }

// InFlight returns the number of requests that passed and have not ended.
func (g *Gate) InFlight() int { return g.inFlight }

func (g *Gate) meanDuration() time.Duration {
	if g.duration == 0 {
		return defaultDuration
	}
	return g.duration
}

// explain sets what the decision on a request is based on.
func (g *Gate) explain(r *Request, t *team, o *Occupancy) {
	ahead := 0.0
	for _, n := range t.waiting[:rank(r)+1] {
		ahead += float64(n)
	}
	r.Waiting = len(g.expiries)
	r.Share = g.share(t)
	over := max(0, float64(max(o.Own, g.inFlight))-g.limit)
	work := g.queue.WorkAheadOfItem(r.Team, r.Weight, ahead) + over + 1
	r.Expected = time.Duration(work * float64(g.meanDuration()) / max(g.limit, minWindow))
}

func rank(r *Request) int { return min(max(r.Priority, 0), MaxPriority) }

// expiries orders waiting requests by the end of their hold.
type expiries []*Request

var _ heap.Interface = (*expiries)(nil)

func (h expiries) Len() int           { return len(h) }
func (h expiries) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h expiries) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i+1, j+1
}

// Push implements heap.Interface.
func (h *expiries) Push(x any) {
	r := x.(*Request)
	*h = append(*h, r)
	r.place = len(*h)
}

// Pop implements heap.Interface.
func (h *expiries) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	r.place = 0
	return r
}
