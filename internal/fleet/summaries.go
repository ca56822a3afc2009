package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/health"
	"github.com/chestnutspring/chestnutspring/internal/membership"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

const (
	// minRegionHeartbeatInterval and maxRegionHeartbeatInterval bound the time
	// between two heartbeats to other regions. Even the longest interval fits at
	// least twice into regionUnresponsiveAfter.
	minRegionHeartbeatInterval = 3 * time.Second
	maxRegionHeartbeatInterval = 5 * time.Second
	// heartbeatIntervalPerRegion is multiplied by the number of other regions to
	// get the heartbeat interval, within these bounds.
	heartbeatIntervalPerRegion = 300 * time.Millisecond
	// regionUnresponsiveAfter is the time without a heartbeat after which a
	// region counts as unresponsive; its next heartbeat marks it as recovered.
	regionUnresponsiveAfter = 10 * time.Second
	// minSummaryInterval and maxSummaryInterval bound the time between two
	// updates of this region's summaries.
	minSummaryInterval = time.Second
	maxSummaryInterval = 5 * time.Second
	// intervalPerSummary is multiplied by the number of summaries in the fleet to
	// get the update interval, within these bounds.
	intervalPerSummary = 25 * time.Millisecond
	// smallChangeDelay is the age of the published summary from which on even a
	// small change is published.
	smallChangeDelay = 15 * time.Second
)

// summary is a region's report on one model or service. It is encoded by field
// position.
type summary struct {
	Healthy uint32
	Free    uint32
	Queued  uint32
	// WaitMillis is the expected wait for a slot in milliseconds; zero while a
	// slot is free.
	WaitMillis uint32
	// DecitokensPerSecond is the median rate of one stream in tenths of a token
	// per second.
	DecitokensPerSecond uint32
}

// writtenSummary is the last written summary of a model or service.
type writtenSummary struct {
	summary
	writtenAt clock.Instant
}

// regionState is the known state of another region.
type regionState struct {
	// lastHeartbeat is when the last heartbeat was received; zero means none.
	lastHeartbeat clock.Instant
	// recoveredAt is when the region last became responsive again; zero means
	// never.
	recoveredAt clock.Instant
	summaries   map[string]summary // by model or service
}

func (f *Fleet) regionState(name string) *regionState {
	r := f.regionStates[name]
	if r == nil {
		r = &regionState{summaries: map[string]summary{}}
		f.regionStates[name] = r
	}
	return r
}

func (f *Fleet) applySummary(name string, s summary, now clock.Instant) {
	region, target := splitRegionRecordName(name)
	if region == f.cfg.Self.Region {
		f.writtenSummaries[target] = writtenSummary{summary: s, writtenAt: now}
		return
	}
	f.regionState(region).summaries[target] = s
}

func (f *Fleet) applyRegionHeartbeat(name string, b membership.RegionHeartbeat, now clock.Instant) {
	region, _ := splitRegionRecordName(name)
	if region == f.cfg.Self.Region {
		return
	}
	r := f.regionState(region)
	elapsed := now.Sub(max(r.lastHeartbeat, f.schedule.resumedAt))
	if r.lastHeartbeat != 0 && elapsed > regionUnresponsiveAfter {
		r.recoveredAt = now
		f.cfg.Log.Info("region is responsive again", "region", region, "unresponsiveFor", elapsed)
	}
	r.lastHeartbeat = now
	f.table.SetRegionUnreachable(region, b.Unreachable)
}

// regionTimes returns, by region, when the last heartbeat was received, and when
// a region that had been unresponsive recovered.
func (f *Fleet) regionTimes() (lastHeartbeat, recoveredAt map[string]clock.Instant) {
	lastHeartbeat = make(map[string]clock.Instant, len(f.regionStates))
	recoveredAt = map[string]clock.Instant{}
	for name, r := range f.regionStates {
		if r.lastHeartbeat != 0 {
			lastHeartbeat[name] = r.lastHeartbeat
		}
		if r.recoveredAt != 0 {
			recoveredAt[name] = r.recoveredAt
		}
	}
	return lastHeartbeat, recoveredAt
}

// regionSummaries returns the other regions' summaries by target and region. A
// region's heartbeat confirms its summaries.
func (f *Fleet) regionSummaries(lastHeartbeat map[string]clock.Instant) map[string]map[string]*snapshot.RegionSummary {
	all := map[string]map[string]*snapshot.RegionSummary{}
	for region, r := range f.regionStates {
		for target, s := range r.summaries {
			if all[target] == nil {
				all[target] = map[string]*snapshot.RegionSummary{}
			}
			all[target][region] = &snapshot.RegionSummary{
				Region: region, Target: target,
				Healthy: int(s.Healthy), Free: int(s.Free), Queued: int(s.Queued),
				WaitSeconds:     float64(s.WaitMillis) / 1000,
				TokensPerSecond: float64(s.DecitokensPerSecond) / 10,
				ConfirmedAt:     lastHeartbeat[region],
			}
		}
	}
	return all
}

// writeSummaries writes those summaries of this region that this member is
// responsible for and that have changed enough.
func (f *Fleet) writeSummaries(now clock.Instant) {
	set := f.config
	targets := slices.Sorted(maps.Keys(set.Models))
	targets = append(targets, slices.Sorted(maps.Keys(set.Services))...)
	interval := time.Duration(len(targets)*(len(f.regionStates)+1)) * intervalPerSummary
	if now.Sub(f.schedule.lastSummaries) < min(max(interval, minSummaryInterval), maxSummaryInterval) {
		return
	}
	f.schedule.lastSummaries = now
	statuses := f.tracker.Status(f.table.BackendLeaving, now)
	for _, target := range targets {
		writer := membership.Choose(f.roles.live, "summary/"+target, 1)
		if writer[0] != f.cfg.Self.VM {
			continue
		}
		s := summarize(set, target, statuses)
		if last, ok := f.writtenSummaries[target]; ok && !last.shouldReplace(s, now) {
			continue
		}
		f.writtenSummaries[target] = writtenSummary{summary: s, writtenAt: now}
		f.writeRecord(gossip.KindSummary, regionRecordName(f.cfg.Self.Region, target), s)
	}
}

// shouldReplace reports whether s differs enough from the written summary.
func (w writtenSummary) shouldReplace(s summary, now clock.Instant) bool {
	switch {
	case s == w.summary:
		return false
	case s.Healthy != w.Healthy || (s.Free == 0) != (w.Free == 0) || (s.Queued == 0) != (w.Queued == 0):
		return true
	case now.Sub(w.writtenAt) >= smallChangeDelay:
		return true
	default:
		return health.DiffersSignificantly(w.Free, s.Free) || health.DiffersSignificantly(w.Queued, s.Queued) ||
			health.DiffersSignificantly(w.DecitokensPerSecond, s.DecitokensPerSecond)
	}
}

// summarize aggregates the usable replicas of a target.
func summarize(set *objects.Set, target string, statuses map[string]*snapshot.BackendStatus) summary {
	var s summary
	var rates []float64
	slots := 0
	for _, server := range set.BackendsOf(target) {
		b := statuses[server.Name]
		if b == nil || !b.Healthy || b.Leaving {
			continue
		}
		s.Healthy++
		s.Queued += uint32(b.Queued)
		s.Free += uint32(max(server.Spec.Concurrency-b.Running-b.Queued, 0))
		slots += server.Spec.Concurrency
		if b.TokensPerSecond > 0 {
			rates = append(rates, b.TokensPerSecond)
		}
	}
	if len(rates) > 0 {
		slices.Sort(rates)
		s.DecitokensPerSecond = uint32(rates[len(rates)/2] * 10)
	}
	if s.Free == 0 && slots > 0 {
		wait := float64(s.Queued+1) / float64(slots) * expectedServiceSeconds(set, target, s)
		s.WaitMillis = uint32(wait * 1000)
	}
	return s
}

// expectedServiceSeconds returns the expected duration of one request to the
// target: half of the maximum output for a model, the longest call for a service.
func expectedServiceSeconds(set *objects.Set, target string, s summary) float64 {
	if m := set.Models[target]; m != nil {
		perToken := m.Spec.SecondsPerToken
		if s.DecitokensPerSecond > 0 {
			perToken = 10 / float64(s.DecitokensPerSecond)
		}
		return float64(m.Spec.MaxOutputTokens) / 2 * perToken
	}
	longest := 0.0
	if svc := set.Services[target]; svc != nil {
		for _, call := range svc.Spec.Calls {
			longest = max(longest, call.Seconds)
		}
	}
	return longest
}
