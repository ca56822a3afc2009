package discovery

import (
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// removalMemory is how long the removal of a server is kept, so that an older record
	// of a VM that was cut off doesn't restore it.
	removalMemory = 10 * time.Minute
	// removalInterval is the time between two looks for removals that have expired.
	removalInterval = time.Second
)

// removals holds when this VM learned of the removals of servers, by server ID. Its
// methods are safe for concurrent use.
type removals struct {
	mu        sync.Mutex
	at        map[string]clock.Instant
	checkedAt clock.Instant
}

// add records the removal of a server.
func (r *removals) add(id string, now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at[id] = now
}

// takeExpired returns the servers whose removal is longer ago than removalMemory, and
// drops them.
func (r *removals) takeExpired(now clock.Instant) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.checkedAt) < removalInterval {
		return nil
	}
	r.checkedAt = now
	var expired []string
	for id, at := range r.at {
		if now.Sub(at) > removalMemory {
			expired = append(expired, id)
			delete(r.at, id)
		}
	}
	return expired
}
