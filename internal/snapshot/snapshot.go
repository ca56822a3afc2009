// Package snapshot holds the immutable view that a request reads.
//
// A Publisher replaces the whole view; readers take it once per request and
// never lock.
package snapshot

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/objects"
)

// Identity names this process. A restart on the same VM is a new incarnation.
type Identity struct {
	VM            string `json:"vm"`
	Incarnation   string `json:"incarnation"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
}

// Member is an entry VM of the system as this process sees it.
type Member struct {
	Identity
	// CallerAddress, ForwardAddress and ControlAddress are IP:port.
	CallerAddress  string `json:"callerAddress"`
	ForwardAddress string `json:"forwardAddress"`
	ControlAddress string `json:"controlAddress"`
	// Leaving means that a fresh source says that the VM leaves.
	Leaving bool `json:"leaving"`
	// Reachable is false while heartbeats are missing.
	Reachable bool `json:"reachable"`
	// Revision is the highest configuration revision heard from the member.
	Revision uint64 `json:"revision"`
}

// BackendStatus is what is known of one backend server.
type BackendStatus struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Leaving bool   `json:"leaving"`
	// Healthy is false after failed probes or an ejection.
	Healthy bool `json:"healthy"`
	// Running and Queued are the server's last report.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// TokensPerSecond is the measured rate of one stream; zero is unknown.
	TokensPerSecond float64 `json:"tokensPerSecond"`
	// UsableSince is when the server was last seen to become usable, for slow start.
	UsableSince clock.Instant `json:"since"`
	// Loaded lists "model@version" that the engine has loaded.
	Loaded []string `json:"loaded,omitempty"`
	// Fence is the highest fencing number that the engine has accepted.
	Fence uint64 `json:"fence,omitempty"`
	// CachedPrefixes are the prompt prefixes that the engine is known to have
	// cached, in order. They come late; a gap in its events empties them.
	CachedPrefixes []uint64 `json:"prefixes,omitempty"`
	// ConfirmedAt is when this status was last reported or confirmed by a prober.
	ConfirmedAt clock.Instant `json:"heard"`
	// LoadReportedAt is when Running and Queued were last reported, by a prober or
	// by an answer to this process.
	LoadReportedAt clock.Instant `json:"reported"`
}

// Bounds on the age of what is known of backend servers when new work is sent.
const (
	// MaxBackendStatusAge bounds the age of a status's confirmation.
	MaxBackendStatusAge = 5 * time.Second
	// MaxViewAge bounds the time since the process last looked after its view.
	// It is exceeded when the process was paused.
	MaxViewAge = 2 * time.Second
)

// RegionSummary is what another region reports of one model or service.
type RegionSummary struct {
	Region string `json:"region"`
	Target string `json:"target"`
	// Healthy replicas, their free slots and the queued requests.
	Healthy int `json:"healthy"`
	Free    int `json:"free"`
	Queued  int `json:"queued"`
	// WaitSeconds is the expected wait for a slot.
	WaitSeconds float64 `json:"waitSeconds"`
	// TokensPerSecond is the median rate of one stream; zero is unknown.
	TokensPerSecond float64       `json:"tokensPerSecond"`
	ConfirmedAt     clock.Instant `json:"heard"`
}

// Snapshot is one immutable view.
type Snapshot struct {
	Self   Identity
	Config *objects.Set
	// ConfigConfirmedAt is when Config was last confirmed as the newest.
	ConfigConfirmedAt clock.Instant
	// ConfigUnconfirmed means that no source has confirmed Config since the start.
	ConfigUnconfirmed bool
	// Leaving means that this process is shutting down.
	Leaving bool
	Members map[string]*Member
	// Backends holds the status of this region's backend servers by name.
	Backends map[string]*BackendStatus
	// BackendsUpdatedAt is when this process last looked after Backends. After a
	// pause it stays old until all backend servers have been probed again.
	BackendsUpdatedAt clock.Instant
	// Summaries holds other regions' reports: target, then region.
	Summaries map[string]map[string]*RegionSummary
	// ReachableRegions holds when each region was last heard of.
	RegionLastHeartbeat map[string]clock.Instant
	// RegionRecoveredAt is when a region was last seen to come back, for slow start.
	RegionRecoveredAt map[string]clock.Instant
}

// ConfigFresh reports whether the configuration was confirmed within maxAge.
// It is asked on the path of each request, so that a process that was paused
// doesn't act on an old view.
func (s *Snapshot) ConfigFresh(now clock.Instant, maxAge time.Duration) bool {
	return !s.ConfigUnconfirmed && now.Sub(s.ConfigConfirmedAt) <= maxAge
}

// BackendFresh reports whether the status may be used for new work. Like
// ConfigFresh it is asked on the path of each request: a process that was
// paused doesn't send to a backend server that has left meanwhile.
func (s *Snapshot) BackendFresh(b *BackendStatus, now clock.Instant) bool {
	return now.Sub(s.BackendsUpdatedAt) <= MaxViewAge && now.Sub(b.ConfirmedAt) <= MaxBackendStatusAge
}

// Publisher holds the current snapshot.
type Publisher struct {
	mu      sync.Mutex // serializes writers only
	current atomic.Pointer[Snapshot]
}

// NewPublisher returns a publisher that holds a snapshot without configuration.
func NewPublisher(self Identity) *Publisher {
	p := &Publisher{}
	set := objects.NewSet()
	set.Index()
	p.current.Store(&Snapshot{
		Self: self, Config: set, ConfigUnconfirmed: true,
		Members:             map[string]*Member{},
		Backends:            map[string]*BackendStatus{},
		Summaries:           map[string]map[string]*RegionSummary{},
		RegionLastHeartbeat: map[string]clock.Instant{},
		RegionRecoveredAt:   map[string]clock.Instant{},
	})
	return p
}

// Load returns the current snapshot. Callers must not change it.
func (p *Publisher) Load() *Snapshot { return p.current.Load() }

// Update publishes the copy that change has edited. The copy is shallow: change
// must replace maps and pointers rather than write into them.
func (p *Publisher) Update(change func(next *Snapshot)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := *p.current.Load()
	change(&next)
	p.current.Store(&next)
}
