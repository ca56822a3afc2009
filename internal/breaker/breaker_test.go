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
		is.True(b.Claim(now))
		b.Failure(now)
	}
	is.True(!b.Claim(now)) // open
	now = now.Add(firstPause)
	is.True(b.Claim(now))  // the trial
	is.True(!b.Claim(now)) // only one
	b.Failure(now)
	is.True(!b.Ready(now.Add(firstPause))) // the pause has doubled
	is.True(b.Ready(now.Add(2 * firstPause)))
	is.True(b.Claim(now.Add(2 * firstPause)))
	b.Success()
	is.True(b.Claim(now))
	is.True(b.Claim(now)) // closed again: no bound on requests
}

func TestALostTrialDoesNotCloseTheWayForGood(t *testing.T) {
	is := is.New(t)
	var b Breaker
	now := clock.Instant(time.Hour)
	for range failuresToOpen {
		b.Failure(now)
	}
	now = now.Add(maxPause)
	is.True(b.Claim(now)) // its outcome is never reported
	is.True(b.Claim(now.Add(trialTimeout)))
}
