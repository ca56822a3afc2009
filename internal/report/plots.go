// Package report writes the results of an experiment as an HTML page with plots.
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

// ErrPlot means that a plot can't be rendered.
var ErrPlot = errorx.NewNamespace("report").NewType("plot")

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// colors is a palette that color-blind readers can distinguish too.
var colors = []color.Color{
	color.RGBA{R: 0xd5, G: 0x5e, A: 0xff},
	color.RGBA{G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{G: 0x9e, B: 0x73, A: 0xff},
	color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, A: 0xff},
}

// series is a named sequence of points, drawn as one line of a plot.
type series struct {
	name   string
	points plotter.XYs
}

// renderPlot renders series over the time of a run, in seconds, as an SVG image.
func renderPlot(title, unit string, lines []series) (template.HTML, error) {
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
	return stripProlog(b.Bytes()), nil
}

// stripProlog returns the svg element without the XML prolog before it.
func stripProlog(svg []byte) template.HTML {
	at := bytes.Index(svg, []byte("<svg"))
	return template.HTML(svg[max(0, at):]) // trusted: rendered here from numbers and names
}

// seriesPerPolicy returns one series per policy. Seconds for which value returns
// false have no point.
func seriesPerPolicy(r *experiment.Result, value func(experiment.SecondStats) (float64, bool)) []series {
	var lines []series
	for _, run := range r.Runs {
		l := series{name: run.Policy.Name}
		for _, s := range run.Timeline {
			if y, ok := value(s); ok {
				l.points = append(l.points, plotter.XY{X: float64(s.At), Y: y})
			}
		}
		lines = append(lines, l)
	}
	return lines
}

// seriesPerRegion returns one series per home region, with the p99 of the time to
// the complete response.
func seriesPerRegion(run *experiment.Run) []series {
	byRegion := map[string]plotter.XYs{}
	for _, s := range run.Timeline {
		for region, y := range s.P99 {
			byRegion[region] = append(byRegion[region], plotter.XY{X: float64(s.At), Y: y})
		}
	}
	var lines []series
	for _, region := range slices.Sorted(maps.Keys(byRegion)) {
		lines = append(lines, series{region, byRegion[region]})
	}
	return lines
}

// renderPlots renders all plots of a result.
func renderPlots(r *experiment.Result) ([]template.HTML, error) {
	count := func(n func(experiment.SecondStats) int) func(experiment.SecondStats) (float64, bool) {
		return func(s experiment.SecondStats) (float64, bool) { return float64(n(s)), true }
	}
	type spec struct {
		title, unit string
		lines       []series
	}
	specs := []spec{
		{"Requests sent", "1/s", seriesPerPolicy(r, count(func(s experiment.SecondStats) int { return s.Sent }))[:1]},
		{"Time to complete response, p99 of the slowest region", "ms", seriesPerPolicy(r, maxRegionP99)},
		{"Served by another region", "%", seriesPerPolicy(r, func(s experiment.SecondStats) (float64, bool) {
			return 100 * s.CrossRegionShare, s.Served > 0
		})},
		{"In flight", "requests", seriesPerPolicy(r, count(func(s experiment.SecondStats) int { return s.InFlight }))},
		{"Refused", "1/s", seriesPerPolicy(r, count(func(s experiment.SecondStats) int { return s.Refused }))},
		{"Late, failed or unanswered", "1/s", seriesPerPolicy(r, count(func(s experiment.SecondStats) int { return s.Missed }))},
	}
	for i := range r.Runs {
		run := &r.Runs[i]
		specs = append(specs, spec{"Time to complete response, p99 by home region: " + run.Policy.Name, "ms", seriesPerRegion(run)})
	}
	var drawn []template.HTML
	for _, s := range specs {
		svg, err := renderPlot(s.title, s.unit, s.lines)
		if err != nil {
			return nil, err
		}
		drawn = append(drawn, svg)
	}
	return drawn, nil
}

func maxRegionP99(s experiment.SecondStats) (float64, bool) {
	worst := 0.0
	for _, y := range s.P99 {
		worst = max(worst, y)
	}
	return worst, len(s.P99) > 0
}
