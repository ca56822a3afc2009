package promises

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/chestnutspring/chestnutspring/internal/testbed"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// isolatedTeams have jeju as their home region; the second is restricted to it.
var isolatedTeams = []string{"hamdeok-kite-school", "jeju-rescue"}

// book sends a booking with a new key obtained from the entry.
func book(client *http.Client, entry, team string) reply {
	first := send(client, entry, call{method: http.MethodGet, path: wire.PathEntries, team: team})
	key := first.header.Get(wire.HeaderKeyPrefix) + "~" + uuid.NewString()
	return send(client, entry, call{
		method: http.MethodPost, path: wire.PathServices + "spot-desk/bookings", team: team, key: key, body: `{"slot":7}`,
	})
}

// checkServes checks that the entry serves chat requests and bookings of the
// teams.
func checkServes(t *testing.T, bed *testbed.Bed, entry *testbed.Gateway, when string) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := range 10 {
		for _, team := range isolatedTeams {
			prompt := fmt.Sprintf("%s %s %d", when, team, i)
			if r := send(client, entry.CallerAddress(), chat(team, prompt)); !isComplete(r, prompt) {
				t.Errorf("%s at %s: chat of %s: %v", when, entry.Name, team, r)
			}
			if r := book(client, entry.CallerAddress(), team); !r.ok() || r.header.Get(wire.HeaderVerdict) != verdict.Ran.String() {
				t.Errorf("%s at %s: booking of %s: %v", when, entry.Name, team, r)
			}
		}
	}
}

// A region that is cut off from all other regions and from the platform keeps
// serving its own callers, also through a gateway that restarts in the
// meantime.
func TestPromiseIsolatedRegionServes(t *testing.T) {
	bed := startBed(t, nil)
	entries := bed.GatewaysOf("jeju")
	bed.Isolate("jeju")
	defer bed.Rejoin("jeju")
	checkServes(t, bed, entries[0], "right after the cut")

	// Long enough for all other regions to count as unresponsive.
	time.Sleep(unresponsiveBound)
	checkServes(t, bed, entries[0], "while cut off")

	entries[1].Kill()
	checkServes(t, bed, entries[0], "with one gateway down")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := entries[1].Restart(ctx); err != nil {
		t.Fatal(err)
	}
	if err := entries[1].WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	checkServes(t, bed, entries[1], "restarted while cut off")
}

// unresponsiveBound exceeds the time without heartbeats after which a region
// counts as unresponsive.
const unresponsiveBound = 5 * time.Second
