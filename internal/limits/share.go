// Package limits divides the limits of teams among the gateways of the fleet
// without a shared counter.
//
// Each gateway takes a share of a team's limit in proportion to its own demand
// and the demand that its peers report. The shares of all gateways that hold
// the same reports add up to at most the whole limit. An unreachable region
// keeps its share, because its gateways continue to serve requests.
package limits

import (
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

const (
	// equalFraction is the fraction of a limit that is divided evenly, so that
	// a gateway without demand can admit requests at once.
	equalFraction = 0.3
	// maxReportAge is the age up to which a peer's report is used.
	maxReportAge = 10 * time.Second
)

// Demand is the demand of one team at one gateway.
type Demand struct {
	Team string `json:"team" msgpack:"t"`
	// PerSecond is the smoothed rate of admitted and refused requests.
	PerSecond float64 `json:"perSecond" msgpack:"r"`
}

// Report holds the demand at one gateway. Gateways exchange reports.
type Report struct {
	VM string `json:"vm" msgpack:"v"`
	// Demands lists the teams with limits and non-zero demand.
	Demands []Demand `json:"demands" msgpack:"d"`
}

// report is a received Report, indexed by team.
type report struct {
	receivedAt clock.Instant
	demands    map[string]float64
}

// partition describes the gateways that this gateway can reach. The shares of
// the limits are computed from it.
type partition struct {
	// gateways counts the reachable gateways, including this one. share is
	// their combined fraction of each limit.
	gateways int
	share    float64
	peers    []string
}

// newPartition counts the members by region. A region without a reachable
// member keeps its share. In a reachable region, an unreachable member is
// treated as removed, and its share goes to the other gateways.
func newPartition(s *snapshot.Snapshot) partition {
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
	all, unreachable := 0, 0
	for region, n := range total {
		if reachable[region] > 0 {
			all += reachable[region]
			continue
		}
		all += n
		unreachable += n
	}
	p.gateways = all - unreachable
	p.share = float64(p.gateways) / float64(all)
	return p
}

// gatewayShare returns this gateway's fraction of a team's limit, between 0 and
// 1. own is the demand at this gateway in requests per second.
func (p partition) gatewayShare(team string, own float64, reports map[string]*report, now clock.Instant) float64 {
	total := own
	for _, vm := range p.peers {
		if r := reports[vm]; r != nil && now.Sub(r.receivedAt) <= maxReportAge {
			total += r.demands[team]
		}
	}
	even := p.share / float64(p.gateways)
	if total <= 0 || !p.allReported(reports, now) {
		return even
	}
	return equalFraction*even + (1-equalFraction)*p.share*own/total
}

// allReported reports whether the demand of each peer is known. Without it,
// only an even division is sure to stay within the limit.
func (p partition) allReported(reports map[string]*report, now clock.Instant) bool {
	for _, vm := range p.peers {
		if r := reports[vm]; r == nil || now.Sub(r.receivedAt) > maxReportAge {
			return false
		}
	}
	return true
}
