package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/spread"
)

const start = clock.Instant(time.Hour)

// newView has the model "m" with n replicas in region a, one gateway of
// region a and one of region b, where "m" has four replicas too.
func newView(n int) *snapshot.Snapshot {
	set := objects.NewSet()
	set.Models["m"] = &objects.Model{Name: "m", Spec: objects.ModelSpec{
		Version: "1", SecondsPerToken: 0.02, SecondsPerPromptToken: 0.0002}}
	set.Policies["p"] = &objects.Policy{Name: "p", Spec: objects.PolicySpec{
		Algorithm: objects.AlgorithmExpectedCompletion, SlowStart: objects.Duration(10 * time.Second)}}
	set.Routes["m"] = &objects.Route{Name: "m", Spec: objects.RouteSpec{Model: "m", Policy: "p"}}
	link := objects.Link{Delay: objects.Duration(80 * time.Millisecond), MegabitsPerSecond: 140, CostPerMegabit: 0.05}
	for _, name := range []string{"a", "b"} {
		set.FailureDomains[name] = &objects.FailureDomain{Name: name, Spec: objects.FailureDomainSpec{Region: name}}
	}
	set.Regions["a"] = &objects.Region{Name: "a", Spec: objects.RegionSpec{Links: []objects.Link{link}}}
	set.Regions["a"].Spec.Links[0].To = "b"
	add := func(name, domain string) {
		set.BackendServers[name] = &objects.BackendServer{Name: name, Spec: objects.BackendServerSpec{
			FailureDomain: domain, Model: "m", Concurrency: 8}}
	}
	for i := range n {
		add(fmt.Sprintf("a%04d", i), "a")
	}
	for i := range 4 {
		add(fmt.Sprint("b", i), "b")
	}
	set.Index()
	statuses := map[string]*snapshot.BackendStatus{}
	for _, b := range set.BackendsOf("m") {
		statuses[b.Name] = &snapshot.BackendStatus{Healthy: true, Heard: start.Add(time.Hour)}
	}
	return &snapshot.Snapshot{
		Backends: statuses, BackendsHeard: start.Add(time.Hour),
		Self: snapshot.Identity{VM: "gw-a", Region: "a", FailureDomain: "a"}, Config: set,
		Members: map[string]*snapshot.Member{
			"gw-b": {Identity: snapshot.Identity{VM: "gw-b", Region: "b"}, Reachable: true}},
		Summaries: map[string]map[string]*snapshot.RegionSummary{
			"m": {"b": {Healthy: 4, Free: 32, Heard: start}}},
	}
}

func query(random uint64) *Query {
	return &Query{Now: start, Home: "a", PrefillTime: 100 * time.Millisecond, AnswerTime: 2 * time.Second,
		Remaining: time.Minute, Random: random, RequestBytes: 1000, AnswerBytes: 20_000}
}

func anywhere(string) bool { return true }

func TestSlotsAreNeverOverbooked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "replicas")
		target := NewPicker(newView(n), NewRecords()).Target("m")
		placed := 0
		for {
			if _, ok := target.ReserveSlot(query(rapid.Uint64().Draw(t, "random"))); !ok {
				break
			}
			placed++
		}
		if placed != n*8 {
			t.Fatalf("%d requests on %d slots", placed, n*8)
		}
		for _, c := range target.Candidates {
			if c.Server.InFlight() != 8 {
				t.Fatalf("%d requests at %s", c.Server.InFlight(), c.Config.Name)
			}
		}
	})
}

// Whatever is known of the replicas, one that isn't leaving is chosen as long
// as there is any, and a leaving one never is.
func TestHealthNeverEjectsAllAndLeavingAlwaysDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newView(rapid.IntRange(1, 30).Draw(t, "replicas"))
		records := NewRecords()
		staying := 0
		for _, b := range s.Config.BackendsOf("m") {
			if b.Spec.FailureDomain != "a" {
				continue
			}
			status := s.Backends[b.Name]
			status.Healthy = rapid.Bool().Draw(t, "healthy")
			status.Leaving = rapid.Bool().Draw(t, "leaving")
			if !status.Leaving {
				staying++
			}
		}
		target := NewPicker(s, records).Target("m")
		for i := range target.Candidates {
			server := target.Candidates[i].Server
			if rapid.Bool().Draw(t, "open") {
				for range 5 {
					server.Breaker.Failure(start)
				}
			}
			server.RecordServiceTime(start, time.Second, time.Duration(rapid.IntRange(1, 100).Draw(t, "slowness"))*time.Second)
		}
		choice, ok := target.ReserveSlot(query(rapid.Uint64().Draw(t, "random")))
		if ok != (staying > 0) {
			t.Fatalf("placed %v with %d replicas that stay", ok, staying)
		}
		if ok && s.Backends[choice.Candidate.Config.Name].Leaving {
			t.Fatal("a leaving replica was chosen")
		}
	})
}

// A process that was paused places nothing until it has heard again of the
// backend servers, of which one may have left meanwhile.
func TestNothingIsPlacedOnAnOldView(t *testing.T) {
	is := is.New(t)
	s := newView(2)
	s.BackendsHeard = start
	target := NewPicker(s, NewRecords()).Target("m")
	q := query(1)
	q.Now = start.Add(snapshot.MaxViewAge + time.Millisecond)
	_, ok := target.ReserveSlot(q)
	is.True(!ok)
	is.True(target.NextRoundRobin(q) == nil)
	q.Now = start.Add(snapshot.MaxViewAge)
	_, ok = target.ReserveSlot(q)
	is.True(ok)
}

func TestASlowReplicaIsSeenInItsOwnRate(t *testing.T) {
	is := is.New(t)
	target := NewPicker(newView(4), NewRecords()).Target("m")
	slow := &target.Candidates[2]
	for i := range target.Candidates {
		c := &target.Candidates[i]
		c.Server.RecordServiceTime(start, time.Second, time.Second)
		if c == slow {
			c.Server.RecordServiceTime(start, time.Second, 12*time.Second)
		}
	}
	for i := range 24 {
		choice, ok := target.ReserveSlot(query(uint64(i)))
		is.True(ok)
		is.True(choice.Candidate != slow)
	}
	_, ok := target.ReserveSlot(query(99))
	is.True(!ok)       // a slow replica is no substitute for a short wait
	later := query(99) // and is tried again once the measurement is old
	later.Now = start.Add(slownessAge + time.Second)
	choice, ok := target.ReserveSlot(later)
	is.True(ok)
	is.True(choice.Candidate == slow)
}

func TestACachedPrefixDrawsRequestsUntilTheServerIsLoaded(t *testing.T) {
	is := is.New(t)
	target := NewPicker(newView(4), NewRecords()).Target("m")
	holder := &target.Candidates[1]
	target.RecordPrefix(holder, 77, start)
	q := query(5)
	q.Prefix, q.PrefillTime = 77, 500*time.Millisecond
	first, ok := target.ReserveSlot(q)
	is.True(ok)
	is.True(first.Candidate == holder)
	elsewhere := 0
	for range 8 {
		choice, ok := target.ReserveSlot(q)
		is.True(ok)
		if choice.Candidate != holder {
			elsewhere++
		}
	}
	is.True(elsewhere > 0) // the load of the holder is bounded
	target.Prefixes.MarkEvicted(77, holder.id)
	is.True(!target.Prefixes.IsCached(77, holder.id, start))
	target.RecordPrefix(holder, 77, start)
	target.Prefixes.InvalidateServer(holder.id, start.Add(time.Second))
	is.True(!target.Prefixes.IsCached(77, holder.id, start.Add(2*time.Second))) // after a gap nothing is known
}

func TestTheWeightsOfThePolicyDecideOverACrossing(t *testing.T) {
	full := func(s *snapshot.Snapshot) Plan {
		target := NewPicker(s, NewRecords()).Target("m")
		return target.Decide(query(1), "a", LocalOption{Allowed: true, Wait: 450 * time.Millisecond}, anywhere)
	}
	is := is.New(t)
	s := newView(2)
	is.True(full(s).Region != nil) // 450 ms of waiting against 160 ms of link
	s.Config.Policies["p"].Spec.ShareAwayWeight = 1
	is.True(full(s).Local)
	s.Config.Policies["p"].Spec.ShareAwayWeight = 0
	s.Config.Policies["p"].Spec.CostWeight = 100
	is.True(full(s).Local)
}

func TestARegionThatCameBackGetsItsTrafficStepByStep(t *testing.T) {
	is := is.New(t)
	s := newView(0)
	s.RegionSince = map[string]clock.Instant{"b": start.Add(-2 * time.Second)}
	target := NewPicker(s, NewRecords()).Target("m")
	crossed := 0
	const requests = 2000
	for i := range requests {
		if target.Decide(query(spread.Mix(uint64(i))), "a", LocalOption{}, anywhere).Region != nil {
			crossed++
		}
	}
	is.True(crossed > requests*15/100 && crossed < requests*25/100) // 2 s of 10 s
}

// Requests that a summary can't show yet count against it, so that a burst
// doesn't all go to the region that looked free.
func TestABurstIsNotAllSentToTheRegionThatLookedFree(t *testing.T) {
	is := is.New(t)
	s := newView(1)
	s.Summaries["m"]["b"].Free = 8
	target := NewPicker(s, NewRecords()).Target("m")
	for range 8 {
		_, ok := target.ReserveSlot(query(1))
		is.True(ok)
	}
	crossed := 0
	for i := range 40 {
		plan := target.Decide(query(uint64(i)), "a", LocalOption{Allowed: true, Wait: 400 * time.Millisecond}, anywhere)
		if plan.Region != nil {
			plan.Region.Traffic.Start(start)
			crossed++
		}
	}
	is.True(crossed > 0 && crossed <= 8)
}

func benchmarkPick(b *testing.B, replicas int) {
	target := NewPicker(newView(replicas), NewRecords()).Target("m")
	q := query(1)
	q.Prefix = 42
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		q.Random = spread.Mix(i)
		choice, ok := target.ReserveSlot(q)
		if !ok {
			b.Fatal("no slot")
		}
		choice.Candidate.Server.Release()
	}
}

func BenchmarkPick(b *testing.B) {
	for _, replicas := range []int{4, 139, 2500} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) { benchmarkPick(b, replicas) })
	}
}

func BenchmarkNewPicker(b *testing.B) {
	for _, replicas := range []int{4, 139, 2500} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			s, records := newView(replicas), NewRecords()
			b.ReportAllocs()
			for b.Loop() {
				NewPicker(s, records)
			}
		})
	}
}
