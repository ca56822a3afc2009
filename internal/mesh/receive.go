package mesh

import (
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

// receive takes in one record. The caller holds the lock.
func (m *Mesh) receive(r gossip.Record) bool {
	if (r.Kind == gossip.KindMember || r.Kind == gossip.KindHeartbeat || r.Kind == gossip.KindLoad) && r.Name == m.Self.VM {
		m.outlive(r)
		return false
	}
	if !m.store.Merge(r) {
		return false
	}
	now := m.Now()
	switch r.Kind {
	case gossip.KindMember:
		m.receiveMember(r, now)
	case gossip.KindHeartbeat:
		if o := m.members[r.Name]; o != nil {
			o.LastHeartbeat = now
		}
	case gossip.KindLoad:
		var load Load
		if m.decoded(r, &load) {
			m.usages[r.Name] = usageWord{usage: load.Usage, at: now}
			m.OnLoad(load)
		}
	case gossip.KindSummary:
		m.receiveSummary(r, now)
	default:
		return true
	}
	return false
}

// outlive moves this VM's versions above a record of an earlier incarnation
// that others still spread.
func (m *Mesh) outlive(r gossip.Record) {
	if r.Version > m.base+m.version {
		m.base = r.Version - m.version + 1
		m.announce()
	}
}

func (m *Mesh) receiveMember(r gossip.Record, now clock.Instant) {
	var a announcement
	if !m.decoded(r, &a) {
		return
	}
	o := m.members[r.Name]
	if o == nil {
		o = &Member{}
		m.members[r.Name] = o
	}
	fresh := o.Incarnation != a.Incarnation
	if fresh || o.Leaving != a.Leaving || o.Ready != a.Ready || o.Closing != a.Closing {
		m.Log.Info("member changed", "member", r.Name, "incarnation", a.Incarnation, "region", a.Region,
			"failureDomain", a.FailureDomain, "ready", a.Ready, "leaving", a.Leaving, "closing", a.Closing)
	}
	o.Identity = snapshot.Identity{VM: r.Name, Incarnation: a.Incarnation, Region: a.Region, FailureDomain: a.FailureDomain}
	o.Addresses = Addresses{Callers: a.Callers, Hops: a.Hops, Control: a.Control}
	o.Capacity = a.Capacity
	o.Leaving, o.Ready, o.Closing = a.Leaving, a.Ready, a.Closing
	if fresh {
		o.LastHeartbeat = now
	}
}

func (m *Mesh) receiveSummary(r gossip.Record, now clock.Instant) {
	region, _, found := strings.Cut(r.Name, "/")
	var list []balance.Summary
	if !found || !m.decoded(r, &list) {
		return
	}
	w := summaryWord{region: region, summaries: make(map[string]balance.Summary, len(list)), at: now}
	for _, s := range list {
		w.summaries[s.Service] = s
	}
	m.summary[r.Name] = w
}

func (m *Mesh) decoded(r gossip.Record, into any) bool {
	if err := gossip.Decode(r.Value, into); err != nil {
		m.Log.Warn("record can't be read", "kind", r.Kind, "name", r.Name, "error", err)
		return false
	}
	return true
}

// server handles the messages of neighbours.
type server struct{ *Mesh }

// Serve answers neighbours on l until ctx ends.
func (m *Mesh) Serve(ctx context.Context, l net.Listener) error {
	return (&peer.Server{Handler: server{m}, Log: m.Log}).Serve(ctx, l)
}

// Self implements peer.Handler.
func (s server) Self() peer.Hello {
	revision, _ := s.Configuration()
	return peer.Hello{
		Version: peer.ProtocolVersion, VM: s.Mesh.Self.VM, Incarnation: s.Mesh.Self.Incarnation,
		Region: s.Mesh.Self.Region, FailureDomain: s.Mesh.Self.FailureDomain, Revision: revision,
	}
}

// Heard implements peer.Handler. It connects back to a VM that is behind a
// newer configuration only through its link.
func (s server) Heard(from peer.Hello, revision uint64) {
	if own, _ := s.Configuration(); revision > own {
		s.fetchFrom(from.VM, revision)
	}
}

// Gossip implements peer.Handler.
func (s server) Gossip(from peer.Hello, records []gossip.Record, _ bool) {
	s.mu.Lock()
	var others []gossip.Record
	for _, r := range records {
		if s.receive(r) {
			others = append(others, r)
		}
	}
	if l := s.links[from.VM]; l != nil {
		for _, r := range records {
			l.heard(r)
		}
	}
	s.mu.Unlock()
	for _, r := range others {
		s.OnRecord(r)
	}
}

// Manifest implements peer.Handler.
func (s server) Manifest() (published.Value, bool) {
	revision, data := s.Configuration()
	return published.Value{Name: "configuration", Revision: revision, Data: data}, data != nil
}

// Part implements peer.Handler: a configuration here has no parts.
func (s server) Part(string) ([]byte, bool) { return nil, false }
