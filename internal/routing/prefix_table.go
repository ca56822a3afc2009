package routing

import (
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// prefixTableSize is the number of entries in a PrefixTable. It must be a
	// power of two.
	prefixTableSize = 4096
	// prefixTableWays is the maximum number of servers recorded for a prefix.
	prefixTableWays = 2
	// prefixMaxAge is how long a prefix is expected to stay cached after its
	// last use.
	prefixMaxAge = 5 * time.Minute

	// Widths of the fields of an entry.
	serverBits = 16
	secondBits = 24
	tagBits    = 64 - serverBits - secondBits
)

// PrefixTable records which backend servers have a prompt prefix cached. It is
// a lock-free table of fixed size in which new entries overwrite the oldest
// ones. An entry packs a tag of the prefix, the second of its last use and the
// server's ID.
type PrefixTable struct {
	entries [prefixTableSize]atomic.Uint64
	// invalidatedAt holds, by server ID modulo its length, when everything
	// recorded about a server was last invalidated.
	invalidatedAt [1 << 12]atomic.Int64
}

// MarkCached records that the server has the prefix cached.
func (t *PrefixTable) MarkCached(prefix uint64, server uint16, now clock.Instant) {
	base, tag := bucketOf(prefix)
	entry := pack(tag, seconds(now), server)
	victim, oldest := base, uint64(1<<secondBits)
	for i := base; i < base+prefixTableWays; i++ {
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

// MarkEvicted records that the server no longer has the prefix cached.
func (t *PrefixTable) MarkEvicted(prefix uint64, server uint16) {
	base, tag := bucketOf(prefix)
	for i := base; i < base+prefixTableWays; i++ {
		old := t.entries[i].Load()
		oldTag, _, oldServer := unpack(old)
		if old != 0 && oldTag == tag && oldServer == server {
			t.entries[i].CompareAndSwap(old, 0)
		}
	}
}

// InvalidateServer invalidates everything recorded about a server up to now,
// after a gap in its cache events or a restart.
func (t *PrefixTable) InvalidateServer(server uint16, now clock.Instant) {
	t.invalidatedAt[int(server)%len(t.invalidatedAt)].Store(int64(now))
}

// IsCached reports whether the server is expected to have the prefix cached.
func (t *PrefixTable) IsCached(prefix uint64, server uint16, now clock.Instant) bool {
	if prefix == 0 {
		return false
	}
	for _, id := range t.CachedBy(prefix, now) {
		if id == int(server) {
			return true
		}
	}
	return false
}

// CachedBy returns the IDs of the servers that are expected to have the prefix
// cached. Unused elements are -1.
func (t *PrefixTable) CachedBy(prefix uint64, now clock.Instant) [prefixTableWays]int {
	var out [prefixTableWays]int
	base, tag := bucketOf(prefix)
	current := seconds(now)
	for way := range prefixTableWays {
		out[way] = -1
		entry := t.entries[base+way].Load()
		entryTag, second, server := unpack(entry)
		if entry == 0 || entryTag != tag || current-second > uint64(prefixMaxAge/time.Second) {
			continue
		}
		invalidated := clock.Instant(t.invalidatedAt[int(server)%len(t.invalidatedAt)].Load())
		if invalidated != 0 && second <= seconds(invalidated) {
			continue
		}
		out[way] = int(server)
	}
	return out
}

// bucketOf returns the index of the prefix's first entry and the prefix's tag.
func bucketOf(prefix uint64) (base int, tag uint64) {
	base = int(prefix%(prefixTableSize/prefixTableWays)) * prefixTableWays
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
