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

// minRaiseInterval is the minimum time between two raises of this process's
// record version above that of another incarnation. It bounds the traffic if two
// processes claim the same VM.
const minRaiseInterval = 5 * time.Second

// handler serves peers on behalf of a Fleet.
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
	h.f.reportRevision(from.VM, revision)
}

// Gossip implements peer.Handler.
func (h handler) Gossip(from peer.Hello, records []gossip.Record, complete bool) {
	h.f.mergeRecords(from, records)
	if complete && from.Region == h.f.cfg.Self.Region {
		h.f.mu.Lock()
		first := !h.f.syncedWithPeer
		h.f.syncedWithPeer = true
		h.f.mu.Unlock()
		if first {
			h.f.requestTick()
		}
	}
}

// Manifest implements peer.Handler.
func (h handler) Manifest() (published.Value, bool) {
	if src := h.f.configSource.Load(); src != nil {
		return (*src).Manifest()
	}
	return published.Value{}, false
}

// Part implements peer.Handler.
func (h handler) Part(digest string) ([]byte, bool) {
	if src := h.f.configSource.Load(); src != nil {
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

// revision returns the revision of the configuration in force.
func (f *Fleet) revision() uint64 { return f.cfg.Publisher.Load().Config.Revision }

// reportRevision passes a peer's configuration revision to the ConfigSource.
func (f *Fleet) reportRevision(vm string, revision uint64) {
	if src := f.configSource.Load(); src != nil && vm != f.cfg.Self.VM {
		(*src).RecordPeerRevision(vm, revision)
	}
}

// mergeRecords merges a peer's records into the store and applies those that
// are new.
func (f *Fleet) mergeRecords(from peer.Hello, records []gossip.Record) {
	now := f.cfg.Now()
	revisions := map[string]uint64{}
	urgent, changed := false, false
	f.mu.Lock()
	links := f.linksTo(from.VM)
	for _, r := range records {
		for _, l := range links {
			l.session.MarkReceived(r)
		}
		if !f.validateRecord(r) || !f.store.Merge(r) {
			continue
		}
		f.applyRecord(r, now, revisions)
		f.stale.mark(r.Kind)
		changed = true
		urgent = urgent || isUrgent(r.Kind)
	}
	f.mu.Unlock()
	for vm, revision := range revisions {
		f.reportRevision(vm, revision)
	}
	if changed {
		f.requestPublish(urgent)
	}
}

// isUrgent reports whether changes of the kind are sent to peers at once.
func isUrgent(kind gossip.Kind) bool {
	return kind == gossip.KindMember || kind == gossip.KindState || kind == gossip.KindListing
}

// validateRecord reports whether a peer's record may be stored. A record that
// can't be decoded, is outdated or belongs to this process is neither stored nor
// passed on; one of this process goes to handleOwnRecord.
func (f *Fleet) validateRecord(r gossip.Record) bool {
	target, ok := newRecordValue(r.Kind)
	if !ok {
		return false // a kind from a later protocol version
	}
	if err := gossip.Decode(r.Value, target); err != nil {
		f.cfg.Log.Warn("malformed record from peer ignored", "kind", int(r.Kind), "name", r.Name, "error", err)
		return false
	}
	if r.Kind == gossip.KindListing && f.table.IsOutdatedListing(r.Name, r.Version) {
		return false
	}
	if f.isOwnRecord(r) {
		f.handleOwnRecord(r)
		return false
	}
	return true
}

// isOwnRecord reports whether only this process may write the record.
func (f *Fleet) isOwnRecord(r gossip.Record) bool {
	switch r.Kind {
	case gossip.KindMember, gossip.KindHeartbeat:
		return r.Name == f.cfg.Self.VM
	case gossip.KindRegion:
		return r.Name == regionRecordName(f.cfg.Self.Region, f.cfg.Self.VM)
	default:
		return false
	}
}

// newRecordValue returns a pointer to a zero value of the type that records of
// the kind hold, or false for an unknown kind.
func newRecordValue(kind gossip.Kind) (any, bool) {
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

// handleOwnRecord handles a peer's copy of a record that only this VM writes. A
// copy with a higher version than this process's own record, or with the same
// version and another value, is of another incarnation, usually from before a
// restart. This process replaces it by raising its version above the copy's and
// announcing itself again.
func (f *Fleet) handleOwnRecord(r gossip.Record) {
	own, _ := f.store.Get(r.Key)
	now := f.cfg.Now()
	if r.Version < own.Version || r.Version == own.Version && string(r.Value) == string(own.Value) {
		return
	}
	f.version = max(f.version, r.Version)
	if f.versionRaisedAt != 0 && now.Sub(f.versionRaisedAt) < minRaiseInterval {
		return
	}
	f.versionRaisedAt = now
	f.cfg.Log.Warn("a peer has a record of another incarnation of this VM", "vm", f.cfg.Self.VM, "kind", int(r.Kind))
	f.announce()
}

// applyRecord updates the tables from a stored record. The record has passed
// validateRecord, so that decoding succeeds. Configuration revisions are added
// to revisions, by VM.
func (f *Fleet) applyRecord(r gossip.Record, now clock.Instant, revisions map[string]uint64) {
	target, _ := newRecordValue(r.Kind)
	if gossip.Decode(r.Value, target) != nil {
		return
	}
	switch v := target.(type) {
	case *membership.Announcement:
		if f.table.ApplyAnnouncement(r.Name, *v, now) {
			delete(f.avoidUntil, r.Name)
			f.requestTick()
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
		f.loadWrittenAt[r.Name] = now
	case *summary:
		f.applySummary(r.Name, *v, now)
	case *membership.RegionHeartbeat:
		f.applyRegionHeartbeat(r.Name, *v, now)
	case *prefixes:
		f.tracker.SetPrefixes(r.Name, v.Sorted)
	}
}

// announce writes this process's announcement.
func (f *Fleet) announce() {
	a := membership.Announcement{
		Incarnation: f.cfg.Self.Incarnation, Region: f.cfg.Self.Region,
		FailureDomain: f.cfg.Self.FailureDomain, CallerAddress: f.cfg.CallerAddress,
		ForwardAddress: f.cfg.ForwardAddress, ControlAddress: f.cfg.ControlAddress,
		Leaving: f.leaving,
	}
	f.writeOwnRecord(gossip.KindMember, f.cfg.Self.VM, a)
	f.table.ApplyAnnouncement(f.cfg.Self.VM, a, f.cfg.Now())
}

// writeOwnRecord stores a record that only this process may write.
func (f *Fleet) writeOwnRecord(kind gossip.Kind, name string, value any) {
	f.version++
	f.store.Merge(gossip.Record{
		Key: gossip.Key{Kind: kind, Name: name}, Version: f.version, Value: f.encode(value),
	})
}

// writeRecord stores a record that any member of the region may write, and
// reports whether it changed.
func (f *Fleet) writeRecord(kind gossip.Kind, name string, value any) bool {
	return f.store.Write(gossip.Key{Kind: kind, Name: name}, f.encode(value))
}

func (f *Fleet) encode(value any) []byte {
	data, err := gossip.Encode(value)
	if err != nil {
		// Only types of this module are encoded, all of which can be.
		panic(err)
	}
	return data
}

// regionRecordName returns the name of a record of a region, "REGION/REST".
func regionRecordName(region, rest string) string { return region + "/" + rest }

func splitRegionRecordName(name string) (region, rest string) {
	region, rest, _ = strings.Cut(name, "/")
	return region, rest
}
