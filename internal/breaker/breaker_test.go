package breaker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

func TestOneTrialAtATimeAfterAGrowingPause(t *testing.T) {
	is := is.New(t)
	var b Breaker
	now := clock.Instant(time.Hour)
	for range failuresToOpen {
		is.True(b.Allow(now))
		b.RecordFailure(now)
	}
	is.True(!b.Allow(now)) // open
	now = now.Add(firstPause)
	is.True(b.Allow(now))  // the trial
	is.True(!b.Allow(now)) // only one
	b.RecordFailure(now)
	is.True(!b.Ready(now.Add(firstPause))) // the pause has doubled
	is.True(b.Ready(now.Add(2 * firstPause)))
	is.True(b.Allow(now.Add(2 * firstPause)))
	b.RecordSuccess()
	is.True(b.Allow(now))
	is.True(b.Allow(now)) // closed again: no bound on requests
}

func TestALostTrialDoesNotCloseTheWayForGood(t *testing.T) {
	is := is.New(t)
	var b Breaker
	now := clock.Instant(time.Hour)
	for range failuresToOpen {
		b.RecordFailure(now)
	}
	now = now.Add(maxPause)
	is.True(b.Allow(now)) // its outcome is never reported
	is.True(b.Allow(now.Add(trialTimeout)))
}
