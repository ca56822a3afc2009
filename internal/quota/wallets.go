package quota

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
)

const (
	// activeInterval is the time between two exchanges with an owner while there is demand,
	// idleInterval otherwise, and urgentInterval while a request waits or a local
	// allowance is used up.
	activeInterval = 200 * time.Millisecond
	idleInterval   = 2 * time.Second
	urgentInterval = 50 * time.Millisecond
	// unscaledVMs is the number of VMs up to which activeInterval applies. In a larger fleet it
	// grows in proportion up to maxIntervalFactor, so that an owner answers about 300 to 900
	// exchanges per second.
	unscaledVMs       = 60
	maxIntervalFactor = 2
	// horizonMargin is the time for which units are requested in advance, besides an interval
	// and the round trip to the owner. maxHorizon bounds all three: grants expire.
	horizonMargin = 50 * time.Millisecond
	maxHorizon    = 450 * time.Millisecond
	// demandTime is the time constant of the smoothed demand.
	demandTime = 500 * time.Millisecond
	// urgentLevel is the part of the local allowance below which an exchange is triggered.
	urgentLevel = 0.5
	// scarceFor is for how long a response's statement that a team is scarce holds.
	scarceFor = time.Second
	// sizeSamples is the number of requests over which their units are averaged.
	sizeSamples = 8
	// startupPeriod is the time after the start of this process in which the number of VMs
	// may not be known, and startupVMs the number that is assumed until an owner has answered.
	startupPeriod = 3 * time.Second
	startupVMs    = 128
	// maxWants bounds the teams in a request to an owner. The others follow in the next one.
	maxWants = 1000
	// leases is the number of grants that are kept with an expiry of their own.
	leases = 4
)

// Limits are the limits above zero, by team.
type Limits map[string]ingress.TeamLimit

// LimitsOf returns the limits of a configuration.
func LimitsOf(table *ingress.Table) Limits {
	limits := Limits{}
	_, visit := table.Teams()
	for team := range visit {
		if team.Limit.PerSecond > 0 {
			limits[team.Name] = team.Limit
		}
	}
	return limits
}

// Wallets holds the units that this VM may use. It is safe for concurrent use.
type Wallets struct {
	vm, incarnation string
	bounds          Bounds
	startedAt       clock.Instant
	// firstStart means that no earlier process of any VM has delegated its share.
	firstStart bool

	// teams is replaced when the limits change. limited tells which shards have teams.
	teams   atomic.Pointer[map[string]*wallet]
	limited [Shards]atomic.Bool

	mu sync.Mutex
	// active is the number of VMs as this VM knows, and heard as the owners do.
	active, heard, vms int
	// trusted means that the number is known: an owner has answered or startupPeriod has
	// passed.
	trusted bool
	roles   [Shards]Role

	// owners are the exchanges with the owners, and agents those with the agents of the
	// region. The wallets of a shard use the agent's if supplied is set.
	owners, agents [Shards]link
	supplied       [Shards]atomic.Bool
}

// MaxUnsupplied is the number of VMs up to which each holds local allowances of its own.
const MaxUnsupplied = 12

// Role is what a VM is for a shard. In a small fleet each VM holds an even share of the local
// allowances and exchanges messages with the owner. In a large one such a share would not
// cover a request; there one VM of each region, its agent, holds an even share among the regions
// and supplies the others of its region.
type Role struct {
	// Supplied means that an agent supplies this VM.
	Supplied bool
	// Regions is the number of regions if this VM is its region's agent, or else 0.
	Regions int
}

// link is the exchange with the owner of a shard, or with the agent of the region.
type link struct {
	mu sync.Mutex
	// listed are the wallets with something to request.
	listed []*wallet
	// urgent means that the next exchange can't wait.
	urgent bool
	// sentAt is when the last request was sent, and next when the next one is due if
	// there is demand.
	sentAt, next clock.Instant
	// sequence is the number of the last request, and ended that of the last one that was
	// answered or failed. roundTrip is the smoothed time until the answer.
	sequence, ended uint64
	roundTrip       time.Duration
	// ownerVM is the VM that answered last and owner its incarnation, clock the instant on
	// its clock in microseconds, and heardAt when the response arrived. Owner is "" after a
	// failure.
	ownerVM, owner string
	clock          int64
	heardAt        clock.Instant
	// delegatedTo is the VM that may hold this VM's share until delegatedUntil.
	delegatedTo    string
	delegatedUntil clock.Instant
	// epoch counts the times at which this VM delegated its share after it had it itself.
	epoch  uint64
	failed bool
	// wake is called when an exchange may have become due.
	wake func()
}

// wallet holds the units of a team.
type wallet struct {
	name  string
	shard int

	mu sync.Mutex
	plan
	// local is the rest of the local allowance. own are the units of this VM's share, as of
	// ownTime, which counts in seconds, in the link's epoch.
	local, own, ownTime float64
	epoch               uint64
	grants              [leases]lease
	// asked are the units of requests since the last exchange, and spent those admitted.
	asked, spent int64
	askedAt      clock.Instant
	// grantedAt is when the last response arrived.
	grantedAt clock.Instant
	// demand is the smoothed demand per second, income that of the grants, and size that of
	// the units of a request.
	demand, income, size float64
	// waiting are the units of requests that wait for the next exchange, and least those of
	// the smallest request that found too few units.
	waiting, least int64
	// ahead and refill are the units for demand to come and for the local allowance in
	// requests without an answer.
	ahead, refill int64
	// listed means that the link lists the wallet, and quiet that it has no demand.
	listed, quiet bool
	scarce        bool
	scarceUntil   clock.Instant
	retryAt       clock.Instant
	// promised is the time from which the next refused request may be admitted.
	promised clock.Instant
	stats    Stats
}

type lease struct {
	units   float64
	expires clock.Instant
}

// Stats counts what happened to the requests of a team, in requests and units.
type Stats struct {
	Admitted, Refused, Granted uint64
}

// Decision is the result of Take.
type Decision struct {
	Granted bool
	// Wait means that the next exchange may bring the units. Otherwise the request is to be
	// refused, and RetryAfter is the time after which a retry may be admitted.
	Wait       bool
	RetryAfter time.Duration
	// round is the sequence number of the exchange for which the request waits.
	round uint64
}

// NewWallets returns the wallets of a VM's process without teams.
func NewWallets(vm, incarnation string, bounds Bounds, firstStart bool, now clock.Instant) *Wallets {
	w := &Wallets{vm: vm, incarnation: incarnation, bounds: bounds, startedAt: now, firstStart: firstStart, active: 1}
	w.vms = w.knownVMs(now)
	w.teams.Store(&map[string]*wallet{})
	for i := range w.owners {
		w.owners[i].delegatedUntil = now
		if !firstStart {
			w.owners[i].delegatedUntil = now.Add(delegation)
		}
	}
	return w
}

// knownVMs returns the number of VMs among which the limits are divided. The caller holds the
// lock.
func (w *Wallets) knownVMs(now clock.Instant) int {
	n := max(1, w.active, w.heard)
	if w.trusted = w.trusted || w.heard > 0 || now.Sub(w.startedAt) >= startupPeriod; !w.trusted {
		n = max(n, startupVMs)
	}
	return n
}

// SetTeams replaces the limits. A new team begins with half of an even share of the local
// allowances.
func (w *Wallets) SetTeams(limits Limits, now clock.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before, teams := *w.teams.Load(), make(map[string]*wallet, len(limits))
	var limited [Shards]bool
	for name, limit := range limits {
		t := before[name]
		if t == nil {
			t = &wallet{name: name, shard: ShardOf(name), askedAt: now, promised: now}
			t.plan = w.plan(t, limit)
			t.local = min(t.plan.local, newPlan(limit, w.bounds, w.vms, 1/float64(w.vms)).local/2)
			t.accrue(&w.owners[t.shard], now)
			t.own = 0
		} else if t.limit != limit {
			t.setPlan(w.plan(t, limit))
		}
		teams[name], limited[t.shard] = t, true
	}
	w.teams.Store(&teams)
	for i := range limited {
		w.limited[i].Store(limited[i])
	}
}

// SetActive sets the number of VMs that may be active, as this VM knows.
func (w *Wallets) SetActive(vms int, now clock.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active = vms
	w.updateVMs(now)
}

// SetRole sets what this VM is for a shard.
func (w *Wallets) SetRole(shard int, role Role, now clock.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if role == w.roles[shard] {
		return
	}
	w.roles[shard] = role
	w.setPlans()
	w.setSupplied(shard, role.Supplied)
}

// setSupplied moves the wallets that are listed for an exchange to the link that is used now.
func (w *Wallets) setSupplied(shard int, supplied bool) {
	from, to := &w.owners[shard], &w.agents[shard]
	if !supplied {
		from, to = to, from
	}
	w.supplied[shard].Store(supplied)
	from.mu.Lock()
	listed := from.listed
	from.listed = nil
	from.mu.Unlock()
	to.mu.Lock()
	defer to.mu.Unlock()
	to.listed, to.failed = append(to.listed, listed...), to.failed && !supplied
	to.next = min(to.next, to.sentAt.Add(activeInterval))
}

// link returns the exchange that the wallets of a shard use.
func (w *Wallets) link(shard int) *link {
	if w.supplied[shard].Load() {
		return &w.agents[shard]
	}
	return &w.owners[shard]
}

// plan returns the plan of a wallet for a limit. The caller holds the lock.
func (w *Wallets) plan(t *wallet, limit ingress.TeamLimit) plan {
	portion := 1 / float64(w.vms)
	if role := w.roles[t.shard]; role.Supplied {
		portion = 0
	} else if role.Regions > 0 && w.trusted {
		portion = 1 / float64(role.Regions)
	}
	return newPlan(limit, w.bounds, w.vms, portion)
}

// setPlans updates all plans. The caller holds the lock.
func (w *Wallets) setPlans() {
	for _, t := range *w.teams.Load() {
		t.setPlan(w.plan(t, t.limit))
		if w.roles[t.shard].Regions > 0 {
			// An agent's local allowances are larger than what it began with.
			t.mu.Lock()
			t.announce(&w.owners[t.shard], false)
			t.mu.Unlock()
		}
	}
}

// updateVMs applies a changed number of VMs. The caller holds the lock.
func (w *Wallets) updateVMs(now clock.Instant) {
	assumed, before := !w.trusted, w.vms
	if w.vms = w.knownVMs(now); w.vms == before && assumed == !w.trusted {
		return
	}
	if assumed && w.trusted {
		// The wallets began with half of a share of startupVMs.
		for _, t := range *w.teams.Load() {
			t.credit((w.plan(t, t.limit).local - newPlan(t.limit, w.bounds, before, 1/float64(before)).local) / 2)
		}
	}
	w.setPlans()
}

// HasLimits reports whether a team has a limit.
func (w *Wallets) HasLimits() bool { return len(*w.teams.Load()) > 0 }

func (t *wallet) setPlan(p plan) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan = p
	t.local, t.own = min(t.local, p.local), min(t.own, p.capacity/p.vms)
	if p.lease < maxLease {
		t.grants = [leases]lease{}
	}
}

func (t *wallet) credit(units float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.local += max(0, units)
}

// Take takes the units of a request. The team has a limit.
func (w *Wallets) Take(team *ingress.Team, units int64, now clock.Instant) Decision {
	t := (*w.teams.Load())[team.Name]
	if t == nil {
		return Decision{Granted: true} // it has no limit by the newest configuration
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	units = max(0, units)
	if float64(units) > t.largest() {
		// It can never be admitted, and is no reason to request units.
		return t.refuse(float64(units), 0, true, now)
	}
	t.asked += units
	t.size += (float64(units) - t.size) / sizeSamples
	return w.take(t, units, now, 0)
}

// Retry is Take for a request that has waited by an earlier decision.
func (w *Wallets) Retry(team *ingress.Team, units int64, now clock.Instant, before Decision) Decision {
	t := (*w.teams.Load())[team.Name]
	if t == nil {
		return Decision{Granted: true}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return w.take(t, max(0, units), now, before.round)
}

// take decides on a request; waitsFor is the exchange for which it waits already, or zero. The
// caller holds the lock of the wallet.
func (w *Wallets) take(t *wallet, units int64, now clock.Instant, waitsFor uint64) Decision {
	link := w.link(t.shard)
	need := float64(units)
	held := t.held(now)
	if held+rounding < need {
		t.accrue(&w.owners[t.shard], now)
		held += t.own
	}
	if held+rounding >= need {
		t.spend(need, now)
		t.spent += units
		t.stats.Admitted++
		low := held-need < urgentLevel*max(t.plan.local, t.demand*activeInterval.Seconds())
		t.announce(link, low && !t.isScarce(now))
		return Decision{Granted: true}
	}
	if t.least == 0 || units < t.least {
		t.least = units
	}
	if never := need > t.largest(); never || t.isScarce(now) || link.hasFailed() {
		t.announce(link, false)
		return t.refuse(need, held, never, now)
	}
	next := t.announce(link, true)
	if waitsFor == 0 || !link.awaits(waitsFor) {
		t.waiting += units
		waitsFor = next
	}
	return Decision{Wait: true, RetryAfter: t.retryAfter(need, held, now), round: waitsFor}
}

// Refuse refuses a request that has waited in vain.
func (w *Wallets) Refuse(team *ingress.Team, units int64, now clock.Instant) Decision {
	t := (*w.teams.Load())[team.Name]
	if t == nil {
		return Decision{Granted: true}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refuse(float64(units), t.held(now)+t.own, false, now)
}

// refuse refuses a request. Those that are refused one after the other are told later
// times, at which there are units for each.
func (t *wallet) refuse(need, held float64, never bool, now clock.Instant) Decision {
	t.stats.Refused++
	if never {
		return Decision{RetryAfter: maxRetryAfter}
	}
	after := t.retryAfter(need, held, now)
	t.promised = max(t.promised, now).Add(secondsUntil(need, max(t.income, t.share())))
	return Decision{RetryAfter: after}
}

// retryAfter returns the time until there are enough units for a request and for those that
// were refused before.
func (t *wallet) retryAfter(need, held float64, now clock.Instant) time.Duration {
	after := secondsUntil(need-held, max(t.income, t.share()))
	return min(maxRetryAfter, max(after, t.retryAt.Sub(now), t.promised.Sub(now)))
}

func (t *wallet) isScarce(now clock.Instant) bool { return t.scarce && now < t.scarceUntil }

// held returns the units that can be spent, without those of this VM's share.
func (t *wallet) held(now clock.Instant) float64 {
	sum := t.local
	for i := range t.grants {
		if t.grants[i].expires > now {
			sum += t.grants[i].units
		}
	}
	return sum
}

// spend takes units: first those that expire soonest, then the local allowance, then those
// of this VM's share.
func (t *wallet) spend(units float64, now clock.Instant) {
	for units > 0 {
		var first *lease
		for i := range t.grants {
			if g := &t.grants[i]; g.units > 0 && g.expires > now && (first == nil || g.expires < first.expires) {
				first = g
			}
		}
		if first == nil {
			break
		}
		taken := min(units, first.units)
		first.units -= taken
		units -= taken
	}
	taken := min(units, t.local)
	t.local -= taken
	if units -= taken; units > rounding {
		t.own = max(0, t.own-units)
	}
}

// accrue adds the units of this VM's share for the time in which it is not delegated.
func (t *wallet) accrue(l *link, now clock.Instant) {
	l.mu.Lock()
	epoch, since := l.epoch, now.Sub(l.delegatedUntil).Seconds()
	l.mu.Unlock()
	if epoch != t.epoch || since <= 0 {
		// What the share had brought before was given up when it was delegated.
		t.epoch, t.own, t.ownTime = epoch, 0, 0
	}
	if since > t.ownTime {
		t.own = min(t.own+t.share()*(since-t.ownTime), t.plan.capacity/t.vms)
		t.ownTime = since
	}
}

// announce lists the wallet for the next exchange. If that is urgent, it returns its sequence
// number.
func (t *wallet) announce(l *link, urgent bool) uint64 {
	if t.listed && !t.quiet && !urgent {
		return 0
	}
	t.quiet = false
	l.mu.Lock()
	defer l.mu.Unlock()
	if !t.listed {
		t.listed = true
		l.listed = append(l.listed, t)
	}
	l.urgent = l.urgent || urgent
	l.next = min(l.next, l.sentAt.Add(activeInterval))
	if l.wake != nil {
		l.wake()
	}
	return l.sequence + 1
}

// awaits reports whether the exchange with the sequence number has not ended yet.
func (l *link) awaits(sequence uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return sequence > l.ended
}

func (l *link) hasFailed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// Return gives back the units of a request that was admitted and didn't run.
func (w *Wallets) Return(team *ingress.Team, units int64, now clock.Instant) {
	t := (*w.teams.Load())[team.Name]
	if t == nil || units <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked, t.spent = max(0, t.asked-units), max(0, t.spent-units)
	t.add(float64(units), now.Add(t.lease), now)
}

// add adds units: to the local allowance as far as it lacks some, and otherwise as a lease.
func (t *wallet) add(units float64, expires, now clock.Instant) {
	local := max(0, min(units, t.plan.local-t.local))
	t.local += local
	if units -= local; units <= 0 {
		return
	}
	first := &t.grants[0]
	for i := range t.grants {
		g := &t.grants[i]
		if g.units <= 0 || g.expires <= now {
			*g = lease{units: units, expires: expires}
			return
		}
		if g.expires < first.expires {
			first = g
		}
	}
	first.units, first.expires = first.units+units, min(first.expires, expires)
}
