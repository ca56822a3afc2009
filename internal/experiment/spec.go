package experiment

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/chestnutspring/chestnutspring/internal/objects"
)

// Spec is the configuration of an experiment, read from a YAML file.
type Spec struct {
	// Base is the path, relative to this file, of a file that supplies the
	// fields this one leaves out.
	Base string `yaml:"base,omitempty" json:"base,omitempty"`
	Name string `yaml:"name" json:"name"`
	// Question states in one sentence what the experiment investigates.
	Question string `yaml:"question,omitempty" json:"question,omitempty"`
	// Deployment is the directory of the deployment's object files.
	Deployment string `yaml:"deployment" json:"deployment"`
	Seed       uint64 `yaml:"seed" json:"seed"`
	// Duration is the time during which requests are sent.
	Duration objects.Duration `yaml:"duration" json:"duration"`
	// WarmUp is the initial interval of Duration that the overall statistics
	// exclude.
	WarmUp objects.Duration `yaml:"warmUp" json:"warmUp"`
	// Policies are the policies to compare, with one run each.
	Policies []Variant      `yaml:"policies" json:"policies"`
	Links    LinkSpec       `yaml:"links" json:"links"`
	Engine   EngineSpec     `yaml:"engine" json:"engine"`
	Load     []RequestClass `yaml:"load" json:"load"`
	// LimitFactor multiplies the rates and concurrency of all Limits objects;
	// zero leaves them unchanged.
	LimitFactor float64 `yaml:"limitFactor,omitempty" json:"limitFactor,omitempty"`
	// ExtraLoad lists request classes to add to those of Base.
	ExtraLoad []RequestClass `yaml:"more,omitempty" json:"more,omitempty"`
	// Profile varies the load of each region over time, by region.
	Profile map[string][]ProfilePoint `yaml:"profile,omitempty" json:"profile,omitempty"`
	Faults  []Fault                   `yaml:"faults,omitempty" json:"faults,omitempty"`
	// ExcludedTeams names the teams that Stats.OtherTeams leaves out.
	ExcludedTeams []string `yaml:"except,omitempty" json:"except,omitempty"`
	// Phases are intervals of the run that get statistics of their own.
	Phases []Phase `yaml:"phases,omitempty" json:"phases,omitempty"`
}

// Variant is a policy to compare. Its non-zero fields override those of every
// Policy object of the deployment.
type Variant struct {
	Name            string            `yaml:"name" json:"name"`
	Algorithm       string            `yaml:"algorithm" json:"algorithm"`
	CostWeight      *float64          `yaml:"costWeight,omitempty" json:"costWeight,omitempty"`
	ShareAwayWeight *float64          `yaml:"shareAwayWeight,omitempty" json:"shareAwayWeight,omitempty"`
	RetryBudget     *float64          `yaml:"retryBudget,omitempty" json:"retryBudget,omitempty"`
	HedgeAfter      *objects.Duration `yaml:"hedgeAfter,omitempty" json:"hedgeAfter,omitempty"`
	MaxQueue        *objects.Duration `yaml:"maxQueue,omitempty" json:"maxQueue,omitempty"`
	SlowStart       *objects.Duration `yaml:"slowStart,omitempty" json:"slowStart,omitempty"`
}

// LinkSpec configures jitter and packet loss of the links, in addition to the
// delay and bandwidth of the Region objects.
type LinkSpec struct {
	// Jitter is the maximum random addition to the delay.
	Jitter objects.Duration `yaml:"jitter" json:"jitter"`
	// Loss is the share of data chunks that are delayed by a retransmission.
	Loss float64 `yaml:"loss" json:"loss"`
}

// EngineSpec overrides the defaults of engine.Config for the simulated engines;
// zero fields keep them.
type EngineSpec struct {
	Concurrency   int              `yaml:"concurrency,omitempty" json:"concurrency,omitempty"`
	BatchSlowdown float64          `yaml:"batchSlowdown,omitempty" json:"batchSlowdown,omitempty"`
	CacheTokens   int              `yaml:"cacheTokens,omitempty" json:"cacheTokens,omitempty"`
	LoadLag       objects.Duration `yaml:"loadLag,omitempty" json:"loadLag,omitempty"`
	EventLag      objects.Duration `yaml:"eventLag,omitempty" json:"eventLag,omitempty"`
	EventGap      uint64           `yaml:"eventGap,omitempty" json:"eventGap,omitempty"`
}

// RequestClass describes a class of requests and its arrival rates.
type RequestClass struct {
	Class  string `yaml:"class" json:"class"`
	Kind   Kind   `yaml:"kind" json:"kind"`
	Target string `yaml:"target" json:"target"`
	// Path is the request path below the service's prefix; chat requests have
	// none.
	Path string `yaml:"path,omitempty" json:"path,omitempty"`
	// Tokens is the mean length of a response; Spread is the maximum relative
	// deviation from it.
	Tokens int     `yaml:"tokens,omitempty" json:"tokens,omitempty"`
	Spread float64 `yaml:"spread,omitempty" json:"spread,omitempty"`
	// PrefixTokens is the length of the system message, and Prefixes is the
	// number of different system messages in a region. Their popularity
	// follows a Zipf distribution with exponent 1.
	PrefixTokens int              `yaml:"prefixTokens,omitempty" json:"prefixTokens,omitempty"`
	Prefixes     int              `yaml:"prefixes,omitempty" json:"prefixes,omitempty"`
	Stream       bool             `yaml:"stream,omitempty" json:"stream,omitempty"`
	Timeout      objects.Duration `yaml:"timeout" json:"timeout"`
	Priority     string           `yaml:"priority,omitempty" json:"priority,omitempty"`
	// Teams are the teams that send the requests, in proportion to their
	// weights; empty means all teams whose home is the region.
	Teams []string `yaml:"teams,omitempty" json:"teams,omitempty"`
	// PerSecond is the arrival rate in requests per second, by region.
	PerSecond map[string]float64 `yaml:"perSecond" json:"perSecond"`
	// Flat load ignores Spec.Profile.
	Flat bool `yaml:"flat,omitempty" json:"flat,omitempty"`
	// From and To bound the arrival times, relative to the start of the run;
	// a zero To is no bound.
	From objects.Duration `yaml:"from,omitempty" json:"from,omitempty"`
	To   objects.Duration `yaml:"to,omitempty" json:"to,omitempty"`
}

// ProfilePoint sets the load factor from time At until the next point. With
// Ramp, the factor changes linearly to that of the next point. Before the first
// point the factor is 1.
type ProfilePoint struct {
	At     objects.Duration `yaml:"at" json:"at"`
	Factor float64          `yaml:"factor" json:"factor"`
	Ramp   bool             `yaml:"ramp,omitempty" json:"ramp,omitempty"`
}

// Phase is a named interval of an experiment, relative to the start of the run.
type Phase struct {
	Name string           `yaml:"name" json:"name"`
	From objects.Duration `yaml:"from" json:"from"`
	To   objects.Duration `yaml:"to" json:"to"`
}

// maxDuration bounds the duration of an experiment, so that every run ends by
// itself.
const maxDuration = 5 * time.Minute

// ReadSpec reads and validates an experiment from a YAML file. Its error has type
// ErrSpec.
func ReadSpec(file string) (*Spec, error) {
	var head struct {
		Base string `yaml:"base"`
	}
	var spec Spec
	if err := readYAML(file, &head); err != nil {
		return nil, err
	}
	if head.Base != "" {
		base := filepath.Join(filepath.Dir(file), head.Base)
		if err := readYAML(base, &spec, yaml.Strict()); err != nil {
			return nil, err
		}
	}
	if err := readYAML(file, &spec, yaml.Strict()); err != nil {
		return nil, err
	}
	spec.Load = append(spec.Load, spec.ExtraLoad...)
	spec.ExtraLoad = nil
	if len(spec.Policies) == 0 {
		spec.Policies = DefaultVariants()
	}
	if err := spec.check(); err != nil {
		return nil, ErrSpec.Wrap(err, "%s", file)
	}
	return &spec, nil
}

// readYAML decodes a YAML file into a value; fields that the file leaves out
// keep their values.
func readYAML(file string, into any, options ...yaml.DecodeOption) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return ErrSpec.Wrap(err, "%s", file)
	}
	if err := yaml.UnmarshalWithOptions(data, into, options...); err != nil {
		return ErrSpec.Wrap(err, "%s", file)
	}
	return nil
}

// DefaultVariants returns the two baseline policies and the project's own
// policy, expected completion. The baselines don't hedge.
func DefaultVariants() []Variant {
	var none objects.Duration
	return []Variant{
		{Name: "home-round-robin", Algorithm: objects.AlgorithmHomeRoundRobin, HedgeAfter: &none},
		{Name: "least-load", Algorithm: objects.AlgorithmLeastLoad, HedgeAfter: &none},
		{Name: "expected-completion", Algorithm: objects.AlgorithmExpectedCompletion},
	}
}

func (s *Spec) check() error {
	switch {
	case s.Name == "":
		return ErrSpec.New("name is missing")
	case s.Duration <= 0 || s.Duration.AsDuration() > maxDuration:
		return ErrSpec.New("duration must be between 0 and %s", maxDuration)
	case s.WarmUp < 0 || s.WarmUp >= s.Duration:
		return ErrSpec.New("warmUp must be shorter than duration")
	case len(s.Load) == 0:
		return ErrSpec.New("load is missing")
	}
	for _, l := range s.Load {
		if err := l.check(); err != nil {
			return err
		}
	}
	for _, f := range s.Faults {
		if _, ok := faultActions[f.Kind]; !ok {
			known := slices.Sorted(maps.Keys(faultActions))
			return ErrSpec.New("unknown fault kind %q; known kinds: %v", f.Kind, known)
		}
	}
	return nil
}

func (l *RequestClass) check() error {
	switch {
	case l.Kind != KindChat && l.Kind != KindForecast && l.Kind != KindBooking:
		return ErrSpec.New("class %s: unknown kind %q", l.Class, l.Kind)
	case l.Timeout <= 0:
		return ErrSpec.New("class %s: timeout is missing", l.Class)
	case l.Kind == KindChat && l.Tokens <= 0:
		return ErrSpec.New("class %s: tokens is missing", l.Class)
	case l.Kind != KindChat && l.Path == "":
		return ErrSpec.New("class %s: path is missing", l.Class)
	}
	return nil
}

// apply returns a copy of the set with the variant's overrides in every Policy
// object.
func (v *Variant) apply(set *objects.Set) *objects.Set {
	next := *set
	next.Policies = map[string]*objects.Policy{}
	for name, p := range set.Policies {
		copied := *p
		spec := &copied.Spec
		overrideNonZero(&spec.Algorithm, v.Algorithm)
		overrideNonNil(&spec.CostWeight, v.CostWeight)
		overrideNonNil(&spec.ShareAwayWeight, v.ShareAwayWeight)
		overrideNonNil(&spec.RetryBudget, v.RetryBudget)
		overrideNonNil(&spec.HedgeAfter, v.HedgeAfter)
		overrideNonNil(&spec.MaxQueue, v.MaxQueue)
		overrideNonNil(&spec.SlowStart, v.SlowStart)
		next.Policies[name] = &copied
	}
	next.Index()
	return &next
}

// scaleLimits returns a copy of the set with the rates and concurrency of all
// Limits objects multiplied by a factor. A zero factor leaves the set unchanged.
func scaleLimits(set *objects.Set, factor float64) *objects.Set {
	if factor == 0 {
		return set
	}
	next := *set
	next.Limits = map[string]*objects.Limits{}
	for name, l := range set.Limits {
		copied := *l
		copied.Spec.RequestsPerSecond *= factor
		copied.Spec.TokensPerSecond *= factor
		copied.Spec.Concurrent = int(float64(copied.Spec.Concurrent) * factor)
		next.Limits[name] = &copied
	}
	next.Index()
	return &next
}

func overrideNonNil[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

// KeepPolicies removes the policies whose names aren't listed.
func (s *Spec) KeepPolicies(names []string) {
	s.Policies = slices.DeleteFunc(s.Policies, func(v Variant) bool {
		return !slices.Contains(names, v.Name)
	})
}
