package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

// TestOverloadRaisesExpectedFirstByte covers an overload in which requests wait
// several times longer than estimated, so that most callers leave in vain.
func TestOverloadRaisesExpectedFirstByte(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer(1, 0)
	now := clock.Instant(time.Hour)
	plan := &Plan{Estimate: Estimate{TimeToFirstByte: 1200 * time.Millisecond}}
	remote := &Plan{Region: "away", Estimate: plan.Estimate}
	is.Equal(b.CalibratedFirstByte("report", plan, now), plan.Estimate.TimeToFirstByte)
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		b.RecordFirstByte("report", plan, 3600*time.Millisecond, now)
	}
	calibrated := b.CalibratedFirstByte("report", plan, now)
	is.True(calibrated > 3*time.Second && calibrated <= 3700*time.Millisecond)
	// Other routes and the way to other regions have ratios of their own.
	is.Equal(b.CalibratedFirstByte("lookup", plan, now), plan.Estimate.TimeToFirstByte)
	is.Equal(b.CalibratedFirstByte("report", remote, now), plan.Estimate.TimeToFirstByte)
	// A short expected time stays short: the ratio doesn't apply to the fixed part.
	short := &Plan{Estimate: Estimate{TimeToFirstByte: 50 * time.Millisecond}}
	is.True(b.CalibratedFirstByte("report", short, now) < 600*time.Millisecond)
	// Without samples, as all are refused, the ratio returns to 1.
	is.True(b.CalibratedFirstByte("report", plan, now.Add(5*calibrationDecay)) < 1300*time.Millisecond)
}

func TestCalibrationIsBoundedAndNeverLowersTheEstimate(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer(1, 0)
	now := clock.Instant(time.Hour)
	plan := &Plan{Estimate: Estimate{TimeToFirstByte: time.Second}}
	for range 100 {
		b.RecordFirstByte("report", plan, time.Hour, now)
	}
	is.True(b.CalibratedFirstByte("report", plan, now) <= time.Duration(maxCalibration*1.2*float64(time.Second)))
	for range 200 {
		b.RecordFirstByte("report", plan, 0, now)
	}
	is.Equal(b.CalibratedFirstByte("report", plan, now), plan.Estimate.TimeToFirstByte)
}
