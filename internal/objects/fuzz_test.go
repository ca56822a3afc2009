package objects

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// FuzzParse checks that Parse doesn't panic, that each error lists at least one
// fault, and that accepted sets pass Check.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSet))
	f.Add([]byte("kind: Team\nname: &a [*a]\nspec: *a\n"))
	f.Add([]byte("kind: Team\n<<: {name: x}\n? [a]\n: b\n"))
	f.Add([]byte("kind: Route\nname: 1\nspec: [1, {a: b}]\n---\n...\n--- !!binary x\n"))
	f.Add([]byte("kind: Policy\nname: p\nspec: {keyWindow: .nan, retryBudget: .nan, maxQueue: 1e99h}\n"))
	for _, pattern := range []string{"kite-consortium", "co-operative"} {
		files, err := filepath.Glob(filepath.Join("../../examples", pattern, "*.yaml"))
		if err != nil {
			f.Fatal(err)
		}
		for _, file := range files {
			data, err := os.ReadFile(file)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		set, err := Parse("fuzz.yaml", data)
		var faults *FaultError
		if err != nil && (!errors.As(err, &faults) || len(faults.Faults) == 0) {
			t.Fatalf("error without faults: %v", err)
		}
		if err == nil && len(set.Check()) > 0 {
			t.Fatalf("accepted set has faults: %v", set.Check())
		}
	})
}
