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
	// ordersBound is the time within which all engines load a new version. The
	// test uses small weights and fast links.
	ordersBound = 30 * time.Second
	// correctionBound is the time within which an engine that does not check
	// fencing numbers is corrected after an outdated order.
	correctionBound = 10 * time.Second
)

// publishVersion publishes a new version of the model with small weights.
func publishVersion(t *testing.T, bed *testbed.Bed, version string) {
	t.Helper()
	err := bed.UpdateConfig(func(next *objects.Set) {
		model := *next.Models["wind-writer"]
		model.Spec.Version, model.Spec.WeightMegabytes, model.Spec.Adapters = version, 1, nil
		next.Models = map[string]*objects.Model{"wind-writer": &model}
	})
	if err != nil {
		t.Fatal(err)
	}
}

// allLoadedOnly reports whether each engine has loaded this version and no
// other.
func allLoadedOnly(bed *testbed.Bed, version string) bool {
	for _, e := range bed.Engines {
		if !slices.Equal(e.Loaded(), []string{"wind-writer@" + version}) {
			return false
		}
	}
	return true
}

// All engines load a published version, whether or not they check fencing
// numbers, with at most one load per region at a time. An order with an
// outdated fencing number is refused by an engine that checks it; an engine
// that does not check is corrected afterwards.
func TestPromiseOrdersFollowTheConfiguration(t *testing.T) {
	bed := startBed(t, nil)
	publishVersion(t, bed, newVersion)
	eventually(t, ordersBound, "the new version on all engines", func() bool { return allLoadedOnly(bed, newVersion) })
	if peak := bed.Weights.MaxConcurrentLoads(); peak > int64(len(bed.Regions())) {
		t.Errorf("%d concurrent loads, want at most one per region", peak)
	}
	for name, e := range bed.Engines {
		status := sendOrder(t, bed, name, `{"fence":1,"kind":"load","model":"wind-writer","version":"old"}`)
		checks := bed.PublishedSet().BackendServers[name].Spec.ChecksFencing
		if checks != (status == 409) {
			t.Errorf("%s (checks fencing: %v) responded to an outdated order with status %d", e.Name(), checks, status)
		}
	}
	eventually(t, correctionBound, "outdated orders corrected", func() bool { return allLoadedOnly(bed, newVersion) })
}
