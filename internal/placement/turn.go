package placement

import (
	"slices"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

const (
	// storeSilence is how long the weight store's region may be silent before
	// it counts as out of reach.
	storeSilence = 10 * time.Second
	bitsPerByte  = 8
)

// mayLoad reports whether the region may load the model's weights now. The
// regions take turns after a new revision, so that few load at once. A region
// without contact to the store keeps what it has.
func mayLoad(s *snapshot.Snapshot, model string, since, now clock.Instant) bool {
	store := storeRegion(s.Config)
	if store == "" {
		return false
	}
	own := s.Self.Region
	if own != store {
		heard, ok := s.RegionHeard[store]
		if !ok || now.Sub(heard) > storeSilence {
			return false
		}
	}
	turn := time.Duration(rank(s.Config, store, own)) * regionLoadTime(s.Config, model)
	return now.Sub(since) >= turn
}

// storeRegion returns the region of the weight store, or "".
func storeRegion(set *objects.Set) string {
	found := ""
	for name, r := range set.Regions {
		if r.Spec.WeightStore && (found == "" || name < found) {
			found = name
		}
	}
	return found
}

// rank returns the region's turn: the store's region first, then by name.
func rank(set *objects.Set, store, own string) int {
	var names []string
	for name := range set.Regions {
		if name != store {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Index(names, own) + 1
}

// regionLoadTime returns how long a region takes to load the model on all its
// replicas, over the slowest link.
func regionLoadTime(set *objects.Set, model string) time.Duration {
	m := set.Models[model]
	if m == nil {
		return 0
	}
	slowest := 0.0
	for _, r := range set.Regions {
		for _, l := range r.Spec.Links {
			if slowest == 0 || l.MegabitsPerSecond < slowest {
				slowest = l.MegabitsPerSecond
			}
		}
	}
	if slowest <= 0 {
		return 0
	}
	replicas := map[string]int{}
	most := 0
	for _, b := range set.BackendsOf(model) {
		region := set.RegionOf(b.Spec.FailureDomain)
		replicas[region]++
		most = max(most, replicas[region])
	}
	megabits := float64(m.Spec.WeightMegabytes*most) * bitsPerByte
	return time.Duration(megabits / slowest * float64(time.Second))
}
