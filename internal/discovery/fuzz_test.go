package discovery

import (
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/gossip"
)

// FuzzRegistryRecord applies arbitrary records of another VM: none may end the
// process or leave the roster without its known server's service.
func FuzzRegistryRecord(f *testing.F) {
	entry, err := gossip.Encode(serverRecord{Entry: server("x", 0).Server, Started: 1})
	if err != nil {
		f.Fatal(err)
	}
	removed, err := gossip.Encode(serverRecord{Started: 1})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(uint8(gossip.KindServer), "x", uint64(5), entry)
	f.Add(uint8(gossip.KindServer), "x", ^uint64(0), removed)
	f.Add(uint8(gossip.KindEvacuation), "a", uint64(1)<<60, []byte{0xc3})
	f.Add(uint8(gossip.KindLeaving), "x", uint64(1)<<63, []byte(nil))
	f.Fuzz(func(t *testing.T, kind uint8, name string, version uint64, value []byte) {
		follower := newFollower(&fakeRegistry{})
		follower.apply(server("known", 3), 0)
		follower.ApplyRecord(gossip.Record{Key: gossip.Key{Kind: gossip.Kind(kind), Name: name}, Version: version, Value: value})
		follower.Expire(follower.Now().Add(time.Hour))
		if name != "known" && name != "a" && follower.Roster.View().Lookup("known") == nil {
			t.Fatalf("a record of %q removed another server", name)
		}
	})
}
