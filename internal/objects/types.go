// Package objects defines the configuration objects that operators publish. It
// loads them from YAML and validates a set as a whole.
//
// Objects refer to one another by name. A Set is immutable once it is indexed.
package objects

import "time"

// Kind is the kind of a named object.
type Kind string

// The kinds of objects.
const (
	KindRegion        Kind = "Region"
	KindFailureDomain Kind = "FailureDomain"
	KindModel         Kind = "Model"
	KindBackendServer Kind = "BackendServer"
	KindService       Kind = "Service"
	KindRoute         Kind = "Route"
	KindResidencyRule Kind = "ResidencyRule"
	KindTeam          Kind = "Team"
	KindPolicy        Kind = "Policy"
	KindLimits        Kind = "Limits"
)

// Duration is a time.Duration that is encoded as text such as "1.5s".
type Duration time.Duration

// AsDuration returns d as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// Region is a location whose gateways keep serving callers while it is
// partitioned from the other regions.
type Region struct {
	Name string     `yaml:"name" json:"name"`
	Spec RegionSpec `yaml:"spec" json:"spec"`
}

// RegionSpec describes a region.
type RegionSpec struct {
	// Links are the links to other regions. No requests are sent to a region
	// without a link.
	Links []Link `yaml:"links,omitempty" json:"links,omitempty"`
	// WeightStore is true if the store of model weights is in this region.
	WeightStore bool `yaml:"weightStore,omitempty" json:"weightStore,omitempty"`
}

// Link describes the network link to another region.
type Link struct {
	To string `yaml:"to" json:"to"`
	// Delay is the one-way delay.
	Delay Duration `yaml:"delay" json:"delay"`
	// MegabitsPerSecond is the bandwidth in each direction, shared by all
	// traffic.
	MegabitsPerSecond float64 `yaml:"megabitsPerSecond" json:"megabitsPerSecond"`
	// CostPerMegabit is the price of one megabit sent over the link.
	CostPerMegabit float64 `yaml:"costPerMegabit" json:"costPerMegabit"`
}

// FailureDomain is a subset of a region whose VMs and backend servers can fail
// together.
type FailureDomain struct {
	Name string            `yaml:"name" json:"name"`
	Spec FailureDomainSpec `yaml:"spec" json:"spec"`
}

// FailureDomainSpec describes a failure domain.
type FailureDomainSpec struct {
	Region string `yaml:"region" json:"region"`
}

// Model is a model that engines serve.
type Model struct {
	Name string    `yaml:"name" json:"name"`
	Spec ModelSpec `yaml:"spec" json:"spec"`
}

// ModelSpec describes a model.
type ModelSpec struct {
	Version  string   `yaml:"version" json:"version"`
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	// WeightMegabytes is the size of the weights. It is used to stagger model
	// loads.
	WeightMegabytes int `yaml:"weightMegabytes,omitempty" json:"weightMegabytes,omitempty"`
	// MaxOutputTokens is the maximum number of tokens in a response.
	MaxOutputTokens int `yaml:"maxOutputTokens" json:"maxOutputTokens"`
	// SecondsPerToken and SecondsPerPromptToken are the service times per
	// output token and per prompt token that are assumed until a replica's own
	// rate is known.
	SecondsPerToken       float64 `yaml:"secondsPerToken" json:"secondsPerToken"`
	SecondsPerPromptToken float64 `yaml:"secondsPerPromptToken" json:"secondsPerPromptToken"`
}

// BackendServer is a replica of a model or of a plain service.
type BackendServer struct {
	Name string            `yaml:"name" json:"name"`
	Spec BackendServerSpec `yaml:"spec" json:"spec"`
}

// BackendServerSpec describes a backend server. Exactly one of Model and
// Service is set.
type BackendServerSpec struct {
	// Address has the form IP:port.
	Address       string `yaml:"address" json:"address"`
	FailureDomain string `yaml:"failureDomain" json:"failureDomain"`
	Model         string `yaml:"model,omitempty" json:"model,omitempty"`
	Service       string `yaml:"service,omitempty" json:"service,omitempty"`
	// Concurrency is the maximum number of concurrent requests.
	Concurrency int `yaml:"concurrency" json:"concurrency"`
	// ChecksFencing is true if the engine rejects a placement order with an
	// outdated fencing token.
	ChecksFencing bool `yaml:"checksFencing,omitempty" json:"checksFencing,omitempty"`
	// Role is RoleServe or RoleStandby; empty means RoleServe.
	Role string `yaml:"role,omitempty" json:"role,omitempty"`
	// CostPerSecond is the price of one second of processing.
	CostPerSecond float64 `yaml:"costPerSecond,omitempty" json:"costPerSecond,omitempty"`
}

// Service is a plain HTTP service that is not a model engine.
type Service struct {
	Name string      `yaml:"name" json:"name"`
	Spec ServiceSpec `yaml:"spec" json:"spec"`
}

// ServiceSpec lists the calls that a service accepts. All other calls are
// refused.
type ServiceSpec struct {
	Calls []Call `yaml:"calls" json:"calls"`
}

// Call describes the calls of a service with a given method and path prefix.
type Call struct {
	Method string `yaml:"method" json:"method"`
	// PathPrefix is matched against the path after the service's name.
	PathPrefix string `yaml:"pathPrefix" json:"pathPrefix"`
	// Idempotent is true if the call may be executed more than once.
	Idempotent bool `yaml:"idempotent" json:"idempotent"`
	// NotRunStatuses are the HTTP statuses with which the service reports that
	// it did not execute the call.
	NotRunStatuses []int `yaml:"notRunStatuses,omitempty" json:"notRunStatuses,omitempty"`
	// Seconds is the expected service time in seconds.
	Seconds float64 `yaml:"seconds,omitempty" json:"seconds,omitempty"`
}

// Route defines which regions may serve a model or service, and the policy that
// applies to its requests.
type Route struct {
	Name string    `yaml:"name" json:"name"`
	Spec RouteSpec `yaml:"spec" json:"spec"`
}

// RouteSpec describes a route. Exactly one of Model and Service is set. Each
// model and service has exactly one route.
type RouteSpec struct {
	Model   string `yaml:"model,omitempty" json:"model,omitempty"`
	Service string `yaml:"service,omitempty" json:"service,omitempty"`
	// Regions are the regions that may serve the target; empty means all.
	Regions []string `yaml:"regions,omitempty" json:"regions,omitempty"`
	Policy  string   `yaml:"policy" json:"policy"`
}

// ResidencyRule restricts a team's data to certain regions.
type ResidencyRule struct {
	Name string            `yaml:"name" json:"name"`
	Spec ResidencyRuleSpec `yaml:"spec" json:"spec"`
}

// ResidencyRuleSpec lists the permitted regions.
type ResidencyRuleSpec struct {
	Regions []string `yaml:"regions" json:"regions"`
}

// Team is a group of callers that share a home region and limits.
type Team struct {
	Name string   `yaml:"name" json:"name"`
	Spec TeamSpec `yaml:"spec" json:"spec"`
}

// TeamSpec describes a team.
type TeamSpec struct {
	// Home is the team's home region.
	Home string `yaml:"home" json:"home"`
	// Residency names a ResidencyRule; empty means that any region may serve.
	Residency string `yaml:"residency,omitempty" json:"residency,omitempty"`
	// Weight is the team's relative weight in the fair queue; zero means 1.
	Weight float64 `yaml:"weight,omitempty" json:"weight,omitempty"`
	// Limits names a Limits object; empty means that the team has no limits.
	Limits string `yaml:"limits,omitempty" json:"limits,omitempty"`
}

// Policy controls how backend servers are selected for the requests of a route,
// including retries and waiting times.
type Policy struct {
	Name string     `yaml:"name" json:"name"`
	Spec PolicySpec `yaml:"spec" json:"spec"`
}

// The algorithms that select a backend server.
const (
	// AlgorithmExpectedCompletion selects the replica with the lowest score; see
	// PolicySpec.
	AlgorithmExpectedCompletion = "expected-completion"
	// AlgorithmHomeRoundRobin selects among the replicas in the home region by
	// round robin.
	AlgorithmHomeRoundRobin = "home-round-robin"
	// AlgorithmLeastLoad selects the least loaded replica across all regions.
	AlgorithmLeastLoad = "least-load"
)

// PolicySpec describes a policy. The score of a replica is the expected time
// until completion in seconds, plus CostWeight times the cross-region cost, plus
// ShareAwayWeight if the replica is outside the request's home region.
type PolicySpec struct {
	Algorithm string `yaml:"algorithm" json:"algorithm"`
	// CostWeight is the score, in seconds, of a cross-region cost of 1.
	CostWeight float64 `yaml:"costWeight" json:"costWeight"`
	// ShareAwayWeight is the score, in seconds, of serving a request outside
	// its home region.
	ShareAwayWeight float64 `yaml:"shareAwayWeight" json:"shareAwayWeight"`
	// RetryBudget is the fraction of requests that may be retried or hedged.
	RetryBudget float64 `yaml:"retryBudget" json:"retryBudget"`
	// HedgeAfter is how long to wait for the first byte of a response before an
	// idempotent request is hedged; zero disables hedging.
	HedgeAfter Duration `yaml:"hedgeAfter,omitempty" json:"hedgeAfter,omitempty"`
	// KeyWindow is how long an idempotency key is valid after its issue.
	KeyWindow Duration `yaml:"keyWindow" json:"keyWindow"`
	// MaxConfigAge is the maximum time since the configuration was last
	// confirmed. Beyond it no requests are sent to other regions.
	MaxConfigAge Duration `yaml:"maxConfigAge" json:"maxConfigAge"`
	// MaxQueue is the maximum time that a request waits in the queue.
	MaxQueue Duration `yaml:"maxQueue" json:"maxQueue"`
	// SlowStart is the time over which traffic to a new replica or a recovered
	// region is ramped up.
	SlowStart Duration `yaml:"slowStart,omitempty" json:"slowStart,omitempty"`
}

// Limits limits the usage of a team.
type Limits struct {
	Name string     `yaml:"name" json:"name"`
	Spec LimitsSpec `yaml:"spec" json:"spec"`
}

// LimitsSpec describes the limits of a team; zero means no limit.
type LimitsSpec struct {
	// RequestsPerSecond and TokensPerSecond apply to the whole fleet.
	RequestsPerSecond float64 `yaml:"requestsPerSecond,omitempty" json:"requestsPerSecond,omitempty"`
	TokensPerSecond   float64 `yaml:"tokensPerSecond,omitempty" json:"tokensPerSecond,omitempty"`
	// Concurrent is the maximum number of the team's requests in flight at one
	// gateway.
	Concurrent int `yaml:"concurrent,omitempty" json:"concurrent,omitempty"`
}

// Set is a complete configuration: all objects, by name. It must not be changed
// after Index was called.
type Set struct {
	// Revision is the configuration service's revision of the manifest.
	// Zero means that no configuration is known.
	Revision       uint64
	Regions        map[string]*Region
	FailureDomains map[string]*FailureDomain
	Models         map[string]*Model
	BackendServers map[string]*BackendServer
	Services       map[string]*Service
	Routes         map[string]*Route
	ResidencyRules map[string]*ResidencyRule
	Teams          map[string]*Team
	Policies       map[string]*Policy
	Limits         map[string]*Limits

	// Built by Index.
	backendsOf map[string][]*BackendServer // by model or service name
	routeOf    map[string]*Route           // by model or service name

	// sources holds the positions of objects in files. It is nil unless the set
	// is being loaded from files.
	sources *sources
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{
		Regions:        map[string]*Region{},
		FailureDomains: map[string]*FailureDomain{},
		Models:         map[string]*Model{},
		BackendServers: map[string]*BackendServer{},
		Services:       map[string]*Service{},
		Routes:         map[string]*Route{},
		ResidencyRules: map[string]*ResidencyRule{},
		Teams:          map[string]*Team{},
		Policies:       map[string]*Policy{},
		Limits:         map[string]*Limits{},
	}
}
