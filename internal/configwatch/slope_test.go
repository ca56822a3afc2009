package configwatch

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/bundle"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// Numbers of objects of the planned system.
const (
	plannedRegions  = 18
	plannedDomains  = 62
	plannedModels   = 10
	plannedReplicas = 2500
	plannedTeams    = 3300
	plannedServices = 20
	plannedRules    = 40
	plannedLimits   = 170
	plannedPolicies = 10
)

// plannedSet returns a valid set with the planned numbers of regions, models and
// other objects, and the given numbers of replicas and teams.
func plannedSet(replicas, teams int) *objects.Set {
	set := objects.NewSet()
	region := func(i int) string { return fmt.Sprintf("region-%02d", i%plannedRegions) }
	for i := range plannedRegions {
		r := &objects.Region{Name: region(i)}
		for j := range plannedRegions {
			if j != i {
				r.Spec.Links = append(r.Spec.Links, objects.Link{To: region(j), Delay: objects.Duration(80 * time.Millisecond), MegabitsPerSecond: 2000, CostPerMegabit: 0.01})
			}
		}
		set.Add(r)
	}
	domain := func(i int) string {
		return fmt.Sprintf("region-%02d-%d", i%plannedDomains%plannedRegions, i%plannedDomains/plannedRegions)
	}
	for i := range plannedDomains {
		set.Add(&objects.FailureDomain{Name: domain(i), Spec: objects.FailureDomainSpec{Region: region(i)}})
	}
	for i := range plannedPolicies {
		set.Add(&objects.Policy{Name: fmt.Sprintf("policy-%d", i), Spec: objects.PolicySpec{
			Algorithm: objects.AlgorithmExpectedCompletion, RetryBudget: 0.1, KeyWindow: objects.Duration(10 * time.Minute),
			MaxConfigAge: objects.Duration(10 * time.Minute), MaxQueue: objects.Duration(time.Second),
		}})
	}
	addTargets(set)
	for i := range replicas {
		set.Add(replica(i, domain(i)))
	}
	for i := range plannedRules {
		set.Add(&objects.ResidencyRule{Name: fmt.Sprintf("rule-%d", i), Spec: objects.ResidencyRuleSpec{Regions: []string{region(i)}}})
	}
	for i := range plannedLimits {
		set.Add(&objects.Limits{Name: fmt.Sprintf("limits-%d", i), Spec: objects.LimitsSpec{RequestsPerSecond: float64(i + 1), Concurrent: 16}})
	}
	for i := range teams {
		team := &objects.Team{Name: fmt.Sprintf("team-%04d", i), Spec: objects.TeamSpec{Home: region(i), Weight: 1, Limits: fmt.Sprintf("limits-%d", i%plannedLimits)}}
		if i%5 == 0 { // 21 % of requests are restricted to their home region
			team.Spec.Residency = fmt.Sprintf("rule-%d", i%plannedRegions)
		}
		set.Add(team)
	}
	set.Index()
	return set
}

func addTargets(set *objects.Set) {
	for i := range plannedModels {
		name := fmt.Sprintf("model-%d", i)
		set.Add(&objects.Model{Name: name, Spec: objects.ModelSpec{Version: "1", MaxOutputTokens: 512, SecondsPerToken: 0.041}})
		set.Add(&objects.Route{Name: name, Spec: objects.RouteSpec{Model: name, Policy: "policy-0"}})
	}
	for i := range plannedServices {
		name := fmt.Sprintf("service-%d", i)
		set.Add(&objects.Service{Name: name, Spec: objects.ServiceSpec{Calls: []objects.Call{{Method: "POST", PathPrefix: "/bookings", NotRunStatuses: []int{503}}}}})
		set.Add(&objects.Route{Name: name, Spec: objects.RouteSpec{Service: name, Policy: "policy-1"}})
	}
}

// replica returns backend server i. Each target has a replica in every failure
// domain, so that every residency rule permits at least one.
func replica(i int, domain string) *objects.BackendServer {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8000)
	spec := objects.BackendServerSpec{Address: address.String(), FailureDomain: domain, Concurrency: 8, Role: objects.RoleServe, CostPerSecond: 1}
	if target := i / plannedDomains % (plannedModels + plannedServices); target < plannedModels {
		spec.Model = fmt.Sprintf("model-%d", target)
	} else {
		spec.Service = fmt.Sprintf("service-%d", target-plannedModels)
	}
	return &objects.BackendServer{Name: fmt.Sprintf("server-%04d", i), Spec: spec}
}

// manualWatcher is a Watcher whose configurations are offered by the test.
type manualWatcher struct {
	*Watcher
	revision    uint64
	transferred atomic.Int64 // bytes of manifests and fetched parts
}

func newManualWatcher() *manualWatcher {
	publisher := snapshot.NewPublisher(snapshot.Identity{VM: "vm"})
	return &manualWatcher{Watcher: New(Config{Publisher: publisher, Now: clock.Boot})}
}

func (s *manualWatcher) offerBundle(tb testing.TB, next *bundle.Bundle) {
	s.revision++
	s.transferred.Add(int64(len(next.Manifest)))
	source := func(_ context.Context, digest string) ([]byte, error) {
		s.transferred.Add(int64(len(next.Parts[digest])))
		return append([]byte(nil), next.Parts[digest]...), nil
	}
	value := published.Value{Revision: s.revision, Data: append([]byte(nil), next.Manifest...)}
	if err := s.offer(context.Background(), value, []partSource{source}); err != nil {
		tb.Fatal(err)
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// benchmarkHeap reports the heap size of one configuration in force.
func benchmarkHeap(b *testing.B, replicas, teams int) {
	set := plannedSet(replicas, teams)
	next := buildBundle(b, set)
	count := set.Len()
	set = nil
	for b.Loop() {
		before := heapBytes()
		w := newManualWatcher()
		w.offerBundle(b, next)
		after := heapBytes()
		b.ReportMetric((after-before)/1024, "KB-heap")
		b.ReportMetric(float64(count), "objects")
		runtime.KeepAlive(w)
	}
	runtime.KeepAlive(next)
}

func BenchmarkSlopeHeapByReplicas(b *testing.B) {
	for _, replicas := range []int{1860, 2500, 5000, 10000} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) { benchmarkHeap(b, replicas, plannedTeams) })
	}
}

func BenchmarkSlopeHeapByTeams(b *testing.B) {
	for _, teams := range []int{500, 1650, 3300, 6600} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) { benchmarkHeap(b, plannedReplicas, teams) })
	}
}

// BenchmarkSlopeApplyChange measures a change of one team: the time to put it in
// force, and the bytes transferred to a gateway.
func BenchmarkSlopeApplyChange(b *testing.B) {
	for _, teams := range []int{500, 1650, 3300, 6600} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			set := plannedSet(plannedReplicas, teams)
			bundles := []*bundle.Bundle{buildBundle(b, set), nil}
			set.Teams["team-0007"].Spec.Weight = 2
			bundles[1] = buildBundle(b, set)
			w := newManualWatcher()
			w.offerBundle(b, bundles[0])
			w.transferred.Store(0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				w.offerBundle(b, bundles[(i+1)%2])
			}
			b.ReportMetric(float64(w.transferred.Load())/float64(b.N), "B-moved/op")
			b.ReportMetric(float64(set.Len()), "objects")
		})
	}
}

// BenchmarkSlopeStart measures applying the first configuration after a start.
func BenchmarkSlopeStart(b *testing.B) {
	next := buildBundle(b, plannedSet(plannedReplicas, plannedTeams))
	b.ReportAllocs()
	largest := 0
	for _, data := range next.Parts {
		largest = max(largest, len(data))
	}
	moved := int64(0)
	for b.Loop() {
		w := newManualWatcher()
		w.offerBundle(b, next)
		moved = w.transferred.Load()
	}
	b.ReportMetric(float64(moved), "B-moved/op")
	b.ReportMetric(float64(largest), "B-largest-part")
}

// BenchmarkSlopeConfirm measures handling a watch that ended without a change,
// which is the cost of a configuration that doesn't change.
func BenchmarkSlopeConfirm(b *testing.B) {
	w := newManualWatcher()
	w.offerBundle(b, buildBundle(b, plannedSet(plannedReplicas, plannedTeams)))
	b.ReportAllocs()
	for b.Loop() {
		if err := w.handleUnchanged(context.Background(), w.Now(), 1); err != nil {
			b.Fatal(err)
		}
	}
}

// TestPlannedChangesStayWithinLimits checks the planned 14,000 changes per
// day and gateway against the limits for control data: 5 KB/s, 32 MB of heap, and
// 10 KB per part.
func TestPlannedChangesStayWithinLimits(t *testing.T) {
	is := is.New(t)
	const partLimit, rateLimit, heapLimit = 10e3, 5e3, 32e6
	set := plannedSet(plannedReplicas, plannedTeams)
	before := buildBundle(t, set)
	for _, data := range before.Parts {
		is.True(len(data) <= partLimit)
	}
	set.Teams["team-0007"].Spec.Weight = 2
	after := buildBundle(t, set)
	start := heapBytes()
	w := newManualWatcher()
	w.offerBundle(t, before)
	w.transferred.Store(0)
	w.offerBundle(t, after)
	rate := float64(w.transferred.Load()) * 14000 / (24 * time.Hour).Seconds()
	heap := heapBytes() - start
	t.Logf("%d objects: %d bytes per change, %.0f bytes per second, %.0f KB of heap", set.Len(), w.transferred.Load(), rate, heap/1e3)
	is.True(rate < rateLimit)
	is.True(heap < heapLimit)
	runtime.KeepAlive(w)
}
