package experiment

import (
	"fmt"
	"io"
)

// WriteComparison prints the statistics of two results side by side, for each
// policy and phase that both have.
func WriteComparison(w io.Writer, before, after *Result) {
	t := newTable(w)
	_, _ = fmt.Fprintln(t, "policy\tphase\tfigure\tbefore\tafter\tafter/before\t")
	for _, a := range before.Runs {
		for _, b := range after.Runs {
			if a.Policy.Name != b.Policy.Name {
				continue
			}
			writeRunComparison(t, a, b)
		}
	}
	_ = t.Flush()
}

func writeRunComparison(w io.Writer, a, b Run) {
	byName := map[string]Stats{b.Overall.Name: b.Overall}
	for _, f := range b.Phases {
		byName[f.Name] = f
	}
	for _, f := range a.overallAndPhases() {
		other, ok := byName[f.Name]
		if !ok {
			continue
		}
		previous, current := comparedValues(f), comparedValues(other)
		for i := range previous {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%.2f\t%s\t\n",
				a.Policy.Name, f.Name, previous[i].name, previous[i].value, current[i].value,
				ratio(previous[i].value, current[i].value))
		}
	}
}

type namedValue struct {
	name  string
	value float64
}

// comparedValues returns the values that a comparison shows.
func comparedValues(f Stats) []namedValue {
	return []namedValue{
		{"served", float64(f.Served)},
		{"refused", float64(f.Refused)},
		{"missed", float64(f.Missed)},
		{"late", float64(f.Late)},
		{"cross-region %", 100 * f.CrossRegionShare},
		{"first token p50 ms", f.FirstToken.P50},
		{"first token p99 ms", f.FirstToken.P99},
		{"primary class, other teams, p99 ms", f.OtherTeams.P99},
		{"completion p50 ms", f.Completion.P50},
		{"completion p99 ms", f.Completion.P99},
		{"completion p99.9 ms", f.Completion.P999},
		{"refusal p99 ms", f.Refusal.P99},
		{"goodput/s", f.Goodput},
		{"token goodput/s", f.TokenGoodput},
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
