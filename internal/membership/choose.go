package membership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Choose returns up to n nodes for the key, best first, by rendezvous hashing.
// All VMs with the same set of nodes make the same choice, and the loss of a
// node changes only the keys that it was chosen for.
func Choose(nodes []string, key string, n int) []string {
	remaining := slices.Clone(nodes)
	var chosen []string
	for len(chosen) < n && len(remaining) > 0 {
		best := rendezvous.New(remaining, xxhash.Sum64String).Lookup(key)
		chosen = append(chosen, best)
		remaining = slices.DeleteFunc(remaining, func(s string) bool { return s == best })
	}
	return chosen
}

// MaxPeers is the maximum number of peers in its region to which a member sends
// its changes.
const MaxPeers = 3

// SelectPeers returns the peers to which self sends within its region. With up to
// MaxPeers other members these are all of them. Otherwise they are the two
// members next to self on one ring and the following one on a second ring. The
// rings order the members by hash, so that the loss of a member changes only the
// choice of those next to it.
func SelectPeers(members []string, self string) []string {
	others := slices.DeleteFunc(slices.Clone(members), func(s string) bool { return s == self })
	if len(others) <= MaxPeers {
		slices.Sort(others)
		return others
	}
	first := ring(others, self, "first")
	second := ring(others, self, "second")
	chosen := []string{first[0], first[len(first)-1]}
	for _, vm := range second {
		if !slices.Contains(chosen, vm) {
			return append(chosen, vm)
		}
	}
	return chosen
}

// ring returns the other members in ring order, starting with the one after
// self. The salt selects the ring.
func ring(others []string, self, salt string) []string {
	type position struct {
		hash uint64
		vm   string
	}
	at := func(vm string) position { return position{xxhash.Sum64String(salt + "/" + vm), vm} }
	compare := func(a, b position) int {
		if a.hash != b.hash {
			if a.hash < b.hash {
				return -1
			}
			return 1
		}
		return strings.Compare(a.vm, b.vm)
	}
	positions := make([]position, 0, len(others))
	for _, vm := range others {
		positions = append(positions, at(vm))
	}
	slices.SortFunc(positions, compare)
	start, _ := slices.BinarySearchFunc(positions, at(self), compare)
	order := make([]string, 0, len(positions))
	for i := range positions {
		order = append(order, positions[(start+i)%len(positions)].vm)
	}
	return order
}
