package experiment

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// newTable returns a writer of aligned columns.
func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
}

// WriteTable prints the statistics of all runs, with one line for each policy
// and phase. The primary class, which is the first of the load, has columns of
// its own.
func (r *Result) WriteTable(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s (%s, seed %d, load average %.1f to %.1f on %d processors)\n",
		r.Spec.Name, r.Spec.Deployment, r.Spec.Seed, r.LoadBefore, r.LoadAfter, r.CPUs)
	t := newTable(w)
	primary := r.Spec.Load[0].Class
	_, _ = fmt.Fprintln(t, "policy\tphase\tsent\tserved\trefused\tmissed\tlate\tcross-region %\tfirst token p50\tp99\t"+primary+" p50\tp99\tp99.9\tcompletion p50\tp99\tp99.9\trefusal p99\tgoodput/s\tfairness\tcross-region cost\tcost\tviolations\t")
	for _, run := range r.Runs {
		for _, f := range run.overallAndPhases() {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.2f\t%.2f\t%.2f\t%d\t\n",
				run.Policy.Name, f.Name, f.Sent, f.Served, f.Refused, f.Missed, f.Late,
				100*f.CrossRegionShare, f.FirstToken.P50, f.FirstToken.P99,
				f.Classes[primary].P50, f.Classes[primary].P99, f.Classes[primary].P999,
				f.Completion.P50, f.Completion.P99, f.Completion.P999, f.Refusal.P99,
				f.Goodput, f.Fairness, f.CrossRegionCost, f.Cost, len(run.Violations))
		}
	}
	_ = t.Flush()
}

// WriteClassTable prints how the requests of each class ended.
func (r *Result) WriteClassTable(w io.Writer) {
	t := newTable(w)
	_, _ = fmt.Fprintln(t, "policy\tphase\tclass\tserved\trefused\tfailed\tunanswered\twrong\tp50\tp99\t")
	for _, run := range r.Runs {
		for _, f := range run.overallAndPhases() {
			for _, class := range slices.Sorted(maps.Keys(f.Endings)) {
				n, q := f.Endings[class], f.Classes[class]
				_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t\n",
					run.Policy.Name, f.Name, class, n[EndingServed], n[EndingRefused],
					n[EndingFailed], n[EndingUnanswered], n[EndingWrong], q.P50, q.P99)
			}
		}
	}
	_ = t.Flush()
}

// maxListed bounds the violations and the failed requests that are printed.
const maxListed = 20

// WriteViolations prints the violations of guarantees.
func (r *Run) WriteViolations(w io.Writer) {
	for i, v := range r.Violations {
		if i == maxListed {
			_, _ = fmt.Fprintf(w, "... and %d more\n", len(r.Violations)-maxListed)
			return
		}
		_, _ = fmt.Fprintf(w, "guarantee violated: %s: %s\n", v.Guarantee, v.Detail)
	}
}

// regionRow counts how the requests of one region's callers ended.
type regionRow struct {
	sent, served, crossRegion int
	endings                   map[Ending]int
	verdicts                  map[verdict.Verdict]int
	completion                histogram
}

// WriteRegionTable prints how the requests of each region's callers ended.
func WriteRegionTable(w io.Writer, outcomes []*Outcome) {
	lines := map[string]*regionRow{}
	for _, o := range outcomes {
		l := lines[o.Call.Home]
		if l == nil {
			l = &regionRow{endings: map[Ending]int{}, verdicts: map[verdict.Verdict]int{}, completion: newHistogram()}
			lines[o.Call.Home] = l
		}
		l.add(o)
	}
	t := newTable(w)
	_, _ = fmt.Fprintln(t, "region\tsent\tserved\tcross-region\tp50 ms\tp99 ms\tran\tnot run\tmay have run\twrong\trefused or failed\t")
	for _, region := range slices.Sorted(maps.Keys(lines)) {
		l := lines[region]
		q := l.completion.quantiles()
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t\n",
			region, l.sent, l.served, l.crossRegion, q.P50, q.P99,
			l.verdicts[verdict.Ran], l.verdicts[verdict.NotRun], l.verdicts[verdict.MayHaveRun],
			l.endings[EndingWrong], l.sent-l.served-l.endings[EndingWrong])
	}
	_ = t.Flush()
}

func (l *regionRow) add(o *Outcome) {
	l.sent++
	l.endings[o.Ending()]++
	l.verdicts[o.Verdict]++
	if o.Ending() != EndingServed {
		return
	}
	l.served++
	l.completion.record(o.Total)
	if o.crossRegion() {
		l.crossRegion++
	}
}

// WriteFailures prints the requests that weren't served.
func WriteFailures(w io.Writer, outcomes []*Outcome) {
	listed := 0
	for _, o := range outcomes {
		if o.Ending() == EndingServed {
			continue
		}
		if listed++; listed > maxListed {
			return
		}
		_, _ = fmt.Fprintf(w, "%s: %s from %s (%s): status %d, %s %s %s\n",
			o.Ending(), o.Call.Class, o.Call.Home, o.Call.Team, o.Status, o.Verdict, o.Err, o.Wrong)
	}
}
