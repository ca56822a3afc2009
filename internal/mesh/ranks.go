package mesh

import (
	"github.com/cespare/xxhash/v2"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/spread"
)

// assumedCapacity stands for the capacity of a VM that states none, in requests
// a second: that of a fifth of a core.
const assumedCapacity = 100

// preference orders VMs for a key, by their capacities.
func preference(vm string, capacity float64, key string) float64 {
	return spread.Weigh(xxhash.Sum64String(vm)^spread.Mix(xxhash.Sum64String(key)), capacityOr(capacity))
}

// ranked is a VM's place in an order: near VMs come first.
type ranked struct {
	near       bool
	preference float64
}

func (r ranked) before(o ranked) bool {
	if r.near != o.near {
		return r.near
	}
	return r.preference > o.preference
}

func (m *Mesh) own(key, domain string) ranked {
	return ranked{near: m.Self.FailureDomain == domain, preference: preference(m.Self.VM, m.Capacity, key)}
}

func (o *Member) ranked(key, domain string) ranked {
	return ranked{near: o.FailureDomain == domain, preference: preference(o.VM, o.Capacity, key)}
}

// IsSummaryPublisher reports whether this VM tells the other regions what its own can
// take.
func (m *Mesh) IsSummaryPublisher() bool { return m.rankAmongReachable("summary", "") < reporters }

// IsRegistryReader reports whether this VM reads the registry often, for the others of
// its region.
func (m *Mesh) IsRegistryReader() bool { return m.rankAmongReachable("registry", "") < readers }

// rankAmongReachable returns this VM's rank for a key among the VMs of its
// region that can be reached, or only of those in the failure domain if one is
// named.
func (m *Mesh) rankAmongReachable(key, domain string) int {
	own, rank := m.own(key, domain), 0
	for _, o := range m.Members() {
		if o.Region != m.Self.Region || !o.Reachable || domain != "" && o.FailureDomain != domain {
			continue
		}
		if o.ranked(key, domain).before(own) {
			rank++
		}
	}
	return rank
}

// Peers returns the number of VMs of the region that may send to a backend
// server in the failure domain, and this VM's rank among them. Those of the
// server's failure domain come first.
func (m *Mesh) Peers(server, domain string) (vms, rank int) {
	now := m.Now()
	own := m.own(server, domain)
	vms = 1
	for _, o := range m.Members() {
		if o.Region != m.Self.Region || !o.counts(now) {
			continue
		}
		vms++
		if o.ranked(server, domain).before(own) {
			rank++
		}
	}
	if now.Sub(m.started) < settlingTime {
		vms = max(vms, unknownVMs)
	}
	return vms, rank
}

// CapacityShare returns this VM's part of the capacity of the VMs of its region
// that may be at work.
func (m *Mesh) CapacityShare() float64 { return m.standing.Load().share }

// standingOf works out what follows from the members.
func (m *Mesh) standingOf(members []Member, now clock.Instant) *standing {
	own, reachable := capacityOr(m.Capacity), 1
	sum := own
	for i := range members {
		o := &members[i]
		if o.Region != m.Self.Region {
			continue
		}
		if o.Reachable {
			reachable++
		}
		if o.counts(now) {
			sum += capacityOr(o.Capacity)
		}
	}
	return &standing{members: members, largeRegion: reachable > fullMesh, share: own / sum}
}

func capacityOr(capacity float64) float64 {
	if capacity <= 0 {
		return assumedCapacity
	}
	return capacity
}

// counts reports whether the VM may be at work.
func (o *Member) counts(now clock.Instant) bool { return now.Sub(o.LastHeartbeat) < countedFor }

// AcceptsRequests reports whether the VM can be reached and takes requests.
func (o *Member) AcceptsRequests() bool { return o.Reachable && o.Ready && !o.Leaving }

// Member returns a VM of the region and the address where it takes hops, or "".
// Each is returned as often as its capacity says.
func (m *Mesh) Member(region, key string) (vm, address string) {
	best := 0.0
	for _, o := range m.Members() {
		if o.Region != region || !o.AcceptsRequests() {
			continue
		}
		if p := preference(o.VM, o.Capacity, key); p > best {
			best, vm, address = p, o.VM, o.Hops
		}
	}
	return vm, address
}

// Owner returns the VM through which long prompts reach a backend server in the
// failure domain, and the address where it takes hops. The address is "" where
// that is this VM, or where the region is small enough to do without.
func (m *Mesh) Owner(server, domain string) (vm, address string) {
	if !m.LargeRegion() {
		return "", ""
	}
	best := m.own(server, domain)
	for _, o := range m.Members() {
		if o.Region != m.Self.Region || !o.AcceptsRequests() {
			continue
		}
		if r := o.ranked(server, domain); r.before(best) {
			best, vm, address = r, o.VM, o.Hops
		}
	}
	return vm, address
}
