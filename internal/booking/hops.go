package booking

import (
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
	// HopFull means that there is no room for new keys.
	HopFull
)

// Hops remembers the keys of bookings that came over a region hop, so that a
// duplicated message never runs. The key names the owner's incarnation.
type Hops struct {
	now clock.Clock
	max int

	mu   sync.Mutex
	keys map[string]*receivedHop
	// queue holds the keys in order of arrival.
	queue []*receivedHop
}

type receivedHop struct {
	key     string
	expires clock.Instant
	closed  bool
}

// NewHops returns an empty memory of at most limit keys; zero means
// DefaultMaxHops.
func NewHops(now clock.Clock, limit int) *Hops {
	if limit == 0 {
		limit = DefaultMaxHops
	}
	return &Hops{now: now, max: limit, keys: map[string]*receivedHop{}}
}

// Begin registers a received hop. Only after HopNew may the request run. The
// window is the validity of the key at its owner.
func (h *Hops) Begin(key Key, window time.Duration) HopState {
	return h.register(key, window, false)
}

// Close remembers that the key did not run here and never will. It returns
// HopSeen if a hop with the key was received before and may have run.
func (h *Hops) Close(key Key, window time.Duration) HopState {
	state := h.register(key, window, true)
	if state == HopNew {
		return HopClosed
	}
	return state
}

// Refuse turns a hop that Begin registered into a closed one. It is called
// before the owner is told that the request did not run.
func (h *Hops) Refuse(key Key) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if hop := h.keys[key.String()]; hop != nil {
		hop.closed = true
	}
}

// Size returns the number of remembered keys.
func (h *Hops) Size() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.keys)
}

func (h *Hops) register(key Key, window time.Duration, closed bool) HopState {
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
	if len(h.keys) >= h.max {
		return HopFull
	}
	hop := &receivedHop{key: text, expires: now.Add(hopRetention(window)), closed: closed}
	h.keys[text] = hop
	h.queue = append(h.queue, hop)
	return HopNew
}

// dropExpired forgets the oldest keys that no live message can carry any more.
func (h *Hops) dropExpired(now clock.Instant) {
	for len(h.queue) > 0 && now.Sub(h.queue[0].expires) > 0 {
		delete(h.keys, h.queue[0].key)
		h.queue[0] = nil
		h.queue = h.queue[1:]
	}
}

// hopRetention is the time after which the owner has given the key up: it was
// issued before the hop arrived, and the owner sends it before the window ends.
func hopRetention(window time.Duration) time.Duration {
	return window + EpochLength + 2*wire.MaxTimeout
}
