package edge

import (
	"encoding/json"
	"log"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutspring/chestnutspring/internal/background"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/mesh"
	"github.com/chestnutspring/chestnutspring/internal/relay"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

// maxHopHeaderBytes bounds the header of a request from another VM, which
// holds the caller's header in base64.
const maxHopHeaderBytes = 2*maxHeaderBytes + 16<<10

type record = gossip.Record

func (e *Edge) callerServer() *http.Server {
	return &http.Server{
		Handler: e.relay.CallerHandler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: e.httpLog(),
	}
}

func (e *Edge) hopRouter() http.Handler {
	r := chi.NewRouter()
	r.Method(http.MethodPost, relay.PathHop, e.relay.HopHandler())
	return r
}

// serveSmall serves readiness, the directory and the operators.
func (e *Edge) serveSmall(group *errgroup.Group, p *ports) []*http.Server {
	operators := chi.NewRouter()
	operators.Method(http.MethodGet, "/metrics", e.metrics.Handler)
	operators.Get("/state", e.dump)
	var servers []*http.Server
	for _, s := range []struct {
		listener net.Listener
		handler  http.Handler
	}{
		{p.ready, e.adapter.ReadyHandler(e.ready.Load)},
		{p.directory, e.adapter.DirectoryHandler(e.entries, min(entryTTL, e.ttlBound()))},
		{p.operators, operators},
	} {
		if s.listener == nil {
			continue
		}
		server := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: time.Minute, ErrorLog: e.httpLog()}
		servers = append(servers, server)
		group.Go(func() error { return background.IgnoreClosed(server.Serve(s.listener)) })
	}
	return servers
}

func (e *Edge) ttlBound() time.Duration {
	if ttl := e.settings.Load().MaxDirectoryTTL; ttl > 0 {
		return ttl
	}
	return entryTTL
}

// httpLog passes the HTTP servers' own messages on as debug lines: they tell
// of callers that broke off.
func (e *Edge) httpLog() *log.Logger { return slog.NewLogLogger(e.log.Handler(), slog.LevelDebug) }

// state is what the process believes, for the dump.
type state struct {
	VM            string
	Incarnation   string
	Ready         bool
	Leaving       bool
	Configuration uint64
	Revision      uint64
	// RegistryAgeMs is the time since the registry last answered.
	RegistryAgeMs int64
	Members       []mesh.Member
	Servers       []serverState
}

type serverState struct {
	*roster.Server
	Own    any
	Others any
	Lost   bool
	Open   bool
}

// dump answers with what the process believes, as JSON.
func (e *Edge) dump(w http.ResponseWriter, _ *http.Request) {
	now := e.now()
	s := state{
		VM: e.self.VM, Incarnation: e.self.Incarnation, Ready: e.ready.Load(), Leaving: e.leaving.Load(),
		Members: e.mesh.Members(), RegistryAgeMs: now.Sub(e.follower.ConfirmedAt()).Milliseconds(),
	}
	if c := e.follower.Current(); c != nil {
		s.Configuration, s.Revision = c.Table.Version, c.Revision
	}
	others := e.mesh.Usages()
	for _, server := range e.roster.View().All() {
		load := e.balancer.Load(server.Key())
		s.Servers = append(s.Servers, serverState{
			Server: server, Own: load.OwnUsage(now), Others: others[server.ID], Lost: load.Unresponsive(), Open: load.Breaker.IsOpen(),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(s); err != nil {
		e.log.Warn("dump not written", "error", err)
	}
}
