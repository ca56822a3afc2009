package fleet

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/health"
	"github.com/chestnutspring/chestnutspring/internal/objects"
)

var (
	measure  = flag.Bool("measure", false, "measure the gossip exchange; takes minutes")
	onlySize = flag.String("shape", "", "measure only this fleet size: regions,members,backends,models")
	engines  = flag.Int("engines", 0, "serve as this many engines until standard input ends")
	settling = flag.Duration("settling", 15*time.Second, "settling time before a measurement")
	period   = flag.Duration("period", 20*time.Second, "duration of a measurement")
)

func TestMain(m *testing.M) {
	flag.Parse()
	if *engines > 0 {
		serveEngines(*engines)
		return
	}
	os.Exit(m.Run())
}

// serveEngines serves n engines whose load takes a random step every second, and
// prints their addresses. It runs in a separate process so that the CPU time of
// the engines isn't counted.
func serveEngines(n int) {
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		e := &steppingEngine{random: rand.New(rand.NewPCG(1, uint64(i))), stepped: time.Now()}
		go func() { _ = http.Serve(l, e) }()
		fmt.Println(l.Addr())
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// steppingEngine is a fake engine whose load takes a random step every second.
type steppingEngine struct {
	mu      sync.Mutex
	random  *rand.Rand
	report  health.Report
	stepped time.Time
}

func (e *steppingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.URL.Path != "/load" {
		_, _ = io.WriteString(w, `{"events":[]}`)
		return
	}
	for ; time.Since(e.stepped) >= time.Second; e.stepped = e.stepped.Add(time.Second) {
		e.report.Running = min(max(e.report.Running+e.random.IntN(5)-2, 0), 16)
		e.report.Queued = max(e.report.Running-12, 0)
		e.report.TokensPerSecond = 40 - float64(e.report.Running)
	}
	e.report.Loaded = []string{"wind-writer@2026-11"}
	_ = json.NewEncoder(w).Encode(e.report)
}

// startEngines starts a process that serves n engines and returns their
// addresses.
func startEngines(t *testing.T, n int) []string {
	cmd := exec.Command(os.Args[0], "-engines", fmt.Sprint(n))
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = in.Close(); _ = cmd.Wait() })
	var addresses []string
	for lines := bufio.NewScanner(out); len(addresses) < n && lines.Scan(); {
		addresses = append(addresses, lines.Text())
	}
	return addresses
}

// fleetSize is the size of a fleet to measure: the number of regions, of members
// and backend servers in each region, and of models.
type fleetSize struct{ regions, members, backends, models int }

// usage is the resource usage of a node: rates per second, and heap.
type usage struct {
	// Bytes of the connections, TLS included.
	controlSent, controlReceived, probeSent, probeReceived float64
	writes                                                 float64
	core                                                   float64 // share of one core
	heap                                                   float64 // bytes
}

func TestMeasureExchange(t *testing.T) {
	if !*measure {
		t.Skip("a measurement of several minutes without checks; run by make slopes with -args -measure")
	}
	shapes := []fleetSize{
		{1, 2, 139, 10}, {1, 6, 139, 10}, {1, 20, 139, 10}, {1, 60, 139, 10},
		{1, 20, 20, 10}, {1, 20, 70, 10},
		{3, 2, 5, 2}, {3, 4, 20, 10}, {9, 4, 20, 10}, {18, 4, 20, 10}, {9, 10, 15, 10},
	}
	if *onlySize != "" {
		var s fleetSize
		if _, err := fmt.Sscanf(*onlySize, "%d,%d,%d,%d", &s.regions, &s.members, &s.backends, &s.models); err != nil {
			t.Fatal(err)
		}
		shapes = []fleetSize{s}
	}
	fmt.Println("regions members backends models | B/s a node: control sent received, probes sent received | writes/s | core % | heap KB")
	for _, s := range shapes {
		t.Run(fmt.Sprintf("%dx%d", s.regions, s.members), func(t *testing.T) {
			u := measureUsage(t, s)
			fmt.Printf("%7d %7d %8d %6d | %6.0f %6.0f %6.0f %6.0f | %5.1f | %5.2f | %6.0f\n",
				s.regions, s.members, s.backends, s.models, u.controlSent, u.controlReceived,
				u.probeSent, u.probeReceived, u.writes, 100*u.core, u.heap/1024)
		})
	}
}

func measureUsage(t *testing.T, s fleetSize) usage {
	var regions []string
	for i := range s.regions {
		regions = append(regions, fmt.Sprintf("region-%02d", i))
	}
	b := newTestCluster(t, nil, regions, 0)
	b.log = slog.New(slog.DiscardHandler)
	b.addBackends(regions, s, startEngines(t, s.regions*s.backends))
	base := heapBytes()
	for _, region := range regions {
		for i := range s.members {
			b.add(region, i)
		}
	}
	for _, n := range b.nodes {
		b.start(n)
	}
	b.waitFor("all members reachable from all", time.Minute, func() bool {
		for _, n := range b.nodes {
			if n.reachable() != len(b.nodes) {
				return false
			}
		}
		return true
	})
	time.Sleep(*settling)
	before, start := b.total(), time.Now()
	time.Sleep(*period)
	after, seconds := b.total(), time.Since(start).Seconds()
	nodeSeconds := seconds * float64(len(b.nodes))
	return usage{
		controlSent:     (after.controlSent - before.controlSent) / nodeSeconds,
		controlReceived: (after.controlReceived - before.controlReceived) / nodeSeconds,
		probeSent:       (after.probeSent - before.probeSent) / nodeSeconds,
		probeReceived:   (after.probeReceived - before.probeReceived) / nodeSeconds,
		writes:          (after.writes - before.writes) / nodeSeconds,
		core:            (after.core - before.core) / nodeSeconds,
		heap:            (heapBytes() - base) / float64(len(b.nodes)),
	}
}

func (b *testCluster) addBackends(regions []string, s fleetSize, addresses []string) {
	for i := range s.models {
		name := fmt.Sprintf("model-%d", i)
		b.set.Models[name] = &objects.Model{Name: name, Spec: objects.ModelSpec{MaxOutputTokens: 100, SecondsPerToken: 0.02}}
	}
	for i, address := range addresses {
		region := regions[i%len(regions)]
		name := fmt.Sprintf("%s-engine-%03d", region, i/len(regions))
		b.set.BackendServers[name] = &objects.BackendServer{Name: name, Spec: objects.BackendServerSpec{
			Address: address, FailureDomain: region + "-a", Concurrency: 16,
			Model: fmt.Sprintf("model-%d", i/len(regions)%s.models),
		}}
	}
	b.set.Index()
}

// total returns the summed usage of all nodes since the start, without heap. The
// CPU time is that of the process.
func (b *testCluster) total() usage {
	var u usage
	for _, n := range b.nodes {
		u.controlSent += float64(n.controlMeter.Sent.Load())
		u.controlReceived += float64(n.controlMeter.Received.Load())
		u.probeSent += float64(n.probeMeter.Sent.Load())
		u.probeReceived += float64(n.probeMeter.Received.Load())
		u.writes += float64(n.controlMeter.Writes.Load() + n.probeMeter.Writes.Load())
	}
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	u.core = time.Duration(r.Utime.Nano() + r.Stime.Nano()).Seconds()
	return u
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
