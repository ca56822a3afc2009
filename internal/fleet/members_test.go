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

func TestIsolatedRegionKeepsItsMembersOverARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBed(t, newMemNet(), 2, 3)
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
		b.until("the restarted member serves", 10*time.Second, func() bool {
			m := restarted.view().Members[vmName("jeju", 1)]
			return m != nil && m.Reachable && b.usableEverywhere("jeju", "jeju-engine-0")
		})
		if restarted.knownList() == 0 {
			t.Fatal("the list wasn't learned from the peer")
		}
		b.until("new incarnation known in the region", 5*time.Second, func() bool {
			return b.nodes[vmName("jeju", 1)].view().Members[vmName("jeju", 0)].Incarnation == restarted.cfg.Self.Incarnation
		})
		b.always("the region serves", 2*time.Minute, func() bool {
			return b.usableEverywhere("jeju", "jeju-engine-0") && b.usableEverywhere("busan", "busan-engine-0")
		})
		busan := b.nodes[vmName("busan", 0)]
		healed := busan.cfg.Now()
		b.memory.setCut(nil)
		b.until("region back in slow start, with its new incarnation", 20*time.Second, func() bool {
			s := busan.view()
			return s.RegionSince["jeju"] > healed &&
				s.Members[vmName("jeju", 0)].Incarnation == restarted.cfg.Self.Incarnation
		})
	})
}

func TestLeavingAndLostMembersAreKnownInAllRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBed(t, newMemNet(), 6, 1)
		left, lost := vmName("jeju", 1), vmName("jeju", 2)
		b.nodes[left].Leave(context.Background())
		if !b.nodes[left].view().Leaving {
			t.Fatal("the process itself doesn't know that it leaves")
		}
		b.until("word of leaving", 2*time.Second, func() bool {
			return b.everyOther(left, func(n *testNode) bool { return n.view().Members[left].Leaving })
		})
		b.nodes[lost].halt()
		b.until("silence noticed", 20*time.Second, func() bool {
			return b.everyOther(lost, func(n *testNode) bool { return !n.view().Members[lost].Reachable })
		})
		b.until("dropped from the list", 10*time.Second, func() bool {
			b.list.publish(b.list.revision+1, func(list *published.VMList) {
				list.VMs = slices.DeleteFunc(list.VMs, func(vm published.VM) bool { return vm.Name == lost })
			})
			return b.everyOther(lost, func(n *testNode) bool { return n.view().Members[lost] == nil })
		})
	})
}

func TestRegionsHearOneAnotherWhenCarriersDie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBed(t, newMemNet(), 6, 1)
		busan := b.nodes[vmName("busan", 0)]
		fresh := func(within time.Duration) func() bool {
			return func() bool { return busan.cfg.Now().Sub(busan.view().RegionHeard["jeju"]) <= within }
		}
		b.until("region heard", 10*time.Second, fresh(minRegionBeat))
		carry := membership.Choose(b.nodes[vmName("jeju", 0)].live(), "carrier/busan", carriers)
		b.nodes[carry[0]].halt()
		b.always("one path is left", 30*time.Second, fresh(2*minRegionBeat+exchangeInterval))
		carry = membership.Choose(b.region("jeju")[0].live(), "carrier/busan", carriers)
		for _, vm := range carry {
			b.nodes[vm].halt()
		}
		time.Sleep(regionSilence) // all of the old carriers' messages are old now
		b.until("others carry", 2*regionSilence, fresh(minRegionBeat))
	})
}

func TestLinkThatLosesItsPacketsIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBed(t, newMemNet(), 2, 1)
		b.memory.stall()
		b.until("heard again over new connections", 3*pingInterval, func() bool {
			now := b.nodes[vmName("busan", 0)].cfg.Now()
			return now.Sub(b.nodes[vmName("busan", 0)].view().RegionHeard["jeju"]) <= exchangeInterval &&
				b.memory.replaced()
		})
	})
}

func TestPartitionWithinARegionHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBed(t, newMemNet(), 6, 1)
		side := map[string]bool{}
		for i := range 3 {
			side[b.nodes[vmName("jeju", i)].listener.Addr().String()] = true
		}
		all := map[string]bool{}
		for _, n := range b.region("jeju") {
			all[n.listener.Addr().String()] = true
		}
		b.memory.setCut(func(from, to string) bool { return all[from] && all[to] && side[from] != side[to] })
		b.until("both sides go on alone", 30*time.Second, func() bool {
			return len(b.nodes[vmName("jeju", 0)].live()) == 3 && len(b.nodes[vmName("jeju", 5)].live()) == 3
		})
		b.memory.setCut(nil)
		b.until("one region again", 30*time.Second, func() bool {
			for _, n := range b.region("jeju") {
				if len(n.live()) != 6 {
					return false
				}
			}
			return true
		})
	})
}

func TestRestartWithAnEarlierWallClockIsTheNewIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBed(t, newMemNet(), 6, 1)
		vm := vmName("jeju", 0)
		// The first incarnation began in the restarted one's future.
		b.nodes[vm].mu.Lock()
		b.nodes[vm].version += 1_000_000
		b.nodes[vm].announce()
		b.nodes[vm].mu.Unlock()
		time.Sleep(2 * time.Minute) // its heartbeats are far ahead of its first word
		restarted := b.restart(vm)[0]
		known := func() bool {
			return b.everyOther(vm, func(n *testNode) bool {
				m := n.view().Members[vm]
				return m.Incarnation == restarted.cfg.Self.Incarnation && m.Reachable
			})
		}
		b.until("new incarnation known to all", 15*time.Second, known)
		b.always("and heard by all", time.Minute, known)
	})
}

func (n *testNode) live() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roles.live
}

func (b *bed) everyOther(vm string, ok func(n *testNode) bool) bool {
	for name, n := range b.nodes {
		if name != vm && !n.halted.Load() && !ok(n) {
			return false
		}
	}
	return true
}

// always checks that a condition holds all the time.
func (b *bed) always(what string, period time.Duration, ok func() bool) {
	b.t.Helper()
	for start := time.Now(); time.Since(start) < period; time.Sleep(50 * time.Millisecond) {
		if !ok() {
			b.t.Fatalf("after %s not: %s", time.Since(start), what)
		}
	}
}

// restart replaces nodes by new incarnations on the same addresses.
func (b *bed) restart(vms ...string) []*testNode {
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
func (b *bed) restartAt(vm, address string, seeds ...string) *testNode {
	old := b.nodes[vm]
	old.halt()
	l := b.listen(address)
	next := b.build(old.cfg.Self.Region, vm, "second-"+vm, l, seeds)
	b.start(next)
	return next
}
