package configwatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// maxServiceCallsPerSecond is the brief's rate of calls across all readers.
const maxServiceCallsPerSecond = 2000.0

// plannedGateways is the number of nodes that the letter plans for.
const plannedGateways = 360

// TestFallbackReadsService takes the service from all watching members of a
// region and silences them, so that nobody tells the others. It fails when a
// member that hears no confirmation doesn't read for itself.
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

// TestStaleConfirmationIsNotRenewed has watching members that answer peers
// but have lost the service: their age grows, so the others read. It fails when
// a peer's confirmation counts as fresh whatever its age.
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

// TestServiceOutageOfOneHour keeps the set in force, bounds the calls, lets the
// confirmation age, and applies the next change in time. It fails when failed
// calls are repeated at once, and when confirmations don't age.
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
			is.True(!s.ConfigFresh(m.watcher.Now(), 59*time.Minute)) // nobody could confirm
		}
		rate := float64(calls) / time.Hour.Seconds() / 6
		t.Logf("%.2f calls a second and member in the outage", rate)
		is.True(rate*plannedGateways < maxServiceCallsPerSecond)
		f.service.update(func() { f.service.down = false })
		f.awaitRevision(f.service.publish(testBundle(t, 1)), maxPropagation)
	})
}

// TestIsolatedRegionKeepsConfiguration cuts a region from service and
// peers, restarts one of its members, and heals it. It fails when nothing is
// fetched from peers.
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
			is.Equal(m.watcher.revision(), uint64(1)) // the restarted one learned from its neighbour
			is.True(!m.publisher.Load().ConfigFresh(m.watcher.Now(), time.Minute))
		}
		f.update(func() { clear(f.cut) }) // only the peers come back
		f.awaitRevision(revision, maxPropagation)
		f.checkMonotonic()
	})
}

// TestServiceCallRateStaysBelowLimit counts the calls of a fleet with one watching
// member in five: while nothing changes, while 14,000 changes a day come, and
// while the newest revision is invalid or torn, so that nobody can confirm. It
// fails when members that don't watch read as often as they can.
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
			t.Logf("%s: %.3f calls a second and member", name, rate)
			if rate*plannedGateways > maxServiceCallsPerSecond/4 {
				t.Errorf("%s: %.0f calls a second at %d members", name, rate*plannedGateways, plannedGateways)
			}
		}
		measure("quiet", func() {})
		measure("14,000 changes a day", func() {
			const interval = 24 * time.Hour / 14000
			for n := range int(span / interval) {
				f.service.publish(testBundle(t, n+1))
				time.Sleep(interval)
			}
		})
		measure("invalid", func() { f.service.publish(invalidBundle(t)) })
		measure("torn", func() { f.service.publishManifest(testBundle(t, 50).Manifest) })
		f.awaitRevision(f.service.publish(testBundle(t, 51)), maxPropagation)
	})
}

// TestUnconfirmedUntilPeerResponds starts a member that hears nobody. It fails
// when the service alone confirms after a start.
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
		is.Equal(m.watcher.revision(), uint64(1))     // it serves
		is.True(m.publisher.Load().ConfigUnconfirmed) // and says that nobody confirmed
		f.update(func() { clear(f.cut) })
		time.Sleep(5 * time.Second)
		is.True(!m.publisher.Load().ConfigUnconfirmed)
	})
}

// TestRegionRestartWithStaleService cuts a region off and restarts
// both its members, so that nobody there remembers. They serve what the service
// shows and don't confirm each other. It fails when a peer of the own region is
// enough to trust the service after a start.
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

// TestFencingNumberBoundsNewestRevision keeps a member unconfirmed below a fencing
// number that an engine has accepted. It fails when the fence isn't a floor.
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
		is.Equal(m.publisher.Load().ConfigConfirmedAt, at) // revision 1 can't be the newest
	})
}
