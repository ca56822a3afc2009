package balance

import (
	"math"
	"sync"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

const (
	// calibrationWeight is the weight of a new sample of the ratio of measured to
	// expected time to first byte.
	calibrationWeight = 0.1
	// calibrationFloor is added to both times, so that the fixed part of a short
	// one does not count as an error of the estimate.
	calibrationFloor = 200 * time.Millisecond
	// maxCalibration bounds one sample, and the reciprocal of its lower bound.
	maxCalibration = 5.0
	// calibrationDecay is the time constant with which a ratio without new samples
	// returns to 1.
	calibrationDecay = 10 * time.Second
)

// calibrationKey names the requests that share a ratio: those of a route that are
// sent within this region, or to another one.
type calibrationKey struct {
	route  string
	remote bool
}

// calibration corrects the expected time to first byte by the ratio of measured to
// expected times of recent requests. Under overload estimates are too low: reports
// are old, and requests that arrive later are more urgent.
type calibration struct {
	mu     sync.Mutex
	ratios map[calibrationKey]calibrationRatio
}

type calibrationRatio struct {
	// log is the mean logarithm of the ratio.
	log float64
	at  clock.Instant
}

// RecordFirstByte records the time to first byte of a request of the route. For a
// request that ended without one, it is the time for which the request waited; that
// is recorded only if it exceeds the expected time.
func (b *Balancer) RecordFirstByte(route string, plan *Plan, measured time.Duration, now clock.Instant) {
	ratio := float64(measured+calibrationFloor) / float64(plan.Estimate.TimeToFirstByte+calibrationFloor)
	sample := math.Log(min(max(ratio, 1/maxCalibration), maxCalibration))
	key := calibrationKey{route, plan.Region != ""}
	b.calibration.mu.Lock()
	defer b.calibration.mu.Unlock()
	mean := b.calibration.mean(key, now)
	b.calibration.ratios[key] = calibrationRatio{log: mean + calibrationWeight*(sample-mean), at: now}
}

// CalibratedFirstByte returns the expected time to first byte of a plan, corrected
// by those of recent requests of the route. It is never below the estimate.
func (b *Balancer) CalibratedFirstByte(route string, plan *Plan, now clock.Instant) time.Duration {
	expected := plan.Estimate.TimeToFirstByte
	b.calibration.mu.Lock()
	mean := b.calibration.mean(calibrationKey{route, plan.Region != ""}, now)
	b.calibration.mu.Unlock()
	return max(expected, time.Duration(float64(expected+calibrationFloor)*math.Exp(mean))-calibrationFloor)
}

// mean returns the mean logarithm of the ratio. The caller must hold c.mu.
func (c *calibration) mean(key calibrationKey, now clock.Instant) float64 {
	r, ok := c.ratios[key]
	if !ok {
		return 0
	}
	return r.log * math.Exp(-max(0, now.Sub(r.at).Seconds())/calibrationDecay.Seconds())
}
