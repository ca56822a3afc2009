package balance

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// memoryTarget is the memory in bytes of a VM's process among 300 VMs and 200 servers. Half
	// of it is for requests, the collector lets the heap grow to twice what is live, and the
	// index is one of fleetParts parts of what a VM knows of the fleet.
	memoryTarget = 40 << 20
	fleetParts   = 5
)

// liveHeap returns the bytes of the heap that are in use.
func liveHeap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // frees what has finalizers
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against VMs above the memory that issue 22 allows at 300 VMs and 200 servers: the
// index had a map of servers for each block, and kept blocks that had long expired.
func TestPrefixIndexOfALargeFleetStaysWithinItsMemory(t *testing.T) {
	is := is.New(t)
	const servers, blocks, holders, rounds = 200, 10_000, 3, 4
	before := liveHeap()
	p, now := NewPrefixIndex(), clock.Instant(time.Hour)
	for round := range rounds {
		for block := range uint64(blocks) {
			var updates []CachedBlock
			for h := range holders {
				updates = append(updates, CachedBlock{Server: fmt.Sprint("replica-", (int(block)+h*7)%servers), Started: 1000, Block: block + uint64(round*blocks)})
			}
			p.Apply(updates, now)
			now = now.Add(2 * cacheTTL / blocks)
		}
	}
	used := liveHeap() - before
	t.Logf("%d KB", used>>10)
	is.True(used <= memoryTarget/2/2/fleetParts)
	last := p.cachedTokens([]PrefixBlock{{ID: rounds*blocks - 1, Tokens: 100}}, now)
	is.Equal(len(last), holders)
	is.Equal(len(p.cachedTokens([]PrefixBlock{{ID: 1, Tokens: 100}}, now)), 0) // expired
}
