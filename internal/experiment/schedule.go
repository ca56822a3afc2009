package experiment

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/objects"
)

// Arrival is a request and its scheduled start, relative to the start of the run.
type Arrival struct {
	At   time.Duration
	Call *Call
}

// bytesPerToken is the typical size of a token in a prompt.
const bytesPerToken = 4

// Schedule generates the arrivals of an experiment, sorted by time. The same seed
// gives the same arrivals, and the arrivals of a class don't depend on the other
// classes.
func Schedule(spec *Spec, set *objects.Set) []Arrival {
	var all []Arrival
	for i := range spec.Load {
		load := &spec.Load[i]
		for _, region := range slices.Sorted(maps.Keys(load.PerSecond)) {
			d := newArrivalGenerator(spec, set, load, region)
			all = append(all, d.arrivals(spec.Duration.AsDuration())...)
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	return all
}

// arrivalGenerator generates the arrivals of one class in one region.
type arrivalGenerator struct {
	rng               *rand.Rand
	load              *RequestClass
	region            string
	profile           []ProfilePoint
	teams             []string
	cumulativeWeights []float64 // of teams
}

func newArrivalGenerator(spec *Spec, set *objects.Set, load *RequestClass, region string) *arrivalGenerator {
	h := fnv.New64a()
	_, _ = h.Write([]byte(load.Class + "/" + region))
	d := &arrivalGenerator{
		rng:  rand.New(rand.NewPCG(spec.Seed, h.Sum64())),
		load: load, region: region,
	}
	if !load.Flat {
		d.profile = spec.Profile[region]
	}
	d.teams = load.Teams
	if len(d.teams) == 0 {
		d.teams = teamsWithHome(set, region)
	}
	sum := 0.0
	for _, name := range d.teams {
		sum += teamWeight(set, name)
		d.cumulativeWeights = append(d.cumulativeWeights, sum)
	}
	return d
}

// teamsWithHome returns the names of the teams whose home is the region, sorted.
func teamsWithHome(set *objects.Set, region string) []string {
	var found []string
	for _, name := range slices.Sorted(maps.Keys(set.Teams)) {
		if set.Teams[name].Spec.Home == region {
			found = append(found, name)
		}
	}
	return found
}

// teamWeight returns a team's weight in the fair queue; the default is 1.
func teamWeight(set *objects.Set, team string) float64 {
	t := set.Teams[team]
	if t == nil || t.Spec.Weight == 0 {
		return 1
	}
	return t.Spec.Weight
}

// arrivals generates a Poisson process of varying rate, by thinning one of the
// maximum rate.
func (d *arrivalGenerator) arrivals(duration time.Duration) []Arrival {
	peak := d.load.PerSecond[d.region] * max(1, maxFactor(d.profile))
	if peak == 0 || len(d.teams) == 0 {
		return nil
	}
	var found []Arrival
	at := 0.0
	for {
		at += d.rng.ExpFloat64() / peak
		now := time.Duration(at * float64(time.Second))
		if now >= duration {
			return found
		}
		keep := d.rng.Float64()*peak < d.rateAt(now)
		call := d.newCall(len(found))
		if keep {
			found = append(found, Arrival{At: now, Call: call})
		}
	}
}

// maxFactor returns the maximum factor of the points, or zero without points.
func maxFactor(points []ProfilePoint) float64 {
	factor := 0.0
	for _, p := range points {
		factor = max(factor, p.Factor)
	}
	return factor
}

// rateAt returns the arrival rate at a time, in requests per second.
func (d *arrivalGenerator) rateAt(at time.Duration) float64 {
	l := d.load
	if at < l.From.AsDuration() || (l.To > 0 && at >= l.To.AsDuration()) {
		return 0
	}
	return l.PerSecond[d.region] * profileFactor(d.profile, at)
}

// profileFactor returns the load factor at a time relative to the start of the
// run.
func profileFactor(points []ProfilePoint, at time.Duration) float64 {
	factor := 1.0
	for i, p := range points {
		if p.At.AsDuration() > at {
			break
		}
		factor = p.Factor
		if p.Ramp && i+1 < len(points) {
			next := points[i+1]
			fraction := float64(at-p.At.AsDuration()) / float64(next.At-p.At)
			factor += (next.Factor - p.Factor) * min(1, fraction)
		}
	}
	return factor
}

func (d *arrivalGenerator) newCall(n int) *Call {
	l := d.load
	c := &Call{
		Kind: l.Kind, Class: l.Class, Target: l.Target, Home: d.region,
		Team: d.drawTeam(), Stream: l.Stream, Path: l.Path,
		Timeout: l.Timeout.AsDuration(), Priority: l.Priority,
	}
	switch l.Kind {
	case KindChat:
		c.Prompt = fmt.Sprintf("%s %s %d %x", l.Class, d.region, n, d.rng.Uint64())
		c.Tokens = d.drawTokens()
		c.Prefix = d.drawPrefix()
	case KindBooking:
		c.Body = fmt.Appendf(nil, `{"slot":%d,"nonce":"%x"}`, d.rng.IntN(1000), d.rng.Uint64())
	}
	return c
}

func (d *arrivalGenerator) drawTeam() string {
	at := d.rng.Float64() * d.cumulativeWeights[len(d.cumulativeWeights)-1]
	i, _ := slices.BinarySearch(d.cumulativeWeights, at)
	return d.teams[min(i, len(d.teams)-1)]
}

func (d *arrivalGenerator) drawTokens() int {
	deviation := (2*d.rng.Float64() - 1) * d.load.Spread
	return max(1, int(math.Round(float64(d.load.Tokens)*(1+deviation))))
}

// drawPrefix draws a system message; the weight of message k is 1/k.
func (d *arrivalGenerator) drawPrefix() string {
	if d.load.Prefixes == 0 || d.load.PrefixTokens == 0 {
		return ""
	}
	sum := 0.0
	for k := 1; k <= d.load.Prefixes; k++ {
		sum += 1 / float64(k)
	}
	at, chosen := d.rng.Float64()*sum, 1
	for ; chosen < d.load.Prefixes; chosen++ {
		at -= 1 / float64(chosen)
		if at < 0 {
			break
		}
	}
	text := fmt.Sprintf("%s of %s, season %d. ", d.load.Class, d.region, chosen)
	size := d.load.PrefixTokens * bytesPerToken
	return strings.Repeat(text, 1+size/len(text))[:size]
}
