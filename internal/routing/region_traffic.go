package routing

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// waitSmoothing is the weight of a new sample in the smoothed wait.
	waitSmoothing = 0.4
	// summaryDelay is the time after which a region's summary covers most of
	// the requests sent to it.
	summaryDelay = 2 * time.Second
	// waitMaxAge is how long a measured wait is used.
	waitMaxAge = 4 * time.Second
)

// RegionTraffic tracks the requests that this process sends to another region
// for one target.
type RegionTraffic struct {
	inFlight atomic.Int32
	// recentSent estimates the number of requests sent that the region's
	// summary does not cover yet. It holds the bits of a float64 and decays
	// exponentially from decayedAt on.
	recentSent atomic.Uint64
	decayedAt  atomic.Int64
	// wait is the smoothed wait in the region in seconds, as the bits of a
	// float64, and waitUpdatedAt the time of its last update.
	wait          atomic.Uint64
	waitUpdatedAt atomic.Int64
}

// InFlight returns the number of this process's requests in the region.
func (t *RegionTraffic) InFlight() int { return int(t.inFlight.Load()) }

// Start records a request sent to the region. If it races with another Start,
// recentSent counts only one of the two.
func (t *RegionTraffic) Start(now clock.Instant) {
	t.inFlight.Add(1)
	old := t.recentSent.Load()
	next := t.decayedSent(now) + 1
	if t.recentSent.CompareAndSwap(old, math.Float64bits(next)) {
		t.decayedAt.Store(int64(now))
	}
}

// End records that a request sent to the region has ended.
func (t *RegionTraffic) End() { t.inFlight.Add(-1) }

// Unreported estimates how many of this process's requests in the region its
// summary does not cover yet.
func (t *RegionTraffic) Unreported(now clock.Instant) int {
	return min(t.InFlight(), int(math.Round(t.decayedSent(now))))
}

// decayedSent returns recentSent decayed to now.
func (t *RegionTraffic) decayedSent(now clock.Instant) float64 {
	elapsed := now.Sub(clock.Instant(t.decayedAt.Load()))
	return math.Float64frombits(t.recentSent.Load()) * math.Exp(-elapsed.Seconds()/summaryDelay.Seconds())
}

// RecordWait records how long a request waited in the region beyond its link
// and service times. The measured wait overrides a shorter one in the region's
// summary, which excludes the queues of the region's gateways.
func (t *RegionTraffic) RecordWait(now clock.Instant, wait time.Duration) {
	old := clock.Instant(t.waitUpdatedAt.Swap(int64(now)))
	if now.Sub(old) > waitMaxAge {
		t.wait.Store(math.Float64bits(max(0, wait.Seconds())))
		return
	}
	smooth(&t.wait, max(0, wait.Seconds()), waitSmoothing)
}

// Wait returns the smoothed wait in seconds, or zero if the last measurement is
// older than waitMaxAge.
func (t *RegionTraffic) Wait(now clock.Instant) float64 {
	if now.Sub(clock.Instant(t.waitUpdatedAt.Load())) > waitMaxAge {
		return 0
	}
	return math.Float64frombits(t.wait.Load())
}
