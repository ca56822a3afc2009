package engine

import (
	"container/list"
	"strconv"
	"sync"
	"time"
)

// prefixCache is a least-recently-used cache of prompt prefixes with a limited
// number of tokens.
type prefixCache struct {
	limit int // tokens
	used  int // tokens
	order *list.List
	byKey map[uint64]*list.Element
}

type cacheEntry struct {
	key    uint64
	tokens int
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), byKey: map[uint64]*list.Element{}}
}

// lookupOrStore reports whether the prefix was in the cache, and stores it if
// not. Prefixes longer than the limit are not stored.
func (c *prefixCache) lookupOrStore(key uint64, tokens int, events *eventLog) bool {
	if e := c.byKey[key]; e != nil {
		c.order.MoveToFront(e)
		return true
	}
	if tokens > c.limit {
		return false
	}
	for c.used+tokens > c.limit {
		oldest := c.order.Back()
		old := c.order.Remove(oldest).(cacheEntry)
		delete(c.byKey, old.key)
		c.used -= old.tokens
		events.add(KindEvicted, old.key)
	}
	c.byKey[key] = c.order.PushFront(cacheEntry{key, tokens})
	c.used += tokens
	events.add(KindStored, key)
	return false
}

// The kinds of cache events.
const (
	KindStored  = "stored"
	KindEvicted = "evicted"
)

// maxEvents is the number of retained events. Readers of older ones see a gap in
// the sequence numbers.
const maxEvents = 4096

// Event announces a change of the prefix cache.
type Event struct {
	Seq  uint64 `json:"seq"`
	Kind string `json:"kind"`
	// Prefix is the identity of the prefix in hexadecimal; see prefixID.
	Prefix string `json:"prefix"`
	at     time.Time
}

// eventLog publishes cache events with a delay and with gaps, like a lossy event
// channel.
type eventLog struct {
	lag time.Duration // age at which events are published
	gap uint64        // every gap-th event is dropped; 0 drops none

	mu     sync.Mutex
	seq    uint64
	events []Event
}

func (l *eventLog) add(kind string, key uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	if l.gap > 0 && l.seq%l.gap == 0 {
		return
	}
	e := Event{Seq: l.seq, Kind: kind, Prefix: strconv.FormatUint(key, 16), at: time.Now()}
	l.events = append(l.events, e)
	if len(l.events) > maxEvents {
		l.events = l.events[len(l.events)-maxEvents:]
	}
}

// publishedAfter returns the published events with higher sequence numbers than
// seq.
func (l *eventLog) publishedAfter(seq uint64) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := time.Now().Add(-l.lag)
	found := []Event{}
	for _, e := range l.events {
		if e.Seq > seq && !e.at.After(newest) {
			found = append(found, e)
		}
	}
	return found
}
