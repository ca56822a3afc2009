// Package snapshot provides the immutable view of the system that requests are
// routed by.
//
// A Publisher replaces the view as a whole. Readers load it once per request
// and take no lock.
package snapshot

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/objects"
)

// Identity identifies a gateway process. A restart on the same VM is a new
// incarnation.
type Identity struct {
	VM            string `json:"vm"`
	Incarnation   string `json:"incarnation"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
}

// Member is the state of a gateway as known to this process.
type Member struct {
	Identity
	// CallerAddress, ForwardAddress and ControlAddress have the form IP:port.
	CallerAddress  string `json:"callerAddress"`
	ForwardAddress string `json:"forwardAddress"`
	ControlAddress string `json:"controlAddress"`
	// Leaving is set while a current source reports the VM as leaving.
	Leaving bool `json:"leaving"`
	// Reachable is false while heartbeats from the VM are missing.
	Reachable bool `json:"reachable"`
	// Revision is the highest configuration revision that the member reported.
	Revision uint64 `json:"revision"`
}

// BackendStatus is the last known status of a backend server.
type BackendStatus struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Leaving bool   `json:"leaving"`
	// Healthy is false after failed probes or an ejection.
	Healthy bool `json:"healthy"`
	// Running and Queued are the requests in the server's last load report.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// TokensPerSecond is the measured rate of one stream; zero means unknown.
	TokensPerSecond float64 `json:"tokensPerSecond"`
	// UsableSince is when the server last became usable. Slow start begins there.
	UsableSince clock.Instant `json:"since"`
	// Loaded lists the models that the engine has loaded, as "model@version".
	Loaded []string `json:"loaded,omitempty"`
	// Fence is the highest fencing number that the engine has accepted.
	Fence uint64 `json:"fence,omitempty"`
	// CachedPrefixes are the prompt prefixes that the engine has cached, in
	// ascending order. They are derived from the engine's cache events, which
	// arrive with a delay; a gap in the events clears the list.
	CachedPrefixes []uint64 `json:"prefixes,omitempty"`
	// ConfirmedAt is when a prober last reported or confirmed this status.
	ConfirmedAt clock.Instant `json:"heard"`
	// LoadReportedAt is when Running and Queued were last reported, by a prober
	// or in a response to this process.
	LoadReportedAt clock.Instant `json:"reported"`
}

// Limits on the age of backend server status that new requests are routed by.
const (
	// MaxBackendStatusAge is the maximum time since BackendStatus.ConfirmedAt.
	MaxBackendStatusAge = 5 * time.Second
	// MaxViewAge is the maximum time since Snapshot.BackendsUpdatedAt. It is
	// exceeded if the process was paused.
	MaxViewAge = 2 * time.Second
)

// RegionSummary is another region's report on one model or service.
type RegionSummary struct {
	Region string `json:"region"`
	Target string `json:"target"`
	// Healthy is the number of healthy replicas, Free the number of their free
	// slots and Queued the number of queued requests.
	Healthy int `json:"healthy"`
	Free    int `json:"free"`
	Queued  int `json:"queued"`
	// WaitSeconds is the expected wait for a free slot.
	WaitSeconds float64 `json:"waitSeconds"`
	// TokensPerSecond is the median rate of one stream; zero means unknown.
	TokensPerSecond float64 `json:"tokensPerSecond"`
	// ConfirmedAt is when the region's last heartbeat was received. A heartbeat
	// confirms all summaries of its region.
	ConfirmedAt clock.Instant `json:"heard"`
}

// Snapshot is an immutable view of the system.
type Snapshot struct {
	Self   Identity
	Config *objects.Set
	// ConfigConfirmedAt is when Config was last confirmed to be the newest
	// configuration.
	ConfigConfirmedAt clock.Instant
	// ConfigUnconfirmed is set until a source confirms Config after the start,
	// and again while a newer revision is known but could not be fetched in time.
	ConfigUnconfirmed bool
	// Leaving reports whether this process is shutting down.
	Leaving bool
	// Members holds the gateways by VM name.
	Members map[string]*Member
	// Backends holds the status of this region's backend servers by name.
	Backends map[string]*BackendStatus
	// BackendsUpdatedAt is when this process last brought Backends up to date.
	// After the process was paused it stays unchanged until all backend servers
	// have been probed again.
	BackendsUpdatedAt clock.Instant
	// Summaries holds the reports of other regions by target, then region.
	Summaries map[string]map[string]*RegionSummary
	// RegionLastHeartbeat holds when the last heartbeat of each region was
	// received.
	RegionLastHeartbeat map[string]clock.Instant
	// RegionRecoveredAt holds when each region last became responsive again.
	// Slow start begins there.
	RegionRecoveredAt map[string]clock.Instant
}

// ConfigFresh reports whether the configuration was confirmed within maxAge.
// It is checked for each request, so that a process that was paused doesn't act
// on an outdated configuration.
func (s *Snapshot) ConfigFresh(now clock.Instant, maxAge time.Duration) bool {
	return !s.ConfigUnconfirmed && now.Sub(s.ConfigConfirmedAt) <= maxAge
}

// BackendFresh reports whether the status is recent enough to route new
// requests by. Like ConfigFresh it is checked for each request: a process that
// was paused must not send to a backend server that has left in the meantime.
func (s *Snapshot) BackendFresh(b *BackendStatus, now clock.Instant) bool {
	return now.Sub(s.BackendsUpdatedAt) <= MaxViewAge && now.Sub(b.ConfirmedAt) <= MaxBackendStatusAge
}

// Publisher holds the current snapshot.
type Publisher struct {
	mu      sync.Mutex // serializes writers only
	current atomic.Pointer[Snapshot]
}

// NewPublisher returns a Publisher whose snapshot has an empty, unconfirmed
// configuration.
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

// Load returns the current snapshot. Callers must not modify it.
func (p *Publisher) Load() *Snapshot { return p.current.Load() }

// Update publishes a copy of the current snapshot that change has modified. The
// copy is shallow: change must replace maps and pointers instead of writing to
// the values behind them.
func (p *Publisher) Update(change func(next *Snapshot)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := *p.current.Load()
	change(&next)
	p.current.Store(&next)
}
