// Package host runs stand-ins that a YAML file describes, for the program
// chestnut-standin.
package host

import (
	"os"

	"github.com/goccy/go-yaml"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/standin"
)

// ErrSpec says that a file isn't right.
var ErrSpec = standin.Errors.NewType("spec")

// Spec lists the stand-ins to run. Each has a name of its own and an address
// to listen on; port 0 takes a free one.
type Spec struct {
	Platforms   []Platform  `yaml:"platforms,omitempty"`
	Engines     []Engine    `yaml:"engines,omitempty"`
	Services    []Service   `yaml:"services,omitempty"`
	Links       []Link      `yaml:"links,omitempty"`
	Directories []Directory `yaml:"directories,omitempty"`
	Weights     []Weights   `yaml:"weights,omitempty"`
}

// Endpoint is the name of a stand-in and the address that it listens on.
type Endpoint struct {
	Name   string `yaml:"name"`
	Listen string `yaml:"listen"`
}

// Platform is a configuration service with a list of VMs and a directory.
type Platform struct {
	Endpoint `yaml:",inline"`
	// Objects is a directory of objects to bundle and publish.
	Objects   string              `yaml:"objects"`
	VMs       []published.VM      `yaml:"vms,omitempty"`
	Directory published.Directory `yaml:"directory,omitempty"`
}

// Engine is a model engine.
type Engine struct {
	Endpoint                  `yaml:",inline"`
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

// Service is a plain service.
type Service struct {
	Endpoint       `yaml:",inline"`
	Concurrency int              `yaml:"concurrency,omitempty"`
	Duration    objects.Duration `yaml:"duration,omitempty"`
}

// Link is a port of a link: what connects to it is carried to Target.
type Link struct {
	Endpoint             `yaml:",inline"`
	Target            string           `yaml:"target"`
	Delay             objects.Duration `yaml:"delay,omitempty"`
	Jitter            objects.Duration `yaml:"jitter,omitempty"`
	Loss              float64          `yaml:"loss,omitempty"`
	MegabitsPerSecond float64          `yaml:"megabitsPerSecond,omitempty"`
	Seed              uint64           `yaml:"seed,omitempty"`
}

// Directory is a directory for clients.
type Directory struct {
	Endpoint   `yaml:",inline"`
	Entries map[string][]string `yaml:"entries"`
}

// Weights is a weight store.
type Weights struct {
	Endpoint              `yaml:",inline"`
	MegabytesPerSecond float64        `yaml:"megabytesPerSecond,omitempty"`
	Megabytes          map[string]int `yaml:"megabytes,omitempty"`
}

// Load reads a file.
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
