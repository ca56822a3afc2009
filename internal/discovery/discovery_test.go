package discovery

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/revision"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

// fakeRegistry responds to lists with entries and watches with the changes sent on
// events; a nil slice fails the watch.
type fakeRegistry struct {
	mu            sync.Mutex
	entries       []Change
	revision      revision.Revision
	down          bool
	truncated     bool
	events        chan []Change
	startTimeouts []time.Duration
	lists         int
	watches       int
	// respondedAt is when the last call got its response, and oldestWatch the
	// longest time from there to the end of the wait of the next watch.
	respondedAt time.Time
	oldestWatch time.Duration
}

func (f *fakeRegistry) List(_ context.Context, _ Topic, startTimeout time.Duration) ([]Change, revision.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	f.startTimeouts = append(f.startTimeouts, startTimeout)
	if f.down {
		return nil, 0, ErrUnavailable.New("down")
	}
	return f.entries, f.revision, nil
}

func (f *fakeRegistry) Watch(ctx context.Context, _ Topic, after revision.Revision, wait time.Duration) ([]Change, revision.Revision, error) {
	f.mu.Lock()
	f.watches++
	if !f.respondedAt.IsZero() {
		f.oldestWatch = max(f.oldestWatch, time.Since(f.respondedAt)+wait)
	}
	defer func() { f.update(func() { f.respondedAt = time.Now() }) }()
	down, truncated := f.down, f.truncated
	f.truncated = false
	f.mu.Unlock()
	switch {
	case down:
		return nil, 0, ErrUnavailable.New("down")
	case truncated:
		return nil, 0, ErrHistoryGone.New("history truncated")
	}
	select {
	case list := <-f.events:
		if list == nil {
			return nil, 0, ErrUnavailable.New("connection closed")
		}
		return list, list[len(list)-1].Revision, nil
	case <-time.After(wait):
		return nil, after, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

func (f *fakeRegistry) Decode(raw []byte) (*ingress.Table, error) {
	if len(raw) == 0 {
		return nil, errors.New("empty")
	}
	return ingress.NewTable(uint64(raw[0]), nil, nil, ingress.Limits{}), nil
}

// update runs edit under the lock.
func (f *fakeRegistry) update(edit func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	edit()
}

func newFollower(f *fakeRegistry) *Follower {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	return New(Config{
		Registry: f, Roster: roster.New(log), Now: clock.Synthetic(), Log: log, Scope: tally.NoopScope,
		Publish: func(gossip.Record) {}, Forget: func(...gossip.Key) {}, LargeFleet: func() bool { return false }, RegistryReader: func() bool { return true },
	})
}

func server(id string, rev revision.Revision) Change {
	return Change{Revision: rev, Server: &roster.Entry{
		ID: id, Service: "s", Address: "10.0.0.1:1", FailureDomain: "a", Region: "r", Slots: 1, Started: 1,
	}}
}

func table(version uint64, rev revision.Revision) Change {
	return Change{Revision: rev, Table: ingress.NewTable(version, nil, nil, ingress.Limits{}), Raw: []byte{byte(version)}}
}

// follow runs a follower of the topic and then test, in a synctest bubble.
func follow(t *testing.T, f *fakeRegistry, topic Topic, test func(t *testing.T, follower *Follower)) {
	t.Helper()
	followWith(t, f, topic, func(*Follower) {}, test)
}

// followWith is like follow; prepare changes the follower before it runs.
func followWith(t *testing.T, f *fakeRegistry, topic Topic, prepare func(*Follower), test func(t *testing.T, follower *Follower)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f.events = make(chan []Change, 4)
		follower := newFollower(f)
		prepare(follower)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = follower.Run(ctx, topic) }()
		synctest.Wait()
		test(t, follower)
		cancel()
		<-done
	})
}

func TestConfigurationWithLowerRevisionIsIgnored(t *testing.T) {
	f := &fakeRegistry{entries: []Change{table(5, 10)}, revision: 10}
	follow(t, f, Operators, func(t *testing.T, follower *Follower) {
		is := is.New(t)
		f.events <- []Change{table(4, 9)}
		time.Sleep(2 * batchPause)
		is.Equal(follower.Table().Version, uint64(5))
		f.events <- []Change{table(9, 12)}
		time.Sleep(2 * batchPause)
		is.Equal(follower.Table().Version, uint64(9))
		// The registry is restored from an old copy.
		f.update(func() { f.entries, f.revision, f.truncated = []Change{table(5, 10)}, 10, true })
		f.events <- []Change{{Revision: 13, Domain: "a"}}
		time.Sleep(time.Second)
		is.Equal(follower.Table().Version, uint64(9))
	})
}

func TestServerMissingAfterOutageIsKeptForGracePeriod(t *testing.T) {
	f := &fakeRegistry{entries: []Change{server("x", 3), server("y", 4)}, revision: 4}
	follow(t, f, Servers, func(t *testing.T, follower *Follower) {
		is := is.New(t)
		is.Equal(len(follower.Roster.View().Usable("s", "r")), 2)
		f.update(func() { f.down = true })
		time.Sleep(10 * time.Second)
		is.Equal(len(follower.Roster.View().Usable("s", "r")), 2) // an outage alone removes no server
		f.update(func() { f.down, f.entries, f.revision = false, nil, 20 })
		time.Sleep(time.Second)
		is.Equal(len(follower.Roster.View().Usable("s", "r")), 2)
		f.events <- []Change{server("x", 21)}
		time.Sleep(3 * time.Second)
		follower.Roster.Expire(follower.Now())
		is.Equal(len(follower.Roster.View().Usable("s", "r")), 1) // only the server that was listed again
	})
}

func TestTruncatedHistoryIsListedAgain(t *testing.T) {
	f := &fakeRegistry{entries: []Change{server("x", 3)}, revision: 3}
	follow(t, f, Servers, func(t *testing.T, follower *Follower) {
		is := is.New(t)
		f.update(func() { f.truncated, f.entries, f.revision = true, []Change{server("y", 8)}, 8 })
		time.Sleep(2 * watchTimeout)
		is.True(follower.Roster.View().Lookup("x") == nil)
		is.True(follower.Roster.View().Lookup("y") != nil)
	})
}

func TestCallsToFailingRegistryAreLimited(t *testing.T) {
	f := &fakeRegistry{down: true}
	follow(t, f, Servers, func(t *testing.T, _ *Follower) {
		time.Sleep(time.Minute)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.lists > 160 || f.lists < 60 {
			t.Fatalf("%d list calls in 1 minute of outage, want 60 to 160", f.lists)
		}
	})
}

func TestNewerConfigurationFromAnotherVMIsApplied(t *testing.T) {
	f := &fakeRegistry{entries: []Change{table(5, 10)}, revision: 10}
	follow(t, f, Operators, func(t *testing.T, follower *Follower) {
		is := is.New(t)
		var fetches atomic.Int32
		fetch := func(context.Context) ([]byte, error) { fetches.Add(1); return []byte{8}, nil }
		follower.FetchNewer(5, fetch)
		follower.FetchNewer(8, fetch)
		synctest.Wait()
		is.Equal(fetches.Load(), int32(1))
		is.Equal(follower.Table().Version, uint64(8))
		time.Sleep(minFetchInterval)
		follower.FetchNewer(99, func(context.Context) ([]byte, error) { fetches.Add(1); return nil, nil })
		time.Sleep(time.Second)
		is.Equal(fetches.Load(), int32(2))
		is.Equal(follower.Table().Version, uint64(8)) // a malformed configuration is ignored
		// A VM of an earlier release offers the registry's revision.
		follower.FetchNewer(99, fetch)
		synctest.Wait()
		is.Equal(fetches.Load(), int32(3))
		for range 10 {
			follower.FetchNewer(99, fetch)
			time.Sleep(vainFetchInterval / 20)
		}
		is.Equal(fetches.Load(), int32(3))
	})
}

func TestServerRecordFromAnotherVM(t *testing.T) {
	is := is.New(t)
	follower := newFollower(&fakeRegistry{})
	data, err := gossip.Encode(serverRecord{Entry: server("x", 0).Server})
	is.NoErr(err)
	record := gossip.Record{Key: gossip.Key{Kind: gossip.KindServer, Name: "x"}, Version: 5, Value: data}
	follower.ApplyRecord(record)
	is.True(follower.Roster.View().Lookup("x") != nil)
	removed, err := gossip.Encode(serverRecord{})
	is.NoErr(err)
	record.Version, record.Value = 6, removed
	follower.ApplyRecord(record)
	is.True(follower.Roster.View().Lookup("x") == nil)
	record.Value = []byte("nonsense")
	follower.ApplyRecord(record) // must not panic
}

// TestFailedListsAreCountedByTopic covers a registry that fails for one topic only:
// the other topic's lists keep the short timeout.
func TestFailedListsAreCountedByTopic(t *testing.T) {
	is := is.New(t)
	f := newFollower(&fakeRegistry{down: true})
	for range longListInterval - 1 {
		_, err := f.follow(t.Context(), Operators)
		is.True(err != nil)
	}
	is.Equal(f.nextListStartTimeout(Operators), longListStartTimeout)
	is.Equal(f.nextListStartTimeout(Servers), listStartTimeout)
}

// restored returns the revision with the number in the era after a restore.
func restored(number uint64) revision.Revision {
	r, err := revision.New(1, number)
	if err != nil {
		panic(err)
	}
	return r
}

// TestConfigurationOfRestoredRegistryIsOrderedByVersion covers a registry that is
// restored from a copy with an older configuration. Its revisions of the new era
// are higher than all before.
func TestConfigurationOfRestoredRegistryIsOrderedByVersion(t *testing.T) {
	f := &fakeRegistry{entries: []Change{table(9, 50)}, revision: 50}
	follow(t, f, Operators, func(t *testing.T, follower *Follower) {
		is := is.New(t)
		f.update(func() { f.entries, f.revision, f.truncated = []Change{table(5, restored(20))}, restored(20), true })
		time.Sleep(2 * watchTimeout)
		is.Equal(follower.Table().Version, uint64(9)) // the copy doesn't take it back
		f.events <- []Change{table(9, restored(21))}  // the operator writes it again
		time.Sleep(2 * batchPause)
		is.Equal(follower.Current().Revision, restored(21))
		f.events <- []Change{table(12, restored(22))}
		time.Sleep(2 * batchPause)
		is.Equal(follower.Table().Version, uint64(12))
	})
}

// TestVMWithCopysConfigurationFetchesNewerOne covers two VMs after a restore: one
// that read the copy and one that knows a newer version from the era before.
func TestVMWithCopysConfigurationFetchesNewerOne(t *testing.T) {
	f := &fakeRegistry{entries: []Change{table(5, restored(20))}, revision: restored(20)}
	follow(t, f, Operators, func(t *testing.T, follower *Follower) {
		is := is.New(t)
		follower.FetchNewer(9, func(context.Context) ([]byte, error) { return []byte{9}, nil })
		synctest.Wait()
		is.Equal(follower.Table().Version, uint64(9))
		f.events <- []Change{table(9, restored(21))}
		time.Sleep(2 * batchPause)
		is.Equal(follower.Current().Revision, restored(21))
	})
}

func TestLeavingServerIsReportedToOtherVMsOnce(t *testing.T) {
	is := is.New(t)
	reporting, receiving := newFollower(&fakeRegistry{}), newFollower(&fakeRegistry{})
	var records []gossip.Record
	reporting.Publish = func(r gossip.Record) { records = append(records, r) }
	receiving.Publish = func(gossip.Record) { t.Fatal("a report of another VM was published again") }
	for _, f := range []*Follower{reporting, receiving} {
		f.Roster.Put(*server("x", 0).Server, 5, roster.Event, f.Now())
	}
	key := reporting.Roster.View().Lookup("x").Key()
	reporting.MarkLeaving(key)
	reporting.MarkLeaving(key)
	is.Equal(len(records), 1)
	receiving.ApplyRecord(records[0])
	is.Equal(len(receiving.Roster.View().Usable("s", "r")), 0)
	is.True(receiving.Roster.View().Leaving(receiving.Roster.View().Lookup("x")))
}

func TestOnlyRegistryReadersOfLargeFleetUseShortPause(t *testing.T) {
	is := is.New(t)
	f := newFollower(&fakeRegistry{})
	f.LargeFleet = func() bool { return true }
	_, readerPause := f.intervals(Servers)
	f.RegistryReader = func() bool { return false }
	f.markAvailable(Servers)
	_, startPause := f.intervals(Servers)
	f.markUnavailable(Servers, ErrUnavailable.New("down"))
	f.markAvailable(Servers)
	_, recoveryPause := f.intervals(Servers)
	is.Equal(recoveryPause, readerPause) // all VMs read often after an outage
	f.recoveredAt.Store(int64(f.Now().Add(-recoveryPeriod)))
	_, nonReaderPause := f.intervals(Servers)
	is.Equal(startPause, nonReaderPause) // 300 VMs that start don't
	is.True(readerPause < nonReaderPause)
	// Without records from the readers a VM must still learn of changes within
	// the operators' bound of 5 s.
	is.True(nonReaderPause <= 2*time.Second)
}

// TestCoveredVMsOfLargeFleetReadServersRarely covers 300 VMs, whose reads of the
// registry would exceed its limit if all read the servers as often as the registry
// readers do.
func TestCoveredVMsOfLargeFleetReadServersRarely(t *testing.T) {
	f := &fakeRegistry{entries: []Change{server("x", 3)}, revision: 3}
	var covered atomic.Bool
	covered.Store(true)
	prepare := func(follower *Follower) {
		follower.LargeFleet = func() bool { return true }
		follower.RegistryReader = func() bool { return false }
		follower.RegistryCovered = covered.Load
	}
	followWith(t, f, Servers, prepare, func(t *testing.T, _ *Follower) {
		is := is.New(t)
		calls := func(d time.Duration) int {
			f.mu.Lock()
			before := f.watches
			f.mu.Unlock()
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				select {
				case f.events <- []Change{server("y", 4)}: // the servers change all the time
				default:
				}
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.watches - before
		}
		time.Sleep(recoveryPeriod + largeWatchTimeout)
		is.True(calls(time.Minute) <= 7)
		// The registry keeps its history for 20 s.
		f.update(func() { is.True(f.oldestWatch < 20*time.Second) })
		covered.Store(false) // the readers' statements stop
		is.True(calls(10*time.Second) >= 4)
	})
}

// TestCoveredVMsOfLargeFleetSpreadTheirLists covers 300 VMs whose watches end at the
// same time, as the registry truncates its history: covered VMs list the servers
// later. The operators' changes are listed at once, as a configuration must be in
// force within seconds.
func TestCoveredVMsOfLargeFleetSpreadTheirLists(t *testing.T) {
	for _, c := range []struct {
		topic   Topic
		covered bool
		change  Change
	}{
		{Servers, true, server("y", 4)}, {Servers, false, server("y", 4)},
		{Operators, true, Change{Revision: 4, Domain: "a"}}, {Operators, false, Change{Revision: 4, Domain: "a"}},
	} {
		f := &fakeRegistry{entries: []Change{server("x", 3)}, revision: 3}
		prepare := func(follower *Follower) {
			follower.LargeFleet = func() bool { return true }
			follower.RegistryReader = func() bool { return false }
			follower.RegistryCovered = func() bool { return c.covered }
		}
		followWith(t, f, c.topic, prepare, func(t *testing.T, _ *Follower) {
			is := is.New(t)
			time.Sleep(time.Second)
			f.update(func() { f.truncated = true })
			f.events <- []Change{c.change}
			time.Sleep(coveredListDelay/2 - time.Second)
			f.mu.Lock()
			lists := f.lists
			f.mu.Unlock()
			is.Equal(lists == 1, c.covered && c.topic == Servers) // the others list at once
			time.Sleep(coveredBatchPause + 2*coveredListDelay)
			f.mu.Lock()
			defer f.mu.Unlock()
			is.Equal(f.lists, 2)
		})
	}
}

func TestRemovalsFoundByAListArePublished(t *testing.T) {
	is := is.New(t)
	f := newFollower(&fakeRegistry{})
	var records []gossip.Record
	f.Publish = func(r gossip.Record) { records = append(records, r) }
	f.applyList(Servers, []Change{server("x", 3), server("y", 3)}, 3)
	records = nil
	f.applyList(Servers, []Change{server("x", 3)}, 9)
	is.Equal(len(records), 1)
	is.Equal(records[0].Name, "y")
	other := newFollower(&fakeRegistry{})
	other.applyList(Servers, []Change{server("x", 3), server("y", 3)}, 3)
	other.ApplyRecord(records[0])
	is.True(other.Roster.View().Lookup("y") == nil)
	// A server that is missing after an outage is removed later.
	f.Roster.MarkRegistryUnavailable()
	f.Roster.MarkRegistryAvailable(f.Now())
	records = nil
	f.applyList(Servers, nil, 12)
	is.Equal(len(records), 0)
	f.Expire(f.Now().Add(time.Minute))
	is.Equal(len(records), 1)
	is.Equal(records[0].Name, "x")
}

// TestEachThirdFailedListHasLongerTimeout covers a registry that is unresponsive
// while VMs start. Short timeouts detect its return soon; every third attempt waits
// longer, so that a slow registry can respond too.
func TestEachThirdFailedListHasLongerTimeout(t *testing.T) {
	is := is.New(t)
	registry := &fakeRegistry{down: true}
	follow(t, registry, Servers, func(_ *testing.T, follower *Follower) {
		time.Sleep(10 * time.Second)
		var startTimeouts []time.Duration
		registry.update(func() { startTimeouts = registry.startTimeouts })
		for i, startTimeout := range startTimeouts {
			if (i+1)%longListInterval == 0 {
				is.Equal(startTimeout, longListStartTimeout)
			} else {
				is.Equal(startTimeout, listStartTimeout)
			}
		}
		is.True(len(startTimeouts) >= longListInterval)
		registry.update(func() { registry.down = false })
		time.Sleep(maxBackoff * 2)
		is.Equal(follower.failedLists[Servers].Load(), int32(0))
	})
}
