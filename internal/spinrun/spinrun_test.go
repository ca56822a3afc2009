package spinrun

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func writeModel(t *testing.T, model string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "model.pml")
	if err := os.WriteFile(path, []byte(model), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Two processes increment a counter. Without atomicity one update may be lost,
// which violates an assertion and an LTL formula; with it Check finds no error.
func TestCheckDetectsLostUpdate(t *testing.T) {
	is := is.New(t)
	model := writeModel(t, `
byte n, ended;
active [2] proctype Increment() {
	byte seen;
#ifdef ATOMIC
	atomic { seen = n; n = seen + 1 }
#else
	seen = n;
	n = seen + 1;
#endif
	ended++
}
active proctype Checker() { ended == 2; assert(n == 2) }
ltl reachesTwo { <> (n == 2) }
`)
	broken := Check(t, model, Options{})
	is.Equal(broken.Errors, 1)
	is.True(strings.Contains(broken.Trace, "Increment"))
	sound := Check(t, model, Options{Defines: []string{"ATOMIC"}})
	is.Equal(sound.Errors, 0)
	is.True(sound.States > 0)
	is.True(!sound.Truncated)
	liveness := Options{Claim: "reachesTwo", Liveness: true}
	is.Equal(Check(t, model, liveness).Errors, 1)
	liveness.Defines = []string{"ATOMIC"}
	is.Equal(Check(t, model, liveness).Errors, 0)
	is.True(Check(t, model, Options{Defines: []string{"ATOMIC"}, MaxDepth: 3}).Truncated)
}
