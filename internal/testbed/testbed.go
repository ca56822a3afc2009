// Package testbed starts a whole deployment on loopback for tests,
// demonstrations and experiments: gateways run as separate processes, and
// stand-ins for all other systems run in the calling process.
//
// All traffic between gateways of different regions goes over simulated links.
// Close stops everything that a Bed has started; it signals gateways by their
// process IDs.
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

var (
	// Errors is the namespace of the errors of this package.
	Errors = errorx.NewNamespace("testbed")
	// ErrStart means that the deployment can't be started.
	ErrStart = Errors.NewType("start")
	// ErrGateway means that a gateway process didn't start, become ready or
	// exit as requested.
	ErrGateway = Errors.NewType("gateway")
)

// Config describes a deployment to start.
type Config struct {
	// Deployment is the directory of the configuration objects. It is
	// ignored if Set is not nil.
	Deployment string
	// Set is the configuration. The addresses of its backend servers are
	// replaced by those of the stand-ins.
	Set *objects.Set
	// GatewayBinary is the path of the program chestnut-gateway.
	GatewayBinary string
	// GatewayArgs are additional flags for each gateway.
	GatewayArgs []string
	// GatewaysPerRegion is the number of entry VMs of each region; 0 means
	// defaultGatewaysPerRegion.
	GatewaysPerRegion int
	// Seed makes jitter and loss of the links reproducible.
	Seed uint64
	// Jitter and Loss apply to the links between regions; see link.Config.
	Jitter time.Duration
	Loss   float64
	// Engine edits the configuration of each engine, if not nil.
	Engine func(server *objects.BackendServer, config *engine.Config)
	// Service edits the configuration of each service, if not nil.
	Service func(server *objects.BackendServer, config *service.Config)
	// WeightMegabytesPerSecond is the rate limit of the weight store; 0
	// means no limit.
	WeightMegabytesPerSecond float64
	// LogDir is the directory for the gateways' logs; "" means no files. The
	// last lines of each log are also kept in memory.
	LogDir string
}

const defaultGatewaysPerRegion = 2

// readyTimeout bounds the time until all gateways are ready.
const readyTimeout = 20 * time.Second

// Bed is a running deployment.
type Bed struct {
	// Platform is the stand-in for the operators' platform.
	Platform *standinplatform.Platform
	// Gateways are the entry VMs, by VM name.
	Gateways map[string]*Gateway
	// Engines and Services are the backend servers, by name.
	Engines  map[string]*engine.Engine
	Services map[string]*service.Service
	// Weights is the weight store.
	Weights *weights.Store
	// DirectoryURL is the base URL of the directory for clients.
	DirectoryURL string

	config         Config
	directory      *directory.Directory
	backendServers map[string]*standin.Server // by name
	otherServers   []*standin.Server
	platformURLs   map[string]string // by region
	links          map[regionPair]*link.Link
	ports          map[portKey]*link.Port

	closing sync.Once

	mu       sync.Mutex
	set      *objects.Set
	vmStates map[string]string // states in the list of VMs, by VM name
}

// Start starts a deployment and waits until each gateway is ready.
func Start(ctx context.Context, config Config) (*Bed, error) {
	if config.GatewaysPerRegion == 0 {
		config.GatewaysPerRegion = defaultGatewaysPerRegion
	}
	b := &Bed{
		Platform:       standinplatform.New(),
		Gateways:       map[string]*Gateway{},
		Engines:        map[string]*engine.Engine{},
		Services:       map[string]*service.Service{},
		config:         config,
		backendServers: map[string]*standin.Server{},
		platformURLs:   map[string]string{},
		links:          map[regionPair]*link.Link{},
		ports:          map[portKey]*link.Port{},
		vmStates:       map[string]string{},
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
			return ErrStart.Wrap(err, "create the directory for logs")
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

// PublishedSet returns the last published configuration.
func (b *Bed) PublishedSet() *objects.Set {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.set
}

// Regions returns the names of the regions, sorted.
func (b *Bed) Regions() []string { return slices.Sorted(maps.Keys(b.PublishedSet().Regions)) }

// GatewaysOf returns the gateways of a region, sorted by name.
func (b *Bed) GatewaysOf(region string) []*Gateway {
	var found []*Gateway
	for _, name := range slices.Sorted(maps.Keys(b.Gateways)) {
		if g := b.Gateways[name]; g.Region == region {
			found = append(found, g)
		}
	}
	return found
}

// Close stops everything that Start has started. Further calls do nothing.
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

// directoryEntries returns the caller addresses of all gateways by region.
func (b *Bed) directoryEntries() published.Directory {
	d := published.Directory{Entries: map[string][]string{}}
	for _, name := range slices.Sorted(maps.Keys(b.Gateways)) {
		g := b.Gateways[name]
		d.Entries[g.Region] = append(d.Entries[g.Region], g.CallerAddress())
	}
	return d
}
