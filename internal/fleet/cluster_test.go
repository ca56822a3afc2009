package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/health"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// engine is a fake backend server that reports its load and cache events.
type engine struct {
	report  atomic.Pointer[health.Report]
	events  atomic.Pointer[string]
	address string
	probes  atomic.Int64
}

func newEngine(t testing.TB, l net.Listener) *engine {
	e := &engine{address: l.Addr().String()}
	noEvents := `{"events":[]}`
	e.events.Store(&noEvents)
	e.report.Store(&health.Report{TokensPerSecond: 40, Loaded: []string{"m@1"}})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			e.probes.Add(1)
			_ = json.NewEncoder(w).Encode(e.report.Load())
			return
		}
		_, _ = io.WriteString(w, *e.events.Load())
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return e
}

// set edits the reported load.
func (e *engine) set(change func(r *health.Report)) {
	next := *e.report.Load()
	change(&next)
	e.report.Store(&next)
}

// fakeVMList is a fake of the platform's list of VMs.
type fakeVMList struct {
	mu       sync.Mutex
	revision uint64
	list     published.VMList
	down     bool
	wake     chan struct{}
}

func newFakeVMList() *fakeVMList { return &fakeVMList{wake: make(chan struct{})} }

// publish replaces the list by an edited copy with the given revision.
func (l *fakeVMList) publish(revision uint64, change func(list *published.VMList)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	vms := append([]published.VM(nil), l.list.VMs...)
	next := published.VMList{VMs: vms}
	change(&next)
	l.revision, l.list = revision, next
	close(l.wake)
	l.wake = make(chan struct{})
}

func (l *fakeVMList) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *fakeVMList) value() (published.Value, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return published.Value{}, l.wake, published.ErrUnavailable.New("down")
	}
	data, _ := json.Marshal(l.list)
	return published.Value{Name: published.ValueVMs, Revision: l.revision, Data: data}, l.wake, nil
}

func (l *fakeVMList) Read(context.Context, string) (published.Value, error) {
	v, _, err := l.value()
	return v, err
}

// Watch returns any value whose revision differs from after, even an older one,
// as a stale replica of the service does.
func (l *fakeVMList) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) (published.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		v, changed, err := l.value()
		if err != nil || v.Revision != after {
			return v, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return published.Value{}, published.ErrUnchanged.New("unchanged")
		}
	}
}

// testCluster is several Fleets in one process, on an in-memory network or on
// loopback.
type testCluster struct {
	t       testing.TB
	memory  *memNet // nil means loopback
	list    *fakeVMList
	set     *objects.Set
	engines map[string]*engine
	nodes   map[string]*testNode
	log     *slog.Logger
	now     clock.Clock
}

// testNode is one Fleet and its published snapshots.
type testNode struct {
	*Fleet
	publisher *snapshot.Publisher
	listener  net.Listener
	stop      context.CancelFunc
	done      chan struct{}
	// offset is added to the node's clock, in nanoseconds, to simulate a pause.
	offset atomic.Int64
	halted atomic.Bool
}

func vmName(region string, i int) string { return fmt.Sprintf("%s-entry-%d", region, i) }

// newTestCluster returns a cluster without nodes whose configuration has the
// given number of backend servers of model "m" in each region.
func newTestCluster(t testing.TB, memory *memNet, regions []string, backends int) *testCluster {
	b := &testCluster{
		t: t, memory: memory, list: newFakeVMList(), set: objects.NewSet(),
		engines: map[string]*engine{}, nodes: map[string]*testNode{},
		now: clock.Synthetic(),
		log: slog.New(slog.NewTextHandler(logWriter{t}, nil)),
	}
	b.set.Revision = 1
	b.set.Models["m"] = &objects.Model{Name: "m", Spec: objects.ModelSpec{MaxOutputTokens: 100, SecondsPerToken: 0.02}}
	for _, region := range regions {
		fd := region + "-a"
		b.set.Regions[region] = &objects.Region{Name: region}
		b.set.FailureDomains[fd] = &objects.FailureDomain{Name: fd, Spec: objects.FailureDomainSpec{Region: region}}
		for i := range backends {
			name := fmt.Sprintf("%s-engine-%d", region, i)
			e := newEngine(t, b.listen(""))
			b.engines[name] = e
			b.set.BackendServers[name] = &objects.BackendServer{Name: name, Spec: objects.BackendServerSpec{
				Address: e.address, FailureDomain: fd, Model: "m", Concurrency: 8,
			}}
		}
	}
	b.set.Index()
	return b
}

func (b *testCluster) listen(address string) net.Listener {
	if b.memory != nil {
		return b.memory.listen(address)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	return l
}

func (b *testCluster) dial(ctx context.Context, from, to string) (net.Conn, error) {
	if b.memory != nil {
		return b.memory.dial(ctx, from, to)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", to)
}

type logWriter struct{ t testing.TB }

func (w logWriter) Write(p []byte) (int, error) {
	if testing.Verbose() {
		fmt.Print(string(p))
	}
	return len(p), nil
}

// add creates a node and adds its VM to the list; start runs it.
func (b *testCluster) add(region string, i int, seeds ...string) *testNode {
	vm := vmName(region, i)
	l := b.listen("")
	b.list.publish(b.list.revision+1, func(list *published.VMList) {
		list.VMs = append(list.VMs, published.VM{
			Name: vm, Region: region, FailureDomain: region + "-a", Role: published.RoleEntry,
			State: published.StateLive, ControlAddress: l.Addr().String(),
		})
	})
	return b.build(region, vm, "first-"+vm, l, seeds)
}

func (b *testCluster) build(region, vm, incarnation string, l net.Listener, seeds []string) *testNode {
	self := snapshot.Identity{VM: vm, Incarnation: incarnation, Region: region, FailureDomain: region + "-a"}
	n := &testNode{publisher: snapshot.NewPublisher(self), listener: l, done: make(chan struct{})}
	n.publisher.Update(func(next *snapshot.Snapshot) { next.Config = b.set })
	now := clock.Clock(clock.Boot)
	if b.memory != nil {
		now = b.now
	}
	n.Fleet = New(Config{
		Self: self, ControlAddress: l.Addr().String(),
		CallerAddress: "127.0.0.1:1", ForwardAddress: "127.0.0.1:2",
		Publisher: n.publisher, Reader: b.list, Seeds: seeds,
		Now:   func() clock.Instant { return now().Add(time.Duration(n.offset.Load())) },
		Log:   b.log.With("node", vm),
		Scope: tally.NoopScope,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return b.dial(ctx, l.Addr().String(), address)
		},
	})
	b.nodes[vm] = n
	return n
}

func (b *testCluster) start(nodes ...*testNode) {
	for _, n := range nodes {
		ctx, cancel := context.WithCancel(context.Background())
		n.stop = cancel
		var running sync.WaitGroup
		running.Go(func() { _ = n.Serve(ctx, n.listener) })
		running.Go(func() { _ = n.Run(ctx) })
		go func() {
			running.Wait()
			close(n.done)
		}()
		b.t.Cleanup(n.halt)
	}
}

// halt stops a node without announcing it to its peers.
func (n *testNode) halt() {
	n.halted.Store(true)
	n.stop()
	<-n.done
}

// waitFor waits until a condition holds and returns how long that took. It fails
// the test after limit.
func (b *testCluster) waitFor(what string, limit time.Duration, ok func() bool) time.Duration {
	b.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			b.t.Fatalf("condition not met within %s: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

func (n *testNode) view() *snapshot.Snapshot { return n.publisher.Load() }

// reachable counts the members that the node can reach.
func (n *testNode) reachable() int {
	count := 0
	for _, m := range n.view().Members {
		if m.Reachable && m.Incarnation != "" {
			count++
		}
	}
	return count
}

// usable reports whether the node would send new requests to a backend server.
func (n *testNode) usable(name string) bool {
	s := n.view()
	b := s.Backends[name]
	return b != nil && b.Healthy && !b.Leaving && s.BackendFresh(b, n.cfg.Now())
}
