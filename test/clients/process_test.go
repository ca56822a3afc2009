package clients

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/chestnutspring/chestnutspring/internal/testbed"
	"github.com/chestnutspring/chestnutspring/internal/wire"
	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

// waitTimeout bounds the wait for a condition; only a process that hangs reaches it.
const waitTimeout = time.Minute

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", waitTimeout, what)
		}
	}
}

// openDescriptors returns the number of open descriptors of a process.
func openDescriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// limited returns the path of a script that runs a program within the limits.
func (l limits) limited(t *testing.T, binary string) string {
	t.Helper()
	pin := ""
	if l.oneCore {
		var allowed unix.CPUSet
		if err := unix.SchedGetaffinity(0, &allowed); err != nil {
			t.Fatal(err)
		}
		core := 0
		for !allowed.IsSet(core) {
			core++
		}
		pin = fmt.Sprintf("taskset -c %d ", core)
	}
	script := filepath.Join(t.TempDir(), "limited")
	if err := os.WriteFile(script, fmt.Appendf(nil, "#!/bin/sh\nulimit -n %d\nexec %s%s \"$@\"\n", l.descriptors, pin, binary), 0o700); err != nil {
		t.Fatal(err)
	}
	return script
}

const (
	// largeService is a service whose responses have largeBytes and then go on slowly.
	largeService = "large"
	largeBytes   = 4 << 20
)

// respondLarge writes a large response to a request.
func respondLarge(conn net.Conn, request *http.Request) {
	platformtest.EndlessBodies["body with length"].Write(conn, request, largeBytes)
}

// edgeTarget is a chestnut-edge under test.
type edgeTarget struct {
	target
	deployment *platformtest.Deployment
	vm         platformtest.VM
	refusals   *refusals
}

// startEdge starts a deployment with one chestnut-edge, whose binary was built before.
func startEdge(t *testing.T, binary string, l limits) edgeTarget {
	t.Helper()
	vm := platformtest.NewVM("north-a-1", "north-a")
	return startVM(t, startServers(t, "north-a"), binary, vm, []string{vm.ControlAddress}, l)
}

// startTwoEdges starts a deployment with a chestnut-edge in each of two regions, and servers only
// in that of the second one, so that the first sends it all requests.
func startTwoEdges(t *testing.T, binary string, l limits) (entry, other edgeTarget) {
	t.Helper()
	d := startServers(t, "west-a")
	first, second := platformtest.NewVM("north-a-1", "north-a"), platformtest.NewVM("west-a-1", "west-a")
	seeds := []string{first.ControlAddress, second.ControlAddress}
	return startVM(t, d, binary, first, seeds, l), startVM(t, d, binary, second, seeds, l)
}

// startServers starts a deployment with its servers in a failure domain.
func startServers(t *testing.T, domain string) *platformtest.Deployment {
	t.Helper()
	d, err := platformtest.NewDeployment()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	services := platformtest.WithServices(platformtest.DefaultTimeout, largeService)
	d.Configure(func(config map[string]any) {
		services(config)
		config["limits"].(map[string]any)["maxBodyBytes"] = 4 << 20
	})
	for id, service := range map[string]string{"i-1": platformtest.PlainService, "e-1": platformtest.EngineService} {
		if _, err := d.Start(id, service, domain, ""); err != nil {
			t.Fatal(err)
		}
	}
	stop, err := d.StartRaw("i-2", largeService, domain, respondLarge)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return d
}

// startVM starts a chestnut-edge on a VM of the deployment.
func startVM(t *testing.T, d *platformtest.Deployment, binary string, vm platformtest.VM, seeds []string, l limits) edgeTarget {
	t.Helper()
	settings := strings.Replace(d.Settings(vm, d.StoreAddress, seeds, time.Second),
		"memoryMb = 200", fmt.Sprintf("memoryMb = %d\nmaxFds = %d", l.memoryMb, l.descriptors), 1)
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(l.limited(t, binary))
	cmd.Env = append(os.Environ(), "CHESTNUTSPRING_BOOT="+path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-exited
	})
	client, requests := platformtest.NewClient(), 0
	return edgeTarget{deployment: d, vm: vm, refusals: &refusals{}, target: target{
		limits: l, pid: cmd.Process.Pid,
		address: func(port string) string {
			return map[string]string{
				"callers": vm.CallerAddress, "ready": vm.ReadyAddress, "directory": vm.DirectoryAddress,
				"operators": vm.OperatorAddress, "hops": vm.HopAddress, "control": vm.ControlAddress,
			}[port]
		},
		alive: func() bool {
			select {
			case <-exited:
				return false
			default:
				return true
			}
		},
		answered: func() bool {
			requests++
			a := client.Do(t.Context(), vm.CallerAddress, platformtest.PathUnsafe, fmt.Sprintf("q-%d", requests), platformtest.DefaultTimeout, nil)
			return vm.IsReady() && a.Status == http.StatusOK && a.Complete
		},
	}}
}

// startGateway starts a deployment with a chestnut-gateway in each region and returns one.
func startGateway(t *testing.T, binary string, l limits) target {
	t.Helper()
	root, err := testbed.ModuleRoot()
	if err != nil {
		t.Fatal(err)
	}
	bed, err := testbed.Start(t.Context(), testbed.Config{
		Deployment: filepath.Join(root, "examples", "kite-consortium"), GatewayBinary: l.limited(t, binary), GatewaysPerRegion: 1, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.Close)
	g := bed.GatewaysOf(bed.Regions()[0])[0]
	return target{
		limits: l, pid: g.PID(),
		address: func(port string) string {
			switch port {
			case "operators":
				return strings.TrimPrefix(g.OperatorURL(), "http://")
			case "forward":
				return g.ForwardAddress()
			}
			return g.CallerAddress()
		},
		alive: g.Alive,
		answered: func() bool {
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			if !servesLargestBodiesOfGateway(ctx, g.CallerAddress()) {
				return false
			}
			for _, url := range []string{"http://" + g.CallerAddress() + wire.PathEntries, g.OperatorURL() + "/readyz"} {
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
				if err != nil {
					return false
				}
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					return false
				}
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if err != nil || resp.StatusCode != http.StatusOK {
					return false
				}
			}
			return true
		},
	}
}
