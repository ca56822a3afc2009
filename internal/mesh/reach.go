package mesh

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
)

const (
	// shareMargin is how much later than a VM would notice that it hears of no others a
	// share of a server's rate changes hands: the second in which requests to a cold
	// server are counted, and a few exchanges.
	shareMargin = 1600 * time.Millisecond
	// minSoundShare is the minimum part of its region's servers that a VM reaches to
	// which callers are directed.
	minSoundShare = 0.5
)

// serverSet is an immutable set of backend servers, by ID. A nil set is empty.
type serverSet struct{ ids map[string]struct{} }

// newServerSet returns the set of the servers, or nil if there are none.
func newServerSet(ids []string) *serverSet {
	if len(ids) == 0 {
		return nil
	}
	set := &serverSet{ids: make(map[string]struct{}, len(ids))}
	for _, id := range ids {
		set.ids[id] = struct{}{}
	}
	return set
}

func (s *serverSet) contains(id string) bool {
	if s == nil {
		return false
	}
	_, ok := s.ids[id]
	return ok
}

func (s *serverSet) len() int {
	if s == nil {
		return 0
	}
	return len(s.ids)
}

// reached returns the fraction of the servers that are not in the set; 1 if there are no
// servers.
func (s *serverSet) reached(servers []string) float64 {
	if s.len() == 0 || len(servers) == 0 {
		return 1
	}
	n := 0
	for _, id := range servers {
		if !s.contains(id) {
			n++
		}
	}
	return float64(n) / float64(len(servers))
}

// reach is which backend servers of its region a VM doesn't reach.
type reach struct {
	unreached *serverSet
	// since is when this VM learned of each of them.
	since map[string]clock.Instant
	// released are those whose rates the other VMs divide without this one.
	released *serverSet
}

// update replaces the servers that are not reached.
func (r *reach) update(ids []string, now clock.Instant) {
	since := make(map[string]clock.Instant, len(ids))
	for _, id := range ids {
		since[id] = now
		if before, ok := r.since[id]; ok {
			since[id] = before
		}
	}
	r.unreached, r.since = newServerSet(ids), since
}

// release updates the released servers: those that have not been reached for longer than
// the delay.
func (r *reach) release(delay time.Duration, now clock.Instant) {
	var ids []string
	for id, since := range r.since {
		if now.Sub(since) > delay {
			ids = append(ids, id)
		}
	}
	if next := newServerSet(ids); next.len() != r.released.len() || next != nil && !maps.Equal(next.ids, r.released.ids) {
		r.released = next
	}
}

// SetUnreached announces which backend servers of the region this VM doesn't reach.
func (m *Mesh) SetUnreached(ids []string) {
	m.write(gossip.KindReach, m.Self.VM, ids)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreached = newServerSet(ids)
	m.updateView()
	for _, l := range m.links {
		l.wake()
	}
}

// applyReach applies another VM's announcement of the servers that it doesn't reach. The
// caller holds the lock.
func (m *Mesh) applyReach(r gossip.Record, now clock.Instant) {
	var ids []string
	if o := m.members[r.Name]; o != nil && m.decode(r, &ids) {
		if before := o.reach.unreached.len(); (before == 0) != (len(ids) == 0) {
			m.Log.Info("reach of another VM changed", "member", r.Name, "region", o.Region, "unreached", len(ids), "before", before)
		}
		o.reach.update(ids, now)
	}
}

// ShareDelay implements balance.Fleet. What others sent in reliance on what they last heard
// of this VM is over by then.
func (m *Mesh) ShareDelay() time.Duration { return m.unreachableTimeout() + shareMargin }

// ReachedByPeer implements balance.Fleet.
func (m *Mesh) ReachedByPeer(service, server string) bool {
	accepting := m.view.Load().accepting
	return slices.ContainsFunc(accepting.list, func(c candidate) bool {
		return !c.without.contains(server) && !m.avoided.has(c.vm, service, m.Now())
	})
}

// Avoid keeps the hops of a service from a VM for a moment, because it refused one for lack
// of a server.
func (m *Mesh) Avoid(vm, service string) { m.avoided.add(vm, service, m.Now().Add(avoidDuration)) }

// avoidDuration is a few of the intervals in which VMs tell one another what they reach.
const avoidDuration = 500 * time.Millisecond

// avoidances holds until when the hops of services are kept from VMs. The zero value is
// ready to use.
type avoidances struct {
	mu    sync.Mutex
	until atomic.Pointer[map[avoidance]clock.Instant]
}

type avoidance struct{ vm, service string }

// add keeps the hops of a service from a VM until the given instant.
func (a *avoidances) add(vm, service string, until clock.Instant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := map[avoidance]clock.Instant{{vm, service}: until}
	if before := a.until.Load(); before != nil {
		for k, at := range *before {
			if _, ok := next[k]; !ok && at > until.Add(-avoidDuration) {
				next[k] = at
			}
		}
	}
	a.until.Store(&next)
}

// has reports whether the hops of a service are kept from a VM.
func (a *avoidances) has(vm, service string, now clock.Instant) bool {
	all := a.until.Load()
	return all != nil && now < (*all)[avoidance{vm, service}]
}

// any reports whether hops are kept from any VM.
func (a *avoidances) any(now clock.Instant) bool {
	all := a.until.Load()
	if all == nil {
		return false
	}
	for _, until := range *all {
		if now < until {
			return true
		}
	}
	return false
}

// CutOff implements balance.Fleet.
func (m *Mesh) CutOff(region, server string) bool {
	return m.view.Load().cutOff[region].contains(server)
}

// cutOffServers returns the servers that no VM of each region reaches, by region. Regions
// in which all servers are reached are left out.
func (m *Mesh) cutOffServers(members []Member) map[string]*serverSet {
	common := map[string]*serverSet{m.Self.Region: m.unreached}
	for i := range members {
		o := &members[i]
		if !o.AcceptsRequests() {
			continue
		}
		known, ok := common[o.Region]
		switch {
		case !ok:
			common[o.Region] = o.reach.unreached
		case known != nil:
			common[o.Region] = known.intersect(o.reach.unreached)
		}
	}
	maps.DeleteFunc(common, func(_ string, s *serverSet) bool { return s == nil })
	return common
}

// intersect returns the servers that are in both sets.
func (s *serverSet) intersect(o *serverSet) *serverSet {
	if o == nil {
		return nil
	}
	var ids []string
	for id := range s.ids {
		if o.contains(id) {
			ids = append(ids, id)
		}
	}
	return newServerSet(ids)
}

// OwnReach returns the reach that this VM has announced, for its entry in a directory.
func (m *Mesh) OwnReach() Reach {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Reach{m.unreached}
}

// Reach is which backend servers of its region a VM reaches.
type Reach struct{ unreached *serverSet }

// IsComplete reports whether the VM reaches all servers of its region.
func (r Reach) IsComplete() bool { return r.unreached == nil }

// IsSound reports whether the VM reaches most of the given servers.
func (r Reach) IsSound(servers []string) bool { return r.unreached.reached(servers) >= minSoundShare }

// Reach returns which backend servers the member reaches.
func (o *Member) Reach() Reach { return Reach{o.reach.unreached} }
