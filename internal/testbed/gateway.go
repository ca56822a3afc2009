package testbed

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/standin"
	"github.com/chestnutspring/chestnutspring/internal/standin/directory"
)

// maxLogLines is the number of lines of a gateway's log kept in memory.
const maxLogLines = 400

// pollInterval is the time between two checks for readiness.
const pollInterval = 10 * time.Millisecond

// addresses are the IP:port addresses that a gateway listens on.
type addresses struct{ caller, forward, control, operator string }

// Gateway is an entry VM with its gateway process.
type Gateway struct {
	Name          string
	Region        string
	FailureDomain string

	bed       *Bed
	mu        sync.Mutex
	addresses addresses
	cmd       *exec.Cmd
	exited    chan struct{} // closed when the process has exited
	exitErr   error
	logLines  []string
}

// createGateways creates the entry VMs of each region without starting them.
func (b *Bed) createGateways(set *objects.Set) error {
	for region := range set.Regions {
		domains := domainsOf(set, region)
		if len(domains) == 0 {
			return ErrStart.New("region %s has no failure domain", region)
		}
		for i := range b.config.GatewaysPerRegion {
			g := &Gateway{
				Name:          fmt.Sprintf("%s-entry-%d", region, i+1),
				Region:        region,
				FailureDomain: domains[i%len(domains)],
				bed:           b,
				addresses:     addresses{loopback, loopback, loopback, loopback},
			}
			b.Gateways[g.Name] = g
		}
	}
	return nil
}

func domainsOf(set *objects.Set, region string) []string {
	var found []string
	for _, name := range slices.Sorted(maps.Keys(set.FailureDomains)) {
		if set.RegionOf(name) == region {
			found = append(found, name)
		}
	}
	return found
}

func (b *Bed) startGateways(ctx context.Context) error {
	all, starting := errgroup.WithContext(ctx)
	for _, g := range b.Gateways {
		all.Go(func() error { return g.start(starting) })
	}
	if err := all.Wait(); err != nil {
		return err
	}
	b.directory = directory.New(b.directoryEntries())
	s, err := standin.Serve(loopback, b.directory.Handler())
	if err != nil {
		return err
	}
	b.otherServers = append(b.otherServers, s)
	b.DirectoryURL = s.URL()
	if err := b.publishVMs(); err != nil {
		return err
	}
	return b.WaitReady(ctx)
}

// WaitReady waits until each gateway is ready.
func (b *Bed) WaitReady(ctx context.Context) error {
	for _, g := range b.Gateways {
		if err := g.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (g *Gateway) vm() published.VM {
	return published.VM{
		Name: g.Name, Region: g.Region, FailureDomain: g.FailureDomain,
		Role: published.RoleEntry, CallerAddress: g.CallerAddress(),
	}
}

// CallerAddress returns the IP:port for callers.
func (g *Gateway) CallerAddress() string { return g.currentAddresses().caller }

// OperatorURL returns the base URL for operators.
func (g *Gateway) OperatorURL() string { return "http://" + g.currentAddresses().operator }

func (g *Gateway) currentAddresses() addresses {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.addresses
}

// args returns the command-line flags of the process.
func (g *Gateway) args() []string {
	a := g.currentAddresses()
	var peers []string
	for name := range g.bed.Gateways {
		if address := g.bed.addressFrom(g.Region, name, controlPort); name != g.Name && address != "" {
			peers = append(peers, address)
		}
	}
	slices.Sort(peers)
	args := []string{
		"--vm=" + g.Name, "--region=" + g.Region, "--failure-domain=" + g.FailureDomain,
		"--caller-listen=" + a.caller, "--forward-listen=" + a.forward,
		"--control-listen=" + a.control, "--operator-listen=" + a.operator,
		"--platform=" + g.bed.platformURLs[g.Region],
		"--peers=" + strings.Join(peers, ","),
	}
	return append(args, g.bed.config.GatewayArgs...)
}

// start starts the process and waits until it listens.
func (g *Gateway) start(ctx context.Context) error {
	cmd := exec.Command(g.bed.config.GatewayBinary, g.args()...)
	// The kernel kills the gateway if this process dies, so that no gateway
	// outlives a killed test.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return ErrGateway.Wrap(err, "%s", g.Name)
	}
	if err := cmd.Start(); err != nil {
		return ErrGateway.Wrap(err, "%s", g.Name)
	}
	listening := make(chan addresses, 1)
	exited := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.exited = cmd, exited
	g.mu.Unlock()
	go g.readLog(cmd, stderr, listening, exited)
	select {
	case a := <-listening:
		g.mu.Lock()
		g.addresses = a
		g.mu.Unlock()
		g.bed.setPortTargets(g)
		return nil
	case <-exited:
		return ErrGateway.New("%s exited at its start:\n%s", g.Name, strings.Join(g.Log(), "\n"))
	case <-ctx.Done():
		return ErrGateway.Wrap(ctx.Err(), "%s is not listening:\n%s", g.Name, strings.Join(g.Log(), "\n"))
	}
}

// readLog reads the process's log until it exits and publishes the addresses
// that it listens on.
func (g *Gateway) readLog(cmd *exec.Cmd, stderr io.Reader, listening chan<- addresses, exited chan<- struct{}) {
	file := g.openLog()
	scanner := bufio.NewScanner(stderr)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		line := scanner.Text()
		g.appendLogLine(line)
		if file != nil {
			_, _ = fmt.Fprintln(file, line)
		}
		if a, ok := parseListening(line); ok {
			listening <- a
		}
	}
	_, _ = io.Copy(io.Discard, stderr)
	err := cmd.Wait()
	g.mu.Lock()
	g.exitErr = err
	g.mu.Unlock()
	if file != nil {
		_ = file.Close()
	}
	close(exited)
}

func (g *Gateway) openLog() *os.File {
	if g.bed.config.LogDir == "" {
		return nil
	}
	name := filepath.Join(g.bed.config.LogDir, g.Name+".log")
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil
	}
	return file
}

func (g *Gateway) appendLogLine(line string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.logLines = append(g.logLines, line)
	if len(g.logLines) > maxLogLines {
		g.logLines = g.logLines[len(g.logLines)-maxLogLines:]
	}
}

// Log returns the last lines of the process's log.
func (g *Gateway) Log() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.logLines)
}

// parseListening parses the log line with the addresses that a gateway listens
// on.
func parseListening(line string) (addresses, bool) {
	if !strings.Contains(line, "msg=listening") {
		return addresses{}, false
	}
	var a addresses
	for field := range strings.FieldsSeq(line) {
		key, value, _ := strings.Cut(field, "=")
		switch key {
		case "caller":
			a.caller = value
		case "forward":
			a.forward = value
		case "control":
			a.control = value
		case "operator":
			a.operator = value
		}
	}
	return a, a.caller != "" && a.forward != "" && a.control != "" && a.operator != ""
}

// WaitReady waits until the gateway is ready to serve.
func (g *Gateway) WaitReady(ctx context.Context) error {
	for {
		if g.isReady(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrGateway.Wrap(ctx.Err(), "%s is not ready:\n%s", g.Name, strings.Join(g.Log(), "\n"))
		case <-time.After(pollInterval):
		}
	}
}

func (g *Gateway) isReady(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, g.OperatorURL()+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signal sends a signal to the process, if one was started.
func (g *Gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil && g.cmd.Process != nil {
		_ = g.cmd.Process.Signal(s)
	}
}

// exitedChan returns the channel that is closed when the process has exited. It
// is nil if no process was started.
func (g *Gateway) exitedChan() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.exited
}

// Kill kills the process and waits until it has exited.
func (g *Gateway) Kill() {
	done := g.exitedChan()
	if done == nil {
		return
	}
	g.signal(syscall.SIGKILL)
	<-done
}

// Pause suspends the process with SIGSTOP and waits until it is stopped.
func (g *Gateway) Pause() {
	g.signal(syscall.SIGSTOP)
	for g.Alive() && !isStopped(g.PID()) {
		time.Sleep(time.Millisecond)
	}
}

// isStopped reports whether the kernel lists all threads of the process as
// stopped. A signal takes effect some time after it was sent.
func isStopped(pid int) bool {
	stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(stats) == 0 {
		return false
	}
	for _, path := range stats {
		data, err := os.ReadFile(path)
		if err != nil {
			return false
		}
		// The state follows the program name, which is in parentheses.
		_, rest, _ := strings.Cut(string(data), ") ")
		if !strings.HasPrefix(rest, "T") {
			return false
		}
	}
	return true
}

// Resume resumes a paused process.
func (g *Gateway) Resume() { g.signal(syscall.SIGCONT) }

// Shutdown asks the process to shut down gracefully, without waiting.
func (g *Gateway) Shutdown() { g.signal(syscall.SIGTERM) }

// Terminate asks the process to shut down gracefully and waits until it has
// exited. It returns the exit error of the process.
func (g *Gateway) Terminate(ctx context.Context) error {
	g.Shutdown()
	select {
	case <-g.exitedChan():
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.exitErr
	case <-ctx.Done():
		return ErrGateway.Wrap(ctx.Err(), "%s did not exit:\n%s", g.Name, strings.Join(g.Log(), "\n"))
	}
}

// Restart kills the process, starts a new one on the same ports and waits until
// it is ready.
func (g *Gateway) Restart(ctx context.Context) error {
	g.Kill()
	if err := g.start(ctx); err != nil {
		return err
	}
	return g.WaitReady(ctx)
}

// Alive reports whether the process is running or paused.
func (g *Gateway) Alive() bool {
	done := g.exitedChan()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// PID returns the process ID, or 0 if no process was started.
func (g *Gateway) PID() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil || g.cmd.Process == nil {
		return 0
	}
	return g.cmd.Process.Pid
}

// ForwardAddress returns the IP:port for requests from other gateways. It
// bypasses the simulated links.
func (g *Gateway) ForwardAddress() string { return g.currentAddresses().forward }
