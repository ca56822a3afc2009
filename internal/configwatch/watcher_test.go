package configwatch

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// The tests run in synctest bubbles: time is fake, and a bubble ends only when
// all goroutines that were started in it have ended.

// startFleet starts a fleet with revision 1 in force on all.
func startFleet(t *testing.T, regions, perRegion, watchers int) *fakeFleet {
	f := newFakeFleet(t, regions, perRegion, watchers)
	f.service.publish(testBundle(t, 0))
	f.startAll()
	f.await(1, 10*time.Second)
	time.Sleep(5 * time.Second)
	return f
}

// TestChangeIsInForceOnAllInTime publishes at random moments to a fleet in
// which one member of five watches.
func TestChangeIsInForceOnAllInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 5, 1)
		rng := rand.New(rand.NewPCG(3, 4))
		var worst time.Duration
		for n := range 50 {
			time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Second))))
			worst = max(worst, f.await(f.service.publish(testBundle(t, n+1)), accepted))
		}
		t.Logf("worst of 50 publications: %v", worst)
		f.checkMonotone()
	})
}
