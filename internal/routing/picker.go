package routing

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/spread"
)

// Picker is the immutable view of one snapshot from which targets are served.
type Picker struct {
	Snapshot *snapshot.Snapshot
	targets  map[string]*Target
}

// Target is what a Picker knows of one model or service.
type Target struct {
	Name       string
	Policy     *objects.PolicySpec
	Candidates []Candidate
	Regions    []RegionOption
	// Prefixes is nil for services.
	Prefixes *PrefixTable

	snapshot *snapshot.Snapshot
	// gateways is the number of live gateways of the own region.
	gateways int
	// typical is the median slowness of the candidates, as the bits of a
	// float64, as it was at typicalAt.
	typical   atomic.Uint64
	typicalAt atomic.Int64
	turn      *atomic.Uint64
	// pace is the usual time per event of a stream in seconds, as the bits of a
	// float64.
	pace *atomic.Uint64
}

// Candidate is a backend server of the own region.
type Candidate struct {
	Config *objects.BackendServer
	Server *Server

	id         uint16
	hash       uint64
	healthy    bool
	sameDomain bool
	since      clock.Instant
	status     *snapshot.BackendStatus
	// reported is the slowness by the server's own report; zero is unknown.
	reported float64
}

// RegionOption is another region that may serve the target.
type RegionOption struct {
	Name     string
	Link     objects.Link
	Traffic *RegionTraffic
	// Members are the region's gateways that take work.
	Members []*snapshot.Member

	summary  *snapshot.RegionSummary
	capacity int
	since    clock.Instant
	heard    clock.Instant
	// reported is the slowness by the region's summary; zero is unknown.
	reported float64
}

// NewPicker builds the view of a snapshot.
func NewPicker(s *snapshot.Snapshot, r *Records) *Picker {
	r.mu.Lock()
	defer r.mu.Unlock()
	topology := r.topologyOf(s)
	members := membersByRegion(s)
	p := &Picker{Snapshot: s, targets: make(map[string]*Target, len(s.Config.Routes))}
	for name := range targetsOf(s.Config) {
		policy := s.Config.PolicyOf(name)
		if policy == nil {
			continue
		}
		t := &Target{
			Name: name, Policy: &policy.Spec, turn: counterOf(r.turns, name), pace: counterOf(r.paces, name), snapshot: s,
			gateways: max(1, len(members[s.Self.Region])),
		}
		if s.Config.Models[name] != nil {
			t.Prefixes = r.prefixTable(name)
		}
		t.addCandidates(s, r, topology)
		t.addRegions(s, r, topology, members)
		p.targets[name] = t
	}
	return p
}

// Target returns the view of a model or service, or nil.
func (p *Picker) Target(name string) *Target { return p.targets[name] }

func (t *Target) addCandidates(s *snapshot.Snapshot, r *Records, topology *topology) {
	model := s.Config.Models[t.Name]
	for _, b := range topology.targets[t.Name] {
		status := s.Backends[b.Name]
		if !takesWork(b, status, model) {
			continue
		}
		rec := r.record(b.Name)
		rec.server.ApplyReport(status, slotsOf(b), t.shareOf(b))
		c := Candidate{
			Config: b, Server: rec.server, id: rec.id, hash: spread.Mix(uint64(rec.id) + 1),
			healthy:    status == nil || status.Healthy,
			sameDomain: b.Spec.FailureDomain == s.Self.FailureDomain,
		}
		if status != nil {
			c.since, c.status = status.Since, status
			c.reported = slownessOf(model, status.TokensPerSecond)
		}
		t.Candidates = append(t.Candidates, c)
	}
}

// slotsOf returns how many requests the server takes at once.
func slotsOf(b *objects.BackendServer) int { return max(1, b.Spec.Concurrency) }

// shareOf returns this gateway's part of the server's slots.
func (t *Target) shareOf(b *objects.BackendServer) int {
	return (slotsOf(b) + t.gateways - 1) / t.gateways
}

// takesWork reports whether the server may get work at all: it isn't leaving
// or held in reserve, and is not known to lack the model.
func takesWork(b *objects.BackendServer, status *snapshot.BackendStatus, model *objects.Model) bool {
	if status == nil {
		return b.Spec.Role != RoleStandby
	}
	if status.Leaving {
		return false
	}
	if model != nil && len(status.Loaded) > 0 {
		// While a new version is being loaded, the old one serves.
		return slices.ContainsFunc(status.Loaded, func(loaded string) bool {
			return strings.HasPrefix(loaded, model.Name+"@")
		})
	}
	return b.Spec.Role != RoleStandby
}

func (t *Target) addRegions(s *snapshot.Snapshot, r *Records, topology *topology, members map[string][]*snapshot.Member) {
	model := s.Config.Models[t.Name]
	self := s.Config.Regions[s.Self.Region]
	if self == nil {
		return
	}
	for _, link := range self.Spec.Links {
		region := link.To
		capacity := topology.capacity[crossingKey{region, t.Name}]
		if len(members[region]) == 0 || capacity == 0 || !s.Config.RouteAllows(t.Name, region) {
			continue
		}
		o := RegionOption{
			Name: region, Link: link, Members: members[region], capacity: capacity,
			Traffic: r.crossing(region, t.Name), summary: s.Summaries[t.Name][region],
			since: s.RegionSince[region], heard: s.RegionHeard[region],
		}
		if o.summary != nil {
			o.reported = slownessOf(model, o.summary.TokensPerSecond)
		}
		t.Regions = append(t.Regions, o)
	}
}

// membersByRegion lists the gateways that take work, by name. This process
// counts in its own region.
func membersByRegion(s *snapshot.Snapshot) map[string][]*snapshot.Member {
	out := map[string][]*snapshot.Member{}
	for _, m := range s.Members {
		if m.VM == s.Self.VM || m.Leaving || !m.Reachable {
			continue
		}
		out[m.Region] = append(out[m.Region], m)
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b *snapshot.Member) int { return strings.Compare(a.VM, b.VM) })
	}
	self := &snapshot.Member{Identity: s.Self, Reachable: true}
	out[s.Self.Region] = append(out[s.Self.Region], self)
	return out
}

// slownessOf returns the time per token over the model's, or zero where the
// rate is unknown.
func slownessOf(model *objects.Model, tokensPerSecond float64) float64 {
	if model == nil || tokensPerSecond <= 0 || model.Spec.SecondsPerToken <= 0 {
		return 0
	}
	return 1 / (tokensPerSecond * model.Spec.SecondsPerToken)
}
