package membership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Choose returns up to n of the nodes for the key, best first, by rendezvous
// hashing: all who know the same nodes choose the same, and the loss of a node
// moves only its own keys.
func Choose(nodes []string, key string, n int) []string {
	rest := slices.Clone(nodes)
	var chosen []string
	for len(chosen) < n && len(rest) > 0 {
		best := rendezvous.New(rest, xxhash.Sum64String).Lookup(key)
		chosen = append(chosen, best)
		rest = slices.DeleteFunc(rest, func(s string) bool { return s == best })
	}
	return chosen
}

// MaxPeers is the number of neighbours to which a member sends its changes.
const MaxPeers = 3

// SelectPeers returns to whom self sends within its region: all while there are
// at most Degree others; otherwise its two neighbours on one ring and the next
// on a second ring. The rings order the members by hashes, so that the loss of
// a member changes only its neighbours' choices.
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

// ring returns the others in the order of a ring, from the one after self.
func ring(others []string, self, salt string) []string {
	type place struct {
		hash uint64
		vm   string
	}
	at := func(vm string) place { return place{xxhash.Sum64String(salt + "/" + vm), vm} }
	compare := func(a, b place) int {
		if a.hash != b.hash {
			if a.hash < b.hash {
				return -1
			}
			return 1
		}
		return strings.Compare(a.vm, b.vm)
	}
	places := make([]place, 0, len(others))
	for _, vm := range others {
		places = append(places, at(vm))
	}
	slices.SortFunc(places, compare)
	start, _ := slices.BinarySearchFunc(places, at(self), compare)
	order := make([]string, 0, len(places))
	for i := range places {
		order = append(order, places[(start+i)%len(places)].vm)
	}
	return order
}
