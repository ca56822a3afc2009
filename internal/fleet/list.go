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
	// listWait is how long a watch of the list waits.
	listWait = 20 * time.Second
	// listRetry is the wait after a failed read, before jitter.
	listRetry = 2 * time.Second
	// roleCheck is how often a member that doesn't watch looks whether it
	// should.
	roleCheck = time.Second
	// unlistedRetry is the time between two reads by a member that neither
	// watches nor knows any list.
	unlistedRetry = 10 * time.Second
	// listBytesPerSecond and listBurst bound what a watcher reads: a long list
	// that changes often is read less often.
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
	f.tickSoon()
	for ctx.Err() == nil {
		switch {
		case f.watcher.Load():
			read := f.watchList(ctx)
			_ = budget.WaitN(ctx, min(read, listBurst)) // ends early only with ctx
		case f.knownList() == 0:
			background.Pause(ctx, unlistedRetry/2+rand.N(unlistedRetry))
			f.readList(ctx)
		default:
			background.Pause(ctx, roleCheck)
		}
	}
	return nil
}

func (f *Fleet) knownList() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listRevision
}

func (f *Fleet) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listRetry)
	defer cancel()
	value, err := f.cfg.Reader.Read(ctx, published.ValueVMs)
	if err != nil {
		f.cfg.Log.Warn("list of VMs not read", "error", err)
		return
	}
	f.takeList(value)
}

// watchList waits for a newer list and returns the bytes that were read.
func (f *Fleet) watchList(ctx context.Context) int {
	watch, cancel := context.WithTimeout(ctx, listWait+listRetry)
	defer cancel()
	value, err := f.cfg.Reader.Watch(watch, published.ValueVMs, f.knownList(), listWait)
	switch {
	case err == nil:
		if !f.takeList(value) {
			background.Pause(ctx, listRetry/2+rand.N(listRetry))
		}
	case errorx.IsOfType(err, published.ErrUnchanged):
	case ctx.Err() != nil:
	default:
		f.cfg.Log.Warn("list of VMs not watched", "error", err)
		background.Pause(ctx, listRetry/2+rand.N(listRetry))
	}
	return len(value.Data)
}

// takeList takes in a list. An older list than one that was heard is ignored.
// It reports whether the list was used.
func (f *Fleet) takeList(value published.Value) bool {
	var list published.VMList
	if err := json.Unmarshal(value.Data, &list); err != nil {
		f.cfg.Log.Warn("list of VMs malformed", "revision", value.Revision, "error", err)
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
			continue // another region's backend servers
		}
		present[vm.Name] = true
		f.list(membership.Listing{VM: vm}, value.Revision)
	}
	f.dropAbsent(present, value.Revision)
	f.stale.mark(gossip.KindListing)
	f.mu.Unlock()
	f.changed(true)
	return true
}

// list stores a VM's entry under the list's revision if it changed.
func (f *Fleet) list(l membership.Listing, revision uint64) {
	key := gossip.Key{Kind: gossip.KindListing, Name: l.VM.Name}
	data := f.encode(l)
	if old, ok := f.store.Get(key); ok && string(old.Value) == string(data) {
		return
	}
	if f.store.Merge(gossip.Record{Key: key, Version: revision, Value: data}) {
		f.table.ApplyListing(l.VM.Name, l, revision)
	}
}

// dropAbsent marks the VMs that the list no longer holds.
func (f *Fleet) dropAbsent(present map[string]bool, revision uint64) {
	var gone []membership.Listing
	f.store.Each(gossip.KindListing, func(r gossip.Record) {
		if present[r.Name] || r.Version >= revision {
			return
		}
		if l, ok := f.table.Listing(r.Name); ok && !l.Gone {
			l.Gone = true
			gone = append(gone, l)
		}
	})
	for _, l := range gone {
		f.list(l, revision)
	}
}
