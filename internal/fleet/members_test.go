package fleet

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/membership"
	"github.com/chestnutspring/chestnutspring/internal/published"
)

func TestIsolatedRegionKeepsMembersAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startTestCluster(t, newMemNet(), 2, 3)
		b.list.setDown(true)
		jeju := map[string]bool{}
		for _, n := range b.region("jeju") {
			jeju[n.listener.Addr().String()] = true
		}
		for name, e := range b.engines {
			jeju[e.address] = strings.HasPrefix(name, "jeju")
		}
		// One VM is replaced by one with the same name and a new address.
		address := b.listen("").Addr().String()
		jeju[address] = true
		b.memory.setCut(func(from, to string) bool { return jeju[from] != jeju[to] })
		restarted := b.restartAt(vmName("jeju", 0), address, b.nodes[vmName("jeju", 1)].listener.Addr().String())
		b.waitFor("the restarted member has a usable view", 10*time.Second, func() bool {
			m := restarted.view().Members[vmName("jeju", 1)]
			return m != nil && m.Reachable && b.usableEverywhere("jeju", "jeju-engine-0")
		})
		if restarted.knownListRevision() == 0 {
			t.Fatal("the list of VMs was not received from the peer")
		}
		b.waitFor("new incarnation known in the region", 5*time.Second, func() bool {
			return b.nodes[vmName("jeju", 1)].view().Members[vmName("jeju", 0)].Incarnation == restarted.cfg.Self.Incarnation
		})
		b.requireThroughout("backend servers usable on both sides", 2*time.Minute, func() bool {
			return b.usableEverywhere("jeju", "jeju-engine-0") && b.usableEverywhere("busan", "busan-engine-0")
		})
		busan := b.nodes[vmName("busan", 0)]
		healed := busan.cfg.Now()
		b.memory.setCut(nil)
		b.waitFor("region recovered, with the new incarnation known", 20*time.Second, func() bool {
			s := busan.view()
			return s.RegionRecoveredAt["jeju"] > healed &&
				s.Members[vmName("jeju", 0)].Incarnation == restarted.cfg.Self.Incarnation
		})
	})
}

func TestLeavingAndUnreachableMembersPropagateToAllRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startTestCluster(t, newMemNet(), 6, 1)
		leaving, failed := vmName("jeju", 1), vmName("jeju", 2)
		b.nodes[leaving].Leave(context.Background())
		if !b.nodes[leaving].view().Leaving {
			t.Fatal("Leaving is not set in the snapshot of the leaving process")
		}
		b.waitFor("leaving announced to all", 2*time.Second, func() bool {
			return b.allOthers(leaving, func(n *testNode) bool { return n.view().Members[leaving].Leaving })
		})
		b.nodes[failed].halt()
		b.waitFor("failed member unreachable from all", 20*time.Second, func() bool {
			return b.allOthers(failed, func(n *testNode) bool { return !n.view().Members[failed].Reachable })
		})
		b.waitFor("removed from the list", 10*time.Second, func() bool {
			b.list.publish(b.list.revision+1, func(list *published.VMList) {
				list.VMs = slices.DeleteFunc(list.VMs, func(vm published.VM) bool { return vm.Name == failed })
			})
			return b.allOthers(failed, func(n *testNode) bool { return n.view().Members[failed] == nil })
		})
	})
}

func TestRegionHeartbeatsContinueWhenCarriersDie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startTestCluster(t, newMemNet(), 6, 1)
		busan := b.nodes[vmName("busan", 0)]
		fresh := func(within time.Duration) func() bool {
			return func() bool { return busan.cfg.Now().Sub(busan.view().RegionLastHeartbeat["jeju"]) <= within }
		}
		b.waitFor("heartbeat of the region received", 10*time.Second, fresh(minRegionHeartbeatInterval))
		chosen := membership.Choose(b.nodes[vmName("jeju", 0)].live(), "carrier/busan", carriersPerRegion)
		b.nodes[chosen[0]].halt()
		b.requireThroughout("heartbeats of the remaining carrier received", 30*time.Second, fresh(2*minRegionHeartbeatInterval+exchangeInterval))
		chosen = membership.Choose(b.region("jeju")[0].live(), "carrier/busan", carriersPerRegion)
		for _, vm := range chosen {
			b.nodes[vm].halt()
		}
		time.Sleep(regionUnresponsiveAfter) // heartbeats of the stopped carriers have aged out
		b.waitFor("heartbeats of replacement carriers received", 2*regionUnresponsiveAfter, fresh(minRegionHeartbeatInterval))
	})
}

func TestLinkWithPacketLossIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startTestCluster(t, newMemNet(), 2, 1)
		b.memory.stall()
		b.waitFor("heartbeats received over new connections", 3*pingInterval, func() bool {
			now := b.nodes[vmName("busan", 0)].cfg.Now()
			return now.Sub(b.nodes[vmName("busan", 0)].view().RegionLastHeartbeat["jeju"]) <= exchangeInterval &&
				b.memory.replaced()
		})
	})
}

func TestPartitionWithinRegionHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startTestCluster(t, newMemNet(), 6, 1)
		side := map[string]bool{}
		for i := range 3 {
			side[b.nodes[vmName("jeju", i)].listener.Addr().String()] = true
		}
		all := map[string]bool{}
		for _, n := range b.region("jeju") {
			all[n.listener.Addr().String()] = true
		}
		b.memory.setCut(func(from, to string) bool { return all[from] && all[to] && side[from] != side[to] })
		b.waitFor("each side sees only its own members", 30*time.Second, func() bool {
			return len(b.nodes[vmName("jeju", 0)].live()) == 3 && len(b.nodes[vmName("jeju", 5)].live()) == 3
		})
		b.memory.setCut(nil)
		b.waitFor("all members of the region reachable again", 30*time.Second, func() bool {
			for _, n := range b.region("jeju") {
				if len(n.live()) != 6 {
					return false
				}
			}
			return true
		})
	})
}

func TestRestartWithEarlierWallClockReplacesOldIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startTestCluster(t, newMemNet(), 6, 1)
		vm := vmName("jeju", 0)
		// Raise the first incarnation's record version above that of the restarted
		// one, as if the wall clock had been set back in between.
		b.nodes[vm].mu.Lock()
		b.nodes[vm].version += 1_000_000
		b.nodes[vm].announce()
		b.nodes[vm].mu.Unlock()
		time.Sleep(2 * time.Minute) // heartbeats raise the version far above the first announcement's
		restarted := b.restart(vm)[0]
		known := func() bool {
			return b.allOthers(vm, func(n *testNode) bool {
				m := n.view().Members[vm]
				return m.Incarnation == restarted.cfg.Self.Incarnation && m.Reachable
			})
		}
		b.waitFor("new incarnation reachable from all", 15*time.Second, known)
		b.requireThroughout("new incarnation stays reachable", time.Minute, known)
	})
}

func (n *testNode) live() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roles.live
}

// allOthers reports whether ok holds on all running nodes except vm's.
func (b *testCluster) allOthers(vm string, ok func(n *testNode) bool) bool {
	for name, n := range b.nodes {
		if name != vm && !n.halted.Load() && !ok(n) {
			return false
		}
	}
	return true
}

// requireThroughout fails the test if a condition doesn't hold throughout the
// period.
func (b *testCluster) requireThroughout(what string, period time.Duration, ok func() bool) {
	b.t.Helper()
	for start := time.Now(); time.Since(start) < period; time.Sleep(50 * time.Millisecond) {
		if !ok() {
			b.t.Fatalf("condition violated after %s: %s", time.Since(start), what)
		}
	}
}

// restart stops nodes and replaces them by new incarnations on the same addresses.
func (b *testCluster) restart(vms ...string) []*testNode {
	for _, vm := range vms {
		b.nodes[vm].halt()
	}
	var nodes []*testNode
	for _, vm := range vms {
		nodes = append(nodes, b.restartAt(vm, b.nodes[vm].listener.Addr().String()))
	}
	return nodes
}

// restartAt replaces a node by a new incarnation on the given address.
func (b *testCluster) restartAt(vm, address string, seeds ...string) *testNode {
	old := b.nodes[vm]
	old.halt()
	l := b.listen(address)
	next := b.build(old.cfg.Self.Region, vm, "second-"+vm, l, seeds)
	b.start(next)
	return next
}
