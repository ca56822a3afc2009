package fairqueue

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("fairqueue")
	// ErrWaitTimeout says that no slot came free in the time allowed.
	ErrWaitTimeout = Errors.NewType("too_late", errorx.Timeout())
	// ErrQueueFull says that the queue holds as many requests as it may.
	ErrQueueFull = Errors.NewType("full", errorx.Temporary())
	// ErrAbandoned says that Claim.Leave ended the wait.
	ErrAbandoned = Errors.NewType("elsewhere")
)

const (
	// pollInterval is how often slots are looked for while requests wait,
	// as capacity also changes without a release.
	pollInterval = 5 * time.Millisecond
	// leaveInterval is how often a waiting request asks whether to leave.
	leaveInterval = 50 * time.Millisecond
	// activeFor is how long a team counts as active after its last request.
	activeFor = 5 * time.Second
	// reservePart is the part of the slots that a team above its share leaves
	// free at most while other teams are active.
	reservePart = 0.45
	// usualWindow is the longer time, for what a team usually needs.
	usualWindow = 15 * time.Second
	// demandMargin is how many times its usual demand a team may soon need.
	demandMargin = 3
	// remoteExcess is how far above their share remote requests count as being.
	remoteExcess = 1.1
	// Up to noExcess above its share, as a multiple of it, a team leaves nothing
	// free; from fullExcess on it leaves the whole reserve free.
	noExcess   = 0.7
	fullExcess = 2
	// urgentShares is how many times its share of the slots a team may hold and
	// still be served by priority before other teams.
	urgentShares = 2
	// overloadPart is the part of all weight whose teams ask for more than
	// their shares in an overload.
	overloadPart = 0.7
	// minShared is the number of slots below which nothing is left free.
	minShared = 3
	// demandWindow is the time over which a team's demand is smoothed.
	demandWindow = 2 * time.Second
	// maxQueued bounds the requests that wait at one gate.
	maxQueued = 10_000
	// holdSmoothing is the weight of a new measurement of the holding time.
	holdSmoothing = 0.1
)

// Claim is a request for a slot.
type Claim struct {
	Team   string
	Weight float64
	// QueueWeightFactor multiplies the weight in the queue, but not the share of the slots;
	// zero means 1.
	QueueWeightFactor float64
	// Remote means that the request's own region is another one. Remote requests have no
	// share of the slots and take what the others leave.
	Remote bool
	// Priority is the class; 0 is served first.
	Priority int
	// ExpectedDuration is the expected work.
	ExpectedDuration time.Duration
	// MaxWait is how long the request may wait.
	MaxWait time.Duration
	// ShouldAbandon, unless nil, is asked while the request waits, with the time that
	// it has waited. True ends the wait with ErrElsewhere.
	ShouldAbandon func(waited time.Duration) bool
	// TryReserve takes a slot and reports whether there was one. It runs with the
	// gate locked and must not block.
	TryReserve func() bool
	// Capacity returns the number of slots that this process may use. It must
	// not block.
	Capacity func() int
}

// Gate hands out slots in fair order.
type Gate struct {
	now clock.Clock

	mu       sync.Mutex // never held across I/O
	queue    *Queue
	teams    map[string]*usage
	weight   float64 // of the teams in teams
	inFlight int
	capacity int
	// stretch is the measured holding time over the expected one.
	stretch  float64
	meanCost float64 // seconds
	polling  bool
	swept    clock.Instant
}

type usage struct {
	weight   float64 // zero for remote requests
	inFlight int
	queued   int
	seen     clock.Instant
	// demand is the smoothed number of requests in flight and queued, as of
	// weighed.
	demand  float64
	weighed clock.Instant
	// usual is the demand smoothed over a longer time.
	usual float64
}

// weigh brings the smoothed demand up to now.
func (u *usage) weigh(now clock.Instant) {
	passed, demand := now.Sub(u.weighed), float64(u.inFlight+u.queued)
	u.demand += fading(passed, demandWindow) * (demand - u.demand)
	u.usual += fading(passed, usualWindow) * (demand - u.usual)
	u.weighed = now
}

// fading returns the weight of what came in the time passed.
func fading(passed, window time.Duration) float64 {
	return 1 - math.Exp(-passed.Seconds()/window.Seconds())
}

type waiter struct {
	place func() bool
	ready chan struct{}
}

// NewGate returns a gate without requests.
func NewGate(now clock.Clock) *Gate {
	return &Gate{now: now, queue: NewQueue(), teams: map[string]*usage{}, stretch: 1}
}

// Acquire waits for a slot. It returns ErrTooLate, ErrFull or ErrElsewhere, or
// the error of ctx when the caller goes away. After a nil error, Release must
// follow.
func (g *Gate) Acquire(ctx context.Context, c Claim) error {
	it, err := g.enter(c)
	if it == nil || err != nil {
		return err
	}
	return g.wait(ctx, c, it)
}

// wait waits until the item is granted, or gives it up.
func (g *Gate) wait(ctx context.Context, c Claim, it *Item) error {
	timer := time.NewTimer(c.MaxWait)
	defer timer.Stop()
	ticker := time.NewTicker(leaveInterval)
	defer ticker.Stop()
	entered := g.now()
	for {
		select {
		case <-it.waiter.ready:
			return nil
		case <-timer.C:
			return g.leave(it, ErrWaitTimeout.New("no slot within %s", c.MaxWait))
		case <-ctx.Done():
			return g.leave(it, ctx.Err())
		case <-ticker.C:
			if c.ShouldAbandon != nil && c.ShouldAbandon(g.now().Sub(entered)) {
				return g.leave(it, ErrAbandoned.New("another place is better"))
			}
		}
	}
}

// enter takes a slot at once where it can; otherwise it queues the claim and
// returns its item.
func (g *Gate) enter(c Claim) (*Item, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.capacity = c.Capacity()
	u := g.touch(c)
	cost := c.ExpectedDuration.Seconds()
	g.meanCost += holdSmoothing * (cost - g.meanCost)
	if g.queue.Len() == 0 && g.mayTake(u) && c.TryReserve() {
		g.grant(u)
		return nil, nil
	}
	if g.queue.Len() >= maxQueued {
		return nil, ErrQueueFull.New("%d requests wait", maxQueued)
	}
	w := &waiter{place: c.TryReserve, ready: make(chan struct{})}
	it := &Item{Team: c.Team, Weight: weightOf(c.Weight) * weightOf(c.QueueWeightFactor), Priority: c.Priority, Cost: cost, waiter: w}
	g.queue.Push(it)
	u.queued++
	g.pump()
	if c.MaxWait <= 0 && g.queue.Remove(it) {
		u.queued--
		return nil, ErrWaitTimeout.New("no slot is free")
	}
	g.poll()
	return it, nil
}

// leave gives up an item, unless it was granted meanwhile.
func (g *Gate) leave(it *Item, reason error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.Remove(it) {
		return nil
	}
	g.teams[it.Team].queued--
	return reason
}

// Release returns a slot that was held for the given time. Cost is the cost
// of the claim.
func (g *Gate) Release(team string, cost, held time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if u := g.teams[team]; u != nil {
		u.weigh(g.now())
		u.inFlight--
		u.seen = g.now()
	}
	if cost > 0 {
		g.stretch += holdSmoothing * (held.Seconds()/cost.Seconds() - g.stretch)
	}
	g.pump()
}

// ExpectedWait returns the expected wait of a new request of the team with the
// priority. now is zero where the team may take a free slot at once; full is
// the wait where none is free.
func (g *Gate) ExpectedWait(team string, weight float64, priority int) (now, full time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	slots := float64(max(g.capacity, g.inFlight, 1))
	work := (g.queue.WorkAhead(team, weight, priority) + g.meanCost) * g.stretch
	full = time.Duration(work / slots * float64(time.Second))
	u := g.teams[team]
	if u == nil || u.queued == 0 && g.mayTake(u) {
		return 0, full
	}
	return full, full
}

// Queued returns the number of requests that wait.
func (g *Gate) Queued() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Len()
}

// InFlight returns the number of slots in use.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// pump grants slots in fair order until one can't be placed.
func (g *Gate) pump() {
	for g.queue.Len() > 0 {
		it := g.queue.Peek(g.standing)
		if it == nil || !it.waiter.place() {
			return
		}
		g.queue.Serve(it)
		u := g.teams[it.Team]
		u.queued--
		g.grant(u)
		close(it.waiter.ready)
	}
}

func (g *Gate) grant(u *usage) {
	u.inFlight++
	g.inFlight++
}

// standing returns what the team may have of the slots.
func (g *Gate) standing(team string) Eligibility {
	u := g.teams[team]
	switch {
	case !g.mayTake(u):
		return Ineligible
	case len(g.teams) > 1 && float64(u.inFlight) >= urgentShares*g.share(u):
		return AboveShare
	default:
		return WithinShare
	}
}

// mayTake reports whether the team may have another slot. A team whose demand
// is above its share leaves free what the other active teams have not used of
// theirs, up to a part of all slots, so that they neither wait nor find full
// servers. How much it leaves free grows with its demand, which is smoothed:
// a short burst isn't held up like a team that asks for too much all the time.
func (g *Gate) mayTake(u *usage) bool {
	if len(g.teams) < 2 || g.capacity < minShared {
		return true
	}
	u.weigh(g.now())
	share, excess := g.share(u), remoteExcess
	if share == 0 && g.ownWait() {
		return false
	}
	if share > 0 {
		excess = min(u.demand, float64(u.inFlight+u.queued))/share - 1
	}
	if excess <= noExcess {
		return true
	}
	reserve := min(float64(g.capacity)*reservePart, g.unused()) * min(1, (excess-noExcess)/(fullExcess-noExcess))
	return float64(g.inFlight) < float64(g.capacity)-reserve
}

// ownWait reports whether requests of the own region's callers wait.
func (g *Gate) ownWait() bool {
	for _, u := range g.teams {
		if u.weight > 0 && u.queued > 0 {
			return true
		}
	}
	return false
}

// share returns the slots that are the team's own.
func (g *Gate) share(u *usage) float64 {
	if u.weight == 0 {
		return 0
	}
	return float64(g.capacity) * u.weight / g.weight
}

// isOverloaded reports whether teams that together have most of the weight ask
// for more than their shares. Nothing is left free for any team then.
func (g *Gate) isOverloaded() bool {
	above := 0.0
	for _, u := range g.teams {
		if u.demand > g.share(u) {
			above += u.weight
		}
	}
	return above >= overloadPart*g.weight
}

// unused returns the slots that active teams have not used of their shares and
// may soon use, by their demand.
func (g *Gate) unused() float64 {
	if g.isOverloaded() {
		return 0
	}
	total := 0.0
	for _, u := range g.teams {
		soon := min(g.share(u), demandMargin*u.usual)
		total += max(0, soon-float64(u.inFlight))
	}
	return total
}

func (g *Gate) touch(c Claim) *usage {
	now := g.now()
	g.sweep(now)
	u := g.teams[c.Team]
	isNew := u == nil
	if isNew {
		u = &usage{weighed: now}
		g.teams[c.Team] = u
	}
	weight := weightOf(c.Weight)
	if c.Remote {
		weight = 0
	}
	g.weight += weight - u.weight
	u.weight = weight
	if isNew {
		// Until it is known, a team is taken to need its share.
		u.usual = g.share(u)
	}
	u.weigh(now)
	u.seen = now
	return u
}

// sweep forgets teams that have been idle.
func (g *Gate) sweep(now clock.Instant) {
	if now.Sub(g.swept) < activeFor/4 {
		return
	}
	g.swept = now
	for name, u := range g.teams {
		if u.inFlight == 0 && u.queued == 0 && now.Sub(u.seen) > activeFor {
			delete(g.teams, name)
			g.weight -= u.weight
		}
	}
}

// poll looks for slots again and again while requests wait.
func (g *Gate) poll() {
	if g.polling {
		return
	}
	g.polling = true
	time.AfterFunc(pollInterval, g.polled)
}

func (g *Gate) polled() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.polling = false
	g.pump()
	if g.queue.Len() > 0 {
		g.poll()
	}
}
