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
	// minEventInterval bounds the time between two polls of an engine's cache
	// events from below.
	minEventInterval = 3 * time.Second
	// eventBudget is the interval for each backend server of the region, so
	// that the shared sets stay small traffic in a large region.
	eventBudget = 500 * time.Millisecond
)

// prefixes is the set of prompt prefixes that an engine has cached.
type prefixes struct {
	Sorted []uint64
}

// eventLoop polls the cache events of the engines that this member probes
// first, and shares what they have cached.
func (f *Fleet) eventLoop(ctx context.Context) error {
	sets := map[string]*health.PrefixSet{}
	for ctx.Err() == nil {
		names, interval := f.eventSources()
		var group errgroup.Group
		group.SetLimit(maxProbes)
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
			if !f.firstProber(name) {
				delete(sets, name)
			}
		}
		background.Pause(ctx, interval)
	}
	return nil
}

// eventSources returns the model engines whose first prober this member is,
// and the time between two polls.
func (f *Fleet) eventSources() ([]string, time.Duration) {
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
	return names, max(minEventInterval, time.Duration(len(all))*eventBudget)
}

func (f *Fleet) firstProber(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	probers := f.roles.probers[name]
	return len(probers) > 0 && probers[0] == f.cfg.Self.VM
}

// pollEvents brings one set up to date. After a failure, or from a member that
// has just become the first prober, the set is what the events since then say.
func (f *Fleet) pollEvents(ctx context.Context, name string, set *health.PrefixSet) {
	server := f.cfg.Publisher.Load().Config.BackendServers[name]
	if server == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	data, err := f.get(ctx, fmt.Sprintf("http://%s/events?after=%d", server.Spec.Address, set.LastSeq))
	if err != nil {
		return // the next probe judges the backend server
	}
	var events health.Events
	if err := json.Unmarshal(data, &events); err != nil {
		f.cfg.Log.Warn("cache events malformed", "backend", name, "error", err)
		return
	}
	if set.Apply(events.Events) && set.LastSeq > 0 {
		f.cfg.Scope.Counter("cache_event_gaps").Inc(1)
	}
	sorted := set.Sorted()
	f.mu.Lock()
	changed := f.write(gossip.KindPrefixes, name, prefixes{Sorted: sorted})
	f.tracker.SetPrefixes(name, sorted)
	f.stale.backends = true
	f.mu.Unlock()
	if changed {
		f.changed(false)
	}
}
