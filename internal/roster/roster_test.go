package roster

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/revision"
)

const second = clock.Instant(time.Second)

func newRoster() *Roster { return New(slog.New(slog.NewTextHandler(io.Discard, nil))) }

func entry(id string) Entry {
	return Entry{ID: id, Service: "s", Address: "10.0.0.1:1", FailureDomain: "a", Region: "r", Slots: 1, Started: 1}
}

func usable(r *Roster) int { return len(r.View().Usable("s", "r")) }

func TestOlderRevisionNeverReplacesNewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRoster()
		type update struct {
			revision revision.Revision
			draining bool
			removed  bool
		}
		newest := update{}
		for i := range rapid.IntRange(1, 30).Draw(t, "updates") {
			u := update{
				revision: revision.Revision(rapid.Uint64Range(1, 12).Draw(t, "revision")),
				draining: rapid.Bool().Draw(t, "draining"), removed: rapid.Bool().Draw(t, "removed"),
			}
			now := clock.Instant(i) * second
			if u.removed {
				r.Remove("x", u.revision, 0, now)
			} else {
				e := entry("x")
				e.Draining = u.draining
				r.Put(e, u.revision, Event, now)
			}
			if u.revision > newest.revision {
				newest = u
			}
			s := r.View().Lookup("x")
			if newest.removed != (s == nil) || s != nil && s.Draining != newest.draining {
				t.Fatalf("after %+v the roster has %+v, newest is %+v", u, s, newest)
			}
		}
	})
}

// lapsed returns a roster whose entry is missing after a registry outage that
// ended at 10 s.
func lapsed() *Roster {
	r := newRoster()
	r.Put(entry("x"), 5, Event, 0)
	r.MarkRegistryUnavailable()
	r.MarkRegistryAvailable(10 * second)
	r.ApplyServerList(map[string]bool{}, 9, 10*second)
	return r
}

func TestEntryMissingAfterOutageMayReappear(t *testing.T) {
	is := is.New(t)
	r := lapsed()
	is.Equal(usable(r), 1) // kept for the grace time
	r.Expire(12 * second)
	is.Equal(usable(r), 1)
	r.Put(entry("x"), 11, Event, 12*second)
	r.Expire(20 * second)
	is.Equal(usable(r), 1) // it reappeared
}

func TestEntryMissingAfterOutageIsRemovedAfterGrace(t *testing.T) {
	is := is.New(t)
	r := lapsed()
	r.Expire(clock.Instant(12600 * time.Millisecond))
	is.Equal(usable(r), 0)
	is.True(!r.Put(entry("x"), 4, Event, 13*second)) // an older update from another VM
}

func TestRemovalWithoutOutageAppliesAtOnce(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	r.Put(entry("x"), 5, Event, 0)
	r.Remove("x", 6, 0, 10*second)
	is.Equal(usable(r), 0)
}

func TestDrainingServerIsRemovedAtOnceAfterOutage(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	e := entry("x")
	r.Put(e, 5, Event, 0)
	e.Draining = true
	r.Put(e, 6, Event, second)
	r.MarkRegistryUnavailable()
	r.MarkRegistryAvailable(2 * second)
	r.ApplyServerList(map[string]bool{}, 9, 2*second)
	is.True(r.View().Lookup("x") == nil)
}

func TestEvacuationExcludesFailureDomainAndRecordsItsEnd(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	r.Put(entry("x"), 5, Event, 0)
	s := r.View().Lookup("x")
	r.SetEvacuated("a", true, 7, Event, second)
	is.Equal(usable(r), 0)
	is.True(!r.View().IsUsable(s))
	is.True(!r.SetEvacuated("a", false, 6, Event, 2*second)) // an older update
	r.ApplyEvacuationList(map[string]bool{}, 8, 3*second)
	is.Equal(usable(r), 1)
	is.Equal(r.View().EvacuationEndedAt("a"), 3*second)
}

func TestPreviousIncarnationIsNotUsable(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	r.Put(entry("x"), 5, Event, 0)
	old := r.View().Lookup("x")
	e := entry("x")
	e.Started, e.ColdFor = 2, 3*time.Second
	r.Put(e, 6, Event, second)
	is.True(!r.View().IsUsable(old))
	is.Equal(r.View().Lookup("x").ColdUntil, 4*second)
}

// Guards against DRAIN: a VM that was cut off while a server left sent its older record
// of the server to VMs that had started since, which used the server until they listed
// again.
func TestRecordOlderThanTheLastListDoesNotRestoreServer(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	r.Put(entry("x"), 20, Listed, second)
	r.ApplyServerList(map[string]bool{"x": true}, 30, second)
	is.True(!r.Put(entry("y"), 10, Listed, 2*second)) // y had left before the list was read
	is.Equal(usable(r), 1)
	is.True(r.Put(entry("z"), 31, Listed, 2*second)) // z is newer than the list
	is.True(r.Put(entry("x"), 40, Listed, 2*second))
	is.Equal(usable(r), 2)
}

// Guards against a failure domain that gets no requests because of another VM's older
// record of an evacuation that has ended.
func TestRecordOlderThanTheLastListDoesNotRestoreEvacuation(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	r.Put(entry("x"), 5, Listed, second)
	r.ApplyEvacuationList(map[string]bool{}, 30, second)
	is.True(!r.SetEvacuated("a", true, 10, Listed, 2*second))
	is.Equal(usable(r), 1)
	is.True(r.SetEvacuated("a", true, 31, Listed, 2*second))
	is.Equal(usable(r), 0)
}
