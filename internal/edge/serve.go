package edge

import (
	"encoding/json"
	"log"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutspring/chestnutspring/internal/background"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/listenlimit"
	"github.com/chestnutspring/chestnutspring/internal/logging"
	"github.com/chestnutspring/chestnutspring/internal/mesh"
	"github.com/chestnutspring/chestnutspring/internal/quarantine"
	"github.com/chestnutspring/chestnutspring/internal/relay"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

// The ports and their shares of the connections. The callers' and the hops' are the largest,
// as a hop may follow from each request of a caller.
var (
	callerKind    = listenlimit.Kind{Name: "callers", Share: 0.42, Bodies: true, KeepAlive: keepAlive + keepAliveMargin}
	controlKind   = listenlimit.Kind{Name: "control", Share: 0.08, Messages: true}
	readyKind     = listenlimit.Kind{Name: "ready", Share: 0.02}
	directoryKind = listenlimit.Kind{Name: "directory", Share: 0.06}
	operatorKind  = listenlimit.Kind{Name: "operators", Share: 0.02}
)

// hopKind returns the kind of the port for requests of other VMs, whose header contains that
// of the caller in base64.
func hopKind(headerBytes int) listenlimit.Kind {
	return listenlimit.Kind{Name: "hops", Share: 0.4, Bodies: true, HeaderBytes: 2*headerBytes + 16<<10, KeepAlive: hopKeepAlive + keepAliveMargin}
}

// portKinds returns the kinds of all ports.
func portKinds(headerBytes int) []listenlimit.Kind {
	return []listenlimit.Kind{callerKind, hopKind(headerBytes), controlKind, readyKind, directoryKind, operatorKind}
}

// auxiliaryTimeout bounds the transfer of a request and of its response on the ports for
// readiness, the directory and operators.
const auxiliaryTimeout = 10 * time.Second

type record = gossip.Record

func (e *Edge) hopRouter() http.Handler {
	r := chi.NewRouter()
	r.Method(http.MethodPost, relay.PathHop, e.relay.HopHandler())
	r.Method(http.MethodPost, relay.PathCancelHop, listenlimit.CloseAfterBody(e.relay.CancelHopHandler()))
	r.Method(http.MethodPost, pathQuota, e.teamLimits)
	r.NotFound(listenlimit.CloseAfterBody(http.NotFoundHandler()).ServeHTTP)
	r.MethodNotAllowed(listenlimit.CloseAfterBody(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusMethodNotAllowed)
	})).ServeHTTP)
	return r
}

// serveAuxiliary serves the ports for readiness, the directory and operators.
func (e *Edge) serveAuxiliary(group *errgroup.Group, p *ports) []*http.Server {
	operators := chi.NewRouter()
	operators.Method(http.MethodGet, "/metrics", e.metrics.Handler)
	operators.Get("/state", e.serveState)
	var servers []*http.Server
	for _, s := range []struct {
		listener net.Listener
		kind     listenlimit.Kind
		handler  http.Handler
	}{
		{p.ready, readyKind, e.adapter.ReadyHandler(e.ready.Load)},
		{p.directory, directoryKind, e.adapter.DirectoryHandler(e.entries, min(entryTTL, e.maxDirectoryTTL()))},
		{p.operators, operatorKind, operators},
	} {
		if s.listener == nil {
			continue
		}
		port := e.limiter.Port(s.kind)
		server := port.Apply(&http.Server{
			Handler: listenlimit.CloseAfterBody(s.handler), ReadTimeout: auxiliaryTimeout, WriteTimeout: auxiliaryTimeout, ErrorLog: e.httpLog(),
		})
		servers = append(servers, server)
		group.Go(func() error { return background.IgnoreClosed(server.Serve(port.Listener(s.listener))) })
	}
	return servers
}

// maxDirectoryTTL returns the configured TTL bound, or entryTTL if there is none.
func (e *Edge) maxDirectoryTTL() time.Duration {
	if ttl := e.settings.Load().MaxDirectoryTTL; ttl > 0 {
		return ttl
	}
	return entryTTL
}

// httpLog returns the logger of the HTTP servers.
func (e *Edge) httpLog() *log.Logger { return logging.NewServerLog(e.log) }

// processState is the JSON state dump for operators.
type processState struct {
	VM            string
	Incarnation   string
	Ready         bool
	Leaving       bool
	Configuration uint64
	// Revision is the registry's revision of the configuration, and Era the era of
	// that revision; both are 0 if another VM sent the configuration.
	Revision, Era uint64
	// RegistryAgeMs is the time in milliseconds since the registry last answered,
	// or since the start of the process if it never has.
	RegistryAgeMs int64
	Members       []mesh.Member
	// ConfigurationAgeMs is the time in milliseconds since the configuration was certainly the
	// newest, or -1 if that isn't known.
	ConfigurationAgeMs int64
	Teams              []teamState
	// Quarantine holds the prompt blocks with which requests are refused.
	Quarantine []quarantine.State
	Servers    []serverState
}

// serverState is a backend server in the state dump.
type serverState struct {
	*roster.Server
	// Revision and Era are the parts of the entry's revision.
	Revision, Era uint64
	// Leaving means that the server announced in a response that it leaves, and
	// PausedMs is for how many milliseconds it still wants no requests.
	Leaving  bool
	PausedMs int64
	// RequestLimit is the number of requests per second that the server takes from all
	// VMs together; zero means that it names no limit.
	RequestLimit float64
	// SlowStartWindow is the number of requests in flight that the region's VMs together may have
	// at a server in its slow start; zero means that it is in none.
	SlowStartWindow int
	OwnUsage        any  `json:"Own"`
	PeerUsage       any  `json:"Others"`
	Unresponsive    bool `json:"Lost"`
	BreakerOpen     bool `json:"Open"`
}

// teamState is a team in the state dump.
type teamState struct {
	Name string
	// Keys is the number of keys that the team has.
	Keys        int
	Priority    int
	Limit       ingress.TeamLimit
	HomeRegions []string
	// Usage is the state of the limit at this VM; nil if there is none.
	Usage *limitState `json:",omitempty"`
}

// maxDumpedTeams bounds the teams in the state dump.
const maxDumpedTeams = 5000

// teamStates returns the state of the teams in the order of their names.
func (e *Edge) teamStates(table *ingress.Table, now clock.Instant) []teamState {
	var list []teamState
	_, visit := table.Teams()
	for t := range visit {
		list = append(list, teamState{Name: t.Name, Keys: len(t.Keys), Priority: t.Priority, Limit: t.Limit, HomeRegions: t.HomeRegions})
	}
	slices.SortFunc(list, func(a, b teamState) int { return strings.Compare(a.Name, b.Name) })
	list = list[:min(len(list), maxDumpedTeams)]
	for i := range list {
		list[i].Usage = e.teamLimits.state(list[i].Name, now)
	}
	return list
}

// serveState writes the state dump as JSON.
func (e *Edge) serveState(w http.ResponseWriter, _ *http.Request) {
	now := e.now()
	s := processState{
		VM: e.self.VM, Incarnation: e.self.Incarnation, Ready: e.ready.Load(), Leaving: e.leaving.Load(),
		Members: e.mesh.Members(), Quarantine: e.quarantine.States(now), RegistryAgeMs: e.registryAge(now).Milliseconds(),
	}
	if age, known := e.knowledge.Age(now); known {
		s.ConfigurationAgeMs = age.Milliseconds()
	} else {
		s.ConfigurationAgeMs = -1
	}
	if c := e.follower.Current(); c != nil {
		s.Teams = e.teamStates(c.Table, now)
		s.Configuration, s.Revision, s.Era = c.Table.Version, c.Revision.Number(), c.Revision.Era()
	}
	peerUsage := e.mesh.PeerUsage()
	view := e.roster.View()
	for _, server := range view.All() {
		load := e.balancer.Load(server.Key())
		s.Servers = append(s.Servers, serverState{
			Server: server, Revision: server.Revision.Number(), Era: server.Revision.Era(),
			Leaving: view.Leaving(server), PausedMs: load.Pause.Remaining(now).Milliseconds(), RequestLimit: load.RateLimiter.Limit(), SlowStartWindow: load.Window(now), OwnUsage: load.OwnUsage(now), PeerUsage: peerUsage[server.ID], Unresponsive: load.Link.Lost(), BreakerOpen: load.Breaker.IsOpen(),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(s); err != nil {
		e.log.Warn("writing the state dump failed", "error", err)
	}
}
