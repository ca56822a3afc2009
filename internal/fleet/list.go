package fleet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/time/rate"

	"github.com/chestnutspring/chestnutspring/internal/background"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/membership"
	"github.com/chestnutspring/chestnutspring/internal/published"
)

const (
	// listWatchTimeout is how long a watch waits for a newer list.
	listWatchTimeout = 20 * time.Second
	// listRetryDelay is the delay after a failed read, before jitter. It also
	// bounds one read.
	listRetryDelay = 2 * time.Second
	// roleCheckInterval is how often a member that isn't a watcher checks whether
	// it has become one.
	roleCheckInterval = time.Second
	// unlistedRetryDelay is the time between two reads, before jitter, by a
	// member that isn't a watcher and has received no list yet.
	unlistedRetryDelay = 10 * time.Second
	// listBytesPerSecond and listBurst (bytes) bound the traffic of a watcher: a
	// long list that changes often is read less often.
	listBytesPerSecond = 1500
	listBurst          = 256 << 10
)

// listLoop reads the list of VMs once and then watches it while this member is
// a watcher.
func (f *Fleet) listLoop(ctx context.Context) error {
	budget := rate.NewLimiter(listBytesPerSecond, listBurst)
	f.readList(ctx)
	f.mu.Lock()
	f.listRead = true
	f.mu.Unlock()
	f.requestTick()
	for ctx.Err() == nil {
		switch {
		case f.watcher.Load():
			read := f.watchList(ctx)
			_ = budget.WaitN(ctx, min(read, listBurst)) // fails only if ctx ends
		case f.knownListRevision() == 0:
			background.Sleep(ctx, unlistedRetryDelay/2+rand.N(unlistedRetryDelay))
			f.readList(ctx)
		default:
			background.Sleep(ctx, roleCheckInterval)
		}
	}
	return nil
}

func (f *Fleet) knownListRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listRevision
}

func (f *Fleet) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listRetryDelay)
	defer cancel()
	value, err := f.cfg.Reader.Read(ctx, published.ValueVMs)
	if err != nil {
		f.cfg.Log.Warn("reading the list of VMs failed", "error", err)
		return
	}
	f.applyList(value)
}

// watchList waits for a newer list and returns the number of bytes read.
func (f *Fleet) watchList(ctx context.Context) int {
	watch, cancel := context.WithTimeout(ctx, listWatchTimeout+listRetryDelay)
	defer cancel()
	value, err := f.cfg.Reader.Watch(watch, published.ValueVMs, f.knownListRevision(), listWatchTimeout)
	switch {
	case err == nil:
		if !f.applyList(value) {
			background.Sleep(ctx, listRetryDelay/2+rand.N(listRetryDelay))
		}
	case errorx.IsOfType(err, published.ErrUnchanged):
	case ctx.Err() != nil:
	default:
		f.cfg.Log.Warn("watching the list of VMs failed", "error", err)
		background.Sleep(ctx, listRetryDelay/2+rand.N(listRetryDelay))
	}
	return len(value.Data)
}

// applyList stores the entries of a list and reports whether it was used. A list
// older than one already received is ignored.
func (f *Fleet) applyList(value published.Value) bool {
	var list published.VMList
	if err := json.Unmarshal(value.Data, &list); err != nil {
		f.cfg.Log.Warn("malformed list of VMs", "revision", value.Revision, "error", err)
		return false
	}
	f.mu.Lock()
	if value.Revision < f.listRevision {
		newest := f.listRevision
		f.mu.Unlock()
		f.cfg.Log.Warn("older list of VMs ignored", "revision", value.Revision, "newest", newest)
		return false
	}
	f.listRevision = value.Revision
	present := map[string]bool{}
	for _, vm := range list.VMs {
		if vm.Role != published.RoleEntry && vm.Region != f.cfg.Self.Region {
			continue // a backend server of another region
		}
		present[vm.Name] = true
		f.storeListing(membership.Listing{VM: vm}, value.Revision)
	}
	f.markRemoved(present, value.Revision)
	f.stale.mark(gossip.KindListing)
	f.mu.Unlock()
	f.requestPublish(true)
	return true
}

// storeListing stores a VM's entry of the list if it changed. The record's
// version is the revision of the list.
func (f *Fleet) storeListing(l membership.Listing, revision uint64) {
	key := gossip.Key{Kind: gossip.KindListing, Name: l.VM.Name}
	data := f.encode(l)
	if old, ok := f.store.Get(key); ok && string(old.Value) == string(data) {
		return
	}
	if f.store.Merge(gossip.Record{Key: key, Version: revision, Value: data}) {
		f.table.ApplyListing(l.VM.Name, l, revision)
	}
}

// markRemoved marks as removed the VMs that are no longer in the list of the
// given revision.
func (f *Fleet) markRemoved(present map[string]bool, revision uint64) {
	var removed []membership.Listing
	f.store.Each(gossip.KindListing, func(r gossip.Record) {
		if present[r.Name] || r.Version >= revision {
			return
		}
		if l, ok := f.table.Listing(r.Name); ok && !l.Gone {
			l.Gone = true
			removed = append(removed, l)
		}
	})
	for _, l := range removed {
		f.storeListing(l, revision)
	}
}
