package balance

import (
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

const (
	// cacheTTL is how long a block is expected to stay cached after its last
	// known use.
	cacheTTL = 30 * time.Second
	// maxBlocks bounds the blocks in the index.
	maxBlocks = 20_000
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
	blocks map[uint64]map[roster.ServerKey]clock.Instant
	// updates are this VM's blocks that have not been announced yet.
	updates []CachedBlock
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{blocks: map[uint64]map[roster.ServerKey]clock.Instant{}}
}

// RecordSent records that a server was sent the blocks. Shared blocks of at
// least minTokens are queued for announcement unless the other VMs know of them.
func (p *PrefixIndex) RecordSent(blocks []PrefixBlock, server roster.ServerKey, minTokens int, now clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, block := range blocks {
		at, known := p.blocks[block.ID][server]
		announce := !known || now.Sub(at) > reannounceAfter
		if i < len(blocks)-1 && block.Tokens >= minTokens && announce && len(p.updates) < maxUpdates {
			p.updates = append(p.updates, CachedBlock{Server: server.ID, Started: server.Started, Block: block.ID})
		}
		p.record(block.ID, server, now)
	}
}

// Apply records the announcements of other VMs.
func (p *PrefixIndex) Apply(updates []CachedBlock, now clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range updates {
		p.record(u.Block, roster.ServerKey{ID: u.Server, Started: u.Started}, now)
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

// record adds a server that has a block cached. The caller holds the lock.
func (p *PrefixIndex) record(id uint64, server roster.ServerKey, now clock.Instant) {
	servers := p.blocks[id]
	if servers == nil {
		if len(p.blocks) >= maxBlocks {
			p.prune(now)
		}
		servers = map[roster.ServerKey]clock.Instant{}
		p.blocks[id] = servers
	}
	servers[server] = now
}

// prune removes expired entries. If that makes no room, it clears the index. The
// caller holds the lock.
func (p *PrefixIndex) prune(now clock.Instant) {
	for id, servers := range p.blocks {
		for server, at := range servers {
			if now.Sub(at) > cacheTTL {
				delete(servers, server)
			}
		}
		if len(servers) == 0 {
			delete(p.blocks, id)
		}
	}
	if len(p.blocks) >= maxBlocks {
		clear(p.blocks)
	}
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
		for server, at := range p.blocks[block.ID] {
			if now.Sub(at) > cacheTTL || cached[server] != sum {
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
