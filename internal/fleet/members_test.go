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
		// One VM will be replaced: the name is the same, the address is new.
		address := b.listen("").Addr().String()
		jeju[address] = true
		b.memory.setCut(func(from, to string) bool { return jeju[from] != jeju[to] })
		restarted := b.restartAt(vmName("jeju", 0), address, b.nodes[vmName("jeju", 1)].listener.Addr().String())
		b.waitFor("the restarted member serves", 10*time.Second, func() bool {
			m := restarted.view().Members[vmName("jeju", 1)]
			return m != nil && m.Reachable && b.usableEverywhere("jeju", "jeju-engine-0")
		})
		if restarted.knownListRevision() == 0 {
			t.Fatal("the list wasn't learned from the peer")
		}
		b.waitFor("new incarnation known in the region", 5*time.Second, func() bool {
			return b.nodes[vmName("jeju", 1)].view().Members[vmName("jeju", 0)].Incarnation == restarted.cfg.Self.Incarnation
		})
		b.requireThroughout("the region serves", 2*time.Minute, func() bool {
			return b.usableEverywhere("jeju", "jeju-engine-0") && b.usableEverywhere("busan", "busan-engine-0")
		})
		busan := b.nodes[vmName("busan", 0)]
		healed := busan.cfg.Now()
		b.memory.setCut(nil)
		b.waitFor("region back in slow start, with its new incarnation", 20*time.Second, func() bool {
			s := busan.view()
			return s.RegionSince["jeju"] > healed &&
				s.Members[vmName("jeju", 0)].Incarnation == restarted.cfg.Self.Incarnation
		})
	})
}

func TestLeavingAndUnreachableMembersPropagateToAllRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startTestCluster(t, newMemNet(), 6, 1)
		left, lost := vmName("jeju", 1), vmName("jeju", 2)
		b.nodes[left].Leave(context.Background())
		if !b.nodes[left].view().Leaving {
			t.Fatal("the process itself doesn't know that it leaves")
		}
		b.waitFor("word of leaving", 2*time.Second, func() bool {
			return b.allOthers(left, func(n *testNode) bool { return n.view().Members[left].Leaving })
		})
		b.nodes[lost].halt()
		b.waitFor("silence noticed", 20*time.Second, func() bool {
			return b.allOthers(lost, func(n *testNode) bool { return !n.view().Members[lost].Reachable })
		})
		b.waitFor("dropped from the list", 10*time.Second, func() bool {
			b.list.publish(b.list.revision+1, func(list *published.VMList) {
				list.VMs = slices.DeleteFunc(list.VMs, func(vm published.VM) bool { return vm.Name == lost })
			})
			return b.allOthers(lost, func(n *testNode) bool { return n.view().Members[lost] == nil })
		})
	})
}

func TestRegionHeartbeatsContinueWhenCarriersDie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startTestCluster(t, newMemNet(), 6, 1)
		busan := b.nodes[vmName("busan", 0)]
		fresh := func(within time.Duration) func() bool {
			return func() bool { return busan.cfg.Now().Sub(busan.view().RegionHeard["jeju"]) <= within }
		}
		b.waitFor("region heard", 10*time.Second, fresh(minRegionHeartbeatInterval))
		carry := membership.Choose(b.nodes[vmName("jeju", 0)].live(), "carrier/busan", carriersPerRegion)
		b.nodes[carry[0]].halt()
		b.requireThroughout("one path is left", 30*time.Second, fresh(2*minRegionHeartbeatInterval+exchangeInterval))
		carry = membership.Choose(b.region("jeju")[0].live(), "carrier/busan", carriersPerRegion)
		for _, vm := range carry {
			b.nodes[vm].halt()
		}
		time.Sleep(regionUnresponsiveAfter) // all of the old carriers' messages are old now
		b.waitFor("others carry", 2*regionUnresponsiveAfter, fresh(minRegionHeartbeatInterval))
	})
}

func TestLinkWithPacketLossIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startTestCluster(t, newMemNet(), 2, 1)
		b.memory.stall()
		b.waitFor("heard again over new connections", 3*pingInterval, func() bool {
			now := b.nodes[vmName("busan", 0)].cfg.Now()
			return now.Sub(b.nodes[vmName("busan", 0)].view().RegionHeard["jeju"]) <= exchangeInterval &&
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
		b.waitFor("both sides go on alone", 30*time.Second, func() bool {
			return len(b.nodes[vmName("jeju", 0)].live()) == 3 && len(b.nodes[vmName("jeju", 5)].live()) == 3
		})
		b.memory.setCut(nil)
		b.waitFor("one region again", 30*time.Second, func() bool {
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
		// The first incarnation began in the restarted one's future.
		b.nodes[vm].mu.Lock()
		b.nodes[vm].version += 1_000_000
		b.nodes[vm].announce()
		b.nodes[vm].mu.Unlock()
		time.Sleep(2 * time.Minute) // its heartbeats are far ahead of its first word
		restarted := b.restart(vm)[0]
		known := func() bool {
			return b.allOthers(vm, func(n *testNode) bool {
				m := n.view().Members[vm]
				return m.Incarnation == restarted.cfg.Self.Incarnation && m.Reachable
			})
		}
		b.waitFor("new incarnation known to all", 15*time.Second, known)
		b.requireThroughout("and heard by all", time.Minute, known)
	})
}

func (n *testNode) live() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roles.live
}

func (b *testCluster) allOthers(vm string, ok func(n *testNode) bool) bool {
	for name, n := range b.nodes {
		if name != vm && !n.halted.Load() && !ok(n) {
			return false
		}
	}
	return true
}

// requireThroughout checks that a condition holds all the time.
func (b *testCluster) requireThroughout(what string, period time.Duration, ok func() bool) {
	b.t.Helper()
	for start := time.Now(); time.Since(start) < period; time.Sleep(50 * time.Millisecond) {
		if !ok() {
			b.t.Fatalf("after %s not: %s", time.Since(start), what)
		}
	}
}

// restart replaces nodes by new incarnations on the same addresses.
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
