package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutspring/chestnutspring/internal/background"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/configwatch"
	"github.com/chestnutspring/chestnutspring/internal/dispatch"
	"github.com/chestnutspring/chestnutspring/internal/drain"
	"github.com/chestnutspring/chestnutspring/internal/filter/route"
	"github.com/chestnutspring/chestnutspring/internal/fleet"
	"github.com/chestnutspring/chestnutspring/internal/forward"
	"github.com/chestnutspring/chestnutspring/internal/limits"
	"github.com/chestnutspring/chestnutspring/internal/listenlimit"
	"github.com/chestnutspring/chestnutspring/internal/membudget"
	"github.com/chestnutspring/chestnutspring/internal/metrics"
	"github.com/chestnutspring/chestnutspring/internal/placement"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/sockets"
	"github.com/chestnutspring/chestnutspring/internal/version"

	bookingfilter "github.com/chestnutspring/chestnutspring/internal/filter/booking"
)

const (
	// bodyTimeout is the maximum time for receiving a whole request.
	bodyTimeout = 60 * time.Second
	// operatorTimeout bounds the transfer of a request and of its response on the operators'
	// port.
	operatorTimeout = 10 * time.Second
	// incarnationBytes is the number of random bytes in an incarnation.
	incarnationBytes = 8
	// drainTimeout is the maximum duration of a shutdown. It is longer than the
	// maximum deadline of a request, so that no request is interrupted.
	drainTimeout = 15 * time.Minute
)

// gateway is a gateway process.
type gateway struct {
	settings  *Settings
	log       *slog.Logger
	now       clock.Clock
	self      snapshot.Identity
	publisher *snapshot.Publisher
	metrics   *metrics.Metrics
	tls       *tlsConfigs
	listeners *listeners
	// clients bounds what clients may hold, and memory the bodies and headers of requests.
	clients *listenlimit.Limiter
	memory  *membudget.Budget

	fleet      *fleet.Fleet
	config     *configwatch.Watcher
	booking    *bookingfilter.Filter
	route      *route.Handler
	backend    *dispatch.Sender
	reconciler *placement.Reconciler
	limiter    *limits.Limiter
}

// Run runs a gateway until ctx ends and then shuts it down gracefully.
func Run(ctx context.Context, settings *Settings, log *slog.Logger) error {
	g, err := newGateway(settings, log)
	if err != nil {
		return err
	}
	// A lower limit in the environment stays in force.
	if memory := settings.MemoryMB << 20; memory > 0 {
		debug.SetMemoryLimit(min(debug.SetMemoryLimit(-1), g.clients.MemoryLimit(memory)))
	}
	return g.run(ctx)
}

func newGateway(settings *Settings, log *slog.Logger) (*gateway, error) {
	g := &gateway{settings: settings, now: clock.Boot}
	g.self = snapshot.Identity{
		VM: settings.VM, Incarnation: newIncarnation(),
		Region: settings.Region, FailureDomain: settings.FailureDomain,
	}
	g.log = log.With("vm", g.self.VM)
	g.publisher = snapshot.NewPublisher(g.self)
	g.metrics = metrics.New()
	bounds := clientBounds(settings)
	g.memory = membudget.New(bounds.PendingBytes)
	g.clients = listenlimit.New(bounds, g.memory, g.log, g.metrics.Scope)
	var err error
	if g.tls, err = loadTLS(settings); err != nil {
		return nil, err
	}
	if g.listeners, err = listen(settings, &bounds); err != nil {
		return nil, err
	}
	g.assemble()
	return g, nil
}

func newIncarnation() string {
	random := make([]byte, incarnationBytes)
	// rand.Read never returns an error.
	_, _ = rand.Read(random)
	return hex.EncodeToString(random)
}

// assemble creates the components that need the listeners' addresses.
func (g *gateway) assemble() {
	reader := published.NewClient(g.settings.Platform)
	g.fleet = fleet.New(fleet.Config{
		Self:           g.self,
		CallerAddress:  g.listeners.callers.Addr().String(),
		ForwardAddress: g.listeners.forward.Addr().String(),
		ControlAddress: g.listeners.control.Addr().String(),
		Publisher:      g.publisher,
		Reader:         reader,
		Seeds:          g.settings.Peers,
		ServerTLS:      g.tls.peerServer,
		ClientTLS:      g.tls.peerClient,
		Now:            g.now,
		Log:            g.log,
		Scope:          g.metrics.Scope,
		Memory:         g.clients.Control,
	})
	g.config = configwatch.New(configwatch.Config{
		Self: g.self, Reader: reader, Peers: g.fleet, Publisher: g.publisher,
		Now: g.now, Log: g.log, Scope: g.metrics.Scope, IsWatcher: g.fleet.IsWatcher,
	})
	g.fleet.SetConfigSource(g.config)
	g.limiter = limits.NewLimiter(g.now)
	g.fleet.SetDemand(g.limiter)
	g.reconciler = g.newReconciler(reader)
}

// listeners are the four open ports.
type listeners struct {
	callers, forward, control, operators net.Listener
}

func listen(settings *Settings, bounds *listenlimit.Bounds) (*listeners, error) {
	l := &listeners{}
	ports := []struct {
		address string
		into    *net.Listener
		kind    listenlimit.Kind
	}{
		{settings.CallerListen, &l.callers, callerKind},
		{settings.ForwardListen, &l.forward, forwardKind},
		{settings.ControlListen, &l.control, controlKind},
		{settings.OperatorListen, &l.operators, operatorKind},
	}
	for _, p := range ports {
		listener, err := sockets.Listen(p.address, bounds.Buffers(p.kind))
		if err != nil {
			return nil, ErrListen.Wrap(err, "%s", p.address)
		}
		*p.into = listener
	}
	return l, nil
}

// run serves requests until ctx ends and then shuts down gracefully. If a
// component fails, it returns the error without draining.
func (g *gateway) run(ctx context.Context) error {
	handlers := g.handlers()
	callerPort, forwardPort := g.clients.Port(callerKind), g.clients.Port(forwardKind)
	controlPort, operatorPort := g.clients.Port(controlKind), g.clients.Port(operatorKind)
	callers := drain.New(callerPort.Apply(&http.Server{
		Handler: handlers.callers, ReadTimeout: g.clients.BodyTimeout, TLSConfig: g.tls.callers, ErrorLog: g.httpLog(),
	}))
	forwards := forwardPort.Apply(&http.Server{
		Handler:   handlers.forward,
		TLSConfig: g.tls.peerServer, Protocols: forwardProtocols(g.tls.peerServer != nil), HTTP2: forward.ServerHTTP2(), ErrorLog: g.httpLog(),
	})
	// Other gateways keep idle connections open for the next request.
	forwards.IdleTimeout = 0
	operators := operatorPort.Apply(&http.Server{
		Handler: listenlimit.CloseAfterBody(handlers.operators), ReadTimeout: operatorTimeout, WriteTimeout: operatorTimeout, ErrorLog: g.httpLog(),
	})

	backgroundCtx, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	group, groupCtx := errgroup.WithContext(backgroundCtx)
	group.Go(func() error { return background.CloseWhenDone(groupCtx, callers, forwards, operators) })
	group.Go(func() error { return callers.Serve(callerPort.Listener(g.listeners.callers)) })
	group.Go(func() error { return serveForward(forwards, forwardPort.Listener(g.listeners.forward)) })
	group.Go(func() error {
		return background.IgnoreClosed(operators.Serve(operatorPort.Listener(g.listeners.operators)))
	})
	group.Go(func() error {
		return background.IgnoreErrorAfterDone(groupCtx, g.fleet.Serve(groupCtx, controlPort.Listener(g.listeners.control)))
	})
	group.Go(func() error { return background.IgnoreErrorAfterDone(groupCtx, g.fleet.Run(groupCtx)) })
	group.Go(func() error { return background.IgnoreErrorAfterDone(groupCtx, g.config.Run(groupCtx)) })
	group.Go(func() error { return background.IgnoreErrorAfterDone(groupCtx, g.reconciler.Run(groupCtx)) })
	group.Go(func() error { return background.IgnoreErrorAfterDone(groupCtx, g.backend.Run(groupCtx)) })
	g.log.Info("listening",
		"caller", g.listeners.callers.Addr(), "forward", g.listeners.forward.Addr(),
		"control", g.listeners.control.Addr(), "operator", g.listeners.operators.Addr(),
		"incarnation", g.self.Incarnation, "region", g.self.Region,
		"failureDomain", g.self.FailureDomain, "version", version.String())

	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
		err := group.Wait()
		g.log.Error("a component failed, stopping", "error", err)
		return err
	}
	err := g.shutdown(callers, forwards)
	_ = operators.Close()
	stopBackground()
	return errorx.DecorateMany("shutdown", err, group.Wait())
}

// shutdown announces that this VM is leaving, keeps accepting requests for the
// linger time, and then drains the requests in flight.
func (g *gateway) shutdown(callers *drain.Server, forward *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	g.log.Info("shutting down", "linger", g.settings.Linger)
	g.fleet.Leave(ctx)
	time.Sleep(g.settings.Linger)
	if err := callers.Drain(ctx); err != nil {
		return err
	}
	if err := forward.Shutdown(ctx); err != nil {
		return err
	}
	g.log.Info("drained")
	return nil
}
