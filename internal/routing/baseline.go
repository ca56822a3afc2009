package routing

import (
	"slices"

	"github.com/chestnutspring/chestnutspring/internal/spread"
)

// NextRoundRobin returns the next usable candidate in round-robin order, for
// the policy home-round-robin, or nil.
func (t *Target) NextRoundRobin(q *Query) *Candidate {
	n := len(t.Candidates)
	for range n {
		c := &t.Candidates[t.roundRobin.Add(1)%uint64(n)]
		if c.healthy && t.statusFresh(c, q.Now) && c.Server.Breaker.Ready(q.Now) && !slices.Contains(q.Tried, c.Config.Name) {
			return c
		}
	}
	return nil
}

// LeastLoaded returns the candidate or region with the smallest fraction of its
// slots in use, for the policy least-load. It ignores cost and distance.
// Candidates count only if local is set, and regions only if permitted accepts
// them. Both results are nil if there is none.
func (t *Target) LeastLoaded(q *Query, local bool, permitted func(region string) bool) (*Candidate, *RegionOption) {
	var server *Candidate
	var region *RegionOption
	minLoad := 0.0
	consider := func(load float64, salt uint64, c *Candidate, o *RegionOption) {
		load += tieBreakNoise * spread.Unit(q.Random^salt)
		if server == nil && region == nil || load < minLoad {
			minLoad, server, region = load, c, o
		}
	}
	for i := range t.Candidates {
		c := &t.Candidates[i]
		if !local || !c.healthy || !t.statusFresh(c, q.Now) || !c.Server.Breaker.Ready(q.Now) || slices.Contains(q.Tried, c.Config.Name) {
			continue
		}
		busy := float64(c.Server.InFlight()) + c.Server.OthersInFlight()
		consider(busy/float64(max(1, c.Config.Spec.Concurrency)), c.hash, c, nil)
	}
	for i := range t.Regions {
		o := &t.Regions[i]
		s := o.freshSummary(q.Now)
		if s == nil || s.Healthy == 0 || !permitted(o.Name) || slices.Contains(q.Tried, o.Name) || o.PickMember(q) == nil {
			continue
		}
		if o.lastContact != 0 && q.Now.Sub(o.lastContact) > regionContactTimeout {
			continue
		}
		busy := float64(o.capacity-s.Free+s.Queued) + float64(o.Traffic.Unreported(q.Now))
		consider(busy/float64(o.capacity), uint64(i)+1, nil, o)
	}
	return server, region
}
