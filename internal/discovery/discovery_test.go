package discovery

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

// fakeRegistry answers lists with what it holds and watches with what is sent.
type fakeRegistry struct {
	mu      sync.Mutex
	entries []Change
	at      uint64
	down    bool
	gone    bool
	events  chan []Change
	begins  []time.Duration
	lists   int
}

func (f *fakeRegistry) List(_ context.Context, _ Topic, begin time.Duration) ([]Change, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	f.begins = append(f.begins, begin)
	if f.down {
		return nil, 0, ErrUnavailable.New("down")
	}
	return f.entries, f.at, nil
}

func (f *fakeRegistry) Watch(ctx context.Context, _ Topic, after uint64, wait time.Duration) ([]Change, uint64, error) {
	f.mu.Lock()
	down, gone := f.down, f.gone
	f.gone = false
	f.mu.Unlock()
	switch {
	case down:
		return nil, 0, ErrUnavailable.New("down")
	case gone:
		return nil, 0, ErrHistoryGone.New("gone")
	}
	select {
	case list := <-f.events:
		if list == nil {
			return nil, 0, ErrUnavailable.New("cut")
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

func (f *fakeRegistry) set(edit func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	edit()
}

func newFollower(f *fakeRegistry) *Follower {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	return New(Config{
		Registry: f, Roster: roster.New(log), Now: clock.Synthetic(), Log: log, Scope: tally.NoopScope,
		Publish: func(gossip.Record) {}, LargeFleet: func() bool { return false }, RegistryReader: func() bool { return true },
	})
}

func server(id string, revision uint64) Change {
	return Change{Revision: revision, Server: &roster.Entry{
		ID: id, Service: "s", Address: "10.0.0.1:1", FailureDomain: "a", Region: "r", Slots: 1, Started: 1,
	}}
}

func table(version uint64, revision uint64) Change {
	return Change{Revision: revision, Table: ingress.NewTable(version, nil, nil, ingress.Limits{}), Raw: []byte{byte(version)}}
}

// follow runs a follower of the topic in a bubble of fake time.
func follow(t *testing.T, f *fakeRegistry, topic Topic, test func(t *testing.T, follower *Follower)) {
	synctest.Test(t, func(t *testing.T) {
		f.events = make(chan []Change, 4)
		follower := newFollower(f)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = follower.Run(ctx, topic) }()
		synctest.Wait()
		test(t, follower)
		cancel()
		<-done
	})
}

func TestConfigurationOfAnOlderRevisionIsIgnored(t *testing.T) {
	f := &fakeRegistry{entries: []Change{table(5, 10)}, at: 10}
	follow(t, f, Operators, func(t *testing.T, follower *Follower) {
		is := is.New(t)
		f.events <- []Change{table(4, 9)}
		time.Sleep(2 * gather)
		is.Equal(follower.Table().Version, uint64(5))
		f.events <- []Change{table(9, 12)}
		time.Sleep(2 * gather)
		is.Equal(follower.Table().Version, uint64(9))
		// A registry that comes back with an old copy.
		f.set(func() { f.entries, f.at, f.gone = []Change{table(5, 10)}, 10, true })
		f.events <- []Change{{Revision: 13, Domain: "a"}}
		time.Sleep(time.Second)
		is.Equal(follower.Table().Version, uint64(9))
	})
}

func TestServerRemovedInAnOutageMayComeBack(t *testing.T) {
	f := &fakeRegistry{entries: []Change{server("x", 3), server("y", 4)}, at: 4}
	follow(t, f, Servers, func(t *testing.T, follower *Follower) {
		is := is.New(t)
		is.Equal(len(follower.Roster.View().Usable("s", "r")), 2)
		f.set(func() { f.down = true })
		time.Sleep(10 * time.Second)
		is.Equal(len(follower.Roster.View().Usable("s", "r")), 2) // the outage itself takes none away
		f.set(func() { f.down, f.entries, f.at = false, nil, 20 })
		time.Sleep(time.Second)
		is.Equal(len(follower.Roster.View().Usable("s", "r")), 2)
		f.events <- []Change{server("x", 21)}
		time.Sleep(3 * time.Second)
		follower.Roster.Expire(follower.Now())
		is.Equal(len(follower.Roster.View().Usable("s", "r")), 1) // only the one that came back
	})
}

func TestLostHistoryIsReadAgain(t *testing.T) {
	f := &fakeRegistry{entries: []Change{server("x", 3)}, at: 3}
	follow(t, f, Servers, func(t *testing.T, follower *Follower) {
		is := is.New(t)
		f.set(func() { f.gone, f.entries, f.at = true, []Change{server("y", 8)}, 8 })
		time.Sleep(2 * watchWait)
		is.True(follower.Roster.View().Lookup("x") == nil)
		is.True(follower.Roster.View().Lookup("y") != nil)
	})
}

func TestFailingRegistryIsNotFloodedWithCalls(t *testing.T) {
	f := &fakeRegistry{down: true}
	follow(t, f, Servers, func(t *testing.T, _ *Follower) {
		time.Sleep(time.Minute)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.lists > 160 || f.lists < 60 {
			t.Fatalf("%d lists in a minute of outage", f.lists)
		}
	})
}

func TestNewerConfigurationOfAnotherVMIsTakenOver(t *testing.T) {
	f := &fakeRegistry{entries: []Change{table(5, 10)}, at: 10}
	follow(t, f, Operators, func(t *testing.T, follower *Follower) {
		is := is.New(t)
		asked := 0
		fetch := func(context.Context) (uint64, []byte, error) { asked++; return 14, []byte{8}, nil }
		follower.FetchNewer(10, fetch)
		follower.FetchNewer(14, fetch)
		synctest.Wait()
		is.Equal(asked, 1)
		is.Equal(follower.Table().Version, uint64(8))
		follower.FetchNewer(99, func(context.Context) (uint64, []byte, error) { return 99, nil, nil })
		time.Sleep(time.Second)
		is.Equal(follower.Table().Version, uint64(8)) // what can't be read changes nothing
	})
}

func TestWordOfAnotherVMAboutAServer(t *testing.T) {
	is := is.New(t)
	follower := newFollower(&fakeRegistry{})
	data, err := gossip.Encode(serverWord{Entry: server("x", 0).Server})
	is.NoErr(err)
	record := gossip.Record{Key: gossip.Key{Kind: gossip.KindServer, Name: "x"}, Version: 5, Value: data}
	follower.ApplyRecord(record)
	is.True(follower.Roster.View().Lookup("x") != nil)
	gone, err := gossip.Encode(serverWord{})
	is.NoErr(err)
	record.Version, record.Value = 6, gone
	follower.ApplyRecord(record)
	is.True(follower.Roster.View().Lookup("x") == nil)
	record.Value = []byte("nonsense")
	follower.ApplyRecord(record) // no panic
}

func TestFewVMsOfALargeFleetReadTheRegistryOften(t *testing.T) {
	is := is.New(t)
	f := newFollower(&fakeRegistry{})
	f.LargeFleet = func() bool { return true }
	_, often := f.intervals()
	f.RegistryReader = func() bool { return false }
	f.regained(Servers)
	_, settled := f.intervals()
	is.Equal(settled, often) // what lapsed while the registry was away comes back
	f.regainedAt.Store(int64(f.Now().Add(-settling)))
	_, seldom := f.intervals()
	is.True(often < seldom)
	// A VM that hears nothing of the readers still knows within the operators'
	// bounds of five seconds.
	is.True(seldom <= 2*time.Second)
}

// TestEachThirdListOfASilentRegistryIsPatient is the pattern of a registry that
// goes silent and comes back while VMs start: a list that waits for it is given
// up soon, and now and then one waits for a registry that is merely slow.
func TestEachThirdListOfASilentRegistryIsPatient(t *testing.T) {
	is := is.New(t)
	registry := &fakeRegistry{down: true}
	follow(t, registry, Servers, func(_ *testing.T, follower *Follower) {
		time.Sleep(10 * time.Second)
		var begins []time.Duration
		registry.set(func() { begins = registry.begins })
		for i, begin := range begins {
			if (i+1)%patientTry == 0 {
				is.Equal(begin, patientTimeout)
			} else {
				is.Equal(begin, beginTimeout)
			}
		}
		is.True(len(begins) >= patientTry)
		registry.set(func() { registry.down = false })
		time.Sleep(maxPause * 2)
		is.Equal(follower.failures.Load(), int32(0))
	})
}
