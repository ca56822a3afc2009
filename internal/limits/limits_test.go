package limits

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// fleet is a set of simulated gateways in regions that may be isolated from
// each other.
type fleet struct {
	now      clock.Instant
	limiters []*Limiter
	regions  []string
}

func newFleet(regions ...string) *fleet {
	f := &fleet{now: clock.Instant(time.Hour), regions: regions}
	for range regions {
		f.limiters = append(f.limiters, NewLimiter(func() clock.Instant { return f.now }))
	}
	return f
}

// view returns the snapshot of gateway i. cut names an isolated region; empty
// means none.
func (f *fleet) view(i int, config *objects.Set, cut string) *snapshot.Snapshot {
	self := snapshot.Identity{VM: fmt.Sprint(i), Region: f.regions[i]}
	s := &snapshot.Snapshot{Self: self, Config: config, Members: map[string]*snapshot.Member{}}
	for j, region := range f.regions {
		s.Members[fmt.Sprint(j)] = &snapshot.Member{
			Identity:  snapshot.Identity{VM: fmt.Sprint(j), Region: region},
			Reachable: region == self.Region || (region == cut) == (self.Region == cut),
		}
	}
	return s
}

func configWithLimit(perSecond float64) *objects.Set {
	set := objects.NewSet()
	set.Teams["t"] = &objects.Team{Name: "t", Spec: objects.TeamSpec{Limits: "l"}}
	set.Limits["l"] = &objects.Limits{Name: "l", Spec: objects.LimitsSpec{RequestsPerSecond: perSecond}}
	return set
}

// admitted offers each gateway requests at its rate for the given time and
// returns the number of requests that each admitted in the second half.
// Gateways that can reach each other exchange reports once a second.
func (f *fleet) admitted(config *objects.Set, cut string, rates []float64, length time.Duration) []int {
	admitted := make([]int, len(rates))
	due := make([]float64, len(rates))
	const step = 10 * time.Millisecond
	for t := time.Duration(0); t < length; t += step {
		f.now = f.now.Add(step)
		if t%time.Second == 0 {
			f.exchangeReports(cut)
		}
		for i, r := range rates {
			for due[i] += r * step.Seconds(); due[i] >= 1; due[i]-- {
				release, wait := f.limiters[i].Admit(f.view(i, config, cut), "t", 0)
				if release == nil {
					if wait <= 0 {
						panic("refusal without a retry time")
					}
					continue
				}
				release()
				if t >= length/2 {
					admitted[i]++
				}
			}
		}
	}
	return admitted
}

func (f *fleet) exchangeReports(cut string) {
	for i, from := range f.limiters {
		for j, to := range f.limiters {
			if i != j && (f.regions[i] == cut) == (f.regions[j] == cut) {
				to.ApplyReport(from.Report(fmt.Sprint(i)))
			}
		}
	}
}

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}

func TestDemandAtOneGatewayGetsMostOfTheLimit(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "a", "b", "b", "c", "c")
	got := f.admitted(configWithLimit(60), "", []float64{200, 0, 0, 0, 0, 0}, 20*time.Second)
	is.True(got[0] >= 10*60*7/10)  // more than an even share
	is.True(got[0] <= 10*60*11/10) // at most the limit
}

// An isolated region uses only its own share, so that both sides of the
// partition together stay within the limit.
func TestBothSidesOfAPartitionStayWithinTheLimit(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "a", "b", "b", "c", "c")
	got := f.admitted(configWithLimit(60), "a", []float64{200, 100, 200, 100, 50, 50}, 20*time.Second)
	is.True(sum(got) <= 10*60*11/10)
	is.True(sum(got[:2]) >= 10*20*9/10) // the isolated region keeps its share
}

func TestSharesAddUpToAtMostTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 8).Draw(t, "regions")
		cut := rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "cut")
		f := newFleet(regions...)
		demand := make([]float64, len(regions))
		for i := range demand {
			demand[i] = rapid.Float64Range(0, 100).Draw(t, "demand")
		}
		noReports := rapid.Bool().Draw(t, "noReports")
		total := 0.0
		for i := range regions {
			reports := map[string]*report{}
			for j := range regions {
				if !noReports && i != j {
					reports[fmt.Sprint(j)] = &report{receivedAt: f.now, demands: map[string]float64{"t": demand[j]}}
				}
			}
			total += newPartition(f.view(i, nil, cut)).gatewayShare("t", demand[i], reports, f.now)
		}
		if total > 1+1e-9 {
			t.Fatalf("the shares add up to %v, want at most 1", total)
		}
	})
}

func TestIdleTeamsAreEvicted(t *testing.T) {
	is := is.New(t)
	f := newFleet("a")
	config := configWithLimit(10)
	for i := range 100 {
		name := fmt.Sprint(i)
		config.Teams[name] = &objects.Team{Name: name, Spec: objects.TeamSpec{Limits: "l"}}
		release, _ := f.limiters[0].Admit(f.view(0, config, ""), name, 0)
		release()
	}
	is.Equal(f.limiters[0].TeamCount(), 100)
	f.now = f.now.Add(2 * idleRetention)
	_, _ = f.limiters[0].Admit(f.view(0, config, ""), "t", 0)
	is.Equal(f.limiters[0].TeamCount(), 1)
}

func BenchmarkAdmit(b *testing.B) {
	f := newFleet("a", "a", "b", "b", "c", "c")
	config := configWithLimit(1e9)
	s := f.view(0, config, "")
	b.ReportAllocs()
	for b.Loop() {
		release, _ := f.limiters[0].Admit(s, "t", 10)
		release()
	}
}
