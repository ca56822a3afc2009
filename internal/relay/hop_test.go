package relay

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/upstream"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// discardResponse implements pipeline.Response and discards what is written.
type discardResponse struct{ started bool }

func (d *discardResponse) Start(pipeline.Head)         { d.started = true }
func (d *discardResponse) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardResponse) Flush()                      {}
func (d *discardResponse) Started() bool               { return d.started }

// anyProtocol implements Protocol with messages that have no fields.
type anyProtocol struct{}

func (anyProtocol) Accept(*http.Request, clock.Instant) (*Request, error) { return &Request{}, nil }
func (anyProtocol) Outbound(*Request, Outbound) http.Header               { return http.Header{} }
func (anyProtocol) Inbound(int, http.Header) Inbound                      { return Inbound{} }
func (anyProtocol) Demand(http.Header) balance.Demand                     { return balance.Demand{} }
func (anyProtocol) Key(h http.Header) string                              { return h.Get("Authorization") }
func (anyProtocol) SetTeam(h http.Header, _ string)                       { h.Del("Authorization") }

// hopTransaction returns a transaction of a route with the maximum number of
// attempts.
func hopTransaction(maxAttempts int) *transaction {
	r := New(Config{
		VM: "vm-1", Protocol: anyProtocol{}, Now: clock.Boot, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Metrics: NewMetrics(tally.NoopScope), Table: func() *ingress.Table { return nil }, GatewayPool: upstream.NewPool(clock.Boot, time.Second),
	})
	return &transaction{
		Relay: r, req: &Request{ID: "q", Method: http.MethodPost, Target: "/", Header: http.Header{}}, w: &discardResponse{},
		route:   &ingress.Route{Kind: ingress.Stream, Resumable: true, MaxAttempts: maxAttempts},
		table:   ingress.NewTable(7, nil, nil, ingress.Limits{}),
		service: &ingress.Service{Name: "writer"}, deadline: clock.Boot().Add(5 * time.Second),
	}
}

// onePeer implements Peers with one VM in each other region.
type onePeer struct{ address string }

func (p onePeer) PickMember(string, string, string) (vm, address string) { return "vm-2", p.address }
func (p onePeer) PrefillCoordinator(string, string) (vm, address string) { return "", "" }
func (p onePeer) Avoid(string, string)                                   {}
func (p onePeer) ActiveVMs() int                                         { return 2 }
func (p onePeer) KnowsFleet() bool                                       { return true }

// Guards against requests that fail although attempts are left: a region in which a
// server failed may be used again, but not one whose VM was lost.
func TestRegionIsTriedAgainAfterFailureOfItsServer(t *testing.T) {
	answers := map[string]struct {
		handler http.HandlerFunc
		tried   bool
	}{
		"server failed": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerRan, "1")
			w.Header().Set(wire.HeaderRefusal, encodeRefusal(verdict.Ambiguous(verdict.CodeBackendFailed, "it failed", 0)))
			w.WriteHeader(http.StatusBadGateway)
		}, false},
		"refused": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerRan, "0")
			w.Header().Set(wire.HeaderRefusal, encodeRefusal(verdict.Busy(verdict.CodeOverloaded, "it is full", 0)))
			w.WriteHeader(http.StatusServiceUnavailable)
		}, true},
		"behind": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerRan, "0")
			w.Header().Set(wire.HeaderRefusal, encodeRefusal(verdict.Busy(verdict.CodeRevisionTooOld, "it is behind", 0)))
			w.WriteHeader(http.StatusServiceUnavailable)
		}, false},
		"has no server": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerRan, "0")
			w.Header().Set(wire.HeaderRefusal, encodeRefusal(verdict.Busy(verdict.CodeNoBackend, "it reaches none", 0)))
			w.WriteHeader(http.StatusServiceUnavailable)
		}, false},
		"shuts down": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerRan, "0")
			w.Header().Set(wire.HeaderRefusal, encodeRefusal(verdict.Busy(verdict.CodeShuttingDown, "it ends before", 0)))
			w.WriteHeader(http.StatusServiceUnavailable)
		}, false},
		"broke off": {lostHops["breaks off"], false},
		"lost":      {lostHops["closes"], true},
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := hopTransaction(3)
			server := quietServer(answer.handler)
			defer server.Close()
			x.Peers = onePeer{server.Listener.Addr().String()}
			x.Balancer = balance.New("north", "north-a", balance.Bounds{}, balance.DefaultTuning, oneVM{})
			x.sendToRegion(t.Context(), balance.Plan{Region: "west"})
			is.Equal(len(x.triedRegions) > 0, answer.tried)
			if name == "has no server" { // a second VM has none either
				x.sendToRegion(t.Context(), balance.Plan{Region: "west"})
				is.Equal(len(x.triedRegions), 1)
			}
		})
	}
}

// quietServer returns a running HTTP server that logs nothing.
func quietServer(h http.Handler) *httptest.Server {
	server := httptest.NewUnstartedServer(h)
	server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	server.Start()
	return server
}

// lostHops are the ways in which another VM leaves open how often it ran a request.
var lostHops = map[string]http.HandlerFunc{
	"closes":             func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	"no count":           func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) },
	"refusal unreadable": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(wire.HeaderRefusal, "{") },
	"breaks off": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerRan, "1") // and further servers after the header
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	},
}

// withCancels returns a handler that serves hops with another one, and accepts cancels.
func withCancels(hop http.HandlerFunc) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(PathHop, hop)
	mux.HandleFunc(PathCancelHop, func(http.ResponseWriter, *http.Request) {})
	return mux
}

// Guards against the incident of issue 34 (BUDGET): of a hop that ended without a
// readable count only one run was counted, although the other VM had been allowed
// more, so that the request ran on more servers than its route allows.
func TestRunsGrantedToLostHopCountAsUsed(t *testing.T) {
	for name, handler := range lostHops {
		for maxAttempts := 1; maxAttempts <= 4; maxAttempts++ {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				var granted atomic.Int64
				server := quietServer(withCancels(func(w http.ResponseWriter, r *http.Request) {
					var head hopHead
					data, err := base64.StdEncoding.DecodeString(r.Header.Get(headerHop))
					is.NoErr(err)
					is.NoErr(json.Unmarshal(data, &head))
					granted.Store(int64(head.AttemptsLeft))
					handler(w, r)
				}))
				defer server.Close()
				x := hopTransaction(maxAttempts)
				out := x.sendToVM(t.Context(), balance.Plan{Region: "west"}, "vm-2", server.Listener.Addr().String())
				is.True(!out.delivered)
				is.True(granted.Load() >= 1)
				is.True(int(granted.Load())+max(0, x.attemptsLeft()) <= maxAttempts) // runs granted to the hop and runs left
			})
		}
	}
}

// Guards against review/5 (CONFIG): a VM that stood still handled forwarded requests by
// its older configuration. It waits for the sender's, and refuses if that doesn't come.
func TestHopWaitsForTheConfigurationOfItsSender(t *testing.T) {
	for name, test := range map[string]struct {
		has     uint64
		arrives time.Duration
		refused bool
	}{
		"the same": {has: 7}, "ahead": {has: 9}, "behind": {has: 5, refused: true}, "catches up": {has: 5, arrives: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var table atomic.Pointer[ingress.Table]
			table.Store(ingress.NewTable(test.has, nil, nil, ingress.Limits{}))
			if test.arrives > 0 {
				time.AfterFunc(test.arrives, func() { table.Store(ingress.NewTable(7, nil, nil, ingress.Limits{})) })
			}
			r := New(Config{Now: clock.Boot, Table: table.Load})
			refusal := r.awaitConfiguration(t.Context(), &Request{Configuration: 7, Deadline: clock.Boot().Add(5 * time.Second)})
			is.Equal(refusal != nil, test.refused)
			if refusal != nil {
				is.Equal(refusal.Verdict, verdict.NotRun)
			}
		})
	}
}

// Guards against issue 35: bytes of targets and header fields that aren't UTF-8 were
// replaced in requests that a VM forwarded to another.
func TestHopKeepsBytesThatAreNotUTF8(t *testing.T) {
	for name, text := range map[string]string{
		"ASCII": "plain", "UTF-8": "n\u00e4her \u2026", "Latin-1": "n\xe4her", "any bytes": "\x80\xff\xc3(\xed\xa0\x80", "replacement character": "\ufffd\xff",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := hopTransaction(2)
			x.req.Target, x.req.Path = "/a/"+text+"?q="+text, "/a/"+text
			x.req.Host, x.req.ID, x.lastEventID = "h"+text, "id"+text, text
			x.req.Header = http.Header{"X-Text": {text, "second"}, "Accept": {"*/*"}}
			call := x.hopCall("127.0.0.1:1", "", balance.Plan{}, 1)
			hr := httptest.NewRequest(http.MethodPost, PathHop, nil)
			hr.Header = call.Header
			got, err := x.readHop(httptest.NewRecorder(), hr, nil)
			is.NoErr(err)
			is.Equal(got.Target, x.req.Target)
			is.Equal(got.Path, x.req.Path)
			is.Equal(got.Host, x.req.Host)
			is.Equal(got.ID, x.req.ID)
			is.Equal(got.LastEventID, text)
			is.Equal(got.Header, x.req.Header)
		})
	}
}

func TestHopWithRunesThatAreNoBytesIsMalformed(t *testing.T) {
	is := is.New(t)
	head := hopHead{Target: "/\u0100", BytesAsRunes: true}
	is.True(head.decodeBytes() != nil)
}

// Guards against LOST (issue 42, a report of another operator): a VM that is stopped took
// requests late in its grace time and cut them at the end of it. It still took those of
// other VMs, without regard to their deadlines.
func TestStoppingVMTakesNoHopThatOutlastsIt(t *testing.T) {
	for name, test := range map[string]struct {
		deadline time.Duration
		refused  bool
	}{"ends in time": {deadline: time.Second}, "outlasts it": {deadline: 4 * time.Second, refused: true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := hopTransaction(1)
			table := ingress.NewTable(1, []*ingress.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: time.Minute, TrafficSplit: []ingress.WeightedService{{Service: "writer", Weight: 1}}}}, nil, ingress.Limits{})
			x.Table = func() *ingress.Table { return table }
			x.Peers = onePeer{}
			now := clock.Boot()
			x.ExitAt = func() clock.Instant { return now.Add(2 * time.Second) }
			_, refusal := x.newTransaction(&Request{ID: "q", Host: "h", Path: "/", Entry: "vm-2", Arrived: now, Deadline: now.Add(test.deadline)}, &discardResponse{})
			is.Equal(refusal != nil, test.refused)
			if refusal != nil {
				is.Equal(refusal.Verdict, verdict.NotRun)
				is.Equal(refusal.Code, verdict.CodeShuttingDown)
			}
		})
	}
}
