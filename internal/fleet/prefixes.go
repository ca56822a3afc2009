package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chestnutspring/chestnutspring/internal/background"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/health"
)

const (
	// minEventInterval is the minimum time between two polls of an engine's
	// cache events.
	minEventInterval = 3 * time.Second
	// eventIntervalPerServer is multiplied by the number of backend servers of
	// the region to get the poll interval, with minEventInterval as the minimum.
	// It limits the gossip traffic of cached prefixes in a large region.
	eventIntervalPerServer = 500 * time.Millisecond
)

// prefixes is the set of prompt prefixes that an engine has cached. It is
// encoded by field position.
type prefixes struct {
	Sorted []uint64
}

// eventLoop polls the cache events of the engines for which this member is the
// first prober, and publishes their cached prefixes.
func (f *Fleet) eventLoop(ctx context.Context) error {
	sets := map[string]*health.PrefixSet{}
	for ctx.Err() == nil {
		names, interval := f.eventPollTargets()
		var group errgroup.Group
		group.SetLimit(maxConcurrentProbes)
		for _, name := range names {
			if sets[name] == nil {
				sets[name] = &health.PrefixSet{}
			}
			set := sets[name]
			group.Go(func() error {
				f.pollEvents(ctx, name, set)
				return nil
			})
		}
		_ = group.Wait()
		for name := range sets {
			if !f.isFirstProber(name) {
				delete(sets, name)
			}
		}
		background.Sleep(ctx, interval)
	}
	return nil
}

// eventPollTargets returns the model engines for which this member is the first
// prober, and the time between two polls.
func (f *Fleet) eventPollTargets() ([]string, time.Duration) {
	set := f.cfg.Publisher.Load().Config
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	all := f.tracker.Names()
	for _, name := range all {
		server := set.BackendServers[name]
		probers := f.roles.probers[name]
		if server != nil && server.Spec.Model != "" && len(probers) > 0 && probers[0] == f.cfg.Self.VM {
			names = append(names, name)
		}
	}
	return names, max(minEventInterval, time.Duration(len(all))*eventIntervalPerServer)
}

func (f *Fleet) isFirstProber(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	probers := f.roles.probers[name]
	return len(probers) > 0 && probers[0] == f.cfg.Self.VM
}

// pollEvents applies an engine's new cache events to its set and publishes the
// set. After a failure, and on a member that has just become the first prober,
// the set holds only what the events since then report.
func (f *Fleet) pollEvents(ctx context.Context, name string, set *health.PrefixSet) {
	server := f.cfg.Publisher.Load().Config.BackendServers[name]
	if server == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	data, err := f.fetchBody(ctx, fmt.Sprintf("http://%s/events?after=%d", server.Spec.Address, set.LastSeq))
	if err != nil {
		return // health is decided by probes
	}
	var events health.Events
	if err := json.Unmarshal(data, &events); err != nil {
		f.cfg.Log.Warn("malformed cache events", "backend", name, "error", err)
		return
	}
	if set.Apply(events.Events) && set.LastSeq > 0 {
		f.cfg.Scope.Counter("cache_event_gaps").Inc(1)
	}
	sorted := set.Sorted()
	f.mu.Lock()
	changed := f.writeRecord(gossip.KindPrefixes, name, prefixes{Sorted: sorted})
	f.tracker.SetPrefixes(name, sorted)
	f.stale.backends = true
	f.mu.Unlock()
	if changed {
		f.requestPublish(false)
	}
}
