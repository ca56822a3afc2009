package ctl

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/published"
)

const exampleDir = "../../examples/kite-consortium"

type runner interface{ Run(env *Env) error }

// run executes a command and returns its output, error output and exit code.
func run(command runner) (out, errOut string, code int) {
	var stdout, stderr bytes.Buffer
	env := &Env{Out: &stdout, Err: &stderr}
	code = HandleError(env, command.Run(env))
	return stdout.String(), stderr.String(), code
}

// editedExample returns a directory with a copy of the example's objects in which
// the first occurrence of old in each file is replaced.
func editedExample(t *testing.T, old, replacement string) string {
	t.Helper()
	dir := t.TempDir()
	files, err := filepath.Glob(filepath.Join(exampleDir, "*.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		text := strings.Replace(string(data), old, replacement, 1)
		if err := os.WriteFile(filepath.Join(dir, filepath.Base(file)), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func TestCheckExitsWithOneAndListsFaults(t *testing.T) {
	is := is.New(t)
	out, _, code := run(&CheckCommand{Dir: exampleDir})
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "no faults"))
	broken := editedExample(t, "residency: jeju-only", "residency: jeju-olny")
	_, errOut, code := run(&CheckCommand{Dir: broken})
	is.Equal(code, ExitFound)
	is.True(strings.Contains(errOut, `there is no ResidencyRule "jeju-olny" (did you mean "jeju-only"?)`))
	is.True(strings.HasPrefix(errOut, "teams.yaml:"))
	_, _, code = run(&CheckCommand{Dir: "nowhere"})
	is.Equal(code, ExitFailure)
}

func TestBundleWritesOnlyNewPartsAndRejectsInvalidSet(t *testing.T) {
	is := is.New(t)
	out := t.TempDir()
	_, _, code := run(&BundleCommand{Dir: exampleDir, Out: out})
	is.Equal(code, ExitOK)
	changed := editedExample(t, "weight: 2", "weight: 5")
	text, _, code := run(&BundleCommand{Dir: changed, Out: out})
	is.Equal(code, ExitOK)
	is.True(strings.Contains(text, " 1 of them new"))
	manifest, err := os.ReadFile(filepath.Join(out, manifestFile))
	is.NoErr(err)
	_, _, code = run(&BundleCommand{Dir: editedExample(t, "home: jeju", "home: nowhere"), Out: out})
	is.Equal(code, ExitFound)
	after, err := os.ReadFile(filepath.Join(out, manifestFile))
	is.NoErr(err)
	is.Equal(after, manifest) // an invalid set doesn't change the bundle
}

func TestDiffOfYAMLAndBundle(t *testing.T) {
	is := is.New(t)
	out := t.TempDir()
	_, _, code := run(&BundleCommand{Dir: exampleDir, Out: out})
	is.Equal(code, ExitOK)
	_, _, code = run(&DiffCommand{Old: exampleDir, New: out})
	is.Equal(code, ExitOK)
	tightened := editedExample(t, "name: mainland\nspec:\n  regions:\n    - busan\n    - saemangeum", "name: mainland\nspec:\n  regions:\n    - busan")
	text, _, code := run(&DiffCommand{Old: out, New: tightened})
	is.Equal(code, ExitFound)
	is.True(strings.HasPrefix(text, `~ ResidencyRule mainland spec.regions: ["busan","saemangeum"] -> ["busan"]  # permits fewer regions`))
	is.True(strings.Contains(text, "1 new parts"))
}

// TestDiffOfPublishedSet compares against a simulated configuration service that
// serves a bundle.
func TestDiffOfPublishedSet(t *testing.T) {
	is := is.New(t)
	out := t.TempDir()
	_, _, code := run(&BundleCommand{Dir: exampleDir, Out: out})
	is.Equal(code, ExitOK)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := os.ReadFile(filepath.Join(out, filepath.Clean("/"+strings.TrimPrefix(r.URL.Path, "/v1/values/"))))
		if err != nil {
			http.NotFound(w, r)
			return
		}
		w.Header().Set(published.HeaderRevision, "7")
		_, _ = w.Write(data)
	}))
	defer service.Close()
	_, _, code = run(&DiffCommand{Old: service.URL, New: exampleDir})
	is.Equal(code, ExitOK)
	text, _, code := run(&DiffCommand{Old: service.URL, New: editedExample(t, "weight: 2", "weight: 5")})
	is.Equal(code, ExitFound)
	is.True(strings.Contains(text, "spec.weight: 2 -> 5"))
	is.NoErr(os.Remove(filepath.Join(out, manifestFile)))
	_, _, code = run(&ExplainCommand{Dir: service.URL, Team: "jeju-rescue", Target: "wind-writer"})
	is.Equal(code, ExitFailure) // nothing is published
}

func TestExplainAppliesResidencyRules(t *testing.T) {
	is := is.New(t)
	set, err := objects.Load(exampleDir)
	is.NoErr(err)
	reasons := func(team, from string) map[string]string {
		m := map[string]string{}
		for _, r := range Explain(set, team, "wind-writer", from).Regions {
			m[r.Region] = r.RefusalReason
		}
		return m
	}
	is.Equal(reasons("hamdeok-kite-school", ""), map[string]string{"jeju": "", "busan": "", "saemangeum": ""})
	rule := "ResidencyRule jeju-only doesn't permit the region"
	is.Equal(reasons("jeju-rescue", ""), map[string]string{"jeju": "", "busan": rule, "saemangeum": rule})
	refused := Explain(set, "jeju-rescue", "wind-writer", "busan")
	is.True(refused.EntryRefusal != "") // refused on arrival
	is.True(!refused.CanBeServed())
	is.Equal(reasons("peninsula-tours", "")["jeju"], "ResidencyRule mainland doesn't permit the region")
}

func TestExplainAddsGatewayState(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/debug/state" {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write([]byte(`{"self":{"vm":"e1","region":"jeju"},"revision":7,"confirmedAgeSeconds":0.5,
			"backends":{"wind-writer-jeju-1":{"healthy":true,"leaving":true}}}`))
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	out, _, code := run(&ExplainCommand{Dir: exampleDir, Team: "jeju-rescue", Target: "wind-writer", Gateway: address, Timeout: time.Second})
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "gateway e1 in jeju has revision 7, confirmed 0.5 s ago"))
	is.True(strings.Contains(out, "wind-writer-jeju-1 (jeju-a): in service; leaving"))
	out, _, code = run(&DumpCommand{Address: address, Timeout: time.Second})
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, `"revision": 7`))
	_, _, code = run(&DumpCommand{Address: "gateway.example:80", Timeout: time.Second})
	is.Equal(code, ExitFailure)
	_, _, code = run(&ExplainCommand{Dir: exampleDir, Team: "nobody", Target: "wind-writer"})
	is.Equal(code, ExitFailure)
}

// Guards against scripts that publish a configuration with errors, and against a second form of
// findings beside that of the product's own objects.
func TestCheckPlatformHasExitCodesAndPrintsTextAndJSON(t *testing.T) {
	is := is.New(t)
	write := func(name, text string) string {
		path := filepath.Join(t.TempDir(), name)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	old := write("old.json", `{"version":1,"routes":[],"services":[],"limits":{"maxHeaderBytes":1,"maxBodyBytes":1}}`)
	next := write("next.json", `{"version":2,"routes":[],"services":[],"limits":{"maxHeaderBytes":1,"maxBodyBytes":2}}`)
	out, _, code := run(&CheckPlatformCommand{File: next, InForce: old})
	is.Equal(code, ExitOK)
	is.Equal(out, next+":1: limits: change: body bytes 1 -> 2\n0 errors, 0 warnings, 1 changes\n")
	out, _, code = run(&CheckPlatformCommand{File: old, InForce: next, JSON: true})
	is.Equal(code, ExitFound)
	is.True(strings.Contains(out, `"severity": "error"`))
	is.True(strings.Contains(out, `"field": "version"`))
	is.Equal(HandleError(&Env{Err: io.Discard}, errors.Join(ErrInput.New("as kong returns it"))), ExitUsage)
	for _, unreadable := range []string{"nowhere", write("broken.json", "{")} {
		_, _, code = run(&CheckPlatformCommand{File: unreadable})
		is.Equal(code, ExitUsage)
		_, _, code = run(&CheckPlatformCommand{File: old, InForce: unreadable})
		is.Equal(code, ExitUsage)
	}
	out, _, code = run(&CheckCommand{Dir: editedExample(t, "home: jeju", "home: nowhere"), JSON: true})
	is.Equal(code, ExitFound)
	is.True(strings.Contains(out, `"severity": "error"`))
	_, _, code = run(&CheckCommand{Dir: exampleDir, JSON: true})
	is.Equal(code, ExitOK)
}
