package routing

import (
	"sync/atomic"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// Crossing is this process's own record of what it sent to another region for
// one target.
type Crossing struct {
	inFlight atomic.Int32
	// sent counts the requests that the region's last summary can't show yet.
	sent  atomic.Int32
	heard atomic.Int64
}

// InFlight returns the number of own requests in the region.
func (c *Crossing) InFlight() int { return int(c.inFlight.Load()) }

// Start records a request to the region.
func (c *Crossing) Start() {
	c.inFlight.Add(1)
	c.sent.Add(1)
}

// End records that a request to the region has ended.
func (c *Crossing) End() { c.inFlight.Add(-1) }

// Reported starts a new count when a newer summary has come in. The requests
// of the last period count half, as they were on their way meanwhile.
func (c *Crossing) Reported(summary *snapshot.RegionSummary) {
	if summary == nil {
		return
	}
	old := c.heard.Swap(int64(summary.Heard))
	if clock.Instant(old) != summary.Heard {
		c.sent.Store(c.sent.Load() / 2)
	}
}

// Unreported returns the requests that the last summary can't show yet.
func (c *Crossing) Unreported() int { return int(c.sent.Load()) }
