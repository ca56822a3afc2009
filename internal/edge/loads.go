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

// runLoadExchange exchanges loads with the other VMs of the region until ctx
// ends. On each tick it also logs if the process was paused, and does the
// periodic upkeep: connection pools, readiness, lapsed registry entries, the
// quarantine, request limits, streams and gauges.
func (e *Edge) runLoadExchange(ctx context.Context) error {
	ticker := time.NewTicker(loadExchangeInterval)
	defer ticker.Stop()
	last := e.now()
	resources := newResources(e.settings.Load(), e.log, e.metrics.Scope)
	for n := 0; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.usageChanged:
			if e.mesh.LargeRegion() {
				continue // published at a later tick
			}
			e.publishLoad(e.now())
			// Changes that follow within this time are announced together.
			time.Sleep(minPublishInterval)
			continue
		case <-e.peerLoadReceived:
			if !e.mesh.LargeRegion() { // applied at a later tick there
				e.applyPeerUsage(e.now())
			}
			continue
		case <-ticker.C:
		}
		n++
		now := e.now()
		if elapsed := now.Sub(last); elapsed > pauseThreshold {
			e.log.Warn("process was paused", "for", elapsed)
		}
		last = now
		if !e.mesh.LargeRegion() || n%largeRegionIntervals == 0 {
			e.exchangeLoads(now)
		}
		if n%10 == 0 {
			e.serverPool.CloseExpired()
			e.gatewayPool.CloseExpired()
			resources.observe(now)
		}
		if ready := e.follower.Initialized() && !e.leaving.Load(); ready != e.ready.Load() {
			e.ready.Store(ready)
			e.mesh.SetState(mesh.State{Ready: ready, Leaving: e.leaving.Load(), Closing: e.refusing.Load()})
			e.log.Info("readiness changed", "ready", ready)
		}
		if !e.mesh.LargeRegion() || n%largeRegionIntervals == 0 {
			e.announceReach(now)
		}
		e.follower.Expire(now)
		e.quarantine.Tick(now)
		e.limits.Tick(now)
		e.brittle.Tick(now)
		if !e.mesh.LargeRegion() || n%largeRegionIntervals == 0 {
			e.streams.Tick(now)
		}
		e.updateGauges(now)
	}
}

// coordinatedUsage returns this VM's usage of the engines for which it is the
// prefill coordinator.
func (e *Edge) coordinatedUsage(now clock.Instant) map[string]balance.Usage {
	usage := map[string]balance.Usage{}
	for _, s := range e.roster.View().All() {
		if s.Region != e.self.Region {
			continue
		}
		u := e.balancer.Load(s.Key()).OwnUsage(now)
		if u.StallingPerSecond < minStallingPerSecond && u.PrefillBacklogUs < minPrefillBacklog.Microseconds() && u.TokenUs == 0 {
			continue
		}
		if _, address := e.mesh.PrefillCoordinator(s.ID, s.FailureDomain); address == "" {
			usage[s.ID] = balance.Usage{StallingPerSecond: u.StallingPerSecond, PrefillBacklogUs: u.PrefillBacklogUs, TokenUs: u.TokenUs}
		}
	}
	return usage
}

const (
	// minStallingPerSecond is the rate of stalling prompts per second, and
	// minPrefillBacklog the prefill backlog, from which usage is announced in a
	// large region. Usage with a known time per token is always announced.
	minStallingPerSecond = 0.02
	minPrefillBacklog    = 20 * time.Millisecond
)

// applyPeerLoad applies the load announcement of another VM of the region.
func (e *Edge) applyPeerLoad(load mesh.Load) {
	now := e.now()
	e.balancer.Prefixes.Apply(load.CachedBlocks, now)
	view := e.roster.View()
	for _, id := range load.Suspects {
		if s := view.Lookup(id); s != nil {
			e.balancer.Load(s.Key()).MarkSuspect(now)
		}
	}
	for _, id := range load.Lost {
		if s := view.Lookup(id); s != nil && !e.balancer.Load(s.Key()).MayHaveRestarted() {
			e.poller.queueLost(s)
		}
	}
	for id, report := range load.Reports {
		if s := view.Lookup(id); s != nil {
			report.ReceivedAt = now
			load := e.balancer.Load(s.Key())
			load.RecordForwardedReport(report)
			if service := e.poller.engineService(s); service != nil {
				applyStart(load, service, s, report.Started, now)
			}
		}
	}
	notify(e.peerLoadReceived)
}

// queueSuspect queues a server that did not respond to a poll for the next load
// announcement, and triggers one.
func (e *Edge) queueSuspect(s *roster.Server) {
	e.pendingMu.Lock()
	e.pendingSuspects = append(e.pendingSuspects, s.ID)
	e.pendingMu.Unlock()
	e.signalUsageChange()
}

// queueRefused queues a server at whose address no process listened for the next load
// announcement, and triggers one.
func (e *Edge) queueRefused(s *roster.Server) {
	e.pendingMu.Lock()
	e.pendingLost = append(e.pendingLost, s.ID)
	e.pendingMu.Unlock()
	e.signalUsageChange()
}

// queueReport queues a server's report for the other VMs of a large region.
func (e *Edge) queueReport(server string, report balance.Report) {
	e.pendingMu.Lock()
	defer e.pendingMu.Unlock()
	e.pendingReports[server] = report
}

// takePending returns the load announcement with the suspects, lost servers and reports
// queued since the last call.
func (e *Edge) takePending() mesh.Load {
	e.pendingMu.Lock()
	defer e.pendingMu.Unlock()
	load := mesh.Load{Suspects: e.pendingSuspects, Lost: e.pendingLost, Reports: e.pendingReports}
	e.pendingSuspects, e.pendingLost, e.pendingReports = nil, nil, map[string]balance.Report{}
	return load
}

// announceReach tells the other VMs which servers of the region this VM doesn't reach, if
// that has changed.
func (e *Edge) announceReach(now clock.Instant) {
	if e.mesh.LargeRegion() && e.reachAnnouncedAt != 0 && now.Sub(e.reachAnnouncedAt) < largeReachInterval {
		return
	}
	unreached := []string{}
	for _, s := range e.roster.View().All() {
		if s.Region == e.self.Region && e.balancer.Load(s.Key()).Link.Lost() {
			unreached = append(unreached, s.ID)
		}
	}
	if e.announcedUnreached != nil && slices.Equal(unreached, e.announcedUnreached) {
		return
	}
	if len(unreached)+len(e.announcedUnreached) > 0 {
		e.log.Info("links to backend servers changed", "unreached", len(unreached), "before", len(e.announcedUnreached), "servers", unreached[:min(len(unreached), maxLoggedServers)])
	}
	e.announcedUnreached, e.reachAnnouncedAt = unreached, now
	e.mesh.SetUnreached(unreached)
}

// largeReachInterval is the minimum time between two announcements of the servers that this VM
// doesn't reach, in a large region: when many servers fail, each VM finds out one by one.
const largeReachInterval = time.Second

// maxLoggedServers bounds the servers that are named in a log line.
const maxLoggedServers = 10

// signalUsageChange triggers a load announcement.
func (e *Edge) signalUsageChange() { notify(e.usageChanged) }

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// applyPeerUsage updates the balancer with the usage that the other VMs of the
// region announced.
func (e *Edge) applyPeerUsage(now clock.Instant) {
	table := e.follower.Table()
	if table == nil {
		return
	}
	view, others := e.roster.View(), e.mesh.PeerUsage()
	for name := range table.Services {
		for _, s := range view.Usable(name, e.self.Region) {
			e.balancer.Load(s.Key()).SetPeerUsage(others[s.ID], now)
		}
	}
}

// publishLoad announces this VM's usage of backend servers to the other VMs of
// the region.
func (e *Edge) publishLoad(now clock.Instant) {
	table := e.follower.Table()
	if table == nil {
		return
	}
	load := e.takePending()
	load.CachedBlocks = e.balancer.Prefixes.TakeUpdates()
	if e.mesh.LargeRegion() {
		load.Usage = e.coordinatedUsage(now)
		if items := (mesh.Load{CachedBlocks: load.CachedBlocks, Lost: load.Lost}); len(items.CachedBlocks)+len(items.Lost) > 0 {
			e.mesh.AddLoad(items)
		}
		load.CachedBlocks, load.Lost = nil, nil
		if len(load.Suspects)+len(load.Reports)+len(load.Usage) > 0 {
			e.mesh.SetLoad(load)
		}
		return
	}
	load.Reports = nil // each VM of a small region polls the servers itself
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

// exchangeLoads applies the usage announced by the other VMs and publishes that
// of this VM. A summary publisher also publishes the region's summaries.
func (e *Edge) exchangeLoads(now clock.Instant) {
	table := e.follower.Table()
	if table == nil {
		return
	}
	e.applyPeerUsage(now)
	e.publishLoad(now)
	if !e.mesh.IsSummaryPublisher() {
		return
	}
	view := e.roster.View()
	var summaries []balance.Summary
	for _, service := range table.Services {
		summaries = append(summaries, e.balancer.Summarize(service, view, now))
	}
	e.mesh.SetSummaries(summaries)
}
