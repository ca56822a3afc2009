// Package mesh is the membership of VMs that find one another through a few
// seeds: heartbeats, incarnations, each VM's load on backend servers, summaries
// of regions, and what the registry said, for VMs that can't read it.
//
// Records spread by gossip; of two records with the same key the higher
// version wins.
package mesh

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/peer"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

const (
	// TickInterval is the time between two exchanges with a neighbour. Loads
	// of backend servers are at most so old.
	TickInterval = 100 * time.Millisecond
	// beatTicks is the number of ticks between two heartbeats of this VM, and
	// silentAfter the silence after which a member counts as unreachable:
	// several heartbeats, and a retransmission on a lossy link.
	beatTicks   = 2
	silentAfter = 1500 * time.Millisecond
	// The same in a large fleet, where each record passes every VM.
	largeBeatTicks   = 10
	largeSilentAfter = 4 * time.Second
	// largeTicks is the number of ticks between two exchanges with a neighbour
	// of a large fleet.
	largeTicks = 3
	// largeFleet is the number of VMs from which on a fleet counts as large.
	largeFleet = 16
	// reporters is the number of VMs of a region that tell the others what
	// their region can take.
	reporters = 2
	// readers is the number of VMs of a region of a large fleet that read the
	// registry often.
	readers = 4
	// countedFor is how long a silent member still counts for shared
	// allowances: it may be cut off and at work.
	countedFor = 20 * time.Second
	// forgetAfter is when a silent member is forgotten.
	forgetAfter = 10 * time.Minute
	// fullMesh is the number of members of a region up to which each is a
	// neighbour of each; beyond it they form a ring in each failure domain.
	fullMesh = 8
	// abroad is the number of neighbours in each other region, and carriers
	// the number of VMs of a region that have such neighbours.
	abroad   = 2
	carriers = 4
	// domainCarriers is the number of VMs of a failure domain of a large region
	// that have a neighbour in each other failure domain of it. Any one of them
	// is enough.
	domainCarriers = 3
	// unknownVMs is the number of VMs of the region that is assumed in the
	// first seconds, until the others were heard.
	unknownVMs   = 4
	settlingTime = 3 * time.Second
)

// Member is a VM as this one knows it.
type Member struct {
	snapshot.Identity
	Addresses
	// Capacity is how many requests a second the VM can take, as far as its
	// processor and its link say.
	Capacity float64
	Leaving  bool
	// Ready means that the VM says that it takes requests. Closing means that
	// it shuts down and refuses them.
	Ready, Closing bool
	// LastHeartbeat is when its last heartbeat came in.
	LastHeartbeat     clock.Instant `json:"Heard"`
	Reachable bool
}

// Addresses are where a VM listens, as IP:port.
type Addresses struct {
	Callers, Hops, Control string
}

// announcement is a VM's word about itself.
type announcement struct {
	Incarnation, Region, FailureDomain string
	Callers, Hops, Control             string
	Leaving, Ready, Closing            bool
	Capacity                           float64
}

// State is what a VM says of itself.
type State struct{ Ready, Leaving, Closing bool }

// Config holds what a Mesh needs.
type Config struct {
	Self      snapshot.Identity
	Addresses Addresses
	// Capacity is how many requests a second this VM can take; zero is
	// unknown.
	Capacity float64
	Seeds    []string
	Now      clock.Clock
	Log      *slog.Logger
	// OnLoad takes in what another VM of the region tells. It must not call
	// the mesh.
	OnLoad func(Load)
	// OnRecord takes in records that the mesh itself has no use for.
	OnRecord func(gossip.Record)
	// Configuration returns the raw configuration in force and its revision.
	Configuration func() (revision uint64, data []byte)
	// OnNewerConfiguration is told that a member knows a newer configuration. Fetch asks it.
	OnNewerConfiguration func(revision uint64, fetch func(context.Context) (uint64, []byte, error))
}

// Mesh is this VM's part in the membership.
type Mesh struct {
	Config
	started clock.Instant
	base    uint64

	mu       sync.Mutex
	store    *gossip.Store
	version  uint64
	members  map[string]*Member
	usages   map[string]usageWord // by VM
	summary  map[string]summaryWord
	links    map[string]*link
	state    State
	seeds    []string
	standing atomic.Pointer[standing]
}

// standing is what follows from the members that are known. It is immutable
// and renewed with each tick.
type standing struct {
	members     []Member
	largeRegion bool
	// share is this VM's part of the capacity of its region.
	share float64
}

type usageWord struct {
	usage map[string]balance.Usage
	at    clock.Instant
}

type summaryWord struct {
	region    string
	summaries map[string]balance.Summary
	at        clock.Instant
}

// New returns a mesh of this VM alone.
func New(config Config) *Mesh {
	m := &Mesh{
		Config: config, started: config.Now(), store: gossip.NewStore(),
		members: map[string]*Member{}, usages: map[string]usageWord{}, summary: map[string]summaryWord{},
		links: map[string]*link{}, seeds: config.Seeds,
		// Versions of a new incarnation are above those of the ones before.
		base: uint64(time.Now().UnixMilli()) << 16,
	}
	m.standing.Store(&standing{share: 1})
	return m
}

// SetSeeds replaces the seeds.
func (m *Mesh) SetSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// SetState tells the others what this VM says of itself.
func (m *Mesh) SetState(s State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	m.announce()
}

// Publish gives the others a record, if its version is news here.
func (m *Mesh) Publish(r gossip.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.store.Merge(r)
}

// Load is what a VM tells the others of its region: its use of backend
// servers, and the prompts' parts that it had them read lately.
type Load struct {
	// Usage is empty in a large region, where engines' reports stand for it.
	Usage map[string]balance.Usage
	// Reports are by server.
	Reports map[string]balance.Report
	Reads   []balance.Read
	// Suspects are servers that did not answer a poll lately.
	Suspects []string
}

// SetLoad tells the VMs of the region what this one has at backend servers.
// Unlike other records it goes out at once.
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

// SetSummaries tells the other regions what this VM knows of its own.
func (m *Mesh) SetSummaries(list []balance.Summary) {
	m.write(gossip.KindSummary, m.Self.Region+"/"+m.Self.VM, list)
}

func (m *Mesh) write(kind gossip.Kind, name string, value any) {
	data, err := gossip.Encode(value)
	if err != nil {
		m.Log.Error("record not encoded", "kind", kind, "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.store.Merge(gossip.Record{Key: gossip.Key{Kind: kind, Name: name}, Version: m.next(), Value: data})
}

// next returns the next version of this VM's records. The caller holds the
// lock.
func (m *Mesh) next() uint64 {
	m.version++
	return m.base + m.version
}

// announce writes this VM's word about itself. The caller holds the lock.
func (m *Mesh) announce() {
	data, err := gossip.Encode(announcement{
		Incarnation: m.Self.Incarnation, Region: m.Self.Region, FailureDomain: m.Self.FailureDomain,
		Callers: m.Addresses.Callers, Hops: m.Addresses.Hops, Control: m.Addresses.Control,
		Leaving: m.state.Leaving, Ready: m.state.Ready, Closing: m.state.Closing,
		Capacity: m.Capacity,
	})
	if err != nil {
		m.Log.Error("announcement not encoded", "error", err)
		return
	}
	m.store.Merge(gossip.Record{Key: gossip.Key{Kind: gossip.KindMember, Name: m.Self.VM}, Version: m.next(), Value: data})
}

// LargeRegion reports whether the region has more VMs than can tell one
// another of each request.
func (m *Mesh) LargeRegion() bool { return m.standing.Load().largeRegion }

// LargeFleet reports whether the fleet has so many VMs that they exchange less
// often.
func (m *Mesh) LargeFleet() bool { return len(m.Members())+1 >= largeFleet }

// silence returns the silence after which a member counts as unreachable.
func (m *Mesh) silence() time.Duration {
	if m.LargeFleet() {
		return largeSilentAfter
	}
	return silentAfter
}

// Members returns the other VMs, ordered by name. Callers must not change it.
func (m *Mesh) Members() []Member { return m.standing.Load().members }

// Count returns the number of VMs that may be at work, this one included.
func (m *Mesh) Count() int {
	n, now := 1, m.Now()
	for _, o := range m.Members() {
		if o.counts(now) {
			n++
		}
	}
	if now.Sub(m.started) < settlingTime {
		n = max(n, unknownVMs)
	}
	return n
}

// Regions returns what is known of a service in the other regions.
func (m *Mesh) Regions(service string) []balance.RegionSummary {
	now := m.Now()
	byRegion := map[string]*balance.RegionSummary{}
	for _, o := range m.Members() {
		if o.Region == m.Self.Region || !o.AcceptsRequests() {
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
	for _, w := range m.summary {
		r := byRegion[w.region]
		if r == nil || now.Sub(w.at) > m.silence() || w.at <= newest[w.region] {
			continue
		}
		if s, ok := w.summaries[service]; ok {
			newest[w.region] = w.at
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

// Usages returns the sum of what the other VMs of the region have at each
// backend server.
func (m *Mesh) Usages() map[string]balance.Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, sums := m.Now(), map[string]balance.Usage{}
	for vm, w := range m.usages {
		if o := m.members[vm]; o == nil || o.Region != m.Self.Region || now.Sub(w.at) > m.silence() {
			continue
		}
		for server, u := range w.usage {
			sums[server] = sums[server].Add(u)
		}
	}
	return sums
}

// Run exchanges records with the neighbours until ctx ends.
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

func (m *Mesh) tick(ctx context.Context, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	beat, exchange := beatTicks, 1
	if m.LargeFleet() {
		beat, exchange = largeBeatTicks, largeTicks
	}
	if n%beat == 0 {
		m.store.Merge(gossip.Record{Key: gossip.Key{Kind: gossip.KindHeartbeat, Name: m.Self.VM}, Version: m.next()})
	}
	m.refresh()
	m.connect(ctx)
	if n%exchange != 0 {
		return
	}
	for _, l := range m.links {
		l.wake()
	}
}

// refresh renews what follows from the members. The caller holds the lock.
func (m *Mesh) refresh() {
	now := m.Now()
	list := make([]Member, 0, len(m.members))
	for vm, o := range m.members {
		silent := now.Sub(o.LastHeartbeat)
		if silent > forgetAfter {
			m.forget(vm)
			continue
		}
		reachable := silent < m.silence()
		if reachable != o.Reachable {
			o.Reachable = reachable
			m.Log.Info("member reachable", "member", vm, "incarnation", o.Incarnation, "reachable", reachable, "silent", silent)
		}
		list = append(list, *o)
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.VM, b.VM) })
	m.standing.Store(m.standingOf(list, now))
}

func (m *Mesh) forget(vm string) {
	delete(m.members, vm)
	delete(m.usages, vm)
	for _, kind := range []gossip.Kind{gossip.KindMember, gossip.KindHeartbeat, gossip.KindLoad} {
		m.store.Delete(gossip.Key{Kind: kind, Name: vm})
	}
}

var _ peer.Handler = server{}
