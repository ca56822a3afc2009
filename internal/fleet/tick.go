package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chestnutspring/chestnutspring/internal/background"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/membership"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

const (
	// tickInterval is the time between two regular updates of the view.
	tickInterval = 500 * time.Millisecond
	// minPause is the gap between two ticks above which the process is taken to
	// have been paused.
	minPause = 1500 * time.Millisecond
	// syncTimeout bounds how long a starting process waits for the records of a
	// peer of its region.
	syncTimeout = 2 * time.Second
	// pruneInterval is the time between two scans for records of removed VMs and
	// backend servers.
	pruneInterval = time.Minute
	// publishInterval is the minimum time between two publications of changes
	// that aren't urgent.
	publishInterval = 100 * time.Millisecond
)

// tickSchedule holds when the periodic tasks of the tick last ran, and the last
// pause of this process.
type tickSchedule struct {
	lastTick clock.Instant
	// resumedAt is when the last pause ended; zero means that there was none.
	resumedAt clock.Instant
	// refreshing is set from the end of a pause until all backend servers have
	// been probed again.
	refreshing          bool
	lastHeartbeat       clock.Instant
	lastRegionHeartbeat clock.Instant
	lastSummaries       clock.Instant
	lastPrune           clock.Instant
	lastDemand          clock.Instant
}

func (f *Fleet) tickLoop(ctx context.Context, group *errgroup.Group) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.tickRequests:
		case <-ticker.C:
		}
		f.tick(ctx, group)
	}
}

// requestTick starts the next tick at once, after a change that may affect the
// peers to which this member should be connected.
func (f *Fleet) requestTick() {
	select {
	case f.tickRequests <- struct{}{}:
	default:
	}
}

// tick updates the view: it detects pauses, follows the configuration, writes
// heartbeats, and assigns roles and links.
func (f *Fleet) tick(ctx context.Context, group *errgroup.Group) {
	now := f.cfg.Now()
	f.mu.Lock()
	gap := now.Sub(f.schedule.lastTick)
	f.schedule.lastTick = now
	if gap > minPause {
		f.handleResume(ctx, group, gap, now)
	}
	f.config = f.cfg.Publisher.Load().Config
	f.tracker.Sync(f.config, now)
	members := f.table.Members(now)
	f.assignRoles(members, now)
	f.confirmFromHeartbeats(now)
	f.writeHeartbeats(members, now)
	f.writeSummaries(now)
	f.updateLinks(ctx, group, now)
	f.prune(now)
	f.checkSynced(members, now)
	demands := f.exchangeDemand(now)
	f.stale = staleViews{members: true, backends: true, regions: true}
	f.mu.Unlock()
	f.deliverDemand(demands)
	f.publish(true)
	f.checkReady()
	f.callClients.closeIdle(now)
	f.updateGauges()
}

// handleResume handles the end of a pause. No message could be received during
// it, so the pause doesn't count in the time since a member's last message. The
// state of the backend servers must be confirmed before it is used again.
func (f *Fleet) handleResume(ctx context.Context, group *errgroup.Group, gap time.Duration, now clock.Instant) {
	f.cfg.Log.Warn("process was paused", "duration", gap)
	f.cfg.Scope.Counter("pauses").Inc(1)
	f.table.ShiftTimes(gap)
	f.schedule.resumedAt = now
	f.schedule.refreshing = true
	group.Go(func() error {
		f.probeAll(ctx)
		f.mu.Lock()
		if f.schedule.resumedAt == now {
			f.schedule.refreshing = false
			f.stale.backends = true
		}
		f.mu.Unlock()
		f.publish(true)
		return nil
	})
}

// writeHeartbeats writes the heartbeats that are due.
func (f *Fleet) writeHeartbeats(members map[string]*snapshot.Member, now clock.Instant) {
	if now.Sub(f.schedule.lastHeartbeat) >= membership.HeartbeatInterval {
		f.schedule.lastHeartbeat = now
		beat := membership.Heartbeat{Revision: f.revision(), View: f.heartbeatView(now)}
		f.writeOwnRecord(gossip.KindHeartbeat, f.cfg.Self.VM, beat)
		f.table.RecordHeartbeat(f.cfg.Self.VM, beat, now)
	}
	interval := time.Duration(len(f.regionStates)) * heartbeatIntervalPerRegion
	if now.Sub(f.schedule.lastRegionHeartbeat) >= min(max(interval, minRegionHeartbeatInterval), maxRegionHeartbeatInterval) {
		f.schedule.lastRegionHeartbeat = now
		name := regionRecordName(f.cfg.Self.Region, f.cfg.Self.VM)
		f.writeOwnRecord(gossip.KindRegion, name, membership.RegionHeartbeat{Unreachable: f.unreachableMembers(members)})
	}
}

// heartbeatView returns the view ID for the heartbeat. It is zero while this
// member is late with its probes, so that peers don't take the heartbeat as
// confirmation of the results.
func (f *Fleet) heartbeatView(now clock.Instant) uint32 {
	if f.schedule.refreshing {
		return 0
	}
	for name, vms := range f.roles.probers {
		if slices.Contains(vms, f.cfg.Self.VM) && now.Sub(f.tracker.ConfirmedAt(name)) > maxConfirmationAge && f.tracker.State(name).Healthy {
			return 0
		}
	}
	return f.roles.viewID
}

// unreachableMembers returns the announced members of this region that are
// unreachable.
func (f *Fleet) unreachableMembers(members map[string]*snapshot.Member) []string {
	var vms []string
	for vm, m := range members {
		if m.Region == f.cfg.Self.Region && !m.Reachable && m.Incarnation != "" {
			vms = append(vms, vm)
		}
	}
	return vms
}

// checkSynced ends the wait for the records of a peer of the region if there is
// no peer, or after syncTimeout. The wait is needed since the list of VMs may be
// old: a process that has just started learns from its peers which VMs are
// leaving.
func (f *Fleet) checkSynced(members map[string]*snapshot.Member, now clock.Instant) {
	if f.syncedWithPeer {
		return
	}
	noPeers := f.listRevision > 0 || len(f.cfg.Seeds) == 0
	for vm, m := range members {
		if vm != f.cfg.Self.VM && m.Region == f.cfg.Self.Region {
			noPeers = false
		}
	}
	if f.listRead && noPeers || now.Sub(f.startedAt) > syncTimeout {
		f.cfg.Log.Info("starting without records from a peer of this region", "noPeers", noPeers)
		f.syncedWithPeer = true
	}
}

// checkReady closes the channel of Ready once the view can be used. Backend
// servers that don't respond delay it only until they count as unhealthy.
func (f *Fleet) checkReady() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.readyClosed || !f.syncedWithPeer || f.config.Revision == 0 {
		return
	}
	for _, name := range f.tracker.Names() {
		if f.tracker.ConfirmedAt(name) == 0 && f.tracker.State(name).Healthy {
			return // not probed yet
		}
	}
	f.readyClosed = true
	close(f.ready)
}

// prune deletes the records of VMs that were removed from the list long ago and
// of backend servers that are no longer in the configuration.
func (f *Fleet) prune(now clock.Instant) {
	if now.Sub(f.schedule.lastPrune) < pruneInterval {
		return
	}
	f.schedule.lastPrune = now
	maps.DeleteFunc(f.failureLoggedAt, func(_ string, at clock.Instant) bool { return now.Sub(at) > failureLogInterval })
	for _, vm := range f.table.Prune(now) {
		for _, kind := range []gossip.Kind{gossip.KindMember, gossip.KindHeartbeat, gossip.KindListing} {
			f.store.Delete(gossip.Key{Kind: kind, Name: vm})
		}
	}
	if f.config.Revision == 0 {
		return
	}
	for _, kind := range []gossip.Kind{gossip.KindState, gossip.KindLoad, gossip.KindPrefixes} {
		f.store.Each(kind, func(r gossip.Record) {
			if f.config.BackendServers[r.Name] == nil {
				f.store.Delete(r.Key)
				delete(f.probeStates, r.Name)
				delete(f.loadWrittenAt, r.Name)
			}
		})
	}
}

func (f *Fleet) publishLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.publishUrgent:
			f.publish(false)
			f.flushLinks()
		case <-f.publishNormal:
			f.publish(false)
			background.Sleep(ctx, publishInterval)
		}
	}
}

// publish replaces the stale parts of the view in the snapshot. ticked reports
// whether the tick has just updated the view; unless a refresh is in progress,
// the view then counts as current.
func (f *Fleet) publish(ticked bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Now()
	stale := f.stale
	f.stale = staleViews{}
	var members map[string]*snapshot.Member
	var backends map[string]*snapshot.BackendStatus
	var summaries map[string]map[string]*snapshot.RegionSummary
	var lastHeartbeat, recoveredAt map[string]clock.Instant
	if stale.members {
		members = f.table.Members(now)
	}
	if stale.backends {
		backends = f.tracker.Status(f.table.BackendLeaving, now)
	}
	if stale.regions {
		lastHeartbeat, recoveredAt = f.regionTimes()
		summaries = f.regionSummaries(lastHeartbeat)
	}
	f.cfg.Publisher.Update(func(next *snapshot.Snapshot) {
		if stale.members {
			next.Members = members
		}
		if stale.backends {
			next.Backends = backends
		}
		if stale.regions {
			next.Summaries, next.RegionLastHeartbeat, next.RegionRecoveredAt = summaries, lastHeartbeat, recoveredAt
		}
		if ticked && f.syncedWithPeer && !f.schedule.refreshing {
			next.BackendsUpdatedAt = now
		}
	})
}

// staleViews records which parts of the published view are out of date.
type staleViews struct{ members, backends, regions bool }

// mark marks the parts that depend on records of the kind.
func (s *staleViews) mark(kind gossip.Kind) {
	switch kind {
	case gossip.KindMember, gossip.KindHeartbeat:
		s.members = true
	case gossip.KindListing:
		s.members, s.backends = true, true
	case gossip.KindState, gossip.KindLoad, gossip.KindPrefixes:
		s.backends = true
	case gossip.KindSummary:
		s.regions = true
	case gossip.KindRegion:
		s.members, s.regions = true, true
	}
}

func (f *Fleet) updateGauges() {
	scope := f.cfg.Scope
	scope.Gauge("control_bytes_sent").Update(float64(f.controlMeter.Sent.Load()))
	scope.Gauge("control_bytes_received").Update(float64(f.controlMeter.Received.Load()))
	scope.Gauge("probe_bytes_sent").Update(float64(f.probeMeter.Sent.Load()))
	scope.Gauge("probe_bytes_received").Update(float64(f.probeMeter.Received.Load()))
	scope.Gauge("observations_dropped").Update(float64(f.droppedObservations.Load()))
}
