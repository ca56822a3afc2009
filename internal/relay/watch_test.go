package relay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/retry"
)

// Guards against issue 45 (LOST): a check of a request that ran while its watch was stopped
// set the timer again, so that the request and its body were kept, and a retry was taken
// from the budget for it.
func TestCheckDuringTheStopEndsWithTheWatch(t *testing.T) {
	is := is.New(t)
	x := hopTransaction(3)
	x.budget = retry.NewWindow(x.RetryWindow, 0)
	_, w := x.watchServer(t.Context(), &balance.Plan{Load: &balance.Load{}}, clock.Boot())
	is.True(w.timer.Load() != nil)
	w.stop()
	w.check()
	is.True(!w.timer.Load().Stop()) // it was not set again
}
