package edge

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/mesh"
	"github.com/chestnutspring/chestnutspring/internal/peer"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/resume"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

// memoryTarget is the memory in bytes of a VM's process among 300 VMs and 200 servers. Half of
// it is for requests, and the collector lets the heap grow to twice what is live.
const memoryTarget = 40 << 20

// liveHeap returns the bytes of the heap that are in use.
func liveHeap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // frees what has finalizers
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// otherVM is the handler of a VM to which the one under test has a link. It keeps no records.
type otherVM struct {
	name string
	// upToDate is set once the record of lastServer has arrived.
	upToDate *atomic.Bool
}

// lastServer is the server whose record is sent last.
const lastServer = "last"

func (o otherVM) Self() peer.Hello {
	return peer.Hello{Version: peer.ProtocolVersion, VM: o.name, Incarnation: "1", Region: o.name[:1]}
}
func (o otherVM) Gossip(_ peer.Hello, records []gossip.Record, _ bool) {
	if slices.ContainsFunc(records, func(r gossip.Record) bool { return r.Name == lastServer }) {
		o.upToDate.Store(true)
	}
}
func (otherVM) OnMessage(peer.Hello, uint64)      {}
func (otherVM) Manifest() (published.Value, bool) { return published.Value{}, false }
func (otherVM) Part(string) ([]byte, bool)        { return nil, false }

// otherVMs opens links to other VMs, whose control addresses are their names.
type otherVMs struct {
	ctx context.Context
	log *slog.Logger
	mu  sync.Mutex
	// upToDate has an entry for each open link.
	upToDate map[string]*atomic.Bool
}

func (o *otherVMs) DialContext(_ context.Context, _, address string) (net.Conn, error) {
	near, far := net.Pipe()
	vm := otherVM{address, &atomic.Bool{}}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.upToDate[address] = vm.upToDate
	go func() {
		(&peer.Server{Handler: vm, Log: o.log}).ServeConn(o.ctx, far)
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.upToDate[address] == vm.upToDate {
			delete(o.upToDate, address)
		}
	}()
	return near, nil
}

// ringLinks is the number of links that a VM has to others of a failure domain of 50.
const ringLinks = 6

// areUpToDate reports whether the links are open and all records have arrived over each.
func (o *otherVMs) areUpToDate() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, upToDate := range o.upToDate {
		if upToDate.Load() {
			n++
		}
	}
	return n >= ringLinks && n == len(o.upToDate)
}

// pipeListener is an in-memory listener.
type pipeListener struct {
	conns chan net.Conn
	ctx   context.Context
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

// largeFleet is the records of a fleet of 300 VMs in 3 regions of 2 failure domains, before 200
// servers.
type largeFleet struct {
	t       *testing.T
	store   *gossip.Store
	vms     []string // those of the region of vm 0 come first
	servers []string
	// heartbeats is the number of each VM's heartbeats.
	heartbeats uint64
}

const (
	fleetVMs, fleetServers, regionVMs = 300, 200, 100
	// streamsPerSecond is for each VM.
	streamsPerSecond = 6
	// blocksOfRegion is the number of prefix blocks that the VMs of a region announce.
	blocksOfRegion = 10_000
)

func (f *largeFleet) put(kind gossip.Kind, name string, version uint64, value any) {
	f.t.Helper()
	data, err := gossip.EncodeNamed(value)
	if err != nil {
		f.t.Fatal(err)
	}
	f.store.Merge(gossip.Record{Key: gossip.Key{Kind: kind, Name: name}, Version: version, Value: data})
}

// addMembers adds the announcements and heartbeats of all VMs but the first, and the servers.
func (f *largeFleet) addMembers() {
	for i := range fleetVMs {
		region := string(rune('a' + i/regionVMs))
		name := fmt.Sprintf("%s-%d-%03d", region, i%2, i)
		f.vms = append(f.vms, name)
		if i == 0 {
			continue
		}
		f.put(gossip.KindMember, name, 1, struct {
			Incarnation, Region, FailureDomain, Callers, Hops, Control string
			Ready, ReadsGrownStructs, ReadsRawRecords                  bool
			Capacity                                                   float64
		}{"1", region, name[:3], "10.0.0.1:8080", "10.0.0.1:8081", name, true, true, true, 190})
	}
	f.addHeartbeats()
	for i := range fleetServers {
		f.putServer(fmt.Sprintf("replica-%06d", i), uint64(i+1))
	}
}

// addHeartbeats adds a heartbeat of each VM but the first.
func (f *largeFleet) addHeartbeats() {
	f.heartbeats++
	for _, vm := range f.vms[1:] {
		f.put(gossip.KindHeartbeat, vm, f.heartbeats, nil)
	}
}

func (f *largeFleet) putServer(id string, revision uint64) {
	region := string(rune('a' + revision%3))
	f.servers = append(f.servers, id)
	f.put(gossip.KindServer, id, revision, map[string]any{"Started": 1000, "Entry": roster.Entry{
		ID: id, Service: "writer", Address: "10.1.0.1:9000", FailureDomain: region + "-0", Region: region, Slots: 16, Started: 1000, SoftwareVersion: "v1",
	}})
}

// addLoads adds the load announcements of the region. Each VM names as many prefix blocks in
// one as it may send in an interval.
func (f *largeFleet) addLoads(version uint64) {
	const blocks = 32
	for i, vm := range f.vms[1:regionVMs] {
		server := f.servers[i*3%fleetServers]
		f.put(gossip.KindLoad, vm, version, mesh.Load{
			Usage:   map[string]balance.Usage{server: {StallingPerSecond: 0.5, PrefillBacklogUs: 30_000, TokenUs: 5000}},
			Reports: map[string]balance.Report{server: {Running: 7, MemoryUsed: 200_000, MemoryTotal: 400_000, Started: 1000}},
		})
		var sent mesh.Load
		for n := range blocks {
			number := (int(version)*regionVMs+i)*blocks + n
			sent.CachedBlocks = append(sent.CachedBlocks, balance.CachedBlock{Server: f.servers[number/blocksOfRegion*7%fleetServers], Started: 1000, Block: uint64(number % blocksOfRegion)})
		}
		f.put(gossip.KindLoad, fmt.Sprint(vm, "/", version%4), version, sent)
	}
}

// addStreams adds the streams that all VMs began in 30 s, in parts of 2 s.
func (f *largeFleet) addStreams() {
	const parts, perPart = 15, 2 * streamsPerSecond
	for i, vm := range f.vms[1:] {
		for part := range parts {
			var hashes []byte
			for n := range perPart {
				hashes = binary.LittleEndian.AppendUint64(hashes, uint64((i*parts+part)*perPart+n)*0x9E3779B97F4A7C15)
			}
			f.put(gossip.KindStreams, fmt.Sprint(vm, "/", part), 1, map[string]any{
				"Origins": []resume.Origin{{Service: "writer", SoftwareVersion: "v1"}}, "Hashes": hashes, "Which": make([]byte, perPart),
			})
		}
	}
}

const waitTime = 30 * time.Second

// waitFor polls done for up to waitTime and fails the test if it stays false.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("no %s within %v", what, waitTime)
}

// Guards against VMs above the memory that issue 22 allows at 300 VMs and 200 servers: what a VM
// knows of the fleet left too little of it for requests.
func TestWhatAVMKnowsOfALargeFleetStaysWithinItsMemory(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	before := liveHeap()
	f := &largeFleet{t: t, store: gossip.NewStore()}
	f.addMembers()
	others := &otherVMs{ctx: ctx, log: log, upToDate: map[string]*atomic.Bool{}}
	e := New(&Settings{
		VM: f.vms[0], Region: "a", FailureDomain: "a-0", ControlListen: f.vms[0], Grace: time.Second, PeerDialer: others,
	}, silentAdapter{}, log)
	listener := &pipeListener{conns: make(chan net.Conn), ctx: ctx}
	var running sync.WaitGroup
	running.Go(func() { _ = e.mesh.Serve(ctx, listener) })
	running.Go(func() { _ = e.mesh.Run(ctx) })
	defer running.Wait()
	defer cancel()
	dialer := &peer.Dialer{Log: log, Dial: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		listener.conns <- far
		return near, nil
	}}
	// The VMs of the ring that have a link to this one, and one of the other failure domain.
	var clients []*peer.Client
	var sessions []*gossip.Session
	for _, i := range []int{98, 96, 92, 84, 68, 36, 3} {
		client, err := dialer.Open(ctx, f.vms[0], peer.Hello{Version: peer.ProtocolVersion, VM: f.vms[i], Incarnation: "1", Region: "a", FailureDomain: f.vms[i][:3]})
		is.NoErr(err)
		client.RawRecords = true
		clients, sessions = append(clients, client), append(sessions, gossip.NewSession(f.store, nil))
	}
	send := func() {
		for i, session := range sessions {
			for more := true; more; {
				var delta gossip.Delta
				delta, more = session.Next()
				is.NoErr(clients[i].Gossip(0, delta, !more))
			}
			_, err := clients[i].Ping(ctx, 0) // the records have arrived
			is.NoErr(err)
		}
	}
	send()
	f.addStreams()
	const intervals = 25
	for version := range uint64(intervals) {
		f.addLoads(version + 1)
		f.addHeartbeats()
		send()
	}
	f.putServer(lastServer, fleetServers+1)
	waitFor(t, "all records at the VMs of the ring", func() bool {
		f.addHeartbeats()
		send()
		return others.areUpToDate()
	})
	is.Equal(len(e.mesh.Members()), fleetVMs-1)
	is.Equal(len(e.roster.View().All()), fleetServers+1)
	f, sessions = nil, nil // of the other VMs
	used := liveHeap() - before
	runtime.KeepAlive(e)
	t.Logf("%d KB", used>>10)
	is.True(used <= memoryTarget/2/2)
}
