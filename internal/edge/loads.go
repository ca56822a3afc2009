package edge

import (
	"context"
	"slices"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/mesh"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

// share exchanges loads and notices when the process stood still.
func (e *Edge) share(ctx context.Context) error {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	last := e.now()
	for n := 0; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.changed:
			if e.mesh.LargeRegion() {
				continue // told at the next tick
			}
			e.tellLoad(e.now())
			// Changes that come together are told together.
			time.Sleep(tellInterval)
			continue
		case <-e.heard:
			e.hearLoads(e.now())
			continue
		case <-ticker.C:
		}
		n++
		now := e.now()
		if stood := now.Sub(last); stood > freezeAfter {
			e.log.Warn("the process stood still", "for", stood)
		}
		last = now
		if !e.mesh.LargeRegion() || n%largeShare == 0 {
			e.exchangeLoads(now)
		}
		if n%10 == 0 {
			e.servers.CloseExpired()
			e.gateways.CloseExpired()
		}
		if ready := e.follower.Known() && !e.leaving.Load(); ready != e.ready.Load() {
			e.ready.Store(ready)
			e.mesh.SetState(mesh.State{Ready: ready, Leaving: e.leaving.Load(), Closing: e.refusing.Load()})
			e.log.Info("readiness changed", "ready", ready)
		}
		e.roster.Expire(now)
		e.gauges(now)
	}
}

// ownedUse returns what this VM knows of the engines that long prompts reach
// through it.
func (e *Edge) ownedUse(now clock.Instant) map[string]balance.Usage {
	usage := map[string]balance.Usage{}
	for _, s := range e.roster.View().All() {
		if s.Region != e.self.Region {
			continue
		}
		u := e.balancer.Load(s.Key()).OwnUsage(now)
		if u.StallingPerSecond < leastHeavy && u.PrefillBacklogUs < leastBacklog.Microseconds() && u.TokenUs == 0 {
			continue
		}
		if _, address := e.mesh.Owner(s.ID, s.FailureDomain); address == "" {
			usage[s.ID] = balance.Usage{StallingPerSecond: u.StallingPerSecond, PrefillBacklogUs: u.PrefillBacklogUs, TokenUs: u.TokenUs}
		}
	}
	return usage
}

// lastReads returns the reads of the last few words, the new ones included. In
// a large region a word can be replaced by the next one before all have it.
func (e *Edge) lastReads(reads []balance.CachedBlock) []balance.CachedBlock {
	e.reads = append(e.reads, reads)
	e.reads = e.reads[max(0, len(e.reads)-repeatedReads):]
	return slices.Concat(e.reads...)
}

// repeatedReads is the number of words that tell of a read: as many as the
// steps of the exchange within a failure domain.
const repeatedReads = 4

const (
	// leastHeavy is the rate of heavy prompts, per second, and leastBacklog the
	// time until all prompts are read, that are worth telling.
	leastHeavy   = 0.02
	leastBacklog = 20 * time.Millisecond
)

// loadHeard takes in what another VM of the region tells.
func (e *Edge) loadHeard(load mesh.Load) {
	now := e.now()
	e.balancer.Prefixes.Apply(load.Reads, now)
	view := e.roster.View()
	for _, id := range load.Suspects {
		if s := view.Lookup(id); s != nil {
			e.balancer.Load(s.Key()).MarkSuspect(now)
		}
	}
	for id, report := range load.Reports {
		if s := view.Lookup(id); s != nil {
			report.ReceivedAt = now
			e.balancer.Load(s.Key()).RecordForwardedReport(report)
		}
	}
	wake(e.heard)
}

// suspect tells the others of the region of a server that did not answer.
func (e *Edge) suspect(s *roster.Server) {
	e.newsMu.Lock()
	e.suspects = append(e.suspects, s.ID)
	e.newsMu.Unlock()
	e.wakeShare()
}

// reported keeps a report for the others of a large region.
func (e *Edge) reported(server string, report balance.Report) {
	e.newsMu.Lock()
	defer e.newsMu.Unlock()
	e.reports[server] = report
}

// takeNews returns the suspects and reports since the last call.
func (e *Edge) takeNews() ([]string, map[string]balance.Report) {
	e.newsMu.Lock()
	defer e.newsMu.Unlock()
	suspects, reports := e.suspects, e.reports
	e.suspects, e.reports = nil, map[string]balance.Report{}
	return suspects, reports
}

// wakeShare has the others told of a changed load.
func (e *Edge) wakeShare() { wake(e.changed) }

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// hearLoads takes in what the other VMs of the region say of their use.
func (e *Edge) hearLoads(now clock.Instant) {
	table := e.follower.Table()
	if table == nil {
		return
	}
	view, others := e.roster.View(), e.mesh.Usages()
	for name := range table.Services {
		for _, s := range view.Usable(name, e.self.Region) {
			e.balancer.Load(s.Key()).SetPeerUsage(others[s.ID], now)
		}
	}
}

// tellLoad tells the others of the region this VM's use of backend servers.
func (e *Edge) tellLoad(now clock.Instant) {
	table := e.follower.Table()
	if table == nil {
		return
	}
	suspects, reports := e.takeNews()
	load := mesh.Load{Reads: e.balancer.Prefixes.TakeUpdates(), Suspects: suspects}
	if e.mesh.LargeRegion() {
		load.Reports, load.Usage, load.Reads = reports, e.ownedUse(now), e.lastReads(load.Reads)
		if len(load.Reads)+len(load.Suspects)+len(load.Reports)+len(load.Usage) > 0 {
			e.mesh.SetLoad(load)
		}
		return
	}
	view, usage := e.roster.View(), map[string]balance.Usage{}
	for name := range table.Services {
		for _, s := range view.Usable(name, e.self.Region) {
			if u := e.balancer.Load(s.Key()).OwnUsage(now); u.Active > 0 || u.StallingPerSecond > 0 {
				usage[s.ID] = u
			}
		}
	}
	load.Usage = usage
	e.mesh.SetLoad(load)
}

// exchangeLoads tells the others this VM's use of backend servers, and takes
// in theirs.
func (e *Edge) exchangeLoads(now clock.Instant) {
	table := e.follower.Table()
	if table == nil {
		return
	}
	e.hearLoads(now)
	e.tellLoad(now)
	if !e.mesh.IsReporter() {
		return
	}
	view := e.roster.View()
	var summaries []balance.Summary
	for _, service := range table.Services {
		summaries = append(summaries, e.balancer.Summarize(service, view, now))
	}
	e.mesh.SetSummaries(summaries)
}
