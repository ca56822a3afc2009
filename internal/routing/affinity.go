package routing

import (
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// affinitySlots is the size of a PrefixTable; it must be a power of two.
	affinitySlots = 4096
	// affinityWays is how many servers are remembered for one prefix.
	affinityWays = 2
	// affinityAge is how long a prefix is expected to stay in a cache.
	affinityAge = 5 * time.Minute

	serverBits = 16
	secondBits = 24
	tagBits    = 64 - serverBits - secondBits
)

// PrefixTable remembers which servers hold a prompt prefix in their cache. It
// has a fixed size and forgets older entries; it never locks. An entry packs
// a tag of the prefix, the second of its last use and the server's number.
type PrefixTable struct {
	entries [affinitySlots]atomic.Uint64
	// generations are raised when all that is known of a server is void.
	dropped [1 << 12]atomic.Int64
}

// MarkCached records that the server has the prefix in its cache.
func (t *PrefixTable) MarkCached(prefix uint64, server uint16, now clock.Instant) {
	base, tag := locate(prefix)
	entry := pack(tag, seconds(now), server)
	victim, oldest := base, uint64(1<<secondBits)
	for i := base; i < base+affinityWays; i++ {
		old := t.entries[i].Load()
		oldTag, second, oldServer := unpack(old)
		if old == 0 || oldTag == tag && oldServer == server {
			victim = i
			break
		}
		if second < oldest {
			victim, oldest = i, second
		}
	}
	t.entries[victim].Store(entry)
}

// MarkEvicted records that the server no longer has the prefix in its cache.
func (t *PrefixTable) MarkEvicted(prefix uint64, server uint16) {
	base, tag := locate(prefix)
	for i := base; i < base+affinityWays; i++ {
		old := t.entries[i].Load()
		oldTag, _, oldServer := unpack(old)
		if old != 0 && oldTag == tag && oldServer == server {
			t.entries[i].CompareAndSwap(old, 0)
		}
	}
}

// InvalidateServer forgets all that was known of a server up to now, after a gap in its
// events or a restart.
func (t *PrefixTable) InvalidateServer(server uint16, now clock.Instant) {
	t.dropped[int(server)%len(t.dropped)].Store(int64(now))
}

// IsCached reports whether the server is expected to have the prefix cached.
func (t *PrefixTable) IsCached(prefix uint64, server uint16, now clock.Instant) bool {
	if prefix == 0 {
		return false
	}
	for _, holder := range t.CachedBy(prefix, now) {
		if holder == int(server) {
			return true
		}
	}
	return false
}

// CachedBy returns the numbers of the servers that are expected to have the
// prefix cached; an unused place is -1.
func (t *PrefixTable) CachedBy(prefix uint64, now clock.Instant) [affinityWays]int {
	var out [affinityWays]int
	base, tag := locate(prefix)
	current := seconds(now)
	for way := range affinityWays {
		out[way] = -1
		entry := t.entries[base+way].Load()
		entryTag, second, server := unpack(entry)
		if entry == 0 || entryTag != tag || current-second > uint64(affinityAge/time.Second) {
			continue
		}
		dropped := clock.Instant(t.dropped[int(server)%len(t.dropped)].Load())
		if dropped != 0 && second <= seconds(dropped) {
			continue
		}
		out[way] = int(server)
	}
	return out
}

func locate(prefix uint64) (base int, tag uint64) {
	base = int(prefix%(affinitySlots/affinityWays)) * affinityWays
	return base, prefix >> (64 - tagBits)
}

func seconds(now clock.Instant) uint64 {
	return uint64(now/clock.Instant(time.Second)) & (1<<secondBits - 1)
}

func pack(tag, second uint64, server uint16) uint64 {
	return tag<<(serverBits+secondBits) | second<<serverBits | uint64(server)
}

func unpack(entry uint64) (tag, second uint64, server uint16) {
	return entry >> (serverBits + secondBits), entry >> serverBits & (1<<secondBits - 1), uint16(entry)
}
