package soak

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Environment variables of manual runs.
const (
	envSeeds         = "CHESTNUT_FAULT_SEEDS" // separated by spaces
	envFaultDuration = "CHESTNUT_FAULT_TIME"  // in the format of time.ParseDuration
	envVMs           = "CHESTNUT_FAULT_VMS"   // number of VMs in each region
	// envCommit is the commit whose program runs in place of the present one.
	envCommit = "CHESTNUT_FAULT_COMMIT"
)

func buildEdge(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "chestnut-edge")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/chestnut-edge").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// maxRegressions is the number of seeds of regressions.txt that CI runs, newest
// first.
const maxRegressions = 3

// regressions returns the newest seeds that failed once.
func regressions(t *testing.T) []string {
	t.Helper()
	data, err := os.ReadFile("regressions.txt")
	if err != nil {
		t.Fatal(err)
	}
	var seeds []string
	for line := range strings.Lines(string(data)) {
		if seed, _, found := strings.Cut(line, " "); found && seed != "#" {
			seeds = append([]string{seed}, seeds...)
		}
	}
	return seeds[:min(len(seeds), maxRegressions)]
}

func TestMain(m *testing.M) {
	// The harness runs this program for servers and VMs in processes of their own. The settings
	// of VMs don't change.
	signal.Ignore(syscall.SIGHUP)
	for name, serve := range map[string]func(string) error{envServer: serveServer, envRoutes: serveVM} {
		if description := os.Getenv(name); description != "" {
			if err := serve(description); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(1)
			}
			os.Exit(0)
		}
	}
	os.Exit(m.Run())
}

// TestFaultSoak runs one seed and the newest regressions, or the seeds of the
// environment.
func TestFaultSoak(t *testing.T) {
	seeds, faultDuration, vms := soakSettings(t, append([]string{"1"}, regressions(t)...), 8*time.Second)
	runSeeds(t, seeds, Config{Binary: buildEdge(t), VMs: vms, Engines: 2, FaultDuration: faultDuration, MeanFaultInterval: 500 * time.Millisecond})
}

// TestRequestsRunOnceUnderFaults does the same with servers in processes of their own and
// links between the VMs that are disturbed, and counts the runs of each request and stream.
func TestRequestsRunOnceUnderFaults(t *testing.T) {
	seeds, faultDuration, vms := soakSettings(t, []string{"22"}, 20*time.Second)
	binary := ""
	if commit := os.Getenv(envCommit); commit != "" {
		binary = buildEarlierEdge(t, commit)
	}
	runSeeds(t, seeds, Config{CountRuns: true, Binary: binary, VMs: vms, Engines: 1, FaultDuration: faultDuration, MeanFaultInterval: 400 * time.Millisecond})
}

// TestTeamsUnderFaults does the same with teams: their keys, home regions and limits.
func TestTeamsUnderFaults(t *testing.T) {
	seeds, faultDuration, vms := soakSettings(t, []string{"7"}, 15*time.Second)
	runSeeds(t, seeds, Config{Teams: true, Binary: buildEdge(t), VMs: vms, Engines: 2, FaultDuration: faultDuration, MeanFaultInterval: 700 * time.Millisecond})
}

// TestBodiesUnderFaults does the same with crowds of clients that hold bodies.
func TestBodiesUnderFaults(t *testing.T) {
	seeds, faultDuration, vms := soakSettings(t, []string{"3"}, 12*time.Second)
	runSeeds(t, seeds, Config{Bodies: true, Binary: buildEdge(t), VMs: vms, Engines: 2, FaultDuration: faultDuration, MeanFaultInterval: 700 * time.Millisecond})
}

// soakSettings returns the seeds, the time of the faults and the number of VMs in each
// region: those given, or what the environment states.
func soakSettings(t *testing.T, seeds []string, faultDuration time.Duration) ([]string, time.Duration, int) {
	t.Helper()
	vms := 2
	if list := strings.Fields(os.Getenv(envSeeds)); len(list) > 0 {
		seeds = list
	}
	if text := os.Getenv(envFaultDuration); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		faultDuration = d
	}
	if text := os.Getenv(envVMs); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		vms = n
	}
	return seeds, faultDuration, vms
}

// runSeeds runs the soak with each of the seeds.
func runSeeds(t *testing.T, seeds []string, config Config) {
	t.Helper()
	for _, text := range seeds {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(text, func(t *testing.T) {
			dir, config := t.TempDir(), config
			config.Seed, config.Dir = seed, dir
			violations, faultLog, err := Run(config)
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range violations {
				t.Error(v)
			}
			if len(violations) > 0 {
				logDir := filepath.Join(os.TempDir(), "soak-"+text)
				_ = os.RemoveAll(logDir)
				if err := os.Rename(dir, logDir); err == nil {
					t.Log("logs of the processes:", logDir)
				}
				t.Log("seed", seed, "\n"+strings.Join(faultLog, "\n"))
			} else {
				t.Log(strings.Join(faultLog[max(0, len(faultLog)-3):], "\n"))
			}
		})
	}
}
