package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// TestBrokenPackagesFailTheRun runs go test on packages that end without a failed
// test of their own, and checks that the report fails for each of them.
func TestBrokenPackagesFailTheRun(t *testing.T) {
	const passing = "package p\n\nimport \"testing\"\n\nfunc TestPasses(*testing.T) {}\n"
	for name, c := range map[string]struct {
		source string
		code   int
	}{
		"passes":           {passing, 0},
		"panics in init":   {passing + "\nfunc init() { panic(\"broken\") }\n", 1},
		"doesn't compile":  {passing + "\nfunc broken() { return 1 }\n", 1},
		"exits early":      {"package p\n\nimport (\n\t\"os\"\n\t\"testing\"\n)\n\nfunc init() { os.Exit(0) }\n\nfunc TestPasses(*testing.T) {}\n", 1},
		"has a bad import": {"package p\n\nimport _ \"no.example/nothing\"\n", 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			is.NoErr(os.WriteFile(filepath.Join(dir, "go.mod"), []byte("module p\n"), 0o600))
			is.NoErr(os.WriteFile(filepath.Join(dir, "p_test.go"), []byte(c.source), 0o600))
			command := exec.Command("go", "test", "-json", "./...")
			command.Dir = dir
			command.Env = append(os.Environ(), "GOFLAGS=-mod=mod", "GOPROXY=off")
			out, err := command.Output()
			status := 0
			if err != nil {
				status = command.ProcessState.ExitCode()
			}
			path := filepath.Join(dir, "out.json")
			is.NoErr(os.WriteFile(path, out, 0o600))
			r, err := readReport(path)
			is.NoErr(err)
			is.Equal(r.print(nil, status), c.code)
		})
	}
}

func TestStatusWithoutFailedTestFailsTheRun(t *testing.T) {
	is := is.New(t)
	r := &report{output: map[string][]string{}, completed: map[string]bool{}}
	is.Equal(r.print(nil, 0), 0)
	is.Equal(r.print(nil, 2), 1)
	r.failed = []string{"p TestRed"}
	is.Equal(r.print([]string{"TestRed"}, 1), 0) // a known failure explains the status
}
