package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

// earlierCommits are the commits whose programs run beside the present one: the last
// landing that reads only structs of exactly its own fields, and the one before it, whose
// summaries had one field less.
var earlierCommits = []string{"c32ccf6", "0984de7"}

const (
	// clientPause is the pause of a client between two requests during an upgrade, and
	// settledRequests the number of requests of each path that are sent to each VM
	// after a VM was replaced.
	clientPause     = 25 * time.Millisecond
	settledRequests = 2
	// summaryLifetime is how long a VM sends requests by the last summary that it read.
	summaryLifetime = 2 * time.Second
	// cutAfter is when a client cuts a stream that it takes up at another VM.
	cutAfter = 60 * time.Millisecond
	// minServedShare is the share of the requests that VMs serve while another one is
	// replaced. An outage during one of the five replacements takes it below.
	minServedShare = 0.95
)

// Guards against a region without servers that served nothing while VMs of another build
// ran in the region with the servers: "malformed record kind=6".
func TestUpgradeFromEarlierBuildsAndBack(t *testing.T) {
	present := buildEdge(t)
	for _, commit := range earlierCommits {
		t.Run(commit, func(t *testing.T) {
			t.Parallel()
			newUpgrade(t, buildEarlierEdge(t, commit)).run(present)
		})
	}
}

// buildEarlierEdge builds the program of a commit of the history, or skips the test if the
// commit isn't there.
func buildEarlierEdge(t *testing.T, commit string) string {
	t.Helper()
	if out, err := exec.Command("git", "cat-file", "-e", commit+"^{commit}").CombinedOutput(); err != nil {
		t.Skipf("the history doesn't hold %s, as in a shallow clone: %v %s", commit, err, out)
	}
	root, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	source := filepath.Join(dir, "source")
	if err := os.Mkdir(source, 0o755); err != nil {
		t.Fatal(err)
	}
	binary := filepath.Join(dir, "chestnut-edge")
	for _, command := range []struct {
		dir  string
		args []string
	}{
		{string(root[:len(root)-1]), []string{"git", "archive", "--format=tar", "-o", filepath.Join(dir, "source.tar"), commit}},
		{source, []string{"tar", "xf", filepath.Join(dir, "source.tar")}},
		{source, []string{"go", "build", "-o", binary, "./cmd/chestnut-edge"}},
	} {
		cmd := exec.Command(command.args[0], command.args[1:]...)
		cmd.Dir = command.dir
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("%v: %v: %s", command.args, err, out)
		}
	}
	return binary
}

// upgrade is a fleet whose VMs are replaced: two in the region with all servers, and one in
// a region without any.
type upgrade struct {
	*Harness
	t       *testing.T
	client  *platformtest.Client
	earlier string

	mu sync.Mutex
	// replaced is the VM that is being replaced, or nil. Served counts the requests that
	// the others served during replacements, and failures are why others weren't.
	replaced *process
	served   int
	failures []string
}

// newUpgrade starts a fleet of the earlier program.
func newUpgrade(t *testing.T, earlier string) *upgrade {
	t.Helper()
	d, err := platformtest.NewDeployment()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	h := &Harness{Config: Config{Binary: earlier, Dir: t.TempDir()}, Deployment: d, replicas: map[string]*replica{}, started: time.Now()}
	t.Cleanup(h.stopAll)
	for range 2 {
		for _, service := range []string{platformtest.EngineService, platformtest.PlainService} {
			if err := h.startReplica(service, "north-a", ""); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, vm := range [][2]string{{"north-1", "north-a"}, {"north-2", "north-a"}, {"west-1", "west-a"}} {
		p := &process{VM: platformtest.NewVM(vm[0], vm[1])}
		h.vms, h.seeds = append(h.vms, p), append(h.seeds, p.ControlAddress)
	}
	if err := h.startVMs(); err != nil {
		t.Fatal(err)
	}
	return &upgrade{Harness: h, t: t, client: platformtest.NewClient(), earlier: earlier}
}

// run replaces all VMs by ones of the present program, and those of the region with servers
// by ones of the earlier one again.
func (u *upgrade) run(present string) {
	defer u.report()
	u.checkSettled("before")
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	for _, p := range u.vms {
		clients.Go(func() { u.send(ctx, p) })
	}
	north, west := u.vms[:2], u.vms[2]
	for _, p := range north {
		u.replace(p, present)
		u.checkSettled(p.Name + " runs the present build")
	}
	time.Sleep(summaryLifetime)
	u.checkSettled("the present build in the region with servers, the earlier one in the other")
	u.replace(west, present)
	u.checkSettled("the present build everywhere")
	for _, p := range north {
		u.replace(p, u.earlier)
	}
	time.Sleep(summaryLifetime)
	u.checkSettled("the earlier build in the region with servers, the present one in the other")
}

// report fails the test for each violation and for too few requests served during
// replacements, and shows the last log lines of the VMs.
func (u *upgrade) report() {
	u.mu.Lock()
	defer u.mu.Unlock()
	sent := u.served + len(u.failures)
	u.t.Logf("while a VM was replaced, the others served %d of %d requests: %q", u.served, sent, u.failures)
	if float64(u.served) < minServedShare*float64(sent) {
		u.t.Errorf("this is less than %.0f %%", 100*minServedShare)
	}
	for _, v := range u.violations {
		u.t.Error(v)
	}
	if u.t.Failed() {
		for _, p := range u.vms {
			u.t.Logf("%s: %s", p.Name, lastLogLines(p))
		}
	}
}

// replace ends a VM's process, and starts the program in its place.
func (u *upgrade) replace(p *process, binary string) {
	u.mu.Lock()
	u.replaced = p
	u.mu.Unlock()
	exited := p.signal(syscall.SIGTERM, true)
	select {
	case <-exited:
	case <-time.After(grace + graceSlack):
		u.t.Fatalf("%s still runs %v after SIGTERM", p.Name, grace+graceSlack)
	}
	p.binary = binary
	if err := u.start(p); err != nil {
		u.t.Fatal(err)
	}
	if !u.waitFor(recoveryTimeout, p.IsReady) {
		u.t.Fatalf("%s is not ready after %v", p.Name, recoveryTimeout)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.replaced = nil
}

// send sends requests to one VM until ctx ends, and counts those that are sent while
// another VM is replaced.
func (u *upgrade) send(ctx context.Context, p *process) {
	client := platformtest.NewClient()
	for n := 0; ctx.Err() == nil; n++ {
		u.mu.Lock()
		during := u.replaced
		u.mu.Unlock()
		fault := u.request(client, p, []string{platformtest.PathSafe, platformtest.PathResumableStream}[n%2])
		u.mu.Lock()
		if u.replaced != nil && u.replaced == during && during != p {
			if fault == "" {
				u.served++
			} else {
				u.failures = append(u.failures, "while "+during.Name+" was replaced: "+fault)
			}
		}
		u.mu.Unlock()
		time.Sleep(clientPause)
	}
}

// request sends a request and returns why it wasn't served in full, or "".
func (u *upgrade) request(client *platformtest.Client, p *process, path string) string {
	id := fmt.Sprintf("q-%d", u.lastID.Add(1))
	a := client.Do(context.Background(), p.CallerAddress, path+"x", id, platformtest.DefaultTimeout, nil)
	want := platformtest.Body(id)
	if path == platformtest.PathResumableStream {
		want = ""
		for n := range streamEvents {
			want += platformtest.Event(id, n+1)
		}
	}
	if a.Status == http.StatusOK && a.Complete && a.Body == want {
		return ""
	}
	return fmt.Sprintf("%s%s at %s: status %d, complete %t, %v, %q", path, id, p.Name, a.Status, a.Complete, a.Err, a.Body)
}

// streamEvents is the number of events of a replica's stream.
const streamEvents = 10

// checkSettled checks that each VM serves its callers, and goes on with streams that broke
// off at another one.
func (u *upgrade) checkSettled(when string) {
	u.t.Helper()
	var checks sync.WaitGroup
	for i, p := range u.vms {
		checks.Go(func() {
			for _, path := range []string{platformtest.PathSafe, platformtest.PathResumableStream} {
				if !u.checkServed(when, p, path) {
					return
				}
			}
			u.checkTakeUp(when, u.vms[(i+1)%len(u.vms)], p)
		})
	}
	checks.Wait()
	if len(u.violations) > 0 {
		u.t.FailNow()
	}
}

// checkServed checks that a VM serves a path before long, and from then on. It returns
// false if it doesn't.
func (u *upgrade) checkServed(when string, p *process, path string) bool {
	fault := ""
	if !u.waitFor(recoveryTimeout, func() bool { fault = u.request(u.client, p, path); return fault == "" }) {
		u.recordViolation("%s: %s does not serve within %v: %s", when, p.Name, recoveryTimeout, fault)
		return false
	}
	for range settledRequests {
		if fault := u.request(u.client, p, path); fault != "" {
			u.recordViolation("%s: %s", when, fault)
			return false
		}
	}
	return true
}

// checkTakeUp checks that a stream that breaks off at a VM goes on at the next.
func (u *upgrade) checkTakeUp(when string, first, next *process) {
	stream := &platformtest.Stream{}
	follow := func(ctx context.Context, p *process) platformtest.Answer {
		return u.client.Follow(ctx, p.CallerAddress, platformtest.PathResumableStream+"x", fmt.Sprintf("q-%d", u.lastID.Add(1)), platformtest.DefaultTimeout, stream, "")
	}
	ctx, cancel := context.WithTimeout(context.Background(), cutAfter)
	follow(ctx, first)
	cancel()
	if stream.Complete || len(stream.Events) == 0 {
		return // cut too late or too early to be taken up
	}
	if a := follow(context.Background(), next); !stream.Complete || len(stream.Events) != streamEvents {
		u.recordViolation("%s: a stream of %s taken up at %s: status %d, %v, events %q", when, first.Name, next.Name, a.Status, a.Err, stream.Events)
	}
}
