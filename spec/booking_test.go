// Package spec_test runs the model checker on the specifications.
package spec_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/chestnutspring/chestnutspring/internal/spinrun"
)

// bookingModel is the specification of an idempotency key's life.
const bookingModel = "booking.pml"

// quickCompile makes the verifiers, which run for a second, quick to compile.
var quickCompile = []string{"-O0"}

// TestBookingModel checks all states of one key with three attempts, two
// duplicated messages, two hops, two crashes and any delay, order and pause.
func TestBookingModel(t *testing.T) {
	result := spinrun.Check(t, bookingModel, spinrun.Options{Compile: quickCompile})
	if result.Errors > 0 || result.Truncated {
		t.Fatalf("errors %d, truncated %v\n%s", result.Errors, result.Truncated, result.Trace)
	}
	t.Logf("%d states, %d transitions, depth %d", result.States, result.Transitions, result.Depth)
}

// TestBookingModelNeedsItsMechanisms takes one mechanism away or adds one
// fault at a time. Each must break a property.
func TestBookingModelNeedsItsMechanisms(t *testing.T) {
	const (
		twice      = "assert((executions<=1))"
		ranAfter   = "assert(!(told_not_run))"
		toldAfter  = "assert((executions==0))"
		late       = "assert(!(deadline_passed))"
		reachState = "assert(0)"
	)
	mutations := map[string][]string{
		// The first four are the ones that the design rests on.
		"NO_TOMBSTONE":          {ranAfter},
		"NO_PINNING":            {ranAfter, twice},
		"WITH_TRANSPORT_REPLAY": {twice, toldAfter, ranAfter},
		"WITH_DUPLICATE_HOP":    {twice, toldAfter, ranAfter},

		"NO_FORGOTTEN_MARK":          {ranAfter, twice},
		"NO_LAST_CHECK":              {late},
		"NO_RECEIVER_CLOSE":          {toldAfter, ranAfter, twice},
		"WITH_EARLY_NOT_RUN":         {toldAfter, ranAfter},
		"WITH_RETRY_AFTER_AMBIGUOUS": {toldAfter, ranAfter, twice},
		// The model rests on connections that end with their process.
		"WITH_HOP_OUTLIVING_RECEIVER": {toldAfter, ranAfter, twice},
		// These states must be reachable, or the model checks nothing.
		"REACH_RAN":     {reachState},
		"REACH_NOT_RUN": {reachState},
	}
	for define, properties := range mutations {
		t.Run(define, func(t *testing.T) {
			result := spinrun.Check(t, bookingModel, spinrun.Options{Defines: []string{define}, Compile: quickCompile})
			if result.Errors == 0 {
				t.Fatalf("no counterexample in %d states", result.States)
			}
			if failed := failedAssertion(result.Trace); !slices.Contains(properties, failed) {
				t.Fatalf("the counterexample is of %q:\n%s", failed, result.Trace)
			}
		})
	}
}

// failedAssertion returns the assertion that a counterexample ends with.
func failedAssertion(trace string) string {
	_, rest, _ := strings.Cut(trace, "text of failed assertion: ")
	assertion, _, _ := strings.Cut(rest, "\n")
	return assertion
}
