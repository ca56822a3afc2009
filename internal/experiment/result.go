package experiment

import (
	"encoding/json"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/testbed"
)

// Result is the outcome of an experiment.
type Result struct {
	Spec    *Spec     `json:"spec"`
	Started time.Time `json:"started"`
	Go      string    `json:"go"`
	CPUs    int       `json:"cpus"`
	// LoadBefore and LoadAfter are the machine's load averages of a minute:
	// what else ran here beside the experiment.
	LoadBefore float64 `json:"loadBefore"`
	LoadAfter  float64 `json:"loadAfter"`
	Runs       []Run   `json:"runs"`
}

// Run is an experiment with one policy.
type Run struct {
	Policy     Variant     `json:"policy"`
	Overall    Figures     `json:"overall"`
	Phases     []Figures   `json:"phases,omitempty"`
	Timeline   []Second    `json:"timeline"`
	Crossings  []Crossing  `json:"crossings"`
	Violations []Violation `json:"violations"`
}

// Crossing is the traffic from one region to another during a run.
type Crossing struct {
	From     string  `json:"from"`
	To       string  `json:"to"`
	Megabits float64 `json:"megabits"`
}

// loadAverage returns the machine's load average of a minute, or zero where it
// can't be read.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	average, _ := strconv.ParseFloat(first, 64)
	return average
}

// Write writes the result as JSON.
func (r *Result) Write(file string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return Errors.NewType("result").Wrap(err, "encode")
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}

// ReadResult reads a result that Write wrote.
func ReadResult(file string) (*Result, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var r Result
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, Errors.NewType("result").Wrap(err, "%s", file)
	}
	return &r, nil
}

// counters are sums over a deployment's life; a run's share is a difference.
type counters struct {
	links map[linkDirection]int64 // bytes
	busy  map[string]float64      // engine seconds by backend server
	calls map[string]int          // calls by service's backend server
}

type linkDirection struct{ from, to string }

func takeCounters(bed *testbed.Bed) counters {
	c := counters{links: map[linkDirection]int64{}, busy: map[string]float64{}, calls: map[string]int{}}
	for _, x := range bed.CrossRegionTraffic() {
		c.links[linkDirection{x.From, x.To}] = x.Bytes
	}
	for name, e := range bed.Engines {
		c.busy[name] = e.Counts().BusySeconds
	}
	for name, s := range bed.Services {
		for _, n := range s.Calls() {
			c.calls[name] += n
		}
	}
	return c
}

const bitsPerMegabit = 1e6

// crossings returns the traffic between regions since before.
func (c counters) crossings(before counters) []Crossing {
	var found []Crossing
	for d, bytes := range c.links {
		megabits := float64(bytes-before.links[d]) * 8 / bitsPerMegabit
		found = append(found, Crossing{d.from, d.to, megabits})
	}
	return found
}

// addCost fills in the cost of crossing regions and of engines' work.
func (f *Figures) addCost(set *objects.Set, before, after counters) {
	for _, x := range after.crossings(before) {
		f.CrossingMegabits += x.Megabits
		if l := set.LinkBetween(x.From, x.To); l != nil {
			f.CrossingCost += x.Megabits * l.CostPerMegabit
		}
	}
	for name, seconds := range after.busy {
		seconds -= before.busy[name]
		f.EngineSeconds += seconds
		f.EngineCost += seconds * set.BackendServers[name].Spec.CostPerSecond
	}
	f.Cost = f.CrossingCost + f.EngineCost
	if f.Served > 0 {
		f.CostPerThousand = 1000 * f.Cost / float64(f.Served)
	}
}
