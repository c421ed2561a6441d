package lab

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

var (
	curveColors = []color.RGBA{{0x1f, 0x77, 0xb4, 255}, {0xd6, 0x27, 0x28, 255}, {0x2c, 0xa0, 0x2c, 255}, {0x94, 0x67, 0xbd, 255}, {0xff, 0x7f, 0x0e, 255}}
	faultShade  = color.NRGBA{0, 0, 0, 0x20}
)

const (
	titleSize         = 11   // points
	legendSize        = 8    // points
	curveWidth        = 1.5  // points
	legendWidthFactor = 1.25 // width of curves and legend, relative to the curves
	headroomFactor    = 1.05 // upper end of the vertical axis, relative to the largest value
	pageGraphWidth    = 15 * vg.Centimeter
	pageGraphHeight   = 6 * vg.Centimeter
	resultsPlotHeight = 9 * vg.Centimeter
)

// curve is one line over the buckets of a timeline.
type curve struct {
	name  string
	value func(TimelineBucket) float64
}

// graph is a plot of a timeline.
type graph struct {
	title, unit string
	minTop      float64 // least upper end of the vertical axis; higher if a curve needs it
	curves      []curve
}

func countCurve(field func(TimelineBucket) int) func(TimelineBucket) float64 {
	return func(b TimelineBucket) float64 { return float64(field(b)) }
}

// fractionCurve returns a count as a fraction of the calls of the bucket.
func fractionCurve(field func(TimelineBucket) int) func(TimelineBucket) float64 {
	return func(b TimelineBucket) float64 { return float64(field(b)) / math.Max(1, float64(b.Calls)) }
}

// pageGraphs are the graphs of a report on an HTML page.
var pageGraphs = []graph{
	{"service", "fraction of priority weight", 1, []curve{
		{"in time", func(b TimelineBucket) float64 { return b.Service }}}},
	{"outcomes of calls", "share", 1, []curve{
		{"in SLO", fractionCurve(func(b TimelineBucket) int { return b.InSLO })},
		{"late", fractionCurve(func(b TimelineBucket) int { return b.Late })},
		{"shed", fractionCurve(func(b TimelineBucket) int { return b.Shed })},
		{"lost", fractionCurve(func(b TimelineBucket) int { return b.Lost })}}},
	{"latency", "s", 0, []curve{
		{"p50", func(b TimelineBucket) float64 { return b.P50 }},
		{"p99", func(b TimelineBucket) float64 { return b.P99 }}}},
	{"requests at workers", "mean number", 0, []curve{
		{"running", func(b TimelineBucket) float64 { return b.Running }},
		{"running, wasted", func(b TimelineBucket) float64 { return b.Running * b.Wasted }},
		{"waiting", func(b TimelineBucket) float64 { return b.Waiting }}}},
	{"workers", "", 0, []curve{
		{"up", func(b TimelineBucket) float64 { return b.WorkersUp }},
		{"used", countCurve(func(b TimelineBucket) int { return b.WorkersUsed })}}},
	{"attempts and loads", "per bucket", 0, []curve{
		{"forwards", countCurve(func(b TimelineBucket) int { return b.Attempts })},
		{"rejected attempts", countCurve(func(b TimelineBucket) int { return b.Rejected })},
		{"loads", countCurve(func(b TimelineBucket) int { return b.Loads })},
		{"load requests", countCurve(func(b TimelineBucket) int { return b.LoadRequests })},
		{"store fetches", countCurve(func(b TimelineBucket) int { return b.Fetches })}}},
}

// plot plots the curves over the time of the scenario, with faults as shaded spans.
func (g *graph) plot(r *Report) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = g.title
	p.Title.TextStyle.Font.Size = vg.Points(titleSize)
	p.X.Label.Text = "s from the start"
	p.Y.Label.Text = g.unit
	p.Legend.Top = true
	p.Legend.Left = false
	p.Legend.TextStyle.Font.Size = vg.Points(legendSize)
	bucketWidth := 0.0
	if len(r.Timeline) > 1 {
		bucketWidth = r.Timeline[1].From - r.Timeline[0].From
	}
	p.X.Min = 0
	p.X.Max = bucketWidth * float64(len(r.Timeline)) * legendWidthFactor
	p.Y.Min = 0
	p.Y.Max = g.minTop
	lines, err := g.lines(p, r.Timeline, bucketWidth)
	if err != nil {
		return nil, err
	}
	if p.Y.Max == 0 {
		p.Y.Max = 1
	}
	if err := shadeFaults(p, r.FaultSpans); err != nil { // before the lines, so that they are drawn over it
		return nil, err
	}
	for _, line := range lines {
		p.Add(line)
	}
	return p, nil
}

// lines returns the curves as lines, adds them to the legend and extends the vertical axis as needed.
func (g *graph) lines(p *plot.Plot, timeline []TimelineBucket, bucketWidth float64) ([]*plotter.Line, error) {
	var lines []*plotter.Line
	for i, c := range g.curves {
		var points plotter.XYs
		for _, b := range timeline {
			value := c.value(b)
			points = append(points, plotter.XY{X: b.From + bucketWidth/2, Y: value})
			p.Y.Max = math.Max(p.Y.Max, value*headroomFactor)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = curveColors[i%len(curveColors)]
		line.Width = vg.Points(curveWidth)
		lines = append(lines, line)
		p.Legend.Add(c.name, line)
	}
	return lines, nil
}

func shadeFaults(p *plot.Plot, spans []FaultSpan) error {
	for _, span := range spans {
		box, err := plotter.NewPolygon(plotter.XYs{{X: span.From, Y: 0}, {X: span.To, Y: 0}, {X: span.To, Y: p.Y.Max}, {X: span.From, Y: p.Y.Max}})
		if err != nil {
			return err
		}
		box.Color = faultShade
		box.LineStyle.Width = 0
		p.Add(box)
	}
	return nil
}

// svg renders a plot as an SVG element for an HTML page.
func svg(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(pageGraphWidth, pageGraphHeight)
	p.Draw(draw.New(canvas))
	var buf bytes.Buffer
	if _, err := canvas.WriteTo(&buf); err != nil {
		return "", err
	}
	text := buf.String()
	return template.HTML(text[strings.Index(text, "<svg"):]), nil
}

// pageColumn is one report on an HTML page.
type pageColumn struct {
	*Report
	Graphs []template.HTML
}

// WritePage writes reports side by side as one self-contained HTML page.
func WritePage(out io.Writer, reports []*Report) error {
	var columns []pageColumn
	for _, r := range reports {
		column := pageColumn{Report: r}
		for i := range pageGraphs {
			p, err := pageGraphs[i].plot(r)
			if err != nil {
				return err
			}
			element, err := svg(p)
			if err != nil {
				return err
			}
			column.Graphs = append(column.Graphs, element)
		}
		columns = append(columns, column)
	}
	return pageTemplate.Execute(out, columns)
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{range .}}{{.Scenario}} {{end}}</title>
<style>body{font:14px sans-serif;margin:1em}.c{display:inline-block;vertical-align:top;margin-right:2em;width:600px}
table{border-collapse:collapse;margin:.7em 0}td,th{border-bottom:1px solid #ccc;padding:2px 7px;text-align:right}td:first-child,th:first-child{text-align:left}.bad{color:#b00;font-weight:bold}svg{display:block}</style>
{{range .}}<div class="c"><h2>{{.Scenario}}</h2>
<p>{{.Clock}}, seed {{.Seed}}{{if .Partial}}, <b class="bad">interrupted: partial</b>{{end}}: service <b>{{printf "%.3f" .Service}}</b>, warm replica found by {{printf "%.3f" .Warm}} of {{.Served}} served attempts,
{{.Attempts}} attempts, {{.Rejected}} rejected, {{.LoadRequests}} load requests, {{.Loads}} loads</p>
<table><tr><th>rule<th>verdict<th>tests</tr>{{range .Findings}}<tr><td>{{.Rule}}: {{.Name}}<td{{if eq .Verdict "BROKEN"}} class="bad"{{end}}>{{.Verdict}}<td>{{.Tests}}</tr>{{end}}</table>
<table><tr><th>model group<th>calls<th>in SLO<th>late<th>shed<th>failed<th>disconnected<th>p50 s<th>p99 s</tr>
{{range .Groups}}<tr><td>{{.Name}}<td>{{.Calls}}<td>{{.InSLO}}<td>{{.Late}}<td>{{.Shed}}<td>{{.Failed}}<td>{{.ClientDisconnected}}<td>{{printf "%.3f" .P50}}<td>{{printf "%.3f" .P99}}</tr>{{end}}</table>
{{range .Graphs}}{{.}}{{end}}
<p>Faults (shaded):{{range .FaultSpans}} {{.Description}} {{printf "%.1f" .From}} to {{printf "%.1f" .To}} s;{{else}} none{{end}}</p>
<table><tr><th>worker<th>served<th>loads<th>models loaded at the end</tr>{{range .Workers}}<tr><td>{{.Worker}}<td>{{.Served}}<td>{{.Loads}}<td style="text-align:left">{{.Models}}</tr>{{end}}</table>
</div>{{end}}</html>
`))

// PlotResults plots the service by variant, with the confidence intervals of the differences, to an SVG or PNG file.
func PlotResults(file string, rows []VariantResult) error {
	if extension := filepath.Ext(file); extension != ".svg" && extension != ".png" {
		return fmt.Errorf("plot file %s: the name must end in .svg or .png", file)
	}
	p := plot.New()
	p.Y.Label.Text = "service"
	p.Y.Min = 0
	p.Y.Max = 1
	var names []string
	var services servicePoints
	for i, row := range rows {
		names = append(names, row.Name)
		halfWidth := row.HalfWidth
		if math.IsInf(halfWidth, 1) {
			halfWidth = 0
		}
		services.XYs = append(services.XYs, plotter.XY{X: float64(i), Y: row.Service})
		services.YErrors = append(services.YErrors, struct{ Low, High float64 }{halfWidth, halfWidth})
	}
	line, points, err := plotter.NewLinePoints(services.XYs)
	if err != nil {
		return err
	}
	bars, err := plotter.NewYErrorBars(services)
	if err != nil {
		return err
	}
	line.Color = curveColors[0]
	points.Color = curveColors[0]
	p.Add(plotter.NewGrid(), line, points, bars)
	p.NominalX(names...)
	p.X.Min = -0.5
	p.X.Max = float64(len(rows)) - 0.5
	p.X.Tick.Label.Rotation = math.Pi / 8
	p.X.Tick.Label.XAlign = draw.XRight
	p.X.Tick.Label.YAlign = draw.YCenter
	width := vg.Length(max(12, 2*len(rows))) * vg.Centimeter
	return p.Save(width, resultsPlotHeight, file)
}

// servicePoints are points with vertical error bars.
type servicePoints struct {
	plotter.XYs
	plotter.YErrors
}
