package edge

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chestnutspring/chestnutspring/internal/background"
	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/discovery"
	"github.com/chestnutspring/chestnutspring/internal/drain"
	"github.com/chestnutspring/chestnutspring/internal/freshness"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/linkuse"
	"github.com/chestnutspring/chestnutspring/internal/listenlimit"
	"github.com/chestnutspring/chestnutspring/internal/membudget"
	"github.com/chestnutspring/chestnutspring/internal/mesh"
	"github.com/chestnutspring/chestnutspring/internal/metrics"
	"github.com/chestnutspring/chestnutspring/internal/quarantine"
	"github.com/chestnutspring/chestnutspring/internal/relay"
	"github.com/chestnutspring/chestnutspring/internal/resume"
	"github.com/chestnutspring/chestnutspring/internal/roster"
	"github.com/chestnutspring/chestnutspring/internal/serverlimit"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/upstream"
	"github.com/chestnutspring/chestnutspring/internal/version"
)

const (
	// serverDialTimeout bounds connection setup to a backend server of the
	// region. It allows for many round trips.
	serverDialTimeout = 400 * time.Millisecond
	// hopDialTimeout bounds connection setup to a VM of another region. It
	// allows for a few round trips.
	hopDialTimeout = 600 * time.Millisecond
	// keepAlive is the announced time for which callers may reuse an idle
	// connection. The server keeps it open keepAliveMargin longer.
	keepAlive       = 2 * time.Second
	keepAliveMargin = 500 * time.Millisecond
	// hopKeepAlive is the announced time for which other VMs may reuse an idle
	// connection for hops. A new one takes two round trips between regions.
	hopKeepAlive = 30 * time.Second
	// loadExchangeInterval is the time between two load exchanges with the
	// other VMs of the region.
	loadExchangeInterval = 100 * time.Millisecond
	// lingerShare is the share of the grace time in which a VM that shuts down
	// still accepts requests, while callers learn of the shutdown from the
	// directory.
	lingerShare = 0.22
	// lastAcceptMargin is how long before its exit a VM without a replacement VM
	// in its region stops accepting requests. It checks for a replacement every
	// replacementPollInterval.
	lastAcceptMargin        = 2500 * time.Millisecond
	replacementPollInterval = 50 * time.Millisecond
	// lastAnswerMargin is how long before its exit a VM that shuts down ends the requests
	// that have no response yet, so that their callers receive a refusal.
	lastAnswerMargin = 500 * time.Millisecond
	// cutTimeout bounds the wait for the end of responses that are cut at the end.
	cutTimeout = 100 * time.Millisecond
	// graceMargin is how long before the end of the grace time the process
	// exits by itself.
	graceMargin = 400 * time.Millisecond
	// largeRegionIntervals is the number of exchange intervals between two load
	// exchanges in a large region.
	largeRegionIntervals = 3
	// minPublishInterval is the minimum time between two load announcements
	// triggered by changed usage: a few times the propagation time of an
	// announcement within a region.
	minPublishInterval = 5 * time.Millisecond
	// pauseThreshold is the time between two ticks of the load exchange above
	// which the process counts as having been paused.
	pauseThreshold = time.Second
	// incarnationBytes is the size of the random incarnation ID.
	incarnationBytes = 8
)

// Adapter connects the process to the platform on which it runs.
type Adapter interface {
	ReportFetcher
	Registry() discovery.Registry
	Protocol() relay.Protocol
	// ReadyHandler serves the readiness check: whether this VM accepts requests.
	ReadyHandler(ready func() bool) http.Handler
	// DirectoryHandler serves the addresses to which callers may connect. Callers
	// may cache a response for ttl.
	DirectoryHandler(entries func(host, region, failureDomain string) []string, ttl time.Duration) http.Handler
}

// Edge is the gateway process of one VM.
type Edge struct {
	settings atomic.Pointer[Settings]
	log      *slog.Logger
	now      clock.Clock
	self     snapshot.Identity
	// startedAt is when this process started.
	startedAt clock.Instant
	metrics   *metrics.Metrics
	adapter   Adapter

	roster      *roster.Roster
	follower    *discovery.Follower
	mesh        *mesh.Mesh
	balancer    *balance.Balancer
	relay       *relay.Relay
	poller      *poller
	streams     *resume.Tracker
	quarantine  *quarantine.Tracker
	limits      *serverlimit.Tracker
	brittle     *serverlimit.Tracker
	teamLimits  *teamLimits
	knowledge   *freshness.Tracker
	memory      *membudget.Budget
	limiter     *listenlimit.Limiter
	serverPool  *upstream.Pool
	gatewayPool *upstream.Pool

	// usageChanged triggers a load announcement. In a large region the next tick
	// of the load exchange sends it.
	usageChanged chan struct{}
	// peerLoadReceived triggers the update of peer usage in the balancer.
	peerLoadReceived chan struct{}
	// pendingMu guards the suspects and reports for the next load announcement.
	pendingMu       sync.Mutex
	pendingSuspects []string
	pendingLost     []string
	pendingReports  map[string]balance.Report
	// announcedUnreached are the servers that this VM last announced not to reach; nil
	// before the first announcement. Only the load exchange goroutine uses it.
	announcedUnreached []string
	// reachAnnouncedAt is when that was; zero is never. Only the load exchange goroutine uses it.
	reachAnnouncedAt clock.Instant
	// exitAt is when this process, which shuts down, ends the requests that have no
	// response yet, on the boot-time clock; zero before the shutdown.
	exitAt atomic.Int64
	// outdated means that requests of teams are refused as the configuration may be out of
	// date. Only the load exchange goroutine uses it.
	outdated bool
	// leaving is set when shutdown begins, lingering while callers' requests of any
	// deadline are accepted then, and refusing once no new requests are accepted.
	leaving   atomic.Bool
	lingering atomic.Bool
	refusing  atomic.Bool
	ready     atomic.Bool
}

// New returns a process. The settings must have passed Check.
func New(settings *Settings, adapter Adapter, log *slog.Logger) *Edge {
	random := make([]byte, incarnationBytes)
	// rand.Read never returns an error.
	_, _ = rand.Read(random)
	e := &Edge{log: log, now: clock.Boot, adapter: adapter, metrics: metrics.New(), usageChanged: make(chan struct{}, 1), peerLoadReceived: make(chan struct{}, 1), pendingReports: map[string]balance.Report{}}
	e.startedAt = e.now()
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
	e.knowledge = &freshness.Tracker{Bound: settings.RevocationBound}
	bounds := settings.Clients.Resolve(settings.MemoryBytes, listenlimit.Descriptors(settings.Descriptors), portKinds(0)...)
	e.memory = membudget.New(bounds.PendingBytes)
	e.limiter = listenlimit.New(bounds, e.memory, e.log, e.metrics.Scope)
	e.mesh = mesh.New(mesh.Config{
		Memory:    e.limiter.Control,
		Self:      e.self,
		Addresses: mesh.Addresses{Callers: settings.CallerListen, Hops: settings.HopListen, Control: settings.ControlListen},
		Capacity:  settings.capacity(), LinkRate: settings.LinkMbps * bytesPerMbit,
		Seeds: settings.Seeds, Dialer: settings.Meter.Dialer(settings.recordDialer(), linkuse.Records), Now: e.now, Log: e.log,
		Configuration: e.currentConfiguration,
		ReadsRegistry: func() bool { return e.follower.ReadsRegistry() },
		Servers:       e.usableServers,
		OnLoad:        e.applyPeerLoad,
		OnRecord:      e.applyRecord,
		OnNewerConfiguration: func(version uint64, fetch func(context.Context) ([]byte, error)) {
			e.follower.FetchNewer(version, fetch)
		},
		Confirmation:      func() (uint64, time.Duration, bool) { return e.knowledge.Confirmation(e.now()) },
		NeedsConfirmation: e.needsConfirmation, OnConfirmation: e.knowledge.ConfirmByVM,
	})
	e.follower = discovery.New(discovery.Config{
		Registry: e.adapter.Registry(), Roster: e.roster, Now: e.now, Log: e.log,
		Scope: e.metrics.Scope, Publish: e.mesh.Publish, Forget: e.mesh.Forget, LargeFleet: e.mesh.LargeFleet, RegistryReader: e.mesh.IsRegistryReader,
		RegistryCovered: e.mesh.RegistryCovered, Knowledge: e.knowledge,
	})
	e.balancer = balance.New(e.self.Region, e.self.FailureDomain, settings.Cold, balance.DefaultTuning, e.mesh)
	e.balancer.Log = e.log
	e.quarantine = quarantine.New(quarantine.Config{
		VM: e.self.VM, Now: e.now, Log: e.log, Scope: e.metrics.Scope, Running: e.isRunning, Servers: e.engineCount, ServersOf: e.serverCount,
		PublishOwn: e.mesh.PublishOwnPart, Publish: e.mesh.Publish,
	})
	e.limits = serverlimit.New(serverlimit.Config{
		Kind: gossip.KindRequestLimit, Name: "request limit of a backend server",
		Now: e.now, Log: e.log, Scope: e.metrics.Scope.SubScope("server_limit"), Apply: e.applyRequestLimit, Publish: e.mesh.Publish,
	})
	e.brittle = serverlimit.New(serverlimit.Config{
		Kind: gossip.KindBrittle, Name: "number of refusals at which servers of a service fall over",
		Now: e.now, Log: e.log, Scope: e.metrics.Scope.SubScope("brittle"), Publish: e.mesh.Publish,
		Apply: func(key roster.ServerKey, refusals float64) bool {
			e.balancer.SetFallsAt(key.ID, int(refusals))
			return e.serverCount(key.ID) > 0
		},
	})
	e.streams = resume.New(resume.Config{
		Now: e.now, Log: e.log, Scope: e.metrics.Scope, FirstStart: settings.FirstStart, View: e.roster.View,
		RegistryRead: e.followsServers, Reachable: e.mesh.Reaches, AnyReachable: e.mesh.ReachesAny,
		InTouch: e.mesh.HeardFromAll, UnseenVersions: e.unseenVersions, PublishOwn: e.mesh.PublishOwnPart,
	})
	e.serverPool = upstream.NewPool(e.now, serverDialTimeout)
	e.serverPool.SetBuffers(serverDialTimeout, bounds.OutgoingBuffers(), e.limiter.Windows)
	if settings.ServerDialer != nil {
		e.serverPool.Dialer = settings.ServerDialer
	}
	e.serverPool.Dialer = settings.Meter.Dialer(e.serverPool.Dialer, linkuse.Servers)
	e.gatewayPool = upstream.NewPool(e.now, hopDialTimeout)
	e.gatewayPool.SetBuffers(hopDialTimeout, bounds.OutgoingBuffers(), e.limiter.Windows)
	if bounds.Outgoing > 0 {
		upstream.NewTotal(bounds.PooledConnections(), e.serverPool, e.gatewayPool)
	}
	if settings.PeerDialer != nil {
		e.gatewayPool.Dialer = settings.PeerDialer
	}
	e.gatewayPool.Dialer = settings.Meter.Dialer(e.gatewayPool.Dialer, linkuse.Hops)
	e.gatewayPool.ServersStateUnread = true
	// The response to a hop holds that of a backend server.
	e.gatewayPool.MaxHeadBytes = 2 * upstream.DefaultMaxHeadBytes
	dials := e.metrics.Scope.Counter("dials")
	e.serverPool.OnDial = func(error) { dials.Inc(1) }
	e.poller = &poller{
		region: e.self.Region, table: e.follower.Table, roster: e.roster, balancer: e.balancer,
		fetcher: e.adapter, now: e.now, log: e.log, inFlight: map[roster.ServerKey]bool{}, probe: e.serverPool.Probe, urgent: make(chan *roster.Server, urgentQueueLength), onFailure: e.queueSuspect, onRefused: e.queueRefused,
		serverRank: e.mesh.ServerRank, onReport: e.queueReport, onLeaving: e.follower.MarkLeaving, requestLimits: e.limits, brittle: e.brittle,
	}
	e.teamLimits = newTeamLimits(settings, limitsConfig{
		Self: e.self, Now: e.now, Log: e.log, Scope: e.metrics.Scope.SubScope("team_limit"), Table: e.follower.Table,
		Members: e.mesh.Members, ActiveVMs: e.mesh.ActiveVMs, Accepts: e.ready.Load,
		Capacity: settings.capacity, Pool: e.gatewayPool, Memory: e.memory,
	})
	e.relay = relay.New(relay.Config{
		Memory: e.memory, BodyTimeout: bounds.BodyTimeout,
		VM: e.self.VM, Region: e.self.Region, Table: e.follower.Table, Roster: e.roster, Balancer: e.balancer,
		Peers: e.mesh, Protocol: e.adapter.Protocol(), Quarantine: e.quarantine, RequestLimits: e.limits, Brittle: e.brittle, Streams: e.streams, Knowledge: e.knowledge, TeamLimits: e.teamLimits, ServerPool: e.serverPool, GatewayPool: e.gatewayPool,
		Now: e.now, Log: e.log, Metrics: relay.NewMetrics(e.metrics.Scope), RetrySlack: settings.RetrySlack, RetryWindow: settings.RetryWindow,
		ServerLeaves: e.follower.MarkLeaving, ServerLost: e.poller.serverLost, LinkFailed: e.poller.queueCheck, IsRunning: e.isRunning,
		Leaving: e.leaving.Load, Refusing: e.refusing.Load, UsageChanged: e.signalUsageChange,
		ExitAt: func() clock.Instant { return clock.Instant(e.exitAt.Load()) }, Lingering: e.lingering.Load,
	})
}

// askConfirmationShare is the age of the knowledge of the configuration from which this VM asks
// others for theirs, as a fraction of the bound: before it reads the registry again itself.
const askConfirmationShare = 0.4

// needsConfirmation reports whether this VM should ask the other VMs how recent their
// configuration is.
func (e *Edge) needsConfirmation() bool {
	table := e.follower.Table()
	if e.knowledge.Bound == 0 || table == nil || !table.HasTeams() {
		return false
	}
	age, known := e.knowledge.Age(e.now())
	return !known || age > time.Duration(askConfirmationShare*float64(e.knowledge.Bound))
}

// observeKnowledge updates the gauge of the age of the configuration, and logs when requests
// for which a key is needed begin or end to be refused for it.
func (e *Edge) observeKnowledge(now clock.Instant) {
	table := e.follower.Table()
	if e.knowledge.Bound == 0 || table == nil || !table.HasTeams() {
		return
	}
	age, known := e.knowledge.Age(now)
	e.metrics.Scope.Gauge("configuration_age_seconds").Update(age.Seconds())
	if outdated := !e.knowledge.Permits(now); outdated != e.outdated {
		e.outdated = outdated
		e.log.Warn("configuration may be out of date: requests of teams are refused", "refused", outdated, "age", age, "known", known, "version", table.Version, "bound", e.knowledge.Bound)
	}
}

// applyRecord applies a record of another VM.
func (e *Edge) applyRecord(r record) {
	switch r.Kind {
	case gossip.KindEvidence, gossip.KindQuarantine:
		e.quarantine.ApplyRecord(r)
	case gossip.KindRequestLimit:
		e.limits.ApplyRecord(r)
	case gossip.KindBrittle:
		e.brittle.ApplyRecord(r)
	case gossip.KindStreams, gossip.KindSoftwareVersions:
		e.streams.ApplyRecord(r)
	default:
		e.follower.ApplyRecord(r)
	}
}

// followsServers reports whether this VM learns of changes of the servers: from the
// registry, or from VMs that read it on its behalf. One that reaches none of the others
// may miss what these know.
func (e *Edge) followsServers() bool {
	return (e.follower.ReadsServers() || e.mesh.RegistryCovered()) && (e.mesh.ReachesAny() || len(e.mesh.Members()) == 0)
}

// unseenVersions returns where streams may have begun of which this VM doesn't know yet.
func (e *Edge) unseenVersions(ctx context.Context) ([]resume.Origin, error) {
	changes, err := e.follower.UnseenServers(ctx)
	if err != nil {
		return nil, err
	}
	var origins []resume.Origin
	for _, c := range changes {
		if c.Server != nil {
			origins = append(origins, resume.Origin{Service: c.Server.Service, SoftwareVersion: c.Server.SoftwareVersion})
		}
	}
	return origins, nil
}

// applyRequestLimit sets the request limit of a server, in requests per second, and
// reports whether the server is listed.
func (e *Edge) applyRequestLimit(key roster.ServerKey, perSecond float64) bool {
	s := e.roster.View().Lookup(key.ID)
	if s == nil || s.Key() != key {
		return false
	}
	e.balancer.Load(key).RateLimiter.SetLimit(perSecond)
	return true
}

// isRunning reports whether the process of a server's incarnation still runs. One that
// can't be reached counts as not running, unless this VM has lost most of its links. A
// plain server has no report, so that it counts as running if it accepts connections.
func (e *Edge) isRunning(ctx context.Context, s *roster.Server) bool {
	running := e.answers(ctx, s)
	if lost, others := e.lostLinks(s); !running && lost >= minLostLinks && 2*lost >= others {
		e.log.Info("backend server does not count as crashed: this VM has lost most of its links", "server", s.ID, "service", s.Service, "lost", lost, "others", others)
		return true
	}
	return running
}

// minLostLinks is the minimum number of other servers that a VM doesn't reach if it has lost
// its own links.
const minLostLinks = 3

// lostLinks returns how many of the region's other servers this VM doubts to reach, and
// their number.
func (e *Edge) lostLinks(s *roster.Server) (lost, others int) {
	for _, o := range e.roster.View().All() {
		if o.Region != e.self.Region || o.ID == s.ID {
			continue
		}
		others++
		if e.balancer.Load(o.Key()).Link.Doubtful() {
			lost++
		}
	}
	return lost, others
}

// answers reports whether the process of a server's incarnation answers this VM.
func (e *Edge) answers(ctx context.Context, s *roster.Server) bool {
	service := e.poller.engineService(s)
	if service == nil {
		if err := e.serverPool.Probe(ctx, s.Address); err != nil {
			e.log.Info("backend server accepts no connections after a broken request", "server", s.ID, "service", s.Service, "error", err)
			return false
		}
		return true
	}
	began := e.now()
	report, err := e.adapter.FetchReport(ctx, s)
	if err != nil {
		e.log.Info("engine did not answer after a broken request", "server", s.ID, "service", s.Service, "error", err)
		return false
	}
	return !e.poller.record(service, s, report, began)
}

// usableServers returns the IDs of a service's servers in a region that may receive
// requests, or of all services' if service is "".
func (e *Edge) usableServers(service, region string) []string {
	view := e.roster.View()
	list := view.All()
	if service != "" {
		list = view.Usable(service, region)
	}
	var ids []string
	for _, s := range list {
		if s.Region == region && view.IsUsable(s) {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// serverCount returns the number of known servers of a service.
func (e *Edge) serverCount(service string) int {
	n := 0
	for _, s := range e.roster.View().All() {
		if s.Service == service {
			n++
		}
	}
	return n
}

// engineCount returns the number of known model engines.
func (e *Edge) engineCount() int {
	n := 0
	for _, s := range e.roster.View().All() {
		if e.poller.engineService(s) != nil {
			n++
		}
	}
	return n
}

func (e *Edge) currentConfiguration() (uint64, []byte) {
	if e.follower == nil {
		return 0, nil
	}
	c := e.follower.Current()
	if c == nil {
		return 0, nil
	}
	return c.Table.Version, c.Raw
}

// Run serves until ctx is cancelled and then shuts down gracefully. It applies
// the settings received from reload. Its error is ErrListen, or that of a
// component that failed.
func (e *Edge) Run(ctx context.Context, reload <-chan *Settings) error {
	settings := e.settings.Load()
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(e.limiter.MemoryLimit(settings.MemoryBytes))
	}
	ports, err := listenAll(settings, &e.limiter.Bounds, e.log)
	if err != nil {
		return err
	}
	return e.serve(ctx, ports, reload)
}

// serve runs all components on the listening ports until ctx is cancelled or one
// of them fails.
func (e *Edge) serve(ctx context.Context, ports *ports, reload <-chan *Settings) error {
	settings := e.settings.Load()
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	group, groupCtx := errgroup.WithContext(runCtx)
	callerPort, hopPort, controlPort := e.limiter.Port(callerKind), e.limiter.Port(hopKind(e.limiter.HeaderBytes)), e.limiter.Port(controlKind)
	callers := drain.NewWith(callerPort.Apply(&http.Server{Handler: e.relay.CallerHandler(), ErrorLog: e.httpLog()}), keepAlive, keepAliveMargin)
	hops := drain.NewWith(hopPort.Apply(&http.Server{Handler: e.hopRouter(), ErrorLog: e.httpLog()}), hopKeepAlive, keepAliveMargin)
	group.Go(func() error { return background.CloseWhenDone(groupCtx, callers, hops) })
	group.Go(func() error { return callers.Serve(callerPort.Listener(ports.callers)) })
	group.Go(func() error { return hops.Serve(hopPort.Listener(ports.hops)) })
	for _, s := range e.serveAuxiliary(group, ports) {
		group.Go(func() error { return background.CloseWhenDone(groupCtx, s) })
	}
	group.Go(func() error {
		return background.IgnoreErrorAfterDone(groupCtx, e.mesh.Serve(groupCtx, controlPort.Listener(ports.control)))
	})
	group.Go(func() error { return background.IgnoreErrorAfterDone(groupCtx, e.mesh.Run(groupCtx)) })
	for _, topic := range []discovery.Topic{discovery.Operators, discovery.Servers} {
		group.Go(func() error { return background.IgnoreErrorAfterDone(groupCtx, e.follower.Run(groupCtx, topic)) })
	}
	group.Go(func() error { return background.IgnoreErrorAfterDone(groupCtx, e.poller.run(groupCtx)) })
	group.Go(func() error { return background.IgnoreErrorAfterDone(groupCtx, e.runLoadExchange(groupCtx)) })
	group.Go(func() error { return background.IgnoreErrorAfterDone(groupCtx, e.teamLimits.run(groupCtx)) })
	e.log.Info("started", "vm", e.self.VM, "incarnation", e.self.Incarnation, "region", e.self.Region,
		"failureDomain", e.self.FailureDomain, "callers", settings.CallerListen, "control", settings.ControlListen,
		"hops", settings.HopListen, "operators", settings.OperatorListen, "seeds", settings.Seeds, "capacity", settings.capacity(), "version", version.String())
	e.handleReloads(ctx, groupCtx, reload)
	if groupCtx.Err() != nil {
		err := group.Wait()
		e.log.Error("a component failed, stopping", "error", err)
		return err
	}
	e.shutdown(callers, hops)
	stop()
	err := group.Wait()
	e.log.Info("stopped", "vm", e.self.VM, "incarnation", e.self.Incarnation)
	return err
}

// handleReloads applies changed settings until ctx ends or a component fails.
func (e *Edge) handleReloads(ctx, groupCtx context.Context, reload <-chan *Settings) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-groupCtx.Done():
			return
		case next := <-reload:
			e.reload(next)
		}
	}
}

// reload applies changed seeds and a changed grace time. All other settings
// take effect at the next start.
func (e *Edge) reload(next *Settings) {
	merged := *e.settings.Load()
	merged.Seeds, merged.Grace = next.Seeds, next.Grace
	e.settings.Store(&merged)
	e.mesh.SetSeeds(merged.Seeds)
	e.log.Info("settings reloaded", "seeds", merged.Seeds, "grace", merged.Grace)
}

// registryAge returns the time since the registry's last response, or since the
// start of this process if there was none.
func (e *Edge) registryAge(now clock.Instant) time.Duration {
	return now.Sub(max(e.follower.ConfirmedAt(), e.startedAt))
}

func (e *Edge) updateGauges(now clock.Instant) {
	s := e.metrics.Scope
	e.observeKnowledge(now)
	s.Gauge("members").Update(float64(len(e.mesh.Members())))
	s.Gauge("backend_servers").Update(float64(len(e.roster.View().All())))
	s.Gauge("unreached_servers").Update(float64(len(e.announcedUnreached)))
	starts := e.balancer.TakeSlowStarts(now)
	s.Gauge("slow_start_servers").Update(float64(starts.Servers))
	s.Gauge("slow_start_window").Update(float64(starts.Window))
	s.Counter("slow_start_passed_over").Inc(starts.PassedOver)
	s.Counter("slow_start_beyond").Inc(starts.Beyond)
	s.Gauge("open_server_connections").Update(float64(e.serverPool.OpenConnections()))
	s.Gauge("body_memory_bytes").Update(float64(e.memory.Held()))
	s.Gauge("receive_window_memory_bytes").Update(float64(e.limiter.Windows.Held()))
	s.Gauge("control_memory_bytes").Update(float64(e.limiter.Control.Held()))
	s.Counter("evicted_bodies").Inc(e.memory.TakeEvictions())
	s.Counter("evicted_control_messages").Inc(e.limiter.Control.TakeEvictions())
	s.Gauge("open_hop_connections").Update(float64(e.gatewayPool.OpenConnections()))
	if c := e.follower.Current(); c != nil {
		s.Gauge("configuration_version").Update(float64(c.Table.Version))
		s.Gauge("registry_age_seconds").Update(e.registryAge(now).Seconds())
	}
}

// soundEntries returns this VM and the other VMs, without those that accept requests but
// reach few of their region's servers if another VM there reaches more.
func (e *Edge) soundEntries(self mesh.Member) []mesh.Member {
	all := append([]mesh.Member{self}, e.mesh.Members()...)
	unsound, regions := map[string]bool{}, map[string]bool{}
	for i := range all {
		if !all[i].AcceptsRequests() {
			continue
		}
		if e.reachesMost(&all[i]) {
			regions[all[i].Region] = true
		} else {
			unsound[all[i].VM] = true
		}
	}
	return slices.DeleteFunc(all, func(m mesh.Member) bool { return unsound[m.VM] && regions[m.Region] })
}

// reachesMost reports whether a VM reaches most of its region's servers.
func (e *Edge) reachesMost(m *mesh.Member) bool {
	reach := m.Reach()
	if m.VM == e.self.VM {
		reach = e.mesh.OwnReach()
	}
	return reach.IsComplete() || reach.IsSound(e.usableServers("", m.Region))
}

// entries returns the directory's addresses for a caller. It returns none while
// this VM has never been ready, as it then knows too few of the other VMs.
func (e *Edge) entries(host, region, domain string) []string {
	if !e.ready.Load() && !e.leaving.Load() {
		return nil
	}
	at := callerLocation{region: region, domain: domain}
	if table := e.follower.Table(); table != nil {
		at.homes, at.restricted = table.HomeRegions(host)
	}
	self := mesh.Member{
		Identity: e.self, Addresses: mesh.Addresses{Callers: e.settings.Load().CallerListen},
		Ready: e.ready.Load(), Leaving: e.leaving.Load(), Closing: e.refusing.Load(), Reachable: true,
		Capacity: e.settings.Load().capacity(),
	}
	list, inRegion := selectEntries(e.soundEntries(self), at)
	if !inRegion {
		e.log.Info("directing callers to another region", "host", host, "region", region, "restricted", at.restricted, "homes", at.homes, "entries", list)
	}
	return list
}
