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
	// maxReportedTeams bounds the teams in a report: those with the most demand.
	maxReportedTeams = 64
	// maxDemandMembers is the size of the fleet up to which demand is told to
	// other regions. In a larger fleet the limiter divides evenly.
	maxDemandMembers = 24
	// demandStepRatio is the ratio between two reported rates, so that small changes
	// aren't sent.
	demandStepRatio = 1.25
)

// DemandExchange is the limiter that divides limits by demand.
type DemandExchange interface {
	Report(vm string) limits.Report
	Heard(r limits.Report)
}

var _ DemandExchange = (*limits.Limiter)(nil)

// SetDemand connects the limiter. Its reports go to the peers, and those of
// reachable peers come to it again and again, also while they don't change.
func (f *Fleet) SetDemand(d DemandExchange) { f.demandExchange.Store(&d) }

// exchangeDemand shares the own demand and returns the reachable peers'
// reports, which are to be delivered without holding the mutex.
func (f *Fleet) exchangeDemand(now clock.Instant) []limits.Report {
	d := f.demandExchange.Load()
	if d == nil || now.Sub(f.schedule.lastDemand) < demandInterval {
		return nil
	}
	f.schedule.lastDemand = now
	own := coarsenReport((*d).Report(f.cfg.Self.VM))
	f.writeRecord(gossip.KindDemand, regionRecordName(f.cfg.Self.Region, f.cfg.Self.VM), own)
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
	d := f.demandExchange.Load()
	for _, r := range reports {
		(*d).Heard(r)
	}
}

// coarsenReport keeps the teams with the most demand, and rounds the rates up to
// steps. Teams are in order, so that equal reports are encoded alike.
func coarsenReport(r limits.Report) limits.Report {
	slices.SortFunc(r.Demands, func(a, b limits.Demand) int { return cmp.Compare(b.PerSecond, a.PerSecond) })
	r.Demands = r.Demands[:min(len(r.Demands), maxReportedTeams)]
	for i := range r.Demands {
		step := 0.01
		for step < r.Demands[i].PerSecond {
			step *= demandStepRatio
		}
		r.Demands[i].PerSecond = step
	}
	slices.SortFunc(r.Demands, func(a, b limits.Demand) int { return cmp.Compare(a.Team, b.Team) })
	return r
}
