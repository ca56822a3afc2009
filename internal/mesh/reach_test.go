package mesh

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// setReach makes the mesh of a fleet know which servers one of the VMs doesn't reach.
func setReach(m *Mesh, vm string, unreached ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if vm == m.Self.VM {
		m.unreached = newServerSet(unreached)
	} else {
		m.members[vm].reach.update(unreached, m.Now())
	}
	m.updateView()
}

// smallRegions returns the VMs of two regions.
func smallRegions() []vm {
	return []vm{
		{"north-1", "north", "north-a", 100}, {"north-2", "north", "north-a", 100}, {"north-3", "north", "north-b", 100},
		{"west-1", "west", "west-a", 100}, {"west-2", "west", "west-a", 100},
	}
}

// withServers makes all VMs know two servers of each region.
func withServers(fleet map[string]*Mesh) map[string]*Mesh {
	for _, m := range fleet {
		m.Servers = func(_, region string) []string { return []string{region + "-s1", region + "-s2"} }
	}
	return fleet
}

// Guards against RECOVER (issue 42): requests were sent to VMs that reach no servers either.
func TestHopsGoToVMsThatReachServers(t *testing.T) {
	is := is.New(t)
	fleet := withServers(fleetOf(smallRegions()))
	m := fleet["north-1"]
	picked := func(region string) []string {
		var vms []string
		for i := range 200 {
			if vm, _ := m.PickMember(region, "writer", fmt.Sprint(i)); vm != "" && !slices.Contains(vms, vm) {
				vms = append(vms, vm)
			}
		}
		slices.Sort(vms)
		return vms
	}
	is.Equal(picked("west"), []string{"west-1", "west-2"})
	setReach(m, "west-1", "west-s1", "west-s2")
	is.Equal(picked("west"), []string{"west-2"})
	setReach(m, "west-2", "west-s1")
	is.Equal(picked("west"), []string{"west-2"}) // it reaches the other server
	setReach(m, "west-2", "west-s1", "west-s2")
	is.Equal(picked("west"), nil)

	setReach(m, "north-1", "north-s1", "north-s2")
	is.Equal(picked("north"), []string{"north-2", "north-3"})
	setReach(m, "north-3", "north-s1")
	is.Equal(picked("north"), []string{"north-2"}) // of the same failure domain
	setReach(m, "north-2", "north-s1", "north-s2")
	is.Equal(picked("north"), []string{"north-3"})
}

// Guards against VMs that prefer one that reaches few servers as much as one that reaches
// all.
func TestHopsAreWeightedByReach(t *testing.T) {
	is := is.New(t)
	fleet := fleetOf(smallRegions())
	m := fleet["north-1"]
	servers := []string{"s1", "s2", "s3", "s4"}
	m.Servers = func(string, string) []string { return servers }
	setReach(m, "west-1", servers[1:]...)
	few := 0
	const hops = 2000
	for i := range hops {
		if vm, _ := m.PickMember("west", "writer", fmt.Sprint(i)); vm == "west-1" {
			few++
		}
	}
	is.True(few > hops*15/100 && few < hops*25/100) // a fifth
}

// Guards against a region that seems to have no servers: its summaries came from VMs that
// reach none.
func TestSummariesComeFromVMsThatReachMostServers(t *testing.T) {
	is := is.New(t)
	fleet := fleetOf(smallRegions())
	publishers := func() []string {
		var vms []string
		for _, name := range []string{"north-1", "north-2", "north-3"} {
			if fleet[name].IsSummaryPublisher() {
				vms = append(vms, name)
			}
		}
		return vms
	}
	is.Equal(len(publishers()), summaryPublishers)
	for _, m := range fleet {
		setReach(m, "north-1", "north-s1", "north-s2")
		setReach(m, "north-3", "north-s1")
	}
	is.Equal(publishers(), []string{"north-2", "north-3"})
}

// Guards against prompts that are sent through a prefill coordinator that doesn't reach the
// server.
func TestPrefillCoordinatorReachesItsServer(t *testing.T) {
	is := is.New(t)
	m := fleetFor(largeRegions(), largeRegions()[5])
	for i := range 20 {
		server := fmt.Sprint("server", i)
		first, _ := m.PrefillCoordinator(server, "north-b")
		setReach(m, first, server)
		second, _ := m.PrefillCoordinator(server, "north-b")
		is.True(second != "" && second != first)
		setReach(m, first)
	}
}

// Guards against servers that count for a region of which no VM reaches them, and regions
// that count as reachable though none of their VMs reaches a server.
func TestServersThatNoVMReachesAreCutOff(t *testing.T) {
	is := is.New(t)
	m := withServers(fleetOf(smallRegions()))["north-1"]
	is.True(!m.CutOff("west", "west-s1"))
	setReach(m, "west-1", "west-s1", "west-s2")
	is.True(!m.CutOff("west", "west-s1"))
	is.Equal(m.Regions("writer")[0].Members, 1)
	setReach(m, "west-2", "west-s1")
	is.True(m.CutOff("west", "west-s1"))
	is.True(!m.CutOff("west", "west-s2"))
	is.True(m.ReachedByPeer("writer", "north-s1"))
	setReach(m, "north-2", "north-s1")
	is.True(m.ReachedByPeer("writer", "north-s1"))
	setReach(m, "north-3", "north-s1")
	is.True(!m.ReachedByPeer("writer", "north-s1"))
	is.True(!m.CutOff("north", "north-s1")) // this VM reaches it
	setReach(m, "north-1", "north-s1")
	is.True(m.CutOff("north", "north-s1"))
}

// sharingVM is a VM of a simulated region, with its link to one server.
type sharingVM struct {
	*Mesh
	limiter   balance.ColdLimiter
	link      balance.Link
	announced bool // it announced that the link is lost
	// pending are its records that the others have not received yet.
	pending     []pendingRecord
	lastArrival clock.Instant
}

type pendingRecord struct {
	arrives clock.Instant
	ids     []string
}

// Guards against FAILBACK and LIMIT: the shares of a server's rate add up to more than the
// rate while VMs lose and regain their links to it, and while VMs are cut off from others.
func TestSharesAreNotUsedTwiceWhileLinksChange(t *testing.T) {
	const (
		vms, rate = 3, 10.05
		step      = 100 * time.Millisecond
		maxDelay  = 300 // milliseconds that a record takes
	)
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Instant(time.Hour)
		var region []*sharingVM
		for i := range vms {
			v := &sharingVM{Mesh: New(Config{
				Self: snapshot.Identity{VM: fmt.Sprint("vm-", i), Region: "north", FailureDomain: "north-a"},
				Now:  func() clock.Instant { return now }, Log: slog.New(slog.DiscardHandler),
			})}
			v.started = 0
			for j := range vms {
				if j != i {
					v.members[fmt.Sprint("vm-", j)] = &Member{
						Identity: snapshot.Identity{VM: fmt.Sprint("vm-", j), Region: "north", FailureDomain: "north-a"}, Ready: true, LastHeartbeat: now,
					}
				}
			}
			region = append(region, v)
		}
		var sent []clock.Instant
		cutOff := -1 // the VM that neither hears from the others nor is heard
		for range 150 {
			now = now.Add(step)
			if rapid.IntRange(0, 9).Draw(t, "event") == 0 {
				v := region[rapid.IntRange(0, vms-1).Draw(t, "VM")]
				switch rapid.IntRange(0, 2).Draw(t, "kind") {
				case 0:
					v.link.RecordPoll(false, now)
					v.link.RecordPoll(false, now)
				case 1:
					v.link.RecordPoll(true, now)
				default:
					cutOff = rapid.IntRange(-1, vms-1).Draw(t, "cut off")
				}
			}
			for i, v := range region {
				if v.link.Lost() != v.announced {
					v.announced = v.link.Lost()
					var ids []string
					if v.announced {
						ids = []string{"s"}
					}
					delay := time.Duration(rapid.IntRange(0, maxDelay).Draw(t, "delay")) * time.Millisecond
					arrives := max(v.lastArrival, now.Add(delay)) // an older record replaces no newer one
					v.pending, v.lastArrival = append(v.pending, pendingRecord{arrives, ids}), arrives
				}
				if cutOff == i {
					continue
				}
				for j, o := range region {
					if j == i || cutOff == j {
						continue
					}
					m := o.members[v.Self.VM]
					m.LastHeartbeat = now
					for _, r := range v.pending {
						if r.arrives <= now {
							m.reach.update(r.ids, now)
						}
					}
				}
				if cutOff < 0 { // all have received them
					v.pending = slices.DeleteFunc(v.pending, func(r pendingRecord) bool { return r.arrives <= now })
				}
			}
			for _, v := range region {
				v.updateView()
				if !v.link.Settled(v.ShareDelay(), now) {
					continue
				}
				n, rank := v.ServerRank("s", "north-a")
				for v.limiter.Take(now, balance.ColdAllowance(rate, n, rank), true) {
					sent = append(sent, now)
				}
			}
			sent = slices.DeleteFunc(sent, func(at clock.Instant) bool { return now.Sub(at) >= time.Second })
			if float64(len(sent)) > rate {
				t.Fatalf("the VMs sent %d requests in one second, the server tolerates %v", len(sent), rate)
			}
		}
	})
}

// Guards against a reach that outlives the process that announced it, or a record that ends
// the process.
func TestRestartedVMReachesAllServers(t *testing.T) {
	is := is.New(t)
	m := fleetOf(smallRegions())["north-1"]
	setReach(m, "west-1", "west-s1")
	m.mu.Lock()
	defer m.mu.Unlock()
	m.apply(gossip.Record{Key: gossip.Key{Kind: gossip.KindReach, Name: "west-1"}, Version: 1, Value: []byte{0xff}})
	is.Equal(m.members["west-1"].reach.unreached.len(), 1)
	data, err := gossip.Encode(announcement{Incarnation: "2", Region: "west", FailureDomain: "west-a", Ready: true})
	is.NoErr(err)
	m.apply(gossip.Record{Key: gossip.Key{Kind: gossip.KindMember, Name: "west-1"}, Version: 2, Value: data})
	is.Equal(m.members["west-1"].reach.unreached.len(), 0)
}

// Guards against RECOVER (issue 42): hundreds of hops in a row went to a VM that refused each
// of them for lack of a server.
func TestVMThatRefusedForLackOfServersIsAvoidedForAMoment(t *testing.T) {
	is := is.New(t)
	m := withServers(fleetOf(smallRegions()))["north-1"]
	now := m.Now()
	m.Now = func() clock.Instant { return now }
	m.Avoid("west-1", "writer")
	m.Avoid("north-2", "writer")
	for i := range 100 {
		vm, _ := m.PickMember("west", "writer", fmt.Sprint(i))
		is.Equal(vm, "west-2")
		vm, _ = m.PickMember("north", "writer", fmt.Sprint(i))
		is.Equal(vm, "north-3")
	}
	is.Equal(m.Regions("writer")[0].Members, 1)
	is.Equal(m.Regions("desk")[0].Members, 2)
	is.True(m.ReachedByPeer("writer", "north-s1"))
	m.Avoid("north-3", "writer")
	is.True(!m.ReachedByPeer("writer", "north-s1"))
	is.True(m.ReachedByPeer("desk", "north-s1"))
	m.Avoid("west-2", "writer")
	is.Equal(len(m.Regions("writer")), 0)

	now = now.Add(avoidDuration)
	is.Equal(m.Regions("writer")[0].Members, 2)
	is.True(m.ReachedByPeer("writer", "north-s1"))
	m.Avoid("west-1", "other") // drops what has ended
	is.Equal(len(*m.avoided.until.Load()), 1)
}

// Guards against new connections to all VMs of a large region, each of which takes two round
// trips, while one of its VMs is avoided or reaches no servers.
func TestHopTargetsAreKeptWhileOneIsLeftOut(t *testing.T) {
	is := is.New(t)
	m := withServers(fleetOf(largeRegions()))["north-a-05"]
	picked := func() map[string]bool {
		vms := map[string]bool{}
		for i := range 400 {
			vm, _ := m.PickMember("west", "writer", fmt.Sprint(i))
			vms[vm] = true
		}
		return vms
	}
	before := picked()
	is.True(len(before) > 1 && len(before) <= hopTargetDraws)
	out := slices.Sorted(maps.Keys(before))[0]
	setReach(m, out, "west-s1", "west-s2")
	delete(before, out)
	is.Equal(picked(), before)
	for vm := range before {
		m.Avoid(vm, "writer")
	}
	others := picked()
	is.True(len(others) > hopTargetDraws)
	is.True(!others[out])
}
