package edge

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

const (
	// pollInterval is the time between two questions to a model engine. The
	// engine's report lags by a few hundred milliseconds anyway.
	pollInterval = 250 * time.Millisecond
	// sparsePolls is the number of intervals between two questions of a VM
	// that isn't the one of its region that asks an engine regularly, for each
	// VM of the region beyond the first. It asks as often while the engine is
	// in doubt.
	sparsePolls = 2
	// doubters is the number of VMs of a region that ask an engine in doubt in
	// each interval; doubtPolls is the number of intervals between two questions
	// of each other VM. The others learn what the first find out.
	doubters   = 3
	doubtPolls = 4
	// pollTimeout bounds one question.
	pollTimeout = 400 * time.Millisecond
	// doubtFor is how long an engine that was found to have started anew
	// counts as cold, beyond its service's cold start.
	doubtFor = time.Second
)

// Report is an engine's word about itself.
type Report struct {
	balance.Report
	// Started is when the engine's process started, in Unix milliseconds; zero
	// is unknown.
	Started int64
}

// Prober asks a backend server for its load.
type Prober interface {
	Report(ctx context.Context, server *roster.Server) (Report, error)
}

// poller asks the region's model engines for their load.
type poller struct {
	region   string
	table    func() *ingress.Table
	roster   *roster.Roster
	balancer *balance.Balancer
	prober   Prober
	now      clock.Clock
	log      logger

	// peers returns the number of VMs that ask a server in a failure domain,
	// and this one's rank.
	peers func(server, failureDomain string) (vms, rank int)
	// reported takes in a report for the other VMs of the region.
	reported func(server string, report balance.Report)
	// suspect tells the other VMs of an engine that did not answer.
	suspect func(s *roster.Server)

	mu     sync.Mutex
	busy   map[roster.ServerKey]bool
	rounds int
}

type logger interface {
	Info(msg string, args ...any)
	Warn(msg string, args ...any)
}

func (p *poller) run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		p.round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (p *poller) round(ctx context.Context) {
	table := p.table()
	if table == nil {
		return
	}
	view := p.roster.View()
	p.rounds++
	for name, service := range table.Services {
		if service.Engine == nil {
			continue
		}
		for _, s := range view.Usable(name, p.region) {
			if p.due(s) {
				p.start(ctx, service, s)
			}
		}
	}
	p.balancer.RemoveUnlisted(view)
}

// due reports whether this VM asks an engine in this round.
func (p *poller) due(s *roster.Server) bool {
	vms, rank := p.peers(s.ID, s.FailureDomain)
	if rank == 0 {
		return true
	}
	turn := p.rounds + int(s.Revision) + rank
	if !p.balancer.Load(s.Key()).Suspected(p.now()) {
		return turn%(sparsePolls*max(1, vms-1)) == 0
	}
	return rank < doubters || turn%doubtPolls == 0
}

// start asks one engine, unless an earlier question is still out.
func (p *poller) start(ctx context.Context, service *ingress.Service, s *roster.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[s.Key()] {
		return
	}
	p.busy[s.Key()] = true
	go func() {
		defer func() {
			p.mu.Lock()
			delete(p.busy, s.Key())
			p.mu.Unlock()
		}()
		p.ask(ctx, service, s)
	}()
}

func (p *poller) ask(ctx context.Context, service *ingress.Service, s *roster.Server) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load := p.balancer.Load(s.Key())
	wasLost := load.Unresponsive()
	report, err := p.prober.Report(ctx, s)
	if err != nil {
		load.RecordMissedPoll()
		p.suspect(s)
		if load.Unresponsive() && !wasLost {
			p.log.Warn("backend server lost", "server", s.ID, "service", s.Service, "error", err)
		}
		return
	}
	now := p.now()
	if report.Started != 0 && s.Started != 0 && report.Started != s.Started {
		load.MarkCold(now.Add(service.ColdPeriod + doubtFor))
	}
	report.ReceivedAt = now
	load.RecordPollReport(report.Report)
	p.reported(s.ID, report.Report)
	if wasLost {
		p.log.Info("backend server regained", "server", s.ID, "service", s.Service, "started", report.Started)
	}
}
