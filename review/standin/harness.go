// Command review-standin runs the cases of the review: it starts chestnut-edge
// processes against stand-ins of the platform on loopback, and checks one rule.
package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

const (
	// leadTime is the time from the start of the VMs to the first request.
	leadTime = 10 * time.Second
	// grace is the time from SIGTERM to SIGKILL.
	grace = 8 * time.Second
	// readyTimeout bounds the wait until all VMs are ready.
	readyTimeout = 20 * time.Second
	// clientPatience is how much longer than its deadline a client waits here, so
	// that a late answer is seen.
	clientPatience = time.Second
)

// zones are the zones of the deployment, one in each region.
var zones = []string{"north-a", "west-a", "south-a"}

// vm is a VM under test and its process.
type vm struct {
	platformtest.VM
	settingsPath string
	cmd          *exec.Cmd
	exited       chan struct{} // closed when the process has exited
}

// result is a request of a client and its answer.
type result struct {
	id, path, vm string
	sentAt       time.Time
	endedAt      time.Time
	answer       platformtest.Answer
}

// run is one run of a case.
type run struct {
	*platformtest.Deployment
	dir     string
	trouble bool
	started time.Time
	vms     []*vm
	// replicas are the replicas that run as processes of their own.
	replicas []*replicaProcess
	lastID   atomic.Int64

	mu      sync.Mutex
	results []result
	notes   []string
}

// note adds a line to the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, fmt.Sprintf("%8.3f ", time.Since(r.started).Seconds())+fmt.Sprintf(format, args...))
}

// startVMs starts the given number of VMs in each zone and waits until all are ready
// and the lead time has passed.
func (r *run) startVMs(perZone int) error {
	var seeds []string
	for _, zone := range zones {
		for i := range perZone {
			v := &vm{VM: platformtest.NewVM(fmt.Sprintf("%s-%d", zone, i+1), zone)}
			if i == 0 {
				seeds = append(seeds, v.ControlAddress)
			}
			r.vms = append(r.vms, v)
		}
	}
	began := time.Now()
	for _, v := range r.vms {
		v.settingsPath = filepath.Join(r.dir, v.Name+".toml")
		settings := r.Settings(v.VM, r.StoreAddress, seeds, grace)
		// The bounds of the small deployments.
		settings = strings.NewReplacer("retrySlack = 100", "retrySlack = 52", "memoryMb = 200", "memoryMb = 284").Replace(settings)
		if err := os.WriteFile(v.settingsPath, []byte(settings), 0o600); err != nil {
			return err
		}
		if err := r.startVM(v); err != nil {
			return err
		}
	}
	for _, v := range r.vms {
		for !v.IsReady() {
			if time.Since(began) > readyTimeout {
				return fmt.Errorf("%s is not ready after %v", v.Name, readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(began.Add(leadTime)))
	return nil
}

// startVM starts the process of a VM with the command of the deploy file.
func (r *run) startVM(v *vm) error {
	logFile, err := os.OpenFile(filepath.Join(r.dir, v.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	v.cmd = exec.Command("target/chestnut-edge")
	v.cmd.Env = []string{"CHESTNUTSPRING_BOOT=" + v.settingsPath, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	v.cmd.Stdout, v.cmd.Stderr = logFile, logFile
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.exited = make(chan struct{})
	cmd, exited := v.cmd, v.exited
	go func() {
		_ = cmd.Wait() // the exit is what counts
		close(exited)
	}()
	r.note("%s started, process %d", v.Name, cmd.Process.Pid)
	return nil
}

// running reports whether the process of the VM has not exited.
func (v *vm) running() bool {
	select {
	case <-v.exited:
		return false
	default:
		return true
	}
}

// stopAll kills all processes that still run.
func (r *run) stopAll() {
	for _, p := range r.replicas {
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // it may have exited
		<-p.exited
	}
	for _, v := range r.vms {
		if v.cmd == nil || !v.running() {
			continue
		}
		_ = v.cmd.Process.Signal(syscall.SIGKILL)
		<-v.exited
	}
}

// send sends one request to a VM and records its answer.
func (r *run) send(client *platformtest.Client, v *vm, call platformtest.Call) result {
	res := result{id: call.ID, path: call.Path, vm: v.Name, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), call.Deadline+clientPatience)
	res.answer = client.Send(ctx, v.CallerAddress, call)
	cancel()
	res.endedAt = time.Now()
	r.mu.Lock()
	r.results = append(r.results, res)
	r.mu.Unlock()
	return res
}

// nextID returns the ID of a new request.
func (r *run) nextID() string { return fmt.Sprintf("q-%06d", r.lastID.Add(1)) }

// load sends requests to each VM at the given rate for the duration, each of them
// made by next, and waits for the answers.
func (r *run) load(perSecond float64, d time.Duration, next func(v *vm, rng *rand.Rand) platformtest.Call) {
	var all sync.WaitGroup
	for i, v := range r.vms {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), 7))
			client := platformtest.NewClient()
			for end := time.Now().Add(d); time.Now().Before(end); {
				time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
				call := next(v, rng)
				all.Go(func() { r.send(client, v, call) })
			}
		})
	}
	all.Wait()
}

// executions returns the executions at the replicas by request.
func (r *run) executions() map[string][]platformtest.Execution {
	out := map[string][]platformtest.Execution{}
	for _, e := range r.Executions.All() {
		out[e.ID] = append(out[e.ID], e)
	}
	return out
}

// writeRecord writes what was sent, answered and run.
func (r *run) writeRecord(path string, code int) error {
	var b strings.Builder
	fmt.Fprintf(&b, "trouble %v, exit %d\n", r.trouble, code)
	for _, n := range r.notes {
		b.WriteString(n + "\n")
	}
	executions := r.executions()
	slices.SortFunc(r.results, func(a, b result) int { return a.sentAt.Compare(b.sentAt) })
	for _, res := range r.results {
		fmt.Fprintf(&b, "%8.3f %s %s at %s: status %d, complete %v, after %.3f s", res.sentAt.Sub(r.started).Seconds(), res.id, res.path, res.vm,
			res.answer.Status, res.answer.Complete, res.endedAt.Sub(res.sentAt).Seconds())
		if res.answer.Err != nil {
			fmt.Fprintf(&b, ", error %v", res.answer.Err)
		}
		for _, e := range executions[res.id] {
			fmt.Fprintf(&b, "; run by %s at %.3f", e.Replica, e.StartedAt.Sub(r.started).Seconds())
		}
		b.WriteString("\n")
	}
	if data, err := os.ReadFile(filepath.Join(r.dir, "executions")); err == nil {
		b.WriteString("executions at the replica processes, times in Unix milliseconds:\n")
		b.Write(data)
	}
	return os.WriteFile(path, []byte(b.String()), 0o600)
}

// cases holds the cases by number. Each returns whether the rule was broken.
var cases = map[string]func(r *run) (broken bool, err error){}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) == 3 && os.Args[1] == "replica" {
		return serveReplica(os.Args[2])
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		return exitFailed
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	d, err := platformtest.NewDeployment()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer d.Close()
	r := &run{Deployment: d, dir: dir, trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	broken, err := func() (bool, error) {
		defer r.stopAll()
		return cases[os.Args[1]](r)
	}()
	code := exitHeld
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		code = exitFailed
	case broken:
		code = exitBroken
	}
	if err := errors.Join(err, r.writeRecord(os.Args[2], code)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for _, n := range r.notes[max(0, len(r.notes)-4):] {
		fmt.Println(n)
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("files in", dir)
	}
	return code
}
