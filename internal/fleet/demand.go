package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/limits"
)

const (
	// demandInterval is the time between two looks at the own demand and two
	// deliveries of what peers report.
	demandInterval = 2 * time.Second
	// maxDemands bounds the teams in a report: those with the most demand.
	maxDemands = 64
	// maxDemandMembers is the size of the fleet up to which demand is told to
	// other regions. In a larger fleet the limiter divides evenly.
	maxDemandMembers = 24
	// demandStep is the ratio between two reported rates, so that small changes
	// aren't sent.
	demandStep = 1.25
)

// DemandExchange is the limiter that divides limits by demand.
type DemandExchange interface {
	Report(vm string) limits.Report
	ApplyReport(r limits.Report)
}

var _ DemandExchange = (*limits.Limiter)(nil)

// SetDemand connects the limiter. Its reports go to the peers, and those of
// reachable peers come to it again and again, also while they don't change.
func (f *Fleet) SetDemand(d DemandExchange) { f.demand.Store(&d) }

// exchangeDemand shares the own demand and returns the reachable peers'
// reports, which are to be delivered without holding the mutex.
func (f *Fleet) exchangeDemand(now clock.Instant) []limits.Report {
	d := f.demand.Load()
	if d == nil || now.Sub(f.paused.demand) < demandInterval {
		return nil
	}
	f.paused.demand = now
	own := coarse((*d).Report(f.cfg.Self.VM))
	f.write(gossip.KindDemand, regionName(f.cfg.Self.Region, f.cfg.Self.VM), own)
	var reports []limits.Report
	members := f.cfg.Publisher.Load().Members
	f.store.Each(gossip.KindDemand, func(r gossip.Record) {
		var report limits.Report
		if gossip.Decode(r.Value, &report) != nil || report.VM == f.cfg.Self.VM {
			return
		}
		if m := members[report.VM]; m != nil && m.Reachable {
			reports = append(reports, report)
		}
	})
	return reports
}

func (f *Fleet) deliverDemand(reports []limits.Report) {
	d := f.demand.Load()
	for _, r := range reports {
		(*d).ApplyReport(r)
	}
}

// coarse keeps the teams with the most demand, and rounds the rates up to
// steps. Teams are in order, so that equal reports are encoded alike.
func coarse(r limits.Report) limits.Report {
	slices.SortFunc(r.Demands, func(a, b limits.Demand) int { return cmp.Compare(b.PerSecond, a.PerSecond) })
	r.Demands = r.Demands[:min(len(r.Demands), maxDemands)]
	for i := range r.Demands {
		step := 0.01
		for step < r.Demands[i].PerSecond {
			step *= demandStep
		}
		r.Demands[i].PerSecond = step
	}
	slices.SortFunc(r.Demands, func(a, b limits.Demand) int { return cmp.Compare(a.Team, b.Team) })
	return r
}
