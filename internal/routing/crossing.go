package routing

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// waitSmoothing is the weight of a new measurement of the wait in a region.
	waitSmoothing = 0.4
	// summaryLag is the time after which summaries show most of what was sent.
	summaryLag = 2 * time.Second
	// waitAge is how long such a measurement counts.
	waitAge = 4 * time.Second
)

// RegionTraffic is this process's own record of what it sent to another region for
// one target.
type RegionTraffic struct {
	inFlight atomic.Int32
	// sent is the number of requests sent lately, which fades as the region's
	// summaries come to show them; as the bits of a float64, as of faded.
	sent  atomic.Uint64
	faded atomic.Int64
	// wait is the measured wait in the region in seconds, as the bits of a
	// float64; measured is when it was last updated.
	wait     atomic.Uint64
	measured atomic.Int64
}

// InFlight returns the number of own requests in the region.
func (c *RegionTraffic) InFlight() int { return int(c.inFlight.Load()) }

// Start records a request to the region. A lost race loses one request.
func (c *RegionTraffic) Start(now clock.Instant) {
	c.inFlight.Add(1)
	old := c.sent.Load()
	next := c.recent(now) + 1
	if c.sent.CompareAndSwap(old, math.Float64bits(next)) {
		c.faded.Store(int64(now))
	}
}

// End records that a request to the region has ended.
func (c *RegionTraffic) End() { c.inFlight.Add(-1) }

// Unreported returns the own requests in the region that its summary can't
// show yet.
func (c *RegionTraffic) Unreported(now clock.Instant) int {
	return min(c.InFlight(), int(math.Round(c.recent(now))))
}

func (c *RegionTraffic) recent(now clock.Instant) float64 {
	passed := now.Sub(clock.Instant(c.faded.Load()))
	return math.Float64frombits(c.sent.Load()) * math.Exp(-passed.Seconds()/summaryLag.Seconds())
}

// RecordWait records how long a request waited in the region beyond its link and
// service times. What is measured here outranks the region's summary, which
// doesn't show the queues of its gateways.
func (c *RegionTraffic) RecordWait(now clock.Instant, wait time.Duration) {
	old := clock.Instant(c.measured.Swap(int64(now)))
	if now.Sub(old) > waitAge {
		c.wait.Store(math.Float64bits(max(0, wait.Seconds())))
		return
	}
	smooth(&c.wait, max(0, wait.Seconds()), waitSmoothing)
}

// Wait returns the measured wait in seconds, or zero where it is old.
func (c *RegionTraffic) Wait(now clock.Instant) float64 {
	if now.Sub(clock.Instant(c.measured.Load())) > waitAge {
		return 0
	}
	return math.Float64frombits(c.wait.Load())
}
