package discovery

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/revision"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

// Guards against issue 35: the records of servers that had gone were kept for good, so
// that no record of a new server was taken once there were MaxRecords of them.
func TestRecordsOfServersThatAreGoneAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, store := newFollower(&fakeRegistry{}), gossip.NewStore()
		f.Publish = func(r gossip.Record) { store.Merge(r) }
		f.Forget = func(keys ...gossip.Key) {
			for _, key := range keys {
				store.Delete(key)
			}
		}
		rev := revision.Revision(0)
		for i := range gossip.MaxRecords/2 + 500 {
			id := "i-" + strconv.Itoa(i)
			rev++
			f.apply(server(id, rev), roster.Event)
			f.MarkLeaving(roster.ServerKey{ID: id, Started: 1})
			rev++
			f.apply(Change{Revision: rev, RemovedServer: id}, roster.Event)
			time.Sleep(5 * time.Second)
			f.Expire(f.Now())
		}
		is.Equal(store.Dropped(), uint64(0))
		is.True(store.Len() <= 2*int(removalMemory/(5*time.Second))+4)

		f.apply(server("new", rev+1), roster.Event)
		_, known := store.Get(gossip.Key{Kind: gossip.KindServer, Name: "new"})
		is.True(known)
	})
}

// Guards against a server that is restored by a record older than its removal, after the
// removal was forgotten.
func TestForgottenServerIsNotRestoredByAnOlderRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFollower(&fakeRegistry{})
		old := server("i-1", 10)
		f.apply(old, roster.Event)
		f.apply(Change{Revision: 12, RemovedServer: "i-1"}, roster.Event)
		time.Sleep(removalMemory + 2*time.Second)
		f.Expire(f.Now())
		value, err := gossip.Encode(serverRecord{Entry: old.Server, Started: 1})
		is.NoErr(err)
		f.ApplyRecord(gossip.Record{Key: gossip.Key{Kind: gossip.KindServer, Name: "i-1"}, Version: 10, Value: value})
		is.Equal(f.Roster.View().Lookup("i-1"), nil)

		f.apply(server("i-1", 20), roster.Event) // it starts again
		is.True(f.Roster.View().Lookup("i-1") != nil)
	})
}
