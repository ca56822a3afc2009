package configwatch

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/bundle"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/published"
)

// TestStaleReplicasDoNotRollBackRevision makes responses of the service stale
// by a random number of revisions and delivers them out of order. It guards
// against accepting a lower revision, also where an offer is compared with the
// revision in force only before its parts are fetched.
func TestStaleReplicasDoNotRollBackRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 3, 1)
		rng, serviceRNG := rand.New(rand.NewPCG(5, 6)), rand.New(rand.NewPCG(6, 5))
		f.service.update(func() {
			f.service.staleness = func() int { return serviceRNG.IntN(4) }
			f.service.responseDelay = func() time.Duration { return time.Duration(serviceRNG.IntN(700)) * time.Millisecond }
		})
		var last uint64
		for n := range 40 {
			last = f.service.publish(testBundle(t, n+1))
			time.Sleep(time.Duration(rng.IntN(900)) * time.Millisecond)
		}
		f.awaitRevision(last, maxPropagation)
		f.checkMonotonic()
	})
}

// TestRestartWithStaleServiceFetchesPeerRevision restarts each member while
// the service returns an old revision. The old revision must never be in force,
// which requires asking peers before the service at the start.
func TestRestartWithStaleServiceFetchesPeerRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, 3, 2, 1)
		revision := f.service.publish(testBundle(t, 1))
		f.awaitRevision(revision, maxPropagation)
		f.service.update(func() { f.service.staleness = func() int { return 1 } })
		for _, m := range f.members {
			m.stop()
			time.Sleep(time.Second)
			f.update(func() { m.revisions = nil })
			f.start(m)
			time.Sleep(maxPropagation)
			f.update(func() { is.Equal(m.revisions, []uint64{revision}) })
		}
	})
}

// TestOlderRevisionFromPeerIsIgnored offers an old configuration to a member
// whose peer reports a high revision. A member must not count as confirmed while
// a higher revision than its own is reported.
func TestOlderRevisionFromPeerIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, 1, 2, 1)
		old, _ := f.members["vm-0-0"].watcher.Manifest()
		revision := f.service.publish(testBundle(t, 1))
		f.awaitRevision(revision, maxPropagation)
		w := f.members["vm-0-1"].watcher
		err := w.offer(context.Background(), old, nil)
		is.True(err != nil)
		w.RecordPeerRevision("vm-0-0", revision+7) // a revision that the peer doesn't have
		w.RecordPeerRevision("vm-0-0", old.Revision)
		time.Sleep(behindLimit + 2*peerCheckInterval)
		is.Equal(w.revision(), revision)
		f.checkMonotonic()
		is.True(f.members["vm-0-1"].publisher.Load().ConfigUnconfirmed) // a newer revision was reported
	})
}

// TestIncompleteSetIsAppliedWhenComplete publishes a manifest before its
// parts. The configuration must not be applied without them, and the manifest
// must not be fetched again while parts are missing.
func TestIncompleteSetIsAppliedWhenComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, 3, 3, 1)
		incomplete := testBundle(t, 1)
		before := f.service.callCount()
		reads := f.service.manifestCount()
		revision := f.service.publishManifest(incomplete.Manifest)
		time.Sleep(time.Minute)
		is.True(f.inForce(1)) // the set in force stays
		waiting := f.members["vm-0-0"].watcher.State().(State).Waiting
		is.True(waiting != nil)
		is.Equal(waiting.Revision, revision)
		calls := f.service.callCount() - before
		t.Logf("%d calls from 9 members in a minute with an incomplete set", calls)
		is.True(float64(calls) < maxServiceCallsPerSecond/plannedGateways*9*60) // the missing parts aren't requested all at once
		is.True(f.service.manifestCount()-reads <= len(f.members))              // each member fetches the manifest once
		f.service.addParts(incomplete)
		f.awaitRevision(revision, maxPropagation)

		later := testBundle(t, 2) // never completed, but replaced by the next revision
		f.service.publishManifest(later.Manifest)
		time.Sleep(3 * time.Second)
		f.awaitRevision(f.service.publish(testBundle(t, 3)), maxPropagation)
		f.checkMonotonic()
	})
}

// TestCorruptPartIsNotApplied serves parts that don't match their digests, and
// then the intact ones. The digests must be verified.
func TestCorruptPartIsNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, 1, 2, 1)
		intact := testBundle(t, 1)
		corrupt := &bundle.Bundle{Manifest: intact.Manifest, Parts: map[string][]byte{}}
		for digest, data := range intact.Parts {
			corrupt.Parts[digest] = data[:len(data)-1]
		}
		revision := f.service.publish(corrupt)
		time.Sleep(10 * time.Second)
		is.True(f.inForce(1))
		f.service.addParts(intact)
		f.awaitRevision(revision, maxPropagation)
	})
}

// TestInvalidSetIsReportedAndNotApplied publishes a set that fails validation
// and then a valid one. All members must report the first as rejected and apply
// only the second.
func TestInvalidSetIsReportedAndNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, 3, 3, 1)
		invalid := f.service.publish(invalidBundle(t))
		time.Sleep(10 * time.Second)
		is.True(f.inForce(1))
		for _, m := range f.members {
			rejected := m.watcher.State().(State).Rejected
			is.True(rejected != nil) // reported by all members, whether they watch or not
			is.Equal(rejected.Revision, invalid)
		}
		f.awaitRevision(f.service.publish(testBundle(t, 1)), maxPropagation)
		is.True(f.members["vm-0-0"].watcher.State().(State).Rejected == nil)
		f.checkMonotonic()
	})
}

// TestConcurrentPublications publishes valid, invalid and incomplete sets in quick
// succession while responses arrive out of order. No lower revision may be
// accepted.
func TestConcurrentPublications(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 3, 1)
		rng, serviceRNG := rand.New(rand.NewPCG(7, 8)), rand.New(rand.NewPCG(8, 7))
		f.service.update(func() {
			f.service.responseDelay = func() time.Duration { return time.Duration(serviceRNG.IntN(500)) * time.Millisecond }
		})
		for n := range 60 {
			b := testBundle(t, n+1)
			switch rng.IntN(4) {
			case 0:
				f.service.publish(invalidBundle(t))
			case 1:
				f.service.publishManifest(b.Manifest)
			default:
				f.service.publish(b)
			}
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		}
		f.awaitRevision(f.service.publish(testBundle(t, 100)), maxPropagation)
		f.checkMonotonic()
	})
}

// TestApplyIgnoresLowerRevision calls apply directly with a complete set of a
// lower revision, as after a slow fetch. The check must be in apply itself, since
// the revision in force can change during the fetch.
func TestApplyIgnoresLowerRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, 1, 1, 1)
		w := f.members["vm-0-0"].watcher
		old, parts := w.current.Load().value, w.current.Load().parts
		revision := f.service.publish(testBundle(t, 1))
		f.awaitRevision(revision, maxPropagation)
		is.NoErr(w.apply(old, parts)) // lower revision
		is.Equal(w.revision(), revision)
		same := published.Value{Revision: revision, Data: old.Data}
		is.NoErr(w.apply(same, parts))
		is.Equal(w.publisherRevision(), revision)
	})
}

func (w *Watcher) publisherRevision() uint64 { return w.Publisher.Load().Config.Revision }

// TestRulesOfInvalidSetDoNotApply checks that a residency rule of a rejected set
// isn't in the snapshot.
func TestRulesOfInvalidSetDoNotApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, 1, 1, 1)
		set := objects.NewSet()
		set.Add(&objects.Region{Name: "r"})
		set.Add(&objects.Team{Name: "team-0", Spec: objects.TeamSpec{Home: "r", Residency: "gone"}})
		f.service.publish(buildBundle(t, set))
		time.Sleep(maxPropagation)
		is.True(f.members["vm-0-0"].publisher.Load().Config.Permits("team-0", "r"))
	})
}
