// Package host runs the stand-ins that a YAML file describes. It implements the
// program chestnut-standin.
package host

import (
	"os"

	"github.com/goccy/go-yaml"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/standin"
)

// ErrSpec means that a specification file can't be read or is invalid.
var ErrSpec = standin.Errors.NewType("spec")

// Spec lists the stand-ins to run.
type Spec struct {
	Platforms   []Platform  `yaml:"platforms,omitempty"`
	Engines     []Engine    `yaml:"engines,omitempty"`
	Services    []Service   `yaml:"services,omitempty"`
	Links       []Link      `yaml:"links,omitempty"`
	Directories []Directory `yaml:"directories,omitempty"`
	Weights     []Weights   `yaml:"weights,omitempty"`
}

// Endpoint is the unique name of a stand-in and its listen address. Port 0 means
// a free port.
type Endpoint struct {
	Name   string `yaml:"name"`
	Listen string `yaml:"listen"`
}

// Platform describes a configuration service with a list of VMs and a directory.
type Platform struct {
	Endpoint `yaml:",inline"`
	// Objects is a file system directory of configuration objects to publish;
	// "" means none.
	Objects   string              `yaml:"objects"`
	VMs       []published.VM      `yaml:"vms,omitempty"`
	Directory published.Directory `yaml:"directory,omitempty"`
}

// Engine describes a model engine; see engine.Config.
type Engine struct {
	Endpoint               `yaml:",inline"`
	Loaded                 []string         `yaml:"loaded,omitempty"`
	Role                   string           `yaml:"role,omitempty"`
	Concurrency            int              `yaml:"concurrency,omitempty"`
	TokensPerSecond        float64          `yaml:"tokensPerSecond,omitempty"`
	BatchSlowdown          float64          `yaml:"batchSlowdown,omitempty"`
	PrefillTokensPerSecond float64          `yaml:"prefillTokensPerSecond,omitempty"`
	CacheTokens            int              `yaml:"cacheTokens,omitempty"`
	LoadLag                objects.Duration `yaml:"loadLag,omitempty"`
	EventLag               objects.Duration `yaml:"eventLag,omitempty"`
	EventGap               uint64           `yaml:"eventGap,omitempty"`
	ChecksFencing          bool             `yaml:"checksFencing,omitempty"`
	// Weights is the base URL of the weight store.
	Weights string `yaml:"weights,omitempty"`
}

// Service describes a plain service. Duration is the execution time of each call.
type Service struct {
	Endpoint    `yaml:",inline"`
	Concurrency int              `yaml:"concurrency,omitempty"`
	Duration    objects.Duration `yaml:"duration,omitempty"`
}

// Link describes a link with one port, whose connections are forwarded to Target.
type Link struct {
	Endpoint          `yaml:",inline"`
	Target            string           `yaml:"target"`
	Delay             objects.Duration `yaml:"delay,omitempty"`
	Jitter            objects.Duration `yaml:"jitter,omitempty"`
	Loss              float64          `yaml:"loss,omitempty"`
	MegabitsPerSecond float64          `yaml:"megabitsPerSecond,omitempty"`
	Seed              uint64           `yaml:"seed,omitempty"`
}

// Directory describes a directory for clients with addresses by region.
type Directory struct {
	Endpoint `yaml:",inline"`
	Entries  map[string][]string `yaml:"entries"`
}

// Weights describes a weight store; see weights.Config.
type Weights struct {
	Endpoint           `yaml:",inline"`
	MegabytesPerSecond float64        `yaml:"megabytesPerSecond,omitempty"`
	Megabytes          map[string]int `yaml:"megabytes,omitempty"`
}

// Load reads a specification from a YAML file. Unknown fields are an error.
func Load(file string) (*Spec, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, ErrSpec.Wrap(err, "%s", file)
	}
	var spec Spec
	if err := yaml.UnmarshalWithOptions(data, &spec, yaml.Strict()); err != nil {
		return nil, ErrSpec.Wrap(err, "%s", file)
	}
	return &spec, nil
}
