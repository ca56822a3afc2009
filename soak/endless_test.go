package soak

import (
	"context"
	"encoding/base64"
	"fmt"
	"hash/fnv"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

const (
	// leastMemoryMb is the memory of the smallest VM, in MiB. The platform kills a process
	// above it.
	leastMemoryMb = 184
	// heldRequests is the number of requests at once whose servers hold their responses
	// open, at each VM.
	heldRequests = 900
	// heldHeadBytes and heldBodyBytes are what these servers send at once.
	heldHeadBytes, heldBodyBytes = 60 << 10, 120 << 10
	// heldFor is the deadline of these requests.
	heldFor = 3 * time.Second
	// floodCallers is the number of callers whose servers send as fast as they can.
	floodCallers = 8
)

// residentMb returns the resident memory of a process in MiB, at its peak.
func residentMb(t *testing.T, pid int) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			if err != nil {
				t.Fatal(err)
			}
			return kb >> 10
		}
	}
	t.Fatal("the process has no resident memory")
	return 0
}

// endlessReplicas registers replicas of a service that answer with one of the responses,
// and returns the most requests that were open at them at once.
func (h *Harness) endlessReplicas(t *testing.T, service, zone string, atOnce int, responses map[string]platformtest.Endless) *atomic.Int64 {
	t.Helper()
	names := slices.Sorted(maps.Keys(responses))
	var open, most atomic.Int64
	for range 4 {
		stop, err := h.StartRaw(fmt.Sprintf("e-%d", h.lastID.Add(1)), service, zone, func(conn net.Conn, request *http.Request) {
			most.Store(max(most.Load(), open.Add(1)))
			defer open.Add(-1)
			hash := fnv.New32()
			_, _ = hash.Write([]byte(request.Header.Get("Request-Id")))
			responses[names[int(hash.Sum32())%len(names)]].Write(conn, request, atOnce)
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(stop)
	}
	return &most
}

// heldResponses returns those of which a VM that bounds only each response for itself holds
// all that the server sent.
func heldResponses(responses map[string]platformtest.Endless) map[string]platformtest.Endless {
	held := map[string]platformtest.Endless{}
	for _, name := range []string{"one field", "short fields", "values of a field", "body", "body with length", "chunks", "failure", "one event", "comment lines"} {
		if r, ok := responses[name]; ok {
			held[name] = r
		}
	}
	return held
}

// startSmallest starts a VM of the least memory in each zone.
func (h *Harness) startSmallest(t *testing.T, zones ...string) {
	t.Helper()
	for _, zone := range zones {
		p := &process{VM: platformtest.NewVM(zone+"-1", zone)}
		h.seeds = append(h.seeds, p.ControlAddress)
		h.vms = append(h.vms, p)
	}
	for _, p := range h.vms {
		var err error
		if p.storeProxy, err = NewProxy(h.StoreAddress); err != nil {
			t.Fatal(err)
		}
		p.settingsPath = filepath.Join(h.Dir, p.Name+".toml")
		settings := strings.Replace(h.Settings(p.VM, p.storeProxy.Address, h.seeds, grace), "memoryMb = 200", fmt.Sprintf("memoryMb = %d", leastMemoryMb), 1)
		if err := os.WriteFile(p.settingsPath, []byte(settings), 0o600); err != nil {
			t.Fatal(err)
		}
		if p.logFile, err = os.Create(filepath.Join(h.Dir, p.Name+".log")); err != nil {
			t.Fatal(err)
		}
		if err := h.start(p); err != nil {
			t.Fatal(err)
		}
	}
	for _, p := range h.vms {
		if !h.waitFor(recoveryTimeout, p.IsReady) {
			t.Fatalf("%s is not ready after %v", p.Name, recoveryTimeout)
		}
	}
}

// startEndless starts a deployment with the services and a sound server in each zone, whose
// VMs are started later.
func startEndless(t *testing.T, services ...string) *Harness {
	t.Helper()
	d, err := platformtest.NewDeployment()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	h := &Harness{Config: Config{Binary: buildEdge(t), Dir: t.TempDir()}, Deployment: d, replicas: map[string]*replica{}, started: time.Now()}
	t.Cleanup(h.stopAll)
	d.Configure(platformtest.WithServices(2*heldFor, services...))
	for _, zone := range []string{"north-a", "south-a"} {
		if err := h.startReplica(platformtest.PlainService, zone, ""); err != nil {
			t.Fatal(err)
		}
	}
	return h
}

// sendOne sends one request to a VM and returns its answer.
func (h *Harness) sendOne(ctx context.Context, client *platformtest.Client, p *process, path string) platformtest.Answer {
	return client.Do(ctx, p.CallerAddress, path, fmt.Sprintf("q-%d", h.lastID.Add(1)), heldFor, nil)
}

// sendSound sends sound requests to a VM until ctx ends. Each of them must be served.
func (h *Harness) sendSound(ctx context.Context, t *testing.T, client *platformtest.Client, p *process) {
	for ctx.Err() == nil {
		if a := h.sendOne(t.Context(), client, p, platformtest.PathUnsafe); a.Status != http.StatusOK || !a.Complete {
			t.Errorf("%s answered a sound request with %d: %s %v", p.Name, a.Status, a.Body, a.Err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// checkMemory fails the test if a process has taken more than most of the least memory, or
// has ended. The garbage collector works below seven tenths of it.
func (h *Harness) checkMemory(t *testing.T) {
	t.Helper()
	for _, v := range h.violations {
		t.Fatal(v)
	}
	for _, p := range h.vms {
		peak := residentMb(t, p.cmd.Process.Pid)
		t.Logf("%s took %d MB of %d", p.Name, peak, leastMemoryMb)
		if peak > leastMemoryMb*5/6 {
			t.Errorf("%s took %d MB of %d", p.Name, peak, leastMemoryMb)
		}
	}
}

// Guards against issue 45 (LOST): servers sent bytes without end, in a header or in a body;
// the VM kept them all and was killed, and the requests of other callers ended with it.
func TestBytesWithoutEndDoNotEndAVM(t *testing.T) {
	services := []string{"held-heads", "held-bodies", "held-streams", "flood-heads", "flood-bodies", "flood-streams"}
	h := startEndless(t, services...)
	// The VM of the other zone reaches them over a hop.
	const zone = "south-a"
	held := []*atomic.Int64{
		h.endlessReplicas(t, services[0], zone, heldHeadBytes, heldResponses(platformtest.EndlessHeads)),
		h.endlessReplicas(t, services[1], zone, heldBodyBytes, heldResponses(platformtest.EndlessBodies)),
		h.endlessReplicas(t, services[2], zone, heldBodyBytes, heldResponses(platformtest.EndlessStreams)),
	}
	for i, responses := range []map[string]platformtest.Endless{platformtest.EndlessHeads, platformtest.EndlessBodies, platformtest.EndlessStreams} {
		h.endlessReplicas(t, services[3+i], zone, 1<<62, responses)
	}
	h.startSmallest(t, "north-a", zone)
	client := platformtest.NewClient()
	for _, p := range h.vms {
		if !h.waitFor(recoveryTimeout, func() bool { return h.sendOne(t.Context(), client, p, platformtest.PathUnsafe).Status == http.StatusOK }) {
			t.Fatalf("%s serves nothing", p.Name)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), heldFor)
	defer cancel()
	var all sync.WaitGroup
	for _, p := range h.vms {
		for n := range heldRequests {
			all.Go(func() { h.sendOne(t.Context(), client, p, "/"+services[n%3]+"/x") })
		}
		for n := range floodCallers {
			all.Go(func() {
				for ctx.Err() == nil {
					h.sendOne(t.Context(), client, p, "/"+services[3+n%3]+"/x")
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		for range clientsPerVM {
			all.Go(func() { h.sendSound(ctx, t, client, p) })
		}
	}
	all.Wait()
	h.checkMemory(t)
	for i, most := range held {
		t.Logf("%s: %d requests at once", services[i], most.Load())
	}
}

const (
	// withheldBodies is the number of requests at once of which the last byte is missing.
	withheldBodies = 300
	// withheldHops is the same for hops, which may be larger.
	withheldHops = 4
	// unreadResponses is the number of callers at once that don't read their responses.
	unreadResponses = 800
)

// Guards against the same where callers, or other VMs, send what they may send at once, or
// read nothing of their responses.
func TestBodiesOfManyCallersDoNotEndAVM(t *testing.T) {
	h := startEndless(t, "held-bodies", "held-streams")
	h.endlessReplicas(t, "held-bodies", "north-a", heldBodyBytes, platformtest.EndlessBodies)
	h.endlessReplicas(t, "held-streams", "north-a", heldBodyBytes, platformtest.EndlessStreams)
	h.startSmallest(t, "north-a")
	p, client := h.vms[0], platformtest.NewClient()
	if !h.waitFor(recoveryTimeout, func() bool { return h.sendOne(t.Context(), client, p, platformtest.PathUnsafe).Status == http.StatusOK }) {
		t.Fatal("nothing is served")
	}
	hop := base64.StdEncoding.EncodeToString([]byte(`{"id":"h","host":"` + platformtest.Host + `","method":"POST","target":"/book/x","path":"/book/x","remainingMs":4000,"entry":"vm-9","service":"desk","attempts":1}`))
	for _, c := range []struct {
		name          string
		address, head string
		connections   int
		bodyBytes     int
	}{
		{"bodies of requests", p.CallerAddress, "POST /book/x HTTP/1.1\r\nHost: " + platformtest.Host + "\r\nRequest-Id: ID\r\nDeadline: 4000\r\n", withheldBodies, 1 << 20},
		{"bodies of hops", p.HopAddress, "POST /peer/v1/hop HTTP/1.1\r\nHost: x\r\nChestnut-Hop: " + hop + "\r\n", withheldHops, 60 << 20},
		{"unread bodies", p.CallerAddress, "POST /held-bodies/x HTTP/1.1\r\nHost: " + platformtest.Host + "\r\nRequest-Id: ID\r\nDeadline: 4000\r\n", unreadResponses, 1},
		{"unread streams", p.CallerAddress, "POST /held-streams/x HTTP/1.1\r\nHost: " + platformtest.Host + "\r\nRequest-Id: ID\r\nDeadline: 4000\r\n", unreadResponses, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), heldFor/2)
			defer cancel()
			var all sync.WaitGroup
			for n := range c.connections {
				all.Go(func() { holdRequest(ctx, c.address, strings.Replace(c.head, "ID", fmt.Sprint("w", n), 1), c.bodyBytes) })
			}
			all.Go(func() { h.sendSound(ctx, t, client, p) })
			all.Wait()
			h.checkMemory(t)
		})
	}
}

// holdRequest sends a request, without the last byte of its body if that has more than one,
// and reads nothing until ctx ends. A VM may close the connection before.
func holdRequest(ctx context.Context, address, head string, bodyBytes int) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", head, bodyBytes); err != nil {
		return
	}
	piece := make([]byte, 64<<10)
	for left := max(1, bodyBytes-1); left > 0 && err == nil; {
		var n int
		n, err = conn.Write(piece[:min(left, len(piece))])
		left -= n
	}
	<-ctx.Done()
}
