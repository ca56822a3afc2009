package experiment

import (
	"context"
	"log/slog"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/standin/engine"
	"github.com/chestnutspring/chestnutspring/internal/testbed"
)

// Runner runs experiments.
type Runner struct {
	// GatewayBinary is the path of chestnut-gateway.
	GatewayBinary string
	// LogDir is where the gateways' logs go; "" keeps none.
	LogDir string
	// Parallel is how many policies run at once, each with a deployment of
	// its own; zero is one.
	Parallel int
	Log      *slog.Logger
}

// settle is how long a deployment runs before its load starts, so that its
// gateways know each other and have probed the backend servers.
const settle = 1500 * time.Millisecond

// progressInterval is the time between two lines of progress.
const progressInterval = 5 * time.Second

// maxInFlight bounds the requests in flight, so that a deployment that doesn't
// answer can't use up the machine.
const maxInFlight = 4000

// Run runs the experiment once for each policy and works out the figures.
func (r *Runner) Run(ctx context.Context, spec *Spec) (*Result, error) {
	result := &Result{
		Spec: spec, Started: time.Now().UTC(),
		Go: runtime.Version(), CPUs: runtime.NumCPU(), LoadBefore: loadAverage(),
	}
	result.Runs = make([]Run, len(spec.Policies))
	all, ctx := errgroup.WithContext(ctx)
	all.SetLimit(max(1, r.Parallel))
	for i, variant := range spec.Policies {
		all.Go(func() error {
			run, _, err := r.runOne(ctx, spec, variant)
			if err == nil {
				result.Runs[i] = *run
			}
			return err
		})
	}
	err := all.Wait()
	result.LoadAfter = loadAverage()
	return result, err
}

// runOne runs the experiment with one policy.
func (r *Runner) runOne(ctx context.Context, spec *Spec, variant Variant) (*Run, []*Outcome, error) {
	set, err := objects.Load(spec.Deployment)
	if err != nil {
		return nil, nil, err
	}
	set = scaleLimits(variant.apply(set), spec.LimitFactor)
	config := r.bedConfig(spec, set)
	if r.LogDir != "" {
		config.LogDir = filepath.Join(r.LogDir, spec.Name, variant.Name)
	}
	bed, err := testbed.Start(ctx, config)
	if err != nil {
		return nil, nil, err
	}
	defer bed.Close()
	if !sleepUntil(ctx, time.Now().Add(settle)) {
		return nil, nil, ctx.Err()
	}
	log := r.Log.With("experiment", spec.Name, "policy", variant.Name)
	before := takeCounters(bed)
	outcomes, start := r.send(ctx, bed, spec, Schedule(spec, set), log)
	after := takeCounters(bed)
	if err := ctx.Err(); err != nil {
		return nil, nil, err
	}
	run := &Run{Policy: variant}
	run.Violations = Audit(set, outcomes, recordsOf(bed))
	run.Crossings = after.crossings(before)
	figures := newFigureMaker(spec, set, outcomes, start)
	run.Overall = figures.overall()
	run.Overall.addCost(set, before, after)
	run.Phases = figures.phases()
	run.Timeline = figures.timeline()
	return run, outcomes, nil
}

func (r *Runner) bedConfig(spec *Spec, set *objects.Set) testbed.Config {
	return testbed.Config{
		Set:           set,
		GatewayBinary: r.GatewayBinary,
		Seed:          spec.Seed,
		Jitter:        spec.Links.Jitter.D(),
		Loss:          spec.Links.Loss,
		Engine: func(_ *objects.BackendServer, c *engine.Config) {
			e := spec.Engine
			replaceSet(&c.Concurrency, e.Concurrency)
			replaceSet(&c.BatchSlowdown, e.BatchSlowdown)
			replaceSet(&c.CacheTokens, e.CacheTokens)
			replaceSet(&c.LoadLag, e.LoadLag.D())
			replaceSet(&c.EventLag, e.EventLag.D())
			replaceSet(&c.EventGap, e.EventGap)
		},
	}
}

func replaceSet[T comparable](field *T, value T) {
	var zero T
	if value != zero {
		*field = value
	}
}

// send sends each request at its time, whether or not earlier ones were
// answered, and returns the outcomes and the start of the load.
func (r *Runner) send(ctx context.Context, bed *testbed.Bed, spec *Spec, arrivals []Arrival, log *slog.Logger) ([]*Outcome, time.Time) {
	caller := NewCaller(directoryOf(bed))
	defer caller.Close()
	start := time.Now()
	var background sync.WaitGroup
	faultContext, endFaults := context.WithCancel(ctx)
	background.Go(func() { inject(faultContext, bed, spec.Faults, start, log) })
	outcomes := make([]*Outcome, len(arrivals))
	slots := make(chan struct{}, maxInFlight)
	var all sync.WaitGroup
	next := start.Add(progressInterval)
	for i, a := range arrivals {
		if !sleepUntil(ctx, start.Add(a.At)) {
			break
		}
		if time.Now().After(next) {
			log.Info("progress", "sent", i, "of", len(arrivals), "inFlight", len(slots))
			next = next.Add(progressInterval)
		}
		slots <- struct{}{}
		all.Go(func() {
			outcomes[i] = caller.Do(ctx, a.Call, start.Add(a.At))
			<-slots
		})
	}
	all.Wait()
	endFaults()
	background.Wait()
	wakeAll(bed)
	return slices.DeleteFunc(outcomes, func(o *Outcome) bool { return o == nil }), start
}

// wakeAll lets paused gateways go on, so that what they still do is seen.
func wakeAll(bed *testbed.Bed) {
	for _, g := range bed.Gateways {
		g.Resume()
	}
}

// directoryOf returns the entry addresses for callers of a region: its own
// entry VMs in turn, then the other regions'.
func directoryOf(bed *testbed.Bed) func(region string) []string {
	var mu sync.Mutex
	turn := 0
	return func(region string) []string {
		mu.Lock()
		defer mu.Unlock()
		turn++
		own := bed.GatewaysOf(region)
		addresses := make([]string, 0, len(bed.Gateways))
		for i := range own {
			addresses = append(addresses, own[(turn+i)%len(own)].CallerAddress())
		}
		for _, other := range bed.Regions() {
			if other == region {
				continue
			}
			for _, g := range bed.GatewaysOf(other) {
				addresses = append(addresses, g.CallerAddress())
			}
		}
		return addresses
	}
}
