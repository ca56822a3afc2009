package mesh

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// vm is a VM of a fleet without a network.
type vm struct {
	name, region, domain string
	capacity             float64
}

// fleetOf returns what each VM knows of the others.
func fleetOf(vms []vm) map[string]*Mesh {
	now := clock.Instant(time.Hour)
	fleet := map[string]*Mesh{}
	for _, self := range vms {
		m := New(Config{
			Self:      snapshot.Identity{VM: self.name, Region: self.region, FailureDomain: self.domain},
			Addresses: Addresses{Control: self.name}, Capacity: self.capacity,
			Now: func() clock.Instant { return now }, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		m.started = 0
		for _, o := range vms {
			if o != self {
				m.members[o.name] = &Member{
					Identity:  snapshot.Identity{VM: o.name, Region: o.region, FailureDomain: o.domain},
					Addresses: Addresses{Control: o.name, Hops: o.name}, Capacity: o.capacity, Ready: true, LastHeartbeat: now,
				}
			}
		}
		m.refresh()
		fleet[self.name] = m
	}
	return fleet
}

// largeFleetOf returns 2 regions of 2 failure domains with 2 large and 13 small
// VMs each.
func largeFleetOf() []vm {
	var vms []vm
	for _, region := range []string{"north", "west"} {
		for _, domain := range []string{"a", "b"} {
			for i := range 15 {
				capacity := 100.0
				if i < 2 {
					capacity = 800
				}
				vms = append(vms, vm{fmt.Sprintf("%s-%s-%02d", region, domain, i), region, region + "-" + domain, capacity})
			}
		}
	}
	return vms
}

// TestRecordsReachAllVMsOverFewLinksBetweenDomains is the pattern of a large
// fleet whose links between failure domains are dear.
func TestRecordsReachAllVMsOverFewLinksBetweenDomains(t *testing.T) {
	is := is.New(t)
	vms := largeFleetOf()
	fleet := fleetOf(vms)
	told, far := map[string]int{}, 0
	for _, v := range vms {
		for name := range fleet[v.name].neighbours() {
			told[name]++
			if fleet[name].Self.Region == v.region && fleet[name].Self.FailureDomain != v.domain {
				far++
			}
		}
	}
	is.Equal(far, 4*domainCarriers) // each of four failure domains has one other in its region
	for _, v := range vms {
		if told[v.name] == 0 {
			t.Errorf("no VM tells %s", v.name)
		}
		steps := stepsToAll(fleet, v.name)
		if steps > 9 { // four within a failure domain, and one to the next
			t.Errorf("a record of %s takes %d steps", v.name, steps)
		}
	}
}

// stepsToAll returns the number of exchanges after which a record of a VM is
// known in its whole region, or a large number.
func stepsToAll(fleet map[string]*Mesh, from string) int {
	region, known, last := fleet[from].Self.Region, map[string]bool{from: true}, []string{from}
	for steps := 0; len(last) > 0; steps++ {
		var next []string
		for _, name := range last {
			for o := range fleet[name].neighbours() {
				if !known[o] && fleet[o].Self.Region == region {
					known[o] = true
					next = append(next, o)
				}
			}
		}
		if len(known) == 30 {
			return steps + 1
		}
		last = next
	}
	return 1000
}

func TestOwnersStandNearTheirServersInProportionToCapacity(t *testing.T) {
	is := is.New(t)
	fleet := fleetOf(largeFleetOf())
	entry := fleet["north-a-05"]
	large := 0
	const servers = 300
	for i := range servers {
		server := fmt.Sprint("server", i)
		owner, address := entry.Owner(server, "north-b")
		is.Equal(fleet[owner].Self.FailureDomain, "north-b")
		is.Equal(address, owner)
		again, none := fleet[owner].Owner(server, "north-b")
		is.Equal(again+none, "") // the owner knows that it is the one
		_, rank := fleet[owner].Peers(server, "north-b")
		is.Equal(rank, 0) // and asks the server for its load
		if fleet[owner].Capacity > 100 {
			large++
		}
	}
	// Two VMs of 800 among thirteen of 100 have 0.55 of the capacity.
	is.True(large > servers*45/100 && large < servers*65/100)
}

func TestHopsSpreadByCapacity(t *testing.T) {
	is := is.New(t)
	fleet := fleetOf(largeFleetOf())
	large := 0
	for i := range 400 {
		name, _ := fleet["north-a-05"].Member("west", fmt.Sprint("request", i))
		is.Equal(fleet[name].Self.Region, "west")
		if fleet[name].Capacity > 100 {
			large++
		}
	}
	is.True(large > 400*45/100 && large < 400*65/100)
}
