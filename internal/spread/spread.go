// Package spread distributes keys over members by hashes, the same way in all
// processes.
package spread

import "math"

// Mix spreads the bits of x.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Unit returns a number between 0 and 1, both excluded, that depends on x alone.
func Unit(x uint64) float64 { return (float64(Mix(x)>>11) + 0.5) / (1 << 53) }

// RendezvousScore returns the preference for a member whose hash with the key is x: each
// member has the largest one for a share of all keys that is in proportion to
// its weight, and the loss of a member moves only its own keys.
func RendezvousScore(x uint64, weight float64) float64 { return -weight / math.Log(Unit(x)) }
