package fleet

import (
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/health"
)

var threeRegions = []string{"jeju", "busan", "saemangeum"}

func startedBed(t *testing.T, members, backends int) *bed {
	b := newBed(t, threeRegions, backends)
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

func TestMembersBackendsAndSummariesReachAll(t *testing.T) {
	b := startedBed(t, 2, 3)
	b.engines["engine-jeju-0"].set(func(r *health.Report) { r.Running, r.Queued = 8, 4 })
	b.until("load known in the region", 5*time.Second, func() bool {
		for i := range 2 {
			status := b.nodes[vmName("jeju", i)].view().Backends["engine-jeju-0"]
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
