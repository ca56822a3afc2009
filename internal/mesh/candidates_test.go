package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
)

// TestCachedRankingsMatchTheMembers changes members of a large fleet at random and
// checks that ranks and coordinators are those of the present members.
func TestCachedRankingsMatchTheMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLargeMesh()
		now := m.Now()
		names := m.byName
		for range rapid.IntRange(1, 10).Draw(t, "changes") {
			o := m.members[rapid.SampledFrom(names).Draw(t, "member")]
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0:
				o.LastHeartbeat = now.Add(-rapid.SampledFrom([]time.Duration{0, 5 * time.Second, 30 * time.Second}).Draw(t, "silent"))
			case 1:
				o.Ready = !o.Ready
			case 2:
				o.Capacity = rapid.Float64Range(10, 1000).Draw(t, "capacity")
			}
			m.updateView()
			server := fmt.Sprint("server-", rapid.IntRange(0, 5).Draw(t, "server"))
			domain := rapid.SampledFrom([]string{"east-a", "east-b"}).Draw(t, "domain")
			own := m.ownRankKey(server, domain)
			vms, rank, best, coordinator := 1, 0, own, ""
			for _, o := range m.members {
				c := candidateOf(o)
				key := c.rankKey(server, domain)
				if o.Region == "east" && now.Sub(o.LastHeartbeat) < activeFor {
					vms++
					if key.before(own) {
						rank++
					}
				}
				if o.Region == "east" && o.AcceptsRequests() && key.before(best) {
					best, coordinator = key, o.VM
				}
			}
			if gotVMs, gotRank := m.ServerRank(server, domain); gotVMs != vms || gotRank != rank {
				t.Fatalf("rank %d of %d, want %d of %d", gotRank, gotVMs, rank, vms)
			}
			if got, _ := m.PrefillCoordinator(server, domain); got != coordinator {
				t.Fatalf("coordinator %q, want %q", got, coordinator)
			}
		}
	})
}

func TestRankingsAreKeptWhileMembersAreTheSame(t *testing.T) {
	is := is.New(t)
	m := newLargeMesh()
	before := m.view.Load()
	m.ServerRank("server-1", "east-a")
	m.updateView()
	is.True(m.view.Load().active == before.active)
	is.Equal(len(m.view.Load().active.rankings), 1)
	m.members["east-b-07"].Capacity++
	m.updateView()
	is.True(m.view.Load().active != before.active)
	for i := range 2 * maxCachedRankings {
		m.ServerRank(fmt.Sprint("server-", i), "east-a")
	}
	is.True(len(m.view.Load().active.rankings) <= maxCachedRankings) // servers come and go
}

// TestRegistryIsCoveredWhileAReaderStatesIt covers a large fleet in which few VMs
// read the registry on behalf of the others.
func TestRegistryIsCoveredWhileAReaderStatesIt(t *testing.T) {
	is := is.New(t)
	m := newLargeMesh()
	now := m.Now()
	m.Config.Now = func() clock.Instant { return now }
	heartbeat := func(vm string, version uint64, value []byte) {
		m.apply(gossip.Record{Key: gossip.Key{Kind: gossip.KindHeartbeat, Name: vm}, Version: version, Value: value})
		m.updateView()
	}
	is.True(!m.RegistryCovered())
	heartbeat("north-a-01", 1, readsRegistry)
	is.True(!m.RegistryCovered()) // a reader of another region
	heartbeat("east-b-01", 1, readsRegistry)
	is.True(m.RegistryCovered())
	heartbeat("east-b-01", 2, nil)
	is.True(!m.RegistryCovered()) // its reads fail
	heartbeat("east-b-01", 3, readsRegistry)
	now = now.Add(registryCoverage)
	is.True(!m.RegistryCovered()) // it is silent
}

// A VM that was cut off, or stood still, has not heard from all others just now, although
// it still counts them as reachable.
func TestVMHasHeardFromAllOnlyIfAllHeartbeatsAreFresh(t *testing.T) {
	is := is.New(t)
	m := newLargeMesh()
	now := m.Now()
	m.Config.Now = func() clock.Instant { return now }
	for _, o := range m.members {
		o.LastHeartbeat = now
	}
	m.updateView()
	is.True(m.HeardFromAll())
	now = now.Add(m.unreachableTimeout() / 2)
	is.True(!m.HeardFromAll())
	is.True(m.ReachesAny())
	for _, o := range m.members {
		o.LastHeartbeat = now
	}
	silent := m.members["east-b-07"]
	silent.LastHeartbeat = now.Add(-m.unreachableTimeout() / 2)
	m.updateView()
	is.True(!m.HeardFromAll())
	silent.Closing = true
	m.updateView()
	is.True(m.HeardFromAll()) // it has shut down
}
