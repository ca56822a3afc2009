package fleet

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/health"
	"github.com/chestnutspring/chestnutspring/internal/published"
)

// maxLeavingDelay is the guaranteed bound: a leaving backend server gets no new
// requests after it.
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

// usableAnywhere reports whether any running node of the region would use the
// backend server.
func (b *testCluster) usableAnywhere(region, name string) bool {
	for _, n := range b.region(region) {
		if n.usable(name) {
			return true
		}
	}
	return false
}

// usableEverywhere reports whether all running nodes of the region would use the
// backend server.
func (b *testCluster) usableEverywhere(region, name string) bool {
	for _, n := range b.region(region) {
		if !n.usable(name) {
			return false
		}
	}
	return true
}

// listBackend adds a backend server's VM to the list or changes its state there.
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
		node := b.region("jeju")[0]
		node.mu.Lock()
		prober := node.roles.probers[name][0]
		node.mu.Unlock()
		b.engines[name].set(func(r *health.Report) { r.Leaving = true })
		b.nodes[prober].halt()
		b.waitFor("no new requests", maxLeavingDelay, func() bool { return !b.usableAnywhere("jeju", name) })
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
		b.waitFor("no new requests", maxLeavingDelay, func() bool { return !b.usableAnywhere("jeju", name) })
		// A stale replica of the service returns the older list, which is all
		// that two restarted members can read.
		b.listBackend(100, name, "jeju", published.StateLive)
		restarted := b.restart(vmName("jeju", 0), vmName("jeju", 1))[0]
		b.waitFor("restarted members have a current view", maxLeavingDelay, func() bool {
			if b.usableAnywhere("jeju", name) {
				t.Fatal("a restarted member uses the older list")
			}
			return b.usableEverywhere("jeju", "jeju-engine-1")
		})
		b.requireThroughout("no new requests while the older list is read", time.Minute, func() bool { return !b.usableAnywhere("jeju", name) })
		b.listBackend(102, name, "jeju", published.StateLive)
		b.waitFor("usable again after a newer list", maxLeavingDelay, func() bool { return b.usableEverywhere("jeju", name) })
		since := restarted.view().Backends[name].UsableSince
		if now := restarted.cfg.Now(); since == 0 || now.Sub(since) > maxLeavingDelay {
			t.Fatalf("no slow start: usable since %d, now %d", since, now)
		}
	})
}

func TestStaleViewUnusedAfterPause(t *testing.T) {
	for _, pause := range []time.Duration{3 * time.Second, 30 * time.Second, time.Hour} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testResumeAfterPause(t, pause) })
		})
	}
}

func testResumeAfterPause(t *testing.T, pause time.Duration) {
	b := startTestCluster(t, newMemNet(), 6, 3)
	b.waitFor("usable", maxLeavingDelay, func() bool {
		return b.usableEverywhere("jeju", "jeju-engine-0") && b.usableEverywhere("jeju", "jeju-engine-1")
	})
	// n is a node that isn't a prober of this backend server.
	nodes := b.region("jeju")
	n := nodes[slices.IndexFunc(nodes, func(n *testNode) bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return !slices.Contains(n.roles.probers["jeju-engine-0"], n.cfg.Self.VM)
	})]
	b.engines["jeju-engine-0"].set(func(r *health.Report) { r.Leaving = true })
	n.offset.Add(int64(pause)) // paused and resumed
	if n.usable("jeju-engine-0") || n.usable("jeju-engine-1") {
		t.Fatal("the view from before the pause is used")
	}
	b.waitFor("view refreshed", time.Second, func() bool {
		if n.usable("jeju-engine-0") {
			t.Fatal("a backend server that began to leave during the pause is used")
		}
		return n.usable("jeju-engine-1")
	})
	b.requireThroughout("no new requests", maxLeavingDelay, func() bool { return !n.usable("jeju-engine-0") })
}
