package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/roster"
	"github.com/chestnutspring/chestnutspring/internal/serverlimit"
	"github.com/chestnutspring/chestnutspring/internal/upstream"
)

const (
	// pollInterval is the time between two polls of a model engine. A shorter
	// interval gains little, as an engine's report is a few hundred milliseconds
	// old when it is polled.
	pollInterval = 250 * time.Millisecond
	// calmPollRounds is the number of rounds between two polls of a calm engine by
	// its first-ranked poller. Polls cost the engine's operators.
	calmPollRounds = 2
	// backupPollRounds is the number of rounds between two polls of an engine by
	// a VM that is not the first-ranked poller of its region, for each VM of the
	// region beyond the first.
	backupPollRounds = 2
	// suspectPollers is the number of VMs of a region that poll a suspect engine
	// in every round; suspectPollRounds is the number of rounds between two polls
	// by each other VM. The other VMs receive the results of the first ones.
	suspectPollers    = 3
	suspectPollRounds = 4
	// pollTimeout bounds one poll.
	pollTimeout = 400 * time.Millisecond
	// urgentQueueLength is the number of servers that may wait to be checked at once.
	urgentQueueLength = 64
	// restartColdMargin is how long an engine that was found to have restarted
	// counts as cold beyond its service's cold start.
	restartColdMargin = time.Second
)

// Report is an engine's report of its own load.
type Report struct {
	balance.Report
	// Leaving means that the engine announced that it leaves.
	Leaving bool
	// RequestLimit is what the response says of the engine's request limit.
	RequestLimit serverlimit.Statement
	// FallsAt is what the response says of the refusals at which the engine falls over.
	FallsAt serverlimit.Statement
}

// ReportFetcher requests the load reports of backend servers.
type ReportFetcher interface {
	FetchReport(ctx context.Context, server *roster.Server) (Report, error)
	// CloseExpired closes connections that were not used for long, such as those to
	// servers that are gone. It is called several times per second.
	CloseExpired()
}

// poller polls the load reports of the region's model engines, and checks the links to
// servers that may be out of reach.
type poller struct {
	region   string
	table    func() *ingress.Table
	roster   *roster.Roster
	balancer *balance.Balancer
	fetcher  ReportFetcher
	// probe reports whether an address accepts new connections.
	probe func(ctx context.Context, address string) error
	now   clock.Clock
	log   logger

	// serverRank returns the number of VMs that poll a server in a failure domain
	// and this VM's rank among them; rank 0 polls in every round.
	serverRank func(server, failureDomain string) (vms, rank int)
	// onReport receives each report, to be forwarded to the other VMs of the
	// region.
	onReport func(server string, report balance.Report)
	// onFailure receives each engine that did not respond to a poll, to be announced
	// to the other VMs.
	onFailure func(s *roster.Server)
	// onRefused receives each engine at whose address no process listened, to be
	// announced to the other VMs.
	onRefused func(s *roster.Server)
	// onLeaving receives each engine that announced that it leaves.
	onLeaving func(key roster.ServerKey)
	// requestLimits keeps the request limits that engines name.
	requestLimits *serverlimit.Tracker
	// brittle keeps at how many refusals in a second the servers of services fall over.
	brittle *serverlimit.Tracker

	// urgent receives servers to be checked at once: no process listened at their
	// addresses, or a connection to them failed.
	urgent chan *roster.Server

	mu       sync.Mutex
	inFlight map[roster.ServerKey]bool
	rounds   int
}

type logger interface {
	Info(msg string, args ...any)
	Warn(msg string, args ...any)
}

func (p *poller) run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	p.pollAll(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-p.urgent:
			p.startCheck(ctx, s)
		case <-ticker.C:
			p.fetcher.CloseExpired()
			p.pollAll(ctx)
		}
	}
}

// serverLost records that no process listened at a server's address, tells the other VMs,
// and has the server polled at once.
func (p *poller) serverLost(s *roster.Server) {
	p.markRefused(s)
	p.queueLost(s)
}

// markRefused records that no process listened at a server's address, and tells the other
// VMs once.
func (p *poller) markRefused(s *roster.Server) {
	load := p.balancer.Load(s.Key())
	if !load.MayHaveRestarted() {
		p.onRefused(s)
	}
	load.MarkLost(p.now())
}

// queueLost records that a server may have restarted, and has it checked at once.
func (p *poller) queueLost(s *roster.Server) {
	p.balancer.Load(s.Key()).MarkLost(p.now())
	p.queueCheck(s)
}

// queueCheck has a server checked at once.
func (p *poller) queueCheck(s *roster.Server) {
	select {
	case p.urgent <- s:
	default: // it is checked in the next round
	}
}

// engineService returns the service of a model engine, or nil.
func (p *poller) engineService(s *roster.Server) *ingress.Service {
	table := p.table()
	if table == nil {
		return nil
	}
	if service := table.Services[s.Service]; service != nil && service.Engine != nil {
		return service
	}
	return nil
}

// applyStart compares the start time of a report with that of the server's entry, and
// reports whether the entry is that of an earlier process.
func applyStart(load *balance.Load, service *ingress.Service, s *roster.Server, started int64, now clock.Instant) bool {
	if started == 0 || s.Started == 0 || started == s.Started {
		return false
	}
	load.RecordRestart(started, now, service.ColdPeriod+restartColdMargin)
	return true
}

func (p *poller) pollAll(ctx context.Context) {
	table := p.table()
	if table == nil {
		return
	}
	view := p.roster.View()
	p.rounds++
	for name, service := range table.Services {
		for _, s := range view.Usable(name, p.region) {
			if service.Engine != nil && p.shouldPoll(s) || service.Engine == nil && p.balancer.Load(s.Key()).Suspected(p.now()) {
				p.startCheck(ctx, s)
			}
		}
	}
	p.balancer.RemoveUnlisted(view, p.now())
	p.balancer.AdvanceSlowStarts(table.Services, view, p.now())
}

// shouldPoll reports whether this VM polls an engine in this round.
func (p *poller) shouldPoll(s *roster.Server) bool {
	vms, rank := p.serverRank(s.ID, s.FailureDomain)
	load := p.balancer.Load(s.Key())
	// The revision and the rank spread the polls of the VMs over the rounds.
	offset := p.rounds + int(s.Revision.Number()) + rank
	if rank == 0 {
		return offset%calmPollRounds == 0 || !load.Calm(s.Slots, p.now())
	}
	if load.InSlowStart() && !p.balancer.Fleet.LargeRegion() {
		return true // reports are not forwarded here, and the window depends on them
	}
	if !load.Suspected(p.now()) {
		return offset%(backupPollRounds*max(1, vms-1)) == 0
	}
	return rank < suspectPollers || offset%suspectPollRounds == 0
}

// startCheck checks one server in the background, unless an earlier check of it is still
// in flight.
func (p *poller) startCheck(ctx context.Context, s *roster.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[s.Key()] {
		return
	}
	p.inFlight[s.Key()] = true
	go func() {
		defer func() {
			p.mu.Lock()
			delete(p.inFlight, s.Key())
			p.mu.Unlock()
		}()
		p.check(ctx, s)
	}()
}

// check polls an engine, and opens a connection to a server whose link only that can show
// to work. A plain server has no report.
func (p *poller) check(ctx context.Context, s *roster.Server) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load := p.balancer.Load(s.Key())
	wasLost, began := load.Link.Lost(), p.now()
	service := p.engineService(s)
	var err error
	if service != nil {
		err = p.poll(ctx, service, s, wasLost)
	}
	if service == nil || load.Link.NeedsDial() {
		err = errors.Join(err, p.dial(ctx, s, began))
	}
	switch lost := load.Link.Lost(); {
	case lost && !wasLost:
		p.log.Warn("backend server unresponsive", "server", s.ID, "service", s.Service, "error", err)
	case !lost && wasLost:
		load.RecordLinkRestored(p.now())
		load.Breaker.Reset() // what failed over the lost link says little about the server
		p.log.Info("backend server responding again", "server", s.ID, "service", s.Service)
	}
}

// dial records whether a server accepts a new connection.
func (p *poller) dial(ctx context.Context, s *roster.Server, began clock.Instant) error {
	load := p.balancer.Load(s.Key())
	err := p.probe(ctx, s.Address)
	if errorx.IsOfType(err, upstream.ErrExhausted) {
		return err
	}
	load.Link.RecordDial(err == nil, p.now())
	if err == nil && p.engineService(s) == nil {
		load.ConfirmRunning(began)
	}
	return err
}

// poll fetches an engine's report. One that is known to be out of reach is not announced
// again to the other VMs.
func (p *poller) poll(ctx context.Context, service *ingress.Service, s *roster.Server, wasLost bool) error {
	load, began := p.balancer.Load(s.Key()), p.now()
	report, err := p.fetcher.FetchReport(ctx, s)
	if errorx.IsOfType(err, upstream.ErrExhausted) {
		p.log.Warn("backend server not polled", "server", s.ID, "service", s.Service, "error", err)
		return err
	}
	if err != nil {
		load.Link.RecordPoll(false, p.now())
		if !wasLost {
			p.onFailure(s)
		}
		if errorx.IsOfType(err, upstream.ErrRefused) {
			p.markRefused(s)
		}
		return err
	}
	p.record(service, s, report, began)
	return nil
}

// record applies an engine's report, which was requested at the instant began, and
// returns whether it is that of a later process than the listed one.
func (p *poller) record(service *ingress.Service, s *roster.Server, report Report, began clock.Instant) (restarted bool) {
	now, load := p.now(), p.balancer.Load(s.Key())
	restarted = applyStart(load, service, s, report.Started, now)
	if !restarted {
		load.ConfirmRunning(began)
		p.requestLimits.Record(serverlimit.OfServer(s), report.RequestLimit, serverlimit.FromReport)
		p.brittle.Record(serverlimit.OfService(s.Service), report.FallsAt, serverlimit.FromReport)
		if report.Leaving {
			p.onLeaving(s.Key())
		}
	}
	report.ReceivedAt = now
	load.RecordPollReport(report.Report)
	p.onReport(s.ID, report.Report)
	return restarted
}
