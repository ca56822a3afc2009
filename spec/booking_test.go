// Package spec_test runs the model checker Spin on the specifications.
package spec_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/chestnutspring/chestnutspring/internal/spinrun"
)

// bookingModel specifies the life cycle of an idempotency key.
const bookingModel = "booking.pml"

// withoutOptimization shortens the total time: the verifiers run for about a
// second, so that optimized compilation would cost more than it saves.
var withoutOptimization = []string{"-O0"}

// TestBookingModel checks all states of one key with three attempts, two
// duplicated messages, two hops, two crashes and any delays, order and pauses.
func TestBookingModel(t *testing.T) {
	result := spinrun.Check(t, bookingModel, spinrun.Options{Compile: withoutOptimization})
	if result.Errors > 0 || result.Truncated {
		t.Fatalf("errors %d, truncated %v\n%s", result.Errors, result.Truncated, result.Trace)
	}
	t.Logf("%d states, %d transitions, depth %d", result.States, result.Transitions, result.Depth)
}

// TestBookingModelNeedsItsMechanisms removes one mechanism or adds one fault at a
// time. Each mutation must violate one of the listed assertions.
func TestBookingModelNeedsItsMechanisms(t *testing.T) {
	const (
		atMostOnce          = "assert((executions<=1))"
		noRunAfterNotRun    = "assert(!(reported_not_run))"
		noNotRunAfterRun    = "assert((executions==0))"
		noSendAfterDeadline = "assert(!(deadline_passed))"
		unreachable         = "assert(0)"
	)
	mutations := map[string][]string{
		// The first four break the mechanisms that the design is based on.
		"NO_TOMBSTONE":          {noRunAfterNotRun},
		"NO_PINNING":            {noRunAfterNotRun, atMostOnce},
		"WITH_TRANSPORT_REPLAY": {atMostOnce, noNotRunAfterRun, noRunAfterNotRun},
		"WITH_DUPLICATE_HOP":    {atMostOnce, noNotRunAfterRun, noRunAfterNotRun},

		"NO_EVICTION_MARK":           {noRunAfterNotRun, atMostOnce},
		"NO_FINAL_DEADLINE_CHECK":    {noSendAfterDeadline},
		"NO_RECEIVER_CLOSE":          {noNotRunAfterRun, noRunAfterNotRun, atMostOnce},
		"WITH_EARLY_NOT_RUN":         {noNotRunAfterRun, noRunAfterNotRun},
		"WITH_RETRY_AFTER_AMBIGUOUS": {noNotRunAfterRun, noRunAfterNotRun, atMostOnce},
		// The model assumes that a process's connections end when it exits.
		"WITH_HOP_OUTLIVING_RECEIVER": {noNotRunAfterRun, noRunAfterNotRun, atMostOnce},
		// These states must be reachable; otherwise the model checks nothing.
		"REACH_RAN":     {unreachable},
		"REACH_NOT_RUN": {unreachable},
	}
	for define, assertions := range mutations {
		t.Run(define, func(t *testing.T) {
			result := spinrun.Check(t, bookingModel, spinrun.Options{Defines: []string{define}, Compile: withoutOptimization})
			if result.Errors == 0 {
				t.Fatalf("no counterexample in %d states", result.States)
			}
			if failed := failedAssertion(result.Trace); !slices.Contains(assertions, failed) {
				t.Fatalf("the counterexample violates an unexpected assertion %q:\n%s", failed, result.Trace)
			}
		})
	}
}

// failedAssertion returns the assertion that the counterexample violates, or "" if
// the trace has none.
func failedAssertion(trace string) string {
	_, rest, _ := strings.Cut(trace, "text of failed assertion: ")
	assertion, _, _ := strings.Cut(rest, "\n")
	return assertion
}
