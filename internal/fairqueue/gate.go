package fairqueue

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

// Errors returned by Gate.Acquire.
var (
	Errors = errorx.NewNamespace("fairqueue")
	// ErrWaitTimeout means that no slot came free within Claim.MaxWait.
	ErrWaitTimeout = Errors.NewType("too_late", errorx.Timeout())
	// ErrQueueFull means that the queue has reached its maximum length.
	ErrQueueFull = Errors.NewType("full", errorx.Temporary())
	// ErrAbandoned means that Claim.ShouldAbandon ended the wait.
	ErrAbandoned = Errors.NewType("elsewhere")
)

const (
	// pollInterval is how often slots are tried while requests are queued, as
	// capacity also changes without a release.
	pollInterval = 5 * time.Millisecond
	// abandonCheckInterval is how often a queued request calls ShouldAbandon.
	abandonCheckInterval = 50 * time.Millisecond
	// teamIdleTimeout is how long a team counts as active after its last request.
	teamIdleTimeout = 5 * time.Second
	// maxReserveShare is the maximum reserve, as a share of all slots, that a team
	// above its share leaves free while other teams are active.
	maxReserveShare = 0.45
	// longDemandWindow is the time constant of a team's long-term demand.
	longDemandWindow = 15 * time.Second
	// demandMargin is how many times its long-term demand a team may soon need.
	demandMargin = 3
	// remoteExcess is the excess assumed for remote requests, which have no share.
	remoteExcess = 1.1
	// A team's excess is its demand above its share, as a multiple of the share.
	// Up to minReserveExcess the team leaves nothing free; from fullReserveExcess
	// on it leaves the whole reserve free.
	minReserveExcess  = 0.7
	fullReserveExcess = 2
	// priorityShareLimit is the multiple of its share below which a team is
	// served by priority before other teams.
	priorityShareLimit = 2
	// overloadWeightShare is the share of the total weight whose teams must
	// demand more than their shares for the gate to count as overloaded.
	overloadWeightShare = 0.7
	// minReserveCapacity is the number of slots below which none is left free.
	minReserveCapacity = 3
	// demandWindow is the time constant of a team's smoothed demand.
	demandWindow = 2 * time.Second
	// maxQueued bounds the requests queued at one gate.
	maxQueued = 10_000
	// durationSmoothing is the weight of a new sample in the averages of expected
	// and measured durations.
	durationSmoothing = 0.1
)

// Claim is a request for a slot.
type Claim struct {
	Team   string
	Weight float64
	// QueueWeightFactor multiplies the weight in the queue, but not the share of the
	// slots; zero or less means 1.
	QueueWeightFactor float64
	// Remote marks a request from another region. Remote requests have no share
	// of the slots; they use what the requests of this region leave free.
	Remote bool
	// Priority is the priority class; 0 is served first.
	Priority int
	// ExpectedDuration is how long the slot is expected to be held.
	ExpectedDuration time.Duration
	// MaxWait is the maximum time in the queue.
	MaxWait time.Duration
	// ShouldAbandon, if not nil, is called periodically while the request is
	// queued, with the time waited so far. Returning true ends the wait with
	// ErrAbandoned.
	ShouldAbandon func(waited time.Duration) bool
	// TryReserve reserves a slot and reports whether one was free. It is called
	// with the gate locked and must not block.
	TryReserve func() bool
	// Capacity returns the number of slots that this process may use. It must
	// not block.
	Capacity func() int
}

// Gate grants slots in fair order.
type Gate struct {
	now clock.Clock

	mu       sync.Mutex // never held across I/O
	queue    *Queue
	teams    map[string]*teamUsage
	weight   float64 // total weight of the active teams
	inFlight int
	capacity int
	// durationRatio is the smoothed ratio of measured to expected durations.
	durationRatio float64
	meanDuration  float64 // smoothed expected duration, in seconds
	pollScheduled bool
	lastEviction  clock.Instant
}

// teamUsage is the state of one active team.
type teamUsage struct {
	weight     float64 // zero for remote requests
	inFlight   int
	queued     int
	lastActive clock.Instant
	// demand is the smoothed number of requests in flight and queued, as of
	// demandAt.
	demand   float64
	demandAt clock.Instant
	// longDemand is the demand smoothed over longDemandWindow.
	longDemand float64
}

// updateDemand advances the smoothed demand to now.
func (u *teamUsage) updateDemand(now clock.Instant) {
	elapsed, demand := now.Sub(u.demandAt), float64(u.inFlight+u.queued)
	u.demand += smoothingWeight(elapsed, demandWindow) * (demand - u.demand)
	u.longDemand += smoothingWeight(elapsed, longDemandWindow) * (demand - u.longDemand)
	u.demandAt = now
}

// smoothingWeight returns the weight of a sample in an exponential moving average
// with the given time constant, after the elapsed time.
func smoothingWeight(elapsed, window time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/window.Seconds())
}

type waiter struct {
	tryReserve func() bool
	ready      chan struct{}
}

// NewGate returns a gate without slots in use or queued requests.
func NewGate(now clock.Clock) *Gate {
	return &Gate{now: now, queue: NewQueue(), teams: map[string]*teamUsage{}, durationRatio: 1}
}

// Acquire waits for a slot. It returns ErrWaitTimeout, ErrQueueFull, ErrAbandoned
// or the error of ctx. After a nil error the caller must call Release.
func (g *Gate) Acquire(ctx context.Context, c Claim) error {
	it, err := g.reserveOrEnqueue(c)
	if it == nil || err != nil {
		return err
	}
	return g.waitForGrant(ctx, c, it)
}

// waitForGrant blocks until the item is granted a slot or the wait ends
// without one.
func (g *Gate) waitForGrant(ctx context.Context, c Claim, it *Item) error {
	timer := time.NewTimer(c.MaxWait)
	defer timer.Stop()
	ticker := time.NewTicker(abandonCheckInterval)
	defer ticker.Stop()
	queuedAt := g.now()
	for {
		select {
		case <-it.waiter.ready:
			return nil
		case <-timer.C:
			return g.dequeue(it, ErrWaitTimeout.New("no slot within %s", c.MaxWait))
		case <-ctx.Done():
			return g.dequeue(it, ctx.Err())
		case <-ticker.C:
			if c.ShouldAbandon != nil && c.ShouldAbandon(g.now().Sub(queuedAt)) {
				return g.dequeue(it, ErrAbandoned.New("wait abandoned for a better option"))
			}
		}
	}
}

// reserveOrEnqueue reserves a slot at once if it can. Otherwise it enqueues the
// claim and returns its item.
func (g *Gate) reserveOrEnqueue(c Claim) (*Item, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.capacity = c.Capacity()
	u := g.recordClaim(c)
	cost := c.ExpectedDuration.Seconds()
	g.meanDuration += durationSmoothing * (cost - g.meanDuration)
	if g.queue.Len() == 0 && g.mayTakeSlot(u) && c.TryReserve() {
		g.grant(u)
		return nil, nil
	}
	if g.queue.Len() >= maxQueued {
		return nil, ErrQueueFull.New("%d requests are queued", maxQueued)
	}
	w := &waiter{tryReserve: c.TryReserve, ready: make(chan struct{})}
	it := &Item{Team: c.Team, Weight: effectiveWeight(c.Weight) * effectiveWeight(c.QueueWeightFactor), Priority: c.Priority, Cost: cost, waiter: w}
	g.queue.Push(it)
	u.queued++
	g.grantQueued()
	if c.MaxWait <= 0 && g.queue.Remove(it) {
		u.queued--
		return nil, ErrWaitTimeout.New("no slot is free")
	}
	g.schedulePoll()
	return it, nil
}

// dequeue removes an item and returns the reason, or nil if the item was granted
// a slot meanwhile.
func (g *Gate) dequeue(it *Item, reason error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.Remove(it) {
		return nil
	}
	g.teams[it.Team].queued--
	return reason
}

// Release returns a slot that was held for the given time. expected is the
// ExpectedDuration of the claim.
func (g *Gate) Release(team string, expected, held time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if u := g.teams[team]; u != nil {
		u.updateDemand(g.now())
		u.inFlight--
		u.lastActive = g.now()
	}
	if expected > 0 {
		g.durationRatio += durationSmoothing * (held.Seconds()/expected.Seconds() - g.durationRatio)
	}
	g.grantQueued()
}

// ExpectedWait returns the expected wait of a new request of the team with the
// priority. wait is zero if the team may take a free slot at once; fullWait is
// the wait if no slot is free.
func (g *Gate) ExpectedWait(team string, weight float64, priority int) (wait, fullWait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	slots := float64(max(g.capacity, g.inFlight, 1))
	work := (g.queue.WorkAhead(team, weight, priority) + g.meanDuration) * g.durationRatio
	fullWait = time.Duration(work / slots * float64(time.Second))
	u := g.teams[team]
	if u == nil || u.queued == 0 && g.mayTakeSlot(u) {
		return 0, fullWait
	}
	return fullWait, fullWait
}

// Queued returns the number of queued requests.
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

// grantQueued grants slots in fair order until no slot can be reserved or no
// team with queued requests is eligible.
func (g *Gate) grantQueued() {
	for g.queue.Len() > 0 {
		it := g.queue.Peek(g.eligibility)
		if it == nil || !it.waiter.tryReserve() {
			return
		}
		g.queue.Serve(it)
		u := g.teams[it.Team]
		u.queued--
		g.grant(u)
		close(it.waiter.ready)
	}
}

func (g *Gate) grant(u *teamUsage) {
	u.inFlight++
	g.inFlight++
}

// eligibility returns whether, and in which order, the team may get a slot.
func (g *Gate) eligibility(team string) Eligibility {
	u := g.teams[team]
	switch {
	case !g.mayTakeSlot(u):
		return Ineligible
	case len(g.teams) > 1 && float64(u.inFlight) >= priorityShareLimit*g.share(u):
		return AboveShare
	default:
		return WithinShare
	}
}

// mayTakeSlot reports whether the team may take another slot. A team whose demand
// is above its share must leave the unused shares of the other active teams
// free, up to maxReserveShare of all slots, so that their requests neither wait
// nor find all backend servers full. The reserve grows with the team's smoothed
// demand: a short burst is delayed less than constant excess demand.
func (g *Gate) mayTakeSlot(u *teamUsage) bool {
	if len(g.teams) < 2 || g.capacity < minReserveCapacity {
		return true
	}
	u.updateDemand(g.now())
	share, excess := g.share(u), remoteExcess
	if share == 0 && g.hasLocalQueued() {
		return false
	}
	if share > 0 {
		excess = min(u.demand, float64(u.inFlight+u.queued))/share - 1
	}
	if excess <= minReserveExcess {
		return true
	}
	reserve := min(float64(g.capacity)*maxReserveShare, g.reservable()) * min(1, (excess-minReserveExcess)/(fullReserveExcess-minReserveExcess))
	return float64(g.inFlight) < float64(g.capacity)-reserve
}

// hasLocalQueued reports whether requests of this region's callers are queued.
func (g *Gate) hasLocalQueued() bool {
	for _, u := range g.teams {
		if u.weight > 0 && u.queued > 0 {
			return true
		}
	}
	return false
}

// share returns the team's weighted share of the capacity, in slots.
func (g *Gate) share(u *teamUsage) float64 {
	if u.weight == 0 {
		return 0
	}
	return float64(g.capacity) * u.weight / g.weight
}

// isOverloaded reports whether teams with at least overloadWeightShare of the
// total weight demand more than their shares. No slots are left free for any
// team then.
func (g *Gate) isOverloaded() bool {
	above := 0.0
	for _, u := range g.teams {
		if u.demand > g.share(u) {
			above += u.weight
		}
	}
	return above >= overloadWeightShare*g.weight
}

// reservable returns the number of slots that active teams are likely to need
// soon within their shares, by their long-term demand, and don't use yet.
func (g *Gate) reservable() float64 {
	if g.isOverloaded() {
		return 0
	}
	total := 0.0
	for _, u := range g.teams {
		expected := min(g.share(u), demandMargin*u.longDemand)
		total += max(0, expected-float64(u.inFlight))
	}
	return total
}

// recordClaim updates the state of the claim's team and returns it.
func (g *Gate) recordClaim(c Claim) *teamUsage {
	now := g.now()
	g.evictIdleTeams(now)
	u := g.teams[c.Team]
	isNew := u == nil
	if isNew {
		u = &teamUsage{demandAt: now}
		g.teams[c.Team] = u
	}
	weight := effectiveWeight(c.Weight)
	if c.Remote {
		weight = 0
	}
	g.weight += weight - u.weight
	u.weight = weight
	if isNew {
		// A new team is assumed to need its whole share.
		u.longDemand = g.share(u)
	}
	u.updateDemand(now)
	u.lastActive = now
	return u
}

// evictIdleTeams removes teams that have had no requests for longer than
// teamIdleTimeout.
func (g *Gate) evictIdleTeams(now clock.Instant) {
	if now.Sub(g.lastEviction) < teamIdleTimeout/4 {
		return
	}
	g.lastEviction = now
	for name, u := range g.teams {
		if u.inFlight == 0 && u.queued == 0 && now.Sub(u.lastActive) > teamIdleTimeout {
			delete(g.teams, name)
			g.weight -= u.weight
		}
	}
}

// schedulePoll schedules the next attempt to grant slots, unless one is already
// scheduled.
func (g *Gate) schedulePoll() {
	if g.pollScheduled {
		return
	}
	g.pollScheduled = true
	time.AfterFunc(pollInterval, g.poll)
}

// poll grants queued requests and schedules the next poll if any are left.
func (g *Gate) poll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pollScheduled = false
	g.grantQueued()
	if g.queue.Len() > 0 {
		g.schedulePoll()
	}
}
