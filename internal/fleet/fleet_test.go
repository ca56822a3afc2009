package fleet

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/health"
	"github.com/chestnutspring/chestnutspring/internal/limits"
)

var threeRegions = []string{"jeju", "busan", "saemangeum"}

// startBed starts members in each of three regions and waits until all know
// all.
func startBed(t *testing.T, memory *memNet, members, backends int) *bed {
	b := newBed(t, memory, threeRegions, backends)
	for _, region := range threeRegions {
		for i := range members {
			b.add(region, i)
		}
	}
	for _, n := range b.nodes {
		b.start(n)
	}
	b.until("all members known to all", 10*time.Second, func() bool {
		for _, n := range b.nodes {
			if n.reachable() != len(b.nodes) {
				return false
			}
		}
		return true
	})
	return b
}

func TestMembersBackendsAndSummariesReachAllOverTCP(t *testing.T) {
	b := startBed(t, nil, 2, 3)
	reachesAll(b)
}

func TestMembersBackendsAndSummariesReachAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reachesAll(startBed(t, newMemNet(), 5, 3))
	})
}

func reachesAll(b *bed) {
	b.engines["jeju-engine-0"].set(func(r *health.Report) { r.Running, r.Queued = 8, 4 })
	b.until("load known in the region", 5*time.Second, func() bool {
		for i := range 2 {
			status := b.nodes[vmName("jeju", i)].view().Backends["jeju-engine-0"]
			if status == nil || status.Running != 8 || status.Queued != 4 {
				return false
			}
		}
		return true
	})
	b.until("summary known in another region", 10*time.Second, func() bool {
		s := b.nodes[vmName("busan", 1)].view().Summaries["m"]["jeju"]
		return s != nil && s.Healthy == 3 && s.Queued == 4 && s.Free == 16
	})
}

func TestDemandReachesTheLimitersOfAllRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBed(t, newMemNet(), 2, 1)
		heard := &fakeLimiter{reports: map[string]limits.Report{}}
		for _, n := range b.nodes {
			n.SetDemand(&fakeLimiter{reports: map[string]limits.Report{}})
		}
		b.nodes[vmName("jeju", 0)].SetDemand(heard)
		b.until("all peers' demand", 10*time.Second, func() bool { return heard.count() == 5 })
		r := heard.of(vmName("busan", 1))
		if len(r.Demands) != maxDemands || r.Demands[0].PerSecond < 30 {
			t.Fatalf("%d teams, first %v", len(r.Demands), r.Demands[0])
		}
		heard.forget()
		b.until("unchanged demand again", 2*demandInterval, func() bool { return heard.count() == 5 })
	})
}

// fakeLimiter reports the demand of 200 teams.
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

func (l *fakeLimiter) Heard(r limits.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports[r.VM] = r
}

func (l *fakeLimiter) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.reports)
}

func (l *fakeLimiter) of(vm string) limits.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reports[vm]
}

func (l *fakeLimiter) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.reports)
}
