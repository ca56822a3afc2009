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

// Picker is the immutable routing view of one snapshot.
type Picker struct {
	Snapshot *snapshot.Snapshot
	targets  map[string]*Target
}

// Target is a Picker's view of one model or service.
type Target struct {
	Name       string
	Policy     *objects.PolicySpec
	Candidates []Candidate
	Regions    []RegionOption
	// Prefixes is nil for services.
	Prefixes *PrefixTable

	snapshot *snapshot.Snapshot
	// gateways is the number of available gateways in the local region,
	// including this one.
	gateways int
	// median is the median slowness of the candidates as of medianAt, as the
	// bits of a float64.
	median   atomic.Uint64
	medianAt atomic.Int64
	// roundRobin counts the candidates considered by NextRoundRobin.
	roundRobin *atomic.Uint64
	// eventTime is the average time per event of a stream in seconds, as the
	// bits of a float64.
	eventTime *atomic.Uint64
}

// Candidate is a backend server of the local region.
type Candidate struct {
	Config *objects.BackendServer
	Server *Server

	id         uint16
	hash       uint64
	healthy    bool
	sameDomain bool
	// usableSince is when the server last became usable, for slow start.
	usableSince clock.Instant
	status      *snapshot.BackendStatus
	// reportedSlowness is the slowness by the server's report; zero means
	// unknown.
	reportedSlowness float64
}

// RegionOption is another region that can serve the target.
type RegionOption struct {
	Name    string
	Link    objects.Link
	Traffic *RegionTraffic
	// Members are the region's gateways that are reachable and not leaving.
	Members []*snapshot.Member

	summary  *snapshot.RegionSummary
	capacity int
	// availableSince is when the region last became available again, for slow
	// start.
	availableSince clock.Instant
	lastContact    clock.Instant
	// reportedSlowness is the slowness by the region's summary; zero means
	// unknown.
	reportedSlowness float64
}

// NewPicker builds the routing view of a snapshot. State that outlives the view
// is kept in r.
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
			Name: name, Policy: &policy.Spec, roundRobin: valueFor(r.roundRobins, name), eventTime: valueFor(r.eventTimes, name), snapshot: s,
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

// Target returns the view of a model or service, or nil if it has no route.
func (p *Picker) Target(name string) *Target { return p.targets[name] }

func (t *Target) addCandidates(s *snapshot.Snapshot, r *Records, topology *topology) {
	model := s.Config.Models[t.Name]
	for _, b := range topology.targets[t.Name] {
		status := s.Backends[b.Name]
		if !isEligible(b, status, model) {
			continue
		}
		rec := r.serverRecord(b.Name)
		rec.server.ApplyReport(status, slotsOf(b), t.slotShare(b))
		c := Candidate{
			Config: b, Server: rec.server, id: rec.id, hash: spread.Mix(uint64(rec.id) + 1),
			healthy:    status == nil || status.Healthy,
			sameDomain: b.Spec.FailureDomain == s.Self.FailureDomain,
		}
		if status != nil {
			c.usableSince, c.status = status.UsableSince, status
			c.reportedSlowness = slownessOf(model, status.TokensPerSecond)
		}
		t.Candidates = append(t.Candidates, c)
	}
}

// slotsOf returns the number of requests that the server processes
// concurrently.
func slotsOf(b *objects.BackendServer) int { return max(1, b.Spec.Concurrency) }

// slotShare returns this gateway's share of the server's slots, rounded up.
func (t *Target) slotShare(b *objects.BackendServer) int {
	return (slotsOf(b) + t.gateways - 1) / t.gateways
}

// isEligible reports whether the server may receive requests at all: it isn't
// leaving and has the model loaded. For a service, or if its loaded models are
// unknown, it must not be a standby.
func isEligible(b *objects.BackendServer, status *snapshot.BackendStatus, model *objects.Model) bool {
	if status == nil {
		return b.Spec.Role != RoleStandby
	}
	if status.Leaving {
		return false
	}
	if model != nil && len(status.Loaded) > 0 {
		// Any version counts: the old one serves while a new one is loading.
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
		capacity := topology.capacity[regionTarget{region, t.Name}]
		if len(members[region]) == 0 || capacity == 0 || !s.Config.RouteAllows(t.Name, region) {
			continue
		}
		o := RegionOption{
			Name: region, Link: link, Members: members[region], capacity: capacity,
			Traffic: r.trafficTo(region, t.Name), summary: s.Summaries[t.Name][region],
			availableSince: s.RegionRecoveredAt[region], lastContact: s.RegionLastHeartbeat[region],
		}
		if o.summary != nil {
			o.reportedSlowness = slownessOf(model, o.summary.TokensPerSecond)
		}
		t.Regions = append(t.Regions, o)
	}
}

// membersByRegion returns the available gateways by region, sorted by name.
// This process is appended to those of its own region.
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

// slownessOf returns the time per token relative to the model's expected one,
// or zero if the rate is unknown.
func slownessOf(model *objects.Model, tokensPerSecond float64) float64 {
	if model == nil || tokensPerSecond <= 0 || model.Spec.SecondsPerToken <= 0 {
		return 0
	}
	return 1 / (tokensPerSecond * model.Spec.SecondsPerToken)
}
