package quota

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutspring/chestnutspring/internal/spread"
)

// Candidate is a VM that may be the owner of a shard.
type Candidate struct {
	VM string
	// Capacity is the number of requests per second that the VM can serve; zero means
	// unknown.
	Capacity float64
}

// defaultCapacity is assumed for VMs of unknown capacity.
const defaultCapacity = 100

// Owner returns the index of the candidate that is the owner of a shard, or -1 without
// candidates. It is the same at all VMs that know the same candidates.
func Owner(shard int, candidates []Candidate) int {
	return choose("quota/"+strconv.Itoa(shard), candidates)
}

// Agent returns the index of the candidate, of the VMs of a region, that is its agent for a
// shard, or -1 without candidates.
func Agent(shard int, candidates []Candidate) int {
	return choose("quota-agent/"+strconv.Itoa(shard), candidates)
}

func choose(name string, candidates []Candidate) int {
	key := spread.Mix(xxhash.Sum64String(name))
	best, highest := -1, 0.0
	for i := range candidates {
		c := &candidates[i]
		weight := c.Capacity
		if weight <= 0 {
			weight = defaultCapacity
		}
		if score := spread.RendezvousScore(xxhash.Sum64String(c.VM)^key, weight); best < 0 || score > highest {
			best, highest = i, score
		}
	}
	return best
}
