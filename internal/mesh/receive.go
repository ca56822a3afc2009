package mesh

import (
	"bytes"
	"context"
	"net"
	"strings"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/peer"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// apply merges a record received from a peer and reports whether it is a new one
// for OnRecord. The caller holds the lock.
func (m *Mesh) apply(r gossip.Record) bool {
	if ownerOf(r) == m.Self.VM {
		m.raiseVersions(r)
		// The streams that this VM began before it started again are not known here.
		return r.Kind == gossip.KindStreams
	}
	if !m.store.Merge(r) {
		return false
	}
	now := m.Now()
	switch r.Kind {
	case gossip.KindMember:
		m.applyMember(r, now)
	case gossip.KindHeartbeat:
		if o := m.members[r.Name]; o != nil {
			o.LastHeartbeat, o.ReadsRegistry = now, bytes.Equal(r.Value, readsRegistry)
		}
	case gossip.KindReach:
		m.applyReach(r, now)
	case gossip.KindLoad:
		var load Load
		if m.decode(r, &load) {
			if r.Name == ownerOf(r) { // not an addition
				m.usages[r.Name] = usageReport{usage: load.Usage, receivedAt: now}
			}
			m.OnLoad(load)
		}
	case gossip.KindSummary:
		m.applySummary(r, now)
	default:
		return true
	}
	return false
}

// raiseVersions raises this VM's versions above that of a record of an earlier
// incarnation that other VMs still distribute.
func (m *Mesh) raiseVersions(r gossip.Record) {
	if r.Version > m.versionBase+m.version {
		m.versionBase = r.Version - m.version + 1
		m.announce()
	}
}

func (m *Mesh) applyMember(r gossip.Record, now clock.Instant) {
	var a announcement
	if !m.decode(r, &a) {
		return
	}
	o := m.members[r.Name]
	if o == nil {
		o = &Member{}
		m.members[r.Name] = o
		m.lastJoin.Store(int64(now))
	}
	newIncarnation := o.Incarnation != a.Incarnation
	if newIncarnation || o.Leaving != a.Leaving || o.Ready != a.Ready || o.Closing != a.Closing {
		m.Log.Info("member changed", "member", r.Name, "incarnation", a.Incarnation, "region", a.Region,
			"failureDomain", a.FailureDomain, "ready", a.Ready, "leaving", a.Leaving, "closing", a.Closing)
	}
	o.Identity = snapshot.Identity{VM: r.Name, Incarnation: a.Incarnation, Region: a.Region, FailureDomain: a.FailureDomain}
	o.Addresses = Addresses{Callers: a.Callers, Hops: a.Hops, Control: a.Control}
	o.Capacity, o.readsGrownStructs, o.readsRawRecords = a.Capacity, a.ReadsGrownStructs, a.ReadsRawRecords
	o.Leaving, o.Ready, o.Closing = a.Leaving, a.Ready, a.Closing
	if newIncarnation {
		o.LastHeartbeat = now
		o.reach = reach{}
	}
}

// readsRawRecords reports whether the process that sent the hello reads records without
// base64: its announcement says so, not one of an earlier build of that VM. The caller holds
// the lock.
func (m *Mesh) readsRawRecords(remote peer.Hello) bool {
	o := m.members[remote.VM]
	return o != nil && o.Incarnation == remote.Incarnation && o.readsRawRecords
}

func (m *Mesh) applySummary(r gossip.Record, now clock.Instant) {
	region, _, found := strings.Cut(r.Name, "/")
	var list []balance.Summary
	if !found || !m.decode(r, &list) {
		return
	}
	report := summaryReport{region: region, summaries: make(map[string]balance.Summary, len(list)), receivedAt: now}
	for _, s := range list {
		report.summaries[s.Service] = s
	}
	m.summaries[r.Name] = report
}

// decode decodes the value of a record and logs a failure.
func (m *Mesh) decode(r gossip.Record, into any) bool {
	if err := gossip.Decode(r.Value, into); err != nil {
		m.Log.Warn("malformed record", "kind", r.Kind, "name", r.Name, "error", err)
		return false
	}
	return true
}

// handler implements peer.Handler.
type handler struct{ *Mesh }

// Serve handles connections from peers on l until ctx is done.
func (m *Mesh) Serve(ctx context.Context, l net.Listener) error {
	return (&peer.Server{Handler: handler{m}, Log: m.Log, Memory: m.Memory}).Serve(ctx, l)
}

// Self implements peer.Handler.
func (h handler) Self() peer.Hello {
	version, _ := h.Configuration()
	return peer.Hello{
		Version: peer.ProtocolVersion, VM: h.Mesh.Self.VM, Incarnation: h.Mesh.Self.Incarnation,
		Region: h.Mesh.Self.Region, FailureDomain: h.Mesh.Self.FailureDomain, Revision: version,
	}
}

// Confirmation implements peer.Confirmer.
func (h handler) Confirmation() peer.Confirmation {
	if h.Config.Confirmation == nil {
		return peer.Confirmation{}
	}
	version, age, known := h.Config.Confirmation()
	return peer.Confirmation{Revision: version, Confirmed: known, Age: age}
}

// OnMessage implements peer.Handler. It offers the configuration of a peer that has
// a higher version. The peer's own connection can't be used to fetch it: that takes
// a link from this VM to the peer or to another VM.
func (h handler) OnMessage(from peer.Hello, version uint64) {
	if own, _ := h.Configuration(); version > own {
		h.offerConfiguration(from.VM, version)
	}
}

// Gossip implements peer.Handler.
func (h handler) Gossip(from peer.Hello, records []gossip.Record, _ bool) {
	h.mu.Lock()
	var unhandled []gossip.Record
	for _, r := range records {
		r.Span = h.spanOf(r, from.VM)
		if h.apply(r) {
			unhandled = append(unhandled, r)
		}
	}
	if l := h.links[from.VM]; l != nil {
		for _, r := range records {
			l.markReceived(r)
		}
	}
	h.mu.Unlock()
	for _, r := range unhandled {
		h.OnRecord(r)
	}
}

// Manifest implements peer.Handler.
func (h handler) Manifest() (published.Value, bool) {
	version, data := h.Configuration()
	return published.Value{Name: "configuration", Revision: version, Data: data}, data != nil
}

// Part implements peer.Handler. The configuration is published as one value, so
// it has no parts.
func (h handler) Part(string) ([]byte, bool) { return nil, false }
