package balance

import (
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// paceWindow is the span in which requests to a cold server are counted.
	// It is longer than the operators' second by what the requests' travel
	// times may differ.
	paceWindow = 1100 * time.Millisecond
	// paceReserve is the part of the allowance that stays unused, for VMs that
	// don't know of one another.
	paceReserve = 0.15
)

// ColdLimiter bounds the requests to a cold server in each window.
type ColdLimiter struct {
	mu   sync.Mutex
	sent []clock.Instant
}

// Take reports whether one more request may be sent, and counts it. Without a
// bound it always may; it is counted all the same, for a server that turns out
// to be cold.
func (p *ColdLimiter) Take(now clock.Instant, allowance int, bounded bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(now)
	if bounded && len(p.sent) >= allowance {
		return false
	}
	p.sent = append(p.sent, now)
	return true
}

// HasRoom reports whether Take would be granted.
func (p *ColdLimiter) HasRoom(now clock.Instant, allowance int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(now)
	return len(p.sent) < allowance
}

func (p *ColdLimiter) forget(now clock.Instant) {
	i := 0
	for i < len(p.sent) && now.Sub(p.sent[i]) >= paceWindow {
		i++
	}
	p.sent = p.sent[i:]
}

// ColdAllowance returns this VM's part of the requests that a cold server
// tolerates in a second. Rank is the VM's place among the region's VMs for
// this server, so that the parts of all VMs add up to the whole.
func ColdAllowance(perSecond float64, vms, rank int) int {
	whole := int(perSecond * (1 - paceReserve))
	vms = max(1, vms)
	part := whole / vms
	if rank < whole%vms {
		part++
	}
	return part
}
