package fleet

import (
	"strings"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/health"
	"github.com/chestnutspring/chestnutspring/internal/limits"
	"github.com/chestnutspring/chestnutspring/internal/membership"
	"github.com/chestnutspring/chestnutspring/internal/peer"
	"github.com/chestnutspring/chestnutspring/internal/published"
)

// raiseInterval is the least time between two raises of the own version over
// that of another incarnation, in case two processes claim the same VM.
const raiseInterval = 5 * time.Second

// handler answers peers on behalf of a Fleet.
type handler struct{ f *Fleet }

var _ peer.Handler = handler{}

// Self implements peer.Handler.
func (h handler) Self() peer.Hello { return h.f.hello() }

// OnMessage implements peer.Handler.
func (h handler) OnMessage(from peer.Hello, revision uint64) {
	now := h.f.cfg.Now()
	h.f.mu.Lock()
	h.f.table.RecordMessage(from.VM, from.Incarnation, revision, now)
	h.f.mu.Unlock()
	h.f.tellSource(from.VM, revision)
}

// Gossip implements peer.Handler.
func (h handler) Gossip(from peer.Hello, records []gossip.Record, complete bool) {
	h.f.take(from, records)
	if complete && from.Region == h.f.cfg.Self.Region {
		h.f.mu.Lock()
		first := !h.f.synced
		h.f.synced = true
		h.f.mu.Unlock()
		if first {
			h.f.tickSoon()
		}
	}
}

// Manifest implements peer.Handler.
func (h handler) Manifest() (published.Value, bool) {
	if src := h.f.source.Load(); src != nil {
		return (*src).Manifest()
	}
	return published.Value{}, false
}

// Part implements peer.Handler.
func (h handler) Part(digest string) ([]byte, bool) {
	if src := h.f.source.Load(); src != nil {
		return (*src).Part(digest)
	}
	return nil, false
}

func (f *Fleet) hello() peer.Hello {
	self := f.cfg.Self
	return peer.Hello{
		Version: peer.ProtocolVersion, VM: self.VM, Incarnation: self.Incarnation,
		Region: self.Region, FailureDomain: self.FailureDomain, Revision: f.revision(),
	}
}

// revision is the revision of the configuration in force.
func (f *Fleet) revision() uint64 { return f.cfg.Publisher.Load().Config.Revision }

func (f *Fleet) tellSource(vm string, revision uint64) {
	if src := f.source.Load(); src != nil && vm != f.cfg.Self.VM {
		(*src).Heard(vm, revision)
	}
}

// take merges a peer's records and acts on those that were news.
func (f *Fleet) take(from peer.Hello, records []gossip.Record) {
	now := f.cfg.Now()
	revisions := map[string]uint64{}
	urgent, news := false, false
	f.mu.Lock()
	neighbours := f.linksTo(from.VM)
	for _, r := range records {
		for _, l := range neighbours {
			l.session.MarkReceived(r)
		}
		if !f.valid(r) || !f.store.Merge(r) {
			continue
		}
		f.apply(r, now, revisions)
		f.stale.mark(r.Kind)
		news = true
		urgent = urgent || isUrgent(r.Kind)
	}
	f.mu.Unlock()
	for vm, revision := range revisions {
		f.tellSource(vm, revision)
	}
	if news {
		f.changed(urgent)
	}
}

// isUrgent reports whether changes of the kind are passed on at once.
func isUrgent(kind gossip.Kind) bool {
	return kind == gossip.KindMember || kind == gossip.KindState || kind == gossip.KindListing
}

// valid reports whether the record's value can be read. A record that can't is
// neither stored nor passed on.
func (f *Fleet) valid(r gossip.Record) bool {
	target, ok := valueOf(r.Kind)
	if !ok {
		return false // of a later version of the protocol
	}
	if err := gossip.Decode(r.Value, target); err != nil {
		f.cfg.Log.Warn("peer record refused", "kind", int(r.Kind), "name", r.Name, "error", err)
		return false
	}
	if r.Kind == gossip.KindListing && f.table.IsOutdatedListing(r.Name, r.Version) {
		return false
	}
	if f.isOwn(r) {
		f.ownRecord(r)
		return false
	}
	return true
}

// isOwn reports whether only this process may write the record.
func (f *Fleet) isOwn(r gossip.Record) bool {
	switch r.Kind {
	case gossip.KindMember, gossip.KindHeartbeat:
		return r.Name == f.cfg.Self.VM
	case gossip.KindRegion:
		return r.Name == regionName(f.cfg.Self.Region, f.cfg.Self.VM)
	default:
		return false
	}
}

func valueOf(kind gossip.Kind) (any, bool) {
	switch kind {
	case gossip.KindMember:
		return &membership.Announcement{}, true
	case gossip.KindHeartbeat:
		return &membership.Heartbeat{}, true
	case gossip.KindListing:
		return &membership.Listing{}, true
	case gossip.KindState:
		return &health.State{}, true
	case gossip.KindLoad:
		return &health.Load{}, true
	case gossip.KindSummary:
		return &summary{}, true
	case gossip.KindRegion:
		return &membership.RegionHeartbeat{}, true
	case gossip.KindPrefixes:
		return &prefixes{}, true
	case gossip.KindDemand:
		return &limits.Report{}, true
	default:
		return nil, false
	}
}

// ownRecord handles a record that speaks for this VM. One with a higher
// version than this process's own is of another incarnation, left over from
// before a restart; it is outvoted by a new one.
func (f *Fleet) ownRecord(r gossip.Record) {
	own, _ := f.store.Get(r.Key)
	now := f.cfg.Now()
	if r.Version < own.Version || r.Version == own.Version && string(r.Value) == string(own.Value) {
		return
	}
	f.version = max(f.version, r.Version)
	if f.raised != 0 && now.Sub(f.raised) < raiseInterval {
		return
	}
	f.raised = now
	f.cfg.Log.Warn("another incarnation of this VM is announced", "vm", f.cfg.Self.VM, "kind", int(r.Kind))
	f.announce()
}

// apply acts on a record that was stored. Decoding was tried by valid.
func (f *Fleet) apply(r gossip.Record, now clock.Instant, revisions map[string]uint64) {
	target, _ := valueOf(r.Kind)
	if gossip.Decode(r.Value, target) != nil {
		return
	}
	switch v := target.(type) {
	case *membership.Announcement:
		if f.table.ApplyAnnouncement(r.Name, *v, now) {
			delete(f.avoid, r.Name)
			f.tickSoon()
		}
	case *membership.Heartbeat:
		f.table.RecordHeartbeat(r.Name, *v, now)
		revisions[r.Name] = v.Revision
	case *membership.Listing:
		f.table.ApplyListing(r.Name, *v, r.Version)
		f.listRevision = max(f.listRevision, r.Version)
	case *health.State:
		f.tracker.SetState(r.Name, *v)
	case *health.Load:
		f.tracker.SetLoad(r.Name, *v, now)
		f.loadWritten[r.Name] = now
	case *summary:
		f.takeSummary(r.Name, *v, now)
	case *membership.RegionHeartbeat:
		f.takeRegionBeat(r.Name, *v, now)
	case *prefixes:
		f.tracker.SetPrefixes(r.Name, v.Sorted)
	}
}

// announce writes this process's word about itself.
func (f *Fleet) announce() {
	a := membership.Announcement{
		Incarnation: f.cfg.Self.Incarnation, Region: f.cfg.Self.Region,
		FailureDomain: f.cfg.Self.FailureDomain, CallerAddress: f.cfg.CallerAddress,
		ForwardAddress: f.cfg.ForwardAddress, ControlAddress: f.cfg.ControlAddress,
		Leaving: f.leaving,
	}
	f.writeOwn(gossip.KindMember, f.cfg.Self.VM, a)
	f.table.ApplyAnnouncement(f.cfg.Self.VM, a, f.cfg.Now())
}

// writeOwn stores a record that only this process writes.
func (f *Fleet) writeOwn(kind gossip.Kind, name string, value any) {
	f.version++
	f.store.Merge(gossip.Record{
		Key: gossip.Key{Kind: kind, Name: name}, Version: f.version, Value: f.encode(value),
	})
}

// write stores a record that any member of the region may write.
func (f *Fleet) write(kind gossip.Kind, name string, value any) bool {
	return f.store.Write(gossip.Key{Kind: kind, Name: name}, f.encode(value))
}

func (f *Fleet) encode(value any) []byte {
	data, err := gossip.Encode(value)
	if err != nil {
		// The types are this package's own and can always be encoded.
		panic(err)
	}
	return data
}

// regionName is the name of a record of a region: the region, a slash and the
// rest.
func regionName(region, rest string) string { return region + "/" + rest }

func splitRegionName(name string) (region, rest string) {
	region, rest, _ = strings.Cut(name, "/")
	return region, rest
}
