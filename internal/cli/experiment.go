package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"mastchute/internal/app"
	"mastchute/internal/lab"
)

// interrupted is a context that ends with a signal.
func interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// experimentFlags are those of all experiments.
type experimentFlags struct {
	Seeds int     `default:"16" help:"Seeds at most, each; the same for all variants."`
	Least float64 `default:"0.005" help:"Difference of service that is worth telling."`
	Jobs  int     `help:"Runs at once; default: as many as processors."`
	JSON  bool    `name:"json" help:"Print JSON."`
	Plot  string  `help:"Write a plot of service by variant to this file (.svg or .png)."`
}

func (f *experimentFlags) run(list []lab.Variant) error {
	ctx, stop := interrupted()
	defer stop()
	rows, err := lab.Experiment(ctx, list, lab.Limits{Seeds: f.Seeds, Least: f.Least, Jobs: f.Jobs}, os.Stderr)
	if rows == nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCode(app.ExitError)
	}
	if f.JSON {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		e.Encode(rows)
	} else {
		lab.WriteRows(os.Stdout, rows)
	}
	if f.Plot != "" {
		if err := lab.PlotRows(f.Plot, rows); err != nil {
			return err
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "interrupted: the rows above are partial")
		return exitCode(app.ExitError)
	}
	return nil
}

type labCompareCmd struct {
	Days []string `arg:"" type:"existingfile" help:"Day files; all are compared with the first."`
	experimentFlags
}

func (c *labCompareCmd) Run() error {
	var list []lab.Variant
	for _, f := range c.Days {
		text, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		list = append(list, lab.Variant{Name: f, Text: text})
	}
	return c.run(list)
}

type labSweepCmd struct {
	Day  string   `arg:"" type:"existingfile" help:"Day file."`
	Keys []string `arg:"" help:"KEY=a,b,c: values of one key of the day, like fleet.workers=10,100 or settings.groups[0].slo=1s,2s; all combinations are played."`
	experimentFlags
}

func (c *labSweepCmd) Run() error {
	text, err := os.ReadFile(c.Day)
	if err != nil {
		return err
	}
	var keys []string
	var values [][]string
	for _, k := range c.Keys {
		key, list, ok := strings.Cut(k, "=")
		if !ok || list == "" {
			fmt.Fprintf(os.Stderr, "%q is no KEY=a,b,c\n", k)
			return exitCode(app.ExitError)
		}
		keys, values = append(keys, key), append(values, strings.Split(list, ","))
	}
	list, err := lab.Vary(text, keys, values)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", c.Day, err)
		return exitCode(app.ExitError)
	}
	return c.run(list)
}

type labDrawCmd struct {
	Seed uint64 `required:"" help:"The same seed draws the same day."`
	Out  string `short:"o" help:"Write it to this file; default: standard output."`
}

func (c *labDrawCmd) Run() error {
	text, err := lab.Draw(c.Seed)
	if err != nil {
		return err
	}
	return write(c.Out, text)
}

func write(file string, text []byte) error {
	if file == "" {
		_, err := os.Stdout.Write(text)
		return err
	}
	return os.WriteFile(file, text, 0o644)
}

type labHuntCmd struct {
	From   uint64 `default:"1" help:"First seed."`
	Budget int    `default:"40" help:"Days drawn."`
	Keep   int    `default:"3" help:"Weak days kept and shrunk."`
	Jobs   int    `help:"Runs at once; default: as many as processors."`
	Out    string `default:"found" help:"Directory for the days found."`
}

func (c *labHuntCmd) Run() error {
	ctx, stop := interrupted()
	defer stop()
	list, err := lab.Hunt(ctx, c.From, c.Budget, c.Keep, c.Jobs, os.Stderr)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	for _, f := range list {
		name := filepath.Join(c.Out, strings.ReplaceAll(f.Name, " ", "-"))
		text := lab.Shrink(ctx, f, os.Stderr)
		if err := os.WriteFile(name+".yaml", text, 0o644); err != nil {
			return err
		}
		fmt.Printf("%s.yaml: service %.3f, %.3f without its troubles\n", name, f.Service, f.Quiet)
		for _, b := range f.Broken {
			fmt.Printf("  rule %d broken %d times: %s\n", b.Rule, b.Broken, b.Breaks[0])
		}
	}
	if ctx.Err() != nil {
		fmt.Fprintln(os.Stderr, "interrupted: what is told is partial")
	}
	return nil
}

type labConvertCmd struct {
	File string `arg:"" type:"existingfile" help:"Day drawn or found by the bench (JSON)."`
	Out  string `short:"o" help:"Write the day to this file; default: standard output."`
}

func (c *labConvertCmd) Run() error {
	in, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	text, left, err := lab.Convert(in)
	for _, l := range left {
		fmt.Fprintln(os.Stderr, l)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", c.File, err)
		return exitCode(app.ExitError)
	}
	return write(c.Out, text)
}

// page writes the report as one page.
func page(file string, list []*lab.Report) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	err = lab.WritePage(f, list)
	if e := f.Close(); err == nil {
		err = e
	}
	return err
}

type labReportCmd struct {
	Reports []string `arg:"" type:"existingfile" help:"Reports that lab day --json wrote; two stand side by side."`
	Out     string   `short:"o" default:"report.html" help:"The page."`
}

func (c *labReportCmd) Run() error {
	var list []*lab.Report
	for _, f := range c.Reports {
		text, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		r := &lab.Report{}
		if err := json.Unmarshal(text, r); err != nil {
			return fmt.Errorf("%s: %w", f, err)
		}
		list = append(list, r)
	}
	return page(c.Out, list)
}

type labLoadCmd struct {
	URL       string   `arg:"" help:"Gateway, like http://127.0.0.1:8700."`
	Model     []string `required:"" help:"Models, the first asked for most; NAME-1..20 stands for twenty."`
	Rate      float64  `default:"100" help:"Inferences a second, open loop."`
	For       float64  `default:"10" help:"Seconds."`
	Zipf      float64  `default:"1" help:"How unequal the models' popularity is."`
	Hot       float64  `help:"Share that asks for the first model besides."`
	Shift     float64  `help:"Seconds after which popularity moves on by one model."`
	Unseen    float64  `help:"Share that asks for models never asked for before."`
	Burst     float64  `help:"Factor of the rate in bursts."`
	BurstOf   float64  `default:"1" help:"Seconds of a burst, one in every ten times as long."`
	Tenant    []string `help:"Tenants, by chance."`
	Timeout   float64  `default:"3" help:"Seconds a client waits."`
	Impatient float64  `help:"Share that leaves early once and asks again."`
	Retries   int      `default:"1" help:"Further tries after a shed answer."`
	Seed      uint64   `default:"1" help:"The same seed asks the same at the same times."`
	Trace     string   `type:"existingfile" help:"Replay this trace, JSON lines of at, model, tenant, in place of a drawn load."`
	JSON      bool     `name:"json" help:"Print JSON."`
	CSV       string   `name:"csv" help:"Write the distribution of latencies to this file."`
}

func (c *labLoadCmd) Run() error {
	ctx, stop := interrupted()
	defer stop()
	o := lab.LoadOptions{URL: strings.TrimRight(c.URL, "/"), Zipf: c.Zipf, Hot: c.Hot, Shift: c.Shift, Unseen: c.Unseen, Rate: c.Rate, Seconds: c.For,
		Burst: c.Burst, BurstOf: c.BurstOf, Tenants: c.Tenant, Timeout: c.Timeout, Impatient: c.Impatient, Retries: c.Retries, Seed: c.Seed, Say: os.Stderr}
	for _, m := range c.Model {
		var first, last int
		name, span, ok := strings.Cut(m, "..")
		cut := strings.LastIndexByte(name, '-')
		if _, err := fmt.Sscanf(name[cut+1:]+" "+span, "%d %d", &first, &last); !ok || err != nil || cut < 0 || last < first || last-first > 100000 {
			o.Models = append(o.Models, m)
			continue
		}
		for i := first; i <= last; i++ {
			o.Models = append(o.Models, fmt.Sprintf("%s-%d", name[:cut], i))
		}
	}
	if c.Trace != "" {
		f, err := os.Open(c.Trace)
		if err != nil {
			return err
		}
		o.Trace, err = lab.ReadTrace(f)
		f.Close()
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", c.Trace, err)
			return exitCode(app.ExitError)
		}
	}
	r, err := lab.Load(ctx, o)
	if r == nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCode(app.ExitError)
	}
	if c.CSV != "" {
		f, err := os.Create(c.CSV)
		if err != nil {
			return err
		}
		if err = errors.Join(r.WriteCSV(f), f.Close()); err != nil {
			return err
		}
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	fmt.Printf("asked %d in %.1f s, %d tries, %d not sent, sent at most %.1f ms late; answers %v\n", r.Asked, r.Seconds, r.Tries, r.NotSent, r.Late*1e3, r.Answers)
	for _, l := range []struct {
		name string
		lab.Latency
	}{{"returned", r.Returned}, {"all", r.All}} {
		fmt.Printf("%-9s mean %.1f  p50 %.1f  p90 %.1f  p99 %.1f  p99.9 %.1f  max %.1f ms from the intended time\n", l.name, l.Mean*1e3, l.P50*1e3,
			l.P90*1e3, l.P99*1e3, l.P999*1e3, l.Max*1e3)
	}
	return nil
}
