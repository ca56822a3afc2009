package spec_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/spinrun"
)

// restoreModel specifies how VMs read a registry that may be restored from an
// older copy.
const restoreModel = "restore.pml"

func checkRestoreLiveness(t *testing.T, defines ...string) spinrun.Result {
	t.Helper()
	return spinrun.Check(t, restoreModel, spinrun.Options{
		Defines: defines, Claim: "newestEventuallyInForce", Liveness: true, Compile: []string{"-DNFAIR=3"},
	})
}

// TestRestoreModelNewestIsEventuallyInForce checks under weak fairness that both
// VMs end with the newest version after one restore, and after two.
func TestRestoreModelNewestIsEventuallyInForce(t *testing.T) {
	for _, bounds := range [][]string{{"VERSIONS=3", "RESTORES=1"}, {"VERSIONS=2", "RESTORES=2"}} {
		t.Run(strings.Join(bounds, " "), func(t *testing.T) {
			is := is.New(t)
			result := checkRestoreLiveness(t, bounds...)
			t.Logf("%d states, depth %d", result.States, result.Depth)
			is.Equal(result.Errors, 0)
			is.True(!result.Truncated)
		})
	}
}

// TestRestoreModelMutationsAreDetected orders revisions by number alone, which
// must violate the formula, and configurations by revision, which must violate
// the assertion that the version in force never decreases.
func TestRestoreModelMutationsAreDetected(t *testing.T) {
	t.Run("IGNORE_ERA", func(t *testing.T) {
		is := is.New(t)
		is.Equal(checkRestoreLiveness(t, "IGNORE_ERA").Errors, 1)
	})
	t.Run("ORDER_BY_REVISION", func(t *testing.T) {
		is := is.New(t)
		result := spinrun.Check(t, restoreModel, spinrun.Options{Defines: []string{"ORDER_BY_REVISION"}})
		is.Equal(result.Errors, 1)
		is.True(strings.Contains(result.Trace, "assertion violated"))
	})
}
