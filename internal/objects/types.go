// Package objects holds the named objects that operators publish, reads them
// from YAML and checks a whole set together.
//
// Objects refer to one another by name. A Set is immutable once it is built.
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

// Duration is a time.Duration that is written as text such as "1.5s".
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

// Region is a place whose gateways serve callers on their own when it is cut
// off from the others.
type Region struct {
	Name string     `yaml:"name" json:"name"`
	Spec RegionSpec `yaml:"spec" json:"spec"`
}

// RegionSpec describes a region.
type RegionSpec struct {
	// Links lead to other regions. A link that is absent means that nothing
	// is sent there.
	Links []Link `yaml:"links,omitempty" json:"links,omitempty"`
	// WeightStore says whether the weight store is in this region.
	WeightStore bool `yaml:"weightStore,omitempty" json:"weightStore,omitempty"`
}

// Link describes the path to another region.
type Link struct {
	To string `yaml:"to" json:"to"`
	// Delay is the one-way delay.
	Delay Duration `yaml:"delay" json:"delay"`
	// MegabitsPerSecond is the bandwidth each way, shared by all traffic.
	MegabitsPerSecond float64 `yaml:"megabitsPerSecond" json:"megabitsPerSecond"`
	// CostPerMegabit is the price of one megabit sent over the link.
	CostPerMegabit float64 `yaml:"costPerMegabit" json:"costPerMegabit"`
}

// FailureDomain is a part of a region that fails as a whole.
type FailureDomain struct {
	Name string            `yaml:"name" json:"name"`
	Spec FailureDomainSpec `yaml:"spec" json:"spec"`
}

// FailureDomainSpec places a failure domain in its region.
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
	// WeightMegabytes is the size of the weights, for staggered loads.
	WeightMegabytes int `yaml:"weightMegabytes,omitempty" json:"weightMegabytes,omitempty"`
	// MaxOutputTokens bounds one answer.
	MaxOutputTokens int `yaml:"maxOutputTokens" json:"maxOutputTokens"`
	// SecondsPerToken and SecondsPerPromptToken are the service times used
	// before a replica's own rate is known.
	SecondsPerToken       float64 `yaml:"secondsPerToken" json:"secondsPerToken"`
	SecondsPerPromptToken float64 `yaml:"secondsPerPromptToken" json:"secondsPerPromptToken"`
}

// BackendServer is a model replica or a replica of a plain service.
type BackendServer struct {
	Name string            `yaml:"name" json:"name"`
	Spec BackendServerSpec `yaml:"spec" json:"spec"`
}

// BackendServerSpec describes a backend server. Exactly one of Model and
// Service is set.
type BackendServerSpec struct {
	// Address is IP:port.
	Address       string `yaml:"address" json:"address"`
	FailureDomain string `yaml:"failureDomain" json:"failureDomain"`
	Model         string `yaml:"model,omitempty" json:"model,omitempty"`
	Service       string `yaml:"service,omitempty" json:"service,omitempty"`
	// Concurrency is how many requests the server takes at once.
	Concurrency int `yaml:"concurrency" json:"concurrency"`
	// ChecksFencing says whether the engine refuses an order with an old
	// fencing number.
	ChecksFencing bool `yaml:"checksFencing,omitempty" json:"checksFencing,omitempty"`
	// Role is "serve" or, for a replica held in reserve, "standby".
	Role string `yaml:"role,omitempty" json:"role,omitempty"`
	// CostPerSecond is the price of one second of work.
	CostPerSecond float64 `yaml:"costPerSecond,omitempty" json:"costPerSecond,omitempty"`
}

// Service is a plain service beside the model engines.
type Service struct {
	Name string      `yaml:"name" json:"name"`
	Spec ServiceSpec `yaml:"spec" json:"spec"`
}

// ServiceSpec lists the calls of a service. A call that matches no entry is
// refused.
type ServiceSpec struct {
	Calls []Call `yaml:"calls" json:"calls"`
}

// Call is one kind of call of a service.
type Call struct {
	Method string `yaml:"method" json:"method"`
	// PathPrefix matches the rest of the path after the service's name.
	PathPrefix string `yaml:"pathPrefix" json:"pathPrefix"`
	// Idempotent says whether the call may be repeated.
	Idempotent bool `yaml:"idempotent" json:"idempotent"`
	// NotRunStatuses are the statuses by which the service says that it did
	// not run the call.
	NotRunStatuses []int `yaml:"notRunStatuses,omitempty" json:"notRunStatuses,omitempty"`
	// Seconds is the expected service time.
	Seconds float64 `yaml:"seconds,omitempty" json:"seconds,omitempty"`
}

// Route says which regions may serve a model or service, and with which
// policy.
type Route struct {
	Name string    `yaml:"name" json:"name"`
	Spec RouteSpec `yaml:"spec" json:"spec"`
}

// RouteSpec describes a route. Exactly one of Model and Service is set. Each
// model and service has exactly one route.
type RouteSpec struct {
	Model   string `yaml:"model,omitempty" json:"model,omitempty"`
	Service string `yaml:"service,omitempty" json:"service,omitempty"`
	// Regions that may serve; empty means all.
	Regions []string `yaml:"regions,omitempty" json:"regions,omitempty"`
	Policy  string   `yaml:"policy" json:"policy"`
}

// ResidencyRule names the regions in which a team's data may be.
type ResidencyRule struct {
	Name string            `yaml:"name" json:"name"`
	Spec ResidencyRuleSpec `yaml:"spec" json:"spec"`
}

// ResidencyRuleSpec lists the permitted regions.
type ResidencyRuleSpec struct {
	Regions []string `yaml:"regions" json:"regions"`
}

// Team is a caller's team.
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
	// Weight is the team's share in the fair queue; zero means 1.
	Weight float64 `yaml:"weight,omitempty" json:"weight,omitempty"`
	// Limits names a Limits object; empty means no limit of its own.
	Limits string `yaml:"limits,omitempty" json:"limits,omitempty"`
}

// Policy weighs the users' measures against one another.
type Policy struct {
	Name string     `yaml:"name" json:"name"`
	Spec PolicySpec `yaml:"spec" json:"spec"`
}

// The algorithms that choose a backend server.
const (
	// AlgorithmExpectedCompletion is the project's own.
	AlgorithmExpectedCompletion = "expected-completion"
	// AlgorithmHomeRoundRobin takes the home region's replicas in turn.
	AlgorithmHomeRoundRobin = "home-round-robin"
	// AlgorithmLeastLoad takes the replica with the least load of all regions.
	AlgorithmLeastLoad = "least-load"
)

// PolicySpec is a policy. The score of a replica is the expected seconds
// until completion, plus CostWeight times the cost of the crossing, plus
// ShareAwayWeight where the region isn't the request's home.
type PolicySpec struct {
	Algorithm string `yaml:"algorithm" json:"algorithm"`
	// CostWeight is in seconds for a cost of 1.
	CostWeight float64 `yaml:"costWeight" json:"costWeight"`
	// ShareAwayWeight is in seconds.
	ShareAwayWeight float64 `yaml:"shareAwayWeight" json:"shareAwayWeight"`
	// RetryBudget is the share of requests that may be retried or hedged.
	RetryBudget float64 `yaml:"retryBudget" json:"retryBudget"`
	// HedgeAfter is the time without a first byte after which an idempotent
	// request is hedged; zero means never.
	HedgeAfter Duration `yaml:"hedgeAfter,omitempty" json:"hedgeAfter,omitempty"`
	// KeyWindow is how long an idempotency key is valid after its issue.
	KeyWindow Duration `yaml:"keyWindow" json:"keyWindow"`
	// MaxConfigAge is how long a configuration may go unconfirmed before
	// nothing is sent to another region.
	MaxConfigAge Duration `yaml:"maxConfigAge" json:"maxConfigAge"`
	// MaxQueue is how long a request may wait for a slot.
	MaxQueue Duration `yaml:"maxQueue" json:"maxQueue"`
	// SlowStart is how long traffic to a new replica or a healed region ramps up.
	SlowStart Duration `yaml:"slowStart,omitempty" json:"slowStart,omitempty"`
}

// Limits bounds what a team may use, over the whole fleet.
type Limits struct {
	Name string     `yaml:"name" json:"name"`
	Spec LimitsSpec `yaml:"spec" json:"spec"`
}

// LimitsSpec holds rates; zero means no bound.
type LimitsSpec struct {
	RequestsPerSecond float64 `yaml:"requestsPerSecond,omitempty" json:"requestsPerSecond,omitempty"`
	TokensPerSecond   float64 `yaml:"tokensPerSecond,omitempty" json:"tokensPerSecond,omitempty"`
	// Concurrent bounds a team's requests in flight at one gateway.
	Concurrent int `yaml:"concurrent,omitempty" json:"concurrent,omitempty"`
}

// Set is a whole configuration, indexed by name. It is immutable.
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

	// Derived by Index.
	backendsOf map[string][]*BackendServer // by model or service name
	routeOf    map[string]*Route           // by model or service name

	// sources holds where objects stand; nil unless the set is being loaded
	// from files.
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
