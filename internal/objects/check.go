package objects

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Bounds of valid values.
const (
	maxNameBytes      = 128
	maxRetryBudget    = 1.0
	maxKeyWindow      = 24 * time.Hour
	minMaxConfigAge   = 5 * time.Second
	minNotRunStatus   = 400
	maxNotRunStatus   = 599
	maxLinkDelay      = 10 * time.Second
	maxConcurrency    = 1 << 16
	maxServiceSeconds = 3600
)

// The roles of backend servers.
const (
	RoleServe = "serve"
	// RoleStandby marks a reserve replica. It serves no requests unless its
	// engine reports the model as loaded.
	RoleStandby = "standby"
)

// validName reports whether a name consists of letters, digits, '.', '_' and '-'
// and begins with a letter or digit. Such a name is safe in a URL path.
func validName(name string) bool {
	for i := range len(name) {
		switch c := name[i]; {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		case i > 0 && (c == '.' || c == '_' || c == '-'):
		default:
			return false
		}
	}
	return name != ""
}

// checker validates a set and collects its faults.
type checker struct {
	set    *Set
	faults []Fault
}

// Check returns all faults of the set, or nil. Index must have been called. The
// result depends on the objects only, so that all processes accept or reject the
// same configuration.
func (s *Set) Check() []Fault {
	c := &checker{set: s}
	c.checkNames()
	c.checkRegions()
	c.checkFailureDomains()
	c.checkModels()
	c.checkBackendServers()
	c.checkServices()
	c.checkRoutes()
	c.checkResidencyRules()
	c.checkTeams()
	c.checkPolicies()
	c.checkLimits()
	c.checkReachability()
	sortFaults(c.faults)
	return c.faults
}

// addFault records a fault in a field of an object. Objects that could not be
// decoded are skipped, as their fault is already recorded.
func (c *checker) addFault(kind Kind, name, field, message, suggestion string) {
	f := Fault{Kind: kind, Name: name, Field: field, Message: message, Suggestion: suggestion}
	if s := c.set.sources; s != nil {
		id := objectID{kind, name}
		if s.undecodable[id] {
			return
		}
		at, ok := s.positions[id][field]
		if !ok {
			at = s.positions[id][""]
		}
		f.File, f.Line = at.file, at.line
	}
	c.faults = append(c.faults, f)
}

// checkReference records a fault unless to is the name of an existing object of
// kind toKind. It reports whether the object exists.
func checkReference[T any](c *checker, kind Kind, name, field, to string, toKind Kind, among map[string]T) bool {
	if _, ok := among[to]; ok {
		return true
	}
	if to == "" {
		c.addFault(kind, name, field, fmt.Sprintf("the name of a %s is missing", toKind), didYouMean("", sortedNames(among)))
		return false
	}
	c.addFault(kind, name, field, fmt.Sprintf("there is no %s %q", toKind, to), didYouMean(to, sortedNames(among)))
	return false
}

// checkPositive records a fault unless value is above zero. NaN is a fault.
func (c *checker) checkPositive(kind Kind, name, field string, value float64) {
	if !(value > 0) {
		c.addFault(kind, name, field, fmt.Sprintf("%v isn't above zero", value), "")
	}
}

// checkNotNegative records a fault if value is below zero or NaN.
func (c *checker) checkNotNegative(kind Kind, name, field string, value float64) {
	if !(value >= 0) {
		c.addFault(kind, name, field, fmt.Sprintf("%v is below zero", value), "leave it out for none")
	}
}

func (c *checker) checkNames() {
	for _, o := range c.set.Objects() {
		if len(o.Name) > maxNameBytes {
			c.addFault(o.Kind, o.Name, "name", fmt.Sprintf("the name is longer than %d bytes", maxNameBytes), "")
		}
		if !validName(o.Name) {
			c.addFault(o.Kind, o.Name, "name", "the name has characters that aren't allowed",
				"use letters, digits, '.', '_' and '-', and begin with a letter or digit")
		}
	}
	for _, name := range sortedNames(c.set.Models) {
		if c.set.Services[name] != nil {
			c.addFault(KindService, name, "name", "a Model has the same name", "rename one: callers name both alike")
		}
	}
}

func (c *checker) checkRegions() {
	if len(c.set.Regions) == 0 {
		c.faults = append(c.faults, Fault{Message: "there is no Region, so that nothing could be served", Suggestion: "add one"})
	}
	for _, name := range sortedNames(c.set.Regions) {
		seen := map[string]bool{}
		for i, link := range c.set.Regions[name].Spec.Links {
			field := fmt.Sprintf("spec.links[%d]", i)
			c.checkLink(name, field, link)
			if seen[link.To] {
				c.addFault(KindRegion, name, field+".to", fmt.Sprintf("there are two links to %q", link.To), "remove one")
			}
			seen[link.To] = true
		}
		if !c.hasFailureDomain(name) {
			c.addFault(KindRegion, name, "", "no failure domain is in the region", "add a FailureDomain with region: "+name)
		}
	}
}

func (c *checker) hasFailureDomain(region string) bool {
	for _, fd := range c.set.FailureDomains {
		if fd.Spec.Region == region {
			return true
		}
	}
	return false
}

func (c *checker) checkLink(name, field string, link Link) {
	if link.To == name {
		c.addFault(KindRegion, name, field+".to", "the link leads to its own region", "remove it")
		return
	}
	if !checkReference(c, KindRegion, name, field+".to", link.To, KindRegion, c.set.Regions) {
		return
	}
	if c.set.LinkBetween(link.To, name) == nil {
		c.addFault(KindRegion, name, field+".to", fmt.Sprintf("%q has no link back", link.To),
			fmt.Sprintf("add a link to %q to Region %s", name, link.To))
	}
	if link.Delay < 0 || link.Delay.AsDuration() > maxLinkDelay {
		c.addFault(KindRegion, name, field+".delay", fmt.Sprintf("%v isn't between 0s and %v", link.Delay.AsDuration(), maxLinkDelay), "")
	}
	c.checkPositive(KindRegion, name, field+".megabitsPerSecond", link.MegabitsPerSecond)
	c.checkNotNegative(KindRegion, name, field+".costPerMegabit", link.CostPerMegabit)
}

func (c *checker) checkFailureDomains() {
	for _, name := range sortedNames(c.set.FailureDomains) {
		checkReference(c, KindFailureDomain, name, "spec.region", c.set.FailureDomains[name].Spec.Region, KindRegion, c.set.Regions)
	}
}

func (c *checker) checkModels() {
	for _, name := range sortedNames(c.set.Models) {
		spec := c.set.Models[name].Spec
		if spec.Version == "" {
			c.addFault(KindModel, name, "spec.version", "the version is missing", "")
		}
		c.checkPositive(KindModel, name, "spec.maxOutputTokens", float64(spec.MaxOutputTokens))
		c.checkPositive(KindModel, name, "spec.secondsPerToken", spec.SecondsPerToken)
		c.checkNotNegative(KindModel, name, "spec.secondsPerPromptToken", spec.SecondsPerPromptToken)
		c.checkNotNegative(KindModel, name, "spec.weightMegabytes", float64(spec.WeightMegabytes))
	}
}

func (c *checker) checkBackendServers() {
	addresses := map[string]string{}
	for _, name := range sortedNames(c.set.BackendServers) {
		spec := c.set.BackendServers[name].Spec
		c.checkAddress(name, spec.Address)
		if other, taken := addresses[spec.Address]; taken && spec.Address != "" {
			c.addFault(KindBackendServer, name, "spec.address", "the address is that of BackendServer "+other, "")
		}
		addresses[spec.Address] = name
		checkReference(c, KindBackendServer, name, "spec.failureDomain", spec.FailureDomain, KindFailureDomain, c.set.FailureDomains)
		c.checkTarget(KindBackendServer, name, spec.Model, spec.Service)
		if spec.Concurrency < 1 || spec.Concurrency > maxConcurrency {
			c.addFault(KindBackendServer, name, "spec.concurrency",
				fmt.Sprintf("%d isn't between 1 and %d", spec.Concurrency, maxConcurrency), "")
		}
		if !slices.Contains([]string{"", RoleServe, RoleStandby}, spec.Role) {
			c.addFault(KindBackendServer, name, "spec.role", fmt.Sprintf("unknown role %q", spec.Role),
				didYouMean(spec.Role, []string{RoleServe, RoleStandby}))
		}
		c.checkNotNegative(KindBackendServer, name, "spec.costPerSecond", spec.CostPerSecond)
	}
}

func (c *checker) checkAddress(name, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		c.addFault(KindBackendServer, name, "spec.address", fmt.Sprintf("%q isn't IP:port", address), "write for example 10.0.0.7:8000; host names aren't looked up")
		return
	}
	if parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		c.addFault(KindBackendServer, name, "spec.address", fmt.Sprintf("%q can't be connected to", address), "give the server's own IP and port")
	}
}

// checkTarget records a fault unless exactly one of model and service is set and
// refers to an existing object.
func (c *checker) checkTarget(kind Kind, name, model, service string) {
	switch {
	case model != "" && service != "":
		c.addFault(kind, name, "spec.service", "both model and service are given", "remove one")
	case model != "":
		checkReference(c, kind, name, "spec.model", model, KindModel, c.set.Models)
	case service != "":
		checkReference(c, kind, name, "spec.service", service, KindService, c.set.Services)
	default:
		c.addFault(kind, name, "spec", "neither model nor service is given", "give one")
	}
}

func (c *checker) checkServices() {
	for _, name := range sortedNames(c.set.Services) {
		calls := c.set.Services[name].Spec.Calls
		if len(calls) == 0 {
			c.addFault(KindService, name, "spec.calls", "there are no calls, so every call is refused", "list the calls")
		}
		seen := map[string]bool{}
		for i, call := range calls {
			field := fmt.Sprintf("spec.calls[%d]", i)
			c.checkCall(name, field, call)
			if id := call.Method + " " + call.PathPrefix; seen[id] {
				c.addFault(KindService, name, field, "the call "+id+" is listed twice", "remove one")
			} else {
				seen[id] = true
			}
		}
	}
}

// methods are the allowed HTTP methods of a call.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

func (c *checker) checkCall(name, field string, call Call) {
	if !slices.Contains(methods, call.Method) {
		c.addFault(KindService, name, field+".method", fmt.Sprintf("unknown method %q", call.Method),
			didYouMean(strings.ToUpper(call.Method), methods))
	}
	if !strings.HasPrefix(call.PathPrefix, "/") {
		c.addFault(KindService, name, field+".pathPrefix", fmt.Sprintf("%q doesn't begin with /", call.PathPrefix), "")
	}
	for _, status := range call.NotRunStatuses {
		if status < minNotRunStatus || status > maxNotRunStatus {
			c.addFault(KindService, name, field+".notRunStatuses",
				fmt.Sprintf("%d isn't between %d and %d", status, minNotRunStatus, maxNotRunStatus), "")
		}
	}
	if !(call.Seconds >= 0 && call.Seconds <= maxServiceSeconds) {
		c.addFault(KindService, name, field+".seconds", fmt.Sprintf("%v isn't between 0 and %d", call.Seconds, maxServiceSeconds), "")
	}
}

func (c *checker) checkResidencyRules() {
	for _, name := range sortedNames(c.set.ResidencyRules) {
		regions := c.set.ResidencyRules[name].Spec.Regions
		if len(regions) == 0 {
			c.addFault(KindResidencyRule, name, "spec.regions", "no region is permitted", "list at least one region")
		}
		c.checkRegionList(KindResidencyRule, name, regions)
	}
}

func (c *checker) checkRegionList(kind Kind, name string, regions []string) {
	seen := map[string]bool{}
	for i, region := range regions {
		field := fmt.Sprintf("spec.regions[%d]", i)
		checkReference(c, kind, name, field, region, KindRegion, c.set.Regions)
		if seen[region] {
			c.addFault(kind, name, field, fmt.Sprintf("%q is listed twice", region), "remove one")
		}
		seen[region] = true
	}
}

func (c *checker) checkTeams() {
	for _, name := range sortedNames(c.set.Teams) {
		spec := c.set.Teams[name].Spec
		checkReference(c, KindTeam, name, "spec.home", spec.Home, KindRegion, c.set.Regions)
		if spec.Residency != "" {
			checkReference(c, KindTeam, name, "spec.residency", spec.Residency, KindResidencyRule, c.set.ResidencyRules)
		}
		if spec.Limits != "" {
			checkReference(c, KindTeam, name, "spec.limits", spec.Limits, KindLimits, c.set.Limits)
		}
		c.checkNotNegative(KindTeam, name, "spec.weight", spec.Weight)
		rule := c.set.ResidencyRules[spec.Residency]
		if rule != nil && c.set.Regions[spec.Home] != nil && !slices.Contains(rule.Spec.Regions, spec.Home) {
			c.addFault(KindTeam, name, "spec.home",
				fmt.Sprintf("ResidencyRule %s doesn't permit the home region %q", spec.Residency, spec.Home),
				"permitted: "+strings.Join(rule.Spec.Regions, ", "))
		}
	}
}

func (c *checker) checkLimits() {
	for _, name := range sortedNames(c.set.Limits) {
		spec := c.set.Limits[name].Spec
		c.checkNotNegative(KindLimits, name, "spec.requestsPerSecond", spec.RequestsPerSecond)
		c.checkNotNegative(KindLimits, name, "spec.tokensPerSecond", spec.TokensPerSecond)
		c.checkNotNegative(KindLimits, name, "spec.concurrent", float64(spec.Concurrent))
		if spec == (LimitsSpec{}) {
			c.addFault(KindLimits, name, "spec", "nothing is limited", "give a limit, or remove the object")
		}
	}
}
