// Package testbed starts a whole deployment on loopback for tests,
// demonstrations and experiments: gateways as processes, and stand-ins of
// everything else in this process.
//
// All traffic between gateways of different regions goes over stand-ins of the
// links. Everything that a Bed starts is ended by Close, by its
// process ID.
package testbed

import (
	"context"
	"maps"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/standin"
	"github.com/chestnutspring/chestnutspring/internal/standin/directory"
	"github.com/chestnutspring/chestnutspring/internal/standin/engine"
	"github.com/chestnutspring/chestnutspring/internal/standin/link"
	standinplatform "github.com/chestnutspring/chestnutspring/internal/standin/platform"
	"github.com/chestnutspring/chestnutspring/internal/standin/service"
	"github.com/chestnutspring/chestnutspring/internal/standin/weights"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("testbed")
	// ErrStart says that the deployment can't be started.
	ErrStart = Errors.NewType("start")
	// ErrGateway says that a gateway process didn't do what it was told.
	ErrGateway = Errors.NewType("gateway")
)

// Config describes a deployment to start.
type Config struct {
	// Deployment is the directory of the objects. It is ignored if Set is set.
	Deployment string
	// Set is the configuration. Addresses of backend servers are replaced.
	Set *objects.Set
	// GatewayBinary is the path of chestnut-gateway.
	GatewayBinary string
	// GatewayArgs are further flags of each gateway.
	GatewayArgs []string
	// GatewaysPerRegion is 2 if zero.
	GatewaysPerRegion int
	// Seed makes the links repeatable.
	Seed uint64
	// Jitter and Loss are those of the links between regions.
	Jitter time.Duration
	Loss   float64
	// Engine changes the configuration of an engine, if set.
	Engine func(server *objects.BackendServer, config *engine.Config)
	// Service changes the configuration of a service, if set.
	Service func(server *objects.BackendServer, config *service.Config)
	// WeightMegabytesPerSecond limits the weight store; zero is no limit.
	WeightMegabytesPerSecond float64
	// LogDir is where the gateways' logs go; the last lines are kept in
	// memory too.
	LogDir string
}

// defaultGatewaysPerRegion is the number of entry VMs of a region.
const defaultGatewaysPerRegion = 2

// readyTimeout bounds the start of the gateways.
const readyTimeout = 20 * time.Second

// Bed is a running deployment.
type Bed struct {
	// Platform holds what the operators publish.
	Platform *standinplatform.Platform
	// Gateways, by VM name.
	Gateways map[string]*Gateway
	// Engines and Services, by the name of the backend server.
	Engines  map[string]*engine.Engine
	Services map[string]*service.Service
	// Weights is the weight store.
	Weights *weights.Store
	// DirectoryURL is the base URL of the directory for clients.
	DirectoryURL string

	config    Config
	directory *directory.Directory
	backendServers   map[string]*standin.Server // by backend server name
	otherServers    []*standin.Server
	platformURLs map[string]string // platform URL by region
	links     map[regionPair]*link.Link
	ports     map[portKey]*link.Port

	closing sync.Once

	mu     sync.Mutex
	set    *objects.Set
	vmStates map[string]string // VM name -> state in the list of VMs
}

// Start starts the deployment and waits until each gateway is ready.
func Start(ctx context.Context, config Config) (*Bed, error) {
	if config.GatewaysPerRegion == 0 {
		config.GatewaysPerRegion = defaultGatewaysPerRegion
	}
	b := &Bed{
		Platform:  standinplatform.New(),
		Gateways:  map[string]*Gateway{},
		Engines:   map[string]*engine.Engine{},
		Services:  map[string]*service.Service{},
		config:    config,
		backendServers:   map[string]*standin.Server{},
		platformURLs: map[string]string{},
		links:     map[regionPair]*link.Link{},
		ports:     map[portKey]*link.Port{},
		vmStates:    map[string]string{},
	}
	if err := b.start(ctx); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

func (b *Bed) start(ctx context.Context) error {
	set, err := b.loadSet()
	if err != nil {
		return err
	}
	if b.config.LogDir != "" {
		if err := os.MkdirAll(b.config.LogDir, 0o755); err != nil {
			return ErrStart.Wrap(err, "directory for logs")
		}
	}
	steps := []func(*objects.Set) error{
		b.startBackends, b.startPlatform, b.createGateways, b.startLinks, b.Publish,
	}
	for _, step := range steps {
		if err := step(set); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return b.startGateways(ctx)
}

func (b *Bed) loadSet() (*objects.Set, error) {
	if b.config.Set != nil {
		return b.config.Set, nil
	}
	return objects.Load(b.config.Deployment)
}

// PublishedSet returns the configuration that was published last.
func (b *Bed) PublishedSet() *objects.Set {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.set
}

// Regions returns the names of the regions, sorted.
func (b *Bed) Regions() []string { return slices.Sorted(maps.Keys(b.PublishedSet().Regions)) }

// GatewaysOf returns the gateways of a region, by name.
func (b *Bed) GatewaysOf(region string) []*Gateway {
	var found []*Gateway
	for _, name := range slices.Sorted(maps.Keys(b.Gateways)) {
		if g := b.Gateways[name]; g.Region == region {
			found = append(found, g)
		}
	}
	return found
}

// Close ends everything that Start started. Further calls do nothing.
func (b *Bed) Close() { b.closing.Do(b.close) }

func (b *Bed) close() {
	var all sync.WaitGroup
	for _, g := range b.Gateways {
		all.Go(g.Kill)
	}
	all.Wait()
	for _, l := range b.links {
		l.Close()
	}
	for _, s := range b.backendServers {
		_ = s.Close()
	}
	for _, s := range b.otherServers {
		_ = s.Close()
	}
	for _, e := range b.Engines {
		e.Close()
	}
}

// directoryEntries returns the directory of all gateways.
func (b *Bed) directoryEntries() published.Directory {
	d := published.Directory{Entries: map[string][]string{}}
	for _, name := range slices.Sorted(maps.Keys(b.Gateways)) {
		g := b.Gateways[name]
		d.Entries[g.Region] = append(d.Entries[g.Region], g.CallerAddress())
	}
	return d
}
