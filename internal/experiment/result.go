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

// Result holds the results of an experiment for all of its policies.
type Result struct {
	Spec    *Spec     `json:"spec"`
	Started time.Time `json:"started"`
	Go      string    `json:"go"`
	CPUs    int       `json:"cpus"`
	// LoadBefore and LoadAfter are the machine's one-minute load averages
	// before and after the runs. A high LoadBefore means that other processes
	// may have distorted the results.
	LoadBefore float64 `json:"loadBefore"`
	LoadAfter  float64 `json:"loadAfter"`
	Runs       []Run   `json:"runs"`
}

// Run holds the results of an experiment with one policy.
type Run struct {
	Policy             Variant       `json:"policy"`
	Overall            Stats         `json:"overall"`
	Phases             []Stats       `json:"phases,omitempty"`
	Timeline           []SecondStats `json:"timeline"`
	CrossRegionTraffic []LinkTraffic `json:"crossings"`
	Violations         []Violation   `json:"violations"`
}

// LinkTraffic is the traffic from one region to another during a run.
type LinkTraffic struct {
	From     string  `json:"from"`
	To       string  `json:"to"`
	Megabits float64 `json:"megabits"`
}

// loadAverage returns the machine's one-minute load average, or zero if it
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

// Write writes the result to a file as JSON.
func (r *Result) Write(file string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return Errors.NewType("result").Wrap(err, "encode result")
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}

// ReadResult reads a result from a file written by Write.
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

// counters are totals since the start of a deployment; the values of a run are
// the difference of two readings.
type counters struct {
	links map[linkDirection]int64 // bytes
	busy  map[string]float64      // busy seconds by engine
	calls map[string]int          // calls by backend server of a service
}

type linkDirection struct{ from, to string }

func readCounters(bed *testbed.Bed) counters {
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

// trafficSince returns the traffic between regions since an earlier reading.
func (c counters) trafficSince(before counters) []LinkTraffic {
	var found []LinkTraffic
	for d, bytes := range c.links {
		megabits := float64(bytes-before.links[d]) * 8 / bitsPerMegabit
		found = append(found, LinkTraffic{d.from, d.to, megabits})
	}
	return found
}

// addCost sets the cross-region traffic, the engines' busy time and the costs of
// both, from the counters before and after the run.
func (f *Stats) addCost(set *objects.Set, before, after counters) {
	for _, x := range after.trafficSince(before) {
		f.CrossRegionMegabits += x.Megabits
		if l := set.LinkBetween(x.From, x.To); l != nil {
			f.CrossRegionCost += x.Megabits * l.CostPerMegabit
		}
	}
	for name, seconds := range after.busy {
		seconds -= before.busy[name]
		f.EngineSeconds += seconds
		f.EngineCost += seconds * set.BackendServers[name].Spec.CostPerSecond
	}
	f.Cost = f.CrossRegionCost + f.EngineCost
	if f.Served > 0 {
		f.CostPerThousand = 1000 * f.Cost / float64(f.Served)
	}
}
