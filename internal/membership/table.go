// Package membership tracks the state of the fleet's VMs from three sources: the
// platform's list of VMs, which lags behind, the gateways' announcements about
// themselves and their heartbeats.
//
// A VM counts as leaving if either the list or its own announcement says so. The
// package opens no sockets and reads no clock; callers pass in the time.
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

// UnreachableAfter is how long nothing may be received from a member of this
// region before it counts as unreachable.
const UnreachableAfter = 6 * time.Second

// removedRetention is how long the table keeps a VM that has been removed from the
// list.
const removedRetention = time.Hour

// Announcement is a gateway's record about itself.
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
	// View is a hash of the gateway's inputs to the assignment of probes: the
	// reachable members and the configuration revision. Gateways with equal
	// views assign each backend server to the same VMs. It is zero while the
	// gateway's own probe results are late.
	View uint32
}

// Listing is a VM's entry in the platform's list.
type Listing struct {
	VM published.VM
	// Gone reports that the VM has been removed in a newer list.
	Gone bool
}

// RegionHeartbeat is the heartbeat that a region's carrier sends to the other
// regions.
type RegionHeartbeat struct {
	// Unreachable lists the region's gateways that the carrier can't reach.
	Unreachable []string
}

// node is the state of one VM.
type node struct {
	announced    bool
	announcement Announcement
	listed       bool
	listing      Listing
	listRevision uint64
	// removedAt is when Prune noticed that the VM had been removed from the list,
	// or zero.
	removedAt clock.Instant
	// announcedAtListRevision is the listing's revision when the current
	// incarnation was first announced. A listing that isn't newer may describe
	// an earlier incarnation.
	announcedAtListRevision uint64
	// receivedAt is when the last heartbeat or direct message, or the first
	// announcement of the current incarnation, was received.
	receivedAt clock.Instant
	// heartbeatAt and view are those of the last heartbeat.
	heartbeatAt clock.Instant
	view        uint32
	// configRevision is the highest configuration revision received from the
	// current incarnation.
	configRevision uint64
}

// Table is the state of the fleet's VMs. It isn't safe for concurrent use.
type Table struct {
	self  snapshot.Identity
	nodes map[string]*node
	// unreachable holds the VMs that other regions' carriers report as
	// unreachable, by region.
	unreachable map[string]map[string]bool
	// maxPrunedRevision is the highest list revision of the pruned VMs.
	maxPrunedRevision uint64
}

// NewTable returns an empty table of the VM self.
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

// ApplyAnnouncement records a gateway's announcement and reports whether it is
// from a new incarnation.
func (t *Table) ApplyAnnouncement(vm string, a Announcement, now clock.Instant) bool {
	n := t.node(vm)
	isNew := !n.announced || n.announcement.Incarnation != a.Incarnation
	if n.announced && isNew {
		n.announcedAtListRevision = n.listRevision
		n.configRevision = 0
	}
	if isNew {
		n.receivedAt = now
	}
	n.announced, n.announcement = true, a
	return isNew
}

// RecordHeartbeat records a gateway's heartbeat. The view of the first
// heartbeat is ignored: a peer may have relayed an old one.
func (t *Table) RecordHeartbeat(vm string, b Heartbeat, now clock.Instant) {
	n := t.node(vm)
	if n.heartbeatAt != 0 {
		n.view = b.View
	}
	n.receivedAt, n.heartbeatAt = now, now
	n.configRevision = max(n.configRevision, b.Revision)
}

// RecordMessage records a message received directly from a gateway and the
// configuration revision in it. It ignores a message from an incarnation other
// than the announced one.
func (t *Table) RecordMessage(vm, incarnation string, revision uint64, now clock.Instant) {
	n := t.nodes[vm]
	if n == nil || !n.announced || n.announcement.Incarnation != incarnation {
		return
	}
	n.receivedAt = now
	n.configRevision = max(n.configRevision, revision)
}

// ApplyListing records a VM's entry in the list with the given revision. It
// ignores an entry older than the recorded one.
func (t *Table) ApplyListing(vm string, l Listing, revision uint64) {
	n := t.node(vm)
	if n.listed && revision < n.listRevision {
		return
	}
	n.listed, n.listing, n.listRevision = true, l, revision
	n.removedAt = 0
}

// IsOutdatedListing reports whether an entry of the list with the given revision
// must be ignored: the table doesn't have the VM, and it may have been pruned
// after its removal in a newer list.
func (t *Table) IsOutdatedListing(vm string, revision uint64) bool {
	return t.nodes[vm] == nil && revision <= t.maxPrunedRevision
}

// Prune deletes the VMs that were removed from the list longer than
// removedRetention ago and returns their names.
func (t *Table) Prune(now clock.Instant) []string {
	var names []string
	for vm, n := range t.nodes {
		switch {
		case !n.listed || !n.listing.Gone:
		case n.removedAt == 0:
			n.removedAt = now
		case now.Sub(n.removedAt) > removedRetention:
			t.maxPrunedRevision = max(t.maxPrunedRevision, n.listRevision)
			delete(t.nodes, vm)
			names = append(names, vm)
		}
	}
	return names
}

// SetRegionUnreachable records which gateways of another region its carrier
// reports as unreachable.
func (t *Table) SetRegionUnreachable(region string, vms []string) {
	set := make(map[string]bool, len(vms))
	for _, vm := range vms {
		set[vm] = true
	}
	t.unreachable[region] = set
}

// ShiftTimes moves the time of each VM's last message forward by d, the time for
// which this process was paused and could receive nothing.
func (t *Table) ShiftTimes(d time.Duration) {
	for _, n := range t.nodes {
		n.receivedAt = n.receivedAt.Add(d)
	}
}

// Region returns the region that a gateway has announced, or "".
func (t *Table) Region(vm string) string {
	if n := t.nodes[vm]; n != nil && n.announced {
		return n.announcement.Region
	}
	return ""
}

// LastHeartbeat returns when the last heartbeat of a gateway was received, and its
// view. Both are zero if none was.
func (t *Table) LastHeartbeat(vm string) (at clock.Instant, view uint32) {
	n := t.nodes[vm]
	if n == nil {
		return 0, 0
	}
	return n.heartbeatAt, n.view
}

// Listing returns the entry of a VM in the list, if it has one.
func (t *Table) Listing(vm string) (Listing, bool) {
	n := t.nodes[vm]
	if n == nil || !n.listed {
		return Listing{}, false
	}
	return n.listing, true
}

// BackendLeaving reports whether the VM of the named backend server is leaving
// or removed according to the list. A VM that was never listed isn't leaving.
func (t *Table) BackendLeaving(name string) bool {
	l, ok := t.Listing(name)
	return ok && (l.Gone || l.VM.State == published.StateLeaving)
}

// Members returns all gateways in the table by VM, except those removed from the
// list.
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

// announcedMember returns the member for a gateway that has announced itself, or
// nil if the list has removed its current incarnation.
func (t *Table) announcedMember(vm string, n *node, now clock.Instant) *snapshot.Member {
	current := n.listed && n.listRevision > n.announcedAtListRevision
	if current && n.listing.Gone {
		return nil
	}
	m := &snapshot.Member{
		Identity: snapshot.Identity{
			VM: vm, Incarnation: n.announcement.Incarnation,
			Region: n.announcement.Region, FailureDomain: n.announcement.FailureDomain,
		},
		CallerAddress:  n.announcement.CallerAddress,
		ForwardAddress: n.announcement.ForwardAddress,
		ControlAddress: n.announcement.ControlAddress,
		Leaving:        n.announcement.Leaving || current && n.listing.VM.State == published.StateLeaving,
		Revision:       n.configRevision,
	}
	if n.listed && !n.listing.Gone && (m.Region != t.self.Region || !isReachableAddress(m.ForwardAddress)) {
		preferListedAddresses(m, n.listing.VM)
	}
	m.Reachable = t.reachable(vm, n, now)
	return m
}

// isReachableAddress reports whether other VMs can connect to a listen address.
// They can't if it has the unspecified IP address, which means that the VM
// listens on all its interfaces.
func isReachableAddress(address string) bool {
	ap, err := netip.ParseAddrPort(address)
	return err == nil && !ap.Addr().IsUnspecified()
}

// preferListedAddresses replaces the announced addresses with those in the
// platform's list, if it has them. The list has the addresses at which a VM of
// another region can be reached from this region, while the VM knows only the
// ones it listens on. Within a region the announcement is preferred because the
// list lags behind.
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

// reachable reports whether a gateway that has announced itself counts as
// reachable: in this region by the time of its last message, in other regions by
// their carrier's report.
func (t *Table) reachable(vm string, n *node, now clock.Instant) bool {
	if vm == t.self.VM {
		return true
	}
	if n.announcement.Region == t.self.Region {
		return now.Sub(n.receivedAt) <= UnreachableAfter
	}
	return !t.unreachable[n.announcement.Region][vm]
}

// listedMember returns the member for a gateway that is only in the list. It
// counts as unreachable until an announcement is received.
func listedMember(vm published.VM) *snapshot.Member {
	return &snapshot.Member{
		Identity:       snapshot.Identity{VM: vm.Name, Region: vm.Region, FailureDomain: vm.FailureDomain},
		CallerAddress:  vm.CallerAddress,
		ForwardAddress: vm.ForwardAddress,
		ControlAddress: vm.ControlAddress,
		Leaving:        vm.State == published.StateLeaving,
	}
}
