package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/objects"
)

// Kinds of entries in differences.
const (
	kindRoute   objects.Kind = "route"
	kindService objects.Kind = "service"
	kindTeam    objects.Kind = "team"
)

// attribute is a named value of an entry as text.
type attribute struct{ name, value string }

func attributeOf(name string, value any) attribute { return attribute{name, fmt.Sprint(value)} }

// Diff returns the differences of a configuration from the one in force. A version that
// doesn't increase is an error: it would not be put in force.
func Diff(inForce, next *Config) []objects.Fault {
	c := &checker{}
	if next.Version.Value <= inForce.Version.Value {
		c.errorf(next.Version.Place, "the version %d doesn't increase; %d is in force", next.Version.Value, inForce.Version.Value)
	}
	diffEntries(c, kindRoute, inForce.Routes, next.Routes, func(r *ingress.Route) string { return r.Name }, diffOf(routeAttributes))
	diffEntries(c, kindService, inForce.Services, next.Services, func(s *ingress.Service) string { return s.Name }, diffOf(serviceAttributes))
	diffEntries(c, kindTeam, inForce.Teams, next.Teams, func(t *ingress.Team) string { return t.Name }, diffTeams)
	for _, change := range diffOf(limitAttributes)(inForce.Limits.Value, next.Limits.Value) {
		c.add(objects.SeverityChange, next.Limits.Place, "%s", change)
	}
	return c.findings
}

// diffEntries compares the entries by name. Of several with the same name the first counts.
func diffEntries[T any](c *checker, kind objects.Kind, before, after []Entry[T], nameOf func(T) string, diff func(before, after T) []string) {
	report := func(place, name, message string) {
		c.findings = append(c.findings, objects.Fault{Severity: objects.SeverityChange, Kind: kind, Name: name, Field: place, Message: message})
	}
	old, next := byName(before, nameOf), byName(after, nameOf)
	for _, e := range before {
		if _, exists := next[nameOf(e.Value)]; !exists {
			report("", nameOf(e.Value), "removed")
		}
	}
	for _, e := range after {
		name := nameOf(e.Value)
		if next[name].Place != e.Place {
			continue
		}
		was, exists := old[name]
		if !exists {
			report(e.Place, name, "added")
			continue
		}
		if changes := diff(was.Value, e.Value); len(changes) > 0 {
			report(e.Place, name, strings.Join(changes, "; "))
		}
	}
}

func byName[T any](entries []Entry[T], nameOf func(T) string) map[string]Entry[T] {
	index := make(map[string]Entry[T], len(entries))
	for _, e := range entries {
		if _, exists := index[nameOf(e.Value)]; !exists {
			index[nameOf(e.Value)] = e
		}
	}
	return index
}

// diffOf returns a function that compares the attributes of two entries.
func diffOf[T any](attributes func(T) []attribute) func(before, after T) []string {
	return func(before, after T) []string {
		var changes []string
		old := attributes(before)
		for i, a := range attributes(after) {
			if a != old[i] {
				changes = append(changes, fmt.Sprintf("%s %s -> %s", a.name, old[i].value, a.value))
			}
		}
		return changes
	}
}

func routeAttributes(r *ingress.Route) []attribute {
	return []attribute{
		attributeOf("host", r.Host), attributeOf("prefix", r.Prefix), attributeOf("kind", r.Kind),
		attributeOf("timeout", r.Timeout), attributeOf("latency objective", r.LatencyObjective),
		attributeOf("gap objective", r.GapObjective), attributeOf("priority", r.Priority),
		attributeOf("attempts", r.MaxAttempts), attributeOf("services", r.TrafficSplit),
		attributeOf("resumable", r.Resumable), attributeOf("home regions", r.HomeRegions), attributeOf("public", r.Public),
	}
}

func serviceAttributes(s *ingress.Service) []attribute {
	engine := "none"
	if s.Engine != nil {
		engine = fmt.Sprintf("%+v", *s.Engine)
	}
	return []attribute{
		attributeOf("health path", s.HealthPath), attributeOf("connections", s.MaxConnections),
		attributeOf("cold period", s.ColdPeriod), attributeOf("cold rate", s.ColdRequestsPerSecond), attributeOf("engine", engine),
	}
}

func limitAttributes(l ingress.Limits) []attribute {
	return []attribute{attributeOf("header bytes", l.MaxHeaderBytes), attributeOf("body bytes", l.MaxBodyBytes)}
}

func teamAttributes(t *ingress.Team) []attribute {
	return []attribute{
		attributeOf("priority", t.Priority), attributeOf("rate", t.Limit.PerSecond), attributeOf("burst", t.Limit.Burst),
		attributeOf("counts tokens", t.Limit.Tokens), attributeOf("plain tokens", t.Limit.PlainTokens),
		attributeOf("home regions", t.HomeRegions),
	}
}

// diffTeams states how many keys were added and removed, and never the keys or their digests.
func diffTeams(before, after *ingress.Team) []string {
	changes := diffOf(teamAttributes)(before, after)
	if n := countMissing(after.Keys, before.Keys); n > 0 {
		changes = append(changes, fmt.Sprintf("%d keys added", n))
	}
	if n := countMissing(before.Keys, after.Keys); n > 0 {
		changes = append(changes, fmt.Sprintf("%d keys removed", n))
	}
	return changes
}

// countMissing returns how many of the keys aren't in the list.
func countMissing(keys, list []ingress.KeyDigest) int {
	n := 0
	for _, key := range keys {
		if !slices.Contains(list, key) {
			n++
		}
	}
	return n
}
