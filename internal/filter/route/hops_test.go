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

// randomFleet is a fleet with a random topology and one gateway per region.
// Hops between gateways are function calls.
type randomFleet struct {
	t          *rapid.T
	set        *objects.Set
	gateways   map[string]*Handler
	publishers map[string]*snapshot.Publisher
	now        clock.Clock

	idempotent      bool
	hops            int
	servedRegions   []string // regions of the backend servers sent to
	mayHaveRun      bool     // an earlier attempt may have run
	responseStarted bool     // a response has started
}

// drawFleet draws regions, links, backend servers, a policy and residency
// rules.
func drawFleet(t *rapid.T) *randomFleet {
	w := &randomFleet{t: t, set: objects.NewSet(), gateways: map[string]*Handler{},
		publishers: map[string]*snapshot.Publisher{}, now: func() clock.Instant { return clock.Instant(time.Hour) }}
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
		w.addGateway(name, names)
	}
	return w
}

func (w *randomFleet) addGateway(name string, names []string) {
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
	w.publishers[name] = p
	w.gateways[name] = New(Config{Backend: w, Peer: w, Publisher: p, Now: w.now, Scope: tally.NoopScope,
		Random: func() uint64 { return rapid.Uint64().Draw(w.t, "random") }})
}

func (w *randomFleet) SendBackend(_ context.Context, req *pipeline.Request, s *objects.BackendServer, out pipeline.Response) *verdict.Refusal {
	w.checkSendAllowed()
	region := w.set.RegionOf(s.Spec.FailureDomain)
	if region != req.Snapshot.Self.Region {
		w.t.Fatalf("a gateway of %s sent to a backend server of %s", req.Snapshot.Self.Region, region)
	}
	w.servedRegions = append(w.servedRegions, region)
	refusal := w.drawOutcome(out)
	w.mayHaveRun = w.mayHaveRun || refusal == nil || refusal.Verdict != verdict.NotRun
	return refusal
}

// checkSendAllowed fails the test if an earlier outcome forbids another send.
func (w *randomFleet) checkSendAllowed() {
	if w.responseStarted || w.mayHaveRun && !w.idempotent {
		w.t.Fatalf("sent again: response started %v, may have run %v", w.responseStarted, w.mayHaveRun)
	}
}

// drawOutcome draws the outcome of a send to a backend server.
func (w *randomFleet) drawOutcome(out pipeline.Response) *verdict.Refusal {
	switch rapid.IntRange(0, 3).Draw(w.t, "outcome") {
	case 0:
		return verdict.Busy(verdict.CodeOverloaded, "full", time.Second)
	case 1:
		return verdict.Ambiguous(verdict.CodeBackendFailed, "backend failed", time.Second)
	case 2:
		w.responseStarted = true
		out.Start(pipeline.Head{Status: http.StatusOK})
		return verdict.Ambiguous(verdict.CodeAnswerCut, "response interrupted", time.Second)
	default:
		w.responseStarted = true
		out.Start(pipeline.Head{Status: http.StatusOK})
		return nil
	}
}

func (w *randomFleet) SendPeer(ctx context.Context, req *pipeline.Request, hop pipeline.Hop, to *snapshot.Member, out pipeline.Response) *verdict.Refusal {
	w.checkSendAllowed()
	w.hops++
	if hop != pipeline.HopRegion || req.Hop == pipeline.HopRegion {
		w.t.Fatalf("hop %s of a request that arrived by hop %s", hop, req.Hop)
	}
	arrived := *req
	arrived.Hop, arrived.Snapshot = pipeline.HopRegion, w.publishers[to.Region].Load()
	refusal := w.gateways[to.Region].Handle(ctx, &arrived, out)
	if rapid.IntRange(0, 4).Draw(w.t, "response lost") == 0 && !w.responseStarted {
		w.mayHaveRun = true
		return verdict.Ambiguous(verdict.CodeBackendFailed, "the response was lost", time.Second)
	}
	return refusal
}

// On any topology, a request is sent to another region at most once, is served
// only in permitted regions, and is not sent again after an outcome that
// forbids it.
func TestHopsDoNotLoopAndRetriesAreSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawFleet(t)
		entry := rapid.SampledFrom(slices.Sorted(func(yield func(string) bool) {
			for name := range w.gateways {
				if !yield(name) {
					return
				}
			}
		})).Draw(t, "entry")
		s := w.publishers[entry].Load()
		req := &pipeline.Request{
			ID: "1", Snapshot: s, Hop: rapid.SampledFrom([]pipeline.Hop{pipeline.HopEntry, pipeline.HopOwner}).Draw(t, "hop"),
			Team: "team", Target: "desk", Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Service: w.set.Services["desk"], Call: &w.set.Services["desk"].Spec.Calls[0],
			Deadline: w.now().Add(time.Minute),
		}
		w.idempotent = req.Idempotent
		refusal := w.gateways[entry].Handle(context.Background(), req, &response{})
		w.checkResult(entry, refusal)
	})
}

// checkResult checks the hops, the serving regions and the verdict of a request
// that entered at the gateway of the region entry.
func (w *randomFleet) checkResult(entry string, refusal *verdict.Refusal) {
	if w.hops > 1 || w.hops > 0 && w.publishers[entry].Load().ConfigUnconfirmed {
		w.t.Fatalf("%d hops to other regions", w.hops)
	}
	for _, region := range w.servedRegions {
		if !w.set.Permits("team", region) || !w.set.RouteAllows("desk", region) {
			w.t.Fatalf("served in region %s, which is not permitted", region)
		}
	}
	if refusal != nil && refusal.Verdict == verdict.NotRun && w.mayHaveRun {
		w.t.Fatalf("verdict not-run although the request may have run")
	}
	if refusal != nil && refusal.Verdict == verdict.NotRun && refusal.Code != verdict.CodeResidency && refusal.RetryAfter <= 0 {
		w.t.Fatalf("refusal without a retry time: %v", refusal)
	}
}
