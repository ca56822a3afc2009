// Package link is a stand-in of the network between two regions: a TCP proxy
// with delay, jitter, loss, shared bandwidth and cuts.
package link

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// retransmitDelay is the added delay of a chunk whose packet was lost: the
// smallest retransmission timeout of usual TCP implementations.
const retransmitDelay = 200 * time.Millisecond

// Config describes a link between two regions.
type Config struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// Jitter is the largest random addition to the delay.
	Jitter time.Duration
	// Loss is the share of chunks that are delayed by a retransmission.
	Loss float64
	// MegabitsPerSecond is the bandwidth of each direction; zero is unlimited.
	MegabitsPerSecond float64
	// Seed makes jitter and loss repeatable.
	Seed uint64
}

// Cut is the way in which a link is cut.
type Cut int

// The ways to cut a link.
const (
	// CutNone means that the link works.
	CutNone Cut = iota
	// CutBlackhole stalls established connections, and new ones hang.
	CutBlackhole
	// CutReset resets established connections and new ones.
	CutReset
)

// Direction is one of the two directions of a link.
type Direction int

// The directions of a link.
const (
	Forward Direction = iota
	Backward
)

// opposite returns the opposite direction.
func (d Direction) opposite() Direction { return 1 - d }

// Link joins two regions. All connections over it share its bandwidth.
type Link struct {
	config Config
	directions  [2]directionState

	mu      sync.Mutex
	cut     Cut
	changed chan struct{} // closed when cut changes
	conns   map[*proxiedConn]struct{}
	ports   []*Port
}

// directionState holds what the connections share in one direction.
type directionState struct {
	bytes atomic.Int64
	mu    sync.Mutex
	idleAt  time.Time // when the lane is free for the next chunk
	rng   *rand.Rand
}

// New returns a working link.
func New(config Config) *Link {
	l := &Link{config: config, changed: make(chan struct{}), conns: map[*proxiedConn]struct{}{}}
	for i := range l.directions {
		l.directions[i].rng = rand.New(rand.NewPCG(config.Seed, uint64(i)))
	}
	return l
}

// Bytes returns how many bytes were carried in a direction.
func (l *Link) Bytes(d Direction) int64 { return l.directions[d].bytes.Load() }

// SetCut cuts the link in both directions.
func (l *Link) SetCut(cut Cut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	close(l.changed)
	l.changed = make(chan struct{})
	if cut == CutReset {
		for p := range l.conns {
			p.reset()
		}
	}
}

// Heal makes the link work again.
func (l *Link) Heal() { l.SetCut(CutNone) }

// Close ends all ports and connections.
func (l *Link) Close() {
	l.mu.Lock()
	ports := l.ports
	l.mu.Unlock()
	for _, p := range ports {
		p.close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.reset()
	}
}

// arrivalTime returns when a chunk that is sent now arrives at the other end.
func (l *Link) arrivalTime(d Direction, size int, now time.Time) time.Time {
	lane := &l.directions[d]
	lane.bytes.Add(int64(size))
	lane.mu.Lock()
	defer lane.mu.Unlock()
	sent := now
	if l.config.MegabitsPerSecond > 0 {
		if lane.idleAt.After(now) {
			sent = lane.idleAt
		}
		seconds := float64(size) * 8 / (l.config.MegabitsPerSecond * 1e6)
		sent = sent.Add(time.Duration(seconds * float64(time.Second)))
		lane.idleAt = sent
	}
	at := sent.Add(l.config.Delay)
	if l.config.Jitter > 0 {
		at = at.Add(time.Duration(lane.rng.Int64N(int64(l.config.Jitter))))
	}
	if l.config.Loss > 0 && lane.rng.Float64() < l.config.Loss {
		at = at.Add(retransmitDelay + 2*l.config.Delay)
	}
	return at
}

// waitWhileBlackholed waits while the link is a black hole. It reports false when done is
// closed first.
func (l *Link) waitWhileBlackholed(done <-chan struct{}) bool {
	for {
		l.mu.Lock()
		cut, changed := l.cut, l.changed
		l.mu.Unlock()
		if cut != CutBlackhole {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// currentCut returns how the link is cut.
func (l *Link) currentCut() Cut {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}
