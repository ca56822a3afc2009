package route

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// fixture is a handler in a fleet of two regions. Its senders are functions.
type fixture struct {
	*Handler
	publisher *snapshot.Publisher
	now       clock.Clock

	mu sync.Mutex
	// sent names the backend servers and gateways to which requests were sent.
	sent    []string
	backend func(ctx context.Context, server string, w pipeline.Response) *verdict.Refusal
	peer    func(ctx context.Context, vm string, w pipeline.Response) *verdict.Refusal
}

func (f *fixture) SendBackend(ctx context.Context, _ *pipeline.Request, s *objects.BackendServer, w pipeline.Response) *verdict.Refusal {
	f.recordSend(s.Name)
	return f.backend(ctx, s.Name, w)
}

func (f *fixture) SendPeer(ctx context.Context, _ *pipeline.Request, _ pipeline.Hop, to *snapshot.Member, w pipeline.Response) *verdict.Refusal {
	f.recordSend(to.VM)
	return f.peer(ctx, to.VM, w)
}

func (f *fixture) recordSend(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, name)
}

func (f *fixture) sentTo() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.sent...)
}

// newFixture returns a fixture for a gateway in region a with the service desk.
// Region a has the backend servers a1 and a2, region b has b1 and a second
// gateway. change, unless nil, edits the configuration.
func newFixture(change func(*objects.Set)) *fixture {
	set := objects.NewSet()
	set.Revision = 7
	for _, name := range []string{"a", "b"} {
		other := map[string]string{"a": "b", "b": "a"}[name]
		set.Regions[name] = &objects.Region{Name: name, Spec: objects.RegionSpec{
			Links: []objects.Link{{To: other, Delay: objects.Duration(80 * time.Millisecond), MegabitsPerSecond: 1000}}}}
		set.FailureDomains[name+"-x"] = &objects.FailureDomain{Name: name + "-x", Spec: objects.FailureDomainSpec{Region: name}}
	}
	for name, domain := range map[string]string{"a1": "a-x", "a2": "a-x", "b1": "b-x"} {
		set.BackendServers[name] = &objects.BackendServer{Name: name, Spec: objects.BackendServerSpec{
			FailureDomain: domain, Service: "desk", Concurrency: 2}}
	}
	set.Services["desk"] = &objects.Service{Name: "desk", Spec: objects.ServiceSpec{Calls: []objects.Call{{Seconds: 0.1}}}}
	set.Routes["desk"] = &objects.Route{Name: "desk", Spec: objects.RouteSpec{Service: "desk", Policy: "policy"}}
	set.Policies["policy"] = &objects.Policy{Name: "policy", Spec: objects.PolicySpec{
		Algorithm: objects.AlgorithmExpectedCompletion, RetryBudget: 0.1,
		MaxConfigAge: objects.Duration(time.Minute), MaxQueue: objects.Duration(time.Second)}}
	set.Teams["team"] = &objects.Team{Name: "team", Spec: objects.TeamSpec{Home: "a"}}
	if change != nil {
		change(set)
	}
	set.Index()
	f := &fixture{now: clock.Synthetic()}
	f.publisher = snapshot.NewPublisher(snapshot.Identity{VM: "gw-a", Region: "a", FailureDomain: "a-x"})
	f.publisher.Update(func(s *snapshot.Snapshot) {
		s.Config, s.ConfigConfirmedAt, s.ConfigUnconfirmed = set, f.now(), false
		s.BackendsUpdatedAt = f.now().Add(time.Hour)
		s.Backends = f.statuses()
		s.Members = map[string]*snapshot.Member{
			"gw-b": {Identity: snapshot.Identity{VM: "gw-b", Region: "b"}, Reachable: true}}
	})
	f.Handler = New(Config{Backend: f, Peer: f, Publisher: f.publisher, Now: f.now, Scope: tally.NoopScope,
		Random: func() uint64 { return 4 }})
	f.backend = func(_ context.Context, _ string, w pipeline.Response) *verdict.Refusal { return answer(w) }
	f.peer = func(_ context.Context, _ string, w pipeline.Response) *verdict.Refusal { return answer(w) }
	return f
}

// statuses returns fresh statuses of the backend servers of region a, of which
// those named are leaving.
func (f *fixture) statuses(leaving ...string) map[string]*snapshot.BackendStatus {
	out := map[string]*snapshot.BackendStatus{}
	for _, name := range []string{"a1", "a2"} {
		out[name] = &snapshot.BackendStatus{Healthy: true, ConfirmedAt: f.now().Add(time.Hour), Leaving: slices.Contains(leaving, name)}
	}
	return out
}

func answer(w pipeline.Response) *verdict.Refusal {
	w.Start(pipeline.Head{Status: http.StatusOK})
	_, _ = w.Write([]byte("answer"))
	return nil
}

func (f *fixture) request(idempotent bool) *pipeline.Request {
	s := f.publisher.Load()
	return &pipeline.Request{
		ID: "1", Snapshot: s, Hop: pipeline.HopEntry, Team: "team", Target: "desk", Idempotent: idempotent,
		Service: s.Config.Services["desk"], Call: &s.Config.Services["desk"].Spec.Calls[0],
		Deadline: f.now().Add(10 * time.Second),
	}
}

// response records the response to a request.
type response struct {
	started int
	body    string
}

func (r *response) Start(pipeline.Head)         { r.started++ }
func (r *response) Write(p []byte) (int, error) { r.body += string(p); return len(p), nil }
func (r *response) Flush()                      {}
func (r *response) Started() bool               { return r.started > 0 }
func overloaded() *verdict.Refusal              { return verdict.Busy(verdict.CodeOverloaded, "full", time.Second) }
func failed() *verdict.Refusal                  { return verdict.Ambiguous(verdict.CodeBackendFailed, "failed", 0) }
func (f *fixture) handle(req *pipeline.Request) (*verdict.Refusal, *response) {
	w := &response{}
	return f.Handle(context.Background(), req, w), w
}

func TestBookingIsRetriedOnlyAfterNotRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(nil)
	f.backend = func(_ context.Context, _ string, w pipeline.Response) *verdict.Refusal {
		if len(f.sentTo()) == 1 {
			return overloaded()
		}
		return failed()
	}
	refusal, _ := f.handle(f.request(false))
	is.Equal(refusal.Verdict, verdict.MayHaveRun)
	is.Equal(len(f.sentTo()), 2) // retried after not-run, but not after may-have-run
	is.True(f.sentTo()[0] != f.sentTo()[1])
}

func TestIdempotentRequestIsRetriedAfterFailure(t *testing.T) {
	is := is.New(t)
	f := newFixture(nil)
	f.backend = func(_ context.Context, _ string, w pipeline.Response) *verdict.Refusal {
		if len(f.sentTo()) == 1 {
			return failed()
		}
		return answer(w)
	}
	refusal, w := f.handle(f.request(true))
	is.True(refusal == nil)
	is.Equal(w.body, "answer")
	is.Equal(len(f.sentTo()), 2)
}

func TestNoRetryAfterResponseStarted(t *testing.T) {
	is := is.New(t)
	f := newFixture(nil)
	f.backend = func(_ context.Context, _ string, w pipeline.Response) *verdict.Refusal {
		_ = answer(w)
		return verdict.Ambiguous(verdict.CodeAnswerCut, "response interrupted", 0)
	}
	refusal, w := f.handle(f.request(true))
	is.Equal(refusal.Code, verdict.CodeAnswerCut)
	is.Equal(len(f.sentTo()), 1)
	is.Equal(w.started, 1)
}

func TestRetriesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	f := newFixture(nil)
	f.backend = func(context.Context, string, pipeline.Response) *verdict.Refusal { return overloaded() }
	const requests = 200
	for range requests {
		_, _ = f.handle(f.request(true))
	}
	is.True(len(f.sentTo()) <= requests+requests/10+3) // 10 % plus the initial budget
}

func TestRequestIsSentToAnotherRegionAtMostOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(nil)
	f.publisher.Update(func(s *snapshot.Snapshot) {
		s.Backends = f.statuses("a1", "a2")
	})
	f.peer = func(context.Context, string, pipeline.Response) *verdict.Refusal { return overloaded() }
	refusal, _ := f.handle(f.request(true))
	is.Equal(refusal.Verdict, verdict.NotRun)
	is.Equal(f.sentTo(), []string{"gw-b"})

	req := f.request(true)
	req.Hop = pipeline.HopRegion
	refusal, _ = f.handle(req)
	is.Equal(refusal.Verdict, verdict.NotRun)
	is.True(refusal.RetryAfter > 0)
	is.Equal(len(f.sentTo()), 1) // a request from another region is not sent on to a further region
}

func TestNoHopOnStaleConfigurationOrAgainstResidency(t *testing.T) {
	markServersLeaving := func(f *fixture) {
		f.publisher.Update(func(s *snapshot.Snapshot) {
			s.Backends = f.statuses("a1", "a2")
		})
	}
	withResidency := func(set *objects.Set) {
		set.ResidencyRules["a-only"] = &objects.ResidencyRule{Spec: objects.ResidencyRuleSpec{Regions: []string{"a"}}}
		set.Teams["team"].Spec.Residency = "a-only"
	}
	t.Run("stale configuration", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(nil)
		markServersLeaving(f)
		f.publisher.Update(func(s *snapshot.Snapshot) { s.ConfigConfirmedAt = f.now().Add(-time.Minute - time.Second) })
		refusal, _ := f.handle(f.request(true))
		is.Equal(refusal.Verdict, verdict.NotRun)
		is.Equal(len(f.sentTo()), 0)
	})
	t.Run("team with residency rule", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(withResidency)
		markServersLeaving(f)
		_, _ = f.handle(f.request(true))
		is.Equal(len(f.sentTo()), 0)
	})
	t.Run("residency rule tightened after the request arrived", func(t *testing.T) {
		is := is.New(t)
		f, after := newFixture(nil), newFixture(withResidency)
		markServersLeaving(f)
		req := f.request(true)
		f.publisher.Update(func(s *snapshot.Snapshot) { s.Config = after.publisher.Load().Config })
		refusal, _ := f.handle(req)
		is.Equal(refusal.Verdict, verdict.NotRun)
		is.Equal(len(f.sentTo()), 0)
	})
}

func TestQueuedRequestUsesNewestSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(nil)
		f.publisher.Update(func(s *snapshot.Snapshot) { s.Members = nil })
		release := make(chan struct{})
		f.backend = func(_ context.Context, _ string, w pipeline.Response) *verdict.Refusal {
			<-release
			return answer(w)
		}
		var wg sync.WaitGroup
		for range 5 { // four slots and one queued request
			wg.Go(func() { _, _ = f.handle(f.request(true)) })
		}
		synctest.Wait()
		is.Equal(len(f.sentTo()), 4)
		f.publisher.Update(func(s *snapshot.Snapshot) {
			s.Backends = f.statuses("a1")
		})
		close(release)
		wg.Wait()
		is.Equal(f.sentTo()[4], "a2") // a1 is leaving by then
	})
}

func TestHedgeUsesFirstResponseAndCancelsTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(func(set *objects.Set) {
			set.Policies["policy"].Spec.HedgeAfter = objects.Duration(500 * time.Millisecond)
		})
		cancelled := make(chan string, 1)
		f.backend = func(ctx context.Context, server string, w pipeline.Response) *verdict.Refusal {
			w.Start(pipeline.Head{Status: http.StatusOK}) // headers alone do not start the response
			if len(f.sentTo()) == 1 {
				<-ctx.Done()
				cancelled <- server
				return verdict.Ambiguous(verdict.CodeCancelled, "cancelled", 0)
			}
			_, _ = w.Write([]byte(server))
			return nil
		}
		start := time.Now()
		refusal, w := f.handle(f.request(true))
		is.True(refusal == nil)
		is.Equal(w.started, 1)
		is.Equal(w.body, f.sentTo()[1])
		is.Equal(<-cancelled, f.sentTo()[0])
		is.Equal(time.Since(start), 500*time.Millisecond)
		is.Equal(len(f.sentTo()), 2)
	})
}

func TestBookingIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(func(set *objects.Set) {
			set.Policies["policy"].Spec.HedgeAfter = objects.Duration(500 * time.Millisecond)
		})
		f.backend = func(_ context.Context, _ string, w pipeline.Response) *verdict.Refusal {
			time.Sleep(5 * time.Second)
			return answer(w)
		}
		refusal, _ := f.handle(f.request(false))
		is.True(refusal == nil)
		is.Equal(len(f.sentTo()), 1)
	})
}

func TestRequestThatCannotFinishInTimeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(nil)
		f.publisher.Update(func(s *snapshot.Snapshot) { s.Members = nil })
		req := f.request(true)
		req.Deadline = f.now().Add(20 * time.Millisecond) // a call takes 100 ms
		start := time.Now()
		refusal, _ := f.handle(req)
		is.Equal(refusal.Verdict, verdict.NotRun)
		is.True(refusal.RetryAfter > 0)
		is.Equal(time.Since(start), time.Duration(0))
		is.Equal(len(f.sentTo()), 0)
	})
}

// A non-streaming response has its first byte at its end, so a server that is
// working on one must not count as stalled.
func TestCompleteResponseIsNoStall(t *testing.T) {
	for _, stream := range []bool{true, false} {
		is := is.New(t)
		f := newFixture(func(set *objects.Set) { set.Models["desk"] = &objects.Model{Name: "desk"} })
		var stalled time.Duration
		f.backend = func(_ context.Context, server string, w pipeline.Response) *verdict.Refusal {
			stalled = f.records.Server(server).StalledFor(f.now().Add(3 * time.Second))
			return answer(w)
		}
		req := f.request(true)
		req.Model, req.Chat.Stream = f.publisher.Load().Config.Models["desk"], stream
		refusal, _ := f.handle(req)
		is.True(refusal == nil)
		is.Equal(stalled > 0, stream)
	}
}
