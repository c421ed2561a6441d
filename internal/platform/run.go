package platform

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"mastchute/control"
	"mastchute/internal/app"
	"mastchute/internal/config"
	"mastchute/internal/eventloop"
	"mastchute/internal/gateway"
	"mastchute/internal/lifecycle"
	"mastchute/internal/membership"
)

const (
	listenFor  = 20.0 // s for which a start waits for what the machine lacks, or for the address that the process before still holds
	listenGap  = 0.02 // s between those tries at most: clients come as soon as the process before has ended
	openFor    = 8.0  // s for which a start waits for a configuration that the machine can't read now; it is to be ready in 10
	wholeFor   = 1.0  // s for which it waits for one that makes no sense: it may be half written
	reloadFor  = 10.0 // s for which a reload that can't be read is tried again: the file may be half written
	tellEvery  = 5.0  // s from one log line of what was refused to the next
	configName = "LB_CONFIG"
)

// stopTimes are the platform's: it kills what was told to stop.
var stopTimes = lifecycle.StopTimes{ClientArrivalSpan: 0.6, MaxServeSpan: 0.75, MaxDeadline: 3, KillDelay: 0.7, KillMargin: 0.15}

// Dispatcher is one on the platform.
type Dispatcher struct {
	Gateway *gateway.Gateway
	Loop    *eventloop.Loop
	front   *front
	feed    *feed
	log     zerolog.Logger
	file    *File   // that it was started by, and that is in force but for the change log
	timeout float64 // the longest of the groups'
	stopBy  float64 // on the loop's clock, once told to stop
	stop    eventloop.Timer
	told    eventloop.Timer // tells now and then what was refused
	before  map[string]int
	ended   chan error
}

// New makes a dispatcher by its configuration. Run its loop to serve.
func New(f *File, log zerolog.Logger) (*Dispatcher, error) {
	l, err := eventloop.New(0)
	if err != nil {
		return nil, err
	}
	d := &Dispatcher{Loop: l, log: log, timeout: f.timeout(), before: map[string]int{}, ended: make(chan error, 1)}
	o := gateway.Options{Config: f.host(), Settings: f.set, Seed: f.seed, Source: membership.SourceChangeLog,
		MaxModels: int(f.Limits.MemoryMB * (1 << 20) * modelShare / eachModel)}
	o.NewClientTransport = func(g *gateway.Gateway) (gateway.ClientTransport, error) {
		p, err := newFront(g, f)
		d.front = p
		return p, err
	}
	d.file = f
	d.Gateway, err = gateway.New(l, o, log, func(seed uint64, s control.Settings, a control.Actions) control.Module {
		return control.New(seed, s, a)
	})
	if err != nil {
		l.Close()
		return nil, err
	}
	d.feed = newFeed(d.Gateway, f.drainGrace(), d.front.refuse, d.front.workers.resume)
	d.front.held = func() bool { return d.feed.held }
	l.Defer(func() {
		if err := d.feed.take(&f.Known); err != nil {
			log.Error().Err(err).Msg("the list of workers in the configuration was not taken")
		}
		d.feed.follow(f.changeLog)
	})
	d.stop.Fire = func() { d.Gateway.Stop(d.stopBy - l.Now()) }
	d.told.Fire = d.tell
	l.Defer(func() { l.Start(&d.told, tellEvery) })
	return d, nil
}

// tell logs what was refused since it was told last.
func (d *Dispatcher) tell() {
	e := d.log.Info()
	news := false
	for why, n := range d.front.refused {
		if n != d.before[why] {
			e, news = e.Int(why, n), true
			d.before[why] = n
		}
	}
	if news {
		e.Msg("refused or dropped so far, by reason")
	}
	d.Loop.Start(&d.told, tellEvery)
}

// Reload takes a new configuration in service: the change log's address, and what it knows.
func (d *Dispatcher) Reload(f *File) {
	d.log.Info().Str("change_log", f.ChangeLog).Msg("configuration read anew")
	d.Gateway.RecordEvent("reload", "", nil, nil, 0)
	if other := d.file.differs(f); len(other) > 0 {
		d.log.Warn().Strs("fields", other).Msg("these changed too, and are in force after a restart only")
	}
	if err := d.feed.take(&f.Known); err != nil {
		d.log.Error().Err(err).Msg("the list of workers in the configuration was not taken")
	}
	d.feed.follow(f.changeLog)
}

// Stop goes on for a while, then answers what is in flight and ends the loop.
func (d *Dispatcher) Stop() {
	if d.front.leaving {
		return
	}
	d.front.leaving = true
	d.log.Info().Int("in_hand", d.Gateway.InFlight()).Msg("told to stop")
	now, told := d.Loop.Now(), d.Loop.ArrivedAt() // the signal may have come while the process stood still
	plan := lifecycle.PlanStop(stopTimes, d.timeout)
	d.stopBy = told + plan.AnswerBy
	d.Loop.Start(&d.stop, told+plan.ServeUntil-now)
}

// newWhenFree makes a dispatcher by the configuration at a path; while another process holds the address, which mostly is
// the one before and about to end, or the machine lacks something for a moment, it tries again. A SIGHUP meanwhile has it
// read the configuration anew. It returns nil where it is told to stop.
func newWhenFree(f *File, path string, log zerolog.Logger, sig *lifecycle.Signals) (*Dispatcher, error) {
	retry := lifecycle.NewRetry(time.Now(), listenFor)
	for {
		d, err := New(f, log)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) && !lifecycle.IsTransient(err) {
			return d, err
		}
		switch sig.Await(&retry, listenGap, sig.Reload) {
		case lifecycle.RetriesExhausted:
			return nil, err
		case lifecycle.StopRequested:
			return nil, nil
		case lifecycle.ReloadRequested:
			if n, err := ReadFile(path); err != nil {
				log.Error().Err(err).Msg("configuration not read; the old one stays in force")
			} else {
				f = n
			}
		}
	}
}

// readWhenWhole reads the configuration for a start; while it is half written, or can't be read for a moment, it tries
// again. It returns nil where it is told to stop.
func readWhenWhole(path string, sig *lifecycle.Signals) (*File, error) {
	open, whole := lifecycle.NewRetry(time.Now(), openFor), lifecycle.NewRetry(time.Now(), wholeFor)
	for {
		f, err := ReadFile(path)
		if err == nil || path == "" {
			return f, err
		}
		retry := &whole
		if lifecycle.IsTransient(err) {
			retry = &open
		}
		switch sig.Await(retry, openFor, nil) {
		case lifecycle.RetriesExhausted:
			return nil, err
		case lifecycle.StopRequested:
			return nil, nil
		}
	}
}

// Run runs a dispatcher by the platform's environment until it is told to stop, and returns the exit code.
func Run(out io.Writer) int {
	sig := lifecycle.NewSignals() // first of all: a signal that comes before ends the process
	sig.Notify()
	defer sig.Close()
	path := os.Getenv(configName)
	f, err := readWhenWhole(path, sig)
	if err != nil {
		fmt.Fprintf(out, "mastchute: %s: %v\n", configName, err)
		return app.ExitError
	}
	if f == nil {
		return app.ExitOK
	}
	debug.SetMemoryLimit(int64(f.Limits.MemoryMB * (1 << 20) * heapShare))
	debug.SetGCPercent(50)
	runtime.GOMAXPROCS(1)
	log, flush := app.Logger(config.Log{Level: "info", Format: "json"}, out)
	defer flush()
	d, err := newWhenFree(f, path, log, sig)
	if d == nil && err == nil {
		log.Info().Msg("told to stop before the address was free")
		return app.ExitOK
	}
	if err != nil {
		fmt.Fprintln(out, "mastchute:", err)
		return app.ExitError
	}
	go func() { d.ended <- d.Loop.Run() }()
	log.Info().Str("name", f.Name).Str("listen", f.Listen).Float64("memory_mb", f.Limits.MemoryMB).Int("sockets", f.Limits.Sockets).
		Float64("cores", math.Round(f.Limits.Cores*100)/100).Msg("serving")
	return d.serve(path, sig)
}

// serve heeds signals until the loop has ended, and returns the exit code.
func (d *Dispatcher) serve(path string, sig *lifecycle.Signals) int {
	r := reloader{d: d, path: path}
	for {
		select {
		case err := <-d.ended:
			if exit := d.Gateway.ExitStatus(); err != nil || exit.PanicMessage != "" {
				return app.ExitCrash
			}
			return app.ExitOK
		case <-sig.Stop:
			d.Loop.Post(d.Stop)
		case <-sig.Dump:
			d.Loop.Post(func() { d.Gateway.DumpFlightRecorder("signal") })
		case <-sig.Reload:
			r.retry = lifecycle.NewRetry(time.Now(), reloadFor)
			r.read()
		case <-r.again:
			r.read()
		}
	}
}

// reloader reads the configuration anew, and again while it can't be read.
type reloader struct {
	d     *Dispatcher
	path  string
	retry lifecycle.Retry
	again <-chan time.Time // nil while no try is due
	said  string           // the failure logged last
}

func (r *reloader) read() {
	r.again = nil
	f, err := ReadFile(r.path)
	if err == nil {
		r.said = ""
		r.d.Loop.Post(func() { r.d.Reload(f) })
		return
	}
	if why := err.Error(); why != r.said {
		r.said = why
		r.d.log.Error().Err(err).Msg("configuration not read; the old one stays in force")
	}
	if wait, more := r.retry.Next(time.Now()); more {
		r.again = time.After(wait)
	}
}
