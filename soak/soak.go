package soak

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

// Config describes one run of the soak.
type Config struct {
	Seed uint64
	// Binary is the path of the program under test. Dir is the directory for
	// settings and logs.
	Binary, Dir string
	// VMs and Engines are the number of VMs and of engine replicas in each
	// region.
	VMs, Engines int
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// MeanFaultInterval is the mean time between two faults.
	MeanFaultInterval time.Duration
	// CountRuns adds servers in processes of their own, links between the VMs that may be
	// disturbed, registries that differ, a route that changes its kind and faults of all of
	// these, and checks that streams run at one server at a time. Without a Binary the test
	// program runs the VMs; a Binary opens the connections between them directly.
	CountRuns bool
	// Teams adds teams with keys that are removed and added, home regions and limits, and
	// checks what servers get for them.
	Teams bool
	// Bodies adds crowds of clients that hold bodies, and checks the memory of the VMs.
	Bodies bool
}

const (
	// grace is the time that a process has to shut down after SIGTERM.
	grace = 3 * time.Second
	// graceSlack is the tolerated delay of the shutdown on a busy machine.
	graceSlack = 1500 * time.Millisecond
	// recoveryTimeout bounds the time until a VM serves after its start or
	// after the last fault.
	recoveryTimeout = 15 * time.Second
	// clientsPerVM is the number of clients with open connections at each VM.
	clientsPerVM = 3
	// registryFaultShare is the number of faults of the registry or of replicas'
	// announcements for each other fault.
	registryFaultShare = 0.4
	// meanThinkTime is the mean pause of a client between two requests.
	meanThinkTime = 40 * time.Millisecond
)

// zones are the zones of the deployment, one in each region.
var zones = []string{"north-a", "west-a", "south-a"}

// process is a VM and its operating system process.
type process struct {
	platformtest.VM
	storeProxy   *Proxy // to the registry
	settingsPath string
	logFile      *os.File
	// binary is the path of the program that the VM runs, or "" for the harness's.
	binary string
	// links are the links to the other VMs, and routes their addresses; nil if the VM
	// connects to the others directly.
	links  []*peerLink
	routes map[string]string

	restartMu sync.Mutex // held during a restart

	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{} // closed when the process has exited
	exitExpected bool          // a fault has ended the process
	lastSignal   time.Time     // or the start of the process, if later
	signals      []time.Time   // signals and starts
	stops        []time.Time   // signals that end or stop the process at once
	pauses       []period      // between the signals that stop and continue the process
}

// request is one request of a client and its result.
type request struct {
	id, path, vm    string
	sentAt, endedAt time.Time
	answer          platformtest.Answer
	// deadly means that replicas crash on the request.
	deadly bool
	// after is the number of events after which the request takes a stream up.
	after int
	// key is the key that the request bears, if there are teams.
	key string
	// repeatedAt is when the client sent the request again under its ID, or zero.
	repeatedAt time.Time
}

// Harness is one run: the deployment, its processes and the observed results.
type Harness struct {
	Config
	*platformtest.Deployment
	rng, registryRNG, statementRNG, versionRNG, continuationRNG, runRNG, copyRNG, bodyRNG *rand.Rand

	vms      []*process
	servers  []*serverProcess
	seeds    []string
	followed followedStreams
	changing changingRoute
	copies   copies
	teams    teams

	mu         sync.Mutex
	replicas   map[string]*replica // by ID
	requests   []request
	violations []string
	faultLog   []string
	started    time.Time
	lastID     atomic.Int64 // shared by replicas and requests
	// deadly means that some requests have the prompt block on which replicas crash.
	deadly atomic.Bool
	// deadlyRequest is the request on which replicas crash, or nil.
	deadlyRequest atomic.Pointer[platformtest.Call]
	// unplannedUntil is the end of the latest unplanned fault; drains,
	// evacuations, new configurations and shutdowns are planned.
	unplannedUntil time.Time
	drainedAt      map[string]time.Time // by replica ID
	limits         []namedLimit
	// heldUp holds, by ID, when replicas were out of reach, and standstills when they stood
	// still.
	heldUp, standstills map[string][]period
}

type replica struct {
	*platformtest.Replica
	id    string
	proxy *Proxy
	// limit is the request limit that the replica names, or "".
	limit string
	// heldUp are the faults of the connections to the replica.
	heldUp []period
}

// period is a span of time.
type period struct{ from, to time.Time }

// Run executes one soak run and returns the violated guarantees and the log of
// injected faults.
func Run(config Config) (violations, faultLog []string, err error) {
	d, err := platformtest.NewDeployment()
	if err != nil {
		return nil, nil, err
	}
	defer d.Close()
	h := &Harness{
		Config: config, Deployment: d, rng: rand.New(rand.NewPCG(config.Seed, 1)),
		registryRNG: rand.New(rand.NewPCG(config.Seed, 3)), statementRNG: rand.New(rand.NewPCG(config.Seed, 4)),
		versionRNG: rand.New(rand.NewPCG(config.Seed, 6)), continuationRNG: rand.New(rand.NewPCG(config.Seed, 8)),
		runRNG: rand.New(rand.NewPCG(config.Seed, 9)), copyRNG: rand.New(rand.NewPCG(config.Seed, 10)), bodyRNG: rand.New(rand.NewPCG(config.Seed, 12)),
		replicas: map[string]*replica{}, drainedAt: map[string]time.Time{}, heldUp: map[string][]period{}, standstills: map[string][]period{}, started: time.Now(),
	}
	h.teams.removedAt = map[string]time.Time{}
	defer h.stopAll()
	if h.CountRuns || h.Teams {
		h.configure()
	}
	d.SetDeadlyBlock(deadlyBlock)
	d.SetOnCrash(h.replaceCrashed)
	h.chooseCopies()
	if err := h.startAll(); err != nil {
		return nil, nil, err
	}
	if !h.CountRuns && !h.Teams && !h.Bodies {
		// These make replicas refuse or crash so often that few requests run.
		h.nameLimits()
		h.continueOddly()
		h.chooseDeadlyRequest()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	if h.Bodies {
		clients.Go(func() { h.watchMemory(ctx) })
	}
	for _, p := range h.vms {
		for n := range clientsPerVM {
			seed := h.rng.Uint64()
			if n < h.clientsAt() {
				clients.Go(func() {
					h.runClient(ctx, p, rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 5)), rand.New(rand.NewPCG(seed, 11)))
				})
			}
		}
		if h.Teams {
			continue
		}
		seed := h.versionRNG.Uint64()
		clients.Go(func() { h.followStreams(ctx, p, rand.New(rand.NewPCG(seed, 7))) })
	}
	for end := time.Now().Add(config.FaultDuration); time.Now().Before(end); {
		time.Sleep(time.Duration((0.3 + 1.4*h.rng.Float64()) * float64(h.MeanFaultInterval)))
		h.injectFault()
		if h.Bodies {
			h.holdBodies()
			continue
		}
		if h.Teams {
			h.injectTeamFault()
			continue
		}
		if h.CountRuns {
			h.injectRunFault()
			continue
		}
		if h.registryRNG.Float64() < registryFaultShare {
			h.injectRegistryFault()
		}
		if h.versionRNG.Float64() < versionFaultShare {
			h.injectVersionFault()
		}
	}
	h.clearFaults()
	h.checkRecovery()
	if !h.Teams {
		h.checkSoundTakeUps()
	}
	cancel()
	clients.Wait()
	h.check()
	return h.violations, h.faultLog, nil
}

// startAll starts replicas and VMs and waits until all VMs are ready.
func (h *Harness) startAll() error {
	for _, zone := range zones {
		for range h.enginesIn(zone) {
			if err := h.startReplica(platformtest.EngineService, zone, ""); err != nil {
				return err
			}
		}
		if err := h.startReplica(platformtest.PlainService, zone, ""); err != nil {
			return err
		}
	}
	for _, zone := range zones {
		for i := range h.vmsIn(zone) {
			p := &process{VM: platformtest.NewVM(fmt.Sprintf("%s-%d", zone, i+1), zone)}
			if i == 0 {
				h.seeds = append(h.seeds, p.ControlAddress)
			}
			h.vms = append(h.vms, p)
		}
	}
	if h.CountRuns {
		if err := h.startServers(); err != nil {
			return err
		}
	}
	if h.Binary == "" {
		if err := h.newPeerLinks(); err != nil {
			return err
		}
	}
	return h.startVMs()
}

// startVMs starts all VMs for the first time and waits until they are ready.
func (h *Harness) startVMs() error {
	for _, p := range h.vms {
		var err error
		if p.storeProxy, err = NewProxy(h.StoreAddress); err != nil {
			return err
		}
		p.settingsPath = filepath.Join(h.Dir, p.Name+".toml")
		if err := h.writeSettings(p, true); err != nil {
			return err
		}
		if p.logFile, err = os.Create(filepath.Join(h.Dir, p.Name+".log")); err != nil {
			return err
		}
		if err := h.start(p); err != nil {
			return err
		}
	}
	for _, p := range h.vms {
		if !h.waitFor(recoveryTimeout, p.IsReady) {
			return fmt.Errorf("%s is not ready after %v", p.Name, recoveryTimeout)
		}
		if err := h.writeSettings(p, false); err != nil {
			return err
		}
	}
	return nil
}

// startReplica starts a replica that names the request limit, or none if it is "".
func (h *Harness) startReplica(service, zone, limit string) error {
	id := fmt.Sprintf("i-%d", h.lastID.Add(1))
	r, err := h.StartBehindProxy(id, service, zone, func(address string) (string, error) {
		proxy, err := NewProxy(address)
		if err != nil {
			return "", err
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.replicas[id] = &replica{id: id, proxy: proxy}
		return proxy.Address, nil
	})
	if err != nil {
		return err
	}
	h.mu.Lock()
	started := h.replicas[id]
	started.Replica = r
	h.mu.Unlock()
	r.SetCopying(h.newCopying())
	if h.CountRuns {
		r.SetEventInterval(longEventInterval)
	}
	if limit != "" {
		h.nameLimit(started, limit)
	}
	return nil
}

// start starts a VM's process. An exit that no fault has caused is a violation.
func (h *Harness) start(p *process) error {
	cmd := exec.Command(cmp.Or(p.binary, h.Binary))
	cmd.Env = append(os.Environ(), "CHESTNUTSPRING_BOOT="+p.settingsPath)
	if p.routes != nil {
		if err := p.runTestProgram(cmd); err != nil {
			return err
		}
	}
	cmd.Stdout, cmd.Stderr = p.logFile, p.logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.exitExpected = cmd, exited, false
	p.recordSignal()
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if !p.exitExpected {
			h.recordViolation("%s exited unexpectedly: %v", p.Name, err)
		}
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to a VM's process and returns the channel that is
// closed when the process has exited. If exits is true, the process is
// expected to exit.
func (p *process) signal(s syscall.Signal, exits bool) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordSignal()
	if s == syscall.SIGKILL || s == syscall.SIGSTOP {
		p.stops = append(p.stops, p.lastSignal)
	}
	if exits {
		p.exitExpected = true
	}
	// The error is ignored: the process may already have exited.
	_ = p.cmd.Process.Signal(s)
	return p.exited
}

// recordSignal records a signal or the start of the process. The caller holds the lock.
func (p *process) recordSignal() {
	p.lastSignal = time.Now()
	p.signals = append(p.signals, p.lastSignal)
}

func (h *Harness) stopAll() {
	for _, p := range h.vms {
		if p.cmd == nil {
			continue
		}
		exited := p.signal(syscall.SIGKILL, true)
		<-exited
		_ = p.logFile.Close()
		p.storeProxy.Close()
	}
	for _, r := range h.replicas {
		r.proxy.Close()
	}
	h.stopServers()
}

// waitFor polls a condition. It returns false if the condition does not hold
// within d.
func (h *Harness) waitFor(d time.Duration, condition func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func (h *Harness) recordViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf("%.3f s: ", time.Since(h.started).Seconds())+fmt.Sprintf(format, args...))
}

func (h *Harness) logFault(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faultLog = append(h.faultLog, fmt.Sprintf("%.3f s: ", time.Since(h.started).Seconds())+fmt.Sprintf(format, args...))
}

var requestPaths = []string{
	platformtest.PathUnsafe, platformtest.PathSafe, platformtest.PathResumableStream, platformtest.PathNonResumableStream, platformtest.PathHomeRegions,
}

// runClient sends requests to one VM over persistent connections until ctx
// ends. It cancels some of the requests early. Requests on which replicas crash, and what
// runs with copies of refusals add, are drawn from sources of their own.
func (h *Harness) runClient(ctx context.Context, p *process, rng, deadlyRNG, repeatRNG *rand.Rand) {
	client := platformtest.NewClient()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(meanThinkTime)))
		r := request{id: fmt.Sprintf("q-%d", h.lastID.Add(1)), path: requestPaths[rng.IntN(len(requestPaths))], vm: p.Name, sentAt: time.Now()}
		if h.CountRuns && rng.IntN(len(requestPaths)+1) == 0 {
			r.path = platformtest.PathChanging
		}
		r.path = h.pathOf(r.path, repeatRNG)
		requestCtx, cancel := context.WithTimeout(context.Background(), platformtest.DefaultTimeout+2*time.Second)
		if rng.Float64() < 0.05 {
			time.AfterFunc(time.Duration(rng.IntN(100))*time.Millisecond, cancel)
		}
		var header http.Header
		if h.Teams {
			r.key = h.teams.draw(rng)
			header = headerOf(r.key)
		}
		if h.deadly.Load() && rng.Float64() < deadlyShare && strings.Contains(r.path, "/stream/") {
			header = platformtest.Prompt(r.id, "aa:200,"+deadlyBlock+":40")
		}
		send := func() platformtest.Answer {
			return client.Do(requestCtx, p.CallerAddress, r.path+"x", r.id, platformtest.DefaultTimeout, header)
		}
		if call := h.deadlyCall(r.id, deadlyRNG); call != nil {
			r.path, r.deadly = strings.TrimSuffix(call.Path, "x"), true
			send = func() platformtest.Answer { return client.Send(requestCtx, p.CallerAddress, *call) }
		}
		h.sendRepeatedly(ctx, r, repeatRNG, send)
		cancel()
	}
}

// checkRecovery checks that every VM serves again after the faults.
func (h *Harness) checkRecovery() {
	client := platformtest.NewClient()
	for _, p := range h.vms {
		served := h.waitFor(recoveryTimeout, func() bool {
			id := fmt.Sprintf("q-%d", h.lastID.Add(1))
			r := request{id: id, path: platformtest.PathSafe + "x", vm: p.Name, sentAt: time.Now()}
			var header http.Header
			if h.Teams {
				r.key = steadyTeam + "-key"
				header = headerOf(r.key)
			}
			r.answer = client.Do(context.Background(), p.CallerAddress, r.path, id, 2*time.Second, header)
			r.endedAt = time.Now()
			h.mu.Lock()
			h.requests = append(h.requests, r)
			h.mu.Unlock()
			return r.answer.Status == http.StatusOK
		})
		if !served {
			h.recordViolation("%s does not serve %v after the last fault: %s", p.Name, recoveryTimeout, lastLogLines(p))
		}
	}
}

func lastLogLines(p *process) string {
	data, err := os.ReadFile(p.logFile.Name())
	if err != nil {
		return err.Error()
	}
	lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-3):], []byte(" | ")))
}
