// Package health keeps the state of this region's backend servers: what probes
// and peers report, what this process's own requests met, and what follows
// from it for new work.
//
// Probes are divided among the region's members and their results shared; own
// failures count at once and only for this process. The package has no
// sockets; the time is passed in.
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
	// probeFailures is the number of consecutive failed probes after which a
	// backend server is reported as unhealthy.
	probeFailures = 2
	// ejection is the time of the first ejection; each further one in a row
	// doubles it up to maxEjection.
	ejection    = 5 * time.Second
	maxEjection = 60 * time.Second
	// forgiveAfter is the time without failures after which the ejections in a
	// row are forgotten.
	forgiveAfter = 2 * time.Minute
)

// Observation is the outcome of one request that dispatch sent.
type Observation struct {
	Backend string
	// Err is set where the backend server failed: no connection, a cut answer
	// or a server error. A caller that went away isn't a failure.
	Err     error
	Latency time.Duration
	// Reported says that the answer bore the load below.
	Reported        bool
	Running, Queued int
	TokensPerSecond float64
}

// State is what probes say of a backend server, apart from its load.
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
	// DecitokensPerSecond is the rate of one stream in tenths of a token.
	DecitokensPerSecond uint32
}

type backend struct {
	state    State
	load     Load
	usable   bool
	since    clock.Instant
	heard    clock.Instant
	reported clock.Instant // the load
	failures int           // consecutive failures of own requests
	ejected  clock.Instant
	row      int // ejections in a row
	last     clock.Instant
	prefixes []uint64
}

// Tracker is the state of the region's backend servers. It isn't safe for
// concurrent use.
type Tracker struct {
	region   string
	backends map[string]*backend
	started  bool
}

// NewTracker returns a tracker of the region's backend servers.
func NewTracker(region string) *Tracker {
	return &Tracker{region: region, backends: map[string]*backend{}}
}

// Sync makes the tracker follow the configuration: backend servers that the
// set doesn't place in the region are forgotten. Those of the first set with
// any are taken as warm, later ones start slowly.
func (t *Tracker) Sync(set *objects.Set, now clock.Instant) {
	for name := range t.backends {
		if !t.mine(set, name) {
			delete(t.backends, name)
		}
	}
	added := false
	for name := range set.BackendServers {
		if t.backends[name] != nil || !t.mine(set, name) {
			continue
		}
		b := &backend{state: State{Healthy: true}, usable: true}
		if t.started {
			b.since = now
		}
		t.backends[name] = b
		added = true
	}
	t.started = t.started || added
}

func (t *Tracker) mine(set *objects.Set, name string) bool {
	server := set.BackendServers[name]
	return server != nil && set.RegionOf(server.Spec.FailureDomain) == t.region
}

// Names returns the names of the region's backend servers in order.
func (t *Tracker) Names() []string { return slices.Sorted(maps.Keys(t.backends)) }

// SetState takes in what some member reported. It may be old: Confirm says
// until when it was right.
func (t *Tracker) SetState(name string, s State) {
	if b := t.backends[name]; b != nil {
		b.state = s
	}
}

// SetLoad takes in a reported load.
func (t *Tracker) SetLoad(name string, l Load, now clock.Instant) {
	if b := t.backends[name]; b != nil {
		b.load, b.reported = l, now
	}
}

// SetPrefixes takes in the cached prefixes of an engine, in order.
func (t *Tracker) SetPrefixes(name string, prefixes []uint64) {
	if b := t.backends[name]; b != nil {
		b.prefixes = prefixes
	}
}

// Confirm notes that what is known of a backend server was right at the given
// instant.
func (t *Tracker) Confirm(name string, at clock.Instant) {
	if b := t.backends[name]; b != nil {
		b.heard = max(b.heard, at)
	}
}

// Heard returns when a backend server's state was last confirmed.
func (t *Tracker) Heard(name string) clock.Instant {
	if b := t.backends[name]; b != nil {
		return b.heard
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

// Observe takes in the outcome of an own request. It reports whether the
// backend server was ejected by it. Ejection never takes the last healthy
// backend server of a target, nor more than half of them.
func (t *Tracker) Observe(o Observation, set *objects.Set, now clock.Instant) bool {
	b := t.backends[o.Backend]
	if b == nil {
		return false
	}
	if o.Reported {
		b.load.Running, b.load.Queued, b.reported = clamp(o.Running), clamp(o.Queued), now
		if o.TokensPerSecond > 0 {
			b.load.DecitokensPerSecond = clamp(int(o.TokensPerSecond * 10))
		}
	}
	if o.Err == nil {
		b.failures = 0
		if now.Sub(b.last) > forgiveAfter {
			b.row = 0
		}
		return false
	}
	b.failures++
	b.last = now
	if b.failures < failuresToEject || b.ejected > now || !t.mayEject(o.Backend, set, now) {
		return false
	}
	b.failures = 0
	b.ejected = now.Add(min(ejection<<min(b.row, 8), maxEjection))
	b.row++
	return true
}

func clamp(n int) uint32 { return uint32(min(max(n, 0), 1<<30)) }

// mayEject reports whether the target keeps at least half of its healthy
// backend servers, and one, when name is ejected.
func (t *Tracker) mayEject(name string, set *objects.Set, now clock.Instant) bool {
	server := set.BackendServers[name]
	if server == nil {
		return false
	}
	healthy, ejected := 0, 0
	for _, s := range set.BackendsOf(server.Spec.Model + server.Spec.Service) {
		b := t.backends[s.Name]
		if b == nil || !b.state.Healthy || b.state.Leaving {
			continue
		}
		healthy++
		if b.ejected > now {
			ejected++
		}
	}
	return healthy-ejected > 1 && 2*(ejected+1) <= healthy
}

// Status returns the status of each backend server. leaving says what the list
// of VMs knows. A backend server that becomes usable again starts slowly.
func (t *Tracker) Status(leaving func(name string) bool, now clock.Instant) map[string]*snapshot.BackendStatus {
	statuses := make(map[string]*snapshot.BackendStatus, len(t.backends))
	for name, b := range t.backends {
		s := &snapshot.BackendStatus{
			Name:            name,
			Region:          t.region,
			Leaving:         b.state.Leaving || leaving(name),
			Healthy:         b.state.Healthy && b.ejected <= now,
			Running:         int(b.load.Running),
			Queued:          int(b.load.Queued),
			TokensPerSecond: float64(b.load.DecitokensPerSecond) / 10,
			Loaded:          b.state.Loaded,
			Fence:           b.state.Fence,
			CachedPrefixes:  b.prefixes,
			ConfirmedAt:     b.heard,
			LoadReportedAt:  b.reported,
		}
		usable := s.Healthy && !s.Leaving
		if usable && !b.usable {
			b.since = now
		}
		b.usable = usable
		s.UsableSince = b.since
		statuses[name] = s
	}
	return statuses
}
