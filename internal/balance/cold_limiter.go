package balance

import (
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/spread"
)

const (
	// coldWindow is the span in which requests to a cold server are counted. It
	// exceeds the one second of the operators' bound by the possible difference
	// in the requests' network delays.
	coldWindow = 1100 * time.Millisecond
	// coldReserve is the fraction of a cold server's rate that is left unused, for
	// VMs that do not know of one another.
	coldReserve = 0.15
)

// ColdLimiter bounds the requests to a cold server in a sliding window.
type ColdLimiter struct {
	mu   sync.Mutex
	sent []clock.Instant
}

// Take reports whether one more request may be sent, and if so counts it. If
// bounded is false, the request may always be sent; it is counted in case the
// server proves to be cold.
func (l *ColdLimiter) Take(now clock.Instant, allowance int, bounded bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if bounded && len(l.sent) >= allowance {
		return false
	}
	l.sent = append(l.sent, now)
	return true
}

// HasRoom reports whether a bounded Take would succeed.
func (l *ColdLimiter) HasRoom(now clock.Instant, allowance int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	return len(l.sent) < allowance
}

// idle reports whether no request was counted within the window.
func (l *ColdLimiter) idle(now clock.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	return len(l.sent) == 0
}

// expire removes requests that have left the window. The caller holds the lock.
func (l *ColdLimiter) expire(now clock.Instant) {
	i := 0
	for i < len(l.sent) && now.Sub(l.sent[i]) >= coldWindow {
		i++
	}
	l.sent = l.sent[i:]
}

// ColdAllowance returns this VM's share of the requests per second that a cold
// server tolerates. Rank is the VM's rank among the region's VMs for this
// server; the shares of all ranks add up to the total.
func ColdAllowance(perSecond float64, vms, rank int) int {
	return spread.Part(int(perSecond*(1-coldReserve)), vms, rank)
}
