package routing

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// The owner of an idempotency key must not send a request back to the entry
// that it came from: the entry would refuse it as a loop, and the key would be
// closed.
func TestPickMemberSkipsVisitedVMs(t *testing.T) {
	is := is.New(t)
	entry := &snapshot.Member{Identity: snapshot.Identity{VM: "jeju-entry-1"}}
	other := &snapshot.Member{Identity: snapshot.Identity{VM: "jeju-entry-2"}}
	region := &RegionOption{Members: []*snapshot.Member{entry, other}}
	for random := range uint64(16) {
		q := &Query{Random: random, VisitedVMs: []string{"jeju-entry-1"}}
		is.Equal(region.PickMember(q), other)
	}
	region.Members = region.Members[:1]
	is.Equal(region.PickMember(&Query{VisitedVMs: []string{"jeju-entry-1"}}), nil)
}
