package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Environment variables of manual runs.
const (
	envSeeds         = "CHESTNUT_FAULT_SEEDS" // separated by spaces
	envFaultDuration = "CHESTNUT_FAULT_TIME"  // in the format of time.ParseDuration
	envVMs           = "CHESTNUT_FAULT_VMS"   // number of VMs in each region
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

// TestFaultSoak runs one seed and the newest regressions, or the seeds of the
// environment.
func TestFaultSoak(t *testing.T) {
	seeds, faultDuration, vms := append([]string{"1"}, regressions(t)...), 8*time.Second, 2
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
	binary := buildEdge(t)
	for _, text := range seeds {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(text, func(t *testing.T) {
			dir := t.TempDir()
			violations, faultLog, err := Run(Config{
				Seed: seed, Binary: binary, Dir: dir, VMs: vms, Engines: 2, FaultDuration: faultDuration, MeanFaultInterval: 500 * time.Millisecond,
			})
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
				t.Log(faultLog[len(faultLog)-1])
			}
		})
	}
}
