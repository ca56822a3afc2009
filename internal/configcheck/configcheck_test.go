package configcheck

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/objects"
)

func digest(key string) ingress.KeyDigest {
	d, _ := ingress.DigestKey(key)
	return d
}

// valid returns a configuration without findings.
func valid() *Config {
	route := func(name, prefix string) *ingress.Route {
		return &ingress.Route{
			Name: name, Host: "a.example", Prefix: prefix, Kind: ingress.Stream, Resumable: true, Timeout: 8 * time.Second,
			LatencyObjective: time.Second, GapObjective: time.Second, MaxAttempts: 3, TrafficSplit: []ingress.WeightedService{{Service: "s", Weight: 1}},
		}
	}
	team := func(name string) *ingress.Team {
		return &ingress.Team{Name: name, Keys: []ingress.KeyDigest{digest("key-" + name)}, Limit: ingress.TeamLimit{PerSecond: 5, Burst: 100, Tokens: true, PlainTokens: 10}}
	}
	return &Config{
		Version:  Entry[uint64]{"version", 7},
		Limits:   Entry[ingress.Limits]{"limits", ingress.Limits{MaxHeaderBytes: 1, MaxBodyBytes: 1}},
		Routes:   []Entry[*ingress.Route]{{"r0", route("x", "/x/")}, {"r1", route("y", "/y/")}},
		Services: []Entry[*ingress.Service]{{"s0", &ingress.Service{Name: "s"}}},
		Teams:    []Entry[*ingress.Team]{{"t0", team("a")}, {"t1", team("b")}},
	}
}

var options = Options{Regions: []string{"north", "west"}, LargestRequest: 100}

// Guards against a finding that is missed, has another place or severity, or brings others with it.
func TestEachFindingIsReportedOnceAtItsPlace(t *testing.T) {
	route := func(c *Config) *ingress.Route { return c.Routes[1].Value }
	team := func(c *Config) *ingress.Team { return c.Teams[1].Value }
	for _, test := range []struct {
		edit  func(c *Config)
		wants string
	}{
		{func(c *Config) {}, ""},
		{func(c *Config) { route(c).Name = "x" }, `r1: the name "x" is that of r0`},
		{func(c *Config) { route(c).Name = "" }, `r1: empty name`},
		{func(c *Config) { c.Services = append(c.Services, Entry[*ingress.Service]{"s1", c.Services[0].Value}) }, `s1: the name "s" is that of s0`},
		{func(c *Config) { team(c).Name = "a" }, `t1: the name "a" is that of t0`},
		{func(c *Config) { route(c).TrafficSplit[0].Service = "z" }, `r1: goes to the unknown service "z"`},
		{func(c *Config) { route(c).TrafficSplit = nil }, `r1: goes to no service`},
		{func(c *Config) { route(c).Prefix = "" }, `r1: the prefix "" doesn't begin and end with a slash`},
		{func(c *Config) { route(c).Prefix = "/y" }, `r1: the prefix "/y" doesn't begin and end with a slash`},
		{func(c *Config) { route(c).Prefix = "y/" }, `r1: the prefix "y/" doesn't begin and end with a slash`},
		{func(c *Config) { route(c).Kind = ingress.Safe }, `r1: resumable, but of kind safe`},
		{func(c *Config) { route(c).Prefix, route(c).Host = "/x/", "A.example" }, `r1: never matches: r0 has the same host "A.example" and prefix "/x/"`},
		{func(c *Config) { team(c).Keys = c.Teams[0].Value.Keys }, `t1: key 0 never matches: t0 has it`},
		{func(c *Config) { team(c).Keys = append(team(c).Keys, team(c).Keys[0]) }, `t1: warning: key 1 of the team is one that it has already`},
		{func(c *Config) { team(c).Keys = nil }, `t1: warning: never matches: the team has no keys`},
		{func(c *Config) { route(c).HomeRegions = []string{"nowhere"} }, `r1: no home region has a failure domain: ["nowhere"]`},
		{func(c *Config) { team(c).HomeRegions = []string{"nowhere"} }, `t1: no home region has a failure domain: ["nowhere"]`},
		{func(c *Config) { team(c).HomeRegions = []string{"west", "nowhere"} }, `t1: warning: home regions without a failure domain: ["nowhere"]`},
		{func(c *Config) { route(c).HomeRegions, team(c).HomeRegions = []string{"west"}, []string{"north"} }, `t1: warning: the home regions exclude those of 1 routes, such as r1`},
		{func(c *Config) {
			c.Routes[0].Value.Public = true
			route(c).HomeRegions, team(c).HomeRegions = []string{"west"}, []string{"north"}
		}, `t1: the home regions exclude those of all routes that need a key`},
		{func(c *Config) { team(c).Limit.Burst = 9 }, `t1: the burst 9 is below one plain request of 10`},
		{func(c *Config) { team(c).Limit.Tokens, team(c).Limit.Burst = false, 0.5 }, `t1: the burst 0.5 is below one plain request of 1`},
		{func(c *Config) { team(c).Limit.Burst = 99 }, `t1: the burst 99 is below the largest stated request of 100`},
		{func(c *Config) { team(c).Limit.Burst = 0 }, `t1: a rate of 5 with a burst of zero`},
		{func(c *Config) { team(c).Limit.PerSecond = 0 }, `t1: warning: a burst of 100 has no effect without a rate`},
		{func(c *Config) { route(c).LatencyObjective = 9 * time.Second }, `r1: the timeout 8s is below the latency objective 9s`},
		{func(c *Config) { route(c).GapObjective = 9 * time.Second }, `r1: the gap objective 9s is above the timeout 8s`},
		{func(c *Config) { route(c).Resumable = false }, `r1: warning: 3 attempts, but requests of kind stream that may have run aren't repeated`},
		{func(c *Config) { c.Limits.Value.MaxBodyBytes = 0 }, `limits: a body limit of zero means no limit`},
	} {
		config := valid()
		test.edit(config)
		if got := lines(Check(config, options)); got != test.wants {
			t.Errorf("got  %s\nwant %s", got, test.wants)
		}
	}
}

func lines(findings []objects.Fault) string {
	var list []string
	for _, f := range findings {
		list = append(list, f.String())
	}
	return strings.Join(list, "\n")
}

// Guards against differences that are missed, and against a version that VMs would ignore.
func TestDiffListsWhatIsAddedRemovedAndChanged(t *testing.T) {
	is := is.New(t)
	next := valid()
	is.Equal(lines(Diff(valid(), next)), "version: the version 7 doesn't increase; 7 is in force")
	next.Version.Value = 8
	is.Equal(lines(Diff(valid(), next)), "")
	next.Routes[0].Value.Timeout, next.Routes[1].Value.Name = 9*time.Second, "z"
	next.Services[0].Value.MaxConnections = 4
	next.Teams[0].Value.Keys = []ingress.KeyDigest{digest("c"), digest("d")}
	next.Teams[1].Value.Limit.PerSecond = 6
	next.Limits.Value.MaxBodyBytes = 2
	is.Equal(lines(Diff(valid(), next)), strings.Join([]string{
		`route y: change: removed`,
		`route x: r0: change: timeout 8s -> 9s`,
		`route z: r1: change: added`,
		`service s: s0: change: connections 0 -> 4`,
		`team a: t0: change: 2 keys added; 1 keys removed`,
		`team b: t1: change: rate 5 -> 6`,
		`limits: change: body bytes 1 -> 2`,
	}, "\n"))
}
