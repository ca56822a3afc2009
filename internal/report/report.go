package report

import (
	"html/template"
	"io"
	"strings"

	"github.com/chestnutspring/chestnutspring/internal/experiment"
)

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>{{.Result.Spec.Name}}</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 100em; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { border: 1px solid #ccc; padding: 0.2em 0.6em; text-align: right; }
td:first-child, td:nth-child(2) { text-align: left; }
.broken { color: #b00; font-weight: bold; }
.plots svg { margin: 0.5em; }
</style>
</head>
<body>
<h1>{{.Result.Spec.Name}}</h1>
<p>{{.Result.Spec.Question}}</p>
<p>Deployment {{.Result.Spec.Deployment}}, seed {{.Result.Spec.Seed}}, started {{.Result.Started}}, {{.Result.Go}}, {{.Result.CPUs}} processors, load average {{printf "%.1f" .Result.LoadBefore}} to {{printf "%.1f" .Result.LoadAfter}}.
Durations are in milliseconds from the scheduled start of each request.</p>
<table>
<tr><th>policy</th><th>phase</th><th>sent</th><th>served</th><th>refused</th><th>late</th><th>missed</th><th>goodput/s</th>
<th>cross-region %</th><th>first token p50</th><th>first token p99</th><th>first token p99.9</th><th>completion p50</th><th>completion p99</th><th>completion p99.9</th>
<th>refusal p99</th><th>fairness</th><th>cross-region megabits</th><th>engine seconds</th><th>cost</th><th>cost per 1000</th></tr>
{{range .Rows}}<tr><td>{{.Policy}}</td><td>{{.F.Name}}</td><td>{{.F.Sent}}</td><td>{{.F.Served}}</td><td>{{.F.Refused}}</td><td>{{.F.Late}}</td><td>{{.F.Missed}}</td><td>{{printf "%.1f" .F.Goodput}}</td>
<td>{{printf "%.1f" .CrossRegionPercent}}</td><td>{{printf "%.0f" .F.FirstToken.P50}}</td><td>{{printf "%.0f" .F.FirstToken.P99}}</td><td>{{printf "%.0f" .F.FirstToken.P999}}</td><td>{{printf "%.0f" .F.Completion.P50}}</td><td>{{printf "%.0f" .F.Completion.P99}}</td><td>{{printf "%.0f" .F.Completion.P999}}</td>
<td>{{printf "%.0f" .F.Refusal.P99}}</td><td>{{printf "%.2f" .F.Fairness}}</td><td>{{printf "%.2f" .F.CrossRegionMegabits}}</td><td>{{printf "%.1f" .F.EngineSeconds}}</td><td>{{printf "%.2f" .F.Cost}}</td><td>{{printf "%.2f" .F.CostPerThousand}}</td></tr>
{{end}}</table>
<h2>Classes</h2>
<pre>{{.Classes}}</pre>
<h2>Guarantees</h2>
{{range .Result.Runs}}<p>{{.Policy.Name}}: {{if .Violations}}<span class="broken">{{len .Violations}} broken</span>{{else}}none broken{{end}}</p>
<ul>{{range .Violations}}<li>{{.Guarantee}}: {{.Detail}}</li>{{end}}</ul>
{{end}}
<h2>Over time</h2>
<div class="plots">{{range .Plots}}{{.}}{{end}}</div>
</body>
</html>
`))

// row is one line of the table.
type row struct {
	Policy             string
	F                  experiment.Stats
	CrossRegionPercent float64
}

// Write writes the HTML page of a result.
func Write(w io.Writer, r *experiment.Result) error {
	drawn, err := renderPlots(r)
	if err != nil {
		return err
	}
	var rows []row
	for _, run := range r.Runs {
		for _, f := range append([]experiment.Stats{run.Overall}, run.Phases...) {
			rows = append(rows, row{run.Policy.Name, f, 100 * f.CrossRegionShare})
		}
	}
	var classes strings.Builder
	r.WriteClassTable(&classes)
	return page.Execute(w, struct {
		Result  *experiment.Result
		Rows    []row
		Classes string
		Plots   []template.HTML
	}{r, rows, classes.String(), drawn})
}
