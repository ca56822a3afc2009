// Package configwatch keeps the newest valid configuration in force.
//
// The order of configurations is the revision of the configuration service.
// A revision that isn't above the one in force is ignored, whoever offers it.
// A few members of each region watch the service; the others learn from peers
// and read for themselves when nobody confirms their revision in time. A
// manifest whose parts are missing waits, and a set that fails the check is
// reported; the set in force stays meanwhile.
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

// The times of the protocol. Together they keep a change within 6 s.
const (
	// watchWait is how long one watch of a watching member waits.
	watchWait = 500 * time.Millisecond
	// pollWait is how long a read by a member that doesn't watch waits.
	pollWait = 10 * time.Millisecond
	// askPeersAfter is the age of the confirmation at which peers are asked.
	askPeersAfter = time.Second
	// fallbackAfter is the age of the confirmation at which a member reads
	// the service for itself, after a random part of fallbackJitter.
	fallbackAfter  = 2 * time.Second
	fallbackJitter = 500 * time.Millisecond
	// behindLimit is how long a member may know of a newer revision without
	// having it before it counts as unconfirmed.
	behindLimit = 6 * time.Second
	// firstPeerWait bounds the wait for peers at the start. settleWait is how
	// long further peers may answer after the first.
	firstPeerWait    = 2 * time.Second
	furtherPeersWait = 300 * time.Millisecond
	// startFetchTimeout bounds the fetch of the peers' revision at the start.
	startFetchTimeout = 3 * time.Second
	// serviceTimeout bounds one call of the service beyond its wait, and
	// peerTimeout one call of a peer.
	serviceTimeout = 2 * time.Second
	peerTimeout    = time.Second
	// peerCheckInterval is the time between looks at the peers' revisions.
	peerCheckInterval = time.Second
	// watcherGrace is how long a watching member lets its own watch bring
	// what a peer has already.
	watcherGrace = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// The token buckets of one process for calls of the service other than parts:
// for its watch, and for reads where it doesn't watch.
const (
	watchesPerSecond = 3
	watchBurst       = 3
	readsPerSecond   = 0.5
	readBurst        = 2
)

// Peers are the other gateways.
type Peers interface {
	// Revisions returns the last revision heard by VM name, of reachable
	// members only.
	Revisions() map[string]uint64
	// Manifest returns the manifest that is in force at the VM.
	Manifest(ctx context.Context, vm string) (published.Value, error)
	// Part returns a part of the configuration that is in force at the VM.
	Part(ctx context.Context, vm, digest string) ([]byte, error)
}

// Confirmer is implemented by Peers that can ask a peer how fresh its
// revision is. Without it every member confirms by reading the service.
type Confirmer interface {
	// Confirmation returns what Watcher.Confirmation returns at the VM. It
	// must be the answer to this call, not one that was kept.
	Confirmation(ctx context.Context, vm string) (Confirmation, error)
}

// Confirmation says how fresh a member's configuration is.
type Confirmation struct {
	Revision uint64 `json:"revision"`
	// Confirmed says whether Age is known.
	Confirmed bool `json:"confirmed"`
	// Age is the time since the revision was last known to be the newest.
	Age time.Duration `json:"age"`
}

// Config holds what a Watcher needs. Peers, Log, Scope and IsWatcher may be
// nil: then there are no peers, no logs, no metrics, and the process watches.
type Config struct {
	Self      snapshot.Identity
	Reader    published.Reader
	Peers     Peers
	Publisher *snapshot.Publisher
	Now       clock.Clock
	Log       *slog.Logger
	Scope     tally.Scope
	// IsWatcher says whether this member watches the service for its region.
	IsWatcher func() bool
}

// Watcher keeps the newest valid configuration in force.
type Watcher struct {
	Config
	metrics      metrics
	watchLimiter *rate.Limiter
	readLimiter  *rate.Limiter
	wake         chan struct{} // a revision above the one in force was heard
	ready        chan struct{} // closed when a configuration is in force

	current atomic.Pointer[inForce]

	applyMu sync.Mutex // serializes the change of what is in force
	reader  *bundle.Reader

	mu       sync.Mutex // guards what follows; never held across I/O
	view     view
	pending  *pendingConfig
	rejected *rejectedConfig
}

// inForce is the configuration in force. It is immutable.
type inForce struct {
	value published.Value
	parts map[string][]byte // by digest
}

// New returns a Watcher. Run starts it.
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
		reader:       bundle.NewReader(),
		view:         view{unconfirmed: true},
	}
}

// Run keeps the configuration current until ctx ends. Its error is that of
// ctx.
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

// Ready returns a channel that is closed when a configuration is in force.
func (w *Watcher) Ready() <-chan struct{} { return w.ready }

// Manifest returns the manifest in force, for peers.
func (w *Watcher) Manifest() (published.Value, bool) {
	current := w.current.Load()
	if current == nil {
		return published.Value{}, false
	}
	return current.value, true
}

// Part returns a part of the configuration in force, for peers.
func (w *Watcher) Part(digest string) ([]byte, bool) {
	current := w.current.Load()
	if current == nil {
		return nil, false
	}
	data, ok := current.parts[digest]
	return data, ok
}

// Confirmation says how fresh the configuration in force is, for peers.
func (w *Watcher) Confirmation() Confirmation {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := Confirmation{Revision: w.revision()}
	if !w.view.unconfirmed {
		c.Confirmed, c.Age = true, w.Now().Sub(w.view.confirmedAt)
	}
	return c
}

// RecordPeerRevision records the revision that a message of a peer bears. It doesn't
// block.
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

// revision returns the revision in force; zero means none.
func (w *Watcher) revision() uint64 {
	if current := w.current.Load(); current != nil {
		return current.value.Revision
	}
	return 0
}

// pause waits for d or the end of ctx. It reports whether ctx goes on.
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
