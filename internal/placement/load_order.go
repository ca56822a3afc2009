package placement

import (
	"slices"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

const (
	// storeContactTimeout is the time without contact after which the weight
	// store's region counts as unreachable.
	storeContactTimeout = 10 * time.Second
	bitsPerByte         = 8
)

// mayLoad reports whether the region may load the model's weights now. After a
// new revision the regions start to load one after the other, at intervals of
// the estimated load time of a region, so that few load at once. A region
// without contact to the weight store keeps the weights it has.
func mayLoad(s *snapshot.Snapshot, model string, revisionSince, now clock.Instant) bool {
	store := storeRegion(s.Config)
	if store == "" {
		return false
	}
	own := s.Self.Region
	if own != store {
		lastContact, ok := s.RegionLastHeartbeat[store]
		if !ok || now.Sub(lastContact) > storeContactTimeout {
			return false
		}
	}
	delay := time.Duration(loadRank(s.Config, store, own)) * regionLoadTime(s.Config, model)
	return now.Sub(revisionSince) >= delay
}

// storeRegion returns the first region by name that has a weight store, or "".
func storeRegion(set *objects.Set) string {
	store := ""
	for name, r := range set.Regions {
		if r.Spec.WeightStore && (store == "" || name < store) {
			store = name
		}
	}
	return store
}

// loadRank returns the region's position in the load order: the store's region
// is first, the others follow by name.
func loadRank(set *objects.Set, store, own string) int {
	var names []string
	for name := range set.Regions {
		if name != store {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Index(names, own) + 1
}

// regionLoadTime estimates the time in which a region loads the model on all
// its replicas, over the slowest link and with the most replicas of any region.
// It is zero if the model or the bandwidth is unknown.
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
	maxReplicas := 0
	for _, b := range set.BackendsOf(model) {
		region := set.RegionOf(b.Spec.FailureDomain)
		replicas[region]++
		maxReplicas = max(maxReplicas, replicas[region])
	}
	megabits := float64(m.Spec.WeightMegabytes*maxReplicas) * bitsPerByte
	return time.Duration(megabits / slowest * float64(time.Second))
}
