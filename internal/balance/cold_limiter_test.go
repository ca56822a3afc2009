package balance

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

func TestColdAllowancesStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 200).Draw(t, "rate")
		vms := rapid.IntRange(1, 100).Draw(t, "VMs")
		sum := 0
		for rank := range vms {
			sum += ColdAllowance(rate, vms, rank)
		}
		if float64(sum) > rate {
			t.Fatalf("%d VMs may send %d requests per second, the server tolerates %.1f", vms, sum, rate)
		}
	})
}

// TestColdServersAreRateLimited simulates a failure domain that returns cold
// under full load: in no second may a server get more requests than it
// tolerates, whatever the arrivals.
func TestColdServersAreRateLimited(t *testing.T) {
	const rate, vms = 10.05, 3
	rapid.Check(t, func(t *rapid.T) {
		limiters := make([]ColdLimiter, vms)
		var sent []clock.Instant
		now := clock.Instant(time.Hour)
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Millisecond)
			vm := rapid.IntRange(0, vms-1).Draw(t, "VM")
			if limiters[vm].Take(now, ColdAllowance(rate, vms, vm), true) {
				sent = append(sent, now)
			}
		}
		for i, from := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(from) < time.Second {
					n++
				}
			}
			if float64(n) > rate {
				t.Fatalf("%d requests to a cold server in one second, it tolerates %.1f", n, rate)
			}
		}
	})
}

// Guards against FAILBACK on levendula-szov (issue 42): a cold server that had started
// again under its ID got the whole allowance twice in one second, before and after its
// new entry arrived.
func TestServerThatStartedAgainHasOneAllowance(t *testing.T) {
	for name, entryDelay := range map[string]time.Duration{"at once": 0, "later": 700 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const allowance = 5 // of 6.75 requests per second, one VM
			b := New("n", "n-a", Bounds{ColdOverage: 1.5, ColdSlack: 3}, DefaultTuning, &rankFleet{vms: 1})
			service := &ingress.Service{Name: "writer", ColdRequestsPerSecond: 2.5, ColdPeriod: 3 * time.Second, Engine: &ingress.Engine{}}
			now := clock.Instant(time.Hour)
			servers := roster.New(slog.New(slog.DiscardHandler))
			entry := roster.Entry{ID: "writer0", Service: "writer", Region: "n", FailureDomain: "n-a", Started: 1000}
			take := func() int {
				s := servers.View().Lookup(entry.ID)
				n := 0
				for range 20 {
					if b.TakeFromColdRate(service, s, b.Load(s.Key()), servers.View(), now) {
						n++
					}
				}
				return n
			}
			servers.Put(entry, 1, roster.Event, now)
			b.Load(roster.ServerKey{ID: entry.ID, Started: 1000}).RecordRestart(2000, now, service.ColdPeriod)
			is.Equal(take(), allowance)

			now = now.Add(entryDelay)
			entry.Started, entry.ColdFor = 2000, service.ColdPeriod
			servers.Put(entry, 2, roster.Event, now)
			b.RemoveUnlisted(servers.View(), now)
			is.Equal(take(), 0)

			now = now.Add(coldWindow)
			is.Equal(take(), allowance)
		})
	}
}
