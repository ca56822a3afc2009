package promises

import (
	"slices"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/testbed"
)

const (
	newVersion = "2026-12"
	// ordersBound is the time within which engines get a new version. The
	// test's weights are small and its links fast.
	ordersBound = 30 * time.Second
	// correctionBound is the time within which an engine that doesn't check
	// fencing numbers is corrected after a false order.
	correctionBound = 10 * time.Second
)

// publishVersion publishes a new version of the model with small weights.
func publishVersion(t *testing.T, bed *testbed.Bed, version string) {
	t.Helper()
	err := bed.Change(func(next *objects.Set) {
		model := *next.Models["wind-writer"]
		model.Spec.Version, model.Spec.WeightMegabytes, model.Spec.Adapters = version, 1, nil
		next.Models = map[string]*objects.Model{"wind-writer": &model}
	})
	if err != nil {
		t.Fatal(err)
	}
}

// allLoadedOnly reports whether each engine has loaded the version and nothing else.
func allLoadedOnly(bed *testbed.Bed, version string) bool {
	for _, e := range bed.Engines {
		if !slices.Equal(e.Loaded(), []string{"wind-writer@" + version}) {
			return false
		}
	}
	return true
}

// Engines get a published version, those that check fencing numbers and those
// that don't, with few loads at a time. A false order to an engine that doesn't
// check is corrected; one with an old number is refused by an engine that does.
func TestPromiseOrdersFollowTheConfiguration(t *testing.T) {
	bed := startBed(t, nil)
	publishVersion(t, bed, newVersion)
	eventually(t, ordersBound, "the new version on all engines", func() bool { return allLoadedOnly(bed, newVersion) })
	if peak := bed.Weights.Peak(); peak > int64(len(bed.Regions())) {
		t.Errorf("%d loads at once, want at most one a region", peak)
	}
	for name, e := range bed.Engines {
		status := sendOrder(t, bed, name, `{"fence":1,"kind":"load","model":"wind-writer","version":"old"}`)
		checks := bed.Set().BackendServers[name].Spec.ChecksFencing
		if checks != (status == 409) {
			t.Errorf("%s, which checks: %v, answered an old order with status %d", e.Name(), checks, status)
		}
	}
	eventually(t, correctionBound, "false orders corrected", func() bool { return allLoadedOnly(bed, newVersion) })
}
