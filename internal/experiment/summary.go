package experiment

import (
	"fmt"
	"io"

	"github.com/chestnutspring/chestnutspring/internal/objects"
)

// WriteSummary prints one line for each result: the project's own policy
// against the baselines of the same run.
func WriteSummary(w io.Writer, results []*Result) {
	t := newTable(w)
	_, _ = fmt.Fprintln(t, "experiment\tpart\tp99 own\thome\tleast\town/better\tothers p99 own\tmissed own\thome\tleast\taway % own\tleast\tcrossing cost own\tleast\tcost own\thome\tleast\tgoodput own\thome\tleast\tfairness own\thome\tleast\tbroken\t")
	for _, r := range results {
		own, home, least := r.byAlgorithm(objects.AlgorithmExpectedCompletion),
			r.byAlgorithm(objects.AlgorithmHomeRoundRobin), r.byAlgorithm(objects.AlgorithmLeastLoad)
		if own == nil || home == nil || least == nil {
			continue
		}
		class := r.Spec.Load[0].Class
		for i := range own.parts() {
			writeSummaryLine(t, r, class, own.parts()[i], home.parts()[i], least.parts()[i])
		}
	}
	_ = t.Flush()
}

// byAlgorithm returns the first run whose policy has the algorithm.
func (r *Result) byAlgorithm(algorithm string) *Run {
	for i := range r.Runs {
		if r.Runs[i].Policy.Algorithm == algorithm {
			return &r.Runs[i]
		}
	}
	return nil
}

// parts returns the figures of the whole run and of its phases.
func (r *Run) parts() []Stats { return append([]Stats{r.Overall}, r.Phases...) }

func writeSummaryLine(w io.Writer, r *Result, class string, own, home, least Stats) {
	broken := 0
	for _, run := range r.Runs {
		broken += len(run.Violations)
	}
	p99 := func(f Stats) float64 { return f.Classes[class].P99 }
	better := min(p99(home), p99(least))
	_, _ = fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%.0f\t%s\t%.0f\t%d\t%d\t%d\t%.1f\t%.1f\t%.3f\t%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%d\t\n",
		r.Spec.Name, own.Name, p99(own), p99(home), p99(least), ratio(better, p99(own)), own.OtherTeams.P99,
		own.Missed, home.Missed, least.Missed, 100*own.CrossRegionShare, 100*least.CrossRegionShare,
		own.CrossRegionCost, least.CrossRegionCost, own.Cost, home.Cost, least.Cost,
		own.Goodput, home.Goodput, least.Goodput, own.Fairness, home.Fairness, least.Fairness, broken)
}
