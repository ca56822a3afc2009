package mesh

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// node is a running Mesh.
type node struct {
	*Mesh
	cancel context.CancelFunc
	done   chan struct{}
}

// start runs a mesh node on the address, or on a free port if it is empty.
func start(t *testing.T, name, region, address string, seeds ...string) *node {
	t.Helper()
	return startWith(t, func(*Config) {}, name, region, address, seeds...)
}

// startWith is start with a changed configuration.
func startWith(t *testing.T, edit func(*Config), name, region, address string, seeds ...string) *node {
	t.Helper()
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	config := Config{
		Self:      snapshot.Identity{VM: name, Incarnation: fmt.Sprint(time.Now().UnixNano()), Region: region, FailureDomain: region + "-a"},
		Addresses: Addresses{Callers: "10.0.0.1:1", Hops: "10.0.0.1:2", Control: l.Addr().String()},
		Seeds:     seeds, Now: clock.Boot, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		OnLoad: func(Load) {}, OnRecord: func(gossip.Record) {},
		Configuration:        func() (uint64, []byte) { return 0, nil },
		OnNewerConfiguration: func(uint64, func(context.Context) ([]byte, error)) {},
	}
	edit(&config)
	m := New(config)
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{Mesh: m, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(n.done)
		go func() { _ = m.Run(ctx) }()
		_ = m.Serve(ctx, l)
	}()
	t.Cleanup(n.stop)
	return n
}

func (n *node) stop() { n.cancel(); <-n.done }

// lookup returns the named member if it is reachable from n, or nil.
func (n *node) lookup(name string) *Member {
	for _, m := range n.Members() {
		if m.VM == name && m.Reachable {
			return &m
		}
	}
	return nil
}

// waitFor polls done for up to 10 s and fails the test if it stays false.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("no %s within 10 s", what)
}

func TestVMsDiscoverEachOtherThroughOneSeed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	seed := start(t, "a", "north", "")
	b := start(t, "b", "north", "", seed.Addresses.Control, "127.0.0.1:1")
	c := start(t, "c", "west", "", seed.Addresses.Control)
	waitFor(t, "membership of b and c", func() bool { return b.lookup("c") != nil && c.lookup("b") != nil && seed.lookup("c") != nil })
	b.SetState(State{Ready: true})
	waitFor(t, "announcement of readiness", func() bool { m := c.lookup("b"); return m != nil && m.Ready })
	b.SetState(State{Leaving: true})
	waitFor(t, "announcement of the shutdown", func() bool { m := c.lookup("b"); return m != nil && m.Leaving })
	vm, _ := c.PickMember("north", "writer", "request")
	is.Equal(vm, "") // no VM in north is ready
}

func TestRestartedSeedHasNewIncarnation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	seed := start(t, "a", "north", "")
	b := start(t, "b", "north", "", seed.Addresses.Control)
	waitFor(t, "full membership", func() bool { return b.lookup("a") != nil && seed.lookup("b") != nil })
	old := b.lookup("a").Incarnation
	seed.stop()
	waitFor(t, "loss of the seed", func() bool { return b.lookup("a") == nil })
	// Later than the period in which more VMs are assumed, the unreachable member
	// still counts for shared allowances.
	waitFor(t, "the end of the startup period", func() bool { return b.Now().Sub(b.started) > startupPeriod })
	vms, _ := b.ServerRank("x", "")
	is.Equal(vms, 2)
	second := start(t, "a", "north", seed.Addresses.Control)
	waitFor(t, "return of the seed", func() bool { m := b.lookup("a"); return m != nil && m.Incarnation != old && second.lookup("b") != nil })
}

func TestLoadsStayWithinRegionAndSummariesCrossRegions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	a := start(t, "a", "north", "")
	b := start(t, "b", "north", "", a.Addresses.Control)
	c := start(t, "c", "west", "", a.Addresses.Control)
	waitFor(t, "full membership", func() bool { return b.lookup("c") != nil && c.lookup("a") != nil && a.lookup("b") != nil })
	a.SetState(State{Ready: true})
	waitFor(t, "load and summary", func() bool {
		a.SetLoad(Load{Usage: map[string]balance.Usage{"s1": {Active: 3, PrefillBacklogUs: 10}}})
		a.SetSummaries([]balance.Summary{{Service: "s", Servers: 2, Slots: 8, Active: 3}})
		time.Sleep(50 * time.Millisecond)
		regions := c.Regions("s")
		return b.PeerUsage()["s1"].Active == 3 && len(regions) == 1 && regions[0].Known
	})
	is.Equal(len(c.PeerUsage()), 0)
	is.Equal(c.Regions("s")[0].Summary.Slots, 8)
	is.Equal(len(c.Regions("unknown")), 1)
	is.True(!c.Regions("unknown")[0].Known)
}

func TestRegistryRecordsReachEveryVM(t *testing.T) {
	t.Parallel()
	got := make(chan gossip.Record, 10)
	a := start(t, "a", "north", "")
	b := start(t, "b", "west", "", a.Addresses.Control)
	b.Mesh.OnRecord = func(r gossip.Record) { got <- r }
	waitFor(t, "full membership", func() bool { return a.lookup("b") != nil && b.lookup("a") != nil })
	a.Publish(gossip.Record{Key: gossip.Key{Kind: gossip.KindServer, Name: "s1"}, Version: 7, Value: []byte{1}})
	select {
	case r := <-got:
		if r.Name != "s1" || r.Version != 7 {
			t.Fatalf("got %+v", r)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("record did not arrive within 5 s")
	}
}

// Guards against records of a VM that stay after it was removed, and against a VM that takes
// parts of its own evidence for those of another one.
func TestPartsOfARecordBelongToTheirVM(t *testing.T) {
	is := is.New(t)
	m := fleetOf(smallRegions())["north-1"]
	part := func(kind gossip.Kind, vm, part string) gossip.Record {
		return gossip.Record{Key: gossip.Key{Kind: kind, Name: vm + "/" + part}, Version: 9, Value: []byte{1}}
	}
	for _, kind := range []gossip.Kind{gossip.KindEvidence, gossip.KindStreams} {
		is.Equal(ownerOf(part(kind, "west-1", "c3")), "west-1")
		m.Publish(part(kind, "west-1", "c3"))
		m.Publish(part(kind, "west-2", "c3"))
	}
	before := m.store.Len()
	m.remove("west-1")
	is.Equal(m.store.Len(), before-2)
	own := part(gossip.KindEvidence, "north-1", "c3")
	own.Version = 1 << 62 // of the process before
	m.apply(own)
	is.True(m.versionBase+m.version > own.Version)
}

// Guards against issue 51: what the VMs of a large region need once was announced four times
// over, so that it isn't lost when the next announcement overtakes it. Now it is kept beside
// the next ones.
func TestAdditionsToALoadAnnouncementReachVMsThatAreBehind(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	received := map[uint64]int{}
	first := start(t, "north-1", "north", "")
	for block := range uint64(loadParts) {
		first.AddLoad(Load{CachedBlocks: []balance.CachedBlock{{Server: "s", Block: block + 1}}})
	}
	first.SetLoad(Load{Usage: map[string]balance.Usage{"s": {Active: 3}}})
	second := startWith(t, func(c *Config) {
		c.OnLoad = func(l Load) {
			mu.Lock()
			defer mu.Unlock()
			for _, b := range l.CachedBlocks {
				received[b.Block]++
			}
		}
	}, "north-2", "north", "", first.Addresses.Control)
	waitFor(t, "the announcements", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(received) == loadParts && second.PeerUsage()["s"].Active == 3
	})
	first.AddLoad(Load{CachedBlocks: []balance.CachedBlock{{Server: "s", Block: 100}}})
	waitFor(t, "the next addition", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return received[100] > 0
	})
	mu.Lock()
	defer mu.Unlock()
	for block, n := range received {
		is.Equal(n, 1) // of each block
		is.True(block > 0)
	}
	is.Equal(second.PeerUsage()["s"].Active, 3) // an addition doesn't replace the usage
}
