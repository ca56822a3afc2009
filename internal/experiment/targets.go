package experiment

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/objects"
)

// Targets of the project's own policy, relative to the baselines of the same
// experiment unless noted.
const (
	targetP99Ratio          = 0.7  // of the lower p99 of the baselines
	targetMissedRatio       = 0.1  // of the fewer missed requests of the baselines
	targetCostRatio         = 0.5  // of the cross-region cost of least-load
	targetCrossRegionRatio  = 0.5  // of the cross-region share of least-load
	targetOtherTeamsRatio   = 1.1  // of the other teams' p99 without the greedy team
	targetTokenGoodputRatio = 0.9  // of the token goodput in the peak phase
	targetRefusalMs         = 50.0 // p99
	targetRecoverySeconds   = 10.0
)

// recoveryFactor is the maximum ratio between the p99 of a second and that of the
// first phase at which the system counts as recovered.
const recoveryFactor = 1.5

// target is one target with the measured value and its upper bound.
type target struct {
	experiment, name string
	measured, bound  float64
}

// WriteTargets prints each target with its measured value and whether it is met.
func WriteTargets(w io.Writer, results []*Result) {
	t := newTable(w)
	_, _ = fmt.Fprintln(t, "experiment\ttarget\tmeasured\tat most\tmet\t")
	for _, found := range evaluateTargets(results) {
		met := "yes"
		if found.measured > found.bound {
			met = "NO"
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.2f\t%.2f\t%s\t\n", found.experiment, found.name, found.measured, found.bound, met)
	}
	_ = t.Flush()
}

func evaluateTargets(results []*Result) []target {
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
		{r.Spec.Name, "p99 of " + class + " in ms", p99(own), targetP99Ratio * min(p99(home), p99(least))},
		{r.Spec.Name, "missed requests", missed(own), targetMissedRatio * min(missed(home), missed(least))},
	}
}

func costTargets(r *Result, own, least *Run) []target {
	return []target{
		{r.Spec.Name, "cross-region cost", own.Overall.CrossRegionCost, targetCostRatio * least.Overall.CrossRegionCost},
		{r.Spec.Name, "cross-region share, %", 100 * own.Overall.CrossRegionShare, 100 * targetCrossRegionRatio * least.Overall.CrossRegionShare},
		{r.Spec.Name, "missed requests", float64(own.Overall.Missed), float64(least.Overall.Missed)},
	}
}

func commonTargets(r *Result, own *Run, all []*Result) []target {
	var found []target
	if own.Overall.Refused > 0 {
		found = append(found, target{r.Spec.Name, "refusal p99 in ms", own.Overall.Refusal.P99, targetRefusalMs})
	}
	if peak, overload := own.phase("peak"), own.phase("overload"); peak != nil && overload != nil {
		found = append(found, target{
			r.Spec.Name, "token goodput lost at overload, %",
			100 * (1 - overload.TokenGoodput/peak.TokenGoodput), 100 * (1 - targetTokenGoodputRatio),
		})
	}
	if f := own.phase("healed"); f != nil {
		found = append(found, target{r.Spec.Name, "recovery in s", f.RecoverySeconds, targetRecoverySeconds})
	}
	if f, control := own.phase("greedy"), controlPhase(r, all); f != nil && control != nil {
		found = append(found, target{
			r.Spec.Name, "other teams' p99 in ms", f.OtherTeams.P99, targetOtherTeamsRatio * control.OtherTeams.P99,
		})
	}
	return found
}

// controlPhase returns the statistics of the greedy phase in the control
// experiment, which runs without the greedy team, or nil. The control of
// NAME-greedy-team is NAME-steady.
func controlPhase(r *Result, all []*Result) *Stats {
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

// phase returns the statistics of a phase, or nil if the run has no such phase.
func (r *Run) phase(name string) *Stats {
	for i := range r.Phases {
		if r.Phases[i].Name == name {
			return &r.Phases[i]
		}
	}
	return nil
}

// recoverySeconds returns the time from the start of a phase to the end of its
// last second in which the p99 of the primary class exceeded a bound in
// milliseconds.
func (m *statsBuilder) recoverySeconds(from, to time.Duration, bound float64) float64 {
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
