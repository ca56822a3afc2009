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

const testTime = clock.Instant(time.Hour)

// newSnapshot returns a snapshot with the model "m", which has n replicas in
// region a and four in region b, and with one gateway in each region.
func newSnapshot(n int) *snapshot.Snapshot {
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
		statuses[b.Name] = &snapshot.BackendStatus{Healthy: true, ConfirmedAt: testTime.Add(time.Hour)}
	}
	return &snapshot.Snapshot{
		Backends: statuses, BackendsUpdatedAt: testTime.Add(time.Hour),
		Self: snapshot.Identity{VM: "gw-a", Region: "a", FailureDomain: "a"}, Config: set,
		Members: map[string]*snapshot.Member{
			"gw-b": {Identity: snapshot.Identity{VM: "gw-b", Region: "b"}, Reachable: true}},
		Summaries: map[string]map[string]*snapshot.RegionSummary{
			"m": {"b": {Healthy: 4, Free: 32, ConfirmedAt: testTime}}},
	}
}

func query(random uint64) *Query {
	return &Query{Now: testTime, Home: "a", PrefillTime: 100 * time.Millisecond, AnswerTime: 2 * time.Second,
		Remaining: time.Minute, Random: random, RequestBytes: 1000, AnswerBytes: 20_000}
}

func anyRegion(string) bool { return true }

func TestSlotsAreNeverOverbooked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "replicas")
		target := NewPicker(newSnapshot(n), NewRecords()).Target("m")
		reserved := 0
		for {
			if _, ok := target.ReserveSlot(query(rapid.Uint64().Draw(t, "random"))); !ok {
				break
			}
			reserved++
		}
		if reserved != n*8 {
			t.Fatalf("reserved %d slots of %d", reserved, n*8)
		}
		for _, c := range target.Candidates {
			if c.Server.InFlight() != 8 {
				t.Fatalf("%d requests in flight at %s", c.Server.InFlight(), c.Config.Name)
			}
		}
	})
}

// A replica that isn't leaving is chosen if there is one, whatever the health,
// breakers and slowness of all replicas. A leaving replica is never chosen.
func TestUnhealthyReplicasAreLastResortAndLeavingReplicasExcluded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSnapshot(rapid.IntRange(1, 30).Draw(t, "replicas"))
		records := NewRecords()
		notLeavingCount := 0
		for _, b := range s.Config.BackendsOf("m") {
			if b.Spec.FailureDomain != "a" {
				continue
			}
			status := s.Backends[b.Name]
			status.Healthy = rapid.Bool().Draw(t, "healthy")
			status.Leaving = rapid.Bool().Draw(t, "leaving")
			if !status.Leaving {
				notLeavingCount++
			}
		}
		target := NewPicker(s, records).Target("m")
		for i := range target.Candidates {
			server := target.Candidates[i].Server
			if rapid.Bool().Draw(t, "open") {
				for range 5 {
					server.Breaker.RecordFailure(testTime)
				}
			}
			server.RecordServiceTime(testTime, time.Second, time.Duration(rapid.IntRange(1, 100).Draw(t, "slowness"))*time.Second)
		}
		choice, ok := target.ReserveSlot(query(rapid.Uint64().Draw(t, "random")))
		if ok != (notLeavingCount > 0) {
			t.Fatalf("reserved %v with %d replicas that aren't leaving", ok, notLeavingCount)
		}
		if ok && s.Backends[choice.Candidate.Config.Name].Leaving {
			t.Fatal("a leaving replica was chosen")
		}
	})
}

// A process that was paused reserves no slots until the backend servers have
// been probed again, as some may have left meanwhile.
func TestNoSlotIsReservedOnStaleStatus(t *testing.T) {
	is := is.New(t)
	s := newSnapshot(2)
	s.BackendsUpdatedAt = testTime
	target := NewPicker(s, NewRecords()).Target("m")
	q := query(1)
	q.Now = testTime.Add(snapshot.MaxViewAge + time.Millisecond)
	_, ok := target.ReserveSlot(q)
	is.True(!ok)
	is.True(target.NextRoundRobin(q) == nil)
	q.Now = testTime.Add(snapshot.MaxViewAge)
	_, ok = target.ReserveSlot(q)
	is.True(ok)
}

func TestSlowReplicaIsExcludedUntilMeasurementExpires(t *testing.T) {
	is := is.New(t)
	target := NewPicker(newSnapshot(4), NewRecords()).Target("m")
	slow := &target.Candidates[2]
	for i := range target.Candidates {
		c := &target.Candidates[i]
		c.Server.RecordServiceTime(testTime, time.Second, time.Second)
		if c == slow {
			c.Server.RecordServiceTime(testTime, time.Second, 12*time.Second)
		}
	}
	for i := range 24 {
		choice, ok := target.ReserveSlot(query(uint64(i)))
		is.True(ok)
		is.True(choice.Candidate != slow)
	}
	_, ok := target.ReserveSlot(query(99))
	is.True(!ok)       // a slow replica is not used to avoid a wait
	later := query(99) // used again once the measurement has expired
	later.Now = testTime.Add(slownessMaxAge + time.Second)
	choice, ok := target.ReserveSlot(later)
	is.True(ok)
	is.True(choice.Candidate == slow)
}

func TestCachedPrefixAttractsRequestsUntilServerIsLoaded(t *testing.T) {
	is := is.New(t)
	target := NewPicker(newSnapshot(4), NewRecords()).Target("m")
	cached := &target.Candidates[1]
	target.RecordPrefix(cached, 77, testTime)
	q := query(5)
	q.Prefix, q.PrefillTime = 77, 500*time.Millisecond
	first, ok := target.ReserveSlot(q)
	is.True(ok)
	is.True(first.Candidate == cached)
	atOthers := 0
	for range 8 {
		choice, ok := target.ReserveSlot(q)
		is.True(ok)
		if choice.Candidate != cached {
			atOthers++
		}
	}
	is.True(atOthers > 0) // the load of the server with the cached prefix is bounded
	target.Prefixes.MarkEvicted(77, cached.id)
	is.True(!target.Prefixes.IsCached(77, cached.id, testTime))
	target.RecordPrefix(cached, 77, testTime)
	target.Prefixes.InvalidateServer(cached.id, testTime.Add(time.Second))
	is.True(!target.Prefixes.IsCached(77, cached.id, testTime.Add(2*time.Second))) // invalidated after a gap in the events
}

func TestPolicyWeightsDecideOnCrossRegionRequests(t *testing.T) {
	full := func(s *snapshot.Snapshot) Plan {
		target := NewPicker(s, NewRecords()).Target("m")
		return target.Decide(query(1), "a", LocalOption{Allowed: true, Wait: 450 * time.Millisecond}, anyRegion)
	}
	is := is.New(t)
	s := newSnapshot(2)
	is.True(full(s).Region != nil) // a wait of 450 ms costs more than a link of 160 ms
	s.Config.Policies["p"].Spec.ShareAwayWeight = 1
	is.True(full(s).Local)
	s.Config.Policies["p"].Spec.ShareAwayWeight = 0
	s.Config.Policies["p"].Spec.CostWeight = 100
	is.True(full(s).Local)
}

func TestRecoveredRegionGetsTrafficBySlowStart(t *testing.T) {
	is := is.New(t)
	s := newSnapshot(0)
	s.RegionRecoveredAt = map[string]clock.Instant{"b": testTime.Add(-2 * time.Second)}
	target := NewPicker(s, NewRecords()).Target("m")
	sent := 0
	const requests = 2000
	for i := range requests {
		if target.Decide(query(spread.Mix(uint64(i))), "a", LocalOption{}, anyRegion).Region != nil {
			sent++
		}
	}
	is.True(sent > requests*15/100 && sent < requests*25/100) // 2 s into a slow start of 10 s
}

// Requests that a summary does not cover yet reduce the region's free slots, so
// that a burst doesn't exceed them.
func TestBurstIsBoundedByFreeSlotsOfRegion(t *testing.T) {
	is := is.New(t)
	s := newSnapshot(1)
	s.Summaries["m"]["b"].Free = 8
	target := NewPicker(s, NewRecords()).Target("m")
	for range 8 {
		_, ok := target.ReserveSlot(query(1))
		is.True(ok)
	}
	sent := 0
	for i := range 40 {
		plan := target.Decide(query(uint64(i)), "a", LocalOption{Allowed: true, Wait: 400 * time.Millisecond}, anyRegion)
		if plan.Region != nil {
			plan.Region.Traffic.Start(testTime)
			sent++
		}
	}
	is.True(sent > 0 && sent <= 8)
}

func benchmarkPick(b *testing.B, replicas int) {
	target := NewPicker(newSnapshot(replicas), NewRecords()).Target("m")
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
			s, records := newSnapshot(replicas), NewRecords()
			b.ReportAllocs()
			for b.Loop() {
				NewPicker(s, records)
			}
		})
	}
}
