package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

const (
	engineService = "wind-writer"
	plainService  = "spot-desk"

	// edgeProgram is the program of the deploy file, relative to the project's root.
	edgeProgram = "target/chestnut-edge"
	// readyTimeout bounds the start of a process, and settleTime is for how long the VMs learn of
	// one another before traffic starts: 10 s after the machines in the deployment.
	readyTimeout = 20 * time.Second
	settleTime   = 10 * time.Second
	// silence is the time of three of the intervals at which servers write their entries, after
	// which the registry removes that of a server that has crashed.
	silence = 3600 * time.Millisecond
	// restartTime is the time after which a server that crashed is back, under another ID.
	restartTime = 2 * time.Second
	// coldTime is for how long an engine is cold that starts during traffic.
	coldTime = 3 * time.Second
)

// zones are those of the deployment, with the numbers of their VMs and engines.
var zones = []struct {
	name, region string
	vms, engines int
}{{"jeju-a", "jeju", 3, 6}, {"busan-a", "busan", 2, 4}, {"saemangeum-a", "saemangeum", 1, 2}}

// vm is a VM of the system and its process.
type vm struct {
	Name, Zone, Region, IP string
	process                *exec.Cmd
}

// callers returns the address to which callers connect.
func (v *vm) callers() string { return v.IP + ":8149" }

func (v *vm) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.IP + ":8141" + wire.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// backend is a running server.
type backend struct {
	serverSpec
	process *exec.Cmd
	ended   chan struct{}
}

// fleet is the deployment of one test.
type fleet struct {
	dir      string
	registry *platformtest.Store
	address  string
	vms      []*vm
	// configure changes the specification of a server before it starts.
	configure func(*serverSpec)
	// restarts means that servers that end are started again.
	restarts bool
	// settled is set once the VMs have learned of one another.
	settled bool

	mu       sync.Mutex
	record   *os.File
	started  time.Time
	backends map[string]*backend // by ID
	count    int
	crashes  []time.Time
	stopping bool
}

// newFleet returns a fleet that writes its record to the file.
func newFleet(recordPath string) (*fleet, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	return &fleet{dir: dir, record: record, registry: platformtest.NewStore(), started: time.Now(), configure: func(*serverSpec) {}, backends: map[string]*backend{}}, nil
}

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%9.3f s  %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
}

// newIP returns a loopback address that no other process of the test uses.
func (f *fleet) newIP() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 120+pid%100, pid/100%250, f.count)
}

// start starts the registry, the servers and the VMs, and waits until they have settled.
func (f *fleet) start() error {
	l, err := net.Listen("tcp", net.JoinHostPort(f.newIP(), "8142"))
	if err != nil {
		return err
	}
	f.address = l.Addr().String()
	go func() { _ = (&http.Server{Handler: f.registry}).Serve(l) }()
	f.registry.Put(wire.ConfigKey, configData)
	for _, z := range zones {
		for n := range z.engines {
			if _, err := f.startServer(fmt.Sprintf("%s-engine-%d", z.region, n+1), engineService, z.name, ""); err != nil {
				return err
			}
		}
		if _, err := f.startServer(z.region+"-desk-1", plainService, z.name, ""); err != nil {
			return err
		}
	}
	var seeds []string
	for _, z := range zones {
		for n := range z.vms {
			v := &vm{Name: fmt.Sprintf("edge-%s-%d", z.name, n+1), Zone: z.name, Region: z.region, IP: f.newIP()}
			if n == 0 {
				seeds = append(seeds, v.IP+":8144")
			}
			f.vms = append(f.vms, v)
		}
	}
	for _, v := range f.vms {
		if err := f.startVM(v, seeds); err != nil {
			return err
		}
	}
	for _, v := range f.vms {
		for end := time.Now().Add(readyTimeout); !v.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", v.Name, readyTimeout)
			}
		}
	}
	time.Sleep(settleTime)
	f.settled = true
	f.note("all VMs are ready")
	return nil
}

func (f *fleet) startVM(v *vm, seeds []string) error {
	path := filepath.Join(f.dir, v.Name+".toml")
	if err := os.WriteFile(path, []byte(settings(v, f.address, seeds)), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(f.dir, v.Name+".log"))
	if err != nil {
		return err
	}
	v.process = exec.Command(edgeProgram)
	v.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, wire.BootVariable + "=" + path}
	v.process.Stdout, v.process.Stderr = log, log
	return v.process.Start()
}

// startServer starts a server, at an address of its own if none is given, and writes its entry.
func (f *fleet) startServer(id, service, zone, address string) (*backend, error) {
	if address == "" {
		address = net.JoinHostPort(f.newIP(), "8080")
	}
	b := &backend{serverSpec: serverSpec{ID: id, Service: service, Zone: zone, Address: address, Slots: 64, Born: time.Now().UnixMilli(), Events: 20, IntervalMs: 100}, ended: make(chan struct{})}
	if service == plainService {
		b.Slots = 6
	}
	if f.settled && service == engineService {
		b.ColdMs = coldTime.Milliseconds()
	}
	f.configure(&b.serverSpec)
	specification, err := json.Marshal(b.serverSpec)
	if err != nil {
		return nil, err
	}
	b.process = exec.Command(os.Args[0], "server", string(specification))
	out, err := b.process.StdoutPipe()
	if err != nil {
		return nil, err
	}
	b.process.Stderr = os.Stderr
	if err := b.process.Start(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.backends[id] = b
	if f.stopping {
		_ = b.process.Process.Signal(syscall.SIGKILL)
	}
	f.mu.Unlock()
	ready := make(chan struct{})
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			if lines.Text() == "ready" {
				close(ready)
				continue
			}
			f.note("%s: %s", id, lines.Text())
		}
		_ = b.process.Wait()
		f.serverEnded(b)
		close(b.ended)
	}()
	select {
	case <-ready:
	case <-b.ended:
		return nil, fmt.Errorf("server %s ended at its start", id)
	case <-time.After(readyTimeout):
		return nil, fmt.Errorf("server %s is not ready", id)
	}
	f.registry.Put(wire.ServerPrefix+id, fill(wire.Entry, b.serverSpec))
	f.note("server %s starts", id)
	return b, nil
}

// serverEnded removes the entry of a server that has crashed once it has been silent, and starts
// the server again if the test wants it.
func (f *fleet) serverEnded(b *backend) {
	f.mu.Lock()
	stopping := f.stopping
	f.crashes = append(f.crashes, time.Now())
	n := len(f.crashes)
	f.mu.Unlock()
	if stopping {
		return
	}
	f.note("server %s crashed", b.ID)
	time.AfterFunc(silence, func() { f.registry.Remove(wire.ServerPrefix + b.ID) })
	if f.restarts {
		time.AfterFunc(restartTime, func() {
			f.mu.Lock()
			stopping := f.stopping
			f.mu.Unlock()
			if !stopping {
				if _, err := f.startServer(fmt.Sprintf("%s~%d", strings.Split(b.ID, "~")[0], n), b.Service, b.Zone, b.Address); err != nil {
					f.note("server %s does not start again: %v", b.ID, err)
				}
			}
		})
	}
}

// crashTimes returns when servers crashed.
func (f *fleet) crashTimes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.crashes...)
}

// kill ends the process of a server at once.
func (f *fleet) kill(id string) {
	f.mu.Lock()
	b := f.backends[id]
	f.mu.Unlock()
	f.note("server %s is killed", id)
	_ = b.process.Process.Signal(syscall.SIGKILL)
}

// stop ends all processes and closes the record.
func (f *fleet) stop() {
	f.mu.Lock()
	f.stopping = true
	var all []*backend
	for _, b := range f.backends {
		all = append(all, b)
	}
	f.mu.Unlock()
	for _, v := range f.vms {
		if v.process != nil && v.process.Process != nil {
			_ = v.process.Process.Signal(syscall.SIGKILL)
			_ = v.process.Wait()
		}
	}
	for _, b := range all {
		_ = b.process.Process.Signal(syscall.SIGKILL)
		<-b.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
	_ = f.record.Close()
}
