package balance

import (
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

const (
	// heldFor is how long a part is expected to stay cached after its last
	// use, without further word.
	heldFor = 30 * time.Second
	// maxParts bounds the parts that are remembered.
	maxParts = 20_000
	// maxReads bounds the reads that are told to other VMs at a time.
	maxReads = 64
	// leastRead is the size, in tokens, of a part that is worth telling.
	leastRead = 64
	// retellAfter is the time after which a part that a server read before is
	// told again: well below heldFor.
	retellAfter = 10 * time.Second
)

// CachedBlock says that a backend server was sent a part of a prompt.
type CachedBlock struct {
	Server string
	// Started is the server's incarnation.
	Started int64
	Block   uint64
}

// PrefixIndex remembers which backend servers have read which parts of prompts.
type PrefixIndex struct {
	mu    sync.RWMutex
	parts map[uint64]map[roster.ServerKey]clock.Instant
	// recent are own reads that the other VMs have not been told.
	recent []CachedBlock
}

// NewPrefixIndex returns a memory that knows nothing.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{parts: map[uint64]map[roster.ServerKey]clock.Instant{}}
}

// RecordSent records that a server was sent the parts. Those of at least the given
// number of tokens are told to other VMs, unless they know.
func (p *PrefixIndex) RecordSent(parts []PrefixBlock, server roster.ServerKey, least int, now clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, part := range parts {
		at, known := p.parts[part.ID][server]
		news := !known || now.Sub(at) > retellAfter
		if i < len(parts)-1 && part.Tokens >= least && news && len(p.recent) < maxReads {
			p.recent = append(p.recent, CachedBlock{Server: server.ID, Started: server.Started, Block: part.ID})
		}
		p.note(part.ID, server, now)
	}
}

// Apply takes in what other VMs had read.
func (p *PrefixIndex) Apply(reads []CachedBlock, now clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range reads {
		p.note(r.Block, roster.ServerKey{ID: r.Server, Started: r.Started}, now)
	}
}

// TakeUpdates returns the own reads since the last call.
func (p *PrefixIndex) TakeUpdates() []CachedBlock {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.recent
	p.recent = nil
	return list
}

// note records a holder of a part. The caller holds the lock.
func (p *PrefixIndex) note(id uint64, server roster.ServerKey, now clock.Instant) {
	holders := p.parts[id]
	if holders == nil {
		if len(p.parts) >= maxParts {
			p.prune(now)
		}
		holders = map[roster.ServerKey]clock.Instant{}
		p.parts[id] = holders
	}
	holders[server] = now
}

// prune forgets what is old, or everything where nothing is.
func (p *PrefixIndex) prune(now clock.Instant) {
	for id, holders := range p.parts {
		for server, at := range holders {
			if now.Sub(at) > heldFor {
				delete(holders, server)
			}
		}
		if len(holders) == 0 {
			delete(p.parts, id)
		}
	}
	if len(p.parts) >= maxParts {
		clear(p.parts)
	}
}

// holdings returns for each server how many leading tokens of the parts it is
// expected to have cached.
func (p *PrefixIndex) holdings(parts []PrefixBlock, now clock.Instant) map[roster.ServerKey]int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if len(parts) == 0 {
		return nil
	}
	held := map[roster.ServerKey]int{}
	sum := 0
	for i, part := range parts {
		found := false
		for server, at := range p.parts[part.ID] {
			if now.Sub(at) > heldFor || held[server] != sum {
				continue
			}
			held[server] = sum + part.Tokens
			found = true
		}
		sum += part.Tokens
		if !found && i > 0 {
			break
		}
	}
	return held
}
