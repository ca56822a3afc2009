// Package link is a stand-in for the network between two regions: a TCP proxy
// that simulates delay, jitter, loss, shared bandwidth and interruptions.
package link

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// retransmitDelay is the additional delay of a chunk with a lost packet, besides a
// round trip: the minimum retransmission timeout of common TCP implementations.
const retransmitDelay = 200 * time.Millisecond

// Config configures a link between two regions.
type Config struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// Jitter is the maximum random addition to the delay.
	Jitter time.Duration
	// Loss is the fraction of chunks that are delayed by a retransmission.
	Loss float64
	// MegabitsPerSecond is the bandwidth of each direction; 0 means unlimited.
	MegabitsPerSecond float64
	// Seed makes jitter and loss reproducible.
	Seed uint64
}

// Cut is a kind of interruption of a link.
type Cut int

const (
	// CutNone means that the link works.
	CutNone Cut = iota
	// CutBlackhole stalls established and new connections.
	CutBlackhole
	// CutReset resets established and new connections.
	CutReset
)

// Direction is one of the two directions of a link.
type Direction int

const (
	Forward Direction = iota
	Backward
)

// opposite returns the opposite direction.
func (d Direction) opposite() Direction { return 1 - d }

// Link connects two regions. All connections over it share its bandwidth.
type Link struct {
	config     Config
	directions [2]directionState

	mu      sync.Mutex
	cut     Cut
	changed chan struct{} // closed when cut changes
	conns   map[*proxiedConn]struct{}
	ports   []*Port
}

// directionState is the state that all connections share in one direction.
type directionState struct {
	bytes  atomic.Int64
	mu     sync.Mutex
	idleAt time.Time // when the bandwidth is free for the next chunk
	rng    *rand.Rand
}

// New returns a working link.
func New(config Config) *Link {
	l := &Link{config: config, changed: make(chan struct{}), conns: map[*proxiedConn]struct{}{}}
	for i := range l.directions {
		l.directions[i].rng = rand.New(rand.NewPCG(config.Seed, uint64(i)))
	}
	return l
}

// Bytes returns the number of bytes sent in a direction.
func (l *Link) Bytes(d Direction) int64 { return l.directions[d].bytes.Load() }

// SetCut interrupts the link in both directions, or undoes that with CutNone.
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

// Heal undoes SetCut.
func (l *Link) Heal() { l.SetCut(CutNone) }

// Close closes all ports and resets all connections.
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

// arrivalTime returns when a chunk of size bytes, sent at now, arrives at the
// other end. It reserves the bandwidth for the chunk.
func (l *Link) arrivalTime(d Direction, size int, now time.Time) time.Time {
	state := &l.directions[d]
	state.bytes.Add(int64(size))
	state.mu.Lock()
	defer state.mu.Unlock()
	sent := now
	if l.config.MegabitsPerSecond > 0 {
		if state.idleAt.After(now) {
			sent = state.idleAt
		}
		seconds := float64(size) * 8 / (l.config.MegabitsPerSecond * 1e6)
		sent = sent.Add(time.Duration(seconds * float64(time.Second)))
		state.idleAt = sent
	}
	at := sent.Add(l.config.Delay)
	if l.config.Jitter > 0 {
		at = at.Add(time.Duration(state.rng.Int64N(int64(l.config.Jitter))))
	}
	if l.config.Loss > 0 && state.rng.Float64() < l.config.Loss {
		at = at.Add(retransmitDelay + 2*l.config.Delay)
	}
	return at
}

// waitWhileBlackholed waits until the link is no longer in state CutBlackhole. It
// returns false if done is closed first.
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

func (l *Link) currentCut() Cut {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}
