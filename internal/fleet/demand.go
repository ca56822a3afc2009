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
	// demandInterval is the time between two reports of this process's demand,
	// and between two deliveries of the peers' reports to the limiter.
	demandInterval = 2 * time.Second
	// maxReportedTeams bounds the teams in a report; those with the most demand
	// are kept.
	maxReportedTeams = 64
	// maxDemandMembers is the number of members up to which demand is sent to
	// other regions. In a larger fleet the limiter divides limits evenly.
	maxDemandMembers = 24
	// demandStepRatio is the ratio between adjacent steps of the reported rates,
	// so that small changes aren't sent.
	demandStepRatio = 1.25
)

// DemandExchange is a limiter that divides limits among members by demand.
type DemandExchange interface {
	Report(vm string) limits.Report
	ApplyReport(r limits.Report)
}

var _ DemandExchange = (*limits.Limiter)(nil)

// SetDemand connects the limiter. Its reports are sent to the peers, and those
// of reachable peers are delivered to it every demandInterval, even if they
// haven't changed.
func (f *Fleet) SetDemand(d DemandExchange) { f.demandExchange.Store(&d) }

// exchangeDemand publishes this process's demand and returns the reports of the
// reachable peers. The caller passes them to deliverDemand after releasing f.mu.
// It returns nil if no report is due yet.
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
		(*d).ApplyReport(r)
	}
}

// coarsenReport keeps the teams with the most demand and rounds their rates up
// to steps. It sorts by team, so that equal reports have the same encoding.
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
