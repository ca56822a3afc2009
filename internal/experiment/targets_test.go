package experiment

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/objects"
)

func testRun(algorithm string, p99 float64, missed int, phases ...Stats) Run {
	return Run{
		Policy:  Variant{Name: algorithm, Algorithm: algorithm},
		Overall: Stats{Missed: missed, Classes: map[string]Quantiles{"verdict": {P99: p99}}},
		Phases:  phases,
	}
}

func TestTargetsUseBetterBaselineAndControl(t *testing.T) {
	is := is.New(t)
	result := func(name string, own float64) *Result {
		spec := testSpec()
		spec.Name = name
		return &Result{Spec: spec, Runs: []Run{
			testRun(objects.AlgorithmHomeRoundRobin, 1000, 20),
			testRun(objects.AlgorithmLeastLoad, 800, 50),
			testRun(objects.AlgorithmExpectedCompletion, 700, 1, Stats{Name: "greedy", OtherTeams: Quantiles{P99: own}}),
		}}
	}
	found := evaluateTargets([]*Result{result("kite-greedy-team", 110), result("kite-steady", 100)})
	is.Equal(len(found), 3)
	is.Equal(found[0].bound, 0.7*800)
	is.Equal(found[1].bound, 0.1*20)
	is.Equal(found[2].measured, 110.0)
	is.True(found[2].bound-1.1*100 < 1e-9)
}

func TestRecoveryEndsWithLastSlowSecond(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	var outcomes []*Outcome
	for i, total := range []time.Duration{900, 100, 900, 100, 100} {
		o := served("gulls", "jeju", total*time.Millisecond)
		o.Call.Class = "verdict"
		o.Intended = start.Add(10*time.Second + time.Duration(i)*time.Second)
		outcomes = append(outcomes, o)
	}
	m := newStatsBuilder(testSpec(), testSet(), outcomes, start)
	is.Equal(m.recoverySeconds(10*time.Second, 20*time.Second, 500), 3.0)
	is.Equal(m.recoverySeconds(13*time.Second, 20*time.Second, 500), 0.0)
}
