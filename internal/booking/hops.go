package booking

import (
	"maps"
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// DefaultMaxHops bounds the received hops that are remembered.
const DefaultMaxHops = 30_000

// HopState is what the receiver of region hops knows of a key.
type HopState int

// The states.
const (
	// HopNew means that the key was not seen before.
	HopNew HopState = iota
	// HopSeen means that the key was received before and may have run.
	HopSeen
	// HopClosed means that the key did not run here and never will.
	HopClosed
)

// HopTable remembers the keys of bookings that came over a region hop, so that a
// duplicated message never runs. The key names the owner's incarnation.
//
// When there is no room, the refused key's epoch and those before it take no
// new keys of that owner. So the key is closed without being remembered.
type HopTable struct {
	now clock.Clock
	max int

	mu   sync.Mutex
	keys map[string]*receivedHop
	// queue holds the keys in order of arrival.
	queue []*receivedHop
	// closed holds the closed epochs by the owner's incarnation.
	closed map[string]closedEpochs
}

// closedEpochs are the epochs of an owner that take no new keys.
type closedEpochs struct {
	// before is one above the newest closed epoch.
	before  uint64
	expires clock.Instant
}

type receivedHop struct {
	key     string
	expires clock.Instant
	closed  bool
}

// NewHopTable returns an empty memory of at most limit keys; zero means
// DefaultMaxHops.
func NewHopTable(now clock.Clock, limit int) *HopTable {
	if limit == 0 {
		limit = DefaultMaxHops
	}
	return &HopTable{now: now, max: limit, keys: map[string]*receivedHop{}, closed: map[string]closedEpochs{}}
}

// Begin registers a received hop. Only after HopNew may the request run. The
// window is the validity of the key at its owner.
func (h *HopTable) Begin(key Key, window time.Duration) HopState {
	return h.register(key, window, false)
}

// Close remembers that the key did not run here and never will. It returns
// HopSeen if a hop with the key was received before and may have run.
func (h *HopTable) Close(key Key, window time.Duration) HopState {
	state := h.register(key, window, true)
	if state == HopNew {
		return HopClosed
	}
	return state
}

// MarkClosed turns a hop that Begin registered into a closed one. It is called
// before the owner is told that the request did not run.
func (h *HopTable) MarkClosed(key Key) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if hop := h.keys[key.String()]; hop != nil {
		hop.closed = true
	}
}

// Size returns the number of remembered keys.
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
	h.dropExpired(now)
	if hop := h.keys[text]; hop != nil {
		if hop.closed {
			return HopClosed
		}
		return HopSeen
	}
	expires := now.Add(hopRetention(window))
	if key.Epoch < h.closed[key.Incarnation].before {
		return HopClosed
	}
	if len(h.keys) >= h.max {
		h.closed[key.Incarnation] = closedEpochs{before: key.Epoch + 1, expires: expires}
		return HopClosed
	}
	hop := &receivedHop{key: text, expires: expires, closed: closed}
	h.keys[text] = hop
	h.queue = append(h.queue, hop)
	return HopNew
}

// dropExpired forgets the keys and epochs that no live message can carry any
// more.
func (h *HopTable) dropExpired(now clock.Instant) {
	for len(h.queue) > 0 && now.Sub(h.queue[0].expires) > 0 {
		delete(h.keys, h.queue[0].key)
		h.queue[0] = nil
		h.queue = h.queue[1:]
	}
	maps.DeleteFunc(h.closed, func(_ string, c closedEpochs) bool { return now.Sub(c.expires) > 0 })
}

// hopRetention is the time after which the owner has given the key up: it was
// issued before the hop arrived, and the owner sends it before the window ends.
func hopRetention(window time.Duration) time.Duration {
	return window + EpochLength + 2*wire.MaxTimeout
}
