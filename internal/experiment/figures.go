package experiment

import (
	"maps"
	"math"
	"regexp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chestnutspring/chestnutspring/internal/objects"
)

// Quantiles holds quantiles of a duration, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// Stats holds the statistics of a run or of one of its phases.
type Stats struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
	Sent    int     `json:"sent"`
	Served  int     `json:"served"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	// Unanswered is the number of requests without any response.
	Unanswered int `json:"unanswered"`
	// Wrong is the number of incorrect responses.
	Wrong int `json:"wrong"`
	// Late is the number of complete responses after the deadline.
	Late int `json:"late"`
	// Missed is the sum of Late, Failed and Unanswered.
	Missed int `json:"missed"`
	// Goodput is the rate of complete responses within the deadline, in requests
	// per second.
	Goodput float64 `json:"goodput"`
	// TokenGoodput is the rate of tokens in complete responses within the
	// deadline, in tokens per second: the useful output of the engines.
	TokenGoodput float64 `json:"tokensInTime"`
	// CrossRegionShare is the share of the served requests that another region
	// than the caller's served.
	CrossRegionShare float64 `json:"shareAway"`
	// FirstToken and Completion are the times to the first token and to the
	// complete response, from the scheduled start of the request.
	FirstToken Quantiles `json:"firstToken"`
	Completion Quantiles `json:"whole"`
	// Refusal is the time to a refusal, from the scheduled start.
	Refusal Quantiles `json:"refusal"`
	// Classes and Regions hold the time to the complete response, by class and
	// by home region.
	Classes map[string]Quantiles `json:"classes"`
	Regions map[string]Quantiles `json:"regions"`
	Teams   map[string]TeamStats `json:"teams"`
	// Endings counts the requests by class and ending.
	Endings map[string]map[Ending]int `json:"endings"`
	// OtherTeams is the time to the complete response in the primary class (the
	// first of the load), without the teams in Spec.ExcludedTeams.
	OtherTeams Quantiles `json:"others"`
	// RecoverySeconds is the time from the start of a phase to the end of its
	// last second in which the p99 of the primary class was more than
	// recoveryFactor times that of the first phase.
	RecoverySeconds float64 `json:"recoverySeconds,omitempty"`
	// Fairness is the minimum, over all teams, of the served requests divided by
	// the fair share, and at most 1.
	Fairness float64 `json:"fairness"`
	// Codes counts refusals and errors by code. Errors counts the failures
	// without a code by message.
	Codes  map[string]int `json:"codes,omitempty"`
	Errors map[string]int `json:"errors,omitempty"`

	CrossRegionMegabits float64 `json:"crossingMegabits,omitempty"`
	CrossRegionCost     float64 `json:"crossingCost,omitempty"`
	EngineSeconds       float64 `json:"engineSeconds,omitempty"`
	EngineCost          float64 `json:"engineCost,omitempty"`
	Cost                float64 `json:"cost,omitempty"`
	// CostPerThousand is the cost per thousand served requests.
	CostPerThousand float64 `json:"costPerThousand,omitempty"`
}

// TeamStats holds the statistics of one team.
type TeamStats struct {
	Sent   int `json:"sent"`
	Served int `json:"served"`
	// FairShare is the team's weighted max-min fair share of all served
	// requests.
	FairShare  float64   `json:"entitled"`
	Completion Quantiles `json:"whole"`
}

// SecondStats holds the statistics of one second of a run.
type SecondStats struct {
	// At is the number of seconds since the start of the run.
	At int `json:"at"`
	// P50 and P99 are times to the complete response in milliseconds, by home
	// region.
	P50 map[string]float64 `json:"p50"`
	P99 map[string]float64 `json:"p99"`
	// Sent, Served, Refused and Missed count the requests whose scheduled start
	// is in this second.
	Sent             int     `json:"sent"`
	Served           int     `json:"served"`
	Refused          int     `json:"refused"`
	Missed           int     `json:"missed"`
	CrossRegionShare float64 `json:"shareAway"`
	// InFlight is the number of requests in flight at the end of the second.
	InFlight int `json:"inFlight"`
}

// Range of the recorded durations in microseconds, and their precision in
// significant decimal digits.
const (
	minMicros = 1
	maxMicros = 600_000_000
	sigDigits = 3
)

// histogram records durations in microseconds. Durations out of range count as
// the nearest bound.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram { return histogram{hdrhistogram.New(minMicros, maxMicros, sigDigits)} }

func (h histogram) record(d time.Duration) {
	micros := min(max(d.Microseconds(), minMicros), maxMicros)
	_ = h.h.RecordValue(micros) // within the range
}

func (h histogram) quantiles() Quantiles {
	if h.h.TotalCount() == 0 {
		return Quantiles{}
	}
	millis := func(q float64) float64 { return float64(h.h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{
		Count: h.h.TotalCount(),
		P50:   millis(50), P99: millis(99), P999: millis(99.9),
		Max: float64(h.h.Max()) / 1000,
	}
}

// statsBuilder computes the statistics of a run from its outcomes.
type statsBuilder struct {
	spec     *Spec
	set      *objects.Set
	outcomes []*Outcome
	start    time.Time
}

func newStatsBuilder(spec *Spec, set *objects.Set, outcomes []*Outcome, start time.Time) *statsBuilder {
	return &statsBuilder{spec, set, outcomes, start}
}

// overall returns the statistics of the requests after the warm-up.
func (m *statsBuilder) overall() Stats {
	return m.interval("overall", m.spec.WarmUp.AsDuration(), m.spec.Duration.AsDuration())
}

func (m *statsBuilder) phases() []Stats {
	var found []Stats
	for _, p := range m.spec.Phases {
		f := m.interval(p.Name, p.From.AsDuration(), p.To.AsDuration())
		if len(found) > 0 {
			bound := recoveryFactor * found[0].Classes[m.spec.Load[0].Class].P99
			f.RecoverySeconds = m.recoverySeconds(p.From.AsDuration(), p.To.AsDuration(), bound)
		}
		found = append(found, f)
	}
	return found
}

// interval returns the statistics of the requests whose scheduled start is in an
// interval, relative to the start of the run.
func (m *statsBuilder) interval(name string, from, to time.Duration) Stats {
	var selected []*Outcome
	for _, o := range m.outcomes {
		if at := o.Intended.Sub(m.start); at >= from && at < to {
			selected = append(selected, o)
		}
	}
	f := summarize(m.set, selected)
	f.Name, f.Seconds = name, (to - from).Seconds()
	f.OtherTeams = m.otherTeamsCompletion(selected)
	f.TokenGoodput = float64(onTimeTokens(selected)) / f.Seconds
	f.Goodput = float64(f.Served-f.Late) / f.Seconds
	return f
}

// onTimeTokens counts the tokens of complete responses within the deadline.
func onTimeTokens(outcomes []*Outcome) int {
	sum := 0
	for _, o := range outcomes {
		if o.Ending() == EndingServed && !o.late() {
			sum += o.Call.Tokens
		}
	}
	return sum
}

// otherTeamsCompletion returns the times to the complete response in the primary
// class, without the excluded teams.
func (m *statsBuilder) otherTeamsCompletion(outcomes []*Outcome) Quantiles {
	h := newHistogram()
	for _, o := range outcomes {
		primary := o.Call.Class == m.spec.Load[0].Class
		if primary && o.Ending() == EndingServed && !slices.Contains(m.spec.ExcludedTeams, o.Call.Team) {
			h.record(o.Total)
		}
	}
	return h.quantiles()
}

// late reports whether a complete response came after its deadline.
func (o *Outcome) late() bool {
	return o.Ending() == EndingServed && o.Total > o.Call.Timeout
}

// crossRegion reports whether another region than the caller's served the
// request.
func (o *Outcome) crossRegion() bool { return o.Region != "" && o.Region != o.Call.Home }

// histograms holds histograms by name.
type histograms map[string]histogram

func (g histograms) record(name string, d time.Duration) {
	h, ok := g[name]
	if !ok {
		h = newHistogram()
		g[name] = h
	}
	h.record(d)
}

func (g histograms) quantiles() map[string]Quantiles {
	found := map[string]Quantiles{}
	for name, h := range g {
		found[name] = h.quantiles()
	}
	return found
}

// addressPattern matches addresses in error messages, which would otherwise keep
// errors of one kind apart.
var addressPattern = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// summarize returns the statistics of the outcomes.
func summarize(set *objects.Set, outcomes []*Outcome) Stats {
	t := newAccumulator()
	for _, o := range outcomes {
		t.add(o)
	}
	return t.stats(set)
}

// accumulator accumulates the statistics of outcomes.
type accumulator struct {
	f                               Stats
	firstToken, completion, refusal histogram
	classes, regions, teams         histograms
	crossRegion                     int
}

func newAccumulator() *accumulator {
	return &accumulator{
		f: Stats{
			Teams: map[string]TeamStats{}, Endings: map[string]map[Ending]int{},
			Codes: map[string]int{}, Errors: map[string]int{},
		},
		firstToken: newHistogram(), completion: newHistogram(), refusal: newHistogram(),
		classes: histograms{}, regions: histograms{}, teams: histograms{},
	}
}

func (t *accumulator) add(o *Outcome) {
	f := &t.f
	f.Sent++
	if f.Endings[o.Call.Class] == nil {
		f.Endings[o.Call.Class] = map[Ending]int{}
	}
	f.Endings[o.Call.Class][o.Ending()]++
	share := f.Teams[o.Call.Team]
	share.Sent++
	switch o.Ending() {
	case EndingServed:
		f.Served++
		share.Served++
		t.addServed(o)
	case EndingRefused:
		f.Refused++
		t.refusal.record(o.Total)
	case EndingFailed:
		f.Failed++
	case EndingUnanswered:
		f.Unanswered++
	case EndingWrong:
		f.Wrong++
	}
	f.Teams[o.Call.Team] = share
	switch {
	case o.Code != "":
		f.Codes[o.Code]++
	case o.Err != "":
		f.Errors[addressPattern.ReplaceAllString(o.Err, "ADDRESS")]++
	}
}

func (t *accumulator) addServed(o *Outcome) {
	t.completion.record(o.Total)
	t.classes.record(o.Call.Class, o.Total)
	t.regions.record(o.Call.Home, o.Total)
	t.teams.record(o.Call.Team, o.Total)
	if o.Call.Stream {
		t.firstToken.record(o.FirstToken)
	}
	if o.crossRegion() {
		t.crossRegion++
	}
	if o.late() {
		t.f.Late++
	}
}

func (t *accumulator) stats(set *objects.Set) Stats {
	f := t.f
	f.Missed = f.Late + f.Failed + f.Unanswered
	f.CrossRegionShare = float64(t.crossRegion) / float64(max(1, f.Served))
	f.FirstToken, f.Completion, f.Refusal = t.firstToken.quantiles(), t.completion.quantiles(), t.refusal.quantiles()
	f.Classes, f.Regions = t.classes.quantiles(), t.regions.quantiles()
	f.setFairness(set, t.teams.quantiles())
	return f
}

// setFairness sets the fair share and latencies of each team, and the fairness.
func (f *Stats) setFairness(set *objects.Set, completion map[string]Quantiles) {
	demand, weight := map[string]float64{}, map[string]float64{}
	for name, share := range f.Teams {
		demand[name] = float64(share.Sent)
		weight[name] = teamWeight(set, name)
	}
	fairShare := maxMinShares(float64(f.Served), demand, weight)
	f.Fairness = 1
	for name, share := range f.Teams {
		share.FairShare = fairShare[name]
		share.Completion = completion[name]
		f.Teams[name] = share
		if share.FairShare > 0 {
			f.Fairness = min(f.Fairness, float64(share.Served)/share.FairShare)
		}
	}
}

// maxMinShares returns the weighted max-min fair allocation of a total, with no
// allocation above the demand.
func maxMinShares(total float64, demand, weight map[string]float64) map[string]float64 {
	allocated := map[string]float64{}
	unsatisfied := slices.Sorted(maps.Keys(demand))
	for total > 1e-9 && len(unsatisfied) > 0 {
		sum, step := 0.0, math.Inf(1)
		for _, name := range unsatisfied {
			sum += weight[name]
			step = min(step, (demand[name]-allocated[name])/weight[name])
		}
		step = min(step, total/sum)
		for _, name := range unsatisfied {
			allocated[name] += step * weight[name]
		}
		total -= step * sum
		unsatisfied = slices.DeleteFunc(unsatisfied, func(name string) bool {
			return demand[name]-allocated[name] < 1e-9
		})
	}
	return allocated
}

// timeline returns the statistics of each second.
func (m *statsBuilder) timeline() []SecondStats {
	seconds := make([]SecondStats, int(math.Ceil(m.spec.Duration.AsDuration().Seconds())))
	completion := make([]histograms, len(seconds))
	crossRegion := make([]int, len(seconds))
	for i := range seconds {
		seconds[i].At = i
		completion[i] = histograms{}
	}
	for _, o := range m.outcomes {
		at := o.Intended.Sub(m.start)
		i := int(at.Seconds())
		if i < 0 || i >= len(seconds) {
			continue
		}
		s := &seconds[i]
		s.Sent++
		switch o.Ending() {
		case EndingServed:
			s.Served++
			completion[i].record(o.Call.Home, o.Total)
			if o.crossRegion() {
				crossRegion[i]++
			}
		case EndingRefused:
			s.Refused++
		}
		if o.late() || o.Ending() == EndingFailed || o.Ending() == EndingUnanswered {
			s.Missed++
		}
		last := min(len(seconds), int((at + o.Total).Seconds()))
		for j := i; j < last; j++ {
			seconds[j].InFlight++
		}
	}
	for i := range seconds {
		s := &seconds[i]
		s.CrossRegionShare = float64(crossRegion[i]) / float64(max(1, s.Served))
		s.P50, s.P99 = map[string]float64{}, map[string]float64{}
		for region, q := range completion[i].quantiles() {
			s.P50[region], s.P99[region] = q.P50, q.P99
		}
	}
	return seconds
}
