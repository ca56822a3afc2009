package ctl

import (
	"bytes"
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

const kite = "../../examples/kite-consortium"

// runner is a command.
type runner interface{ Run(env *Env) error }

// run returns what a command prints and its exit code.
func run(command runner) (out, errOut string, code int) {
	var stdout, stderr bytes.Buffer
	env := &Env{Out: &stdout, Err: &stderr}
	code = Code(env, command.Run(env))
	return stdout.String(), stderr.String(), code
}

// edited returns a copy of the kite consortium's objects with one replacement.
func edited(t *testing.T, old, replacement string) string {
	t.Helper()
	dir := t.TempDir()
	files, err := filepath.Glob(filepath.Join(kite, "*.yaml"))
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
	out, _, code := run(&CheckCommand{Dir: kite})
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "no faults"))
	broken := edited(t, "residency: jeju-only", "residency: jeju-olny")
	_, errOut, code := run(&CheckCommand{Dir: broken})
	is.Equal(code, ExitFound)
	is.True(strings.Contains(errOut, `there is no ResidencyRule "jeju-olny" (did you mean "jeju-only"?)`))
	is.True(strings.HasPrefix(errOut, "teams.yaml:"))
	_, _, code = run(&CheckCommand{Dir: "nowhere"})
	is.Equal(code, ExitFailure)
}

func TestBundleWritesOnlyNewPartsAndNothingFromFaultyObjects(t *testing.T) {
	is := is.New(t)
	out := t.TempDir()
	_, _, code := run(&BundleCommand{Dir: kite, Out: out})
	is.Equal(code, ExitOK)
	changed := edited(t, "weight: 2", "weight: 5")
	text, _, code := run(&BundleCommand{Dir: changed, Out: out})
	is.Equal(code, ExitOK)
	is.True(strings.Contains(text, " 1 of them new"))
	manifest, err := os.ReadFile(filepath.Join(out, manifestFile))
	is.NoErr(err)
	_, _, code = run(&BundleCommand{Dir: edited(t, "home: jeju", "home: nowhere"), Out: out})
	is.Equal(code, ExitFound)
	after, err := os.ReadFile(filepath.Join(out, manifestFile))
	is.NoErr(err)
	is.Equal(after, manifest) // faulty objects leave the bundle as it was
}

func TestDiffOfYAMLAndBundle(t *testing.T) {
	is := is.New(t)
	out := t.TempDir()
	_, _, code := run(&BundleCommand{Dir: kite, Out: out})
	is.Equal(code, ExitOK)
	_, _, code = run(&DiffCommand{Old: kite, New: out})
	is.Equal(code, ExitOK)
	tightened := edited(t, "name: mainland\nspec:\n  regions:\n    - busan\n    - saemangeum", "name: mainland\nspec:\n  regions:\n    - busan")
	text, _, code := run(&DiffCommand{Old: out, New: tightened})
	is.Equal(code, ExitFound)
	is.True(strings.HasPrefix(text, `~ ResidencyRule mainland spec.regions: ["busan","saemangeum"] -> ["busan"]  # permits fewer regions`))
	is.True(strings.Contains(text, "1 new parts"))
}

// TestPublishedSetCanBeCompared serves a bundle as the configuration service.
func TestPublishedSetCanBeCompared(t *testing.T) {
	is := is.New(t)
	out := t.TempDir()
	_, _, code := run(&BundleCommand{Dir: kite, Out: out})
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
	_, _, code = run(&DiffCommand{Old: service.URL, New: kite})
	is.Equal(code, ExitOK)
	text, _, code := run(&DiffCommand{Old: service.URL, New: edited(t, "weight: 2", "weight: 5")})
	is.Equal(code, ExitFound)
	is.True(strings.Contains(text, "spec.weight: 2 -> 5"))
	is.NoErr(os.Remove(filepath.Join(out, manifestFile)))
	_, _, code = run(&ExplainCommand{Dir: service.URL, Team: "jeju-rescue", Target: "wind-writer"})
	is.Equal(code, ExitFailure) // nothing is published
}

func TestExplainFollowsTheRules(t *testing.T) {
	is := is.New(t)
	set, err := objects.Load(kite)
	is.NoErr(err)
	reasons := func(team, from string) map[string]string {
		m := map[string]string{}
		for _, r := range Explain(set, team, "wind-writer", from).Regions {
			m[r.Region] = r.Refused
		}
		return m
	}
	is.Equal(reasons("hamdeok-kite-school", ""), map[string]string{"jeju": "", "busan": "", "saemangeum": ""})
	rule := "ResidencyRule jeju-only doesn't permit the region"
	is.Equal(reasons("jeju-rescue", ""), map[string]string{"jeju": "", "busan": rule, "saemangeum": rule})
	wrong := Explain(set, "jeju-rescue", "wind-writer", "busan")
	is.True(wrong.Entry != "") // refused on arrival
	is.True(!wrong.Runs())
	is.Equal(reasons("peninsula-tours", "")["jeju"], "ResidencyRule mainland doesn't permit the region")
}

func TestExplainAddsWhatAGatewayKnows(t *testing.T) {
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
	out, _, code := run(&ExplainCommand{Dir: kite, Team: "jeju-rescue", Target: "wind-writer", Gateway: address, Timeout: time.Second})
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "gateway e1 in jeju has revision 7, confirmed 0.5 s ago"))
	is.True(strings.Contains(out, "wind-writer-jeju-1 (jeju-a): in service; leaving"))
	out, _, code = run(&DumpCommand{Address: address, Timeout: time.Second})
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, `"revision": 7`))
	_, _, code = run(&DumpCommand{Address: "gateway.example:80", Timeout: time.Second})
	is.Equal(code, ExitFailure)
	_, _, code = run(&ExplainCommand{Dir: kite, Team: "nobody", Target: "wind-writer"})
	is.Equal(code, ExitFailure)
}
