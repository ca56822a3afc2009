package promises

import (
	"strings"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/standin/engine"
	"github.com/chestnutspring/chestnutspring/internal/testbed"
)

// leavingBound is the time after which a leaving backend server gets no new
// requests.
const leavingBound = 5 * time.Second

// A leaving backend server gets no new requests after leavingBound, whichever
// source reports it first: the platform's list, or the server's own probe
// response while the list still has it as live.
func TestPromiseLeavingBackendGetsNoNewWork(t *testing.T) {
	sources := map[string]func(bed *testbed.Bed, server string) error{
		"list":  func(bed *testbed.Bed, server string) error { return bed.SetVMState(server, published.StateLeaving) },
		"probe": func(bed *testbed.Bed, server string) error { bed.Engines[server].SetLeaving(true); return nil },
	}
	for name, mark := range sources {
		t.Run(name, func(t *testing.T) {
			bed := startBed(t, nil)
			const server = "wind-writer-busan-1"
			marked := make(chan time.Time, 1)
			go func() {
				time.Sleep(2 * time.Second)
				if err := mark(bed, server); err != nil {
					t.Error(err)
				}
				marked <- time.Now()
			}()
			runChatLoad(bed, 2*time.Second+leavingBound+3*time.Second, 12, ignoreReply)
			checkNoNewWork(t, bed, server, <-marked)
		})
	}
}

func ignoreReply(string, string, string, reply) {}

// checkNoNewWork fails the test if the server got a request more than
// leavingBound after it was marked as leaving, or no request at all.
func checkNoNewWork(t *testing.T, bed *testbed.Bed, server string, marked time.Time) {
	t.Helper()
	var last time.Time
	for _, seen := range bed.Engines[server].ReceivedRequests() {
		last = seen.At
	}
	if last.IsZero() {
		t.Errorf("%s got no requests at all, so the test is inconclusive", server)
	}
	if late := last.Sub(marked); late > leavingBound {
		t.Errorf("%s got a request %v after it was marked as leaving", server, late)
	}
	t.Logf("last request %v after the server was marked as leaving", last.Sub(marked))
}

// A gateway that was paused while a backend server left does not send to it
// from its outdated view after it resumes.
func TestPromiseLeavingBackendAfterPause(t *testing.T) {
	bed := startBed(t, func(c *testbed.Config) {
		c.Engine = func(_ *objects.BackendServer, e *engine.Config) { e.Concurrency = 8 }
	})
	const server = "wind-writer-busan-1"
	paused := bed.GatewaysOf("busan")[0]
	// Only the paused gateway gets requests, so that the engine records no
	// requests from other gateways.
	sendLoad := func(d time.Duration) {
		chatAtGateway(bed, paused, d)
	}
	sendLoad(time.Second)
	paused.Pause()
	if err := bed.SetVMState(server, published.StateLeaving); err != nil {
		t.Fatal(err)
	}
	bed.Engines[server].SetLeaving(true)
	marked := time.Now()
	time.Sleep(leavingBound + time.Second)
	paused.Resume()
	sendLoad(2 * time.Second)
	checkNoNewWork(t, bed, server, marked)
}

// chatAtGateway sends chat requests to a single gateway for the duration d.
func chatAtGateway(bed *testbed.Bed, g *testbed.Gateway, d time.Duration) {
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		prompt := strings.Repeat("x", i%7+1)
		send(sharedClient, g.CallerAddress(), chat("dadaepo-gear", prompt))
	}
}
