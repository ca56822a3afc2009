package routing

import (
	"slices"
	"strings"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

// TargetState is the routing state of a target in the state dump.
type TargetState struct {
	Name    string        `json:"name"`
	Servers []ServerState `json:"servers"`
	Regions []RegionState `json:"regions"`
}

// ServerState is the routing state of a backend server.
type ServerState struct {
	Name        string  `json:"name"`
	Healthy     bool    `json:"healthy"`
	BreakerOpen bool    `json:"breakerOpen"`
	InFlight    int     `json:"inFlight"`
	Others      float64 `json:"others"`
	Limit       int     `json:"limit"`
	// Slowness is the service time relative to the expected one.
	Slowness float64 `json:"slowness"`
}

// RegionState is the routing state of another region.
type RegionState struct {
	Name       string `json:"name"`
	Members    int    `json:"members"`
	InFlight   int    `json:"inFlight"`
	Unreported int    `json:"unreported"`
	Free       int    `json:"free"`
}

// State returns the routing state of all targets, sorted by name, for the state
// dump.
func (p *Picker) State(now clock.Instant) []TargetState {
	var out []TargetState
	for _, t := range p.targets {
		state := TargetState{Name: t.Name}
		for i := range t.Candidates {
			c := &t.Candidates[i]
			state.Servers = append(state.Servers, ServerState{
				Name: c.Config.Name, Healthy: c.healthy, BreakerOpen: c.Server.Breaker.IsOpen(),
				InFlight: c.Server.InFlight(), Others: c.Server.OthersInFlight(),
				Limit: t.limit(c, now), Slowness: t.slowness(c, now),
			})
		}
		for i := range t.Regions {
			o := &t.Regions[i]
			region := RegionState{
				Name: o.Name, Members: len(o.Members),
				InFlight: o.Traffic.InFlight(), Unreported: o.Traffic.Unreported(now),
			}
			if o.summary != nil {
				region.Free = o.summary.Free
			}
			state.Regions = append(state.Regions, region)
		}
		out = append(out, state)
	}
	slices.SortFunc(out, func(a, b TargetState) int { return strings.Compare(a.Name, b.Name) })
	return out
}
