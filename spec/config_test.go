package spec_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/spinrun"
)

// configModel specifies how members apply configuration revisions.
const configModel = "config.pml"

// TestConfigModelNeverReverts checks all states of two members with four threads,
// three revisions, two delayed offers and one crash, and of three members with
// six threads, two revisions, one delayed offer and no crash.
func TestConfigModelNeverReverts(t *testing.T) {
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

// TestConfigModelMutationsAreDetected removes one rule at a time. Each mutation
// must violate an assertion.
func TestConfigModelMutationsAreDetected(t *testing.T) {
	for _, mutation := range []string{"ACCEPT_LOWER", "COMPARE_ONCE", "APPLY_INCOMPLETE", "APPLY_INVALID", "NO_PEER_QUERY"} {
		t.Run(mutation, func(t *testing.T) {
			is := is.New(t)
			result := spinrun.Check(t, configModel, spinrun.Options{Defines: []string{mutation}})
			is.Equal(result.Errors, 1)
			is.True(strings.Contains(result.Trace, "assertion violated"))
		})
	}
}

// livenessDefines are the bounds for the formula that the newest revision is
// eventually in force at all members: one member never reaches the service,
// another never receives offers from peers, and the third, which does both, may
// crash once.
var livenessDefines = []string{"PARTIAL_REACH", "MEMBERS=3", "REVISIONS=2", "OLD_OFFERS=1", "CRASHES=1"}

func checkLiveness(t *testing.T, defines ...string) spinrun.Result {
	t.Helper()
	return spinrun.Check(t, configModel, spinrun.Options{
		Defines: append(defines, livenessDefines...), Claim: "newestEventuallyInForce", Liveness: true,
		Compile: []string{"-DNFAIR=3"},
	})
}

// TestConfigModelNewestIsEventuallyInForce checks the formula under weak
// fairness.
func TestConfigModelNewestIsEventuallyInForce(t *testing.T) {
	is := is.New(t)
	result := checkLiveness(t)
	t.Logf("%d states, depth %d", result.States, result.Depth)
	is.Equal(result.Errors, 0)
	is.True(!result.Truncated)
}

// TestConfigModelNeedsServiceAndPeers removes one source of revisions at a time.
// The formula must then be violated.
func TestConfigModelNeedsServiceAndPeers(t *testing.T) {
	for _, mutation := range []string{"NO_FALLBACK", "NO_PEER_OFFERS"} {
		t.Run(mutation, func(t *testing.T) {
			is := is.New(t)
			is.Equal(checkLiveness(t, mutation).Errors, 1)
		})
	}
}
