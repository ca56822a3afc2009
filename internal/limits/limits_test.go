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

// fleet is a number of gateways in regions that see one another or not.
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

// view returns what gateway i sees. cut names a region that is cut off.
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

func limited(perSecond float64) *objects.Set {
	set := objects.NewSet()
	set.Teams["t"] = &objects.Team{Name: "t", Spec: objects.TeamSpec{Limits: "l"}}
	set.Limits["l"] = &objects.Limits{Name: "l", Spec: objects.LimitsSpec{RequestsPerSecond: perSecond}}
	return set
}

// run offers each gateway its rate for a time and returns how many requests
// were admitted in its second half. Reports are exchanged each second inside
// what can be reached.
func (f *fleet) run(config *objects.Set, cut string, rates []float64, length time.Duration) []int {
	admitted := make([]int, len(rates))
	due := make([]float64, len(rates))
	const step = 10 * time.Millisecond
	for t := time.Duration(0); t < length; t += step {
		f.now = f.now.Add(step)
		if t%time.Second == 0 {
			f.exchange(cut)
		}
		for i, r := range rates {
			for due[i] += r * step.Seconds(); due[i] >= 1; due[i]-- {
				release, wait := f.limiters[i].Admit(f.view(i, config, cut), "t", 0)
				if release == nil {
					if wait <= 0 {
						panic("a refusal says when there will be room")
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

func (f *fleet) exchange(cut string) {
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
	got := f.run(limited(60), "", []float64{200, 0, 0, 0, 0, 0}, 20*time.Second)
	is.True(got[0] >= 10*60*7/10)  // not just a sixth
	is.True(got[0] <= 10*60*11/10) // and not above the limit
}

// A region that is cut off uses what is published for it and no more, so that
// both sides together stay within the limit.
func TestBothSidesOfAPartitionStayWithinTheLimit(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "a", "b", "b", "c", "c")
	got := f.run(limited(60), "a", []float64{200, 100, 200, 100, 50, 50}, 20*time.Second)
	is.True(sum(got) <= 10*60*11/10)
	is.True(sum(got[:2]) >= 10*20*9/10) // the region on its own goes on
}

func TestPartsNeverAddUpToMoreThanTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 8).Draw(t, "regions")
		cut := rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "cut")
		f := newFleet(regions...)
		demand := make([]float64, len(regions))
		for i := range demand {
			demand[i] = rapid.Float64Range(0, 100).Draw(t, "demand")
		}
		silent := rapid.Bool().Draw(t, "silent")
		total := 0.0
		for i := range regions {
			reports := map[string]*report{}
			for j := range regions {
				if !silent && i != j {
					reports[fmt.Sprint(j)] = &report{heard: f.now, demands: map[string]float64{"t": demand[j]}}
				}
			}
			total += partitionOf(f.view(i, nil, cut)).part("t", demand[i], reports, f.now)
		}
		if total > 1+1e-9 {
			t.Fatalf("the parts add up to %v", total)
		}
	})
}

func TestIdleTeamsAreForgotten(t *testing.T) {
	is := is.New(t)
	f := newFleet("a")
	config := limited(10)
	for i := range 100 {
		name := fmt.Sprint(i)
		config.Teams[name] = &objects.Team{Name: name, Spec: objects.TeamSpec{Limits: "l"}}
		release, _ := f.limiters[0].Admit(f.view(0, config, ""), name, 0)
		release()
	}
	is.Equal(f.limiters[0].TeamCount(), 100)
	f.now = f.now.Add(2 * idleTime)
	_, _ = f.limiters[0].Admit(f.view(0, config, ""), "t", 0)
	is.Equal(f.limiters[0].TeamCount(), 1)
}

func BenchmarkAdmit(b *testing.B) {
	f := newFleet("a", "a", "b", "b", "c", "c")
	config := limited(1e9)
	s := f.view(0, config, "")
	b.ReportAllocs()
	for b.Loop() {
		release, _ := f.limiters[0].Admit(s, "t", 10)
		release()
	}
}
