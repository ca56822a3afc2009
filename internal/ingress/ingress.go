// Package ingress holds the configuration that maps callers' requests to
// services: routes by host and path prefix, services and limits on callers.
//
// A Table is immutable; a new configuration replaces it whole.
package ingress

import (
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

// The kinds of routes.
const (
	// Unsafe requests run at most once. It is the zero value, so that a route
	// of unknown kind is never repeated.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a series of events.
	Stream
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	default:
		return "unsafe"
	}
}

// WeightedService is a service's part of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route says how the requests of one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyObjective bounds the time to the answer, or to the first event
	// of a stream, for full credit. GapObjective bounds the pauses between
	// events. Zero means that none is stated.
	LatencyObjective time.Duration
	GapObjective     time.Duration
	// AbandonAfter is how long callers wait for the first event of a stream before
	// they leave; zero means until their deadline.
	AbandonAfter time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// RelativePriority is the route's place among the priorities of the routes to its
	// service: 0 for the most urgent and 1 for those that yield to all. NewTable
	// sets it.
	RelativePriority float64
	// MaxAttempts bounds the backend servers at which a request may run.
	MaxAttempts  int
	TrafficSplit []WeightedService
	// Resumable streams may go on at another backend server after the last
	// event that was delivered.
	Resumable bool
	// HomeRegions are the regions that may serve the route; empty means all.
	HomeRegions []string
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Permits reports whether the region may serve the route.
func (r *Route) Permits(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// PickService picks one of the route's services by weight. Draw is uniform in
// [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, s := range r.TrafficSplit {
		total += s.Weight
	}
	left := draw * total
	for _, s := range r.TrafficSplit {
		left -= s.Weight
		if left < 0 {
			return s.Service
		}
	}
	if len(r.TrafficSplit) == 0 {
		return ""
	}
	return r.TrafficSplit[len(r.TrafficSplit)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// MemoryTokens is the memory shared by running requests and cached parts.
	MemoryTokens int
	// EventTokens is the number of tokens in an event of a stream.
	EventTokens int
}

// Service is a group of backend servers that answer alike.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections to one backend server, of all
	// callers together.
	MaxConnections int
	// ColdPeriod is how long a backend server stays cold after its start, and
	// ColdPerSecond how many requests a second it tolerates in that time.
	// Zero means no bound.
	ColdPeriod            time.Duration
	ColdRequestsPerSecond float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	// MaxBodyBytes is zero where none is stated.
	MaxBodyBytes int64
}

// Table is one configuration.
type Table struct {
	// Version is the operators' number of the configuration.
	Version  uint64
	Limits   Limits
	Services map[string]*Service
	hosts    map[string][]*Route
}

// NewTable returns the table of the given parts.
func NewTable(version uint64, routes []*Route, services []*Service, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits,
		Services: make(map[string]*Service, len(services)),
		hosts:    map[string][]*Route{},
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	setRelativePriorities(routes)
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// setRelativePriorities sets each route's place among those that share its first
// service.
func setRelativePriorities(routes []*Route) {
	priorities := map[string][]int{}
	for _, r := range routes {
		if len(r.TrafficSplit) > 0 {
			service := r.TrafficSplit[0].Service
			priorities[service] = append(priorities[service], r.Priority)
		}
	}
	for service, list := range priorities {
		slices.Sort(list)
		priorities[service] = slices.Compact(list)
	}
	for _, r := range routes {
		r.RelativePriority = 0.5 // all are alike
		if len(r.TrafficSplit) == 0 {
			continue
		}
		if list := priorities[r.TrafficSplit[0].Service]; len(list) > 1 {
			r.RelativePriority = float64(slices.Index(list, r.Priority)) / float64(len(list)-1)
		}
	}
}

// Match returns the route of the host with the longest prefix of path, or nil.
// The host may bear a port.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	list, ok := t.hosts[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			list = t.hosts[host[:i]]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HomeRegions returns the regions that most of the host's bound routes permit;
// bound is false where no route of the host has homes.
func (t *Table) HomeRegions(host string) (homes []string, bound bool) {
	permits, most := map[string]int{}, 0
	for _, r := range t.hosts[strings.ToLower(host)] {
		for _, region := range r.HomeRegions {
			permits[region]++
			most = max(most, permits[region])
		}
	}
	for region, n := range permits {
		if n == most {
			homes = append(homes, region)
		}
	}
	slices.Sort(homes)
	return homes, most > 0
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	n := 0
	for _, list := range t.hosts {
		n += len(list)
	}
	return n
}
