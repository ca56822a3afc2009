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

// Fault is something that happens at a time.
type Fault struct {
	At   objects.Duration `yaml:"at" json:"at"`
	Kind string           `yaml:"kind" json:"kind"`
	// Name is the region, VM or backend server that it happens to.
	Name string `yaml:"name,omitempty" json:"name,omitempty"`
	// Other is the region at the other end of a link.
	Other string `yaml:"other,omitempty" json:"other,omitempty"`
	// Factor is how many times slower, or the share of capacity that is left.
	Factor float64 `yaml:"factor,omitempty" json:"factor,omitempty"`
}

// faultActions holds what each kind of fault does. A fault of an unknown name
// does nothing.
var faultActions = map[string]func(context.Context, *testbed.Bed, Fault) error{
	// Of a link or a region.
	"cut":     func(_ context.Context, b *testbed.Bed, f Fault) error { b.CutLink(f.Name, f.Other); return nil },
	"heal":    func(_ context.Context, b *testbed.Bed, f Fault) error { b.HealLink(f.Name, f.Other); return nil },
	"isolate": func(_ context.Context, b *testbed.Bed, f Fault) error { b.Isolate(f.Name); return nil },
	"rejoin":  func(_ context.Context, b *testbed.Bed, f Fault) error { b.Rejoin(f.Name); return nil },
	// Of backend servers.
	"slow":        func(_ context.Context, b *testbed.Bed, f Fault) error { return slow(b, f) },
	"capacity":    func(_ context.Context, b *testbed.Bed, f Fault) error { return capacity(b, f) },
	"cold-caches": func(_ context.Context, b *testbed.Bed, f Fault) error { return coldCaches(b, f) },
	"leave": func(_ context.Context, b *testbed.Bed, f Fault) error {
		return b.SetVMState(f.Name, published.StateLeaving)
	},
	// Of entry VMs.
	"kill":    onGateway(func(_ context.Context, g *testbed.Gateway) error { g.Kill(); return nil }),
	"freeze":  onGateway(func(_ context.Context, g *testbed.Gateway) error { g.Pause(); return nil }),
	"wake":    onGateway(func(_ context.Context, g *testbed.Gateway) error { g.Resume(); return nil }),
	"restart": onGateway(func(ctx context.Context, g *testbed.Gateway) error { return g.Restart(ctx) }),
	// Of the platform.
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
			return ErrSpec.New("no entry VM has the name %s", f.Name)
		}
		return act(ctx, g)
	}
}

// slow makes a backend server slower; factor 1 makes it normal again.
func slow(b *testbed.Bed, f Fault) error {
	e := b.Engines[f.Name]
	if e == nil {
		return ErrSpec.New("no engine has the name %s", f.Name)
	}
	e.SetFaults(engine.Faults{Slowdown: f.Factor})
	return nil
}

// capacity leaves a share of the engines of a region and ends the others.
// Factor 1 brings all back, with cold caches.
func capacity(b *testbed.Bed, f Fault) error {
	names := enginesOf(b, f.Name)
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

func coldCaches(b *testbed.Bed, f Fault) error {
	for _, name := range enginesOf(b, f.Name) {
		b.Engines[name].ClearCache()
	}
	return nil
}

// enginesOf returns the names of the engines of a region, sorted.
func enginesOf(b *testbed.Bed, region string) []string {
	set := b.PublishedSet()
	var found []string
	for _, name := range slices.Sorted(maps.Keys(b.Engines)) {
		if set.RegionOf(set.BackendServers[name].Spec.FailureDomain) == region {
			found = append(found, name)
		}
	}
	return found
}

// inject makes the faults happen at their times after start. It returns when
// all have happened or the context ends.
func inject(ctx context.Context, bed *testbed.Bed, faults []Fault, start time.Time, log *slog.Logger) {
	ordered := slices.Clone(faults)
	slices.SortStableFunc(ordered, func(a, b Fault) int { return int(a.At - b.At) })
	for _, f := range ordered {
		if !sleepUntil(ctx, start.Add(f.At.D())) {
			return
		}
		log.Info("fault", "kind", f.Kind, "name", f.Name, "other", f.Other, "factor", f.Factor)
		if err := faultActions[f.Kind](ctx, bed, f); err != nil {
			log.Error("fault failed", "kind", f.Kind, "name", f.Name, "error", err)
		}
	}
}

// sleepUntil reports false when the context ends first.
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
