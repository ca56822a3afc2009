package configwatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// maxServiceCallsPerSecond is the maximum rate of calls to the service, over
// all readers.
const maxServiceCallsPerSecond = 2000.0

// plannedGateways is the planned number of gateways.
const plannedGateways = 360

// TestFallbackReadsService cuts all watching members off from the service and
// stops all heartbeats and confirmations. The other members must then read the
// service themselves.
func TestFallbackReadsService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 2, 4, 1)
		f.update(func() {
			for _, m := range f.members {
				m.noService = m.watches
				m.noHeartbeats = true
			}
			f.confirms = false
		})
		time.Sleep(10 * time.Second)
		revision := f.service.publish(testBundle(t, 1))
		start := time.Now()
		for _, m := range f.members {
			for !m.watches && m.watcher.revision() != revision {
				time.Sleep(10 * time.Millisecond)
				if time.Since(start) > maxPropagation {
					t.Fatalf("%s: %+v", m.vm, m.watcher.State())
				}
			}
		}
		t.Logf("in force on members that don't watch after %v", time.Since(start))
	})
}

// TestStaleConfirmationIsNotRenewed cuts the watching members off from the
// service while peers can still reach them. The age of their confirmations grows,
// so the other members must read the service instead of treating each response of
// a peer as a new confirmation.
func TestStaleConfirmationIsNotRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 2, 4, 1)
		f.update(func() {
			for _, m := range f.members {
				m.noService = m.watches
			}
		})
		time.Sleep(30 * time.Second)
		f.awaitRevision(f.service.publish(testBundle(t, 1)), maxPropagation)
	})
}

// TestServiceOutageOfOneHour makes the service unavailable for one hour. The
// configuration stays in force, the confirmation ages, failed calls are retried
// at a bounded rate, and the next change is applied in time.
func TestServiceOutageOfOneHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeFleet(t, 3, 2, 1)
		f.observeInterval = 500 * time.Millisecond
		f.service.publish(testBundle(t, 0))
		f.startAll()
		f.awaitRevision(1, 10*time.Second)
		time.Sleep(5 * time.Second)
		f.service.update(func() { f.service.down = true })
		time.Sleep(time.Second)
		before := f.service.callCount()
		time.Sleep(time.Hour)
		calls := f.service.callCount() - before
		is.True(f.inForce(1))
		for _, m := range f.members {
			s := m.publisher.Load()
			is.True(s.ConfigFresh(m.watcher.Now(), 2*time.Hour))
			is.True(!s.ConfigFresh(m.watcher.Now(), 59*time.Minute)) // not confirmed during the outage
		}
		rate := float64(calls) / time.Hour.Seconds() / 6
		t.Logf("%.2f calls per second and member during the outage", rate)
		is.True(rate*plannedGateways < maxServiceCallsPerSecond)
		f.service.update(func() { f.service.down = false })
		f.awaitRevision(f.service.publish(testBundle(t, 1)), maxPropagation)
	})
}

// TestIsolatedRegionKeepsConfiguration cuts a region off from the service and
// the other regions, and restarts one of its members. The member must fetch the
// configuration from its peer; after only the connections to other regions are
// restored, both must fetch the newest one from there.
func TestIsolatedRegionKeepsConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, 3, 2, 1)
		a, b := f.members["vm-0-0"], f.members["vm-0-1"]
		f.update(func() {
			a.noService, b.noService = true, true
			f.cut[[2]string{"region-0", "region-1"}] = true
			f.cut[[2]string{"region-0", "region-2"}] = true
		})
		time.Sleep(5 * time.Second)
		revision := f.service.publish(testBundle(t, 1))
		b.stop()
		time.Sleep(time.Second)
		f.start(b)
		time.Sleep(2 * time.Minute)
		for _, m := range []*member{a, b} {
			is.Equal(m.watcher.revision(), uint64(1)) // the restarted member fetched it from its peer
			is.True(!m.publisher.Load().ConfigFresh(m.watcher.Now(), time.Minute))
		}
		f.update(func() { clear(f.cut) }) // the service stays unreachable
		f.awaitRevision(revision, maxPropagation)
		f.checkMonotonic()
	})
}

// TestServiceCallRateStaysBelowLimit measures the calls of a fleet in which one
// member in five watches: without changes, at 14,000 changes per day, and while
// the newest revision is invalid or incomplete, so that no member is confirmed.
// Members that don't watch must not read at their maximum rate.
func TestServiceCallRateStaysBelowLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const members = 20
		const span = 40 * time.Second
		f := startFleet(t, 2, members/2, 2)
		measure := func(name string, act func()) {
			before := f.service.callCount()
			start := time.Now()
			act()
			time.Sleep(span - time.Since(start))
			rate := float64(f.service.callCount()-before) / span.Seconds() / members
			t.Logf("%s: %.3f calls per second and member", name, rate)
			if rate*plannedGateways > maxServiceCallsPerSecond/4 {
				t.Errorf("%s: %.0f calls per second at %d gateways exceed a quarter of the limit", name, rate*plannedGateways, plannedGateways)
			}
		}
		measure("no changes", func() {})
		measure("14,000 changes per day", func() {
			const interval = 24 * time.Hour / 14000
			for n := range int(span / interval) {
				f.service.publish(testBundle(t, n+1))
				time.Sleep(interval)
			}
		})
		measure("invalid set", func() { f.service.publish(invalidBundle(t)) })
		measure("incomplete set", func() { f.service.publishManifest(testBundle(t, 50).Manifest) })
		f.awaitRevision(f.service.publish(testBundle(t, 51)), maxPropagation)
	})
}

// TestUnconfirmedUntilPeerResponds restarts a member without a connection to
// its peers. The service alone must not confirm a revision after a start.
func TestUnconfirmedUntilPeerResponds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, 2, 1, 1)
		m := f.members["vm-0-0"]
		m.stop()
		f.update(func() { f.cut[[2]string{"region-0", "region-1"}] = true })
		time.Sleep(5 * time.Second)
		f.start(m)
		<-m.watcher.Ready()
		time.Sleep(time.Minute)
		is.Equal(m.watcher.revision(), uint64(1))     // the configuration is in force
		is.True(m.publisher.Load().ConfigUnconfirmed) // but unconfirmed
		f.update(func() { clear(f.cut) })
		time.Sleep(5 * time.Second)
		is.True(!m.publisher.Load().ConfigUnconfirmed)
	})
}

// TestRegionRestartWithStaleService cuts a region off from its peers and restarts
// both of its members while the service returns an old revision. They put the old
// revision in force but must not confirm it for each other: after a start, a peer
// of the own region isn't sufficient to trust the service.
func TestRegionRestartWithStaleService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, 2, 2, 1)
		revision := f.service.publish(testBundle(t, 1))
		f.awaitRevision(revision, maxPropagation)
		f.service.update(func() { f.service.staleness = func() int { return 1 } })
		restarted := []*member{f.members["vm-0-0"], f.members["vm-0-1"]}
		f.update(func() { f.cut[[2]string{"region-0", "region-1"}] = true })
		for _, m := range restarted {
			m.stop()
		}
		time.Sleep(5 * time.Second)
		f.update(func() { restarted[0].revisions, restarted[1].revisions = nil, nil })
		for _, m := range restarted {
			f.start(m)
		}
		time.Sleep(time.Minute)
		for _, m := range restarted {
			is.Equal(m.watcher.revision(), revision-1)
			is.True(m.publisher.Load().ConfigUnconfirmed)
		}
		f.update(func() { clear(f.cut) })
		f.awaitRevision(revision, maxPropagation)
		f.service.update(func() { f.service.staleness = func() int { return 0 } })
		time.Sleep(maxPropagation)
		for _, m := range restarted {
			is.True(!m.publisher.Load().ConfigUnconfirmed)
		}
	})
}

// TestFencingNumberBoundsNewestRevision checks that a revision isn't confirmed
// while an engine has accepted a higher fencing number, which is a revision.
func TestFencingNumberBoundsNewestRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, 2, 2, 1)
		m := f.members["vm-0-0"]
		m.publisher.Update(func(next *snapshot.Snapshot) {
			next.Backends = map[string]*snapshot.BackendStatus{"e": {Name: "e", Fence: 5}}
		})
		time.Sleep(time.Second)
		at := m.publisher.Load().ConfigConfirmedAt
		time.Sleep(time.Minute)
		is.Equal(m.publisher.Load().ConfigConfirmedAt, at) // a revision of at least 5 exists
	})
}
