package experiment

import (
	"fmt"
	"io"

	"github.com/chestnutspring/chestnutspring/internal/objects"
)

// WriteSummary prints a table that compares the project's own policy with the
// baselines, with one line for each result and each of its phases. Results that
// lack one of the three policies are left out.
func WriteSummary(w io.Writer, results []*Result) {
	t := newTable(w)
	_, _ = fmt.Fprintln(t, "experiment\tphase\tp99 own\thome\tleast\town/better baseline\tother teams p99 own\tmissed own\thome\tleast\tcross-region % own\tleast\tcross-region cost own\tleast\tcost own\thome\tleast\tgoodput own\thome\tleast\tfairness own\thome\tleast\tviolations\t")
	for _, r := range results {
		own, home, least := r.byAlgorithm(objects.AlgorithmExpectedCompletion),
			r.byAlgorithm(objects.AlgorithmHomeRoundRobin), r.byAlgorithm(objects.AlgorithmLeastLoad)
		if own == nil || home == nil || least == nil {
			continue
		}
		class := r.Spec.Load[0].Class
		for i := range own.overallAndPhases() {
			writeSummaryLine(t, r, class, own.overallAndPhases()[i], home.overallAndPhases()[i], least.overallAndPhases()[i])
		}
	}
	_ = t.Flush()
}

// byAlgorithm returns the first run whose policy has the algorithm, or nil.
func (r *Result) byAlgorithm(algorithm string) *Run {
	for i := range r.Runs {
		if r.Runs[i].Policy.Algorithm == algorithm {
			return &r.Runs[i]
		}
	}
	return nil
}

// overallAndPhases returns the statistics of the whole run, then of its phases.
func (r *Run) overallAndPhases() []Stats { return append([]Stats{r.Overall}, r.Phases...) }

func writeSummaryLine(w io.Writer, r *Result, class string, own, home, least Stats) {
	violations := 0
	for _, run := range r.Runs {
		violations += len(run.Violations)
	}
	p99 := func(f Stats) float64 { return f.Classes[class].P99 }
	betterBaseline := min(p99(home), p99(least))
	_, _ = fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%.0f\t%s\t%.0f\t%d\t%d\t%d\t%.1f\t%.1f\t%.3f\t%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%d\t\n",
		r.Spec.Name, own.Name, p99(own), p99(home), p99(least), ratio(betterBaseline, p99(own)), own.OtherTeams.P99,
		own.Missed, home.Missed, least.Missed, 100*own.CrossRegionShare, 100*least.CrossRegionShare,
		own.CrossRegionCost, least.CrossRegionCost, own.Cost, home.Cost, least.Cost,
		own.Goodput, home.Goodput, least.Goodput, own.Fairness, home.Fairness, least.Fairness, violations)
}
