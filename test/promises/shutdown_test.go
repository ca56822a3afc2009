package promises

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/drain"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/testbed"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// sharedClient reuses connections across the requests of all tests.
var sharedClient = &http.Client{Transport: &http.Transport{IdleConnTimeout: drain.KeepAlive}}

// chatStream returns a streamed chat completion request.
func chatStream(team, prompt string) call {
	c := chat(team, prompt)
	c.body = strings.Replace(c.body, `{"model"`, `{"stream":true,"model"`, 1)
	return c
}

// rollingRestart shuts the gateways down gracefully and restarts them, one
// after the other.
func rollingRestart(t *testing.T, bed *testbed.Bed) {
	t.Helper()
	for _, region := range bed.Regions() {
		for _, g := range bed.GatewaysOf(region) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			if err := g.Terminate(ctx); err != nil {
				t.Errorf("%s did not shut down: %v", g.Name, err)
			}
			if err := g.Restart(ctx); err != nil {
				t.Errorf("%s did not start: %v", g.Name, err)
			}
			if err := g.WaitReady(ctx); err != nil {
				t.Error(err)
			}
			cancel()
		}
	}
}

// entryList caches the list of usable entries, fetched from the gateways as
// callers do, for as long as the list is valid.
type entryList struct {
	bed   *testbed.Bed
	mu    sync.Mutex
	addrs []string
	until time.Time
}

// entriesValidity is how long a response of /v1/entries may be used.
const entriesValidity = 2 * time.Second

// pick returns the n-th usable entry.
func (l *entryList) pick(n int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().After(l.until) {
		l.refresh()
	}
	return l.addrs[n%len(l.addrs)]
}

func (l *entryList) refresh() {
	for _, g := range l.bed.Gateways {
		r := send(sharedClient, g.CallerAddress(), call{method: http.MethodGet, path: wire.PathEntries, timeout: time.Second})
		if addrs := usableEntries(r); len(addrs) > 0 {
			l.addrs, l.until = addrs, time.Now().Add(entriesValidity)
			return
		}
	}
}

// A rolling restart of all gateways under load interrupts no request: no
// non-streamed response, no stream, no booking, and none on a reused
// connection.
func TestPromiseGracefulShutdownInterruptsNoRequest(t *testing.T) {
	bed := startBed(t, func(c *testbed.Config) { c.GatewayArgs = []string{"--linger=3s"} })
	removeLimits(t, bed)
	list := &entryList{bed: bed}
	var stop atomic.Bool
	var sent atomic.Int64
	var wg sync.WaitGroup
	for n := range 12 {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{IdleConnTimeout: drain.KeepAlive}}
			defer client.CloseIdleConnections()
			for i := 0; !stop.Load(); i++ {
				prompt := fmt.Sprintf("rolling %d %d", n, i)
				entry := list.pick(n)
				sent.Add(1)
				if problem := sendRequestOfKind(client, entry, n+i, prompt); problem != "" {
					t.Errorf("%s: %s", entry, problem)
				}
				// The varied pauses leave some connections idle when a shutdown starts.
				time.Sleep(time.Duration(n*i%5) * 100 * time.Millisecond)
			}
		})
	}
	rollingRestart(t, bed)
	stop.Store(true)
	wg.Wait()
	t.Logf("%d requests during the rolling restart", sent.Load())
}

// sendRequestOfKind sends a chat request, a streamed one or a booking, chosen
// by kind, and returns what was wrong with the response, or "".
func sendRequestOfKind(client *http.Client, entry string, kind int, prompt string) string {
	var r reply
	switch kind % 3 {
	case 0:
		if r = send(client, entry, chat(unrestrictedTeam, prompt)); isComplete(r, prompt) {
			return ""
		}
	case 1:
		if r = send(client, entry, chatStream(unrestrictedTeam, prompt)); r.ok() && strings.Contains(r.body, "[DONE]") {
			return ""
		}
	default:
		if r = book(client, entry, unrestrictedTeam); r.ok() {
			return ""
		}
	}
	return fmt.Sprintf("request of kind %d: %v", kind%3, r)
}

// removeLimits removes the limits of all teams, so that no request is refused
// for them.
func removeLimits(t *testing.T, bed *testbed.Bed) {
	t.Helper()
	err := bed.UpdateConfig(func(next *objects.Set) {
		for name, team := range next.Teams {
			lifted := *team
			lifted.Spec.Limits = ""
			next.Teams[name] = &lifted
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	revision := bed.Platform.Revision(published.ValueManifest)
	eventually(t, configurationBound, "limits removed on all gateways", func() bool { return allAtRevision(bed, revision) })
}

// unrestrictedTeam is a team that may be served in every region.
const unrestrictedTeam = "hamdeok-kite-school"
