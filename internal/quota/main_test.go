package quota

import (
	"flag"
	"testing"
)

// TestMain sets the default seed of the property tests; a flag overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "4", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}
