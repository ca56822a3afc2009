package peer

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/published"
)

const (
	// memoryTarget is the memory in bytes of a VM's process among 300 VMs and 200 servers. Half
	// of it is for requests, the collector lets the heap grow to twice what is live, and the
	// connections from peers are one of fleetParts parts of what a VM knows of the fleet.
	memoryTarget = 40 << 20
	fleetParts   = 5
)

// liveHeap returns the bytes of the heap that are in use.
func liveHeap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // frees what has finalizers
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// forgetful is a Handler that keeps no records.
type forgetful struct{ hello Hello }

func (h forgetful) Self() Hello                       { return h.hello }
func (forgetful) OnMessage(Hello, uint64)             {}
func (forgetful) Gossip(Hello, []gossip.Record, bool) {}
func (forgetful) Manifest() (published.Value, bool)   { return published.Value{}, false }
func (forgetful) Part(string) ([]byte, bool)          { return nil, false }

// Guards against VMs above the memory that issue 22 allows at 300 VMs and 200 servers: each
// connection from a peer kept the names of all records and buffers for the whole state.
func TestConnectionsOfALargeFleetStayWithinTheirMemory(t *testing.T) {
	const peers, streamParts = 8, 16
	used := memoryOfConnections(t, peers, streamParts)
	t.Logf("%d KB", used>>10)
	is.New(t).True(used <= memoryTarget/2/2/fleetParts)
}

// Guards against the same at a seed after the loss of all VMs (trouble-1 of the large
// deployment): all others connect to it and send what they know. No VM has requests then.
func TestSeedOfALargeFleetThatStartsStaysWithinItsMemory(t *testing.T) {
	const peers, streamParts = vms - 1, 4
	used := memoryOfConnections(t, peers, streamParts)
	t.Logf("%d KB", used>>10)
	is.New(t).True(used <= memoryTarget/2)
}

const vms, servers, sendersAtOnce = 300, 200, 8

// memoryOfConnections returns the heap that a VM uses for connections from peers that have
// sent the records of all members, servers and of the given number of parts of streams of each VM.
func memoryOfConnections(t *testing.T, connections, streamParts int) int64 {
	is := is.New(t)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	store := gossip.NewStore()
	put := func(kind gossip.Kind, name string, version uint64, size int) {
		store.Merge(gossip.Record{Key: gossip.Key{Kind: kind, Name: name}, Version: version, Value: make([]byte, size)})
	}
	for i := range vms {
		vm := fmt.Sprintf("vm-%03d", i)
		put(gossip.KindMember, vm, 1, 200)
		for part := range streamParts {
			put(gossip.KindStreams, fmt.Sprint(vm, "/", part), 1, 150)
		}
	}
	for i := range servers {
		put(gossip.KindServer, fmt.Sprintf("replica-%06d", i), 1, 200)
	}
	dialer := &Dialer{Log: log, Dial: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go (&Server{Handler: forgetful{Hello{Version: ProtocolVersion, VM: "vm-0"}}, Log: log}).ServeConn(t.Context(), far)
		return near, nil
	}}
	clients, sessions := make([]*Client, connections), make([]*gossip.Session, connections)
	for i := range connections {
		var err error
		clients[i], err = dialer.Open(t.Context(), "vm-0", Hello{Version: ProtocolVersion, VM: fmt.Sprint("vm-", i), Incarnation: "1", Region: "north"})
		is.NoErr(err)
		clients[i].RawRecords = true
		defer clients[i].Close()
		sessions[i] = gossip.NewSession(store, nil)
	}
	before := liveHeap()
	sendOver := func(i int) error {
		for more := true; more; {
			var delta gossip.Delta
			delta, more = sessions[i].Next()
			if err := clients[i].Gossip(0, delta, !more); err != nil {
				return err
			}
		}
		_, err := clients[i].Ping(t.Context(), 0) // the records have arrived
		return err
	}
	// One after the other would take longer than a connection may be idle on a busy machine.
	send := func() {
		var group errgroup.Group
		group.SetLimit(sendersAtOnce)
		for i := range sessions {
			group.Go(func() error { return sendOver(i) })
		}
		is.NoErr(group.Wait())
	}
	send()
	put(gossip.KindMember, "vm-000", 2, 200)
	send()
	clear(sessions) // of the other VMs
	used := liveHeap() - before
	runtime.KeepAlive(store)
	return used
}
