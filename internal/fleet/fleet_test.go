package fleet

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/health"
	"github.com/chestnutspring/chestnutspring/internal/limits"
	"github.com/chestnutspring/chestnutspring/internal/peer"
)

var threeRegions = []string{"jeju", "busan", "saemangeum"}

// startTestCluster starts the given number of members in each of three regions
// and waits until every member can reach all others.
func startTestCluster(t *testing.T, memory *memNet, members, backends int) *testCluster {
	b := newTestCluster(t, memory, threeRegions, backends)
	for _, region := range threeRegions {
		for i := range members {
			b.add(region, i)
		}
	}
	for _, n := range b.nodes {
		b.start(n)
	}
	b.waitFor("all members reachable from all", 10*time.Second, func() bool {
		for _, n := range b.nodes {
			if n.reachable() != len(b.nodes) {
				return false
			}
		}
		return true
	})
	return b
}

func TestMembersBackendsAndSummariesPropagateOverTCP(t *testing.T) {
	b := startTestCluster(t, nil, 2, 3)
	checkPropagation(b)
}

func TestMembersBackendsAndSummariesPropagate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		checkPropagation(startTestCluster(t, newMemNet(), 5, 3))
	})
}

func checkPropagation(b *testCluster) {
	b.engines["jeju-engine-0"].set(func(r *health.Report) { r.Running, r.Queued = 8, 4 })
	b.waitFor("load propagated within the region", 5*time.Second, func() bool {
		for i := range 2 {
			status := b.nodes[vmName("jeju", i)].view().Backends["jeju-engine-0"]
			if status == nil || status.Running != 8 || status.Queued != 4 {
				return false
			}
		}
		return true
	})
	b.waitFor("summary propagated to another region", 10*time.Second, func() bool {
		s := b.nodes[vmName("busan", 1)].view().Summaries["m"]["jeju"]
		return s != nil && s.Healthy == 3 && s.Queued == 4 && s.Free == 16
	})
}

func TestCachedPrefixesPropagateAndEventGapDropsThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startTestCluster(t, newMemNet(), 5, 1)
		shared := func(want []uint64) func() bool {
			return func() bool {
				for _, n := range b.region("jeju") {
					if !slices.Equal(n.view().Backends["jeju-engine-0"].CachedPrefixes, want) {
						return false
					}
				}
				return true
			}
		}
		stored := `{"events":[{"seq":1,"kind":"stored","prefix":"a1"},{"seq":2,"kind":"stored","prefix":"9"}]}`
		b.engines["jeju-engine-0"].events.Store(&stored)
		b.waitFor("cached prefixes propagated", 10*time.Second, shared([]uint64{0x9, 0xa1}))
		gap := `{"events":[{"seq":9,"kind":"stored","prefix":"7"}]}`
		b.engines["jeju-engine-0"].events.Store(&gap)
		b.waitFor("earlier prefixes dropped after an event gap", 10*time.Second, shared([]uint64{0x7}))
	})
}

// FuzzRecord checks that no record from a peer causes a panic, whatever its
// content.
func FuzzRecord(f *testing.F) {
	memory := newMemNet()
	bed := newTestCluster(f, memory, []string{"jeju"}, 1)
	n := bed.add("jeju", 0)
	for kind := gossip.KindMember; kind <= gossip.KindDemand; kind++ {
		value, _ := newRecordValue(kind)
		f.Add(uint8(kind), "jeju/jeju-entry-1", uint64(3), n.encode(value))
		f.Add(uint8(kind), "jeju-engine-0", uint64(1), []byte{0xc1})
	}
	f.Fuzz(func(t *testing.T, kind uint8, name string, version uint64, value []byte) {
		r := gossip.Record{Key: gossip.Key{Kind: gossip.Kind(kind), Name: name}, Version: version, Value: value}
		n.mergeRecords(peer.Hello{VM: "jeju-entry-1"}, []gossip.Record{r})
		n.stale = staleViews{members: true, backends: true, regions: true}
		n.publish(true)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.assignRoles(n.table.Members(n.cfg.Now()), n.cfg.Now())
	})
}

func TestDemandPropagatesToLimitersInAllRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startTestCluster(t, newMemNet(), 2, 1)
		limiter := &fakeLimiter{reports: map[string]limits.Report{}}
		for _, n := range b.nodes {
			n.SetDemand(&fakeLimiter{reports: map[string]limits.Report{}})
		}
		b.nodes[vmName("jeju", 0)].SetDemand(limiter)
		b.waitFor("demand of all peers delivered", 10*time.Second, func() bool { return limiter.count() == 5 })
		r := limiter.reportFrom(vmName("busan", 1))
		if len(r.Demands) != maxReportedTeams || r.Demands[0].PerSecond < 30 {
			t.Fatalf("report has %d teams, the first is %v", len(r.Demands), r.Demands[0])
		}
		limiter.reset()
		b.waitFor("unchanged demand delivered again", 2*demandInterval, func() bool { return limiter.count() == 5 })
	})
}

// fakeLimiter reports the demand of 200 teams and records the peers' reports.
type fakeLimiter struct {
	mu      sync.Mutex
	reports map[string]limits.Report
}

func (l *fakeLimiter) Report(vm string) limits.Report {
	r := limits.Report{VM: vm}
	for i := range 200 {
		r.Demands = append(r.Demands, limits.Demand{Team: fmt.Sprintf("team-%03d", i), PerSecond: 30 / float64(1+i)})
	}
	return r
}

func (l *fakeLimiter) ApplyReport(r limits.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports[r.VM] = r
}

func (l *fakeLimiter) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.reports)
}

func (l *fakeLimiter) reportFrom(vm string) limits.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reports[vm]
}

func (l *fakeLimiter) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.reports)
}
