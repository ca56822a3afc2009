package quota

import (
	"math"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

// MaxInFlight is the number of exchanges with an owner that may be in flight at once: with
// requests that wait, one is sent every urgentInterval, and a round trip takes longer.
const MaxInFlight = 4

// supplyInterval replaces urgentInterval for the exchange with the agent of the region.
const supplyInterval = 25 * time.Millisecond

// roundTripSamples is the number of exchanges over which the round trip is smoothed.
const roundTripSamples = 8

// retryInterval is the minimum time between two exchanges if the first failed.
const retryInterval = 2 * activeInterval

// OnDue sets the function that is called when the exchange of a shard with its owner, or with the
// agent of the region, may be due earlier than NextExchange or NextSupply said. It must not
// block or call the wallets.
func (w *Wallets) OnDue(wake func(shard int, supply bool)) {
	for i := range Shards {
		for _, l := range []*link{&w.owners[i], &w.agents[i]} {
			l.mu.Lock()
			l.wake = func() { wake(i, l == &w.agents[i]) }
			l.mu.Unlock()
		}
	}
}

// NextExchange returns when the next exchange with the owner of a shard is due, and false if
// no team of the shard has a limit.
func (w *Wallets) NextExchange(shard int) (clock.Instant, bool) {
	if !w.limited[shard].Load() {
		return 0, false
	}
	l := &w.owners[shard]
	l.mu.Lock()
	defer l.mu.Unlock()
	soon := l.sentAt.Add(urgentInterval)
	switch {
	case l.sentAt == 0:
		return 0, true
	case l.urgent || l.owner == "" && !l.failed:
		return soon, true
	case l.owner != "" && l.delegatedTo == "":
		return min(l.next, soon), true
	case l.owner != "" && l.delegatedTo != l.ownerVM:
		return min(l.next, max(soon, l.delegatedUntil)), true
	default:
		return l.next, true
	}
}

// NextSupply returns when the next exchange with the agent of the region is due, and false if
// there is none to make.
func (w *Wallets) NextSupply(shard int) (clock.Instant, bool) {
	l := &w.agents[shard]
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.listed) == 0 || !w.supplied[shard].Load() {
		return 0, false
	}
	if l.urgent {
		return min(l.next, l.sentAt.Add(supplyInterval)), true
	}
	return l.next, true
}

// Release returns a request that takes the share of a shard back from the VM to which it is
// delegated, if that is no longer the owner, and that VM.
func (w *Wallets) Release(shard int, owner string, now clock.Instant) (r *Request, from string) {
	l := &w.owners[shard]
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.delegatedTo == "" || l.delegatedTo == owner || now >= l.delegatedUntil || l.owner == "" || l.ownerVM != l.delegatedTo {
		return nil, ""
	}
	return w.newRequest(l, shard, now), l.delegatedTo
}

// OwnerFailed reports whether the last exchange with the owner of a shard failed. Then there is
// nothing to release.
func (w *Wallets) OwnerFailed(shard int) bool { return w.owners[shard].hasFailed() }

// Released records that a request of Release was answered.
func (w *Wallets) Released(shard int, now clock.Instant) {
	l := &w.owners[shard]
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delegatedTo, l.delegatedUntil = "", now
	if w.isFresh(now) {
		l.delegatedUntil = w.startedAt.Add(delegation)
	}
	l.owner = ""
}

// isFresh reports whether an earlier process of this VM may have delegated its share.
func (w *Wallets) isFresh(now clock.Instant) bool {
	return !w.firstStart && now < w.startedAt.Add(delegation)
}

// newRequest returns a request that delegates nothing. The caller holds the link's lock.
func (w *Wallets) newRequest(l *link, shard int, now clock.Instant) *Request {
	l.sequence++
	r := &Request{VM: w.vm, Incarnation: w.incarnation, Shard: shard, Sequence: l.sequence, Fresh: w.isFresh(now)}
	if l.owner != "" {
		r.Owner, r.At = l.owner, l.clock+now.Sub(l.heardAt).Microseconds()
	}
	return r
}

// Request returns the request to the VM that is the owner of a shard.
func (w *Wallets) Request(shard int, owner string, now clock.Instant) *Request {
	w.mu.Lock()
	w.updateVMs(now)
	active := max(1, w.active)
	w.mu.Unlock()

	l := &w.owners[shard]
	l.mu.Lock()
	if l.ownerVM != owner {
		l.owner = ""
	}
	r := w.newRequest(l, shard, now)
	r.Active = active
	if free := now >= l.delegatedUntil; l.owner != "" && (free || l.delegatedTo == owner || l.delegatedTo == "") {
		if free {
			l.epoch++
		}
		r.DelegateMs = delegation.Milliseconds()
		l.delegatedTo, l.delegatedUntil = owner, now.Add(delegation)
	}
	w.addWants(l, r, active, now)
	return r
}

// minAhead is the number of requests that have to be expected while units of an agent are valid,
// so that a VM asks for them in advance. Otherwise they would often expire unused.
const minAhead = 3

// RequestSupply returns the request to the agent of the region.
func (w *Wallets) RequestSupply(shard int, now clock.Instant) *Request {
	l := &w.agents[shard]
	l.mu.Lock()
	l.sequence++
	r := &Request{VM: w.vm, Incarnation: w.incarnation, Shard: shard, Sequence: l.sequence, Supply: true}
	w.addWants(l, r, 1, now)
	return r
}

// addWants adds what the listed wallets want to a request, and sets when the next one is due.
// It releases the lock of the link.
func (w *Wallets) addWants(l *link, r *Request, active int, now clock.Instant) {
	n := min(len(l.listed), maxWants)
	listed := l.listed[:n:n]
	l.listed = append(make([]*wallet, 0, len(l.listed)), l.listed[n:]...)
	busy, interval := len(l.listed) > 0, w.interval(active)
	horizon := min(maxHorizon, interval+l.roundTrip+horizonMargin)
	l.sentAt, l.urgent, l.next = now, false, now.Add(idleInterval)
	l.mu.Unlock()

	teams := *w.teams.Load()
	var kept []*wallet
	for _, t := range listed {
		if teams[t.name] != t {
			continue
		}
		want, active, keep := t.want(now, horizon, r.Supply)
		busy = busy || active
		if want.Wanted > 0 || want.Refill > 0 {
			r.Teams = append(r.Teams, want)
		}
		if keep {
			kept = append(kept, t)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed = append(l.listed, kept...)
	if busy {
		l.next = min(l.next, now.Add(interval))
	}
}

// interval returns the time between two exchanges while there is demand.
func (w *Wallets) interval(vms int) time.Duration {
	factor := min(maxIntervalFactor, max(1, float64(vms)/unscaledVMs))
	return time.Duration(factor * float64(activeInterval))
}

// want returns what is requested for a team, whether it has demand, and whether it is to be
// listed for the next exchange too.
func (t *wallet) want(now clock.Instant, horizon time.Duration, supplied bool) (want Want, active, keep bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if elapsed := now.Sub(t.askedAt).Seconds(); elapsed > 0 {
		t.demand += (float64(t.asked)/elapsed - t.demand) * (1 - math.Exp(-elapsed/demandTime.Seconds()))
		t.askedAt = now
	}
	held, waiting, expected := t.held(now), float64(t.waiting), t.demand*horizon.Seconds()
	if supplied && expected < minAhead*t.size {
		expected = 0
	}
	want = Want{Team: t.name, Spent: t.spent, Demand: int64(t.demand)}
	want.ahead = ceil(expected - max(0, held-waiting) - float64(t.ahead))
	if want.Wanted = ceil(waiting-held) + want.ahead; want.Wanted > 0 {
		want.Unit, want.Least = t.least, ceil(float64(t.least)-held)
		if want.Least > want.Wanted {
			want.ahead += want.Least - want.Wanted
			want.Wanted = want.Least
		}
	}
	want.Refill = max(0, int64(t.plan.local-t.local)-want.Wanted-t.refill)
	t.ahead += want.ahead
	t.refill += want.Refill
	active = t.asked > 0 || expected >= 0.5
	keep = active || want.Refill > 0 || want.Wanted > 0
	t.asked, t.spent, t.waiting, t.least, t.listed, t.quiet = 0, 0, 0, 0, keep, !active
	return want, active, keep
}

// ceil returns the number of whole units that cover x; 0 if x is not above 0.
func ceil(x float64) int64 { return int64(math.Ceil(max(0, x-rounding))) }

// linkOf returns the exchange to which a request belongs.
func (w *Wallets) linkOf(q *Request) *link {
	if q.Supply {
		return &w.agents[q.Shard]
	}
	return &w.owners[q.Shard]
}

// end records that a request to the owner of a shard has ended.
func (w *Wallets) end(q *Request) {
	teams := *w.teams.Load()
	for i := range q.Teams {
		if t := teams[q.Teams[i].Team]; t != nil {
			t.mu.Lock()
			t.ahead, t.refill = max(0, t.ahead-q.Teams[i].ahead), max(0, t.refill-q.Teams[i].Refill)
			t.mu.Unlock()
		}
	}
}

// Apply takes the units from the response to a request that was sent to an owner at an instant.
func (w *Wallets) Apply(q *Request, owner string, r *Response, sentAt, now clock.Instant) {
	shard := q.Shard
	w.end(q)
	if !q.Supply {
		w.mu.Lock()
		if w.heard = r.Active; w.heard > 0 {
			w.updateVMs(now)
		}
		w.mu.Unlock()
	}
	teams := *w.teams.Load()
	var early time.Duration
	for i := range r.Teams {
		t := teams[r.Teams[i].Team]
		if t == nil || t.shard != shard {
			continue
		}
		if after := t.apply(&r.Teams[i], sentAt, now); after > 0 && (early == 0 || after < early) {
			early = after
		}
	}
	l := w.linkOf(q)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownerVM, l.owner, l.clock, l.heardAt, l.failed = owner, r.Owner, r.Clock, now, false
	l.ended = max(l.ended, q.Sequence)
	l.roundTrip += (now.Sub(sentAt) - l.roundTrip) / roundTripSamples
	if early > 0 {
		l.next = min(l.next, now.Add(max(early, urgentInterval)))
	}
}

// apply adds a grant. It returns the time until the owner has the units of the smallest
// request, if it granted none, or else 0.
func (t *wallet) apply(g *Grant, sentAt, now clock.Instant) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	granted := max(0, g.Granted)
	lease := t.lease
	if g.ValidMs > 0 {
		lease = min(lease, time.Duration(g.ValidMs)*time.Millisecond)
	}
	if expires := sentAt.Add(lease); granted > 0 && expires > now {
		t.add(float64(granted), expires, now)
		t.stats.Granted += uint64(granted)
	}
	if elapsed := now.Sub(t.grantedAt).Seconds(); elapsed > 0 {
		t.income += (float64(granted)/elapsed - t.income) * (1 - math.Exp(-elapsed/demandTime.Seconds()))
		t.grantedAt = now
	}
	t.scarce, t.scarceUntil = g.Scarce, now.Add(scarceFor)
	if g.ValidMs > 0 {
		// The agent is near, and may have units again at any time.
		t.scarceUntil = now.Add(supplyInterval)
	}
	if !g.Scarce {
		t.retryAt, t.promised = 0, 0
		return 0
	}
	after := time.Duration(min(max(0, g.RetryAfterMs), maxRetryAfter.Milliseconds())) * time.Millisecond
	t.retryAt = now.Add(after)
	if granted > 0 {
		return 0
	}
	return max(after, time.Millisecond)
}

// Failed records that a request to the owner of a shard was not answered. The share may be
// delegated all the same, and nothing more is delegated before the next answer. It reports
// whether the request before was answered.
func (w *Wallets) Failed(q *Request) bool {
	w.end(q)
	l := w.linkOf(q)
	l.mu.Lock()
	defer l.mu.Unlock()
	first := !l.failed
	l.ended = max(l.ended, q.Sequence)
	l.owner, l.failed = "", true
	l.next = min(l.next, l.sentAt.Add(retryInterval))
	return first
}

// State is the state of a team's wallet.
type State struct {
	// Local and Leased are the units of the local allowance and of grants, LocalMax the whole
	// local allowance, and Own the units of this VM's share.
	Local, LocalMax, Leased, Own float64
	// Demand is in units per second.
	Demand float64
	Scarce bool
	VMs    int
	Stats
}

// State returns the state of a team's wallet, and false if the team has no limit.
func (w *Wallets) State(team string, now clock.Instant) (State, bool) {
	t := (*w.teams.Load())[team]
	if t == nil {
		return State{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return State{
		Local: t.local, LocalMax: t.plan.local, Leased: t.held(now) - t.local, Own: t.own,
		Demand: t.demand, Scarce: t.isScarce(now), VMs: int(t.vms), Stats: t.stats,
	}, true
}

// LinkState is the state of the exchange with the owner of a shard.
type LinkState struct {
	// Owner is the VM that answered last, and AnsweredAt when; zero is never.
	Owner      string
	AnsweredAt clock.Instant
	Failed     bool
}

// LinkState returns the state of the exchange with the owner of a team's shard.
func (w *Wallets) LinkState(team string) LinkState {
	l := w.link(ShardOf(team))
	l.mu.Lock()
	defer l.mu.Unlock()
	return LinkState{Owner: l.ownerVM, AnsweredAt: l.heardAt, Failed: l.failed}
}

// EachTeam visits the counts of all teams with a limit.
func (w *Wallets) EachTeam(visit func(team string, s Stats)) {
	for name, t := range *w.teams.Load() {
		t.mu.Lock()
		s := t.stats
		t.mu.Unlock()
		visit(name, s)
	}
}
