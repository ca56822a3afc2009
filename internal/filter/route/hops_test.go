package route

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// world is a fleet on a random topology, one gateway a region. Hops between
// gateways are function calls.
type world struct {
	t        *rapid.T
	set      *objects.Set
	gateways map[string]*Handler
	views    map[string]*snapshot.Publisher
	now      clock.Clock

	idempotent bool
	hops       int
	served     []string // regions of the sends to backend servers
	mayHaveRun bool     // after some outcome so far
	begun      bool     // an answer has begun
}

func drawWorld(t *rapid.T) *world {
	w := &world{t: t, set: objects.NewSet(), gateways: map[string]*Handler{},
		views: map[string]*snapshot.Publisher{}, now: func() clock.Instant { return clock.Instant(time.Hour) }}
	names := []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "regions")]
	w.set.Services["desk"] = &objects.Service{Name: "desk", Spec: objects.ServiceSpec{Calls: []objects.Call{{Seconds: 0.01}}}}
	subset := func(label string) []string {
		return rapid.SliceOfDistinct(rapid.SampledFrom(names), func(s string) string { return s }).Draw(t, label)
	}
	w.set.Routes["desk"] = &objects.Route{Spec: objects.RouteSpec{Service: "desk", Policy: "p", Regions: subset("route")}}
	w.set.Policies["p"] = &objects.Policy{Spec: objects.PolicySpec{
		Algorithm: rapid.SampledFrom([]string{objects.AlgorithmExpectedCompletion, objects.AlgorithmHomeRoundRobin,
			objects.AlgorithmLeastLoad}).Draw(t, "algorithm"),
		RetryBudget: 1, MaxConfigAge: objects.Duration(time.Minute)}}
	w.set.ResidencyRules["rule"] = &objects.ResidencyRule{Spec: objects.ResidencyRuleSpec{Regions: subset("rule")}}
	w.set.Teams["team"] = &objects.Team{Spec: objects.TeamSpec{Residency: rapid.SampledFrom([]string{"", "rule"}).Draw(t, "residency")}}
	for _, name := range names {
		region := &objects.Region{Name: name}
		for _, to := range subset("links") {
			if to != name {
				region.Spec.Links = append(region.Spec.Links, objects.Link{To: to})
			}
		}
		w.set.Regions[name] = region
		w.set.FailureDomains[name] = &objects.FailureDomain{Name: name, Spec: objects.FailureDomainSpec{Region: name}}
		for i := range rapid.IntRange(0, 3).Draw(t, "servers") {
			server := fmt.Sprint(name, i)
			w.set.BackendServers[server] = &objects.BackendServer{Name: server, Spec: objects.BackendServerSpec{
				FailureDomain: name, Service: "desk", Concurrency: 1}}
		}
	}
	w.set.Index()
	for _, name := range names {
		w.add(name, names)
	}
	return w
}

func (w *world) add(name string, names []string) {
	p := snapshot.NewPublisher(snapshot.Identity{VM: name, Region: name, FailureDomain: name})
	fresh := rapid.Bool().Draw(w.t, "fresh")
	p.Update(func(s *snapshot.Snapshot) {
		s.Config, s.ConfigUnconfirmed, s.ConfigConfirmedAt = w.set, !fresh, w.now()
		s.Members, s.Summaries = map[string]*snapshot.Member{}, map[string]map[string]*snapshot.RegionSummary{"desk": {}}
		s.BackendsUpdatedAt, s.Backends = w.now(), map[string]*snapshot.BackendStatus{}
		for server := range w.set.BackendServers {
			s.Backends[server] = &snapshot.BackendStatus{Healthy: true, ConfirmedAt: w.now()}
		}
		for _, other := range names {
			s.Members[other] = &snapshot.Member{Identity: snapshot.Identity{VM: other, Region: other}, Reachable: true}
			if other != name {
				s.Summaries["desk"][other] = &snapshot.RegionSummary{Healthy: 1, Free: 2, ConfirmedAt: w.now()}
			}
		}
	})
	w.views[name] = p
	w.gateways[name] = New(Config{Backend: w, Peer: w, Publisher: p, Now: w.now, Scope: tally.NoopScope,
		Random: func() uint64 { return rapid.Uint64().Draw(w.t, "random") }})
}

func (w *world) SendBackend(_ context.Context, req *pipeline.Request, s *objects.BackendServer, out pipeline.Response) *verdict.Refusal {
	w.sending()
	region := w.set.RegionOf(s.Spec.FailureDomain)
	if region != req.Snapshot.Self.Region {
		w.t.Fatalf("a gateway of %s sent to a backend server of %s", req.Snapshot.Self.Region, region)
	}
	w.served = append(w.served, region)
	refusal := w.outcome(out)
	w.mayHaveRun = w.mayHaveRun || refusal == nil || refusal.Verdict != verdict.NotRun
	return refusal
}

// sending fails the test if the outcomes so far forbid another send.
func (w *world) sending() {
	if w.begun || w.mayHaveRun && !w.idempotent {
		w.t.Fatalf("sent again: begun %v, may have run %v", w.begun, w.mayHaveRun)
	}
}

func (w *world) outcome(out pipeline.Response) *verdict.Refusal {
	switch rapid.IntRange(0, 3).Draw(w.t, "outcome") {
	case 0:
		return verdict.Busy(verdict.CodeOverloaded, "full", time.Second)
	case 1:
		return verdict.Ambiguous(verdict.CodeBackendFailed, "broke", time.Second)
	case 2:
		w.begun = true
		out.Start(pipeline.Head{Status: http.StatusOK})
		return verdict.Ambiguous(verdict.CodeAnswerCut, "cut", time.Second)
	default:
		w.begun = true
		out.Start(pipeline.Head{Status: http.StatusOK})
		return nil
	}
}

func (w *world) SendPeer(ctx context.Context, req *pipeline.Request, hop pipeline.Hop, to *snapshot.Member, out pipeline.Response) *verdict.Refusal {
	w.sending()
	w.hops++
	if hop != pipeline.HopRegion || req.Hop == pipeline.HopRegion {
		w.t.Fatalf("hop %s of a request that came by %s", hop, req.Hop)
	}
	arrived := *req
	arrived.Hop, arrived.Snapshot = pipeline.HopRegion, w.views[to.Region].Load()
	refusal := w.gateways[to.Region].Handle(ctx, &arrived, out)
	if rapid.IntRange(0, 4).Draw(w.t, "answer lost") == 0 && !w.begun {
		w.mayHaveRun = true
		return verdict.Ambiguous(verdict.CodeBackendFailed, "the answer was lost", time.Second)
	}
	return refusal
}

// On any topology a request crosses at most once, is served only in permitted
// regions, and is sent nowhere after an outcome that forbids it.
func TestHopsNeverLoopAndRepeatsAreSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		entry := rapid.SampledFrom(slices.Sorted(func(yield func(string) bool) {
			for name := range w.gateways {
				if !yield(name) {
					return
				}
			}
		})).Draw(t, "entry")
		s := w.views[entry].Load()
		req := &pipeline.Request{
			ID: "1", Snapshot: s, Hop: rapid.SampledFrom([]pipeline.Hop{pipeline.HopEntry, pipeline.HopOwner}).Draw(t, "hop"),
			Team: "team", Target: "desk", Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Service: w.set.Services["desk"], Call: &w.set.Services["desk"].Spec.Calls[0],
			Deadline: w.now().Add(time.Minute),
		}
		w.idempotent = req.Idempotent
		refusal := w.gateways[entry].Handle(context.Background(), req, &response{})
		w.check(entry, refusal)
	})
}

func (w *world) check(entry string, refusal *verdict.Refusal) {
	if w.hops > 1 || w.hops > 0 && w.views[entry].Load().ConfigUnconfirmed {
		w.t.Fatalf("%d hops", w.hops)
	}
	for _, region := range w.served {
		if !w.set.Permits("team", region) || !w.set.RouteAllows("desk", region) {
			w.t.Fatalf("served in %s", region)
		}
	}
	if refusal != nil && refusal.Verdict == verdict.NotRun && w.mayHaveRun {
		w.t.Fatalf("told not-run although it may have run")
	}
	if refusal != nil && refusal.Verdict == verdict.NotRun && refusal.Code != verdict.CodeResidency && refusal.RetryAfter <= 0 {
		w.t.Fatalf("refusal without a time of a useful retry: %v", refusal)
	}
}
