package objects

import (
	"fmt"
	"slices"
	"strings"
)

var algorithms = []string{AlgorithmExpectedCompletion, AlgorithmHomeRoundRobin, AlgorithmLeastLoad}

func (c *checker) checkPolicies() {
	for _, name := range sortedNames(c.set.Policies) {
		spec := c.set.Policies[name].Spec
		if !slices.Contains(algorithms, spec.Algorithm) {
			c.addFault(KindPolicy, name, "spec.algorithm", fmt.Sprintf("unknown algorithm %q", spec.Algorithm),
				didYouMean(spec.Algorithm, algorithms))
		}
		c.checkNotNegative(KindPolicy, name, "spec.costWeight", spec.CostWeight)
		c.checkNotNegative(KindPolicy, name, "spec.shareAwayWeight", spec.ShareAwayWeight)
		if !(spec.RetryBudget >= 0 && spec.RetryBudget <= maxRetryBudget) {
			c.addFault(KindPolicy, name, "spec.retryBudget", fmt.Sprintf("%v isn't between 0 and %v", spec.RetryBudget, maxRetryBudget), "0.1 is a tenth of the requests")
		}
		c.checkPolicyTimes(name, spec)
	}
}

func (c *checker) checkPolicyTimes(name string, spec PolicySpec) {
	if spec.KeyWindow <= 0 || spec.KeyWindow.AsDuration() > maxKeyWindow {
		c.addFault(KindPolicy, name, "spec.keyWindow", fmt.Sprintf("%v isn't above 0s and at most %v", spec.KeyWindow.AsDuration(), maxKeyWindow), "write for example 10m")
	}
	if spec.MaxConfigAge.AsDuration() < minMaxConfigAge {
		c.addFault(KindPolicy, name, "spec.maxConfigAge", fmt.Sprintf("%v is below %v", spec.MaxConfigAge.AsDuration(), minMaxConfigAge),
			"a configuration is confirmed every few seconds at best")
	}
	if spec.MaxQueue <= 0 {
		c.addFault(KindPolicy, name, "spec.maxQueue", fmt.Sprintf("%v isn't above 0s", spec.MaxQueue.AsDuration()), "")
	}
	if spec.HedgeAfter < 0 {
		c.addFault(KindPolicy, name, "spec.hedgeAfter", fmt.Sprintf("%v is below 0s", spec.HedgeAfter.AsDuration()), "leave it out for no hedging")
	}
	if spec.SlowStart < 0 {
		c.addFault(KindPolicy, name, "spec.slowStart", fmt.Sprintf("%v is below 0s", spec.SlowStart.AsDuration()), "leave it out for none")
	}
}

func (c *checker) checkRoutes() {
	routesOf := map[string][]string{}
	for _, name := range sortedNames(c.set.Routes) {
		spec := c.set.Routes[name].Spec
		c.checkTarget(KindRoute, name, spec.Model, spec.Service)
		c.checkRegionList(KindRoute, name, spec.Regions)
		checkReference(c, KindRoute, name, "spec.policy", spec.Policy, KindPolicy, c.set.Policies)
		target := spec.Model + spec.Service
		routesOf[target] = append(routesOf[target], name)
	}
	c.checkSingleRoute(KindModel, sortedNames(c.set.Models), routesOf)
	c.checkSingleRoute(KindService, sortedNames(c.set.Services), routesOf)
}

func (c *checker) checkSingleRoute(kind Kind, targets []string, routesOf map[string][]string) {
	for _, target := range targets {
		routes := routesOf[target]
		if len(routes) == 0 {
			c.addFault(kind, target, "", "there is no route to it", fmt.Sprintf("add a Route with %s: %s", strings.ToLower(string(kind)), target))
			continue
		}
		for _, extra := range routes[1:] {
			c.addFault(KindRoute, extra, "", fmt.Sprintf("%s %s has the route %s already", kind, target, routes[0]), "remove one")
		}
	}
}

// checkReachability records a fault for each route that no backend server can
// serve, and for each residency rule in use under which none can.
func (c *checker) checkReachability() {
	if s := c.set.sources; s != nil && len(s.undecodable) > 0 {
		return // A missing backend server may be among the objects that could not be decoded.
	}
	rules := c.rulesInUse()
	for _, name := range sortedNames(c.set.Routes) {
		spec := c.set.Routes[name].Spec
		target := spec.Model + spec.Service
		if c.set.Models[spec.Model] == nil && c.set.Services[spec.Service] == nil {
			continue // checkRoutes has already reported the missing target.
		}
		serving := c.servingRegions(target)
		if len(serving) == 0 {
			c.addFault(KindRoute, name, "spec.regions", "no backend server of "+target+" is in the route's regions",
				"add a BackendServer with role serve, or widen the route")
			continue
		}
		for _, rule := range rules {
			c.checkRuleReachesRoute(rule, name, serving)
		}
	}
}

func (c *checker) checkRuleReachesRoute(rule, route string, serving []string) {
	for _, region := range c.set.ResidencyRules[rule].Spec.Regions {
		if slices.Contains(serving, region) {
			return
		}
	}
	c.addFault(KindResidencyRule, rule, "spec.regions",
		fmt.Sprintf("route %s has nowhere to run for teams under the rule", route),
		"backend servers that the route allows are in: "+strings.Join(serving, ", "))
}

// rulesInUse returns the names of the existing rules that at least one team
// refers to, sorted. Rules without regions are left out.
func (c *checker) rulesInUse() []string {
	used := map[string]bool{}
	for _, team := range c.set.Teams {
		if rule := c.set.ResidencyRules[team.Spec.Residency]; rule != nil && len(rule.Spec.Regions) > 0 {
			used[team.Spec.Residency] = true
		}
	}
	return sortedNames(used)
}

// servingRegions returns the sorted regions that the target's route allows and
// that have a backend server for the target which isn't on standby.
func (c *checker) servingRegions(target string) []string {
	found := map[string]bool{}
	for _, b := range c.set.BackendsOf(target) {
		region := c.set.RegionOf(b.Spec.FailureDomain)
		if region != "" && b.Spec.Role != RoleStandby && c.set.RouteAllows(target, region) {
			found[region] = true
		}
	}
	regions := sortedNames(found)
	return regions
}
