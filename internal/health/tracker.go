// Package health tracks the state of this region's backend servers from probe
// results, from reports of peers and from the outcomes of this process's own
// requests.
//
// Probes are divided among the region's VMs, which share the results. Failures of
// own requests count immediately and only in this process. The package opens no
// sockets and reads no clock; callers pass the time.
package health

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

const (
	// failuresToEject is the number of consecutive failures of own requests
	// after which a backend server is ejected.
	failuresToEject = 3
	// probeFailuresToUnhealthy is the number of consecutive failed probes after which a
	// backend server is reported as unhealthy.
	probeFailuresToUnhealthy = 2
	// baseEjection is the duration of the first ejection; each further
	// consecutive one doubles it, up to maxEjection.
	baseEjection = 5 * time.Second
	maxEjection  = 60 * time.Second
	// ejectionResetAfter is the time without failures after which the number of
	// consecutive ejections is reset.
	ejectionResetAfter = 2 * time.Minute
)

// Observation is the outcome of one request sent to a backend server.
type Observation struct {
	Backend string
	// Err is set if the backend server failed: no connection, an interrupted
	// response or a server error. A disconnected caller isn't a failure.
	Err     error
	Latency time.Duration
	// HasLoad means that the response contained the load fields below.
	HasLoad         bool
	Running, Queued int
	TokensPerSecond float64
}

// State is the probed state of a backend server, except its load.
type State struct {
	Healthy bool
	Leaving bool
	Role    string
	Fence   uint64
	Loaded  []string
}

// Load is the reported load of a backend server.
type Load struct {
	Running uint32
	Queued  uint32
	// DecitokensPerSecond is the rate of one stream, in tenths of a token per
	// second.
	DecitokensPerSecond uint32
}

type backend struct {
	state                State
	load                 Load
	usable               bool
	usableSince          clock.Instant
	confirmedAt          clock.Instant // of state
	loadReportedAt       clock.Instant
	consecutiveFailures  int // of own requests
	ejectedUntil         clock.Instant
	consecutiveEjections int
	lastFailure          clock.Instant
	prefixes             []uint64
}

// Tracker tracks the region's backend servers. It isn't safe for concurrent use.
type Tracker struct {
	region      string
	backends    map[string]*backend
	initialized bool // a configuration with backend servers was applied
}

// NewTracker returns a tracker of the region's backend servers.
func NewTracker(region string) *Tracker {
	return &Tracker{region: region, backends: map[string]*backend{}}
}

// Sync applies the configuration: backend servers that set doesn't list in the
// region are removed. Those of the first set with any are assumed to be warm;
// backend servers added later get a slow start.
func (t *Tracker) Sync(set *objects.Set, now clock.Instant) {
	for name := range t.backends {
		if !t.inRegion(set, name) {
			delete(t.backends, name)
		}
	}
	added := false
	for name := range set.BackendServers {
		if t.backends[name] != nil || !t.inRegion(set, name) {
			continue
		}
		b := &backend{state: State{Healthy: true}, usable: true}
		if t.initialized {
			b.usableSince = now
		}
		t.backends[name] = b
		added = true
	}
	t.initialized = t.initialized || added
}

func (t *Tracker) inRegion(set *objects.Set, name string) bool {
	server := set.BackendServers[name]
	return server != nil && set.RegionOf(server.Spec.FailureDomain) == t.region
}

// Names returns the sorted names of the region's backend servers.
func (t *Tracker) Names() []string { return slices.Sorted(maps.Keys(t.backends)) }

// SetState sets the state that a VM reported. It may be stale; Confirm records
// when it was last known to be right.
func (t *Tracker) SetState(name string, s State) {
	if b := t.backends[name]; b != nil {
		b.state = s
	}
}

// SetLoad sets the reported load.
func (t *Tracker) SetLoad(name string, l Load, now clock.Instant) {
	if b := t.backends[name]; b != nil {
		b.load, b.loadReportedAt = l, now
	}
}

// SetPrefixes sets the cached prefixes of an engine, in ascending order.
func (t *Tracker) SetPrefixes(name string, prefixes []uint64) {
	if b := t.backends[name]; b != nil {
		b.prefixes = prefixes
	}
}

// Confirm records that the state of a backend server was right at the given
// instant.
func (t *Tracker) Confirm(name string, at clock.Instant) {
	if b := t.backends[name]; b != nil {
		b.confirmedAt = max(b.confirmedAt, at)
	}
}

// ConfirmedAt returns when a backend server's state was last confirmed.
func (t *Tracker) ConfirmedAt(name string) clock.Instant {
	if b := t.backends[name]; b != nil {
		return b.confirmedAt
	}
	return 0
}

// State returns the last reported state of a backend server.
func (t *Tracker) State(name string) State {
	b := t.backends[name]
	if b == nil {
		return State{}
	}
	return b.state
}

// Observe records the outcome of an own request and reports whether it caused the
// backend server to be ejected. The last healthy backend server of a target is
// never ejected, nor are more than half of the healthy ones.
func (t *Tracker) Observe(o Observation, set *objects.Set, now clock.Instant) bool {
	b := t.backends[o.Backend]
	if b == nil {
		return false
	}
	if o.HasLoad {
		b.load.Running, b.load.Queued, b.loadReportedAt = clamp(o.Running), clamp(o.Queued), now
		if o.TokensPerSecond > 0 {
			b.load.DecitokensPerSecond = clamp(int(o.TokensPerSecond * 10))
		}
	}
	if o.Err == nil {
		b.consecutiveFailures = 0
		if now.Sub(b.lastFailure) > ejectionResetAfter {
			b.consecutiveEjections = 0
		}
		return false
	}
	b.consecutiveFailures++
	b.lastFailure = now
	if b.consecutiveFailures < failuresToEject || b.ejectedUntil > now || !t.mayEject(o.Backend, set, now) {
		return false
	}
	b.consecutiveFailures = 0
	b.ejectedUntil = now.Add(min(baseEjection<<min(b.consecutiveEjections, 8), maxEjection))
	b.consecutiveEjections++
	return true
}

func clamp(n int) uint32 { return uint32(min(max(n, 0), 1<<30)) }

// mayEject reports whether the target keeps at least half of its healthy backend
// servers, and at least one, if name is ejected.
func (t *Tracker) mayEject(name string, set *objects.Set, now clock.Instant) bool {
	server := set.BackendServers[name]
	if server == nil {
		return false
	}
	healthy, ejectedCount := 0, 0
	for _, s := range set.BackendsOf(server.Spec.Model + server.Spec.Service) {
		b := t.backends[s.Name]
		if b == nil || !b.state.Healthy || b.state.Leaving {
			continue
		}
		healthy++
		if b.ejectedUntil > now {
			ejectedCount++
		}
	}
	return healthy-ejectedCount > 1 && 2*(ejectedCount+1) <= healthy
}

// Status returns the status of each backend server. leaving reports whether the
// list of VMs marks a backend server as leaving. A backend server that becomes
// usable again gets a slow start.
func (t *Tracker) Status(leaving func(name string) bool, now clock.Instant) map[string]*snapshot.BackendStatus {
	statuses := make(map[string]*snapshot.BackendStatus, len(t.backends))
	for name, b := range t.backends {
		s := &snapshot.BackendStatus{
			Name:            name,
			Region:          t.region,
			Leaving:         b.state.Leaving || leaving(name),
			Healthy:         b.state.Healthy && b.ejectedUntil <= now,
			Running:         int(b.load.Running),
			Queued:          int(b.load.Queued),
			TokensPerSecond: float64(b.load.DecitokensPerSecond) / 10,
			Loaded:          b.state.Loaded,
			Fence:           b.state.Fence,
			CachedPrefixes:  b.prefixes,
			ConfirmedAt:     b.confirmedAt,
			LoadReportedAt:  b.loadReportedAt,
		}
		usable := s.Healthy && !s.Leaving
		if usable && !b.usable {
			b.usableSince = now
		}
		b.usable = usable
		s.UsableSince = b.usableSince
		statuses[name] = s
	}
	return statuses
}
