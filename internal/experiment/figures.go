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

// Quantiles are of a duration, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// Stats are what the users measure, of a run or of a part of it.
type Stats struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
	Sent    int     `json:"sent"`
	Served  int     `json:"served"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	// Unanswered requests got no answer before their callers gave up.
	Unanswered int `json:"unanswered"`
	Wrong      int `json:"wrong"`
	// Late answers are whole ones that came after the deadline.
	Late int `json:"late"`
	// Missed is the number of late answers and of requests that came to an
	// explicit error or to no answer.
	Missed int `json:"missed"`
	// Goodput is the rate of whole answers in time, in requests a second.
	Goodput float64 `json:"goodput"`
	// TokenGoodput is the rate of generated tokens of whole answers in time,
	// in tokens a second: what of the engines' capacity did any good.
	TokenGoodput float64 `json:"tokensInTime"`
	// CrossRegionShare is the share of served requests that another region served.
	CrossRegionShare float64 `json:"shareAway"`
	// FirstToken and Whole count from the intended start of the request.
	FirstToken Quantiles `json:"firstToken"`
	Completion      Quantiles `json:"whole"`
	// Refusal is the time until a refusal.
	Refusal Quantiles `json:"refusal"`
	// Classes, Regions and Teams hold figures of whole answers.
	Classes map[string]Quantiles `json:"classes"`
	Regions map[string]Quantiles `json:"regions"`
	Teams   map[string]TeamStats `json:"teams"`
	// Endings counts how the requests of each class ended.
	Endings map[string]map[Ending]int `json:"endings"`
	// OtherTeams holds the figures of the leading class without the teams that
	// the experiment excepts.
	OtherTeams Quantiles `json:"others"`
	// RecoverySeconds is how long after the start of a phase the leading
	// class's p99 of some second was still well above the first phase's.
	RecoverySeconds float64 `json:"recoverySeconds,omitempty"`
	// Fairness is the least, over all teams, of what a team was served over
	// what it was entitled to.
	Fairness float64 `json:"fairness"`
	// Codes counts refusals and errors by their code, and Errors the other
	// reasons why there was no whole answer.
	Codes  map[string]int `json:"codes,omitempty"`
	Errors map[string]int `json:"errors,omitempty"`

	CrossRegionMegabits float64 `json:"crossingMegabits,omitempty"`
	CrossRegionCost     float64 `json:"crossingCost,omitempty"`
	EngineSeconds    float64 `json:"engineSeconds,omitempty"`
	EngineCost       float64 `json:"engineCost,omitempty"`
	Cost             float64 `json:"cost,omitempty"`
	// CostPerThousand is the cost of a thousand served requests.
	CostPerThousand float64 `json:"costPerThousand,omitempty"`
}

// TeamStats is what one team sent and got.
type TeamStats struct {
	Sent   int `json:"sent"`
	Served int `json:"served"`
	// FairShare is the team's max-min fair share, by weight, of all that was
	// served.
	FairShare float64   `json:"entitled"`
	Completion    Quantiles `json:"whole"`
}

// SecondStats is one second of a run.
type SecondStats struct {
	At int `json:"at"`
	// P50 and P99 are of whole answers, in milliseconds, by home region.
	P50 map[string]float64 `json:"p50"`
	P99 map[string]float64 `json:"p99"`
	// Counts of requests by the second in which they were sent.
	Sent      int     `json:"sent"`
	Served    int     `json:"served"`
	Refused   int     `json:"refused"`
	Missed    int     `json:"missed"`
	CrossRegionShare float64 `json:"shareAway"`
	// InFlight is the number of requests that had not ended at the end of
	// the second.
	InFlight int `json:"inFlight"`
}

// The range of recorded durations, in microseconds, and their precision.
const (
	minMicros = 1
	maxMicros = 600_000_000
	digits    = 3
)

// histogram records durations.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram { return histogram{hdrhistogram.New(minMicros, maxMicros, digits)} }

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

// figureMaker works out figures from outcomes.
type figureMaker struct {
	spec     *Spec
	set      *objects.Set
	outcomes []*Outcome
	start    time.Time
}

func newFigureMaker(spec *Spec, set *objects.Set, outcomes []*Outcome, start time.Time) *figureMaker {
	return &figureMaker{spec, set, outcomes, start}
}

// overall returns the figures of all that was sent after the warm-up.
func (m *figureMaker) overall() Stats {
	return m.between("overall", m.spec.WarmUp.D(), m.spec.Duration.D())
}

func (m *figureMaker) phases() []Stats {
	var found []Stats
	for _, p := range m.spec.Phases {
		f := m.between(p.Name, p.From.D(), p.To.D())
		if len(found) > 0 {
			bound := recoveryFactor * found[0].Classes[m.spec.Load[0].Class].P99
			f.RecoverySeconds = m.recovery(p.From.D(), p.To.D(), bound)
		}
		found = append(found, f)
	}
	return found
}

// between returns the figures of the requests that were to start in a part of
// the run.
func (m *figureMaker) between(name string, from, to time.Duration) Stats {
	var part []*Outcome
	for _, o := range m.outcomes {
		if at := o.Intended.Sub(m.start); at >= from && at < to {
			part = append(part, o)
		}
	}
	f := summarize(m.set, part)
	f.Name, f.Seconds = name, (to - from).Seconds()
	f.OtherTeams = m.others(part)
	f.TokenGoodput = float64(tokensInTime(part)) / f.Seconds
	f.Goodput = float64(f.Served-f.Late) / f.Seconds
	return f
}

// tokensInTime counts the tokens of whole answers in time.
func tokensInTime(outcomes []*Outcome) int {
	sum := 0
	for _, o := range outcomes {
		if o.Ending() == EndingServed && !o.late() {
			sum += o.Call.Tokens
		}
	}
	return sum
}

// others returns the figures of the leading class of teams that the experiment
// doesn't except.
func (m *figureMaker) others(part []*Outcome) Quantiles {
	h := newHistogram()
	for _, o := range part {
		leading := o.Call.Class == m.spec.Load[0].Class
		if leading && o.Ending() == EndingServed && !slices.Contains(m.spec.ExcludedTeams, o.Call.Team) {
			h.record(o.Total)
		}
	}
	return h.quantiles()
}

// late reports whether a whole answer came after its deadline.
func (o *Outcome) late() bool {
	return o.Ending() == EndingServed && o.Total > o.Call.Timeout
}

// away reports whether another region than the caller's served.
func (o *Outcome) away() bool { return o.Region != "" && o.Region != o.Call.Home }

// group is a set of histograms by name.
type group map[string]histogram

func (g group) record(name string, d time.Duration) {
	h, ok := g[name]
	if !ok {
		h = newHistogram()
		g[name] = h
	}
	h.record(d)
}

func (g group) quantiles() map[string]Quantiles {
	found := map[string]Quantiles{}
	for name, h := range g {
		found[name] = h.quantiles()
	}
	return found
}

// addressPattern matches what differs between errors of one kind.
var addressPattern = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// summarize returns the figures of some outcomes.
func summarize(set *objects.Set, outcomes []*Outcome) Stats {
	t := newTally()
	for _, o := range outcomes {
		t.add(o)
	}
	return t.figures(set)
}

// tally collects outcomes.
type tally struct {
	f                       Stats
	first, whole, refusal   histogram
	classes, regions, teams group
	away                    int
}

func newTally() *tally {
	return &tally{
		f: Stats{
			Teams: map[string]TeamStats{}, Endings: map[string]map[Ending]int{},
			Codes: map[string]int{}, Errors: map[string]int{},
		},
		first: newHistogram(), whole: newHistogram(), refusal: newHistogram(),
		classes: group{}, regions: group{}, teams: group{},
	}
}

func (t *tally) add(o *Outcome) {
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

func (t *tally) addServed(o *Outcome) {
	t.whole.record(o.Total)
	t.classes.record(o.Call.Class, o.Total)
	t.regions.record(o.Call.Home, o.Total)
	t.teams.record(o.Call.Team, o.Total)
	if o.Call.Stream {
		t.first.record(o.FirstToken)
	}
	if o.away() {
		t.away++
	}
	if o.late() {
		t.f.Late++
	}
}

func (t *tally) figures(set *objects.Set) Stats {
	f := t.f
	f.Missed = f.Late + f.Failed + f.Unanswered
	f.CrossRegionShare = float64(t.away) / float64(max(1, f.Served))
	f.FirstToken, f.Completion, f.Refusal = t.first.quantiles(), t.whole.quantiles(), t.refusal.quantiles()
	f.Classes, f.Regions = t.classes.quantiles(), t.regions.quantiles()
	f.entitle(set, t.teams.quantiles())
	return f
}

// entitle works out each team's entitlement and the fairness.
func (f *Stats) entitle(set *objects.Set, whole map[string]Quantiles) {
	demand, weight := map[string]float64{}, map[string]float64{}
	for name, share := range f.Teams {
		demand[name] = float64(share.Sent)
		weight[name] = weightOf(set, name)
	}
	entitled := maxMin(float64(f.Served), demand, weight)
	f.Fairness = 1
	for name, share := range f.Teams {
		share.FairShare = entitled[name]
		share.Completion = whole[name]
		f.Teams[name] = share
		if share.FairShare > 0 {
			f.Fairness = min(f.Fairness, float64(share.Served)/share.FairShare)
		}
	}
}

// maxMin shares out a total in proportion to weights, but gives nobody more
// than the demand.
func maxMin(total float64, demand, weight map[string]float64) map[string]float64 {
	given := map[string]float64{}
	open := slices.Sorted(maps.Keys(demand))
	for total > 1e-9 && len(open) > 0 {
		sum, step := 0.0, math.Inf(1)
		for _, name := range open {
			sum += weight[name]
			step = min(step, (demand[name]-given[name])/weight[name])
		}
		step = min(step, total/sum)
		for _, name := range open {
			given[name] += step * weight[name]
		}
		total -= step * sum
		open = slices.DeleteFunc(open, func(name string) bool {
			return demand[name]-given[name] < 1e-9
		})
	}
	return given
}

// timeline returns the figures of each second.
func (m *figureMaker) timeline() []SecondStats {
	seconds := make([]SecondStats, int(math.Ceil(m.spec.Duration.D().Seconds())))
	whole := make([]group, len(seconds))
	away := make([]int, len(seconds))
	for i := range seconds {
		seconds[i].At = i
		whole[i] = group{}
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
			whole[i].record(o.Call.Home, o.Total)
			if o.away() {
				away[i]++
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
		s.CrossRegionShare = float64(away[i]) / float64(max(1, s.Served))
		s.P50, s.P99 = map[string]float64{}, map[string]float64{}
		for region, q := range whole[i].quantiles() {
			s.P50[region], s.P99[region] = q.P50, q.P99
		}
	}
	return seconds
}
