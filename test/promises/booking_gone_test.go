package promises

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// When callers disconnect, all of their bookings are resolved: one that waited
// for a replica is closed as not run, and one that was already sent is
// completed and its response cached.
func TestPromiseBookingOfDisconnectedCallerIsResolved(t *testing.T) {
	bed := startBed(t, useSmallReplicas)
	b := newBookingRecorder(t, bed)
	owner := bed.GatewaysOf("busan")[0]
	warmUp(t, b, owner)
	keys := setTeam("busan-rescue", b.newKeys(t, owner, 24))
	disconnecting := &http.Client{Transport: b.client.Transport, Timeout: bookingDuration / 2}
	var wg sync.WaitGroup
	for _, k := range keys {
		wg.Go(func() {
			send(disconnecting, owner.CallerAddress(), call{
				method: http.MethodPost, path: bookingPath, team: k.team, key: k.key, body: k.body,
			})
		})
	}
	wg.Wait()

	outcomes := map[verdict.Verdict]int{}
	for _, k := range keys {
		eventually(t, 5*time.Second, "the outcome of "+k.key, func() bool {
			r := b.queryOutcome(k, owner, "")
			if r.problem.Code == verdict.CodeKeyUnknown {
				// The caller disconnected before the gateway read its attempt.
				r = b.attempt(k, owner, attemptTimeout)
			}
			v := verdictOf(r)
			if v != verdict.MayHaveRun {
				outcomes[v]++
			}
			return v != verdict.MayHaveRun
		})
	}
	t.Logf("%d ran, %d were closed as not run", outcomes[verdict.Ran], outcomes[verdict.NotRun])
	if outcomes[verdict.Ran] == 0 || outcomes[verdict.NotRun] == 0 {
		t.Error("one of the two cases did not occur, so the test is inconclusive")
	}
	b.audit(t)
}
