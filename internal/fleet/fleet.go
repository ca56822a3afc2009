// Package fleet is the facade over membership, health and the peer protocol.
//
// It keeps the members, the region's backend servers and the other regions'
// summaries in the snapshot. Within a region each member sends its changes to
// a fixed number of neighbours; between regions a few carriers send a summary.
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
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/peer"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// ConfigSource is what the fleet needs of the configuration's watcher.
type ConfigSource interface {
	// Manifest and Part return what this process has, to give to peers.
	Manifest() (published.Value, bool)
	Part(digest string) ([]byte, bool)
	// RecordPeerRevision takes a peer's configuration revision. It doesn't block.
	RecordPeerRevision(vm string, revision uint64)
}

// Config holds what a Fleet needs.
type Config struct {
	Self snapshot.Identity
	// CallerAddress, ForwardAddress and ControlAddress are this process's own,
	// as IP:port.
	CallerAddress, ForwardAddress, ControlAddress string
	Publisher                                     *snapshot.Publisher
	Reader                                        published.Reader
	// Seeds are control addresses that are used until their members are known.
	Seeds                []string
	ServerTLS, ClientTLS *tls.Config
	Now                  clock.Clock
	Log                  *slog.Logger
	Scope                tally.Scope
	// Dial opens connections to peers and backend servers; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Fleet keeps this process's view of the fleet.
type Fleet struct {
	cfg            Config
	dialer         *peer.Dialer
	server         *peer.Server
	probeClient    *http.Client
	controlMeter   *peer.Meter // control connections
	probeMeter     *peer.Meter // connections to backend servers
	configSource   atomic.Pointer[ConfigSource]
	demandExchange atomic.Pointer[DemandExchange]
	watcher        atomic.Bool
	callClients    clientPool

	observations        chan health.Observation
	droppedObservations atomic.Int64 // observations
	ready               chan struct{}
	publishNormal       chan struct{}
	publishUrgent       chan struct{}
	tickRequests        chan struct{} // asks for a tick

	mu sync.Mutex
	// config is the configuration that the last tick saw.
	config       *objects.Set
	store        *gossip.Store
	table        *membership.Table
	tracker      *health.Tracker
	roles        roles
	links        map[string]*link
	probeStates  map[string]*probeState
	regionStates map[string]*regionState // by region
	// version of this process's own records; each write adds one.
	version uint64
	leaving bool
	// listRead means that the list was read, or that the first try failed.
	listRead bool
	// syncedWithPeer means that a peer of the region has told all that it knows, or
	// that there is none.
	syncedWithPeer  bool
	readyClosed     bool
	versionRaisedAt clock.Instant // when version was last raised over another incarnation's
	// listRevision is the highest revision of the list that was heard.
	listRevision     uint64
	stale            staleViews
	loadWrittenAt    map[string]clock.Instant // by backend server
	writtenSummaries map[string]writtenSummary
	// avoidUntil holds until when another peer is preferred to one that failed.
	avoidUntil map[string]clock.Instant
	// failureLoggedAt holds when the log last said that an address is unreachable.
	failureLoggedAt map[string]clock.Instant
	schedule        tickSchedule
	startedAt       clock.Instant
}

// New returns a fleet that isn't running yet.
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
	f.server = &peer.Server{Handler: handler{f}, TLS: cfg.ServerTLS, Log: cfg.Log, Meter: f.controlMeter}
	f.probeClient = newProbeClient(cfg.Dial, f.probeMeter)
	f.callClients.fleet = f
	f.startedAt = cfg.Now()
	return f
}

// firstVersion is the version of a new process's first record. A restart on
// the same VM gets a higher one, unless the wall clock went back; then the
// process raises its version when it hears the older record.
func firstVersion(wall time.Time) uint64 { return uint64(max(wall.Unix(), 1)) }

// SetConfigSource connects the configuration's watcher.
func (f *Fleet) SetConfigSource(src ConfigSource) { f.configSource.Store(&src) }

// IsWatcher reports whether this member is one of those of its region that
// watch the platform.
func (f *Fleet) IsWatcher() bool { return f.watcher.Load() }

// Serve answers peers on l until ctx ends.
func (f *Fleet) Serve(ctx context.Context, l net.Listener) error { return f.server.Serve(ctx, l) }

// Run keeps the view until ctx ends.
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
	f.probeClient.CloseIdleConnections()
	return err
}

// Ready returns a channel that is closed when the region's backend servers have
// been looked at and, where there are peers in the region, one of them has told
// what it knows.
func (f *Fleet) Ready() <-chan struct{} { return f.ready }

// Observe takes in the outcome of an own request. It doesn't block; when it is
// called faster than outcomes are handled, some are dropped and counted.
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

// Leave tells all peers that this process leaves and sets Snapshot.Leaving. It
// returns when the neighbours have been told, or when ctx ends.
func (f *Fleet) Leave(ctx context.Context) {
	f.mu.Lock()
	f.leaving = true
	f.announce()
	f.stale.members = true
	links := f.connectedLinks()
	f.mu.Unlock()
	f.cfg.Publisher.Update(func(next *snapshot.Snapshot) { next.Leaving = true })
	f.requestPublish(true)
	f.cfg.Log.Info("leaving", "vm", f.cfg.Self.VM, "neighbours", len(links))
	var told sync.WaitGroup
	for _, l := range links {
		told.Go(func() { l.flush(ctx) }) // a paused neighbour holds up no other
	}
	told.Wait()
}

// requestPublish asks for a new snapshot; urgent changes are published and sent at
// once.
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
