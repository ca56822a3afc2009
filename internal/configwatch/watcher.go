// Package configwatch keeps the newest valid configuration in force.
//
// Configurations are ordered by their revision in the configuration service. A
// revision that isn't higher than the one in force is ignored, whatever its
// source. A few members of each region watch the service. The others fetch new
// revisions from peers, and read the service themselves if no peer confirms
// their revision in time. A manifest with missing parts stays pending, and a
// configuration that fails validation is reported as rejected; in both cases the
// configuration in force stays.
package configwatch

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/chestnutspring/chestnutspring/internal/bundle"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// Intervals and timeouts of the protocol. Together they bound the time until a
// published configuration is in force on all members to 6 s.
const (
	// watchWait is how long the service may delay its response to a watch.
	watchWait = 500 * time.Millisecond
	// pollWait is how long the service may delay its response to a single
	// read by a member that doesn't watch.
	pollWait = 10 * time.Millisecond
	// askPeersAfter is the age of the confirmation from which on peers are asked
	// for a newer one.
	askPeersAfter = time.Second
	// fallbackAfter is the age of the confirmation from which on a member reads
	// the service itself, after a random delay of up to fallbackJitter.
	fallbackAfter  = 2 * time.Second
	fallbackJitter = 500 * time.Millisecond
	// behindLimit is how long a member may lack a newer revision that it knows
	// of before it counts as unconfirmed.
	behindLimit = 6 * time.Second
	// firstPeerWait bounds the wait for the first peer's revision at the start.
	// furtherPeersWait is the additional wait for revisions of further peers.
	firstPeerWait    = 2 * time.Second
	furtherPeersWait = 300 * time.Millisecond
	// startFetchTimeout bounds the fetch of the highest peer revision at the
	// start.
	startFetchTimeout = 3 * time.Second
	// serviceTimeout bounds a call to the service, in addition to the requested
	// delay of the response. peerTimeout bounds a call to a peer.
	serviceTimeout = 2 * time.Second
	peerTimeout    = time.Second
	// peerCheckInterval is the interval between checks of the peers' revisions.
	peerCheckInterval = time.Second
	// watcherGrace is how long a watching member waits for its own watch to return
	// a revision that a peer already has.
	watcherGrace = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Rate limits of one process for calls to the service, except for parts: for
// watches, and for single reads.
const (
	watchesPerSecond = 3
	watchBurst       = 3
	readsPerSecond   = 0.5
	readBurst        = 2
)

// Peers gives access to the other gateways.
type Peers interface {
	// Revisions returns the last reported revision of each reachable member by
	// VM name.
	Revisions() map[string]uint64
	// Manifest returns the manifest that is in force at the VM.
	Manifest(ctx context.Context, vm string) (published.Value, error)
	// Part returns a part of the configuration that is in force at the VM.
	Part(ctx context.Context, vm, digest string) ([]byte, error)
}

// Confirmer is implemented by Peers that can ask a peer when its revision was
// last confirmed. Without it every member confirms by reading the service.
type Confirmer interface {
	// Confirmation returns the result of Watcher.Confirmation at the VM. The
	// result must not be cached.
	Confirmation(ctx context.Context, vm string) (Confirmation, error)
}

// Confirmation reports the revision in force at a member and when it was last
// confirmed to be the newest.
type Confirmation struct {
	Revision uint64 `json:"revision"`
	// Confirmed reports whether Age is valid.
	Confirmed bool `json:"confirmed"`
	// Age is the time since the revision was last confirmed.
	Age time.Duration `json:"age"`
}

// Config configures a Watcher. Peers, Log, Scope and IsWatcher may be nil: then
// the process has no peers, writes no logs, reports no metrics, and watches the
// service.
type Config struct {
	Self      snapshot.Identity
	Reader    published.Reader
	Peers     Peers
	Publisher *snapshot.Publisher
	Now       clock.Clock
	Log       *slog.Logger
	Scope     tally.Scope
	// IsWatcher reports whether this member watches the service for its region.
	IsWatcher func() bool
}

// Watcher keeps the newest valid configuration in force.
type Watcher struct {
	Config
	metrics      metrics
	watchLimiter *rate.Limiter
	readLimiter  *rate.Limiter
	wake         chan struct{} // signals that a peer reported a revision higher than the one in force
	ready        chan struct{} // closed when a configuration is in force

	current atomic.Pointer[inForce]

	applyMu      sync.Mutex // serializes changes of the configuration in force
	bundleReader *bundle.Reader

	mu       sync.Mutex // guards the fields below; never held during I/O
	view     view
	pending  *pendingConfig
	rejected *rejectedConfig
}

// inForce is a configuration in force. It is immutable.
type inForce struct {
	value published.Value
	parts map[string][]byte // by digest
}

// New returns a Watcher that Run starts.
func New(config Config) *Watcher {
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	if config.Scope == nil {
		config.Scope = tally.NoopScope
	}
	if config.IsWatcher == nil {
		config.IsWatcher = func() bool { return true }
	}
	return &Watcher{
		Config:       config,
		metrics:      newMetrics(config.Scope),
		watchLimiter: rate.NewLimiter(watchesPerSecond, watchBurst),
		readLimiter:  rate.NewLimiter(readsPerSecond, readBurst),
		wake:         make(chan struct{}, 1),
		ready:        make(chan struct{}),
		bundleReader: bundle.NewReader(),
		view:         view{unconfirmed: true},
	}
}

// Run keeps the configuration up to date until ctx ends and returns the error
// of ctx.
func (w *Watcher) Run(ctx context.Context) error {
	if w.Peers != nil {
		w.startFromPeers(ctx)
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return w.followService(ctx) })
	if w.Peers != nil {
		g.Go(func() error { return w.followPeers(ctx) })
	}
	return g.Wait()
}

// Ready returns a channel that is closed once a configuration is in force.
func (w *Watcher) Ready() <-chan struct{} { return w.ready }

// Manifest returns the manifest in force, or false if there is none. Peers fetch
// it.
func (w *Watcher) Manifest() (published.Value, bool) {
	current := w.current.Load()
	if current == nil {
		return published.Value{}, false
	}
	return current.value, true
}

// Part returns the part of the configuration in force with the digest, or false
// if there is none. Peers fetch it.
func (w *Watcher) Part(digest string) ([]byte, bool) {
	current := w.current.Load()
	if current == nil {
		return nil, false
	}
	data, ok := current.parts[digest]
	return data, ok
}

// Confirmation returns the revision in force and when it was last confirmed.
// Peers ask for it.
func (w *Watcher) Confirmation() Confirmation {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := Confirmation{Revision: w.revision()}
	if !w.view.unconfirmed {
		c.Confirmed, c.Age = true, w.Now().Sub(w.view.confirmedAt)
	}
	return c
}

// RecordPeerRevision records the revision that a peer reported to have in force.
// It doesn't block.
func (w *Watcher) RecordPeerRevision(vm string, revision uint64) {
	w.mu.Lock()
	w.recordRevisionLocked(vm, revision)
	w.mu.Unlock()
	if revision > w.revision() {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// revision returns the revision in force, or zero if there is none.
func (w *Watcher) revision() uint64 {
	if current := w.current.Load(); current != nil {
		return current.value.Revision
	}
	return 0
}

// pause waits for d. It reports false if ctx ended before.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
