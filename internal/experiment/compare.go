package experiment

import (
	"fmt"
	"io"
)

// WriteComparison prints the figures of two results side by side, for each
// policy and part that both have.
func WriteComparison(w io.Writer, before, after *Result) {
	t := newTable(w)
	_, _ = fmt.Fprintln(t, "policy\tpart\tfigure\tbefore\tafter\tafter/before\t")
	for _, a := range before.Runs {
		for _, b := range after.Runs {
			if a.Policy.Name != b.Policy.Name {
				continue
			}
			compareRuns(t, a, b)
		}
	}
	_ = t.Flush()
}

func compareRuns(w io.Writer, a, b Run) {
	parts := map[string]Stats{b.Overall.Name: b.Overall}
	for _, f := range b.Phases {
		parts[f.Name] = f
	}
	for _, f := range a.parts() {
		other, ok := parts[f.Name]
		if !ok {
			continue
		}
		old, renewed := compared(f), compared(other)
		for i := range old {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%.2f\t%s\t\n",
				a.Policy.Name, f.Name, old[i].name, old[i].value, renewed[i].value,
				ratio(old[i].value, renewed[i].value))
		}
	}
}

type namedFigure struct {
	name  string
	value float64
}

// compared returns the figures that a comparison shows.
func compared(f Stats) []namedFigure {
	return []namedFigure{
		{"served", float64(f.Served)},
		{"refused", float64(f.Refused)},
		{"missed", float64(f.Missed)},
		{"late", float64(f.Late)},
		{"away %", 100 * f.CrossRegionShare},
		{"first token p50 ms", f.FirstToken.P50},
		{"first token p99 ms", f.FirstToken.P99},
		{"leading class of others p99 ms", f.OtherTeams.P99},
		{"whole p50 ms", f.Completion.P50},
		{"whole p99 ms", f.Completion.P99},
		{"whole p99.9 ms", f.Completion.P999},
		{"refusal p99 ms", f.Refusal.P99},
		{"goodput/s", f.Goodput},
		{"tokens in time/s", f.TokenGoodput},
		{"fairness", f.Fairness},
		{"cost", f.Cost},
		{"cost per 1000", f.CostPerThousand},
	}
}

func ratio(before, after float64) string {
	if before == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", after/before)
}
