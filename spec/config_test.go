package spec_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/spinrun"
)

// configModel is the specification of the order of configurations.
const configModel = "config.pml"

// TestConfigModelNeverGoesBack checks all states of two members with four
// threads, three revisions, two delayed offers and one crash, and of three
// members with six threads, two revisions, one delayed offer and no crash.
func TestConfigModelNeverGoesBack(t *testing.T) {
	for _, bounds := range [][]string{
		{"MEMBERS=2", "REVISIONS=3", "OLD_OFFERS=2", "CRASHES=1"},
		{"MEMBERS=3", "REVISIONS=2", "OLD_OFFERS=1", "CRASHES=0"},
	} {
		t.Run(strings.Join(bounds, " "), func(t *testing.T) {
			is := is.New(t)
			result := spinrun.Check(t, configModel, spinrun.Options{Defines: bounds})
			t.Logf("%d states, %d transitions, depth %d", result.States, result.Transitions, result.Depth)
			is.Equal(result.Errors, 0)
			is.True(!result.Truncated)
		})
	}
}

// TestConfigModelMutationsGiveATrace takes away one rule at a time.
func TestConfigModelMutationsGiveATrace(t *testing.T) {
	for _, mutation := range []string{"ACCEPT_LOWER", "COMPARE_ONCE", "APPLY_TORN", "APPLY_INVALID", "NO_ASK"} {
		t.Run(mutation, func(t *testing.T) {
			is := is.New(t)
			result := spinrun.Check(t, configModel, spinrun.Options{Defines: []string{mutation}})
			is.Equal(result.Errors, 1)
			is.True(strings.Contains(result.Trace, "assertion violated"))
		})
	}
}

// atLast are the bounds of the formula that the last revision is in force at
// last: one member never reaches the service, another never hears a peer, and
// the third, which does both, may crash once.
var atLast = []string{"PARTIAL_REACH", "MEMBERS=3", "REVISIONS=2", "OLD_OFFERS=1", "CRASHES=1"}

func checkAtLast(t *testing.T, defines ...string) spinrun.Result {
	t.Helper()
	return spinrun.Check(t, configModel, spinrun.Options{
		Defines: append(defines, atLast...), Claim: "inForceAtLast", Liveness: true,
		Compile: []string{"-DNFAIR=3"},
	})
}

// TestConfigModelIsInForceAtLast checks the formula under weak fairness.
func TestConfigModelIsInForceAtLast(t *testing.T) {
	is := is.New(t)
	result := checkAtLast(t)
	t.Logf("%d states, depth %d", result.States, result.Depth)
	is.Equal(result.Errors, 0)
	is.True(!result.Truncated)
}

// TestConfigModelNeedsBothWays takes away one way to learn at a time.
func TestConfigModelNeedsBothWays(t *testing.T) {
	for _, mutation := range []string{"NO_FALLBACK", "NO_LEARN"} {
		t.Run(mutation, func(t *testing.T) {
			is := is.New(t)
			is.Equal(checkAtLast(t, mutation).Errors, 1)
		})
	}
}
