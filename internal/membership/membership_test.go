package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// Changes reach all members over the selected peers, in regions of any size and
// also when one member has failed.
func TestPeersConnectTheRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 70).Draw(t, "members")
		salt := rapid.Uint32().Draw(t, "salt")
		var members []string
		for i := range n {
			members = append(members, fmt.Sprint("vm-", salt, "-", i))
		}
		from := members[rapid.IntRange(0, n-1).Draw(t, "from")]
		dead := members[rapid.IntRange(0, n-1).Draw(t, "dead")]
		for _, self := range members {
			next := SelectPeers(members, self)
			if len(next) > MaxPeers || len(next) < min(MaxPeers, n-1) || slices.Contains(next, self) {
				t.Fatalf("peers of %s are %v", self, next)
			}
		}
		if from != dead && len(reachedFrom(members, from, dead)) != n-1 {
			t.Fatalf("%s reaches %d of %d without %s", from, len(reachedFrom(members, from, dead)), n-1, dead)
		}
	})
}

func reachedFrom(members []string, from, dead string) map[string]bool {
	seen := map[string]bool{from: true}
	for queue := []string{from}; len(queue) > 0; queue = queue[1:] {
		for _, next := range SelectPeers(members, queue[0]) {
			if next != dead && !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
	}
	return seen
}

func table() *Table {
	return NewTable(snapshot.Identity{VM: "self", Region: "jeju", Incarnation: "s1"})
}

func entry(state string) Listing {
	return Listing{VM: published.VM{Name: "a", Region: "jeju", Role: published.RoleEntry, State: state}}
}

func TestLeavingIsKeptOnOlderList(t *testing.T) {
	is := is.New(t)
	tb, now := table(), clock.Instant(time.Hour)
	tb.ApplyAnnouncement("a", Announcement{Incarnation: "a1", Region: "jeju"}, now)
	tb.ApplyListing("a", entry(published.StateLeaving), 9)
	tb.ApplyListing("a", entry(published.StateLive), 8) // an older list
	is.True(tb.Members(now)["a"].Leaving)
	tb.ApplyListing("a", entry(published.StateLive), 10)
	is.True(!tb.Members(now)["a"].Leaving)
	tb.ApplyAnnouncement("a", Announcement{Incarnation: "a1", Region: "jeju", Leaving: true}, now)
	tb.ApplyListing("a", entry(published.StateLive), 11) // the member's announcement takes precedence over the list
	is.True(tb.Members(now)["a"].Leaving)
	tb.ApplyAnnouncement("a", Announcement{Incarnation: "a2", Region: "jeju"}, now)
	is.True(!tb.Members(now)["a"].Leaving) // a restart is a new incarnation
	is.Equal(tb.Members(now)["a"].Incarnation, "a2")
}

func TestPrunedVMIsNotRestoredByOlderList(t *testing.T) {
	is := is.New(t)
	tb, now := table(), clock.Instant(time.Hour)
	tb.ApplyListing("a", entry(published.StateLive), 5)
	removed := entry(published.StateLive)
	removed.Gone = true
	tb.ApplyListing("a", removed, 9)
	is.Equal(tb.Members(now)["a"], nil)
	is.Equal(len(tb.Prune(now)), 0)
	is.Equal(tb.Prune(now.Add(2*removedRetention)), []string{"a"})
	is.True(tb.IsOutdatedListing("a", 5))
	is.True(!tb.IsOutdatedListing("a", 10))
}

func TestMessagesOfEarlierIncarnationAreIgnored(t *testing.T) {
	is := is.New(t)
	tb, now := table(), clock.Instant(time.Hour)
	tb.ApplyAnnouncement("a", Announcement{Incarnation: "a2", Region: "jeju"}, now)
	later := now.Add(UnreachableAfter + time.Second)
	tb.RecordMessage("a", "a1", 7, later) // from a process that was paused and has been replaced
	is.True(!tb.Members(later)["a"].Reachable)
	tb.RecordMessage("a", "a2", 8, later)
	is.True(tb.Members(later)["a"].Reachable)
	is.Equal(tb.Members(later)["a"].Revision, uint64(8))
}
