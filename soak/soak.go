package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

// Config is one run of the soak.
type Config struct {
	Seed uint64
	// Binary is the program under test, and Dir takes its settings and logs.
	Binary, Dir string
	// VMs and Engines are the numbers in each region.
	VMs, Engines int
	// FaultDuration is how long faults go on.
	FaultDuration time.Duration
	// MeanFaultInterval is the mean time between two faults.
	MeanFaultInterval time.Duration
}

const (
	// grace is the time that a process has after SIGTERM.
	grace = 3 * time.Second
	// graceSlack is how much later it may end on a busy machine.
	graceSlack = 1500 * time.Millisecond
	// settle is the time after the last fault in which service must be back.
	settle = 15 * time.Second
	// clientsPerVM is the number of clients with open connections at each VM.
	clientsPerVM = 3
	// think is the mean pause of a client between two requests.
	think = 40 * time.Millisecond
)

// process is a VM of the system.
type process struct {
	platformtest.VM
	store *Proxy
	path  string
	log   *os.File

	starting sync.Mutex // held while the process is started again

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	ordered bool // its end was ordered
	touched time.Time
}

// request is one request of a client and what became of it.
type request struct {
	id, path, vm string
	sent, ended  time.Time
	answer       platformtest.Answer
}

// Harness is one run: the deployment, the processes and what was seen.
type Harness struct {
	Config
	*platformtest.Deployment
	rng *rand.Rand
	vms []*process

	mu       sync.Mutex
	replicas map[string]*replica
	requests []request
	faults   []string // breaches of promises
	story    []string
	started  time.Time
	next     atomic.Int64
	// unplanned is when the last fault happened that is no planned work.
	unplanned time.Time
	drained   map[string]time.Time
}

type replica struct {
	*platformtest.Replica
	proxy *Proxy
}

// Run plays one run and returns the breaches of promises and the story of the
// faults.
func Run(config Config) (breaches, story []string, err error) {
	d, err := platformtest.NewDeployment()
	if err != nil {
		return nil, nil, err
	}
	defer d.Close()
	w := &Harness{
		Config: config, Deployment: d, rng: rand.New(rand.NewPCG(config.Seed, 1)),
		replicas: map[string]*replica{}, drained: map[string]time.Time{}, started: time.Now(),
	}
	defer w.stopAll()
	if err := w.build(); err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for _, p := range w.vms {
		for range clientsPerVM {
			seed := w.rng.Uint64()
			clients.Go(func() { w.client(ctx, p, rand.New(rand.NewPCG(seed, 2))) })
		}
	}
	for end := time.Now().Add(config.FaultDuration); time.Now().Before(end); {
		time.Sleep(time.Duration((0.3 + 1.4*w.rng.Float64()) * float64(config.MeanFaultInterval)))
		w.inject()
	}
	w.heal()
	w.mustServe()
	cancel()
	clients.Wait()
	w.check()
	return w.faults, w.story, nil
}

// build starts replicas and VMs and waits until all VMs are ready.
func (w *Harness) build() error {
	for _, zone := range []string{"north-a", "west-a", "south-a"} {
		for range w.Engines {
			if err := w.startReplica(platformtest.EngineService, zone); err != nil {
				return err
			}
		}
		if err := w.startReplica(platformtest.PlainService, zone); err != nil {
			return err
		}
	}
	var seeds []string
	for _, zone := range []string{"north-a", "west-a", "south-a"} {
		for i := range w.VMs {
			p := &process{VM: platformtest.NewVM(fmt.Sprintf("%s-%d", zone, i+1), zone)}
			if i == 0 {
				seeds = append(seeds, p.Control)
			}
			w.vms = append(w.vms, p)
		}
	}
	for _, p := range w.vms {
		var err error
		if p.store, err = NewProxy(w.StoreAddress); err != nil {
			return err
		}
		p.path = filepath.Join(w.Dir, p.Name+".toml")
		if err := os.WriteFile(p.path, []byte(w.Settings(p.VM, p.store.Address, seeds, grace)), 0o600); err != nil {
			return err
		}
		if p.log, err = os.Create(filepath.Join(w.Dir, p.Name+".log")); err != nil {
			return err
		}
		if err := w.start(p); err != nil {
			return err
		}
	}
	for _, p := range w.vms {
		if !w.within(settle, p.Takes) {
			return fmt.Errorf("%s is not ready after %v", p.Name, settle)
		}
	}
	return nil
}

func (w *Harness) startReplica(service, zone string) error {
	id := fmt.Sprintf("i-%d", w.next.Add(1))
	r, err := w.StartBehind(id, service, zone, func(address string) (string, error) {
		proxy, err := NewProxy(address)
		if err != nil {
			return "", err
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.replicas[id] = &replica{proxy: proxy}
		return proxy.Address, nil
	})
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replicas[id].Replica = r
	return nil
}

// start starts a VM's process.
func (w *Harness) start(p *process) error {
	cmd := exec.Command(w.Binary)
	cmd.Env = append(os.Environ(), "CHESTNUTSPRING_BOOT="+p.path)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done, p.ordered, p.touched = cmd, done, false, time.Now()
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if !p.ordered {
			w.breach("%s ended by itself: %v", p.Name, err)
		}
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// signal sends a signal to a VM's process.
func (p *process) signal(s syscall.Signal, ends bool) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.touched = time.Now()
	if ends {
		p.ordered = true
	}
	// A process that has ended needs no signal.
	_ = p.cmd.Process.Signal(s)
	return p.done
}

func (w *Harness) stopAll() {
	for _, p := range w.vms {
		if p.cmd == nil {
			continue
		}
		done := p.signal(syscall.SIGKILL, true)
		<-done
		_ = p.log.Close()
		p.store.Close()
	}
	for _, r := range w.replicas {
		r.proxy.Close()
	}
}

func (w *Harness) within(d time.Duration, done func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}

func (w *Harness) breach(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf("%.3f s: ", time.Since(w.started).Seconds())+fmt.Sprintf(format, args...))
}

func (w *Harness) tell(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.story = append(w.story, fmt.Sprintf("%.3f s: ", time.Since(w.started).Seconds())+fmt.Sprintf(format, args...))
}

var paths = []string{
	platformtest.PathUnsafe, platformtest.PathSafe, platformtest.PathStream, platformtest.PathOnceStream, platformtest.PathBound,
}

// client sends requests to one VM over open connections until ctx ends. Some
// of them leave early.
func (w *Harness) client(ctx context.Context, p *process, rng *rand.Rand) {
	client := platformtest.NewClient()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(think)))
		r := request{id: fmt.Sprintf("q-%d", w.next.Add(1)), path: paths[rng.IntN(len(paths))], vm: p.Name, sent: time.Now()}
		one, cancel := context.WithTimeout(context.Background(), platformtest.DefaultTimeout+2*time.Second)
		if rng.Float64() < 0.05 {
			time.AfterFunc(time.Duration(rng.IntN(100))*time.Millisecond, cancel)
		}
		r.answer = client.Do(one, p.Front, r.path+"x", r.id, platformtest.DefaultTimeout, nil)
		cancel()
		r.ended = time.Now()
		w.mu.Lock()
		w.requests = append(w.requests, r)
		w.mu.Unlock()
	}
}

// mustServe checks that every VM serves again after the faults.
func (w *Harness) mustServe() {
	client := platformtest.NewClient()
	for _, p := range w.vms {
		served := w.within(settle, func() bool {
			id := fmt.Sprintf("q-%d", w.next.Add(1))
			a := client.Do(context.Background(), p.Front, platformtest.PathSafe+"x", id, 2*time.Second, nil)
			return a.Status == http.StatusOK
		})
		if !served {
			w.breach("%s does not serve %v after the last fault: %s", p.Name, settle, lastLines(p))
		}
	}
}

func lastLines(p *process) string {
	data, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-3):], []byte(" | ")))
}
