// Package mesh maintains the membership of a fleet of VMs. VMs find one another
// through a few seed addresses and exchange records by gossip: announcements
// with incarnations, heartbeats, each VM's load on backend servers, summaries of
// regions, and changes in the registry for VMs that can't read it or read it less
// often.
//
// Of two records with the same key the one with the higher version wins.
package mesh

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/membudget"
	"github.com/chestnutspring/chestnutspring/internal/peer"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

const (
	// TickInterval is the time between two exchanges with a peer of the region. It bounds
	// the age of the loads on backend servers.
	TickInterval = 100 * time.Millisecond
	// heartbeatTicks is the number of ticks between two heartbeats of this VM.
	heartbeatTicks = 2
	// unreachableAfter is the time since a member's last heartbeat after which
	// it counts as unreachable. It covers several heartbeats and a
	// retransmission on a lossy link.
	unreachableAfter = 1500 * time.Millisecond
	// largeHeartbeatTicks and largeUnreachableAfter replace heartbeatTicks and
	// unreachableAfter in a large fleet, where every VM relays each record.
	largeHeartbeatTicks   = 10
	largeUnreachableAfter = 4 * time.Second
	// largeViewTicks is the number of ticks between two updates of the view of a large
	// fleet, and between two exchanges with a peer of another region.
	largeViewTicks = 3
	// largeLinkTicks is the number of ticks between two updates of the links of a
	// large fleet, a multiple of largeViewTicks.
	largeLinkTicks = 3 * largeViewTicks
	// droppedLogTicks is the number of ticks between two log lines about dropped
	// records.
	droppedLogTicks = 30
	// largeFleet is the minimum number of VMs of a large fleet.
	largeFleet = 16
	// summaryPublishers is the number of VMs of a region that publish summaries
	// of its free capacity to the other regions.
	summaryPublishers = 2
	// registryReaders is the number of VMs of a region of a large fleet that
	// read the registry at short intervals.
	registryReaders = 4
	// registryCoverage is the age of a heartbeat up to which its VM counts as
	// reading the registry: the interval of the heartbeats and the time that they
	// take through a large fleet.
	registryCoverage = 2500 * time.Millisecond
	// activeFor is the time since a member's last heartbeat during which
	// it still counts for shared allowances: a partitioned VM may still be
	// sending requests. closedFor is the same for one that announced its shutdown,
	// and for the division of connections.
	activeFor = 2 * time.Minute
	closedFor = 20 * time.Second
	// removeAfter is the time since a member's last heartbeat after which it is
	// removed.
	removeAfter = 10 * time.Minute
	// fullMeshLimit is the maximum number of VMs of a region that form a full
	// mesh. In a larger region the VMs of each failure domain form a ring.
	fullMeshLimit = 8
	// peersPerRegion is the number of peers that a carrier has in each other
	// region, and regionCarriers the number of carriers of a region. A carrier
	// is a VM that exchanges records with other regions or failure domains.
	peersPerRegion = 2
	regionCarriers = 4
	// domainCarriers is the number of carriers of a failure domain of a large
	// region. Each has one peer in every other failure domain of the region.
	// One carrier is sufficient; the others are redundant.
	domainCarriers = 3
	// startupVMs is the minimum number of VMs assumed in the region, and in the
	// fleet, during startupPeriod, until the first heartbeats of the others have
	// arrived.
	startupVMs    = 4
	startupPeriod = 3 * time.Second
	// joinPeriod is the time after a VM was heard of for the first time in which more may
	// follow, as on a busy machine.
	joinPeriod = 2 * time.Second
)

// Member is another VM of the fleet, as known to this one.
type Member struct {
	snapshot.Identity
	Addresses
	// Capacity is the number of requests per second that the VM can handle,
	// derived from its CPU and network bandwidth.
	Capacity float64
	Leaving  bool
	// Ready means that the VM accepts requests. Closing means that it is
	// shutting down and refuses them.
	Ready, Closing bool
	// LastHeartbeat is the time at which its last heartbeat arrived.
	LastHeartbeat clock.Instant `json:"Heard"`
	Reachable     bool
	reach         reach
	// ReadsRegistry means that the VM stated in its last heartbeat that it reads
	// the registry on behalf of its region, and that its reads succeed.
	ReadsRegistry bool
	// readsGrownStructs means that the VM reads arrays of structs that have grown since
	// it was built.
	readsGrownStructs bool
	// readsRawRecords means that the VM reads records without base64.
	readsRawRecords bool
}

// Addresses are the addresses on which a VM listens, as IP:port.
type Addresses struct {
	Callers, Hops, Control string
}

// announcement is the value of a KindMember record. It is encoded with the names of its
// fields.
type announcement struct {
	Incarnation, Region, FailureDomain string
	Callers, Hops, Control             string
	Leaving, Ready, Closing            bool
	Capacity                           float64
	// ReadsGrownStructs is false in builds up to c32ccf6.
	ReadsGrownStructs bool
	// ReadsRawRecords is false in builds up to 3072034.
	ReadsRawRecords bool
}

// State is the part of a VM's announcement that changes at run time.
type State struct{ Ready, Leaving, Closing bool }

// Config holds what a Mesh needs.
type Config struct {
	Self      snapshot.Identity
	Addresses Addresses
	// Capacity is the number of requests per second that this VM can handle;
	// zero is unknown.
	Capacity float64
	// LinkRate is the rate of this VM's network link in bytes per second; zero is unknown.
	LinkRate float64
	Seeds    []string
	// Dialer opens the connections to other VMs; nil means the system's.
	Dialer Dialer
	// Memory holds the large messages of other VMs; nil means no bound.
	Memory *membudget.Budget
	Now    clock.Clock
	Log    *slog.Logger
	// ReadsRegistry reports whether this VM reads the registry on behalf of its
	// region, and its reads succeed. Nil means that it doesn't.
	ReadsRegistry func() bool
	// Servers returns the IDs of the backend servers of a service in a region that may
	// receive requests, or of all services if service is "". Nil means that none are known.
	Servers func(service, region string) []string
	// OnLoad is called for each load announcement of another VM of the region.
	// It must not call the mesh, whose lock is held.
	OnLoad func(Load)
	// OnRecord is called for each new record of a kind that the mesh itself
	// doesn't use.
	OnRecord func(gossip.Record)
	// Configuration returns the raw configuration in force and its version.
	Configuration func() (version uint64, data []byte)
	// OnNewerConfiguration is called when a member has a configuration of a
	// higher version. Fetch requests it from that member or, without a
	// connection to it, from another VM.
	OnNewerConfiguration func(version uint64, fetch func(context.Context) ([]byte, error))
	// Confirmation returns the version of the configuration in force and the time since it
	// was certainly the newest, and false if that isn't known. NeedsConfirmation reports whether
	// this VM should ask others for theirs, and OnConfirmation receives their answers: what was
	// asked at an instant. Nil means that none is asked.
	Confirmation      func() (version uint64, age time.Duration, known bool)
	NeedsConfirmation func() bool
	OnConfirmation    func(version uint64, askedAt clock.Instant, age time.Duration)
}

// Mesh is this VM's membership in the fleet.
type Mesh struct {
	Config
	started clock.Instant
	// versionBase is added to version to form the versions of this VM's
	// records.
	versionBase uint64

	mu      sync.Mutex
	store   *gossip.Store
	version uint64 // number of records written by this process
	// loadAdditions is the number of additions to this VM's load announcement.
	loadAdditions int
	// loggedDropped is the number of dropped records that were logged, and
	// loggedOversized of those that were too large.
	loggedDropped, loggedOversized uint64
	members                        map[string]*Member
	byName                         []string                 // the names of the members in order, or nil to sort them again
	usages                         map[string]usageReport   // by VM
	summaries                      map[string]summaryReport // by record name
	links                          map[string]*link
	ring                           ring
	state                          State
	seeds                          []string
	// unreached are the backend servers that this VM announced not to reach.
	unreached *serverSet
	view      atomic.Pointer[memberView]
	avoided   avoidances
	pace      *pace
	// lastJoin is when a VM was last heard of for the first time; zero is never.
	lastJoin atomic.Int64
}

// memberView is an immutable view of the known members, replaced when they are
// updated.
type memberView struct {
	members     []Member
	largeRegion bool
	// share is this VM's fraction of the capacity of its region.
	share float64
	// unreached are the backend servers that this VM doesn't reach.
	unreached *serverSet
	// The other VMs of the region that are reachable, also those of this VM's
	// failure domain alone, that may be active, and that accept requests.
	reachable, reachableInDomain, active, accepting *candidates
	// others holds the VMs of each other region that accept requests.
	others map[string]*candidates
	// cutOff holds the servers of each region that no VM there reaches.
	cutOff map[string]*serverSet
	// named means that some member only reads structs of its own form or with names.
	named bool
}

// usageReport is the usage of backend servers that another VM last announced.
type usageReport struct {
	usage      map[string]balance.Usage
	receivedAt clock.Instant
}

// summaryReport holds the last summaries, by service, from one publisher of a
// region.
type summaryReport struct {
	region     string
	summaries  map[string]balance.Summary
	receivedAt clock.Instant
}

// New returns a mesh that knows no other VM.
func New(config Config) *Mesh {
	m := &Mesh{
		Config: config, started: config.Now(), store: gossip.NewStore(),
		members: map[string]*Member{}, usages: map[string]usageReport{}, summaries: map[string]summaryReport{},
		links: map[string]*link{}, seeds: config.Seeds, pace: newPace(config.LinkRate, config.Now),
		// The start time makes the versions of this incarnation higher than
		// those of earlier ones.
		versionBase: uint64(time.Now().UnixMilli()) << 16,
	}
	m.view.Store(m.viewOf(nil, 0, &memberView{}))
	return m
}

// SetSeeds replaces the seed addresses.
func (m *Mesh) SetSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// SetState announces a new state of this VM to the fleet.
func (m *Mesh) SetState(s State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	m.announce()
}

// Publish distributes a record to the other VMs. It does nothing if the store has
// the same or a newer version.
func (m *Mesh) Publish(r gossip.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.store.Merge(r)
}

// Forget drops records from this VM's store. Another VM that still has them may send them
// again.
func (m *Mesh) Forget(keys ...gossip.Key) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, key := range keys {
		m.store.Delete(key)
	}
}

// PublishOwnPart distributes a value of a kind whose records only the VM of their name
// writes, in place of the one that this VM published before as that part; "" is the VM's only
// record of the kind.
func (m *Mesh) PublishOwnPart(kind gossip.Kind, part string, value []byte) {
	name := m.Self.VM
	if part != "" {
		name += "/" + part
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.store.Merge(gossip.Record{Key: gossip.Key{Kind: kind, Name: name}, Version: m.nextVersion(), Value: value})
}

// Load is the load announcement that a VM sends to the others of its region. Fields may
// only be added at the end.
type Load struct {
	// Usage is this VM's usage, by server. In a large region it holds only the
	// prefill state of the servers that this VM coordinates; Reports replace
	// the rest.
	Usage map[string]balance.Usage
	// Reports are the servers' own load reports, by server.
	Reports map[string]balance.Report
	// CachedBlocks are the prefix blocks that this VM recently sent to servers.
	CachedBlocks []balance.CachedBlock
	// Suspects are servers that recently did not respond to a poll.
	Suspects []string
	// Lost are servers at whose addresses no process listened.
	Lost []string
}

// SetLoad publishes this VM's load announcement to the VMs of its region.
// Except in a large region the announcement is sent at once rather than on the
// next tick.
func (m *Mesh) SetLoad(load Load) {
	m.write(gossip.KindLoad, m.Self.VM, load)
	if m.LargeRegion() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if l.region == m.Self.Region {
			l.wake()
		}
	}
}

// loadParts is the number of records in which a VM's last additions to its load announcement
// are kept: the number of intervals between announcements that a record takes to reach all VMs of a
// large region.
const loadParts = 4

// AddLoad publishes what the other VMs of a large region need to receive once. The next few
// additions don't replace it, as a load announcement replaces the one before.
func (m *Mesh) AddLoad(load Load) {
	m.mu.Lock()
	part := m.loadAdditions % loadParts
	m.loadAdditions++
	m.mu.Unlock()
	m.write(gossip.KindLoad, m.Self.VM+"/"+strconv.Itoa(part), load)
}

// SetSummaries publishes summaries of this VM's region to the other regions.
func (m *Mesh) SetSummaries(list []balance.Summary) {
	m.write(gossip.KindSummary, m.Self.Region+"/"+m.Self.VM, list)
}

// write publishes a record of this VM.
func (m *Mesh) write(kind gossip.Kind, name string, value any) {
	data, err := m.encode(value)
	if err != nil {
		m.Log.Error("encoding record failed", "kind", kind, "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.store.Merge(gossip.Record{Key: gossip.Key{Kind: kind, Name: name}, Version: m.nextVersion(), Value: data})
}

// encode encodes a value in a form that all members read. A value that is too large with
// names goes without them, so that at least the others read it.
func (m *Mesh) encode(value any) ([]byte, error) {
	if !m.view.Load().named {
		return gossip.Encode(value)
	}
	if data, err := gossip.EncodeNamed(value); err != nil || len(data) <= gossip.MaxValueBytes {
		return data, err
	}
	return gossip.Encode(value)
}

// ownedKinds are the kinds of records that only the VM of their name writes, and partedKinds
// those of which it writes several, with its name, a slash and the part as their names. It
// also writes a KindLoad record with its name alone, and a VM of an earlier build such a KindEvidence record.
var (
	ownedKinds  = []gossip.Kind{gossip.KindMember, gossip.KindHeartbeat, gossip.KindLoad, gossip.KindEvidence, gossip.KindSoftwareVersions, gossip.KindReach}
	partedKinds = []gossip.Kind{gossip.KindStreams, gossip.KindEvidence, gossip.KindLoad}
)

// ownerOf returns the VM that alone writes a record, or "" if any VM may.
func ownerOf(r gossip.Record) string {
	switch {
	case slices.Contains(partedKinds, r.Kind):
		vm, _, _ := strings.Cut(r.Name, "/")
		return vm
	case slices.Contains(ownedKinds, r.Kind):
		return r.Name
	}
	return ""
}

// nextVersion returns the next version of this VM's records. The caller holds the
// lock.
func (m *Mesh) nextVersion() uint64 {
	m.version++
	return m.versionBase + m.version
}

// announce writes the member record of this VM. The caller holds the lock.
func (m *Mesh) announce() {
	data, err := gossip.EncodeNamed(announcement{
		Incarnation: m.Self.Incarnation, Region: m.Self.Region, FailureDomain: m.Self.FailureDomain,
		Callers: m.Addresses.Callers, Hops: m.Addresses.Hops, Control: m.Addresses.Control,
		Leaving: m.state.Leaving, Ready: m.state.Ready, Closing: m.state.Closing,
		Capacity: m.Capacity, ReadsGrownStructs: true, ReadsRawRecords: true,
	})
	if err != nil {
		m.Log.Error("encoding announcement failed", "error", err)
		return
	}
	m.store.Merge(gossip.Record{Key: gossip.Key{Kind: gossip.KindMember, Name: m.Self.VM}, Version: m.nextVersion(), Value: data})
}

// LargeRegion reports whether the region has more VMs than a full mesh allows, so
// that load changes are not sent to every VM at once.
func (m *Mesh) LargeRegion() bool { return m.view.Load().largeRegion }

// LargeFleet reports whether the fleet has so many VMs that they exchange records
// less often.
func (m *Mesh) LargeFleet() bool { return len(m.Members())+1 >= largeFleet }

// unreachableTimeout returns the time since its last heartbeat after which a
// member counts as unreachable.
func (m *Mesh) unreachableTimeout() time.Duration {
	if m.LargeFleet() {
		return largeUnreachableAfter
	}
	return unreachableAfter
}

// Members returns the other VMs, ordered by name. Callers must not modify the
// result.
func (m *Mesh) Members() []Member { return m.view.Load().members }

// ActiveVMs returns the number of VMs that may be active, this one included.
func (m *Mesh) ActiveVMs() int {
	n, now := 1, m.Now()
	for _, o := range m.Members() {
		if o.mayBeActive(now) {
			n++
		}
	}
	if now.Sub(m.started) < startupPeriod {
		n = max(n, startupVMs)
	}
	return n
}

// Regions returns the latest summary of a service for each other region that has
// a member accepting requests.
func (m *Mesh) Regions(service string) []balance.RegionSummary {
	now := m.Now()
	byRegion := map[string]*balance.RegionSummary{}
	members := m.Members()
	for i := range members {
		o := &members[i]
		if o.Region == m.Self.Region || !o.AcceptsRequests() || o.reach.unreached.len() > 0 && o.reach.unreached.reached(m.serversOf(service, o.Region)) == 0 || m.avoided.has(o.VM, service, now) {
			continue
		}
		r := byRegion[o.Region]
		if r == nil {
			r = &balance.RegionSummary{Region: o.Region}
			byRegion[o.Region] = r
		}
		r.Members++
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := map[string]clock.Instant{}
	for _, report := range m.summaries {
		r := byRegion[report.region]
		if r == nil || now.Sub(report.receivedAt) > m.unreachableTimeout() || report.receivedAt <= newest[report.region] {
			continue
		}
		if s, ok := report.summaries[service]; ok {
			newest[report.region] = report.receivedAt
			r.Summary, r.Known = s, true
		}
	}
	out := make([]balance.RegionSummary, 0, len(byRegion))
	for _, r := range byRegion {
		r.RoundTrip = m.roundTrip(r.Region)
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b balance.RegionSummary) int { return strings.Compare(a.Region, b.Region) })
	return out
}

// serversOf returns the backend servers of a service in a region.
func (m *Mesh) serversOf(service, region string) []string {
	if m.Servers == nil {
		return nil
	}
	return m.Servers(service, region)
}

// PeerUsage returns the total usage of each backend server by the other VMs of
// the region.
func (m *Mesh) PeerUsage() map[string]balance.Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, sums := m.Now(), map[string]balance.Usage{}
	for vm, report := range m.usages {
		if o := m.members[vm]; o == nil || o.Region != m.Self.Region || now.Sub(report.receivedAt) > m.unreachableTimeout() {
			continue
		}
		for server, u := range report.usage {
			sums[server] = sums[server].Add(u)
		}
	}
	return sums
}

// Run exchanges records with the peers until ctx is done.
func (m *Mesh) Run(ctx context.Context) error {
	m.mu.Lock()
	m.announce()
	m.mu.Unlock()
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		m.tick(ctx, n)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// tick is run every TickInterval; n counts the calls.
func (m *Mesh) tick(ctx context.Context, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	heartbeat, view, links := heartbeatTicks, 1, 1
	if m.LargeFleet() {
		heartbeat, view, links = largeHeartbeatTicks, largeViewTicks, largeLinkTicks
	}
	if n%heartbeat == 0 {
		m.store.Merge(gossip.Record{Key: gossip.Key{Kind: gossip.KindHeartbeat, Name: m.Self.VM}, Version: m.nextVersion(), Value: m.heartbeatValue()})
	}
	if n%view == 0 {
		m.updateView()
	}
	if n%links == 0 {
		m.updateLinks(ctx)
	}
	if n%droppedLogTicks == 0 {
		m.logLostRecords()
	}
	for _, l := range m.links {
		// Traffic between regions is expensive, and their summaries are announced no more
		// often than the view is updated.
		if l.region == m.Self.Region || n%view == 0 {
			l.wake()
		}
	}
}

// logLostRecords logs how many records were left out or dropped since the last call. The
// caller holds the lock.
func (m *Mesh) logLostRecords() {
	if oversized := m.store.Oversized(); oversized > m.loggedOversized {
		m.Log.Warn("records left out: their name or value is too large", "records", oversized-m.loggedOversized,
			"maxName", gossip.MaxNameBytes, "maxValue", gossip.MaxValueBytes)
		m.loggedOversized = oversized
	}
	if dropped := m.store.Dropped(); dropped > m.loggedDropped {
		m.Log.Warn("records dropped: the record store is full", "dropped", dropped-m.loggedDropped, "records", m.store.Len())
		m.loggedDropped = dropped
	}
}

// heartbeatValue returns the value of this VM's heartbeats.
func (m *Mesh) heartbeatValue() []byte {
	if m.ReadsRegistry != nil && m.ReadsRegistry() {
		return readsRegistry
	}
	return nil
}

// readsRegistry is the value of the heartbeat of a VM that reads the registry on
// behalf of its region; other heartbeats have none.
var readsRegistry = []byte{1}

// RegistryCovered reports whether another VM of the region has stated just now
// that it reads the registry on behalf of the region.
func (m *Mesh) RegistryCovered() bool {
	now := m.Now()
	return slices.ContainsFunc(m.Members(), func(o Member) bool {
		return o.ReadsRegistry && o.Region == m.Self.Region && now.Sub(o.LastHeartbeat) < registryCoverage
	})
}

// updateView removes members without a recent heartbeat, updates which members
// are reachable, and replaces the view. The caller holds the lock.
func (m *Mesh) updateView() {
	now := m.Now()
	if len(m.byName) != len(m.members) {
		m.byName = slices.Sorted(maps.Keys(m.members))
	}
	list := make([]Member, 0, len(m.members))
	for _, vm := range m.byName {
		o := m.members[vm]
		sinceHeartbeat := now.Sub(o.LastHeartbeat)
		if sinceHeartbeat > removeAfter {
			m.remove(vm)
			continue
		}
		reachable := sinceHeartbeat < m.unreachableTimeout()
		if reachable != o.Reachable {
			o.Reachable = reachable
			m.Log.Info("member reachability changed", "member", vm, "incarnation", o.Incarnation, "reachable", reachable, "sinceHeartbeat", sinceHeartbeat)
		}
		if reachable {
			o.reach.release(m.ShareDelay(), now)
		} else {
			o.reach.released = nil // its links may work again
		}
		list = append(list, *o)
	}
	m.view.Store(m.viewOf(list, now, m.view.Load()))
}

// remove deletes a member with its announcement, heartbeat and load. Its summaries
// are kept; Regions ignores old ones. The caller holds the lock.
func (m *Mesh) remove(vm string) {
	delete(m.members, vm)
	m.byName = nil
	delete(m.usages, vm)
	for _, kind := range ownedKinds {
		m.store.Delete(gossip.Key{Kind: kind, Name: vm})
	}
	var parts []gossip.Key
	for _, kind := range partedKinds {
		m.store.Each(kind, func(r gossip.Record) {
			if ownerOf(r) == vm {
				parts = append(parts, r.Key)
			}
		})
	}
	for _, key := range parts {
		m.store.Delete(key)
	}
}

var (
	_ peer.Handler   = handler{}
	_ peer.Confirmer = handler{}
)
