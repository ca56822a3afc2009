package balance

import (
	"slices"
	"sync"
	"time"
	"unique"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

const (
	// cacheTTL is how long a block is expected to stay cached after its last
	// known use.
	cacheTTL = 30 * time.Second
	// maxBlocks bounds the blocks in the index. From minPrunedBlocks on, expired ones are removed
	// whenever the index has doubled.
	maxBlocks, minPrunedBlocks = 20_000, 1024
	// maxUpdates bounds the queued updates for other VMs.
	maxUpdates = 64
	// minAnnouncedTokens is the minimum size of a block that is announced to other
	// VMs.
	minAnnouncedTokens = 64
	// reannounceAfter is the time after which a block that a server already has
	// cached is announced again: well below cacheTTL.
	reannounceAfter = 10 * time.Second
)

// CachedBlock announces that a backend server was sent a prefix block.
type CachedBlock struct {
	Server string
	// Started is the server's incarnation.
	Started int64
	Block   uint64
}

// PrefixIndex records which backend servers are expected to have which prefix
// blocks cached.
type PrefixIndex struct {
	mu     sync.RWMutex
	blocks map[uint64][]holder
	// pruneAt is the number of blocks at which expired ones are removed.
	pruneAt int
	// updates are this VM's blocks that have not been announced yet.
	updates []CachedBlock
}

// holder is a server that has a block cached. A large region has tens of thousands of a few
// hundred servers.
type holder struct {
	server unique.Handle[roster.ServerKey]
	// usedAt is the last known use of the block there.
	usedAt clock.Instant
}

// isExpired reports whether the server is expected to have dropped the block.
func (h *holder) isExpired(now clock.Instant) bool { return now.Sub(h.usedAt) > cacheTTL }

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{blocks: map[uint64][]holder{}, pruneAt: minPrunedBlocks}
}

// RecordSent records that a server was sent the blocks. Shared blocks of at
// least minTokens are queued for announcement unless the other VMs know of them.
func (p *PrefixIndex) RecordSent(blocks []PrefixBlock, server roster.ServerKey, minTokens int, now clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	shared := unique.Make(server)
	for i, block := range blocks {
		known := p.holder(block.ID, shared)
		announce := known == nil || now.Sub(known.usedAt) > reannounceAfter
		if i < len(blocks)-1 && block.Tokens >= minTokens && announce && len(p.updates) < maxUpdates {
			p.updates = append(p.updates, CachedBlock{Server: server.ID, Started: server.Started, Block: block.ID})
		}
		p.record(block.ID, shared, now)
	}
}

// Apply records the announcements of other VMs.
func (p *PrefixIndex) Apply(updates []CachedBlock, now clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range updates {
		p.record(u.Block, unique.Make(roster.ServerKey{ID: u.Server, Started: u.Started}), now)
	}
}

// TakeUpdates returns and clears the queued updates.
func (p *PrefixIndex) TakeUpdates() []CachedBlock {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.updates
	p.updates = nil
	return list
}

// holder returns the server's entry for a block, or nil. The caller holds the lock.
func (p *PrefixIndex) holder(id uint64, server unique.Handle[roster.ServerKey]) *holder {
	list := p.blocks[id]
	for i := range list {
		if list[i].server == server {
			return &list[i]
		}
	}
	return nil
}

// record adds a server that has a block cached. The caller holds the lock.
func (p *PrefixIndex) record(id uint64, server unique.Handle[roster.ServerKey], now clock.Instant) {
	if known := p.holder(id, server); known != nil {
		known.usedAt = now
		return
	}
	list, found := p.blocks[id]
	if !found && len(p.blocks) >= p.pruneAt {
		p.prune(now)
	}
	if len(list) == cap(list) {
		list = slices.DeleteFunc(list, func(h holder) bool { return h.isExpired(now) })
	}
	p.blocks[id] = append(list, holder{server, now})
}

// prune removes expired entries. If that makes no room, it clears the index. The
// caller holds the lock.
func (p *PrefixIndex) prune(now clock.Instant) {
	// A map keeps the memory of deleted entries.
	kept := map[uint64][]holder{}
	for id, list := range p.blocks {
		if list = slices.DeleteFunc(list, func(h holder) bool { return h.isExpired(now) }); len(list) > 0 {
			kept[id] = list
		}
	}
	if len(kept) >= maxBlocks {
		clear(kept)
	}
	p.blocks, p.pruneAt = kept, min(max(minPrunedBlocks, 2*len(kept)), maxBlocks)
}

// cachedTokens returns, for each server, the number of leading tokens of the
// blocks that it is expected to have cached.
func (p *PrefixIndex) cachedTokens(blocks []PrefixBlock, now clock.Instant) map[roster.ServerKey]int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if len(blocks) == 0 {
		return nil
	}
	cached := map[roster.ServerKey]int{}
	sum := 0
	for i, block := range blocks {
		found := false
		for _, h := range p.blocks[block.ID] {
			server := h.server.Value()
			if h.isExpired(now) || cached[server] != sum {
				continue
			}
			cached[server] = sum + block.Tokens
			found = true
		}
		sum += block.Tokens
		if !found && i > 0 {
			break
		}
	}
	return cached
}
