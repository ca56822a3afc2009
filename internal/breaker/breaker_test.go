package breaker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

func TestOpenBreakerAllowsOneTrialPerBackoff(t *testing.T) {
	is := is.New(t)
	var b Breaker
	now := clock.Instant(time.Hour)
	for range failureThreshold {
		is.True(b.Allow(now))
		b.RecordFailure(now)
	}
	is.True(!b.Allow(now)) // open
	now = now.Add(initialBackoff)
	is.True(b.Allow(now))  // the trial
	is.True(!b.Allow(now)) // only one trial at a time
	b.RecordFailure(now)
	is.True(!b.Ready(now.Add(initialBackoff))) // the backoff has doubled
	is.True(b.Ready(now.Add(2 * initialBackoff)))
	is.True(b.Allow(now.Add(2 * initialBackoff)))
	b.RecordSuccess()
	is.True(b.Allow(now))
	is.True(b.Allow(now)) // closed: requests are not limited
}

// TestUnfinishedTrialTimesOut guards against a breaker that stays open forever
// because the outcome of a trial was never recorded.
func TestUnfinishedTrialTimesOut(t *testing.T) {
	is := is.New(t)
	var b Breaker
	now := clock.Instant(time.Hour)
	for range failureThreshold {
		b.RecordFailure(now)
	}
	now = now.Add(maxBackoff)
	is.True(b.Allow(now)) // the outcome is never recorded
	is.True(b.Allow(now.Add(trialTimeout)))
}
