package promises

import (
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/testbed"
)

// bookingRecords returns the number of keys a gateway stores, from its state
// dump.
func bookingRecords(t *testing.T, g *testbed.Gateway) int {
	t.Helper()
	resp, err := http.Get(g.OperatorURL() + "/debug/state")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var dump struct {
		Bookings struct{ Records int }
	}
	if err := json.NewDecoder(resp.Body).Decode(&dump); err != nil {
		t.Fatal(err)
	}
	return dump.Bookings.Records
}

// arrivalTimes returns when each key arrived at a replica.
func arrivalTimes(bed *testbed.Bed) map[string]time.Time {
	at := map[string]time.Time{}
	for _, s := range bed.Services {
		for _, seen := range s.ReceivedRequests() {
			at[seen.Key] = seen.At
		}
	}
	return at
}

// warmUp books until the owner's replica accepts bookings immediately: the
// gateway sends few requests to a replica that it has just discovered.
func warmUp(t *testing.T, b *bookingRecorder, owner *testbed.Gateway) {
	t.Helper()
	eventually(t, restartTimeout, "the replica accepts bookings", func() bool {
		return b.attempt(b.newKeys(t, owner, 1)[0], owner, attemptTimeout).ok()
	})
}

// setTeam assigns the bookings to the team. A team restricted to one region
// makes them queue in that region.
func setTeam(team string, keys []bookingAttempt) []bookingAttempt {
	for i := range keys {
		keys[i].team = team
	}
	return keys
}

// An owner that is paused while bookings wait for a replica, and that resumes
// after their deadline, sends none of them.
func TestPromiseResumedOwnerSendsNothingAfterDeadline(t *testing.T) {
	bed := startBed(t, useSmallReplicas)
	b := newBookingRecorder(t, bed)
	owner := bed.GatewaysOf("busan")[0]
	warmUp(t, b, owner)
	before := bookingRecords(t, owner)
	keys := setTeam("busan-rescue", b.newKeys(t, owner, 24))
	var wg sync.WaitGroup
	for _, k := range keys {
		wg.Go(func() { b.attempt(k, owner, attemptTimeout) })
	}
	eventually(t, defaultTimeout, "the owner has recorded all bookings", func() bool { return bookingRecords(t, owner) == before+len(keys) })
	owner.Pause()
	time.Sleep(attemptTimeout)
	resumed := time.Now()
	owner.Resume()
	wg.Wait()

	sent, arrived := 0, arrivalTimes(bed)
	for _, k := range keys {
		at, seen := arrived[k.key]
		if seen {
			sent++
		}
		if seen && at.After(resumed) {
			t.Errorf("%s was sent %v after the owner resumed", k.key, at.Sub(resumed))
		}
	}
	t.Logf("%d of %d bookings were sent before the pause", sent, len(keys))
	if sent == len(keys) {
		t.Error("no booking was queued, so the test is inconclusive")
	}
	b.attemptAll(keys, attemptTimeout)
	b.audit(t)
}
