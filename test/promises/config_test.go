package promises

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/testbed"
)

// revisionOf returns the configuration revision in force at a gateway, or 0 if
// the gateway does not respond.
func revisionOf(g *testbed.Gateway) uint64 {
	resp, err := http.Get(g.OperatorURL() + "/debug/state")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var state struct{ Revision uint64 }
	if json.NewDecoder(resp.Body).Decode(&state) != nil {
		return 0
	}
	return state.Revision
}

// allAtRevision reports whether the revision is in force at all gateways.
func allAtRevision(bed *testbed.Bed, revision uint64) bool {
	for _, g := range bed.Gateways {
		if revisionOf(g) != revision {
			return false
		}
	}
	return true
}

// addTeam publishes a configuration with one more team and returns its
// revision.
func addTeam(t *testing.T, bed *testbed.Bed, name string) uint64 {
	t.Helper()
	err := bed.UpdateConfig(func(next *objects.Set) {
		next.Teams[name] = &objects.Team{Name: name, Spec: objects.TeamSpec{Home: "jeju"}}
	})
	if err != nil {
		t.Fatal(err)
	}
	return bed.Platform.Revision(published.ValueManifest)
}

// Each accepted configuration is in force on all gateways within
// configurationBound, also when operators publish concurrently.
func TestPromiseConfigurationInForceEverywhere(t *testing.T) {
	bed := startBed(t, nil)
	for i := range 5 {
		revision := addTeam(t, bed, fmt.Sprintf("new-team-%d", i))
		eventually(t, configurationBound, fmt.Sprintf("revision %d on all gateways", revision), func() bool { return allAtRevision(bed, revision) })
	}
	var racing sync.WaitGroup
	for operator := range 4 {
		racing.Go(func() { addTeam(t, bed, fmt.Sprintf("racing-team-%d", operator)) })
	}
	racing.Wait()
	last := bed.Platform.Revision(published.ValueManifest)
	eventually(t, configurationBound, "the last concurrent revision on all gateways", func() bool { return allAtRevision(bed, last) })
}

// A configuration never reverts: not while the platform serves an old revision,
// and not at a gateway that restarts in the meantime.
func TestPromiseConfigurationNeverReverts(t *testing.T) {
	bed := startBed(t, nil)
	addTeam(t, bed, "old-team")
	revision := addTeam(t, bed, "new-team")
	eventually(t, configurationBound, "the new revision on all gateways", func() bool { return allAtRevision(bed, revision) })

	bed.Platform.SetStale(published.ValueManifest, 2)
	restarted := bed.GatewaysOf("busan")[0]
	restarted.Kill()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := restarted.Restart(ctx); err != nil {
		t.Fatal(err)
	}
	if err := restarted.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(configurationBound); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for name, g := range bed.Gateways {
			if got := revisionOf(g); got < revision {
				t.Fatalf("%s went back from revision %d to %d", name, revision, got)
			}
		}
	}
	bed.Platform.SetStale(published.ValueManifest, 0)
	next := addTeam(t, bed, "newest-team")
	eventually(t, configurationBound, "the newest revision on all gateways", func() bool { return allAtRevision(bed, next) })
}
