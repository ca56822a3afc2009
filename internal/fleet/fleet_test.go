package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/health"
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
