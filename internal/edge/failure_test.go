package edge

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/discovery"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/relay"
	"github.com/chestnutspring/chestnutspring/internal/revision"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

// silentAdapter is a platform whose registry is unavailable.
type silentAdapter struct{}

func (silentAdapter) CloseExpired() {}

func (silentAdapter) FetchReport(context.Context, *roster.Server) (Report, error) {
	return Report{}, discovery.ErrUnavailable.New("no server")
}
func (silentAdapter) Registry() discovery.Registry { return silentAdapter{} }
func (silentAdapter) Protocol() relay.Protocol     { return nil }
func (silentAdapter) ReadyHandler(func() bool) http.Handler {
	return http.NotFoundHandler()
}
func (silentAdapter) DirectoryHandler(func(string, string, string) []string, time.Duration) http.Handler {
	return http.NotFoundHandler()
}
func (silentAdapter) List(context.Context, discovery.Topic, time.Duration) ([]discovery.Change, revision.Revision, error) {
	return nil, 0, discovery.ErrUnavailable.New("silent")
}
func (silentAdapter) Watch(context.Context, discovery.Topic, revision.Revision, time.Duration) ([]discovery.Change, revision.Revision, error) {
	return nil, 0, discovery.ErrUnavailable.New("silent")
}
func (silentAdapter) Decode([]byte) (*ingress.Table, error) {
	return nil, discovery.ErrUnavailable.New("silent")
}

// newSilentEdge returns a process on ports chosen by the kernel.
func newSilentEdge() *Edge {
	const anyPort = "127.0.0.1:0"
	return New(&Settings{
		VM: "vm-1", Region: "r", FailureDomain: "d", CallerListen: anyPort, ReadyListen: anyPort, ControlListen: anyPort,
		DirectoryListen: anyPort, HopListen: anyPort, OperatorListen: anyPort, Grace: time.Second,
	}, silentAdapter{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// TestFailedComponentEndsTheProcess covers a listener that fails while the process
// runs: serve must return the error instead of waiting for its other servers.
func TestFailedComponentEndsTheProcess(t *testing.T) {
	is := is.New(t)
	e := newSilentEdge()
	open, err := listenAll(e.settings.Load(), &e.limiter.Bounds, e.log)
	is.NoErr(err)
	done := make(chan error, 1)
	go func() { done <- e.serve(context.Background(), open, nil) }()
	time.Sleep(100 * time.Millisecond)
	_ = open.control.Close()
	select {
	case err := <-done:
		is.True(err != nil)
	case <-time.After(5 * time.Second):
		t.Fatal("the process still runs 5 s after a component failed")
	}
}

func TestRegistryAgeCountsFromTheStartWithoutAnyResponse(t *testing.T) {
	is := is.New(t)
	e := newSilentEdge()
	is.True(e.startedAt > 0)
	is.Equal(e.registryAge(e.startedAt.Add(3*time.Second)), 3*time.Second)
	is.True(clock.Instant(0) == e.follower.ConfirmedAt())
}

// restartedFetcher is a platform on which each engine's process started at started, in
// Unix milliseconds.
type restartedFetcher struct {
	silentAdapter
	started int64
}

func (f restartedFetcher) FetchReport(context.Context, *roster.Server) (Report, error) {
	return Report{Report: balance.Report{Started: f.started}}, nil
}

// Guards against FAILBACK on levendula-szov (issue 42): the check after a broken request
// found that its server had started again under its ID, and the server was still used as
// a warm one until the next poll.
func TestServerFoundRestartedAfterBrokenRequestIsCold(t *testing.T) {
	is := is.New(t)
	e := newSilentEdge()
	e.adapter = restartedFetcher{started: 2000}
	service := &ingress.Service{Name: "writer", Engine: &ingress.Engine{Slots: 4}, ColdRequestsPerSecond: 2.5, ColdPeriod: time.Minute}
	table := ingress.NewTable(1, nil, []*ingress.Service{service}, ingress.Limits{})
	e.poller.table = func() *ingress.Table { return table }
	e.roster.Put(roster.Entry{ID: "i-1", Service: "writer", Address: "10.0.0.1:1", FailureDomain: "d", Region: "r", Slots: 4, Started: 1000}, 1, roster.Event, e.now())
	s := e.roster.View().Lookup("i-1")
	is.True(e.balancer.TakeFromColdRate(service, s, e.balancer.Load(s.Key()), e.roster.View(), e.now())) // warm
	is.Equal(e.isRunning(t.Context(), s), false)
	is.Equal(e.balancer.TakeFromColdRate(service, s, e.balancer.Load(s.Key()), e.roster.View(), e.now()), false) // the service allows none
}

// Guards against a quarantine of requests that crashed no server: a VM that had lost its
// links took all servers for crashed (seen in the plays of issue 42).
func TestServersOutOfReachAreNotCrashed(t *testing.T) {
	for name, test := range map[string]struct {
		lost    int
		running bool
	}{"only this one": {0, false}, "two others": {2, false}, "half of the others": {4, true}, "all others": {8, true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newSilentEdge()
			table := ingress.NewTable(1, nil, []*ingress.Service{{Name: "writer", Engine: &ingress.Engine{Slots: 4}}}, ingress.Limits{})
			e.poller.table = func() *ingress.Table { return table }
			for n := range 9 {
				e.roster.Put(roster.Entry{ID: fmt.Sprint("i-", n), Service: "writer", Address: "10.0.0.1:1", FailureDomain: "d", Region: "r", Slots: 4, Started: 1000}, revision.Revision(n+1), roster.Event, e.now())
			}
			for n := range test.lost {
				e.balancer.Load(roster.ServerKey{ID: fmt.Sprint("i-", n+1), Started: 1000}).Link.RecordPoll(false, e.now())
			}
			is.Equal(e.isRunning(t.Context(), e.roster.View().Lookup("i-0")), test.running)
		})
	}
}
