package health

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/objects"
)

func replicas(n int) *objects.Set {
	set := objects.NewSet()
	set.FailureDomains["jeju-a"] = &objects.FailureDomain{Name: "jeju-a", Spec: objects.FailureDomainSpec{Region: "jeju"}}
	for i := range n {
		name := fmt.Sprint("engine-", i)
		set.BackendServers[name] = &objects.BackendServer{Name: name, Spec: objects.BackendServerSpec{FailureDomain: "jeju-a", Model: "m"}}
	}
	set.Index()
	return set
}

func notLeaving(string) bool { return false }

var errFailed = errors.New("connection reset")

func TestEjectionLeavesAtLeastHalf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "replicas")
		set := replicas(n)
		tracker := NewTracker("jeju")
		now := clock.Instant(time.Hour)
		tracker.Sync(set, now)
		for range rapid.IntRange(1, 100).Draw(t, "outcomes") {
			o := Observation{Backend: fmt.Sprint("engine-", rapid.IntRange(0, n-1).Draw(t, "replica"))}
			if rapid.IntRange(0, 9).Draw(t, "failed") > 0 {
				o.Err = errFailed
			}
			tracker.Observe(o, set, now)
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			healthy := 0
			for _, s := range tracker.Status(notLeaving, now) {
				if s.Healthy {
					healthy++
				}
			}
			if 2*healthy < n {
				t.Fatalf("only %d of %d backend servers are healthy", healthy, n)
			}
		}
	})
}

func TestConsecutiveFailuresEjectAndRecoveryResetsUsableSince(t *testing.T) {
	is := is.New(t)
	set, tracker, now := replicas(3), NewTracker("jeju"), clock.Instant(time.Hour)
	tracker.Sync(set, now)
	is.Equal(tracker.Status(notLeaving, now)["engine-0"].UsableSince, clock.Instant(0)) // warm: zero means no slow start
	for range failuresToEject {
		tracker.Observe(Observation{Backend: "engine-0", Err: errFailed}, set, now)
	}
	is.True(!tracker.Status(notLeaving, now)["engine-0"].Healthy)
	now = now.Add(baseEjection + time.Millisecond)
	is.Equal(tracker.Status(notLeaving, now)["engine-0"].UsableSince, now)
	for range failuresToEject {
		tracker.Observe(Observation{Backend: "engine-0", Err: errFailed}, set, now)
	}
	now = now.Add(baseEjection + time.Millisecond)
	is.True(!tracker.Status(notLeaving, now)["engine-0"].Healthy) // the second ejection is longer
}

func TestLeavingIsSetByReportOrMembership(t *testing.T) {
	is := is.New(t)
	set, tracker, now := replicas(2), NewTracker("jeju"), clock.Instant(time.Hour)
	tracker.Sync(set, now)
	leaving := func(string) bool { return true }
	is.True(tracker.Status(leaving, now)["engine-0"].Leaving)
	tracker.SetState("engine-0", Report{Leaving: true}.State())
	is.True(tracker.Status(notLeaving, now)["engine-0"].Leaving)
	is.True(!tracker.Status(notLeaving, now)["engine-1"].Leaving)
}

func TestEventGapDropsTrackedPrefixes(t *testing.T) {
	is := is.New(t)
	var p PrefixSet
	is.True(!p.Apply([]Event{{1, EventStored, "a"}, {2, EventStored, "b"}, {3, EventEvicted, "a"}}))
	is.Equal(p.Sorted(), []uint64{0xb})
	is.True(p.Apply([]Event{{5, EventStored, "c"}})) // event 4 is missing; it may have evicted b
	is.Equal(p.Sorted(), []uint64{0xc})
	is.True(p.Apply([]Event{{1, EventStored, "d"}})) // the engine has restarted
	is.Equal(p.Sorted(), []uint64{0xd})
	for i := range uint64(2 * MaxPrefixes) {
		p.Apply([]Event{{p.LastSeq + 1, EventStored, fmt.Sprintf("%x", 100+i)}})
	}
	is.Equal(len(p.Sorted()), MaxPrefixes)
}
