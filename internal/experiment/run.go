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
	// GatewayBinary is the path of the chestnut-gateway program.
	GatewayBinary string
	// LogDir is the directory for the gateways' logs; empty discards them.
	LogDir string
	// Parallel is the number of policies that run at once, each with a
	// deployment of its own; zero means one.
	Parallel int
	Log      *slog.Logger
}

// settleDelay is the time between the start of a deployment and its load. In
// this time the gateways discover each other and probe the backend servers.
const settleDelay = 1500 * time.Millisecond

// progressInterval is the time between two progress log lines.
const progressInterval = 5 * time.Second

// maxInFlight bounds the requests in flight, so that an unresponsive deployment
// can't exhaust the machine's resources.
const maxInFlight = 4000

// Run runs the experiment once per policy and computes the statistics. With an
// error, the result holds the runs that succeeded; the others are zero.
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
			run, _, err := r.runPolicy(ctx, spec, variant)
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

// runPolicy runs the experiment with one policy and returns its statistics and
// the outcome of each request.
func (r *Runner) runPolicy(ctx context.Context, spec *Spec, variant Variant) (*Run, []*Outcome, error) {
	set, err := objects.Load(spec.Deployment)
	if err != nil {
		return nil, nil, err
	}
	set = scaleLimits(variant.apply(set), spec.LimitFactor)
	config := r.testbedConfig(spec, set)
	if r.LogDir != "" {
		config.LogDir = filepath.Join(r.LogDir, spec.Name, variant.Name)
	}
	bed, err := testbed.Start(ctx, config)
	if err != nil {
		return nil, nil, err
	}
	defer bed.Close()
	if !sleepUntil(ctx, time.Now().Add(settleDelay)) {
		return nil, nil, ctx.Err()
	}
	log := r.Log.With("experiment", spec.Name, "policy", variant.Name)
	before := readCounters(bed)
	outcomes, start := r.send(ctx, bed, spec, Schedule(spec, set), log)
	after := readCounters(bed)
	if err := ctx.Err(); err != nil {
		return nil, nil, err
	}
	run := &Run{Policy: variant}
	run.Violations = Audit(set, outcomes, collectRecords(bed))
	run.CrossRegionTraffic = after.trafficSince(before)
	stats := newStatsBuilder(spec, set, outcomes, start)
	run.Overall = stats.overall()
	run.Overall.addCost(set, before, after)
	run.Phases = stats.phases()
	run.Timeline = stats.timeline()
	return run, outcomes, nil
}

func (r *Runner) testbedConfig(spec *Spec, set *objects.Set) testbed.Config {
	return testbed.Config{
		Set:           set,
		GatewayBinary: r.GatewayBinary,
		Seed:          spec.Seed,
		Jitter:        spec.Links.Jitter.AsDuration(),
		Loss:          spec.Links.Loss,
		Engine: func(_ *objects.BackendServer, c *engine.Config) {
			e := spec.Engine
			overrideNonZero(&c.Concurrency, e.Concurrency)
			overrideNonZero(&c.BatchSlowdown, e.BatchSlowdown)
			overrideNonZero(&c.CacheTokens, e.CacheTokens)
			overrideNonZero(&c.LoadLag, e.LoadLag.AsDuration())
			overrideNonZero(&c.EventLag, e.EventLag.AsDuration())
			overrideNonZero(&c.EventGap, e.EventGap)
		},
	}
}

func overrideNonZero[T comparable](field *T, value T) {
	var zero T
	if value != zero {
		*field = value
	}
}

// send sends each request at its scheduled time, without waiting for earlier
// responses (open loop), and injects the faults meanwhile. It returns the
// outcomes and the start time of the load. The open loop pauses only while
// maxInFlight requests are in flight.
func (r *Runner) send(ctx context.Context, bed *testbed.Bed, spec *Spec, arrivals []Arrival, log *slog.Logger) ([]*Outcome, time.Time) {
	caller := NewCaller(entryDirectory(bed))
	defer caller.Close()
	start := time.Now()
	var background sync.WaitGroup
	faultContext, endFaults := context.WithCancel(ctx)
	background.Go(func() { injectFaults(faultContext, bed, spec.Faults, start, log) })
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
	resumeGateways(bed)
	return slices.DeleteFunc(outcomes, func(o *Outcome) bool { return o == nil }), start
}

// resumeGateways resumes paused gateways, so that the audit covers what they still
// do.
func resumeGateways(bed *testbed.Bed) {
	for _, g := range bed.Gateways {
		g.Resume()
	}
}

// entryDirectory returns a function that lists the entry addresses for callers in
// a region: first those of the region, in rotating order, then those of the
// other regions.
func entryDirectory(bed *testbed.Bed) func(region string) []string {
	var mu sync.Mutex
	rotation := 0
	return func(region string) []string {
		mu.Lock()
		defer mu.Unlock()
		rotation++
		own := bed.GatewaysOf(region)
		addresses := make([]string, 0, len(bed.Gateways))
		for i := range own {
			addresses = append(addresses, own[(rotation+i)%len(own)].CallerAddress())
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
