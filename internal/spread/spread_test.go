package spread

import (
	"testing"

	"github.com/matryer/is"
)

func TestKeysAreDistributedByWeight(t *testing.T) {
	is := is.New(t)
	weights := []float64{1, 2, 5}
	got := make([]int, len(weights))
	const keys = 8000
	for key := range uint64(keys) {
		best, at := 0.0, 0
		for member, weight := range weights {
			if w := RendezvousScore(Mix(key)^uint64(member+1), weight); w > best {
				best, at = w, member
			}
		}
		got[at]++
	}
	for member, weight := range weights {
		share := weight / 8 * keys
		is.True(float64(got[member]) > 0.9*share && float64(got[member]) < 1.1*share)
	}
}

func TestUnitIsBetweenZeroAndOne(t *testing.T) {
	is := is.New(t)
	sum := 0.0
	const n = 10_000
	for x := range uint64(n) {
		u := Unit(x)
		is.True(u > 0 && u < 1)
		sum += u
	}
	is.True(sum/n > 0.49 && sum/n < 0.51)
}
