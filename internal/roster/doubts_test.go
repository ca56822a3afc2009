package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/revision"
)

// at returns a revision in an era.
func at(era, number uint64) revision.Revision {
	r, err := revision.New(era, number)
	if err != nil {
		panic(err)
	}
	return r
}

// list applies a list of entries as a VM does that reads them at the revision.
func list(r *Roster, rev revision.Revision, now clock.Instant, entries ...Entry) {
	ids := map[string]bool{}
	for _, e := range entries {
		ids[e.ID] = true
		r.Put(e, rev, Listed, now)
	}
	r.ApplyServerList(ids, rev, now)
}

func draining(id string) Entry {
	e := entry(id)
	e.Draining = true
	return e
}

func incarnation(id string, started int64) Entry {
	e := entry(id)
	e.Started = started
	return e
}

// TestRestoredCopyIsWeighedAgainstKnowledgeOfTheEraBefore lists a copy in a new
// era to a roster that knows something newer, and checks whether the server gets
// requests: at once, and once the copy has been listed for the grace time.
func TestRestoredCopyIsWeighedAgainstKnowledgeOfTheEraBefore(t *testing.T) {
	type known func(r *Roster)
	ready := func(r *Roster) { r.Put(entry("x"), at(1, 50), Event, second) }
	drains := func(r *Roster) { ready(r); r.Put(draining("x"), at(1, 60), Event, 2*second) }
	removed := func(r *Roster) { ready(r); r.Remove("x", at(1, 60), 0, 2*second) }
	restarted := func(r *Roster) { ready(r); r.Put(incarnation("x", 2), at(1, 60), Event, 2*second) }
	for name, c := range map[string]struct {
		known   known
		copy    []Entry
		atOnce  int
		settled int
	}{
		"ready, listed":                      {ready, []Entry{entry("x")}, 1, 1},
		"ready, missing":                     {ready, nil, 1, 0},
		"ready, listed as draining":          {ready, []Entry{draining("x")}, 0, 0},
		"draining, listed as ready":          {drains, []Entry{entry("x")}, 0, 0},
		"draining, missing":                  {drains, nil, 0, 0},
		"removed, listed":                    {removed, []Entry{entry("x")}, 0, 1},
		"removed, missing":                   {removed, nil, 0, 0},
		"removed, a new incarnation listed":  {removed, []Entry{incarnation("x", 2)}, 1, 1},
		"restarted, old incarnation listed":  {restarted, []Entry{entry("x")}, 1, 1},
		"draining, a new incarnation listed": {drains, []Entry{incarnation("x", 2)}, 1, 1},
		"unknown, listed":                    {func(*Roster) {}, []Entry{entry("x")}, 1, 1},
		"announced its leave, listed as ready": {func(r *Roster) {
			ready(r)
			r.MarkLeaving(ServerKey{"x", 1}, 2*second)
		}, []Entry{entry("x")}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRoster()
			c.known(r)
			list(r, at(2, 20), 10*second, c.copy...)
			r.Expire(10 * second)
			is.Equal(usable(r), c.atOnce)
			// A second list of the same copy changes nothing.
			list(r, at(2, 21), 11*second, c.copy...)
			r.Expire(11 * second)
			is.Equal(usable(r), c.atOnce)
			r.Expire(clock.Instant(10*time.Second + restoreGrace))
			is.Equal(usable(r), c.settled)
		})
	}
}

func TestChangeAfterRestoreEndsTheDoubt(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	r.Put(entry("x"), at(1, 50), Event, second)
	r.Remove("x", at(1, 60), 0, 2*second)
	list(r, at(2, 20), 10*second, entry("x"))
	is.Equal(usable(r), 0)
	is.True(r.Put(entry("x"), at(2, 21), Event, 11*second)) // the server is alive and wrote its entry
	is.Equal(usable(r), 1)
	is.True(r.Remove("x", at(2, 22), 0, 12*second))
	r.Expire(20 * second)
	is.Equal(usable(r), 0)
}

func TestEntryWrittenAgainAfterRestoreIsKept(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	r.Put(entry("x"), at(1, 50), Event, second)
	list(r, at(2, 20), 10*second) // the copy is older than the entry
	is.Equal(usable(r), 1)
	is.True(r.Put(entry("x"), at(2, 21), Event, 12*second))
	r.Expire(30 * second)
	is.Equal(usable(r), 1)
}

// TestSecondRestoreStartsNewDoubt covers two restores in a row.
func TestSecondRestoreStartsNewDoubt(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	r.Put(entry("x"), at(1, 50), Event, second)
	r.Remove("x", at(1, 60), 0, 2*second)
	list(r, at(2, 20), 10*second, entry("x"))
	list(r, at(3, 10), 14*second, entry("x"))
	r.Expire(16 * second)
	is.Equal(usable(r), 0) // 6 s after the first restore, 2 s after the second
	r.Expire(clock.Instant(14*time.Second + restoreGrace))
	is.Equal(usable(r), 1)
	is.True(!r.Put(entry("x"), at(2, 99), Event, 20*second)) // a late update of the era before
}

func TestEvacuationIsWeighedAgainstKnowledgeOfTheEraBefore(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	r.Put(entry("x"), at(1, 50), Event, second)
	r.SetEvacuated("a", true, at(1, 51), Event, second)
	r.ApplyEvacuationList(map[string]bool{}, at(2, 20), 10*second) // the copy is older
	is.Equal(usable(r), 0)
	r.Expire(clock.Instant(10*time.Second + restoreGrace))
	is.Equal(usable(r), 1) // nobody wrote it again
	r.SetEvacuated("a", true, at(2, 20), Listed, 16*second)
	is.Equal(usable(r), 1) // the end that is known is newer than a copy of the same revision
	r.SetEvacuated("a", true, at(3, 5), Listed, 20*second)
	is.Equal(usable(r), 1) // a copy from before the end
	r.SetEvacuated("a", true, at(3, 6), Event, 21*second)
	is.Equal(usable(r), 0) // an order after the restore
}

// TestStartingVMLearnsFromOthersWhatTheCopyLacks covers a VM that starts after a
// restore and reads only the copy, while other VMs know that servers have left.
func TestStartingVMLearnsFromOthersWhatTheCopyLacks(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	list(r, at(2, 20), 10*second, entry("x"), entry("y"), entry("z"))
	is.Equal(usable(r), 3)
	r.Remove("x", at(1, 60), 1, 11*second)
	r.Put(draining("y"), at(1, 61), Listed, 11*second)
	r.Remove("z", at(1, 62), 7, 11*second) // another incarnation
	is.Equal(usable(r), 1)
	is.True(r.View().Lookup("z") != nil)
	r.Expire(clock.Instant(11*time.Second + restoreGrace))
	is.Equal(usable(r), 2) // x is still listed after the grace time
	is.True(r.View().Lookup("y").Draining)
}

// TestLateRecordDoesNotReviveServerRemovedInOutage covers a server that is removed
// while the registry can't be read, when another VM's older record arrives late.
func TestLateRecordDoesNotReviveServerRemovedInOutage(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	r.Put(entry("x"), 5, Event, 0)
	r.MarkRegistryUnavailable()
	r.Remove("x", 8, 1, 10*second) // another VM's record
	r.MarkRegistryAvailable(11 * second)
	r.Put(entry("x"), 5, Listed, 12*second) // a third VM's record
	r.Expire(15 * second)
	is.Equal(usable(r), 0)
}

func TestServerThatAnnouncedItsLeaveIsNotUsableUntilItRestarts(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	r.Put(entry("x"), 5, Event, 0)
	s := r.View().Lookup("x")
	is.True(r.MarkLeaving(s.Key(), second))
	is.True(!r.MarkLeaving(s.Key(), 2*second))
	is.Equal(usable(r), 0)
	is.True(!r.View().IsUsable(s))
	r.Put(entry("x"), 6, Event, 2*second) // the registry still says that it is ready
	is.Equal(usable(r), 0)
	r.Expire(clock.Instant(2 * leavingMemory))
	is.Equal(usable(r), 0)
	r.Put(incarnation("x", 2), 7, Event, 3*second)
	is.Equal(usable(r), 1)
	r.Expire(clock.Instant(2 * leavingMemory))
	is.Equal(len(r.leaving), 0)
}

// TestAppliedRevisionNeverDecreasesAcrossEras draws updates of several eras from both
// sources and checks that the revision of the entry never decreases.
func TestAppliedRevisionNeverDecreasesAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRoster()
		last := revision.Revision(0)
		for i := range rapid.IntRange(1, 40).Draw(t, "updates") {
			now := clock.Instant(i) * second
			rev := at(rapid.Uint64Range(0, 3).Draw(t, "era"), rapid.Uint64Range(1, 9).Draw(t, "number"))
			source := rapid.SampledFrom([]Source{Event, Listed}).Draw(t, "source")
			e := incarnation("x", rapid.Int64Range(1, 3).Draw(t, "started"))
			e.Draining = rapid.Bool().Draw(t, "draining")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				if r.Put(e, rev, source, now) && rev <= last {
					t.Fatalf("%v applied after %v", rev, last)
				}
			case 2:
				if r.Remove("x", rev, e.Started, now) && rev <= last {
					t.Fatalf("removal at %v applied after %v", rev, last)
				}
			case 3:
				r.Expire(now)
			}
			if s := r.View().Lookup("x"); s != nil {
				if s.Revision < last {
					t.Fatalf("revision went back from %v to %v", last, s.Revision)
				}
				last = s.Revision
			}
		}
	})
}
