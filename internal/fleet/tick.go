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
	// tickInterval is the time between two looks at the own view.
	tickInterval = 500 * time.Millisecond
	// pauseAfter is the gap between two ticks from which on the process counts
	// as having been paused.
	pauseAfter = 1500 * time.Millisecond
	// syncWithin bounds the wait of a starting process for a peer of its region.
	syncWithin = 2 * time.Second
	// pruneInterval is the time between two looks for records of what is gone.
	pruneInterval = time.Minute
	// publishInterval is the least time between two publications of changes
	// that aren't urgent.
	publishInterval = 100 * time.Millisecond
)

// pauseState follows pauses of this process.
type pauseState struct {
	// last is the time of the last tick.
	last clock.Instant
	// woke is when the last pause ended; zero means that there was none.
	woke clock.Instant
	// refreshing means that the backend servers haven't been probed again yet.
	refreshing bool
	beat       clock.Instant
	regionBeat clock.Instant
	summary    clock.Instant
	prune      clock.Instant
	demand     clock.Instant
}

func (f *Fleet) tickLoop(ctx context.Context, group *errgroup.Group) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.soon:
		case <-ticker.C:
		}
		f.tick(ctx, group)
	}
}

// tickSoon makes the next tick come at once, after something that changes
// whom this member should be connected to.
func (f *Fleet) tickSoon() {
	select {
	case f.soon <- struct{}{}:
	default:
	}
}

// tick looks after the own view: pauses, the configuration, heartbeats, roles
// and links.
func (f *Fleet) tick(ctx context.Context, group *errgroup.Group) {
	now := f.cfg.Now()
	f.mu.Lock()
	gap := now.Sub(f.paused.last)
	f.paused.last = now
	if gap > pauseAfter {
		f.woke(ctx, group, gap, now)
	}
	f.set = f.cfg.Publisher.Load().Config
	f.tracker.Sync(f.set, now)
	members := f.table.Members(now)
	f.assign(members, now)
	f.confirmByBeats(now)
	f.beats(members, now)
	f.writeSummaries(now)
	f.connect(ctx, group, now)
	f.prune(now)
	f.checkSynced(members, now)
	demands := f.exchangeDemand(now)
	f.stale = staleParts{members: true, backends: true, regions: true}
	f.mu.Unlock()
	f.deliverDemand(demands)
	f.publish(true)
	f.checkReady()
	f.clients.tidy(now)
	f.gauges()
}

// woke handles the end of a pause. Nobody could be heard in it, so all ages
// move on; what was known of backend servers must be confirmed before use.
func (f *Fleet) woke(ctx context.Context, group *errgroup.Group, gap time.Duration, now clock.Instant) {
	f.cfg.Log.Warn("process was paused", "duration", gap)
	f.cfg.Scope.Counter("pauses").Inc(1)
	f.table.ShiftTimes(gap)
	f.paused.woke = now
	f.paused.refreshing = true
	group.Go(func() error {
		f.probeAll(ctx)
		f.mu.Lock()
		if f.paused.woke == now {
			f.paused.refreshing = false
			f.stale.backends = true
		}
		f.mu.Unlock()
		f.publish(true)
		return nil
	})
}

// beats writes the heartbeats that are due.
func (f *Fleet) beats(members map[string]*snapshot.Member, now clock.Instant) {
	if now.Sub(f.paused.beat) >= membership.HeartbeatInterval {
		f.paused.beat = now
		beat := membership.Heartbeat{Revision: f.revision(), View: f.vouchedView(now)}
		f.writeOwn(gossip.KindHeartbeat, f.cfg.Self.VM, beat)
		f.table.RecordHeartbeat(f.cfg.Self.VM, beat, now)
	}
	interval := time.Duration(len(f.region)) * regionBeatBudget
	if now.Sub(f.paused.regionBeat) >= min(max(interval, minRegionBeat), maxRegionBeat) {
		f.paused.regionBeat = now
		name := regionName(f.cfg.Self.Region, f.cfg.Self.VM)
		f.writeOwn(gossip.KindRegion, name, membership.RegionHeartbeat{Unreachable: f.unreachable(members)})
	}
}

// vouchedView is the view that the heartbeat bears, or zero when this member
// is behind with its probes and can't vouch for their results.
func (f *Fleet) vouchedView(now clock.Instant) uint32 {
	if f.paused.refreshing {
		return 0
	}
	for name, vms := range f.roles.probers {
		if slices.Contains(vms, f.cfg.Self.VM) && now.Sub(f.tracker.Heard(name)) > confirmWithin && f.tracker.State(name).Healthy {
			return 0
		}
	}
	return f.roles.view
}

// unreachable returns the announced members of the own region that can't be
// heard.
func (f *Fleet) unreachable(members map[string]*snapshot.Member) []string {
	var vms []string
	for vm, m := range members {
		if m.Region == f.cfg.Self.Region && !m.Reachable && m.Incarnation != "" {
			vms = append(vms, vm)
		}
	}
	return vms
}

// checkSynced ends the wait for a peer of the region when there is none, or
// none answers. A process that has just started and reads an old list doesn't
// know who is leaving; its peers do.
func (f *Fleet) checkSynced(members map[string]*snapshot.Member, now clock.Instant) {
	if f.synced {
		return
	}
	alone := f.listRevision > 0 || len(f.cfg.Seeds) == 0
	for vm, m := range members {
		if vm != f.cfg.Self.VM && m.Region == f.cfg.Self.Region {
			alone = false
		}
	}
	if f.listRead && alone || now.Sub(f.started) > syncWithin {
		f.cfg.Log.Info("no peer of the region has told what it knows", "alone", alone)
		f.synced = true
	}
}

// checkReady closes the channel of Ready once the view can be used. A region
// whose backend servers don't answer is as ready as it can be in time.
func (f *Fleet) checkReady() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isReady || !f.synced || f.set.Revision == 0 {
		return
	}
	for _, name := range f.tracker.Names() {
		if f.tracker.Heard(name) == 0 && f.tracker.State(name).Healthy {
			return // not probed yet
		}
	}
	f.isReady = true
	close(f.ready)
}

// prune forgets VMs that the list dropped long ago, and what is known of
// backend servers that the configuration no longer holds.
func (f *Fleet) prune(now clock.Instant) {
	if now.Sub(f.paused.prune) < pruneInterval {
		return
	}
	f.paused.prune = now
	maps.DeleteFunc(f.reported, func(_ string, at clock.Instant) bool { return now.Sub(at) > failureLogInterval })
	for _, vm := range f.table.Prune(now) {
		for _, kind := range []gossip.Kind{gossip.KindMember, gossip.KindHeartbeat, gossip.KindListing} {
			f.store.Delete(gossip.Key{Kind: kind, Name: vm})
		}
	}
	if f.set.Revision == 0 {
		return
	}
	for _, kind := range []gossip.Kind{gossip.KindState, gossip.KindLoad, gossip.KindPrefixes} {
		f.store.Each(kind, func(r gossip.Record) {
			if f.set.BackendServers[r.Name] == nil {
				f.store.Delete(r.Key)
				delete(f.probe, r.Name)
				delete(f.loadWritten, r.Name)
			}
		})
	}
}

func (f *Fleet) publishLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.urgent:
			f.publish(false)
			f.kickLinks()
		case <-f.dirty:
			f.publish(false)
			background.Pause(ctx, publishInterval)
		}
	}
}

// publish replaces the stale parts of the fleet's view in the snapshot. alive
// says that the tick ran, which vouches for the view unless a refresh is under
// way.
func (f *Fleet) publish(alive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Now()
	stale := f.stale
	f.stale = staleParts{}
	var members map[string]*snapshot.Member
	var backends map[string]*snapshot.BackendStatus
	var summaries map[string]map[string]*snapshot.RegionSummary
	var heard, since map[string]clock.Instant
	if stale.members {
		members = f.table.Members(now)
	}
	if stale.backends {
		backends = f.tracker.Status(f.table.BackendLeaving, now)
	}
	if stale.regions {
		heard, since = f.regionTimes()
		summaries = f.summarySnapshot(heard)
	}
	f.cfg.Publisher.Update(func(next *snapshot.Snapshot) {
		if stale.members {
			next.Members = members
		}
		if stale.backends {
			next.Backends = backends
		}
		if stale.regions {
			next.Summaries, next.RegionHeard, next.RegionSince = summaries, heard, since
		}
		if alive && f.synced && !f.paused.refreshing {
			next.BackendsHeard = now
		}
	})
}

// staleParts says which parts of the published view are out of date.
type staleParts struct{ members, backends, regions bool }

// mark marks the parts that a record of the kind is shown in.
func (s *staleParts) mark(kind gossip.Kind) {
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

func (f *Fleet) gauges() {
	scope := f.cfg.Scope
	scope.Gauge("control_bytes_sent").Update(float64(f.meter.Sent.Load()))
	scope.Gauge("control_bytes_received").Update(float64(f.meter.Received.Load()))
	scope.Gauge("probe_bytes_sent").Update(float64(f.probing.Sent.Load()))
	scope.Gauge("probe_bytes_received").Update(float64(f.probing.Received.Load()))
	scope.Gauge("observations_dropped").Update(float64(f.dropped.Load()))
}
