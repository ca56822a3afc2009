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
// the idle ones, and it returns false if there are none.
func (t *Total) Take() bool {
	if t == nil || t.open.Add(1) <= int64(t.max) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		p.closeIdle(func(*conn, clock.Instant) bool { return true })
	}
	if t.open.Load() <= int64(t.max) {
		return true
	}
	t.open.Add(-1)
	return false
}

// Give counts a connection as closed.
func (t *Total) Give() {
	if t != nil {
		t.open.Add(-1)
	}
}
