package route

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// The policy tests run handlers against fake engines in fake time. Each
// algorithm gets the same arrivals.

const (
	linkDelay      = 80 * time.Millisecond
	engineSlots    = 8
	tokenTime      = time.Second / 60
	batchSlowdown  = 0.08
	answerTokens   = 100
	reportInterval = time.Second
	runLength      = 30 * time.Second
	longRun        = 2 * time.Minute
	warmUp         = 5 * time.Second
)

// fakeEngine simulates an engine with continuous batching: each additional
// stream slows down all of them.
type fakeEngine struct {
	mu       sync.Mutex
	running  int
	waiting  int
	slowdown float64
	slots    chan struct{}
}

func (e *fakeEngine) serve(ctx context.Context, w pipeline.Response) *verdict.Refusal {
	e.add(0, 1)
	defer e.add(0, -1)
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		return verdict.Ambiguous(verdict.CodeCancelled, "cancelled", time.Second)
	}
	defer func() { <-e.slots }()
	e.add(1, -1)
	defer e.add(-1, 1)
	for left, step := answerTokens, 1; left > 0; left, step = left-step, min(10, left-step) {
		e.mu.Lock()
		slowdown := (1 + batchSlowdown*float64(e.running-1)) * e.slowdown
		e.mu.Unlock()
		select {
		case <-time.After(time.Duration(float64(step) * slowdown * float64(tokenTime))):
		case <-ctx.Done():
			return verdict.Ambiguous(verdict.CodeDeadline, "deadline passed", time.Second)
		}
		if !w.Started() {
			w.Start(pipeline.Head{Status: http.StatusOK})
		}
		if _, err := w.Write([]byte("data: tokens\n\n")); err != nil {
			return verdict.Ambiguous(verdict.CodeAnswerCut, "response interrupted", 0)
		}
	}
	return nil
}

func (e *fakeEngine) add(running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += running
	e.waiting += waiting
}

// simulation is the run of one policy.
type simulation struct {
	start      time.Time
	set        *objects.Set
	now        clock.Clock
	engines    map[string]*fakeEngine
	gateways   map[string]*Handler
	publishers map[string]*snapshot.Publisher

	mu          sync.Mutex
	times       []time.Duration
	otherTimes  []time.Duration // response times of the teams of region a that are not greedy
	late        int
	refused     int
	crossRegion int
	requests    int
}

// scenario is a load together with a fault.
type scenario struct {
	name string
	// load maps each region to its request rate as a fraction of its full
	// capacity.
	load map[string]float64
	// slowdown maps replicas to the factor by which they are slower than usual.
	slowdown map[string]float64
	// missing names replicas that do not exist in this scenario.
	missing []string
	// greedy is the factor by which the first team of region a exceeds its
	// share; zero means 1.
	greedy float64
}

var regions = []string{"a", "b", "c"}

const (
	replicasPerRegion = 4
	teamsPerRegion    = 3
)

func newSimulation(policy objects.PolicySpec, s scenario) *simulation {
	t := &simulation{start: time.Now(), now: clock.Synthetic(), set: objects.NewSet(), engines: map[string]*fakeEngine{},
		gateways: map[string]*Handler{}, publishers: map[string]*snapshot.Publisher{}}
	t.set.Models["m"] = &objects.Model{Name: "m", Spec: objects.ModelSpec{SecondsPerToken: 0.02, SecondsPerPromptToken: 0.0002}}
	t.set.Routes["m"] = &objects.Route{Spec: objects.RouteSpec{Model: "m", Policy: "p"}}
	t.set.Policies["p"] = &objects.Policy{Spec: policy}
	for _, region := range regions {
		var links []objects.Link
		for _, to := range regions {
			if to != region {
				links = append(links, objects.Link{To: to, Delay: objects.Duration(linkDelay), MegabitsPerSecond: 140, CostPerMegabit: 0.05})
			}
		}
		t.set.Regions[region] = &objects.Region{Name: region, Spec: objects.RegionSpec{Links: links}}
		t.set.FailureDomains[region] = &objects.FailureDomain{Name: region, Spec: objects.FailureDomainSpec{Region: region}}
		for i := range teamsPerRegion {
			name := fmt.Sprint("team-", region, i)
			t.set.Teams[name] = &objects.Team{Name: name, Spec: objects.TeamSpec{Home: region}}
		}
		for i := range replicasPerRegion {
			name := fmt.Sprint(region, i)
			if slices.Contains(s.missing, name) {
				continue
			}
			t.set.BackendServers[name] = &objects.BackendServer{Name: name, Spec: objects.BackendServerSpec{
				FailureDomain: region, Model: "m", Concurrency: engineSlots}}
			t.engines[name] = &fakeEngine{slowdown: max(1, s.slowdown[name]), slots: make(chan struct{}, engineSlots)}
		}
	}
	t.set.Index()
	for _, region := range regions {
		for i := range 2 {
			t.addGateway(fmt.Sprint("gw-", region, i), region, uint64(i))
		}
	}
	return t
}

func (t *simulation) addGateway(vm, region string, seed uint64) {
	p := snapshot.NewPublisher(snapshot.Identity{VM: vm, Region: region, FailureDomain: region})
	p.Update(func(s *snapshot.Snapshot) {
		s.Config, s.ConfigUnconfirmed, s.Members = t.set, false, map[string]*snapshot.Member{}
		for _, r := range regions {
			for i := range 2 {
				name := fmt.Sprint("gw-", r, i)
				s.Members[name] = &snapshot.Member{Identity: snapshot.Identity{VM: name, Region: r}, Reachable: true}
			}
		}
	})
	rng := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	random := func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Uint64()
	}
	t.publishers[vm] = p
	t.gateways[vm] = New(Config{Backend: t, Peer: t, Publisher: p, Now: t.now, Scope: tally.NoopScope, Random: random})
}

func (t *simulation) SendBackend(ctx context.Context, _ *pipeline.Request, s *objects.BackendServer, w pipeline.Response) *verdict.Refusal {
	return t.engines[s.Name].serve(ctx, w)
}

func (t *simulation) SendPeer(ctx context.Context, req *pipeline.Request, _ pipeline.Hop, to *snapshot.Member, w pipeline.Response) *verdict.Refusal {
	time.Sleep(linkDelay)
	defer time.Sleep(linkDelay)
	arrived := *req
	arrived.Hop, arrived.Snapshot = pipeline.HopRegion, t.publishers[to.VM].Load()
	refusal := t.gateways[to.VM].Handle(ctx, &arrived, w)
	if refusal == nil {
		t.mu.Lock()
		t.crossRegion++
		t.mu.Unlock()
	}
	return refusal
}

// report publishes the engines' load. Between two reports the published load is
// out of date.
func (t *simulation) report() {
	now := t.now()
	statuses := map[string]map[string]*snapshot.BackendStatus{}
	summaries := map[string]*snapshot.RegionSummary{}
	for _, region := range regions {
		statuses[region] = map[string]*snapshot.BackendStatus{}
		summaries[region] = &snapshot.RegionSummary{Region: region, Target: "m", ConfirmedAt: now}
	}
	for name, e := range t.engines {
		region := name[:1]
		e.mu.Lock()
		b := &snapshot.BackendStatus{Name: name, Healthy: true, ConfirmedAt: now, Running: e.running, Queued: max(0, e.waiting),
			TokensPerSecond: 60 / ((1 + batchSlowdown*float64(max(0, e.running-1))) * e.slowdown)}
		e.mu.Unlock()
		statuses[region][name] = b
		sum := summaries[region]
		sum.Healthy++
		sum.Free += max(0, engineSlots-b.Running-b.Queued)
		sum.Queued += b.Queued
	}
	for _, p := range t.publishers {
		p.Update(func(s *snapshot.Snapshot) {
			s.Backends, s.BackendsUpdatedAt, s.ConfigConfirmedAt = statuses[s.Self.Region], now, now
			s.Summaries = map[string]map[string]*snapshot.RegionSummary{"m": {}}
			for region, sum := range summaries {
				if region != s.Self.Region {
					s.Summaries["m"][region] = sum
				}
			}
		})
	}
}

// fullRate is the rate of requests per second at which all engines of a region
// are fully used.
const fullRate = replicasPerRegion * engineSlots / (answerTokens * (1 + batchSlowdown*(engineSlots-1)) / 60)

func (t *simulation) run(s scenario, length, timeout time.Duration) {
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			t.report()
			time.Sleep(reportInterval)
		}
	})
	var load sync.WaitGroup
	for i, region := range regions {
		for k := range teamsPerRegion {
			load.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(i), uint64(k)))
				rate := fullRate * s.load[region] / teamsPerRegion
				if region == "a" && k == 0 {
					rate *= max(1, s.greedy)
				}
				for start := time.Now(); time.Since(start) < length; {
					time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
					vm, team := fmt.Sprint("gw-", region, rng.IntN(2)), fmt.Sprint("team-", region, k)
					load.Go(func() { t.request(vm, team, timeout) })
				}
			})
		}
	}
	load.Wait()
	stop()
	wg.Wait()
}

func (t *simulation) request(vm, team string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s, start := t.publishers[vm].Load(), time.Now()
	req := &pipeline.Request{Snapshot: s, Hop: pipeline.HopEntry, Team: team, Target: "m", Model: t.set.Models["m"],
		Chat: pipeline.Chat{Stream: true, MaxTokens: answerTokens, PromptTokens: 50}, Idempotent: true, Deadline: t.now().Add(timeout)}
	refusal := t.gateways[vm].Handle(ctx, req, &response{})
	took := time.Since(start)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	if strings.HasPrefix(team, "team-a") && team != "team-a0" && start.Sub(t.start) > warmUp {
		t.otherTimes = append(t.otherTimes, took)
	}
	switch {
	case refusal == nil:
		t.times = append(t.times, took)
	case refusal.Verdict == verdict.NotRun:
		t.refused++
	default:
		t.late++
		t.times = append(t.times, took)
	}
}

// summary holds the results of a simulation.
type summary struct {
	p50, p99             time.Duration
	othersP99            time.Duration
	late, refused, total int
	crossRegionShare     float64
}

func (res summary) String() string {
	return fmt.Sprintf("p50 %4dms p99 %5dms late %4d refused %4d of %d, cross-region %4.1f %%",
		res.p50.Milliseconds(), res.p99.Milliseconds(), res.late, res.refused, res.total, 100*res.crossRegionShare)
}

// simulate runs a scenario under a policy and returns the results.
func simulate(t *testing.T, policy objects.PolicySpec, s scenario, length time.Duration) summary {
	var res summary
	synctest.Test(t, func(*testing.T) {
		sim := newSimulation(policy, s)
		sim.run(s, length, 8*time.Second)
		slices.Sort(sim.times)
		res = summary{late: sim.late, refused: sim.refused, total: sim.requests,
			crossRegionShare: float64(sim.crossRegion) / float64(sim.requests)}
		slices.Sort(sim.otherTimes)
		res.othersP99 = sim.otherTimes[len(sim.otherTimes)*99/100]
		if n := len(sim.times); n > 0 {
			res.p50, res.p99 = sim.times[n/2], sim.times[n*99/100]
		}
	})
	return res
}

func evenLoad(load float64) map[string]float64 {
	return map[string]float64{"a": load, "b": load, "c": load}
}

var scenarios = []scenario{
	{name: "even", load: evenLoad(0.6)},
	{name: "peak in one region", load: map[string]float64{"a": 1.3, "b": 0.4, "c": 0.4}},
	{name: "slow replica", load: evenLoad(0.5), slowdown: map[string]float64{"a1": 8}},
	{name: "missing replicas", load: evenLoad(0.5), missing: []string{"a1", "a2", "a3"}},
	{name: "overload", load: evenLoad(1.5)},
}

func kitePolicy(algorithm string) objects.PolicySpec {
	return objects.PolicySpec{Algorithm: algorithm, CostWeight: 0.05, ShareAwayWeight: 0.02, RetryBudget: 0.1,
		HedgeAfter: objects.Duration(1500 * time.Millisecond), MaxConfigAge: objects.Duration(time.Hour),
		MaxQueue: objects.Duration(2 * time.Second), SlowStart: objects.Duration(10 * time.Second)}
}

func coOperativePolicy(algorithm string) objects.PolicySpec {
	p := kitePolicy(algorithm)
	p.CostWeight, p.ShareAwayWeight, p.HedgeAfter, p.MaxQueue = 2, 1, 0, objects.Duration(5*time.Second)
	return p
}

var algorithms = []string{objects.AlgorithmHomeRoundRobin, objects.AlgorithmLeastLoad, objects.AlgorithmExpectedCompletion}

// results holds the summaries of the three algorithms in one scenario.
type results struct{ roundRobin, leastLoad, expectedCompletion summary }

// compare simulates the scenario with each algorithm.
func compare(t *testing.T, policy func(string) objects.PolicySpec, s scenario) results {
	t.Helper()
	var all []summary
	for _, algorithm := range algorithms {
		res := simulate(t, policy(algorithm), s, runLength)
		t.Logf("%-20s %s", algorithm, res)
		all = append(all, res)
	}
	return results{roundRobin: all[0], leastLoad: all[1], expectedCompletion: all[2]}
}

// Under faults, the policy of the kite consortium must reach a p99 of at most
// 0.7 times that of the better baseline, with at most a tenth of its late
// responses.
func TestKitePolicyUnderFaults(t *testing.T) {
	for _, s := range scenarios {
		if len(s.slowdown)+len(s.missing) == 0 {
			continue
		}
		t.Run(s.name, func(t *testing.T) {
			r := compare(t, kitePolicy, s)
			if better := min(r.roundRobin.p99, r.leastLoad.p99); r.expectedCompletion.p99*10 > better*7 {
				t.Errorf("p99 %v, want at most 0.7 of the better baseline's %v", r.expectedCompletion.p99, better)
			}
			if better := min(r.roundRobin.late, r.leastLoad.late); r.expectedCompletion.late*10 > better {
				t.Errorf("%d late, want at most a tenth of the better baseline's %d", r.expectedCompletion.late, better)
			}
		})
	}
}

// The policy of the co-operative must send at most half as large a share of the
// requests to other regions as fleet-wide least-load, with no more late
// responses.
func TestCoOperativePolicy(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := compare(t, coOperativePolicy, s)
			if r.expectedCompletion.crossRegionShare*2 > r.leastLoad.crossRegionShare || r.expectedCompletion.late > r.leastLoad.late {
				t.Errorf("cross-region share %.3f, late %d; least-load has %.3f and %d",
					r.expectedCompletion.crossRegionShare, r.expectedCompletion.late, r.leastLoad.crossRegionShare, r.leastLoad.late)
			}
		})
	}
}

// At 1.5 times the full load, goodput must be at least 0.9 of its peak.
func TestGoodputUnderOverload(t *testing.T) {
	for name, policy := range map[string]func(string) objects.PolicySpec{"kite": kitePolicy, "co-operative": coOperativePolicy} {
		peak := fullRate * float64(len(regions)) * runLength.Seconds()
		res := simulate(t, policy(objects.AlgorithmExpectedCompletion), scenario{load: evenLoad(1.5)}, runLength)
		served := float64(res.total - res.refused - res.late)
		t.Logf("%s: served %.0f in time, the peak is %.0f", name, served, peak)
		if served < 0.9*peak {
			t.Errorf("%s: served %.0f in time, want at least 0.9 of the peak of %.0f", name, served, peak)
		}
	}
}

// A team at ten times its share may raise the p99 of the other teams by at most
// 10 %.
func TestGreedyTeamDoesNotRaiseP99OfOthers(t *testing.T) {
	for name, policy := range map[string]func(string) objects.PolicySpec{"kite": kitePolicy, "co-operative": coOperativePolicy} {
		before := simulate(t, policy(objects.AlgorithmExpectedCompletion), scenario{load: evenLoad(0.6)}, longRun)
		after := simulate(t, policy(objects.AlgorithmExpectedCompletion), scenario{load: evenLoad(0.6), greedy: 10}, longRun)
		t.Logf("%s: p99 of the other teams %v, with a greedy team %v", name, before.othersP99, after.othersP99)
		if after.othersP99*10 > before.othersP99*11 {
			t.Errorf("%s: p99 of the other teams rose from %v to %v, want at most 10 %% more", name, before.othersP99, after.othersP99)
		}
	}
}
