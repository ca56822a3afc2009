package ctl

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/objects"
)

// ExplainCommand says where a team's requests may run.
type ExplainCommand struct {
	Dir     string        `arg:"" help:"Directory of YAML files or of a bundle, or URL of the configuration service."`
	Team    string        `required:"" help:"The caller's team."`
	Target  string        `required:"" help:"The model or service."`
	Region  string        `help:"Region of the gateway that gets the request; the team's home where it isn't given."`
	Gateway string        `help:"IP:port of a gateway's operators' port, to add what it knows of the backend servers."`
	Timeout time.Duration `default:"5s" help:"Bound on the call of the gateway."`
}

// Run implements the command.
func (c *ExplainCommand) Run(env *Env) error {
	set, err := loadAny(c.Dir)
	if err != nil {
		return err
	}
	if err := c.known(set); err != nil {
		return err
	}
	var live *gatewayState
	if c.Gateway != "" {
		if live, err = fetchState(c.Gateway, c.Timeout); err != nil {
			return err
		}
	}
	e := Explain(set, c.Team, c.Target, c.Region)
	e.print(env, live)
	if !e.Runs() {
		return errFound
	}
	return nil
}

func (c *ExplainCommand) known(set *objects.Set) error {
	if set.Teams[c.Team] == nil {
		return ErrUnknown.New("there is no Team %q", c.Team)
	}
	if set.Models[c.Target] == nil && set.Services[c.Target] == nil {
		return ErrUnknown.New("there is no Model or Service %q", c.Target)
	}
	if c.Region != "" && set.Regions[c.Region] == nil {
		return ErrUnknown.New("there is no Region %q", c.Region)
	}
	return nil
}

// Explanation says where requests of a team for a target may run.
type Explanation struct {
	Team   string
	Target string
	// From is the region of the gateway that gets the request.
	From string
	// Entry says why a gateway there refuses the request; "" means that it
	// takes it.
	Entry     string
	Algorithm string
	Regions   []RegionExplanation
}

// RegionExplanation is what holds of one region.
type RegionExplanation struct {
	Region string
	// Refused says why the region may not serve; "" means that it may.
	Refused string
	// Link is the path from the gateway's region; nil at home.
	Link    *objects.Link
	Servers []ServerExplanation
}

// ServerExplanation is what holds of one backend server.
type ServerExplanation struct {
	Name          string
	FailureDomain string
	// Refused says why the server gets no request; "" means that it may.
	Refused string
}

// Explain follows a request of the team for the target that arrives in the
// region from, or in the team's home where from is "". All three must exist.
func Explain(set *objects.Set, team, target, from string) *Explanation {
	if from == "" {
		from = set.Teams[team].Spec.Home
	}
	e := &Explanation{Team: team, Target: target, From: from}
	if policy := set.PolicyOf(target); policy != nil {
		e.Algorithm = policy.Spec.Algorithm
	}
	if !set.Permits(team, from) {
		e.Entry = fmt.Sprintf("ResidencyRule %s doesn't permit %s: the gateway answers 421 with other entries", set.Teams[team].Spec.Residency, from)
	}
	names := make([]string, 0, len(set.Regions))
	for name := range set.Regions {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		if (names[i] == from) != (names[j] == from) {
			return names[i] == from
		}
		return names[i] < names[j]
	})
	for _, name := range names {
		e.Regions = append(e.Regions, explainRegion(set, e, name))
	}
	return e
}

func explainRegion(set *objects.Set, e *Explanation, region string) RegionExplanation {
	r := RegionExplanation{Region: region, Servers: explainServers(set, e.Target, region)}
	if region != e.From {
		r.Link = set.LinkBetween(e.From, region)
	}
	switch {
	case !set.Permits(e.Team, region):
		r.Refused = "ResidencyRule " + set.Teams[e.Team].Spec.Residency + " doesn't permit the region"
	case e.Entry != "":
		r.Refused = "the gateway refuses the request"
	case !set.RouteAllows(e.Target, region):
		r.Refused = "Route " + set.RouteOf(e.Target).Name + " doesn't list the region"
	case region != e.From && r.Link == nil:
		r.Refused = "there is no link from " + e.From
	case region != e.From && e.Algorithm == objects.AlgorithmHomeRoundRobin:
		r.Refused = "the policy's algorithm stays at home"
	case !r.anyServer():
		r.Refused = "no backend server may serve"
	}
	return r
}

func explainServers(set *objects.Set, target, region string) []ServerExplanation {
	var servers []ServerExplanation
	for _, b := range set.BackendsOf(target) {
		if set.RegionOf(b.Spec.FailureDomain) != region {
			continue
		}
		s := ServerExplanation{Name: b.Name, FailureDomain: b.Spec.FailureDomain}
		if b.Spec.Role == objects.RoleStandby {
			s.Refused = "held in reserve"
		}
		servers = append(servers, s)
	}
	return servers
}

func (r *RegionExplanation) anyServer() bool {
	for _, s := range r.Servers {
		if s.Refused == "" {
			return true
		}
	}
	return false
}

// Runs reports whether the request may run anywhere.
func (e *Explanation) Runs() bool {
	for _, r := range e.Regions {
		if r.Refused == "" {
			return true
		}
	}
	return false
}

func (e *Explanation) print(env *Env, live *gatewayState) {
	fmt.Fprintf(env.Out, "team %s, target %s, arriving in %s, algorithm %s\n", e.Team, e.Target, e.From, e.Algorithm)
	if e.Entry != "" {
		fmt.Fprintln(env.Out, "refused on arrival:", e.Entry)
	}
	if live != nil {
		fmt.Fprintln(env.Out, live.summary())
	}
	for _, r := range e.Regions {
		fmt.Fprintf(env.Out, "%s: %s%s\n", r.Region, mayServe(r.Refused), describeLink(r.Link))
		for _, s := range r.Servers {
			fmt.Fprintf(env.Out, "  %s (%s): %s%s\n", s.Name, s.FailureDomain, inService(s.Refused), live.server(s.Name))
		}
	}
}

func mayServe(refused string) string {
	if refused == "" {
		return "may serve"
	}
	return "may not serve: " + refused
}

func inService(refused string) string {
	if refused == "" {
		return "in service"
	}
	return refused
}

func describeLink(link *objects.Link) string {
	if link == nil {
		return ""
	}
	return strings.Join([]string{
		fmt.Sprintf(", %v away one way", link.Delay.AsDuration()),
		fmt.Sprintf("%v megabits a second", link.MegabitsPerSecond),
		fmt.Sprintf("%v a megabit", link.CostPerMegabit),
	}, ", ")
}
