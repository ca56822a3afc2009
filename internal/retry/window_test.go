package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutspring/chestnutspring/internal/clock"
)

// TestWindowBoundsRetriesInEverySpan draws sequences of requests and retries
// and checks the limit in every time span that ends with a retry.
func TestWindowBoundsRetriesInEverySpan(t *testing.T) {
	const (
		span  = 10 * time.Second
		slack = 7.0
		share = 0.2
	)
	rapid.Check(t, func(t *rapid.T) {
		w := NewWindow(span, slack)
		now := clock.Instant(time.Hour)
		var requests, retries []clock.Instant
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				w.RecordRequest(share, now)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 30).Draw(t, "tries") {
				if w.Allow(now) {
					retries = append(retries, now)
				}
			}
		}
		for _, end := range retries {
			from := end.Add(-span)
			if n, limit := within(retries, from, end), slack+share*float64(within(requests, from, end)); float64(n) > limit+1e-9 {
				t.Fatalf("%d retries within %v, at most %.1f are allowed", n, span, limit)
			}
		}
	})
}

// within returns the number of instants after from and up to to.
func within(list []clock.Instant, from, to clock.Instant) int {
	n := 0
	for _, at := range list {
		if at > from && at <= to {
			n++
		}
	}
	return n
}

// TestWindowAllowsBurstOfRetries guards against a limit that refuses the retries
// of the many streams that break at once when a backend server crashes.
func TestWindowAllowsBurstOfRetries(t *testing.T) {
	w := NewWindow(10*time.Second, 6)
	now := clock.Instant(time.Hour)
	for range 1000 { // 100 requests per second
		now = now.Add(10 * time.Millisecond)
		w.RecordRequest(0.17, now)
	}
	granted := 0
	for w.Allow(now) {
		granted++
	}
	if granted < 150 {
		t.Fatalf("%d retries at once, want the share of the window's requests", granted)
	}
}
