package experiment

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/objects"
)

// Targets of the project's own policy against the baselines of the same run.
const (
	targetTailRatio    = 0.7  // of the better baseline's p99
	targetMissedRatio  = 0.1  // of the better baseline's missed requests
	targetCostRatio    = 0.5  // of least load's cost of crossing
	targetAwayRatio    = 0.5  // of least load's share sent away
	targetOthersRatio  = 1.1  // of others' p99 without the greedy team
	targetGoodputRatio = 0.9  // of the tokens in time at the peak
	targetRefusal      = 50.0 // milliseconds
	targetRecovery     = 10.0 // seconds
)

// recoveryFactor is how far above the first phase's p99 a second's p99 may be
// for the system to have recovered.
const recoveryFactor = 1.5

// target is one target and what was measured.
type target struct {
	experiment, name string
	measured, bound  float64
}

// WriteTargets prints each target, what was measured and whether it is met.
func WriteTargets(w io.Writer, results []*Result) {
	t := newTable(w)
	_, _ = fmt.Fprintln(t, "experiment\ttarget\tmeasured\tat most\tmet\t")
	for _, found := range targetsOf(results) {
		met := "yes"
		if found.measured > found.bound {
			met = "NO"
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.2f\t%.2f\t%s\t\n", found.experiment, found.name, found.measured, found.bound, met)
	}
	_ = t.Flush()
}

func targetsOf(results []*Result) []target {
	var found []target
	for _, r := range results {
		own, home, least := r.byAlgorithm(objects.AlgorithmExpectedCompletion),
			r.byAlgorithm(objects.AlgorithmHomeRoundRobin), r.byAlgorithm(objects.AlgorithmLeastLoad)
		if own == nil || home == nil || least == nil {
			continue
		}
		if strings.HasPrefix(r.Spec.Name, "kite-") && !strings.HasSuffix(r.Spec.Name, "-steady") {
			found = append(found, tailTargets(r, own, home, least)...)
		}
		if strings.HasPrefix(r.Spec.Name, "co-operative-") {
			found = append(found, costTargets(r, own, least)...)
		}
		found = append(found, commonTargets(r, own, results)...)
	}
	return found
}

func tailTargets(r *Result, own, home, least *Run) []target {
	class := r.Spec.Load[0].Class
	p99 := func(run *Run) float64 { return run.Overall.Classes[class].P99 }
	missed := func(run *Run) float64 { return float64(run.Overall.Missed) }
	return []target{
		{r.Spec.Name, "p99 of " + class + " in ms", p99(own), targetTailRatio * min(p99(home), p99(least))},
		{r.Spec.Name, "missed requests", missed(own), targetMissedRatio * min(missed(home), missed(least))},
	}
}

func costTargets(r *Result, own, least *Run) []target {
	return []target{
		{r.Spec.Name, "cost of crossing", own.Overall.CrossRegionCost, targetCostRatio * least.Overall.CrossRegionCost},
		{r.Spec.Name, "share sent away, %", 100 * own.Overall.CrossRegionShare, 100 * targetAwayRatio * least.Overall.CrossRegionShare},
		{r.Spec.Name, "missed requests", float64(own.Overall.Missed), float64(least.Overall.Missed)},
	}
}

func commonTargets(r *Result, own *Run, all []*Result) []target {
	var found []target
	if own.Overall.Refused > 0 {
		found = append(found, target{r.Spec.Name, "refusal p99 in ms", own.Overall.Refusal.P99, targetRefusal})
	}
	if peak, overload := own.phase("peak"), own.phase("overload"); peak != nil && overload != nil {
		found = append(found, target{
			r.Spec.Name, "loss of tokens in time at overload, %",
			100 * (1 - overload.TokenGoodput/peak.TokenGoodput), 100 * (1 - targetGoodputRatio),
		})
	}
	if f := own.phase("healed"); f != nil {
		found = append(found, target{r.Spec.Name, "recovery in s", f.RecoverySeconds, targetRecovery})
	}
	if f, control := own.phase("greedy"), controlOf(r, all); f != nil && control != nil {
		found = append(found, target{
			r.Spec.Name, "others' p99 in ms", f.OtherTeams.P99, targetOthersRatio * control.OtherTeams.P99,
		})
	}
	return found
}

// controlOf returns the greedy phase of the experiment without the greedy team.
func controlOf(r *Result, all []*Result) *Stats {
	deployment, greedy := strings.CutSuffix(r.Spec.Name, "-greedy-team")
	for _, other := range all {
		if !greedy || other.Spec.Name != deployment+"-steady" {
			continue
		}
		if own := other.byAlgorithm(objects.AlgorithmExpectedCompletion); own != nil {
			return own.phase("greedy")
		}
	}
	return nil
}

// phase returns the figures of a phase, or nil.
func (r *Run) phase(name string) *Stats {
	for i := range r.Phases {
		if r.Phases[i].Name == name {
			return &r.Phases[i]
		}
	}
	return nil
}

// recovery returns how long after the start of a phase the leading class's p99
// of some second was still above a bound, in seconds.
func (m *figureMaker) recovery(from, to time.Duration, bound float64) float64 {
	perSecond := map[int]histogram{}
	for _, o := range m.outcomes {
		at := o.Intended.Sub(m.start)
		if at < from || at >= to || o.Ending() != EndingServed || o.Call.Class != m.spec.Load[0].Class {
			continue
		}
		second := int((at - from).Seconds())
		if _, ok := perSecond[second]; !ok {
			perSecond[second] = newHistogram()
		}
		perSecond[second].record(o.Total)
	}
	recovered := 0
	for second, h := range perSecond {
		if h.quantiles().P99 > bound {
			recovered = max(recovered, second+1)
		}
	}
	return float64(recovered)
}
