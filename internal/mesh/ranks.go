package mesh

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/spread"
)

// defaultCapacity is assumed for a VM that announces no capacity, in requests per
// second. It corresponds to a fifth of a core.
const defaultCapacity = 100

// preference returns the rendezvous hashing score of a VM for a key, weighted by
// its capacity. The VM with the highest score is preferred.
func preference(vm string, capacity float64, key string) float64 {
	return spread.RendezvousScore(xxhash.Sum64String(vm)^spread.Mix(xxhash.Sum64String(key)), capacityOrDefault(capacity))
}

// rankKey orders VMs: those in the given failure domain first, then those with
// the higher preference.
type rankKey struct {
	sameDomain bool
	preference float64
}

func (k rankKey) before(o rankKey) bool {
	if k.sameDomain != o.sameDomain {
		return k.sameDomain
	}
	return k.preference > o.preference
}

func (m *Mesh) ownRankKey(key, domain string) rankKey {
	return rankKey{sameDomain: m.Self.FailureDomain == domain, preference: preference(m.Self.VM, m.Capacity, key)}
}

// IsSummaryPublisher reports whether this VM publishes summaries of its region to
// the other regions.
// VMs that reach more of the region's servers know more of their loads.
func (m *Mesh) IsSummaryPublisher() bool {
	v := m.view.Load()
	own, rank := v.unreached.len(), 0
	ownKey := m.ownRankKey(summaryKey, "")
	for i := range v.reachable.list {
		c := &v.reachable.list[i]
		if n := c.without.len(); n < own || n == own && c.rankKey(summaryKey, "").before(ownKey) {
			rank++
		}
	}
	return rank < summaryPublishers
}

// summaryKey is the key by which the publishers of summaries are ranked.
const summaryKey = "summary"

// IsRegistryReader reports whether this VM reads the registry at short intervals
// on behalf of the VMs of its region.
func (m *Mesh) IsRegistryReader() bool { return m.reachableRank("registry", "") < registryReaders }

// reachableRank returns this VM's rank for a key, starting at 0, among the
// reachable VMs of its region, or of its failure domain if that is given.
func (m *Mesh) reachableRank(key, domain string) int {
	v := m.view.Load()
	set := v.reachable
	if domain != "" {
		set = v.reachableInDomain
	}
	return set.rank(key, domain, m.ownRankKey(key, domain)).own
}

// ServerRank returns the number of VMs of the region that may send requests to a
// backend server in the failure domain, this one included, and this VM's rank
// among them, starting at 0. VMs in the server's failure domain rank first. A VM that
// announced that it doesn't reach the server counts until ShareDelay has passed.
func (m *Mesh) ServerRank(server, domain string) (vms, rank int) {
	r := m.view.Load().active.rank(server, domain, m.ownRankKey(server, domain))
	vms, rank = r.candidates+1, r.own
	if m.Now().Sub(m.started) < startupPeriod {
		vms = max(vms, startupVMs)
	}
	return vms, rank
}

// Reaches reports whether another VM is reachable.
func (m *Mesh) Reaches(vm string) bool {
	return slices.ContainsFunc(m.Members(), func(o Member) bool { return o.VM == vm && o.Reachable })
}

// ReachesAny reports whether another VM is reachable.
func (m *Mesh) ReachesAny() bool {
	return slices.ContainsFunc(m.Members(), func(o Member) bool { return o.Reachable })
}

// HeardFromAll reports whether a heartbeat of each other VM has arrived just now. One that
// has shut down doesn't count.
func (m *Mesh) HeardFromAll() bool {
	now, limit := m.Now(), m.unreachableTimeout()/freshFraction
	return !slices.ContainsFunc(m.Members(), func(o Member) bool {
		return !o.Closing && now.Sub(o.LastHeartbeat) > limit
	})
}

// freshFraction is the part of the time until a member counts as unreachable in which its
// last heartbeat arrived just now.
const freshFraction = 3

// KnowsFleet reports whether this VM knows its rank among the others: they have had the
// time to learn of one another since it started, it has heard of one, and of no new one
// lately; or it has no seed but itself.
func (m *Mesh) KnowsFleet() bool {
	now, joined := m.Now(), clock.Instant(m.lastJoin.Load())
	settled := joined != 0 && now.Sub(joined) >= joinPeriod && now.Sub(m.started) >= startupPeriod
	return settled && len(m.Members()) > 0 || !m.hasOtherSeeds()
}

// hasOtherSeeds reports whether a seed is the address of another VM.
func (m *Mesh) hasOtherSeeds() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.seeds, func(seed string) bool { return seed != m.Addresses.Control })
}

// CapacityShare returns this VM's fraction, between 0 and 1, of the capacity of
// the VMs of its region that were heard of lately.
func (m *Mesh) CapacityShare() float64 { return m.view.Load().share }

// viewOf returns the view of the given members, which are ordered by name. It keeps
// the rankings of the view before for the sets of VMs that have not changed.
func (m *Mesh) viewOf(members []Member, now clock.Instant, before *memberView) *memberView {
	own := capacityOrDefault(m.Capacity)
	sum, reachableVMs, named := own, 1, false
	var reachable, reachableInDomain, active, accepting []candidate
	others := map[string][]candidate{}
	for i := range members {
		o := &members[i]
		c := candidateOf(o)
		named = named || !o.readsGrownStructs
		if o.Region != m.Self.Region {
			if o.AcceptsRequests() {
				others[o.Region] = append(others[o.Region], c)
			}
			continue
		}
		if o.Reachable {
			reachableVMs++
			reachable = append(reachable, c)
			if o.FailureDomain == m.Self.FailureDomain {
				reachableInDomain = append(reachableInDomain, c)
			}
		}
		if now.Sub(o.LastHeartbeat) < closedFor {
			sum += capacityOrDefault(o.Capacity)
		}
		if o.mayBeActive(now) {
			sharing := c
			sharing.without = o.reach.released
			active = append(active, sharing)
		}
		if o.AcceptsRequests() {
			accepting = append(accepting, c)
		}
	}
	view := &memberView{
		members: members, largeRegion: reachableVMs > fullMeshLimit, share: own / sum,
		reachable: before.reachable.updated(reachable), reachableInDomain: before.reachableInDomain.updated(reachableInDomain),
		active: before.active.updated(active), accepting: before.accepting.updated(accepting),
		others: map[string]*candidates{}, unreached: m.unreached, cutOff: m.cutOffServers(members), named: named,
	}
	for region, list := range others {
		view.others[region] = before.others[region].updated(list)
	}
	return view
}

func capacityOrDefault(capacity float64) float64 {
	if capacity <= 0 {
		return defaultCapacity
	}
	return capacity
}

// mayBeActive reports whether the member's last heartbeat is recent enough that
// it may still be sending requests.
func (o *Member) mayBeActive(now clock.Instant) bool {
	limit := activeFor
	if o.Closing {
		limit = closedFor
	}
	return now.Sub(o.LastHeartbeat) < limit
}

// AcceptsRequests reports whether the VM is reachable and accepts requests.
func (o *Member) AcceptsRequests() bool { return o.Reachable && o.Ready && !o.Leaving }

// hopTargetDraws is the number of draws that select the VMs of another region to
// which a VM sends hops, if that region has more than twice as many. With few
// targets the connections stay in use: a new one takes two round trips between
// regions before the first byte.
const hopTargetDraws = 6

// PickMember returns a VM of a region that accepts requests and reaches backend servers
// of the service, and its address for hops, or empty strings if there is none. Over the
// requests of all VMs of this region, each VM is chosen in proportion to its capacity and
// to the part of the servers that it reaches. Of this VM's own region, VMs of its failure
// domain go first. VMs to avoid are left out.
func (m *Mesh) PickMember(region, service, key string) (vm, address string) {
	v := m.view.Load()
	set := v.others[region]
	if region == m.Self.Region {
		set = v.accepting
	}
	if set == nil {
		return "", ""
	}
	now := m.Now()
	targets := set.hopTargets(m.Self.VM)
	if !m.avoided.any(now) && !slices.ContainsFunc(set.list, func(c candidate) bool { return c.without != nil }) {
		if targets != nil {
			return pickTarget(targets, key)
		}
		return pickMostPreferred(set.list, key)
	}
	servers := m.serversOf(service, region)
	share := func(c *candidate) float64 {
		if m.avoided.has(c.vm, service, now) {
			return 0
		}
		return c.without.reached(servers)
	}
	if near := reaching(targets, "", share); len(near) > 0 {
		return pickTarget(near, key)
	}
	return pickMostPreferred(reaching(set.list, m.ownDomainIn(region), share), key)
}

// pickTarget returns one of the targets and its address for hops.
func pickTarget(targets []candidate, key string) (vm, address string) {
	o := targets[spread.Mix(xxhash.Sum64String(key))%uint64(len(targets))]
	return o.vm, o.hops
}

// pickMostPreferred returns the candidate that is most preferred for the key and its address
// for hops, or empty strings if there are none.
func pickMostPreferred(list []candidate, key string) (vm, address string) {
	if o := mostPreferredFor(list, key); o != nil {
		return o.vm, o.hops
	}
	return "", ""
}

// ownDomainIn returns this VM's failure domain if it is in the region, or "".
func (m *Mesh) ownDomainIn(region string) string {
	if region != m.Self.Region {
		return ""
	}
	return m.Self.FailureDomain
}

// PrefillCoordinator returns the prefill coordinator of a backend server in the
// failure domain (the VM through which long prompts reach the server) and its
// address for hops. Both are empty if this VM is the coordinator, or if the region
// is small enough to need none.
func (m *Mesh) PrefillCoordinator(server, domain string) (vm, address string) {
	if !m.LargeRegion() {
		return "", ""
	}
	best := m.view.Load().accepting.rank(server, domain, m.ownRankKey(server, domain)).best
	return best.vm, best.hops
}
