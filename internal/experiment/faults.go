package experiment

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/standin/engine"
	standinplatform "github.com/chestnutspring/chestnutspring/internal/standin/platform"
	"github.com/chestnutspring/chestnutspring/internal/testbed"
)

// Fault is a fault to inject at a given time of a run.
type Fault struct {
	At   objects.Duration `yaml:"at" json:"at"`
	Kind string           `yaml:"kind" json:"kind"`
	// Name is the region, VM or backend server that the fault affects.
	Name string `yaml:"name,omitempty" json:"name,omitempty"`
	// Other is the region at the other end of the affected link.
	Other string `yaml:"other,omitempty" json:"other,omitempty"`
	// Factor is the slowdown for the kind "slow", and the remaining share of
	// the engines for the kind "capacity".
	Factor float64 `yaml:"factor,omitempty" json:"factor,omitempty"`
}

// faultActions holds the action of each kind of fault. An unknown entry VM, and an
// unknown engine for "slow" or link for "cut" and "heal", is an error. Other
// unknown regions and backend servers have no effect.
var faultActions = map[string]func(context.Context, *testbed.Bed, Fault) error{
	// Links and regions.
	"cut":     onLink(func(b *testbed.Bed, f Fault) { b.CutLink(f.Name, f.Other) }),
	"heal":    onLink(func(b *testbed.Bed, f Fault) { b.HealLink(f.Name, f.Other) }),
	"isolate": func(_ context.Context, b *testbed.Bed, f Fault) error { b.Isolate(f.Name); return nil },
	"rejoin":  func(_ context.Context, b *testbed.Bed, f Fault) error { b.Rejoin(f.Name); return nil },
	// Backend servers.
	"slow":        func(_ context.Context, b *testbed.Bed, f Fault) error { return setSlowdown(b, f) },
	"capacity":    func(_ context.Context, b *testbed.Bed, f Fault) error { return setCapacity(b, f) },
	"cold-caches": func(_ context.Context, b *testbed.Bed, f Fault) error { return clearCaches(b, f) },
	"leave": func(_ context.Context, b *testbed.Bed, f Fault) error {
		return b.SetVMState(f.Name, published.StateLeaving)
	},
	// Entry VMs.
	"kill":    onGateway(func(_ context.Context, g *testbed.Gateway) error { g.Kill(); return nil }),
	"freeze":  onGateway(func(_ context.Context, g *testbed.Gateway) error { g.Pause(); return nil }),
	"wake":    onGateway(func(_ context.Context, g *testbed.Gateway) error { g.Resume(); return nil }),
	"restart": onGateway(func(ctx context.Context, g *testbed.Gateway) error { return g.Restart(ctx) }),
	// The platform.
	"platform-outage": func(_ context.Context, b *testbed.Bed, f Fault) error {
		b.Platform.SetOutage(f.Name, standinplatform.OutageError)
		return nil
	},
	"platform-heal": func(_ context.Context, b *testbed.Bed, f Fault) error {
		b.Platform.SetOutage(f.Name, standinplatform.OutageNone)
		return nil
	},
}

func onGateway(act func(context.Context, *testbed.Gateway) error) func(context.Context, *testbed.Bed, Fault) error {
	return func(ctx context.Context, b *testbed.Bed, f Fault) error {
		g := b.Gateways[f.Name]
		if g == nil {
			return ErrSpec.New("unknown entry VM %s", f.Name)
		}
		return act(ctx, g)
	}
}

// setSlowdown divides the rates of an engine by the factor; factor 1 restores
// them.
func setSlowdown(b *testbed.Bed, f Fault) error {
	e := b.Engines[f.Name]
	if e == nil {
		return ErrSpec.New("unknown engine %s", f.Name)
	}
	e.SetFaults(engine.Faults{Slowdown: f.Factor})
	return nil
}

// setCapacity keeps the given share of a region's engines running and stops the
// others. Factor 1 restarts the stopped ones, with empty caches.
func setCapacity(b *testbed.Bed, f Fault) error {
	names := regionEngines(b, f.Name)
	keep := int(f.Factor*float64(len(names)) + 0.5)
	for i, name := range names {
		if i >= keep {
			b.StopBackend(name)
			continue
		}
		if err := b.RestartBackend(name); err != nil {
			return err
		}
	}
	return nil
}

func clearCaches(b *testbed.Bed, f Fault) error {
	for _, name := range regionEngines(b, f.Name) {
		b.Engines[name].ClearCache()
	}
	return nil
}

// regionEngines returns the names of the engines of a region, sorted.
func regionEngines(b *testbed.Bed, region string) []string {
	set := b.PublishedSet()
	var found []string
	for _, name := range slices.Sorted(maps.Keys(b.Engines)) {
		if set.RegionOf(set.BackendServers[name].Spec.FailureDomain) == region {
			found = append(found, name)
		}
	}
	return found
}

// injectFaults injects the faults at their times, relative to start. It returns
// after the last fault, or when the context ends.
func injectFaults(ctx context.Context, bed *testbed.Bed, faults []Fault, start time.Time, log *slog.Logger) {
	ordered := slices.Clone(faults)
	slices.SortStableFunc(ordered, func(a, b Fault) int { return int(a.At - b.At) })
	for _, f := range ordered {
		if !sleepUntil(ctx, start.Add(f.At.AsDuration())) {
			return
		}
		log.Info("injecting fault", "kind", f.Kind, "name", f.Name, "other", f.Other, "factor", f.Factor)
		if err := faultActions[f.Kind](ctx, bed, f); err != nil {
			log.Error("injecting fault failed", "kind", f.Kind, "name", f.Name, "error", err)
		}
	}
}

// sleepUntil waits until the given time. It returns false if the context ends
// first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// onLink returns the action of a fault on the link between two regions. Its error is
// ErrSpec if there is no such link.
func onLink(action func(*testbed.Bed, Fault)) func(context.Context, *testbed.Bed, Fault) error {
	return func(_ context.Context, b *testbed.Bed, f Fault) error {
		if !b.HasLink(f.Name, f.Other) {
			return ErrSpec.New("%s: there is no link between the regions %q and %q", f.Kind, f.Name, f.Other)
		}
		action(b, f)
		return nil
	}
}
