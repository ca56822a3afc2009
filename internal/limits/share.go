// Package limits divides published limits among the gateways of the fleet,
// without a shared counter.
//
// Each gateway takes a part of each team's limit in proportion to the demand
// that it sees and its peers report. The parts of all gateways that agree on
// the reports add up to at most the whole. Regions that can't be reached keep
// their part, as their gateways go on serving on their own.
package limits

import (
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

const (
	// equalPart is the part of a limit that is split evenly, so that a
	// gateway without demand can begin at once.
	equalPart = 0.3
	// reportAge is how long a peer's report counts.
	reportAge = 10 * time.Second
)

// Demand is what one gateway sees of one team's demand.
type Demand struct {
	Team string `json:"team" msgpack:"t"`
	// PerSecond is the smoothed rate of requests, served or refused.
	PerSecond float64 `json:"perSecond" msgpack:"r"`
}

// Report is a gateway's demand, for its peers.
type Report struct {
	VM string `json:"vm" msgpack:"v"`
	// Demands lists the teams with limits whose demand isn't zero.
	Demands []Demand `json:"demands" msgpack:"d"`
}

// report is a Report as it is kept.
type report struct {
	heard   clock.Instant
	demands map[string]float64
}

// partition is the view of the fleet from which parts are worked out.
type partition struct {
	// gateways counts the gateways that share what this one can reach,
	// itself included, and whole is their part of each limit.
	gateways int
	whole    float64
	peers    []string
}

// partitionOf counts the members by region. A region none of whose members is
// reachable keeps its part; in a region that is reachable, an unreachable
// member is taken as gone and its part goes to the others.
func partitionOf(s *snapshot.Snapshot) partition {
	total, reachable := map[string]int{s.Self.Region: 1}, map[string]int{s.Self.Region: 1}
	p := partition{}
	for _, m := range s.Members {
		if m.VM == s.Self.VM || m.Leaving && !m.Reachable {
			continue
		}
		total[m.Region]++
		if m.Reachable {
			reachable[m.Region]++
			p.peers = append(p.peers, m.VM)
		}
	}
	all, cutOff := 0, 0
	for region, n := range total {
		if reachable[region] > 0 {
			all += reachable[region]
			continue
		}
		all += n
		cutOff += n
	}
	p.gateways = all - cutOff
	p.whole = float64(p.gateways) / float64(all)
	return p
}

// part returns this gateway's part of a limit, between 0 and 1.
func (p partition) part(team string, own float64, reports map[string]*report, now clock.Instant) float64 {
	total := own
	for _, vm := range p.peers {
		if r := reports[vm]; r != nil && now.Sub(r.heard) <= reportAge {
			total += r.demands[team]
		}
	}
	even := p.whole / float64(p.gateways)
	if total <= 0 || !p.heardAll(reports, now) {
		return even
	}
	return equalPart*even + (1-equalPart)*p.whole*own/total
}

// heardAll reports whether each peer's demand is known. Until then an even
// split is safe.
func (p partition) heardAll(reports map[string]*report, now clock.Instant) bool {
	for _, vm := range p.peers {
		if r := reports[vm]; r == nil || now.Sub(r.heard) > reportAge {
			return false
		}
	}
	return true
}
