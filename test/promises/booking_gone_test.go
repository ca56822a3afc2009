package promises

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// A caller that goes away leaves no booking open: one that waited for a
// replica is closed, and one that was sent is finished and its answer kept.
func TestPromiseBookingOfGoneCallerIsSettled(t *testing.T) {
	bed := startBed(t, useSmallReplicas)
	b := newBookingRecorder(t, bed)
	owner := bed.GatewaysOf("busan")[0]
	warmUp(t, b, owner)
	keys := setTeam("busan-rescue", b.newKeys(t, owner, 24))
	impatient := &http.Client{Transport: b.client.Transport, Timeout: bookingDuration / 2}
	var all sync.WaitGroup
	for _, k := range keys {
		all.Go(func() {
			send(impatient, owner.CallerAddress(), call{
				method: http.MethodPost, path: bookingPath, team: k.team, key: k.key, body: k.body,
			})
		})
	}
	all.Wait()

	outcomes := map[verdict.Verdict]int{}
	for _, k := range keys {
		eventually(t, 5*time.Second, "the outcome of "+k.key, func() bool {
			r := b.queryOutcome(k, owner, "")
			if r.problem.Code == verdict.CodeKeyUnknown {
				// The caller left before its attempt was read.
				r = b.attempt(k, owner, attemptTimeout)
			}
			v := verdictOf(r)
			if v != verdict.MayHaveRun {
				outcomes[v]++
			}
			return v != verdict.MayHaveRun
		})
	}
	t.Logf("%d ran, %d were closed", outcomes[verdict.Ran], outcomes[verdict.NotRun])
	if outcomes[verdict.Ran] == 0 || outcomes[verdict.NotRun] == 0 {
		t.Error("one of the two cases was not met")
	}
	b.audit(t)
}
