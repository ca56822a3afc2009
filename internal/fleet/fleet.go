// Package fleet is the facade over membership, health and the peer protocol.
//
// It publishes the members, the backend servers of this region and the
// summaries of the other regions in the snapshot. Within a region, each member
// gossips changes to a fixed number of peers. Between regions, only a few
// members, the carriers, exchange summaries.
package fleet

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/health"
	"github.com/chestnutspring/chestnutspring/internal/membership"
	"github.com/chestnutspring/chestnutspring/internal/membudget"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/peer"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// ConfigSource is the part of the configuration watcher that the fleet uses.
type ConfigSource interface {
	// Manifest and Part return this process's copy, to serve it to peers.
	Manifest() (published.Value, bool)
	Part(digest string) ([]byte, bool)
	// RecordPeerRevision records a peer's configuration revision. It doesn't
	// block.
	RecordPeerRevision(vm string, revision uint64)
}

// Config holds the settings and dependencies of a Fleet.
type Config struct {
	Self snapshot.Identity
	// CallerAddress, ForwardAddress and ControlAddress are the addresses of
	// this process, as IP:port.
	CallerAddress, ForwardAddress, ControlAddress string
	Publisher                                     *snapshot.Publisher
	Reader                                        published.Reader
	// Seeds are control addresses of peers to connect to until the members
	// behind them are known.
	Seeds                []string
	ServerTLS, ClientTLS *tls.Config
	Now                  clock.Clock
	Log                  *slog.Logger
	Scope                tally.Scope
	// Memory holds the large messages of other gateways; nil means no bound.
	Memory *membudget.Budget
	// Dial opens connections to peers and backend servers; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Fleet maintains this process's view of the fleet.
type Fleet struct {
	cfg            Config
	dialer         *peer.Dialer
	server         *peer.Server
	probeClient    *http.Client
	controlMeter   *peer.Meter // traffic of control connections
	probeMeter     *peer.Meter // traffic of connections to backend servers
	configSource   atomic.Pointer[ConfigSource]
	demandExchange atomic.Pointer[DemandExchange]
	watcher        atomic.Bool
	callClients    clientPool

	observations        chan health.Observation
	droppedObservations atomic.Int64
	ready               chan struct{}
	publishNormal       chan struct{}
	publishUrgent       chan struct{}
	tickRequests        chan struct{} // wakes tickLoop before its interval ends

	mu sync.Mutex
	// config is the configuration as of the last tick.
	config       *objects.Set
	store        *gossip.Store
	table        *membership.Table
	tracker      *health.Tracker
	roles        roles
	links        map[string]*link
	probeStates  map[string]*probeState
	regionStates map[string]*regionState // by region
	// version is the version of this process's last own record; each write of
	// one increments it.
	version uint64
	leaving bool
	// listRead is set after the first attempt to read the list of VMs, even if
	// it failed.
	listRead bool
	// syncedWithPeer is set when a peer of the region has sent all its records,
	// or when there is no peer to wait for.
	syncedWithPeer bool
	readyClosed    bool
	// versionRaisedAt is when version was last raised above that of another
	// incarnation of this VM.
	versionRaisedAt clock.Instant
	// listRevision is the highest revision of the list of VMs received.
	listRevision     uint64
	stale            staleViews
	loadWrittenAt    map[string]clock.Instant // by backend server
	writtenSummaries map[string]writtenSummary
	// avoidUntil holds, by VM, until when other peers are preferred to one that
	// could not be reached.
	avoidUntil map[string]clock.Instant
	// failureLoggedAt holds, by address, when a failed connection was last
	// logged.
	failureLoggedAt map[string]clock.Instant
	schedule        tickSchedule
	startedAt       clock.Instant
}

// New returns a Fleet; Run and Serve start it.
func New(cfg Config) *Fleet {
	f := &Fleet{
		cfg:              cfg,
		controlMeter:     &peer.Meter{},
		probeMeter:       &peer.Meter{},
		observations:     make(chan health.Observation, 1024),
		ready:            make(chan struct{}),
		publishNormal:    make(chan struct{}, 1),
		publishUrgent:    make(chan struct{}, 1),
		tickRequests:     make(chan struct{}, 1),
		config:           cfg.Publisher.Load().Config,
		store:            gossip.NewStore(),
		table:            membership.NewTable(cfg.Self),
		tracker:          health.NewTracker(cfg.Self.Region),
		links:            map[string]*link{},
		probeStates:      map[string]*probeState{},
		regionStates:     map[string]*regionState{},
		loadWrittenAt:    map[string]clock.Instant{},
		writtenSummaries: map[string]writtenSummary{},
		avoidUntil:       map[string]clock.Instant{},
		failureLoggedAt:  map[string]clock.Instant{},
		version:          firstVersion(time.Now()),
	}
	f.dialer = &peer.Dialer{TLS: cfg.ClientTLS, Log: cfg.Log, Meter: f.controlMeter, Dial: cfg.Dial}
	f.server = &peer.Server{Handler: handler{f}, TLS: cfg.ServerTLS, Log: cfg.Log, Meter: f.controlMeter, Memory: cfg.Memory}
	f.probeClient = newProbeClient(cfg.Dial, f.probeMeter)
	f.callClients.fleet = f
	f.startedAt = cfg.Now()
	return f
}

// firstVersion returns the initial record version of a new process: the Unix
// time in seconds. A restart on the same VM gets a higher version unless the
// wall clock was set back; in that case handleOwnRecord raises the version when
// the older record arrives.
func firstVersion(wall time.Time) uint64 { return uint64(max(wall.Unix(), 1)) }

// SetConfigSource connects the configuration watcher.
func (f *Fleet) SetConfigSource(src ConfigSource) { f.configSource.Store(&src) }

// IsWatcher reports whether this member is one of those in its region that
// watch the platform.
func (f *Fleet) IsWatcher() bool { return f.watcher.Load() }

// Serve serves peers on l until ctx ends.
func (f *Fleet) Serve(ctx context.Context, l net.Listener) error { return f.server.Serve(ctx, l) }

// Run maintains the view until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	f.mu.Lock()
	f.startedAt = f.cfg.Now()
	f.schedule.lastTick = f.startedAt
	f.announce()
	f.mu.Unlock()
	f.tick(ctx, group)
	group.Go(func() error { return f.tickLoop(ctx, group) })
	group.Go(func() error { return f.listLoop(ctx) })
	group.Go(func() error { return f.probeLoop(ctx, group) })
	group.Go(func() error { return f.eventLoop(ctx) })
	group.Go(func() error { return f.observeLoop(ctx) })
	group.Go(func() error { return f.publishLoop(ctx) })
	err := group.Wait()
	f.callClients.closeAll()
	return err
}

// Ready returns a channel that is closed once the backend servers of the region
// have been probed and, if the region has other members, one of them has sent
// its records or syncTimeout has passed.
func (f *Fleet) Ready() <-chan struct{} { return f.ready }

// Observe queues the outcome of a request that this process sent. It doesn't
// block: when the queue is full, the outcome is dropped and counted.
func (f *Fleet) Observe(o health.Observation) {
	select {
	case f.observations <- o:
	default:
		f.droppedObservations.Add(1)
	}
}

func (f *Fleet) observeLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-f.observations:
			f.recordObservation(o)
		}
	}
}

func (f *Fleet) recordObservation(o health.Observation) {
	now := f.cfg.Now()
	f.mu.Lock()
	ejected := f.tracker.Observe(o, f.cfg.Publisher.Load().Config, now)
	f.stale.backends = true
	if o.Err != nil {
		f.scheduleReprobe(o.Backend, now)
	}
	f.mu.Unlock()
	if ejected {
		f.cfg.Log.Warn("backend server ejected", "backend", o.Backend, "error", o.Err)
		f.cfg.Scope.Counter("backend_ejections").Inc(1)
	}
	f.requestPublish(ejected)
}

// Leave announces to all peers that this process is shutting down and sets
// Snapshot.Leaving. It returns when the announcement has been sent to the
// connected peers, or when ctx ends.
func (f *Fleet) Leave(ctx context.Context) {
	f.mu.Lock()
	f.leaving = true
	f.announce()
	f.stale.members = true
	links := f.connectedLinks()
	f.mu.Unlock()
	f.cfg.Publisher.Update(func(next *snapshot.Snapshot) { next.Leaving = true })
	f.requestPublish(true)
	f.cfg.Log.Info("leaving", "vm", f.cfg.Self.VM, "peers", len(links))
	var flushes sync.WaitGroup
	for _, l := range links {
		flushes.Go(func() { l.flush(ctx) }) // concurrent, so that a paused peer doesn't delay the others
	}
	flushes.Wait()
}

// requestPublish requests a new snapshot. Urgent changes are published and sent
// to peers at once.
func (f *Fleet) requestPublish(urgent bool) {
	channel := f.publishNormal
	if urgent {
		channel = f.publishUrgent
	}
	select {
	case channel <- struct{}{}:
	default:
	}
}
