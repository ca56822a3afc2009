package objects

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// validSet is a minimal valid configuration.
const validSet = `
kind: Region
name: jeju
spec: {}
---
kind: FailureDomain
name: jeju-a
spec:
  region: jeju
---
kind: Model
name: wind-writer
spec: {version: "1", maxOutputTokens: 10, secondsPerToken: 0.1, secondsPerPromptToken: 0}
---
kind: BackendServer
name: w1
spec: {address: "10.0.0.1:80", failureDomain: jeju-a, model: wind-writer, concurrency: 1}
---
kind: Policy
name: p
spec: {algorithm: least-load, costWeight: 0, shareAwayWeight: 0, retryBudget: 0.1, keyWindow: 10m, maxConfigAge: 10m, maxQueue: 1s}
---
kind: Route
name: wind-writer
spec: {model: wind-writer, policy: p}
---
kind: Team
name: school
spec: {home: jeju}
`

// loadFaults loads the files and returns each fault as a line of text.
func loadFaults(t *testing.T, files map[string]string) []string {
	t.Helper()
	dir := t.TempDir()
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	set, err := Load(dir)
	var faults *FaultError
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &faults) || set != nil:
		t.Fatalf("want only a *FaultError, got %v", err)
	}
	var lines []string
	for _, f := range faults.Faults {
		lines = append(lines, f.String())
	}
	return lines
}

func TestValidSetHasNoFaults(t *testing.T) {
	is := is.New(t)
	is.Equal(loadFaults(t, map[string]string{"a.yaml": validSet}), nil)
}

func TestFaultsHavePositions(t *testing.T) {
	cases := []struct {
		name, old, replacement string
		want                   []string
	}{
		{"dangling reference", "region: jeju", "region: jej",
			[]string{`a.yaml:2: Region jeju: no failure domain is in the region (add a FailureDomain with region: jeju)`,
				`a.yaml:9: FailureDomain jeju-a: spec.region: there is no Region "jej" (did you mean "jeju"?)`}},
		{"unknown field", "spec: {home: jeju}", "spec: {home: jeju, wieght: 2, limit: x}",
			[]string{`a.yaml:29: Team school: spec.limit: unknown field (did you mean "limits"?)`,
				`a.yaml:29: Team school: spec.wieght: unknown field (did you mean "weight"?)`}},
		{"unknown kind", "kind: Team", "kind: Taem",
			[]string{`a.yaml:27: Taem school: kind: unknown kind "Taem" (did you mean "Team"?)`}},
		{"repeated field", "spec: {home: jeju}", "spec: {home: jeju, home: jeju}",
			[]string{`a.yaml:29: Team school: spec.home: the field is given twice (remove one)`}},
		{"wrong type", "concurrency: 1", "concurrency: many",
			[]string{`a.yaml:17: BackendServer w1: cannot unmarshal string into Go struct field`}},
		{"host name", "10.0.0.1:80", "engine.example:80",
			[]string{`a.yaml:17: BackendServer w1: spec.address: "engine.example:80" isn't IP:port (write for example 10.0.0.7:8000; host names aren't looked up)`}},
		{"impossible budget", "retryBudget: 0.1", "retryBudget: 10",
			[]string{`a.yaml:21: Policy p: spec.retryBudget: 10 isn't between 0 and 1 (0.1 is a tenth of the requests)`}},
		{"no route", "kind: Route\nname: wind-writer\nspec: {model: wind-writer, policy: p}\n---\n", "",
			[]string{`a.yaml:11: Model wind-writer: there is no route to it (add a Route with model: wind-writer)`}},
		{"duplicate", "kind: Team\nname: school\nspec: {home: jeju}\n", "kind: Route\nname: wind-writer\nspec: {model: wind-writer, policy: p}\n",
			[]string{`a.yaml:27: Route wind-writer: the name is used twice (the first is at a.yaml:23; rename or remove one)`}},
		{"two routes", "kind: Team\nname: school\nspec: {home: jeju}\n", "kind: Route\nname: zweite\nspec: {model: wind-writer, policy: p}\n",
			[]string{`a.yaml:27: Route zweite: Model wind-writer has the route wind-writer already (remove one)`}},
		{"alias", "spec: {home: jeju}", "spec: &s {home: jeju, weight: *s}",
			[]string{`a.yaml:29: anchors, aliases and merge keys aren't supported (write the value out)`}},
		{"only standby", "concurrency: 1", "concurrency: 1, role: standby",
			[]string{`a.yaml:23: Route wind-writer: spec.regions: no backend server of wind-writer is in the route's regions (add a BackendServer with role serve, or widen the route)`}},
		{"own region's link", "name: jeju\nspec: {}", "name: jeju\nspec: {links: [{to: jeju, delay: 1ms, megabitsPerSecond: 1, costPerMegabit: 0}]}",
			[]string{`a.yaml:4: Region jeju: spec.links[0].to: the link leads to its own region (remove it)`}},
		{"syntax", "spec: {home: jeju}", "spec: {home: [jeju}",
			[]string{`a.yaml:29: `}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(validSet, c.old))
			got := loadFaults(t, map[string]string{"a.yaml": strings.Replace(validSet, c.old, c.replacement, 1)})
			for i := range max(len(got), len(c.want)) {
				if i >= len(got) || i >= len(c.want) || !strings.HasPrefix(got[i], c.want[i]) {
					t.Fatalf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(c.want, "\n"))
				}
			}
		})
	}
}

// TestResidencyRuleWithoutReplica restricts a team to a region without a replica.
func TestResidencyRuleWithoutReplica(t *testing.T) {
	is := is.New(t)
	more := `
kind: Region
name: busan
spec:
  links: [{to: jeju, delay: 80ms, megabitsPerSecond: 1, costPerMegabit: 0}]
---
kind: FailureDomain
name: busan-a
spec: {region: busan}
---
kind: ResidencyRule
name: busan-only
spec:
  regions: [busan]
---
kind: Team
name: bound
spec: {home: busan, residency: busan-only}
---
kind: Team
name: away
spec: {home: jeju, residency: busan-only}
`
	is.Equal(loadFaults(t, map[string]string{"a.yaml": validSet, "b.yaml": more}), []string{
		`b.yaml:5: Region busan: spec.links[0].to: "jeju" has no link back (add a link to "busan" to Region jeju)`,
		`b.yaml:14: ResidencyRule busan-only: spec.regions: route wind-writer has nowhere to run for teams under the rule (backend servers that the route allows are in: jeju)`,
		`b.yaml:22: Team away: spec.home: ResidencyRule busan-only doesn't permit the home region "jeju" (permitted: busan)`,
	})
}

// TestEmptySetIsAFault ensures that a published configuration that lost its
// objects is rejected.
func TestEmptySetIsAFault(t *testing.T) {
	is := is.New(t)
	set := NewSet()
	set.Index()
	is.Equal(len(set.Check()), 1)
	is.Equal(len(loadFaults(t, map[string]string{"a.yaml": "# nothing\n"})), 1)
}

// TestAllFaultsAreReported loads a syntax error, a fault within a document and a
// fault across objects, in several files.
func TestAllFaultsAreReported(t *testing.T) {
	is := is.New(t)
	got := loadFaults(t, map[string]string{
		"a.yaml": validSet, "b.yaml": "kind: [\n---\nkind: Model\nname: m\nspec: {x: 1}\n", "c.yaml": "kind: Team\nname: t\nspec: {home: jejju, extra: 1}\n",
	})
	is.True(strings.HasPrefix(got[0], "b.yaml:1: "))
	is.True(strings.HasPrefix(got[1], "b.yaml:3: Model m: ")) // in the same file
	is.Equal(got[len(got)-2:], []string{
		`c.yaml:3: Team t: spec.extra: unknown field (known: home, limits, residency, weight)`,
		`c.yaml:3: Team t: spec.home: there is no Region "jejju" (did you mean "jeju"?)`,
	})
}

// TestExampleDeployments checks the example configurations against the sizes and
// links of the deployments that they describe.
func TestExampleDeployments(t *testing.T) {
	for _, c := range []struct {
		dir, model, service string
		replicas            int
		domains             map[string]string
		store               string
		megabits            float64
	}{
		{"kite-consortium", "wind-writer", "spot-desk", 12,
			map[string]string{"jeju-a": "jeju", "busan-a": "busan", "saemangeum-a": "saemangeum"}, "jeju", 2000},
		{"co-operative", "grower-aide", "slot-desk", 9,
			map[string]string{"tihany-cellar": "balaton-north", "kovago-barn": "kali-basin", "hill-press": "badacsony"}, "balaton-north", 140},
	} {
		is := is.New(t)
		set, err := Load(filepath.Join("../../examples", c.dir))
		is.NoErr(err)
		is.Equal(len(set.BackendsOf(c.model)), c.replicas)
		is.Equal(len(set.BackendsOf(c.service)), 3)
		is.Equal(len(set.Regions), 3)
		is.Equal(len(set.FailureDomains), len(c.domains))
		for domain, region := range c.domains {
			is.Equal(set.RegionOf(domain), region)
		}
		for name, region := range set.Regions {
			is.Equal(region.Spec.WeightStore, name == c.store)
			is.Equal(len(region.Spec.Links), 2)
			for _, link := range region.Spec.Links {
				is.Equal(link.Delay.AsDuration().Milliseconds(), int64(80))
				is.Equal(link.MegabitsPerSecond, c.megabits)
			}
		}
		booking := set.CallOf(c.service, "POST", "/bookings")
		is.True(booking != nil && !booking.Idempotent)
		is.True(set.CallOf(c.service, "GET", "/forecast/today").Idempotent)
	}
}
