package upstream

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCarriedIDs is the number of requests after which a connection is closed, as it remembers
// the IDs of all of them.
const maxCarriedIDs = 512

// carriedIDs are the hashes of the IDs of the requests that a connection has carried. Two IDs
// with the same hash count as one.
type carriedIDs struct{ hashes []uint64 }

// contains reports whether the connection has carried a request with the ID; none has "".
func (c *carriedIDs) contains(id string) bool {
	return id != "" && slices.Contains(c.hashes, xxhash.Sum64String(id))
}

func (c *carriedIDs) add(id string) {
	if id != "" {
		c.hashes = append(c.hashes, xxhash.Sum64String(id))
	}
}

// number returns the number of requests that the connection has carried.
func (c *carriedIDs) number() int { return len(c.hashes) }

// full reports whether the connection may carry no more requests.
func (c *carriedIDs) full() bool { return c.number() >= maxCarriedIDs }
