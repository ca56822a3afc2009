package mesh

import (
	"cmp"
	"slices"

	"github.com/chestnutspring/chestnutspring/internal/gossip"
)

// Load announcements are most of what the VMs of a large region exchange. Around the ring of a
// failure domain each takes a binomial tree: a VM passes it on only over chords that come, in
// the tree's order, before the one over which it arrived. So nearly every VM receives it once,
// in as few steps as over all chords. Announcements take the tree over shorter chords or the one
// over longer chords in turn, as the VMs behind a lost one differ between these.

const (
	// floodedLoads is the number of load announcements of which one, on average, takes all
	// links, for VMs that neither tree reaches.
	floodedLoads = 8
	// maxChord is above the length of any chord.
	maxChord = 1 << 30
)

// ring holds the chords of a VM in the ring of its failure domain: their lengths, by the VM at
// the other end. It sends over those in to, and receives over those in from.
type ring struct{ to, from map[string]int }

// newRing returns the chords of self in a ring with the other VMs of the list, which it sorts.
func newRing(list []*Member, self string) ring {
	r := ring{to: map[string]int{}, from: map[string]int{}}
	next := ringPosition(list, self)
	for length := 1; length <= len(list); length *= 2 {
		r.to[list[(next+length-1)%len(list)].VM] = length
		r.from[list[(next-length+len(list))%len(list)].VM] = length
	}
	return r
}

// ringPosition sorts the list in the order of the ring, and returns the index in it of the
// member that follows self.
func ringPosition(list []*Member, self string) int {
	slices.SortFunc(list, func(a, b *Member) int { return cmp.Compare(a.VM, b.VM) })
	next, _ := slices.BinarySearchFunc(list, self, func(o *Member, name string) int { return cmp.Compare(o.VM, name) })
	return next
}

// updateRing updates the ring to the members. It is empty in a small region, whose VMs form a
// full mesh. The caller holds the lock.
func (m *Mesh) updateRing() {
	region := 0
	var domain []*Member
	for _, o := range m.members {
		if !o.Reachable || o.Region != m.Self.Region {
			continue
		}
		region++
		if o.FailureDomain == m.Self.FailureDomain {
			domain = append(domain, o)
		}
	}
	m.ring = ring{}
	if region >= fullMeshLimit {
		m.ring = newRing(domain, m.Self.VM)
	}
}

// spanOf returns the span of a record that comes from the VM: the order of its chord to this
// one, or zero, which is no bound, if it has none or the record takes all links.
func (m *Mesh) spanOf(r gossip.Record, vm string) int {
	length, isChord := m.ring.from[vm]
	if r.Kind != gossip.KindLoad || !isChord || scatter(r.Version)%floodedLoads == 0 {
		return 0
	}
	return chordOrder(length, r.Version)
}

// passesOn reports whether the record is sent to the VM. The caller holds the lock.
func (m *Mesh) passesOn(r gossip.Record, vm string) bool {
	length, isChord := m.ring.to[vm]
	return r.Span == 0 || !isChord || chordOrder(length, r.Version) < r.Span
}

// chordOrder returns a chord's place in the order of the tree that a load announcement of the
// version takes.
func chordOrder(length int, version uint64) int {
	if scatter(version)/floodedLoads%2 == 0 {
		return length
	}
	return maxChord / length
}

// scatter returns a number that differs much between successive versions: those of a VM's
// announcements may all be odd, or even, for some time.
func scatter(version uint64) uint64 {
	const multiplier = 0x9E3779B97F4A7C15 // 2^64 divided by the golden ratio
	return version * multiplier >> 32
}
