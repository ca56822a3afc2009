// Package spread distributes keys over members by hashing, the same way in all
// processes.
package spread

import "math"

// Mix distributes the entropy of x over all bits. It is the finalizer of
// MurmurHash3.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Unit maps x to a pseudo-random number in the open interval (0, 1).
func Unit(x uint64) float64 { return (float64(Mix(x)>>11) + 0.5) / (1 << 53) }

// RendezvousScore returns the score of a member in weighted rendezvous hashing, x
// being the hash of the member and a key. The member with the highest score gets
// the key: each gets a share of the keys in proportion to its weight, and removing
// a member moves only its own keys.
func RendezvousScore(x uint64, weight float64) float64 { return -weight / math.Log(Unit(x)) }

// Part returns the part of the member with the given rank, starting at 0, of a total that is
// divided evenly. The parts of all ranks add up to the total.
func Part(total, members, rank int) int {
	members = max(1, members)
	part := total / members
	if rank < total%members {
		part++
	}
	return part
}
