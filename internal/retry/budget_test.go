package retry

import (
	"testing"

	"pgregory.net/rapid"
)

// TestBudgetIsNeverExceeded checks for arbitrary sequences that retries stay
// within the share of the requests plus the initial tokens.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		b := NewBudget()
		requests, retries := 0, 0
		for _, isRequest := range rapid.SliceOf(rapid.Bool()).Draw(t, "steps") {
			if isRequest {
				b.RecordRequest(share)
				requests++
			} else if b.Allow() {
				retries++
			}
			if float64(retries) > float64(requests)*share+initialTokens/unit {
				t.Fatalf("%d retries of %d requests at share %v", retries, requests, share)
			}
		}
	})
}
