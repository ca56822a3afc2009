package upstream

import (
	"sync"
	"sync/atomic"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

// Total bounds the connections of several pools together. Nil means that there is no bound.
type Total struct {
	max  int
	open atomic.Int64

	// mu guards the choice of a connection to close.
	mu    sync.Mutex
	pools []*Pool
}

// NewTotal returns a bound of max connections for the pools, which use it from now on.
func NewTotal(max int, pools ...*Pool) *Total {
	t := &Total{max: max, pools: pools}
	for _, p := range pools {
		p.Total = t
	}
	return t
}

// Take counts a connection that is about to be opened. If there are as many as allowed, it closes
// the one that has been idle for longest, and returns false if none is idle.
func (t *Total) Take() bool {
	if t == nil || t.open.Add(1) <= int64(t.max) {
		return true
	}
	if t.closeOldest() {
		return true
	}
	t.open.Add(-1)
	return false
}

// closeOldest closes the connection that has been idle for longest, and reports whether there
// was one.
func (t *Total) closeOldest() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for {
		var oldest *conn
		var since clock.Instant
		for _, p := range t.pools {
			if c, idleSince := p.oldestIdle(); c != nil && (oldest == nil || idleSince < since) {
				oldest, since = c, idleSince
			}
		}
		if oldest == nil {
			return false
		}
		if oldest.pool.forget(oldest) { // otherwise a request has taken it
			oldest.close()
			return true
		}
	}
}

// Give counts a connection as closed.
func (t *Total) Give() {
	if t != nil {
		t.open.Add(-1)
	}
}
