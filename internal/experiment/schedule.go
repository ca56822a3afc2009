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

// Arrival is a request and the time at which it is to be sent.
type Arrival struct {
	At   time.Duration
	Call *Call
}

// bytesPerToken is the usual size of a token in a prompt.
const bytesPerToken = 4

// Schedule draws the arrivals of an experiment, in order of time. The same
// seed gives the same arrivals, and a class doesn't change another's.
func Schedule(spec *Spec, set *objects.Set) []Arrival {
	var all []Arrival
	for i := range spec.Load {
		load := &spec.Load[i]
		for _, region := range slices.Sorted(maps.Keys(load.PerSecond)) {
			d := newDrawer(spec, set, load, region)
			all = append(all, d.draw(spec.Duration.D())...)
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	return all
}

// drawer draws the arrivals of one class in one region.
type drawer struct {
	rng    *rand.Rand
	load   *RequestClass
	region string
	points []ProfilePoint
	teams  []string
	shares []float64 // cumulative
}

func newDrawer(spec *Spec, set *objects.Set, load *RequestClass, region string) *drawer {
	h := fnv.New64a()
	_, _ = h.Write([]byte(load.Class + "/" + region))
	d := &drawer{
		rng:  rand.New(rand.NewPCG(spec.Seed, h.Sum64())),
		load: load, region: region,
	}
	if !load.Flat {
		d.points = spec.Profile[region]
	}
	d.teams = load.Teams
	if len(d.teams) == 0 {
		d.teams = teamsOf(set, region)
	}
	sum := 0.0
	for _, name := range d.teams {
		sum += weightOf(set, name)
		d.shares = append(d.shares, sum)
	}
	return d
}

// teamsOf returns the teams whose home is the region, by name.
func teamsOf(set *objects.Set, region string) []string {
	var found []string
	for _, name := range slices.Sorted(maps.Keys(set.Teams)) {
		if set.Teams[name].Spec.Home == region {
			found = append(found, name)
		}
	}
	return found
}

// weightOf returns a team's weight in the fair queue.
func weightOf(set *objects.Set, team string) float64 {
	t := set.Teams[team]
	if t == nil || t.Spec.Weight == 0 {
		return 1
	}
	return t.Spec.Weight
}

// draw draws a Poisson process of varying rate by thinning one of the largest
// rate.
func (d *drawer) draw(duration time.Duration) []Arrival {
	peak := d.load.PerSecond[d.region] * max(1, largest(d.points))
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
		call := d.call(len(found))
		if keep {
			found = append(found, Arrival{At: now, Call: call})
		}
	}
}

// largest returns the largest factor.
func largest(points []ProfilePoint) float64 {
	factor := 0.0
	for _, p := range points {
		factor = max(factor, p.Factor)
	}
	return factor
}

// rateAt returns the rate at an instant, in requests a second.
func (d *drawer) rateAt(at time.Duration) float64 {
	l := d.load
	if at < l.From.D() || (l.To > 0 && at >= l.To.D()) {
		return 0
	}
	return l.PerSecond[d.region] * factorAt(d.points, at)
}

// factorAt returns the factor at an instant.
func factorAt(points []ProfilePoint, at time.Duration) float64 {
	factor := 1.0
	for i, p := range points {
		if p.At.D() > at {
			break
		}
		factor = p.Factor
		if p.Ramp && i+1 < len(points) {
			next := points[i+1]
			part := float64(at-p.At.D()) / float64(next.At-p.At)
			factor += (next.Factor - p.Factor) * min(1, part)
		}
	}
	return factor
}

func (d *drawer) call(n int) *Call {
	l := d.load
	c := &Call{
		Kind: l.Kind, Class: l.Class, Target: l.Target, Home: d.region,
		Team: d.team(), Stream: l.Stream, Path: l.Path,
		Timeout: l.Timeout.D(), Priority: l.Priority,
	}
	switch l.Kind {
	case KindChat:
		c.Prompt = fmt.Sprintf("%s %s %d %x", l.Class, d.region, n, d.rng.Uint64())
		c.Tokens = d.tokens()
		c.Prefix = d.prefix()
	case KindBooking:
		c.Body = fmt.Appendf(nil, `{"slot":%d,"nonce":"%x"}`, d.rng.IntN(1000), d.rng.Uint64())
	}
	return c
}

func (d *drawer) team() string {
	at := d.rng.Float64() * d.shares[len(d.shares)-1]
	i, _ := slices.BinarySearch(d.shares, at)
	return d.teams[min(i, len(d.teams)-1)]
}

func (d *drawer) tokens() int {
	deviation := (2*d.rng.Float64() - 1) * d.load.Spread
	return max(1, int(math.Round(float64(d.load.Tokens)*(1+deviation))))
}

// prefix draws a leading message; message k is drawn in proportion to 1/k.
func (d *drawer) prefix() string {
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
