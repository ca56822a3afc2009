// Package configcheck checks a decoded routing configuration before it is published: entries
// that can never match, limits that contradict each other, and the differences from the
// configuration in force. It has no I/O, and its findings contain no keys.
package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/objects"
)

// Entry is an entry of a configuration with its place in the document.
type Entry[T any] struct {
	Place string
	Value T
}

// Config is a decoded configuration. Unlike an ingress.Table it keeps entries with the same
// name, in the order of the document.
type Config struct {
	Version  Entry[uint64]
	Limits   Entry[ingress.Limits]
	Routes   []Entry[*ingress.Route]
	Services []Entry[*ingress.Service]
	Teams    []Entry[*ingress.Team]
}

// Options are facts that a configuration doesn't contain.
type Options struct {
	// Regions are the regions with failure domains; if empty, home regions aren't compared
	// with them.
	Regions []string
	// LargestRequest is the largest number of tokens that a request states; 0 if unknown.
	LargestRequest int64
}

type checker struct {
	Options
	findings []objects.Fault
}

func (c *checker) add(severity objects.Severity, place, format string, args ...any) {
	c.findings = append(c.findings, objects.Fault{Severity: severity, Field: place, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) errorf(place, format string, args ...any) {
	c.add(objects.SeverityError, place, format, args...)
}

func (c *checker) warnf(place, format string, args ...any) {
	c.add(objects.SeverityWarning, place, format, args...)
}

// Check returns the findings of a configuration, in the order of its entries.
func Check(config *Config, options Options) []objects.Fault {
	c := &checker{Options: options}
	uniqueNames(c, config.Routes, func(r *ingress.Route) string { return r.Name })
	uniqueNames(c, config.Services, func(s *ingress.Service) string { return s.Name })
	uniqueNames(c, config.Teams, func(t *ingress.Team) string { return t.Name })
	c.checkRoutes(config)
	c.checkKeys(config.Teams)
	for _, t := range config.Teams {
		c.checkRegions(t.Place, t.Value.HomeRegions)
		c.checkLimit(t.Place, t.Value.Limit)
		c.checkExcludedRoutes(t, config.Routes)
	}
	if config.Limits.Value.MaxBodyBytes == 0 {
		c.errorf(config.Limits.Place, "a body limit of zero means no limit")
	}
	return c.findings
}

func uniqueNames[T any](c *checker, entries []Entry[T], nameOf func(T) string) {
	places := map[string]string{}
	for _, e := range entries {
		name := nameOf(e.Value)
		first, exists := places[name]
		switch {
		case name == "":
			c.errorf(e.Place, "empty name")
		case exists:
			c.errorf(e.Place, "the name %q is that of %s", name, first)
		default:
			places[name] = e.Place
		}
	}
}

func (c *checker) checkRoutes(config *Config) {
	services := map[string]bool{}
	for _, s := range config.Services {
		services[s.Value.Name] = true
	}
	type match struct{ host, prefix string }
	places := map[match]string{}
	for _, e := range config.Routes {
		r := e.Value
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			c.errorf(e.Place, "the prefix %q doesn't begin and end with a slash", r.Prefix)
		}
		key := match{strings.ToLower(r.Host), r.Prefix}
		if first, exists := places[key]; exists {
			c.errorf(e.Place, "never matches: %s has the same host %q and prefix %q", first, r.Host, r.Prefix)
		} else {
			places[key] = e.Place
		}
		if len(r.TrafficSplit) == 0 {
			c.errorf(e.Place, "goes to no service")
		}
		for _, split := range r.TrafficSplit {
			if !services[split.Service] {
				c.errorf(e.Place, "goes to the unknown service %q", split.Service)
			}
		}
		c.checkRegions(e.Place, r.HomeRegions)
		c.checkRoute(e.Place, r)
	}
}

// checkRoute checks a route's limits against each other.
func (c *checker) checkRoute(place string, r *ingress.Route) {
	if r.Resumable && r.Kind != ingress.Stream {
		c.errorf(place, "resumable, but of kind %s", r.Kind)
	}
	if r.Timeout < r.LatencyObjective {
		c.errorf(place, "the timeout %v is below the latency objective %v", r.Timeout, r.LatencyObjective)
	}
	if r.Timeout < r.GapObjective {
		c.errorf(place, "the gap objective %v is above the timeout %v", r.GapObjective, r.Timeout)
	}
	if r.MaxAttempts > 1 && !r.Idempotent() {
		c.warnf(place, "%d attempts, but requests of kind %s that may have run aren't repeated", r.MaxAttempts, r.Kind)
	}
}

func (c *checker) checkRegions(place string, homes []string) {
	if len(c.Regions) == 0 || len(homes) == 0 {
		return
	}
	var unknown []string
	for _, home := range homes {
		if !slices.Contains(c.Regions, home) {
			unknown = append(unknown, home)
		}
	}
	switch {
	case len(unknown) == len(homes):
		c.errorf(place, "no home region has a failure domain: %q", unknown)
	case len(unknown) > 0:
		c.warnf(place, "home regions without a failure domain: %q", unknown)
	}
}

// checkKeys reports the teams without keys and the keys that are held twice.
func (c *checker) checkKeys(teams []Entry[*ingress.Team]) {
	holders := map[ingress.KeyDigest]int{}
	for i, e := range teams {
		if len(e.Value.Keys) == 0 {
			c.warnf(e.Place, "never matches: the team has no keys")
		}
		for k, digest := range e.Value.Keys {
			first, held := holders[digest]
			switch {
			case !held:
				holders[digest] = i
			case first == i:
				c.warnf(e.Place, "key %d of the team is one that it has already", k)
			default:
				c.errorf(e.Place, "key %d never matches: %s has it", k, teams[first].Place)
			}
		}
	}
}

func (c *checker) checkLimit(place string, limit ingress.TeamLimit) {
	switch plain := limit.Units(0); {
	case limit.PerSecond == 0:
		if limit.Burst > 0 {
			c.warnf(place, "a burst of %g has no effect without a rate", limit.Burst)
		}
	case limit.Burst == 0:
		c.errorf(place, "a rate of %g with a burst of zero", limit.PerSecond)
	case limit.Burst < float64(plain):
		c.errorf(place, "the burst %g is below one plain request of %d", limit.Burst, plain)
	case limit.Tokens && limit.Burst < float64(c.LargestRequest):
		c.errorf(place, "the burst %g is below the largest stated request of %d", limit.Burst, c.LargestRequest)
	}
}

// checkExcludedRoutes reports the routes that have no home region in common with the team.
// A finding names one of them only, as thousands of teams may exclude the same routes.
func (c *checker) checkExcludedRoutes(team Entry[*ingress.Team], routes []Entry[*ingress.Route]) {
	if len(team.Value.HomeRegions) == 0 {
		return
	}
	var excluded []string
	needKey := 0
	for _, r := range routes {
		if r.Value.Public {
			continue
		}
		needKey++
		if len(r.Value.HomeRegions) > 0 && !slices.ContainsFunc(r.Value.HomeRegions, team.Value.Permits) {
			excluded = append(excluded, r.Place)
		}
	}
	switch {
	case len(excluded) == 0:
	case len(excluded) == needKey:
		c.errorf(team.Place, "the home regions exclude those of all routes that need a key")
	default:
		c.warnf(team.Place, "the home regions exclude those of %d routes, such as %s", len(excluded), excluded[0])
	}
}
