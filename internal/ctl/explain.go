package ctl

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/objects"
)

// ExplainCommand prints where a team's requests may be served.
type ExplainCommand struct {
	Dir     string        `arg:"" help:"Directory of YAML files or of a bundle, or URL of the configuration service."`
	Team    string        `required:"" help:"Team of the caller."`
	Target  string        `required:"" help:"Name of the model or service."`
	Region  string        `help:"Region of the gateway that receives the request; default: the team's home region."`
	Gateway string        `help:"IP:port of a gateway's operators' port; adds its view of the backend servers."`
	Timeout time.Duration `default:"5s" help:"Timeout of the call to the gateway."`
}

// Run executes the command.
func (c *ExplainCommand) Run(env *Env) error {
	set, err := loadSet(c.Dir)
	if err != nil {
		return err
	}
	if err := c.checkNames(set); err != nil {
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
	if !e.CanBeServed() {
		return errFound
	}
	return nil
}

// checkNames checks that the objects named on the command line exist.
func (c *ExplainCommand) checkNames(set *objects.Set) error {
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

// Explanation describes where requests of a team for a target may be served.
type Explanation struct {
	Team   string
	Target string
	// GatewayRegion is the region of the gateway that receives the request.
	GatewayRegion string
	// EntryRefusal is the reason why the gateway refuses the request on arrival,
	// or "" if it accepts the request.
	EntryRefusal string
	Algorithm    string
	Regions      []RegionExplanation
}

// RegionExplanation describes whether one region may serve the requests.
type RegionExplanation struct {
	Region string
	// RefusalReason is the reason why the region may not serve, or "" if it may.
	RefusalReason string
	// Link is the link from the gateway's region, or nil in that region itself.
	Link    *objects.Link
	Servers []ServerExplanation
}

// ServerExplanation describes whether one backend server may serve the requests.
type ServerExplanation struct {
	Name          string
	FailureDomain string
	// RefusalReason is the reason why the server may not serve, or "" if it may.
	RefusalReason string
}

// Explain explains where a request of the team for the target may be served if
// it arrives in gatewayRegion, or in the team's home region if gatewayRegion is "".
// The named objects must exist in the set.
func Explain(set *objects.Set, team, target, gatewayRegion string) *Explanation {
	if gatewayRegion == "" {
		gatewayRegion = set.Teams[team].Spec.Home
	}
	e := &Explanation{Team: team, Target: target, GatewayRegion: gatewayRegion}
	if policy := set.PolicyOf(target); policy != nil {
		e.Algorithm = policy.Spec.Algorithm
	}
	if !set.Permits(team, gatewayRegion) {
		e.EntryRefusal = fmt.Sprintf("ResidencyRule %s doesn't permit %s: the gateway responds with 421 and other entry VMs", set.Teams[team].Spec.Residency, gatewayRegion)
	}
	names := make([]string, 0, len(set.Regions))
	for name := range set.Regions {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		if (names[i] == gatewayRegion) != (names[j] == gatewayRegion) {
			return names[i] == gatewayRegion
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
	if region != e.GatewayRegion {
		r.Link = set.LinkBetween(e.GatewayRegion, region)
	}
	switch {
	case !set.Permits(e.Team, region):
		r.RefusalReason = "ResidencyRule " + set.Teams[e.Team].Spec.Residency + " doesn't permit the region"
	case e.EntryRefusal != "":
		r.RefusalReason = "the gateway refuses the request"
	case !set.RouteAllows(e.Target, region):
		r.RefusalReason = "Route " + set.RouteOf(e.Target).Name + " doesn't list the region"
	case region != e.GatewayRegion && r.Link == nil:
		r.RefusalReason = "there is no link from " + e.GatewayRegion
	case region != e.GatewayRegion && e.Algorithm == objects.AlgorithmHomeRoundRobin:
		r.RefusalReason = "the policy's algorithm sends no requests to other regions"
	case !r.hasServer():
		r.RefusalReason = "no backend server may serve"
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
			s.RefusalReason = "standby server"
		}
		servers = append(servers, s)
	}
	return servers
}

func (r *RegionExplanation) hasServer() bool {
	for _, s := range r.Servers {
		if s.RefusalReason == "" {
			return true
		}
	}
	return false
}

// CanBeServed reports whether any region may serve the request.
func (e *Explanation) CanBeServed() bool {
	for _, r := range e.Regions {
		if r.RefusalReason == "" {
			return true
		}
	}
	return false
}

func (e *Explanation) print(env *Env, live *gatewayState) {
	fmt.Fprintf(env.Out, "team %s, target %s, arriving in %s, algorithm %s\n", e.Team, e.Target, e.GatewayRegion, e.Algorithm)
	if e.EntryRefusal != "" {
		fmt.Fprintln(env.Out, "refused on arrival:", e.EntryRefusal)
	}
	if live != nil {
		fmt.Fprintln(env.Out, live.summary())
	}
	for _, r := range e.Regions {
		fmt.Fprintf(env.Out, "%s: %s%s\n", r.Region, regionStatus(r.RefusalReason), describeLink(r.Link))
		for _, s := range r.Servers {
			fmt.Fprintf(env.Out, "  %s (%s): %s%s\n", s.Name, s.FailureDomain, serverStatus(s.RefusalReason), live.describeServer(s.Name))
		}
	}
}

func regionStatus(refusalReason string) string {
	if refusalReason == "" {
		return "may serve"
	}
	return "may not serve: " + refusalReason
}

func serverStatus(refusalReason string) string {
	if refusalReason == "" {
		return "in service"
	}
	return refusalReason
}

func describeLink(link *objects.Link) string {
	if link == nil {
		return ""
	}
	return strings.Join([]string{
		fmt.Sprintf(", one-way delay %v", link.Delay.AsDuration()),
		fmt.Sprintf("%v Mbit/s", link.MegabitsPerSecond),
		fmt.Sprintf("cost %v per Mbit", link.CostPerMegabit),
	}, ", ")
}
