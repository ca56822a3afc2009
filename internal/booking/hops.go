package booking

import (
	"maps"
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// DefaultMaxHops is the default maximum number of keys in a HopTable.
const DefaultMaxHops = 30_000

// HopState is the state of a key at a gateway that receives region hops.
type HopState int

// States of a key.
const (
	// HopNew means that the key has not been received before.
	HopNew HopState = iota
	// HopSeen means that the key was received before and may have run here.
	HopSeen
	// HopClosed means that the key has not run here and never will.
	HopClosed
)

// HopTable records the keys of bookings received over region hops, so that a
// duplicate message never runs. Each key names the incarnation of its owner.
//
// When the table is full, it rejects a new key and closes the key's epoch and
// all earlier epochs of that owner to new keys. The rejected key thus stays
// closed without an entry of its own.
type HopTable struct {
	now     clock.Clock
	maxKeys int

	mu   sync.Mutex
	keys map[string]*receivedHop
	// queue holds the entries of keys in order of arrival.
	queue []*receivedHop
	// closedEpochs is keyed by the owner's incarnation.
	closedEpochs map[string]epochCutoff
}

// epochCutoff closes the older epochs of an owner to new keys.
type epochCutoff struct {
	// before is the oldest open epoch: lower epochs are closed.
	before  uint64
	expires clock.Instant
}

type receivedHop struct {
	key     string
	expires clock.Instant
	closed  bool
}

// NewHopTable returns an empty table for at most limit keys; zero means
// DefaultMaxHops.
func NewHopTable(now clock.Clock, limit int) *HopTable {
	if limit == 0 {
		limit = DefaultMaxHops
	}
	return &HopTable{now: now, maxKeys: limit, keys: map[string]*receivedHop{}, closedEpochs: map[string]epochCutoff{}}
}

// Begin records a received hop and returns the previous state of its key. The
// request may run only if the state is HopNew. The window is the validity of
// the key at its owner.
func (h *HopTable) Begin(key Key, window time.Duration) HopState {
	return h.register(key, window, false)
}

// Close closes the key, so that it never runs here, and returns HopClosed. If a
// hop with the key was received before and may have run, Close returns HopSeen
// and changes nothing.
func (h *HopTable) Close(key Key, window time.Duration) HopState {
	state := h.register(key, window, true)
	if state == HopNew {
		return HopClosed
	}
	return state
}

// MarkClosed closes a key recorded by Begin whose request did not run. It must
// be called before the owner gets the "not run" verdict.
func (h *HopTable) MarkClosed(key Key) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if hop := h.keys[key.String()]; hop != nil {
		hop.closed = true
	}
}

// Size returns the number of recorded keys.
func (h *HopTable) Size() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.keys)
}

func (h *HopTable) register(key Key, window time.Duration, closed bool) HopState {
	text := key.String()
	now := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evictExpired(now)
	if hop := h.keys[text]; hop != nil {
		if hop.closed {
			return HopClosed
		}
		return HopSeen
	}
	expires := now.Add(hopRetention(window))
	if key.Epoch < h.closedEpochs[key.Incarnation].before {
		return HopClosed
	}
	if len(h.keys) >= h.maxKeys {
		h.closedEpochs[key.Incarnation] = epochCutoff{before: key.Epoch + 1, expires: expires}
		return HopClosed
	}
	hop := &receivedHop{key: text, expires: expires, closed: closed}
	h.keys[text] = hop
	h.queue = append(h.queue, hop)
	return HopNew
}

// evictExpired removes the keys and cutoffs that no message in flight can still
// refer to.
func (h *HopTable) evictExpired(now clock.Instant) {
	for len(h.queue) > 0 && now.Sub(h.queue[0].expires) > 0 {
		delete(h.keys, h.queue[0].key)
		h.queue[0] = nil
		h.queue = h.queue[1:]
	}
	maps.DeleteFunc(h.closedEpochs, func(_ string, c epochCutoff) bool { return now.Sub(c.expires) > 0 })
}

// hopRetention returns how long a received key is kept. After that the owner no
// longer sends the key, because its prefix was issued before the hop arrived
// and the owner sends a key only within its window.
func hopRetention(window time.Duration) time.Duration {
	return window + EpochLength + 2*wire.MaxTimeout
}
