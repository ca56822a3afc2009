// Package report writes the results of an experiment as one HTML page with
// plots.
package report

import (
	"bytes"
	"html/template"
	"image/color"
	"maps"
	"slices"

	"github.com/joomcode/errorx"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/chestnutspring/chestnutspring/internal/experiment"
)

// ErrPlot says that a plot can't be drawn.
var ErrPlot = errorx.NewNamespace("report").NewType("plot")

// The size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// colors are told apart also by those who don't see all colors.
var colors = []color.Color{
	color.RGBA{R: 0xd5, G: 0x5e, A: 0xff},
	color.RGBA{G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{G: 0x9e, B: 0x73, A: 0xff},
	color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, A: 0xff},
}

// line is one named line of a plot.
type line struct {
	name   string
	points plotter.XYs
}

// render draws lines over the time of a run as an SVG image.
func render(title, unit string, lines []line) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "s"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	for i, l := range lines {
		if len(l.points) == 0 {
			continue
		}
		drawn, err := plotter.NewLine(l.points)
		if err != nil {
			return "", ErrPlot.Wrap(err, "%s", title)
		}
		drawn.Color = colors[i%len(colors)]
		drawn.Width = vg.Points(1.5)
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", ErrPlot.Wrap(err, "%s", title)
	}
	return withoutProlog(b.Bytes()), nil
}

// withoutProlog returns the svg element alone.
func withoutProlog(svg []byte) template.HTML {
	at := bytes.Index(svg, []byte("<svg"))
	return template.HTML(svg[max(0, at):]) // drawn here, from numbers and names
}

// perPolicy returns a line for each policy.
func perPolicy(r *experiment.Result, value func(experiment.SecondStats) (float64, bool)) []line {
	var lines []line
	for _, run := range r.Runs {
		l := line{name: run.Policy.Name}
		for _, s := range run.Timeline {
			if y, ok := value(s); ok {
				l.points = append(l.points, plotter.XY{X: float64(s.At), Y: y})
			}
		}
		lines = append(lines, l)
	}
	return lines
}

// perRegion returns a line for each region of a run.
func perRegion(run *experiment.Run) []line {
	byRegion := map[string]plotter.XYs{}
	for _, s := range run.Timeline {
		for region, y := range s.P99 {
			byRegion[region] = append(byRegion[region], plotter.XY{X: float64(s.At), Y: y})
		}
	}
	var lines []line
	for _, region := range slices.Sorted(maps.Keys(byRegion)) {
		lines = append(lines, line{region, byRegion[region]})
	}
	return lines
}

// plots draws all plots of a result.
func plots(r *experiment.Result) ([]template.HTML, error) {
	count := func(n func(experiment.SecondStats) int) func(experiment.SecondStats) (float64, bool) {
		return func(s experiment.SecondStats) (float64, bool) { return float64(n(s)), true }
	}
	type spec struct {
		title, unit string
		lines       []line
	}
	specs := []spec{
		{"Requests sent", "1/s", perPolicy(r, count(func(s experiment.SecondStats) int { return s.Sent }))[:1]},
		{"Whole answers, p99 of the worst region", "ms", perPolicy(r, worstP99)},
		{"Served by another region", "%", perPolicy(r, func(s experiment.SecondStats) (float64, bool) {
			return 100 * s.CrossRegionShare, s.Served > 0
		})},
		{"In flight", "requests", perPolicy(r, count(func(s experiment.SecondStats) int { return s.InFlight }))},
		{"Refused", "1/s", perPolicy(r, count(func(s experiment.SecondStats) int { return s.Refused }))},
		{"Late, failed or unanswered", "1/s", perPolicy(r, count(func(s experiment.SecondStats) int { return s.Missed }))},
	}
	for i := range r.Runs {
		run := &r.Runs[i]
		specs = append(specs, spec{"Whole answers, p99 by home region: " + run.Policy.Name, "ms", perRegion(run)})
	}
	var drawn []template.HTML
	for _, s := range specs {
		svg, err := render(s.title, s.unit, s.lines)
		if err != nil {
			return nil, err
		}
		drawn = append(drawn, svg)
	}
	return drawn, nil
}

func worstP99(s experiment.SecondStats) (float64, bool) {
	worst := 0.0
	for _, y := range s.P99 {
		worst = max(worst, y)
	}
	return worst, len(s.P99) > 0
}
