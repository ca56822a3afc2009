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
// work.
const leavingBound = 5 * time.Second

// A leaving backend server gets no new work after the bound, whichever source
// says so first: the platform's list, or the server's own word while the list
// still calls it live.
func TestPromiseLeavingBackendGetsNoNewWork(t *testing.T) {
	sources := map[string]func(bed *testbed.Bed, server string) error{
		"list":  func(bed *testbed.Bed, server string) error { return bed.SetState(server, published.StateLeaving) },
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

// checkNoNewWork fails the test if the server got work later than the bound
// after the mark, or none before it.
func checkNoNewWork(t *testing.T, bed *testbed.Bed, server string, marked time.Time) {
	t.Helper()
	var last time.Time
	for _, seen := range bed.Engines[server].Seen() {
		last = seen.At
	}
	if last.IsZero() {
		t.Errorf("%s got no work at all", server)
	}
	if late := last.Sub(marked); late > leavingBound {
		t.Errorf("%s got work %v after it was marked", server, late)
	}
	t.Logf("last arrival %v after the mark", last.Sub(marked))
}

// A gateway that was frozen while a backend server left doesn't send to it on
// its old view when it wakes.
func TestPromiseLeavingBackendAfterAFreeze(t *testing.T) {
	bed := startBed(t, func(c *testbed.Config) {
		c.Engine = func(_ *objects.BackendServer, e *engine.Config) { e.Concurrency = 8 }
	})
	const server = "wind-writer-busan-1"
	frozen := bed.GatewaysOf("busan")[0]
	// Only the gateway that freezes gets work, so that no other can spoil the
	// record.
	waking := func(d time.Duration) {
		chatAtGateway(bed, frozen, d)
	}
	waking(time.Second)
	frozen.Freeze()
	if err := bed.SetState(server, published.StateLeaving); err != nil {
		t.Fatal(err)
	}
	bed.Engines[server].SetLeaving(true)
	marked := time.Now()
	time.Sleep(leavingBound + time.Second)
	frozen.Wake()
	waking(2 * time.Second)
	checkNoNewWork(t, bed, server, marked)
}

// chatAtGateway sends chat requests to one gateway only.
func chatAtGateway(bed *testbed.Bed, g *testbed.Gateway, d time.Duration) {
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		prompt := strings.Repeat("x", i%7+1)
		send(sharedClient, g.CallerAddress(), chat("dadaepo-gear", prompt))
	}
}
