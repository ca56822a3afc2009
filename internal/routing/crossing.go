package routing

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

const (
	// waitSmoothing is the weight of a new measurement of the wait in a region.
	waitSmoothing = 0.4
	// waitAge is how long such a measurement counts.
	waitAge = 4 * time.Second
)

// Crossing is this process's own record of what it sent to another region for
// one target.
type Crossing struct {
	inFlight atomic.Int32
	// sent counts the requests that the region's last summary can't show yet.
	sent  atomic.Int32
	heard atomic.Int64
	// wait is the measured wait in the region in seconds, as the bits of a
	// float64; measured is when it was last updated.
	wait     atomic.Uint64
	measured atomic.Int64
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

// Waited records how long a request waited in the region beyond its link and
// service times. What is measured here outranks the region's summary, which
// doesn't show the queues of its gateways.
func (c *Crossing) Waited(now clock.Instant, wait time.Duration) {
	old := clock.Instant(c.measured.Swap(int64(now)))
	if now.Sub(old) > waitAge {
		c.wait.Store(math.Float64bits(max(0, wait.Seconds())))
		return
	}
	smooth(&c.wait, max(0, wait.Seconds()), waitSmoothing)
}

// Wait returns the measured wait in seconds, or zero where it is old.
func (c *Crossing) Wait(now clock.Instant) float64 {
	if now.Sub(clock.Instant(c.measured.Load())) > waitAge {
		return 0
	}
	return math.Float64frombits(c.wait.Load())
}
