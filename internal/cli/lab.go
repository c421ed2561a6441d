package cli

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"mastchute/internal/app"
	"mastchute/internal/emulator"
	"mastchute/internal/eventloop"
	"mastchute/internal/lab"
)

type labCmd struct {
	Day     labDayCmd     `cmd:"" help:"Play a day over sockets in real processes and judge the five rules."`
	Sweep   labSweepCmd   `cmd:"" help:"Play a day with several values of some of its keys, in simulated time, the same seeds each."`
	Compare labCompareCmd `cmd:"" help:"Compare days, or the same day under several settings, in simulated time."`
	Draw    labDrawCmd    `cmd:"" help:"Draw a day by chance."`
	Hunt    labHuntCmd    `cmd:"" help:"Search drawn days for the worst service and for broken rules, and shrink them to what matters."`
	Convert labConvertCmd `cmd:"" help:"Turn a day of the bench into one of ours, as far as it can be."`
	Report  labReportCmd  `cmd:"" help:"Make a page with plots of one report or of several side by side."`
	Load    labLoadCmd    `cmd:"" help:"Put an open-loop load on a gateway and measure from the intended times."`
	Soak    labSoakCmd    `cmd:"" help:"Play drawn troubles against real dispatcher processes and judge every promise."`
	Bench   labBenchCmd   `cmd:"" help:"Measure the gateway beside a bare relay and net/http's ReverseProxy."`
	Echo    labEchoCmd    `cmd:"" hidden:""`
	Relay   labRelayCmd   `cmd:"" hidden:""`
	Proxy   labProxyCmd   `cmd:"" hidden:""`
}

type labBenchCmd struct {
	Workers int           `default:"8" help:"Echo workers."`
	Conns   int           `default:"64" help:"Client connections."`
	Span    time.Duration `default:"3s" help:"Of each measurement."`
	Rounds  int           `default:"3" help:"Measurements of each; the median counts."`
	Idle    int           `default:"10000" help:"Idle connections for the memory figure; 0 leaves it out."`
	JSON    bool          `name:"json" help:"Print JSON."`
}

func (c *labBenchCmd) Run() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	rows, err := lab.Bench(lab.BenchOptions{Self: []string{self}, Workers: c.Workers, Conns: c.Conns, Span: c.Span, Rounds: c.Rounds,
		Idle: c.Idle, Say: os.Stderr})
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	fmt.Printf("%-18s %10s %14s %10s %10s %12s %12s\n", "target", "answers/s", "answers/CPU s", "p50 us", "p99 us", "p99 added us", "idle conn B")
	for _, r := range rows {
		fmt.Printf("%-18s %10.0f %14.0f %10.0f %10.0f %12.0f %12.0f\n", r.Target, r.PerSecond, r.PerCPU, r.P50*1e6, r.P99*1e6, r.AddedMs*1e3, r.IdleBytes)
	}
	fmt.Printf("mastchute: %.2f of (a)'s answers a second, %.2f of (a)'s and %.2f of (b)'s answers a CPU second; latency at %.0f a second\n",
		rows[0].PerSecond/rows[1].PerSecond, rows[0].PerCPU/rows[1].PerCPU, rows[0].PerCPU/rows[2].PerCPU, rows[0].PerSecond/2)
	return nil
}

var free = netip.MustParseAddrPort("127.0.0.1:0")

type labEchoCmd struct{ Workers int }

func (c *labEchoCmd) Run() error {
	l, at, err := lab.Echo(slices.Repeat([]netip.AddrPort{free}, c.Workers))
	if err != nil {
		return err
	}
	for i, a := range at {
		if i > 0 {
			fmt.Print(" ")
		}
		fmt.Print(a)
	}
	fmt.Println()
	return l.Run()
}

type labRelayCmd struct{ Workers string }

func (c *labRelayCmd) Run() error {
	at, err := addresses(c.Workers)
	if err != nil {
		return err
	}
	l, a, err := lab.Relay(free, at)
	if err != nil {
		return err
	}
	fmt.Println(a)
	return l.Run()
}

type labProxyCmd struct{ Workers string }

func (c *labProxyCmd) Run() error {
	at, err := addresses(c.Workers)
	if err != nil {
		return err
	}
	ln, err := lab.Proxy("127.0.0.1:0", at)
	if err != nil {
		return err
	}
	fmt.Println(ln.Addr())
	select {}
}

func addresses(list string) (out []netip.AddrPort, err error) {
	for _, a := range strings.Fields(list) {
		p, err := netip.ParseAddrPort(a)
		if err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	return out, nil
}

type labDayCmd struct {
	File      string `arg:"" type:"existingfile" help:"Day file (YAML); docs/lab.md describes it, days/ has some."`
	JSON      bool   `name:"json" help:"Print the report as JSON."`
	Keep      string `help:"Keep settings, logs and records in this directory."`
	Seed      uint64 `help:"Play it with another seed."`
	Page      string `help:"Write the report with plots as one HTML page to this file."`
	Timeline  bool   `help:"Print what happened in each twentieth of the day."`
	Simulated bool   `help:"Play it in simulated time in this process: the same bytes for the same seed."`
}

func (c *labDayCmd) Run() error {
	clock := lab.Sockets
	if c.Simulated {
		clock = lab.Simulated
	}
	day, err := lab.LoadDay(c.File, clock)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCode(app.ExitError)
	}
	if c.Seed > 0 {
		day.Seed = c.Seed
	}
	if c.Keep != "" {
		if err := os.MkdirAll(c.Keep, 0o755); err != nil {
			return err
		}
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := interrupted()
	defer stop()
	var evidence *lab.Evidence
	var rep *lab.Report
	if c.Simulated {
		evidence, rep = lab.Simulate(ctx, day, nil, os.Stderr)
		if c.Keep != "" {
			err = jsonLines(c.Keep+"/records.jsonl", evidence.Records)
		}
	} else {
		evidence, rep, err = lab.Play(ctx, day, lab.Options{Self: []string{self}, Dir: c.Keep, Say: os.Stderr})
	}
	if rep != nil {
		if c.Keep != "" {
			err = errors.Join(err, jsonLines(c.Keep+"/tries.jsonl", evidence.Tries))
		}
		if c.Page != "" {
			err = errors.Join(err, page(c.Page, []*lab.Report{rep}))
		}
		if c.JSON {
			e := json.NewEncoder(os.Stdout)
			e.SetIndent("", "  ")
			e.Encode(rep)
		} else {
			rep.Write(os.Stdout)
			if c.Timeline {
				rep.WriteTimeline(os.Stdout)
			}
		}
	}
	if err != nil {
		return err
	}
	if rep.Broken() {
		return exitCode(app.ExitError)
	}
	return nil
}

func jsonLines[T any](file string, list []T) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	e := json.NewEncoder(w)
	for _, x := range list {
		if err := e.Encode(x); err != nil {
			return err
		}
	}
	return errors.Join(w.Flush(), f.Close())
}

type standinCmd struct {
	Workers int    `default:"3" help:"How many workers, without --spec."`
	Listen  string `default:"127.0.0.1" help:"IP address to listen on."`
	Port    int    `default:"0" help:"Port of the first worker; the others take the next ones. 0 takes free ones."`
	Control string `default:"127.0.0.1:0" help:"Address for switching troubles on: POST /fault."`
	Spec    string `type:"existingfile" help:"Fleet as JSON, as lab day writes it; default: a small one with the demo's models."`
	Records string `help:"Write what the sockets carried to this file, a JSON line for each event."`
	JSON    bool   `name:"json" help:"Print the addresses as one JSON line; default: as a list of workers for roster.file."`
	Cold    bool   `help:"Workers start cold."`
}

func (c *standinCmd) Run() error {
	spec := app.DemoSpec(c.Workers, app.DemoModels)
	if c.Spec != "" {
		text, err := os.ReadFile(c.Spec)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(text, &spec); err != nil {
			return fmt.Errorf("%s: %w", c.Spec, err)
		}
	}
	host, err := netip.ParseAddr(c.Listen)
	if err != nil {
		return err
	}
	ctl, err := netip.ParseAddrPort(c.Control)
	if err != nil {
		return err
	}
	var at []netip.AddrPort
	for i := range spec.Workers {
		port := c.Port
		if port > 0 {
			port += i
		}
		at = append(at, netip.AddrPortFrom(host, uint16(port)))
	}
	var records io.Writer
	if c.Records != "" {
		f, err := os.Create(c.Records)
		if err != nil {
			return err
		}
		w := bufio.NewWriterSize(f, 1<<20)
		defer f.Close()
		defer w.Flush()
		records = w
	}
	l, err := eventloop.New(0)
	if err != nil {
		return err
	}
	s, err := emulator.NewServer(l, spec, at, ctl, records, c.Cold)
	if err != nil {
		return err
	}
	a := lab.Announce{Control: s.Control().String()}
	for i, w := range spec.Workers {
		a.Workers = append(a.Workers, lab.WorkerAt{Name: w.Name, Address: s.Addr(i).String()})
	}
	if c.JSON {
		json.NewEncoder(os.Stdout).Encode(a)
	} else {
		fmt.Printf("# troubles: curl -d '{\"kind\":\"hang\",\"worker\":\"w1\",\"span\":10}' http://%s/fault\nworkers:\n", a.Control)
		for _, w := range a.Workers {
			fmt.Printf("  - {name: %s, address: %q}\n", w.Name, w.Address)
		}
	}
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-sig
		l.Stop()
		time.AfterFunc(5*time.Second, func() { os.Exit(app.ExitError) })
	}()
	return l.Run()
}
