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
	// minRegionBeat and maxRegionBeat bound the time between two heartbeats to
	// other regions. At least two fit into regionSilence.
	minRegionBeat = 3 * time.Second
	maxRegionBeat = 5 * time.Second
	// regionBeatBudget is the interval for each other region, between these
	// bounds.
	regionBeatBudget = 300 * time.Millisecond
	// regionSilence is the silence after which a region that is heard again
	// counts as having come back.
	regionSilence = 10 * time.Second
	// minSummaryInterval and maxSummaryInterval bound the time between two
	// looks at the own region's summaries.
	minSummaryInterval = time.Second
	maxSummaryInterval = 5 * time.Second
	// summaryBudget is the interval for each summary in the fleet, between
	// these bounds.
	summaryBudget = 25 * time.Millisecond
	// summarySettle is the age of a summary at which a small difference is
	// published all the same.
	summarySettle = 15 * time.Second
)

// summary is a region's report of one model or service.
type summary struct {
	Healthy uint32
	Free    uint32
	Queued  uint32
	// WaitMillis is the expected wait for a slot.
	WaitMillis uint32
	// DecitokensPerSecond is the median rate of one stream.
	DecitokensPerSecond uint32
}

// summaryWritten is the last summary of a target that was written.
type summaryWritten struct {
	summary
	at clock.Instant
}

// regionState is what is known of another region.
type regionState struct {
	heard     clock.Instant
	since     clock.Instant
	summaries map[string]summary
}

func (f *Fleet) regionOf(name string) *regionState {
	r := f.region[name]
	if r == nil {
		r = &regionState{summaries: map[string]summary{}}
		f.region[name] = r
	}
	return r
}

func (f *Fleet) takeSummary(name string, s summary, now clock.Instant) {
	region, target := splitRegionName(name)
	if region == f.cfg.Self.Region {
		f.summaries[target] = summaryWritten{summary: s, at: now}
		return
	}
	f.regionOf(region).summaries[target] = s
}

func (f *Fleet) takeRegionBeat(name string, b membership.RegionHeartbeat, now clock.Instant) {
	region, _ := splitRegionName(name)
	if region == f.cfg.Self.Region {
		return
	}
	r := f.regionOf(region)
	quiet := now.Sub(max(r.heard, f.paused.woke))
	if r.heard != 0 && quiet > regionSilence {
		r.since = now
		f.cfg.Log.Info("region heard again", "region", region, "silence", quiet)
	}
	r.heard = now
	f.table.SetRegionUnreachable(region, b.Unreachable)
}

// regionTimes returns when each region was heard, and since when those are
// back that were silent.
func (f *Fleet) regionTimes() (heard, since map[string]clock.Instant) {
	heard = make(map[string]clock.Instant, len(f.region))
	since = map[string]clock.Instant{}
	for name, r := range f.region {
		if r.heard != 0 {
			heard[name] = r.heard
		}
		if r.since != 0 {
			since[name] = r.since
		}
	}
	return heard, since
}

// summarySnapshot returns the other regions' reports by target and region. A
// region's heartbeat confirms its summaries.
func (f *Fleet) summarySnapshot(heard map[string]clock.Instant) map[string]map[string]*snapshot.RegionSummary {
	all := map[string]map[string]*snapshot.RegionSummary{}
	for region, r := range f.region {
		for target, s := range r.summaries {
			if all[target] == nil {
				all[target] = map[string]*snapshot.RegionSummary{}
			}
			all[target][region] = &snapshot.RegionSummary{
				Region: region, Target: target,
				Healthy: int(s.Healthy), Free: int(s.Free), Queued: int(s.Queued),
				WaitSeconds:     float64(s.WaitMillis) / 1000,
				TokensPerSecond: float64(s.DecitokensPerSecond) / 10,
				Heard:           heard[region],
			}
		}
	}
	return all
}

// writeSummaries writes the summaries of the own region that this member is
// chosen to write and that have changed by enough.
func (f *Fleet) writeSummaries(now clock.Instant) {
	set := f.set
	targets := slices.Sorted(maps.Keys(set.Models))
	targets = append(targets, slices.Sorted(maps.Keys(set.Services))...)
	interval := time.Duration(len(targets)*(len(f.region)+1)) * summaryBudget
	if now.Sub(f.paused.summary) < min(max(interval, minSummaryInterval), maxSummaryInterval) {
		return
	}
	f.paused.summary = now
	statuses := f.tracker.Status(f.table.BackendLeaving, now)
	for _, target := range targets {
		writer := membership.Choose(f.roles.live, "summary/"+target, 1)
		if writer[0] != f.cfg.Self.VM {
			continue
		}
		s := summarize(set, target, statuses)
		if last, ok := f.summaries[target]; ok && !last.worthReplacing(s, now) {
			continue
		}
		f.summaries[target] = summaryWritten{summary: s, at: now}
		f.write(gossip.KindSummary, regionName(f.cfg.Self.Region, target), s)
	}
}

func (w summaryWritten) worthReplacing(s summary, now clock.Instant) bool {
	switch {
	case s == w.summary:
		return false
	case s.Healthy != w.Healthy || (s.Free == 0) != (w.Free == 0) || (s.Queued == 0) != (w.Queued == 0):
		return true
	case now.Sub(w.at) >= summarySettle:
		return true
	default:
		return health.Apart(w.Free, s.Free) || health.Apart(w.Queued, s.Queued) ||
			health.Apart(w.DecitokensPerSecond, s.DecitokensPerSecond)
	}
}

// summarize adds up the usable replicas of a target.
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
		wait := float64(s.Queued+1) / float64(slots) * serviceSeconds(set, target, s)
		s.WaitMillis = uint32(wait * 1000)
	}
	return s
}

// serviceSeconds is the expected time of one request of the target.
func serviceSeconds(set *objects.Set, target string, s summary) float64 {
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
