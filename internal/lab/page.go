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

// Mark is a span of a day in which something went wrong, shaded in plots.
type Mark struct {
	From float64 `json:"from"`
	To   float64 `json:"to"`
	What string  `json:"what"`
}

// marks lists what goes wrong in a day.
func (d *Day) marks() (out []Mark) {
	add := func(at, long float64, what string) {
		out = append(out, Mark{at, math.Min(d.Seconds.Seconds, at+math.Max(long, 0.1)), what})
	}
	for _, x := range d.Releases {
		batches := math.Ceil(float64(d.Fleet.Workers) / math.Max(1, float64(x.Together)))
		add(x.At.Seconds, batches*x.Every.Seconds, "release")
	}
	for i, t := range d.Troubles {
		if i < len(d.Troubles)-d.released {
			add(t.At.Seconds, t.For.Seconds, strings.TrimSpace(t.Kind+" "+t.Worker))
		}
	}
	for _, k := range d.Kills {
		add(k.At.Seconds, k.Down.Seconds, fmt.Sprintf("dispatcher %d killed", k.Dispatcher))
	}
	for i, x := range d.Drains {
		if i < len(d.Drains)-d.released {
			add(x.At.Seconds, x.For.Seconds, x.Worker+" "+x.State)
		}
	}
	for _, b := range d.Clients.Bursts {
		add(b.At.Seconds, b.For.Seconds, fmt.Sprintf("load times %g", b.Factor))
	}
	return out
}

var colours = []color.RGBA{{0x1f, 0x77, 0xb4, 255}, {0xd6, 0x27, 0x28, 255}, {0x2c, 0xa0, 0x2c, 255}, {0x94, 0x67, 0xbd, 255}, {0xff, 0x7f, 0x0e, 255}}

// curve is one line over the slices of a day.
type curve struct {
	name string
	of   func(s Slice) float64
}

// graph draws curves over a day, troubles as shaded spans; high is the most the vertical axis needs to show, 0
// for as much as there is.
func graph(rep *Report, title, unit string, high float64, list ...curve) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s of the day", unit
	p.Title.TextStyle.Font.Size, p.X.Min, p.Y.Min, p.Y.Max = vg.Points(11), 0, 0, high
	p.Legend.Top, p.Legend.Left = true, false
	p.Legend.TextStyle.Font.Size = vg.Points(8)
	var lines []*plotter.Line
	width := 0.0
	if len(rep.Slices) > 1 {
		width = rep.Slices[1].From - rep.Slices[0].From
	}
	p.X.Max = width * float64(len(rep.Slices)) * 1.25 // room for the legend
	for i, c := range list {
		var xy plotter.XYs
		for _, s := range rep.Slices {
			v := c.of(s)
			xy = append(xy, plotter.XY{X: s.From + width/2, Y: v})
			p.Y.Max = math.Max(p.Y.Max, v*1.05)
		}
		l, err := plotter.NewLine(xy)
		if err != nil {
			return nil, err
		}
		l.Color, l.Width = colours[i%len(colours)], vg.Points(1.5)
		lines = append(lines, l)
		p.Legend.Add(c.name, l)
	}
	if p.Y.Max == 0 {
		p.Y.Max = 1
	}
	for _, m := range rep.Marks {
		box, err := plotter.NewPolygon(plotter.XYs{{X: m.From, Y: 0}, {X: m.To, Y: 0}, {X: m.To, Y: p.Y.Max}, {X: m.From, Y: p.Y.Max}})
		if err != nil {
			return nil, err
		}
		box.Color, box.LineStyle.Width = color.NRGBA{0, 0, 0, 0x20}, 0
		p.Add(box)
	}
	for _, l := range lines {
		p.Add(l)
	}
	return p, nil
}

func svg(p *plot.Plot, w, h vg.Length) (template.HTML, error) {
	c := vgsvg.New(w, h)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.String()
	return template.HTML(text[strings.Index(text, "<svg"):]), nil
}

// column is one report on the page.
type column struct {
	*Report
	Graphs []template.HTML
}

// WritePage writes reports side by side as one HTML page that needs nothing else.
func WritePage(out io.Writer, list []*Report) error {
	var cols []column
	for _, rep := range list {
		c := column{Report: rep}
		for _, g := range []struct {
			title, unit string
			high        float64
			list        []curve
		}{
			{"service", "share of value", 1, []curve{{"in time", func(s Slice) float64 { return s.Service }}}},
			{"how calls ended", "share", 1, []curve{{"in SLO", share(func(s Slice) int { return s.InSLO })}, {"late", share(func(s Slice) int { return s.Late })},
				{"shed", share(func(s Slice) int { return s.Shed })}, {"lost", share(func(s Slice) int { return s.Lost })}}},
			{"latency", "s", 0, []curve{{"p50", func(s Slice) float64 { return s.P50 }}, {"p99", func(s Slice) float64 { return s.P99 }}}},
			{"where time went at workers", "inferences at a time", 0, []curve{{"running", func(s Slice) float64 { return s.Running }},
				{"running in vain", func(s Slice) float64 { return s.Running * s.Vain }}, {"waiting", func(s Slice) float64 { return s.Waiting }}}},
			{"workers", "", 0, []curve{{"up", func(s Slice) float64 { return s.Up }}, {"used", func(s Slice) float64 { return float64(s.Used) }}}},
			{"forwards and loads", "in a slice", 0, []curve{{"forwards", func(s Slice) float64 { return float64(s.Attempts) }}, {"turned away", func(s Slice) float64 { return float64(s.Turned) }},
				{"loads", func(s Slice) float64 { return float64(s.Loads) }}, {"load orders", func(s Slice) float64 { return float64(s.Orders) }},
				{"store fetches", func(s Slice) float64 { return float64(s.Fetches) }}}},
		} {
			p, err := graph(rep, g.title, g.unit, g.high, g.list...)
			if err != nil {
				return err
			}
			h, err := svg(p, 15*vg.Centimeter, 6*vg.Centimeter)
			if err != nil {
				return err
			}
			c.Graphs = append(c.Graphs, h)
		}
		cols = append(cols, c)
	}
	return pageTemplate.Execute(out, cols)
}

func share(of func(Slice) int) func(Slice) float64 {
	return func(s Slice) float64 { return float64(of(s)) / math.Max(1, float64(s.Asked)) }
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{range .}}{{.Day}} {{end}}</title>
<style>body{font:14px sans-serif;margin:1em}.c{display:inline-block;vertical-align:top;margin-right:2em;width:600px}
table{border-collapse:collapse;margin:.7em 0}td,th{border-bottom:1px solid #ccc;padding:2px 7px;text-align:right}td:first-child,th:first-child{text-align:left}.bad{color:#b00;font-weight:bold}svg{display:block}</style>
{{range .}}<div class="c"><h2>{{.Day}}</h2>
<p>{{.Clock}}, seed {{.Seed}}{{if .Partial}}, <b class="bad">interrupted: partial</b>{{end}}: service <b>{{printf "%.3f" .Service}}</b>, found warm {{printf "%.3f" .Warm}}, {{.Served}} served,
{{.Attempts}} attempts, {{.Turned}} turned away, {{.Orders}} load orders, {{.Loads}} loads</p>
<table><tr><th>rule<th>verdict<th>tests</tr>{{range .Findings}}<tr><td>{{.Rule}}: {{.Name}}<td{{if .Broken}} class="bad"{{end}}>{{.Verdict}}<td>{{.Tests}}</tr>{{end}}</table>
<table><tr><th>model group<th>asked<th>in SLO<th>late<th>shed<th>failed<th>left<th>p50 s<th>p99 s</tr>
{{range .Groups}}<tr><td>{{.Name}}<td>{{.Asked}}<td>{{.InSLO}}<td>{{.Late}}<td>{{.Shed}}<td>{{.Failed}}<td>{{.Left}}<td>{{printf "%.3f" .P50}}<td>{{printf "%.3f" .P99}}</tr>{{end}}</table>
{{range .Graphs}}{{.}}{{end}}
<p>Shaded:{{range .Marks}} {{.What}} {{printf "%.1f" .From}} to {{printf "%.1f" .To}} s;{{else}} nothing went wrong{{end}}</p>
<table><tr><th>worker<th>served<th>loads<th>models held at the end</tr>{{range .Held}}<tr><td>{{.Worker}}<td>{{.Served}}<td>{{.Loads}}<td style="text-align:left">{{.Models}}</tr>{{end}}</table>
</div>{{end}}</html>
`))

// PlotRows writes service by variant, with intervals of the difference, to a .svg or .png file.
func PlotRows(file string, rows []Row) error {
	if e := filepath.Ext(file); e != ".svg" && e != ".png" {
		return fmt.Errorf("%s: write a name that ends in .svg or .png", file)
	}
	p := plot.New()
	p.Y.Label.Text, p.Y.Min, p.Y.Max = "service", 0, 1
	var names []string
	pts := points{}
	for i, r := range rows {
		names = append(names, r.Name)
		half := r.Half
		if math.IsInf(half, 1) {
			half = 0
		}
		pts.XYs = append(pts.XYs, plotter.XY{X: float64(i), Y: r.Service})
		pts.YErrors = append(pts.YErrors, struct{ Low, High float64 }{half, half})
	}
	l, s, err := plotter.NewLinePoints(pts.XYs)
	if err != nil {
		return err
	}
	e, err := plotter.NewYErrorBars(pts)
	if err != nil {
		return err
	}
	l.Color, s.Color = colours[0], colours[0]
	p.Add(plotter.NewGrid(), l, s, e)
	p.NominalX(names...)
	p.X.Min, p.X.Max = -0.5, float64(len(rows))-0.5
	p.X.Tick.Label.Rotation, p.X.Tick.Label.XAlign, p.X.Tick.Label.YAlign = math.Pi/8, draw.XRight, draw.YCenter
	return p.Save(vg.Length(max(12, 2*len(rows)))*vg.Centimeter, 9*vg.Centimeter, file)
}

type points struct {
	plotter.XYs
	plotter.YErrors
}
