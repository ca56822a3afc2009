package balance

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutspring/chestnutspring/internal/clock"
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
