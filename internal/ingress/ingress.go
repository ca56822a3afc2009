// Package ingress defines the routing table that maps callers' requests to
// services: routes by host and path prefix, services, teams, and request size limits.
//
// A Table is immutable. A configuration update replaces the whole table.
package ingress

import (
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a route. It determines whether requests may be executed
// more than once.
type Kind uint8

// The kinds of routes.
const (
	// Unsafe requests are executed at most once. It is the zero value, so that
	// requests of a route of unknown kind are never repeated.
	Unsafe Kind = iota
	// Safe requests may be executed more than once.
	Safe
	// Stream requests have a stream of events as their response.
	Stream
)

// String returns the name of the kind for logs.
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

// WeightedService is a service that receives a fraction of a route's requests.
// The fraction is proportional to Weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route describes the handling of requests with a given host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until a request is answered.
	Timeout time.Duration
	// LatencyObjective is the target for the time to the response or, for
	// streams, to the first event. GapObjective is the target for the time
	// between events. Zero means no objective.
	LatencyObjective time.Duration
	GapObjective     time.Duration
	// AbandonAfter is how long callers wait for the first event of a stream
	// before they disconnect; zero means until their deadline.
	AbandonAfter time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// RelativePriority is the rank of Priority among the routes with the same
	// first service, from 0 (highest) to 1 (lowest). NewTable sets it.
	RelativePriority float64
	// LeastUrgent means that no route with the same first service has a lower priority.
	// NewTable sets it.
	LeastUrgent bool
	// MaxAttempts is the maximum number of backend servers that a request is
	// sent to.
	MaxAttempts  int
	TrafficSplit []WeightedService
	// Resumable streams may be continued by another backend server after the
	// last delivered event.
	Resumable bool
	// HomeRegions are the regions that may serve the route; empty means all.
	HomeRegions []string
	// Public requests need no key, also if the table has teams.
	Public bool
}

// Idempotent reports whether a request may be executed more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Permits reports whether the region may serve the route.
func (r *Route) Permits(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// PickService returns one of the route's services, selected by weight, or "" if
// there are none. The argument is a random number, uniform in [0, 1).
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
	// Slots is the maximum number of requests that an engine runs concurrently.
	Slots int
	// MemoryTokens is the capacity, in tokens, of the memory that running
	// requests share with cached prefix blocks.
	MemoryTokens int
	// EventTokens is the number of tokens in a stream event.
	EventTokens int
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the maximum number of connections to a backend server
	// from all VMs together. Zero means no limit.
	MaxConnections int
	// ColdPeriod is how long a backend server is cold after its start.
	// ColdRequestsPerSecond is the maximum request rate during that time; zero
	// means no limit.
	ColdPeriod            time.Duration
	ColdRequestsPerSecond float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits are the size limits of callers' requests.
type Limits struct {
	MaxHeaderBytes int
	// MaxBodyBytes is zero if there is no limit.
	MaxBodyBytes int64
}

// Table is a complete, immutable routing configuration.
type Table struct {
	// Version is the configuration version that the operators assigned.
	Version  uint64
	Limits   Limits
	Services map[string]*Service
	hosts    map[string][]*Route
	// routes are all routes by the services to which they may go.
	routes map[string][]*Route
	teams  teams
}

// NewTable returns a table of the given routes, services and teams. It sets the
// RelativePriority of each route. Of teams with the same name or key the first one has it.
func NewTable(version uint64, routes []*Route, services []*Service, limits Limits, teams ...*Team) *Table {
	t := &Table{
		Version: version, Limits: limits,
		Services: make(map[string]*Service, len(services)),
		hosts:    map[string][]*Route{},
		routes:   map[string][]*Route{},
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
		for _, split := range r.TrafficSplit {
			t.routes[split.Service] = append(t.routes[split.Service], r)
		}
	}
	setRelativePriorities(routes)
	t.teams = newTeams(teams, routes)
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// setRelativePriorities sets the rank of each route's priority among the routes
// with the same first service, and which are the least urgent.
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
		r.RelativePriority = 0.5 // the value if all priorities are equal
		if len(r.TrafficSplit) == 0 {
			continue
		}
		list := priorities[r.TrafficSplit[0].Service]
		r.LeastUrgent = r.Priority == list[len(list)-1]
		if len(list) > 1 {
			r.RelativePriority = float64(slices.Index(list, r.Priority)) / float64(len(list)-1)
		}
	}
}

// Match returns the host's route with the longest prefix of path, or nil. The
// host may include a port.
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

// HomeRegions returns the regions that are home regions of the largest number of
// the host's routes, sorted. Restricted is false if no route of the host has home
// regions.
func (t *Table) HomeRegions(host string) (homes []string, restricted bool) {
	permits, maxPermits := map[string]int{}, 0
	for _, r := range t.hosts[strings.ToLower(host)] {
		for _, region := range r.HomeRegions {
			permits[region]++
			maxPermits = max(maxPermits, permits[region])
		}
	}
	for region, n := range permits {
		if n == maxPermits {
			homes = append(homes, region)
		}
	}
	slices.Sort(homes)
	return homes, maxPermits > 0
}

// RoutesTo returns the routes that may go to a service. Callers must not modify the result.
func (t *Table) RoutesTo(service string) []*Route { return t.routes[service] }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	n := 0
	for _, list := range t.hosts {
		n += len(list)
	}
	return n
}
