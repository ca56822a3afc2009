// Package membership keeps what is known of the fleet's VMs: the platform's
// lagging list, the gateways' own words and their heartbeats.
//
// A VM that any of these says is leaving counts as leaving. The package has no
// sockets; the time is passed in.
package membership

import (
	"net/netip"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// HeartbeatInterval is the time between two heartbeats of a gateway.
const HeartbeatInterval = 2 * time.Second

// UnreachableAfter is the silence after which a member of this region counts
// as unreachable.
const UnreachableAfter = 6 * time.Second

// keepGone is how long a VM is remembered after the list has dropped it.
const keepGone = time.Hour

// Announcement is a gateway's word about itself.
type Announcement struct {
	Incarnation    string
	Region         string
	FailureDomain  string
	CallerAddress  string
	ForwardAddress string
	ControlAddress string
	Leaving        bool
}

// Heartbeat is a gateway's heartbeat.
type Heartbeat struct {
	// Revision is the gateway's configuration revision.
	Revision uint64
	// View identifies how the gateway divides the probes.
	View uint32
}

// Listing is a VM's entry in the platform's list.
type Listing struct {
	VM published.VM
	// Gone means that a newer list has dropped the VM.
	Gone bool
}

// RegionHeartbeat is a region's heartbeat to the others.
type RegionHeartbeat struct {
	// Unreachable names the region's gateways that its carrier can't hear.
	Unreachable []string
}

// node is what is known of one VM.
type node struct {
	announced bool
	own       Announcement
	listed    bool
	listing   Listing
	revision  uint64        // of the list
	gone      clock.Instant // when the drop from the list was noticed
	// listedBefore is the list's revision when the present incarnation was
	// first heard; a listing that isn't newer may be of an earlier one.
	listedBefore uint64
	heard        clock.Instant
	// beat and view are of the last heartbeat.
	beat   clock.Instant
	view   uint32
	config uint64
}

// Table is the state of the fleet's VMs. It isn't safe for concurrent use.
type Table struct {
	self  snapshot.Identity
	nodes map[string]*node
	// unreachable holds what other regions' carriers say: region, VMs.
	unreachable map[string]map[string]bool
	// pruned is the highest list revision of the VMs that were forgotten.
	pruned uint64
}

// NewTable returns a table that knows nothing.
func NewTable(self snapshot.Identity) *Table {
	return &Table{self: self, nodes: map[string]*node{}, unreachable: map[string]map[string]bool{}}
}

func (t *Table) node(vm string) *node {
	n := t.nodes[vm]
	if n == nil {
		n = &node{}
		t.nodes[vm] = n
	}
	return n
}

// ApplyAnnouncement takes in a gateway's word about itself and reports whether it is of
// an incarnation that wasn't known.
func (t *Table) ApplyAnnouncement(vm string, a Announcement, now clock.Instant) bool {
	n := t.node(vm)
	fresh := !n.announced || n.own.Incarnation != a.Incarnation
	if n.announced && fresh {
		n.listedBefore = n.revision
		n.config = 0
	}
	if fresh {
		n.heard = now
	}
	n.announced, n.own = true, a
	return fresh
}

// RecordHeartbeat notes that a gateway was heard, and its configuration revision. The
// first heartbeat of a gateway may be an old one that a peer passed on; its
// view isn't used.
func (t *Table) RecordHeartbeat(vm string, b Heartbeat, now clock.Instant) {
	n := t.node(vm)
	if n.beat != 0 {
		n.view = b.View
	}
	n.heard, n.beat = now, now
	n.config = max(n.config, b.Revision)
}

// RecordMessage notes a message that came straight from a gateway. A message of
// another incarnation than the announced one is ignored.
func (t *Table) RecordMessage(vm, incarnation string, revision uint64, now clock.Instant) {
	n := t.nodes[vm]
	if n == nil || !n.announced || n.own.Incarnation != incarnation {
		return
	}
	n.heard = now
	n.config = max(n.config, revision)
}

// ApplyListing takes in a VM's entry of the list at the given revision of the list.
func (t *Table) ApplyListing(vm string, l Listing, revision uint64) {
	n := t.node(vm)
	if n.listed && revision < n.revision {
		return
	}
	n.listed, n.listing, n.revision = true, l, revision
	n.gone = 0
}

// IsOutdatedListing reports whether an entry of the list speaks of a VM that was
// dropped by a newer list and has been forgotten since.
func (t *Table) IsOutdatedListing(vm string, revision uint64) bool {
	return t.nodes[vm] == nil && revision <= t.pruned
}

// Prune forgets the VMs that the list dropped longer than keepGone ago and
// returns their names.
func (t *Table) Prune(now clock.Instant) []string {
	var names []string
	for vm, n := range t.nodes {
		switch {
		case !n.listed || !n.listing.Gone:
		case n.gone == 0:
			n.gone = now
		case now.Sub(n.gone) > keepGone:
			t.pruned = max(t.pruned, n.revision)
			delete(t.nodes, vm)
			names = append(names, vm)
		}
	}
	return names
}

// SetRegionUnreachable takes in which gateways a region's carrier can't hear.
func (t *Table) SetRegionUnreachable(region string, vms []string) {
	set := make(map[string]bool, len(vms))
	for _, vm := range vms {
		set[vm] = true
	}
	t.unreachable[region] = set
}

// ShiftTimes moves all ages by d, the time for which this process was paused: in it
// nobody could be heard.
func (t *Table) ShiftTimes(d time.Duration) {
	for _, n := range t.nodes {
		n.heard = n.heard.Add(d)
	}
}

// Region returns the region of a gateway that announced itself, or "".
func (t *Table) Region(vm string) string {
	if n := t.nodes[vm]; n != nil && n.announced {
		return n.own.Region
	}
	return ""
}

// LastHeartbeat returns when a gateway was last heard, and the view that its last
// heartbeat bore.
func (t *Table) LastHeartbeat(vm string) (at clock.Instant, view uint32) {
	n := t.nodes[vm]
	if n == nil {
		return 0, 0
	}
	return n.beat, n.view
}

// Listing returns the entry of a VM in the list.
func (t *Table) Listing(vm string) (Listing, bool) {
	n := t.nodes[vm]
	if n == nil || !n.listed {
		return Listing{}, false
	}
	return n.listing, true
}

// BackendLeaving reports whether the list says that the VM of a backend server
// is leaving or gone. A VM that was never listed isn't leaving.
func (t *Table) BackendLeaving(name string) bool {
	l, ok := t.Listing(name)
	return ok && (l.Gone || l.VM.State == published.StateLeaving)
}

// Members returns all gateways that are known and not gone, by VM.
func (t *Table) Members(now clock.Instant) map[string]*snapshot.Member {
	members := make(map[string]*snapshot.Member, len(t.nodes))
	for vm, n := range t.nodes {
		if m := t.member(vm, n, now); m != nil {
			members[vm] = m
		}
	}
	return members
}

func (t *Table) member(vm string, n *node, now clock.Instant) *snapshot.Member {
	switch {
	case n.announced:
		return t.announcedMember(vm, n, now)
	case n.listed && !n.listing.Gone && n.listing.VM.Role == published.RoleEntry:
		return listedMember(n.listing.VM)
	default:
		return nil
	}
}

func (t *Table) announcedMember(vm string, n *node, now clock.Instant) *snapshot.Member {
	current := n.listed && n.revision > n.listedBefore
	if current && n.listing.Gone {
		return nil
	}
	m := &snapshot.Member{
		Identity: snapshot.Identity{
			VM: vm, Incarnation: n.own.Incarnation,
			Region: n.own.Region, FailureDomain: n.own.FailureDomain,
		},
		CallerAddress:  n.own.CallerAddress,
		ForwardAddress: n.own.ForwardAddress,
		ControlAddress: n.own.ControlAddress,
		Leaving:        n.own.Leaving || current && n.listing.VM.State == published.StateLeaving,
		Revision:       n.config,
	}
	if n.listed && !n.listing.Gone && (m.Region != t.self.Region || !isReachableAddress(m.ForwardAddress)) {
		preferListedAddresses(m, n.listing.VM)
	}
	m.Reachable = t.reachable(vm, n, now)
	return m
}

// isReachableAddress reports whether a VM that listens on the address can be
// reached at it. An unspecified IP number says only that it listens on all.
func isReachableAddress(address string) bool {
	ap, err := netip.ParseAddrPort(address)
	return err == nil && !ap.Addr().IsUnspecified()
}

// preferListedAddresses takes the addresses of the platform's list, where it
// has them. The list says how a VM of another region is reached from this one;
// the VM itself knows only where it listens. Within the region the VM's own
// word is newer than the list, which lags.
func preferListedAddresses(m *snapshot.Member, vm published.VM) {
	if vm.CallerAddress != "" {
		m.CallerAddress = vm.CallerAddress
	}
	if vm.ForwardAddress != "" {
		m.ForwardAddress = vm.ForwardAddress
	}
	if vm.ControlAddress != "" {
		m.ControlAddress = vm.ControlAddress
	}
}

func (t *Table) reachable(vm string, n *node, now clock.Instant) bool {
	if vm == t.self.VM {
		return true
	}
	if n.own.Region == t.self.Region {
		return now.Sub(n.heard) <= UnreachableAfter
	}
	return !t.unreachable[n.own.Region][vm]
}

// listedMember is a gateway that only the list knows. It counts as
// unreachable until something is heard of it.
func listedMember(vm published.VM) *snapshot.Member {
	return &snapshot.Member{
		Identity:       snapshot.Identity{VM: vm.Name, Region: vm.Region, FailureDomain: vm.FailureDomain},
		CallerAddress:  vm.CallerAddress,
		ForwardAddress: vm.ForwardAddress,
		ControlAddress: vm.ControlAddress,
		Leaving:        vm.State == published.StateLeaving,
	}
}
