package routing

import (
	"slices"

	"github.com/chestnutspring/chestnutspring/internal/spread"
)

// NextRoundRobin returns the next usable candidate in turn, for the policy
// home-round-robin, or nil.
func (t *Target) NextRoundRobin(q *Query) *Candidate {
	n := len(t.Candidates)
	for range n {
		c := &t.Candidates[t.turn.Add(1)%uint64(n)]
		if c.healthy && t.fresh(c, q.Now) && c.Server.Breaker.Ready(q.Now) && !slices.Contains(q.Tried, c.Config.Name) {
			return c
		}
	}
	return nil
}

// LeastLoaded returns the candidate or region with the least share of its slots
// in use, for the policy least-load. Neither cost nor distance counts.
func (t *Target) LeastLoaded(q *Query, local bool, permitted func(region string) bool) (*Candidate, *RegionOption) {
	var server *Candidate
	var region *RegionOption
	least := 0.0
	take := func(load float64, salt uint64, c *Candidate, o *RegionOption) {
		load += noise * spread.Unit(q.Random^salt)
		if server == nil && region == nil || load < least {
			least, server, region = load, c, o
		}
	}
	for i := range t.Candidates {
		c := &t.Candidates[i]
		if !local || !c.healthy || !t.fresh(c, q.Now) || !c.Server.Breaker.Ready(q.Now) || slices.Contains(q.Tried, c.Config.Name) {
			continue
		}
		busy := float64(c.Server.InFlight()) + c.Server.OthersInFlight()
		take(busy/float64(max(1, c.Config.Spec.Concurrency)), c.hash, c, nil)
	}
	for i := range t.Regions {
		o := &t.Regions[i]
		s := o.fresh(q.Now)
		if s == nil || s.Healthy == 0 || !permitted(o.Name) || slices.Contains(q.Tried, o.Name) || o.PickMember(q) == nil {
			continue
		}
		if o.heard != 0 && q.Now.Sub(o.heard) > silentFor {
			continue
		}
		busy := float64(o.capacity-s.Free+s.Queued) + float64(o.Traffic.Unreported(q.Now))
		take(busy/float64(o.capacity), uint64(i)+1, nil, o)
	}
	return server, region
}
