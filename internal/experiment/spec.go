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

// Spec is an experiment as its file describes it.
type Spec struct {
	// Base is a file whose fields hold where this one has none, relative to
	// this file.
	Base string `yaml:"base,omitempty" json:"base,omitempty"`
	Name string `yaml:"name" json:"name"`
	// Question is one sentence on what the experiment asks.
	Question string `yaml:"question,omitempty" json:"question,omitempty"`
	// Deployment is the directory of the objects.
	Deployment string `yaml:"deployment" json:"deployment"`
	Seed       uint64 `yaml:"seed" json:"seed"`
	// Duration is how long load arrives.
	Duration objects.Duration `yaml:"duration" json:"duration"`
	// WarmUp is the first part of Duration, which the figures leave out.
	WarmUp objects.Duration `yaml:"warmUp" json:"warmUp"`
	// Policies are compared with one another, one run each.
	Policies []Variant  `yaml:"policies" json:"policies"`
	Links    LinkSpec   `yaml:"links" json:"links"`
	Engine   EngineSpec `yaml:"engine" json:"engine"`
	Load     []RequestClass     `yaml:"load" json:"load"`
	// LimitFactor multiplies the rates of all Limits objects; zero leaves them.
	LimitFactor float64 `yaml:"limitFactor,omitempty" json:"limitFactor,omitempty"`
	// ExtraLoad is load beyond that of the base.
	ExtraLoad []RequestClass `yaml:"more,omitempty" json:"more,omitempty"`
	// Profile varies the load of each region over time.
	Profile map[string][]ProfilePoint `yaml:"profile,omitempty" json:"profile,omitempty"`
	Faults  []Fault            `yaml:"faults,omitempty" json:"faults,omitempty"`
	// ExcludedTeams names teams that the figures of other teams leave out.
	ExcludedTeams []string `yaml:"except,omitempty" json:"except,omitempty"`
	// Phases get figures of their own.
	Phases []Phase `yaml:"phases,omitempty" json:"phases,omitempty"`
}

// Variant is a policy to compare. Fields that are set replace those of every
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

// LinkSpec describes what the links do beyond the Region objects.
type LinkSpec struct {
	Jitter objects.Duration `yaml:"jitter" json:"jitter"`
	Loss   float64          `yaml:"loss" json:"loss"`
}

// EngineSpec replaces defaults of the engines' stand-ins where it is set.
type EngineSpec struct {
	Concurrency   int              `yaml:"concurrency,omitempty" json:"concurrency,omitempty"`
	BatchSlowdown float64          `yaml:"batchSlowdown,omitempty" json:"batchSlowdown,omitempty"`
	CacheTokens   int              `yaml:"cacheTokens,omitempty" json:"cacheTokens,omitempty"`
	LoadLag       objects.Duration `yaml:"loadLag,omitempty" json:"loadLag,omitempty"`
	EventLag      objects.Duration `yaml:"eventLag,omitempty" json:"eventLag,omitempty"`
	EventGap      uint64           `yaml:"eventGap,omitempty" json:"eventGap,omitempty"`
}

// RequestClass is a class of requests.
type RequestClass struct {
	Class  string `yaml:"class" json:"class"`
	Kind   Kind   `yaml:"kind" json:"kind"`
	Target string `yaml:"target" json:"target"`
	// Path is the path of a service's call.
	Path string `yaml:"path,omitempty" json:"path,omitempty"`
	// Tokens is the mean length of an answer; Spread is the largest relative
	// deviation from it.
	Tokens int     `yaml:"tokens,omitempty" json:"tokens,omitempty"`
	Spread float64 `yaml:"spread,omitempty" json:"spread,omitempty"`
	// PrefixTokens is the length of the leading message and Prefixes how many
	// different ones the callers of a region use, the first ones more often.
	PrefixTokens int              `yaml:"prefixTokens,omitempty" json:"prefixTokens,omitempty"`
	Prefixes     int              `yaml:"prefixes,omitempty" json:"prefixes,omitempty"`
	Stream       bool             `yaml:"stream,omitempty" json:"stream,omitempty"`
	Timeout      objects.Duration `yaml:"timeout" json:"timeout"`
	Priority     string           `yaml:"priority,omitempty" json:"priority,omitempty"`
	// Teams send the requests; empty means all teams whose home is the
	// region, in proportion to their weights.
	Teams []string `yaml:"teams,omitempty" json:"teams,omitempty"`
	// PerSecond holds the requests a second of each region.
	PerSecond map[string]float64 `yaml:"perSecond" json:"perSecond"`
	// Flat load doesn't follow the profile.
	Flat bool `yaml:"flat,omitempty" json:"flat,omitempty"`
	// From and To bound the time in which the requests arrive; zero is no
	// bound.
	From objects.Duration `yaml:"from,omitempty" json:"from,omitempty"`
	To   objects.Duration `yaml:"to,omitempty" json:"to,omitempty"`
}

// ProfilePoint is a factor of the load from an instant on, until the next one. With
// Ramp it changes linearly towards the next one. Before the first point the
// factor is 1.
type ProfilePoint struct {
	At     objects.Duration `yaml:"at" json:"at"`
	Factor float64          `yaml:"factor" json:"factor"`
	Ramp   bool             `yaml:"ramp,omitempty" json:"ramp,omitempty"`
}

// Phase is a part of an experiment.
type Phase struct {
	Name string           `yaml:"name" json:"name"`
	From objects.Duration `yaml:"from" json:"from"`
	To   objects.Duration `yaml:"to" json:"to"`
}

// maxDuration bounds an experiment, so that each ends by itself.
const maxDuration = 5 * time.Minute

// ReadSpec reads an experiment from a YAML file.
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

// readYAML reads a file over what is in the value.
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

// DefaultVariants returns the baselines and the project's own policy.
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
	case s.Duration <= 0 || s.Duration.D() > maxDuration:
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
			return ErrSpec.New("fault %q is unknown; there are %v", f.Kind, known)
		}
	}
	return nil
}

func (l *RequestClass) check() error {
	switch {
	case l.Kind != KindChat && l.Kind != KindForecast && l.Kind != KindBooking:
		return ErrSpec.New("class %s: kind %q is unknown", l.Class, l.Kind)
	case l.Timeout <= 0:
		return ErrSpec.New("class %s: timeout is missing", l.Class)
	case l.Kind == KindChat && l.Tokens <= 0:
		return ErrSpec.New("class %s: tokens is missing", l.Class)
	case l.Kind != KindChat && l.Path == "":
		return ErrSpec.New("class %s: path is missing", l.Class)
	}
	return nil
}

// apply returns the set with the variant's policy in every Policy object.
func (v *Variant) apply(set *objects.Set) *objects.Set {
	next := *set
	next.Policies = map[string]*objects.Policy{}
	for name, p := range set.Policies {
		copied := *p
		spec := &copied.Spec
		replaceSet(&spec.Algorithm, v.Algorithm)
		replace(&spec.CostWeight, v.CostWeight)
		replace(&spec.ShareAwayWeight, v.ShareAwayWeight)
		replace(&spec.RetryBudget, v.RetryBudget)
		replace(&spec.HedgeAfter, v.HedgeAfter)
		replace(&spec.MaxQueue, v.MaxQueue)
		replace(&spec.SlowStart, v.SlowStart)
		next.Policies[name] = &copied
	}
	next.Index()
	return &next
}

// scaleLimits returns the set with the rates of all Limits objects multiplied.
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

func replace[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

// KeepPolicies drops the policies whose names aren't listed.
func (s *Spec) KeepPolicies(names []string) {
	s.Policies = slices.DeleteFunc(s.Policies, func(v Variant) bool {
		return !slices.Contains(names, v.Name)
	})
}
