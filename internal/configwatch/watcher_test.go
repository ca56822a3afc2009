package configwatch

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// The tests run in synctest bubbles: time is fake, and a bubble ends only after
// all goroutines started in it have exited.

// startFleet starts a fleet and waits until revision 1 is in force on all members.
func startFleet(t *testing.T, regions, perRegion, watchers int) *fakeFleet {
	f := newFakeFleet(t, regions, perRegion, watchers)
	f.service.publish(testBundle(t, 0))
	f.startAll()
	f.awaitRevision(1, 10*time.Second)
	time.Sleep(5 * time.Second)
	return f
}

// TestChangePropagatesInTime publishes at random times to a fleet in which one
// member in five watches.
func TestChangePropagatesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 5, 1)
		rng := rand.New(rand.NewPCG(3, 4))
		var worst time.Duration
		for n := range 50 {
			time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Second))))
			worst = max(worst, f.awaitRevision(f.service.publish(testBundle(t, n+1)), maxPropagation))
		}
		t.Logf("worst of 50 publications: %v", worst)
		f.checkMonotonic()
	})
}

// TestChangePropagatesInTimeOverSparseLinks has 20 members in a region, the
// planned size, of which 2 watch. Each sends heartbeats to 3 peers in its region;
// only one member of each region sends heartbeats to the other region.
func TestChangePropagatesInTimeOverSparseLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perRegion = 20
		f := newFakeFleet(t, 2, perRegion, 2)
		f.observeInterval = 100 * time.Millisecond
		f.delivers = func(from, to *member) bool {
			step := (to.number - from.number + perRegion) % perRegion
			if from.region != to.region {
				return from.number == 0 && to.number == perRegion/2
			}
			return step == 1 || step == perRegion-1 || step == perRegion/2
		}
		f.service.publish(testBundle(t, 0))
		f.startAll()
		f.awaitRevision(1, 10*time.Second)
		rng := rand.New(rand.NewPCG(9, 10))
		var worst time.Duration
		before, start := f.service.callCount(), time.Now()
		for n := range 10 {
			time.Sleep(time.Duration(rng.Int64N(int64(5 * time.Second))))
			worst = max(worst, f.awaitRevision(f.service.publish(testBundle(t, n+1)), maxPropagation))
		}
		rate := float64(f.service.callCount()-before) / time.Since(start).Seconds() / float64(len(f.members))
		t.Logf("worst of 10 publications: %v; %.3f calls per second and member", worst, rate)
		if rate*plannedGateways > maxServiceCallsPerSecond/4 {
			t.Errorf("%.0f calls per second at %d gateways exceed a quarter of the limit", rate*plannedGateways, plannedGateways)
		}
		f.checkMonotonic()
	})
}
