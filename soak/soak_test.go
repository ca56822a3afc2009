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

// The environment of runs by hand: seeds, separated by spaces, and how long
// faults go on.
const (
	envSeeds  = "CHESTNUT_FAULT_SEEDS"
	envLength = "CHESTNUT_FAULT_TIME"
	envVMs    = "CHESTNUT_FAULT_VMS"
)

func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "chestnut-edge")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/chestnut-edge").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// maxRegressions bounds the seeds of regressions.txt that CI plays, newest
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

// TestFaultSoak plays a seed and the newest regressions in CI, and the seeds of
// the environment by hand.
func TestFaultSoak(t *testing.T) {
	seeds, length, vms := append([]string{"1"}, regressions(t)...), 8*time.Second, 2
	if list := strings.Fields(os.Getenv(envSeeds)); len(list) > 0 {
		seeds = list
	}
	if text := os.Getenv(envLength); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		length = d
	}
	if text := os.Getenv(envVMs); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		vms = n
	}
	binary := build(t)
	for _, text := range seeds {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(text, func(t *testing.T) {
			dir := t.TempDir()
			breaches, story, err := Run(Config{
				Seed: seed, Binary: binary, Dir: dir, VMs: vms, Engines: 2, FaultDuration: length, MeanFaultInterval: 500 * time.Millisecond,
			})
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range breaches {
				t.Error(b)
			}
			if len(breaches) > 0 {
				keep := filepath.Join(os.TempDir(), "soak-"+text)
				_ = os.RemoveAll(keep)
				if err := os.Rename(dir, keep); err == nil {
					t.Log("logs of the processes:", keep)
				}
				t.Log("seed", seed, "\n"+strings.Join(story, "\n"))
			} else {
				t.Log(story[len(story)-1])
			}
		})
	}
}
