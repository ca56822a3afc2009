package fleet

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/health"
	"github.com/chestnutspring/chestnutspring/internal/published"
)

// maxLeavingDelay is the promise: no new work after it.
const maxLeavingDelay = 5 * time.Second

// region returns the running nodes of a region.
func (b *testCluster) region(region string) []*testNode {
	var nodes []*testNode
	for _, n := range b.nodes {
		if n.cfg.Self.Region == region && !n.halted.Load() {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// usableAnywhere reports whether a node of the region would use the server.
func (b *testCluster) usableAnywhere(region, name string) bool {
	for _, n := range b.region(region) {
		if n.usable(name) {
			return true
		}
	}
	return false
}

func (b *testCluster) usableEverywhere(region, name string) bool {
	for _, n := range b.region(region) {
		if !n.usable(name) {
			return false
		}
	}
	return true
}

// listBackend puts a backend server's VM into the list.
func (b *testCluster) listBackend(revision uint64, name, region, state string) {
	b.list.publish(revision, func(list *published.VMList) {
		for i := range list.VMs {
			if list.VMs[i].Name == name {
				list.VMs[i].State = state
				return
			}
		}
		list.VMs = append(list.VMs, published.VM{Name: name, Region: region, Role: published.RoleBackend, State: state})
	})
}

func TestLeavingReportedByProbeWhenProberDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startTestCluster(t, newMemNet(), 5, 3)
		name := "jeju-engine-0"
		b.waitFor("usable", maxLeavingDelay, func() bool { return b.usableEverywhere("jeju", name) })
		any := b.region("jeju")[0]
		any.mu.Lock()
		prober := any.roles.probers[name][0]
		any.mu.Unlock()
		b.engines[name].set(func(r *health.Report) { r.Leaving = true })
		b.nodes[prober].halt()
		b.waitFor("no new work", maxLeavingDelay, func() bool { return !b.usableAnywhere("jeju", name) })
		b.requireThroughout("other servers stay usable", maxLeavingDelay, func() bool {
			return b.usableEverywhere("jeju", "jeju-engine-1")
		})
	})
}

func TestOlderListDoesNotUndoLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startTestCluster(t, newMemNet(), 5, 3)
		name := "jeju-engine-0"
		b.listBackend(100, name, "jeju", published.StateLive)
		b.waitFor("usable", maxLeavingDelay, func() bool { return b.usableEverywhere("jeju", name) })
		b.listBackend(101, name, "jeju", published.StateLeaving)
		b.waitFor("no new work", maxLeavingDelay, func() bool { return !b.usableAnywhere("jeju", name) })
		// A stale replica of the service shows the older list, and two members
		// are restarted and read nothing else.
		b.listBackend(100, name, "jeju", published.StateLive)
		restarted := b.restart(vmName("jeju", 0), vmName("jeju", 1))[0]
		b.waitFor("restarted members have a view", maxLeavingDelay, func() bool {
			if b.usableAnywhere("jeju", name) {
				t.Fatal("a restarted member believes the older list")
			}
			return b.usableEverywhere("jeju", "jeju-engine-1")
		})
		b.requireThroughout("no new work under the older list", time.Minute, func() bool { return !b.usableAnywhere("jeju", name) })
		b.listBackend(102, name, "jeju", published.StateLive)
		b.waitFor("back by a newer list", maxLeavingDelay, func() bool { return b.usableEverywhere("jeju", name) })
		since := restarted.view().Backends[name].Since
		if now := restarted.cfg.Now(); since == 0 || now.Sub(since) > maxLeavingDelay {
			t.Fatalf("no slow start: since %d at %d", since, now)
		}
	})
}

func TestStaleViewUnusedAfterPause(t *testing.T) {
	for _, frozen := range []time.Duration{3 * time.Second, 30 * time.Second, time.Hour} {
		t.Run(frozen.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testResumeAfterPause(t, frozen) })
		})
	}
}

func testResumeAfterPause(t *testing.T, frozen time.Duration) {
	b := startTestCluster(t, newMemNet(), 6, 3)
	b.waitFor("usable", maxLeavingDelay, func() bool {
		return b.usableEverywhere("jeju", "jeju-engine-0") && b.usableEverywhere("jeju", "jeju-engine-1")
	})
	// One that leaves the probes of this server to others.
	nodes := b.region("jeju")
	n := nodes[slices.IndexFunc(nodes, func(n *testNode) bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return !slices.Contains(n.roles.probers["jeju-engine-0"], n.cfg.Self.VM)
	})]
	b.engines["jeju-engine-0"].set(func(r *health.Report) { r.Leaving = true })
	n.offset.Add(int64(frozen)) // frozen and woken at once
	if n.usable("jeju-engine-0") || n.usable("jeju-engine-1") {
		t.Fatal("the view from before the pause is used")
	}
	b.waitFor("refreshed", time.Second, func() bool {
		if n.usable("jeju-engine-0") {
			t.Fatal("the server that left in the pause is used")
		}
		return n.usable("jeju-engine-1")
	})
	b.requireThroughout("no new work", maxLeavingDelay, func() bool { return !n.usable("jeju-engine-0") })
}
