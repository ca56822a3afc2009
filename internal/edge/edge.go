package edge

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chestnutspring/chestnutspring/internal/background"
	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/discovery"
	"github.com/chestnutspring/chestnutspring/internal/drain"
	"github.com/chestnutspring/chestnutspring/internal/mesh"
	"github.com/chestnutspring/chestnutspring/internal/metrics"
	"github.com/chestnutspring/chestnutspring/internal/relay"
	"github.com/chestnutspring/chestnutspring/internal/roster"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/upstream"
	"github.com/chestnutspring/chestnutspring/internal/version"
)

const (
	// serverDialTimeout bounds the set-up of a connection to a backend server
	// of the region: many round trips.
	serverDialTimeout = 400 * time.Millisecond
	// hopDialTimeout bounds the set-up of a connection to a VM of another
	// region: a few round trips.
	hopDialTimeout = 600 * time.Millisecond
	// headerTimeout bounds how long a caller may take to send a header. It is
	// above the limit that operators set for callers.
	headerTimeout = 6 * time.Second
	// maxHeaderBytes bounds a header before the configuration's limit is
	// looked at.
	maxHeaderBytes = 64 << 10
	// keepAlive is how long callers may use an idle connection, and
	// keepAliveMargin how much longer it stays open.
	keepAlive       = 2 * time.Second
	keepAliveMargin = 500 * time.Millisecond
	// shareInterval is the time between two exchanges of loads.
	shareInterval = 100 * time.Millisecond
	// lingerPart is the part of the grace time in which a VM that shuts down
	// still takes requests: callers learn from the directory meanwhile.
	lingerPart = 0.22
	// lastCall is how long before its end a VM without a stand-in in its region
	// takes no request any more, and standInPoll how often it looks for one.
	lastCall    = 2500 * time.Millisecond
	standInPoll = 50 * time.Millisecond
	// graceMargin is how long before the end of the grace time the process
	// ends by itself.
	graceMargin = 400 * time.Millisecond
	// memoryPart is the part of the VM's memory above which the garbage
	// collector works harder.
	memoryPart = 0.7
	// largeShare is the number of intervals between two exchanges in a large
	// region.
	largeShare = 3
	// tellInterval is the least time between two words about a changed load:
	// a few times what the word needs within a region.
	tellInterval = 5 * time.Millisecond
	// freezeAfter is the delay of a timer that shows that the process stood
	// still.
	freezeAfter = time.Second
	// incarnationBytes is the size of the random part of an identity.
	incarnationBytes = 8
)

// Adapter connects the process to the platform that it runs on.
type Adapter interface {
	Prober
	Registry() discovery.Registry
	Protocol() relay.Protocol
	// ReadyHandler answers whether this VM takes requests.
	ReadyHandler(ready func() bool) http.Handler
	// DirectoryHandler answers callers that ask where to connect.
	DirectoryHandler(entries func(host, region, failureDomain string) []string, ttl time.Duration) http.Handler
}

// Edge is one running process.
type Edge struct {
	settings atomic.Pointer[Settings]
	log      *slog.Logger
	now      clock.Clock
	self     snapshot.Identity
	metrics  *metrics.Metrics
	adapter  Adapter

	roster   *roster.Roster
	follower *discovery.Follower
	mesh     *mesh.Mesh
	balancer *balance.Balancer
	relay    *relay.Relay
	servers  *upstream.Pool
	gateways *upstream.Pool

	// changed wakes the exchange of loads.
	changed chan struct{}
	// heard wakes the use of what others said of theirs.
	heard    chan struct{}
	newsMu   sync.Mutex
	suspects []string
	reports  map[string]balance.Report
	// reads are those of the last few words to a large region. Only the exchange
	// of loads uses them.
	reads [][]balance.CachedBlock
	// endsAt is when this process ends, on the boot-time clock; zero while it
	// takes requests of any length.
	endsAt   atomic.Int64
	leaving  atomic.Bool
	refusing atomic.Bool
	ready    atomic.Bool
}

// New returns a process with checked settings.
func New(settings *Settings, adapter Adapter, log *slog.Logger) *Edge {
	random := make([]byte, incarnationBytes)
	// Read never fails.
	_, _ = rand.Read(random)
	e := &Edge{log: log, now: clock.Boot, adapter: adapter, metrics: metrics.New(), changed: make(chan struct{}, 1), heard: make(chan struct{}, 1), reports: map[string]balance.Report{}}
	e.settings.Store(settings)
	e.self = snapshot.Identity{
		VM: settings.VM, Incarnation: hex.EncodeToString(random),
		Region: settings.Region, FailureDomain: settings.FailureDomain,
	}
	e.assemble(settings)
	return e
}

func (e *Edge) assemble(settings *Settings) {
	e.roster = roster.New(e.log)
	e.mesh = mesh.New(mesh.Config{
		Self:      e.self,
		Addresses: mesh.Addresses{Callers: settings.Callers, Hops: settings.Hops, Control: settings.Control},
		Capacity:  settings.capacity(),
		Seeds:     settings.Seeds, Now: e.now, Log: e.log,
		Configuration: e.configuration,
		OnLoad:        e.loadHeard,
		OnRecord:      func(r record) { e.follower.ApplyRecord(r) },
		OnNewerConfiguration: func(revision uint64, fetch func(context.Context) (uint64, []byte, error)) {
			e.follower.FetchNewer(revision, fetch)
		},
	})
	e.follower = discovery.New(discovery.Config{
		Registry: e.adapter.Registry(), Roster: e.roster, Now: e.now, Log: e.log,
		Scope: e.metrics.Scope, Publish: e.mesh.Publish, LargeFleet: e.mesh.LargeFleet, RegistryReader: e.mesh.IsRegistryReader,
	})
	e.balancer = balance.New(e.self.Region, e.self.FailureDomain, settings.Cold, balance.DefaultTuning, e.mesh)
	e.servers = upstream.NewPool(e.now, serverDialTimeout)
	e.gateways = upstream.NewPool(e.now, hopDialTimeout)
	dials := e.metrics.Scope.Counter("dials")
	e.servers.Dialed = func(error) { dials.Inc(1) }
	e.relay = relay.New(relay.Config{
		VM: e.self.VM, Region: e.self.Region, Table: e.follower.Table, Roster: e.roster, Balancer: e.balancer,
		Peers: e.mesh, Protocol: e.adapter.Protocol(), ServerPool: e.servers, GatewayPool: e.gateways,
		Now: e.now, Log: e.log, Metrics: relay.NewMetrics(e.metrics.Scope), RetrySlack: settings.RetrySlack, RetryWindow: settings.RetryWindow,
		Leaving: e.leaving.Load, Refusing: e.refusing.Load, UsageChanged: e.wakeShare,
		ExitAt: func() clock.Instant { return clock.Instant(e.endsAt.Load()) },
	})
}

func (e *Edge) configuration() (uint64, []byte) {
	if e.follower == nil {
		return 0, nil
	}
	c := e.follower.Current()
	if c == nil {
		return 0, nil
	}
	return c.Revision, c.Raw
}

// Run serves until ctx ends and then shuts down gracefully. Reload brings
// changed settings.
func (e *Edge) Run(ctx context.Context, reload <-chan *Settings) error {
	settings := e.settings.Load()
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(settings.MemoryBytes)))
	}
	ports, err := listenAll(settings, e.log)
	if err != nil {
		return err
	}
	parts, stop := context.WithCancel(context.Background())
	defer stop()
	group, failed := errgroup.WithContext(parts)
	callers := drain.NewWith(e.callerServer(), keepAlive, keepAliveMargin)
	hops := &http.Server{Handler: e.hopRouter(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHopHeaderBytes, ErrorLog: e.httpLog()}
	group.Go(func() error { return callers.Serve(ports.callers) })
	group.Go(func() error { return background.IgnoreClosed(hops.Serve(ports.hops)) })
	small := e.serveSmall(group, ports)
	group.Go(func() error { return background.IgnoreEnd(failed, e.mesh.Serve(failed, ports.control)) })
	group.Go(func() error { return background.IgnoreEnd(failed, e.mesh.Run(failed)) })
	for _, topic := range []discovery.Topic{discovery.Operators, discovery.Servers} {
		group.Go(func() error { return background.IgnoreEnd(failed, e.follower.Run(failed, topic)) })
	}
	p := &poller{
		region: e.self.Region, table: e.follower.Table, roster: e.roster, balancer: e.balancer,
		prober: e.adapter, now: e.now, log: e.log, busy: map[roster.ServerKey]bool{}, suspect: e.suspect,
		peers: e.mesh.Peers, reported: e.reported,
	}
	group.Go(func() error { return background.IgnoreEnd(failed, p.run(failed)) })
	group.Go(func() error { return background.IgnoreEnd(failed, e.share(failed)) })
	e.log.Info("started", "vm", e.self.VM, "incarnation", e.self.Incarnation, "region", e.self.Region,
		"failureDomain", e.self.FailureDomain, "callers", settings.Callers, "control", settings.Control,
		"hops", settings.Hops, "operators", settings.Operators, "seeds", settings.Seeds, "capacity", settings.capacity(), "version", version.String())
	e.serveUntil(ctx, failed, reload)
	if failed.Err() != nil {
		return group.Wait()
	}
	e.shutdown(callers, hops)
	for _, s := range small {
		_ = s.Close()
	}
	stop()
	err = group.Wait()
	e.log.Info("stopped", "vm", e.self.VM, "incarnation", e.self.Incarnation)
	return err
}

// serveUntil takes in changed settings until the process must end.
func (e *Edge) serveUntil(ctx, failed context.Context, reload <-chan *Settings) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-failed.Done():
			return
		case next := <-reload:
			e.reload(next)
		}
	}
}

// reload takes in changed seeds and a changed grace time. All else stays as it
// was until the process starts again.
func (e *Edge) reload(next *Settings) {
	merged := *e.settings.Load()
	merged.Seeds, merged.Grace = next.Seeds, next.Grace
	e.settings.Store(&merged)
	e.mesh.SetSeeds(merged.Seeds)
	e.log.Info("settings reloaded", "seeds", merged.Seeds, "grace", merged.Grace)
}

func (e *Edge) gauges(now clock.Instant) {
	s := e.metrics.Scope
	s.Gauge("members").Update(float64(len(e.mesh.Members())))
	s.Gauge("backend_servers").Update(float64(len(e.roster.View().All())))
	s.Gauge("open_server_connections").Update(float64(e.servers.Open()))
	s.Gauge("open_hop_connections").Update(float64(e.gateways.Open()))
	if c := e.follower.Current(); c != nil {
		s.Gauge("configuration_version").Update(float64(c.Table.Version))
		s.Gauge("registry_age_seconds").Update(now.Sub(e.follower.ConfirmedAt()).Seconds())
	}
}

// entries answers for the directory. A VM that has never been ready knows too
// few of the others to send callers anywhere.
func (e *Edge) entries(host, region, domain string) []string {
	if !e.ready.Load() && !e.leaving.Load() {
		return nil
	}
	at := place{region: region, domain: domain}
	if table := e.follower.Table(); table != nil {
		at.homes, at.bound = table.HomeRegions(host)
	}
	self := mesh.Member{
		Identity: e.self, Addresses: mesh.Addresses{Callers: e.settings.Load().Callers},
		Ready: e.ready.Load(), Leaving: e.leaving.Load(), Closing: e.refusing.Load(), Reachable: true,
		Capacity: e.settings.Load().capacity(),
	}
	list, near := entries(self, e.mesh.Members(), at)
	if !near {
		e.log.Info("callers sent to another region", "host", host, "region", region, "bound", at.bound, "homes", at.homes, "entries", list)
	}
	return list
}
