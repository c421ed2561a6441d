// Package app runs a dispatcher as a process: settings, logs, signals, the watched list of workers, the admin
// interface, and the exit code.
package app

import (
	"crypto/sha256"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"mastchute/control"
	"mastchute/internal/admin"
	"mastchute/internal/config"
	"mastchute/internal/eventloop"
	"mastchute/internal/gateway"
	"mastchute/internal/lifecycle"
	"mastchute/internal/membership"
)

// The exit codes of the program.
const (
	ExitOK      = 0 // it did what it was asked, or stopped cleanly
	ExitError   = 1 // a setting, an address or an argument was wrong; or a day broke a rule
	ExitCrash   = 3 // the decisions failed; all in flight was answered failed
	ExitStopped = 4 // it stopped, but the grace ran out and something in flight was answered failed
)

const (
	logLines  = 10_000 // kept while the log's reader is slow; more are dropped and counted
	startFor  = 5.0    // s for which a start waits for what the machine lacks
	reloadFor = 10.0   // s for which a reload that failed is tried again
)

// Logger makes a log that never blocks its writers; close flushes it.
func Logger(c config.Log, out io.Writer) (log zerolog.Logger, close func()) {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	w := diode.NewWriter(out, logLines, 5*time.Millisecond, func(missed int) { fmt.Fprintf(out, "{\"level\":\"warn\",\"dropped_log_lines\":%d}\n", missed) })
	var to io.Writer = w
	if c.Format == "text" {
		to = zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: "15:04:05.000"}
	}
	level, err := zerolog.ParseLevel(c.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(to).Level(level).With().Timestamp().Logger(), func() { w.Close() }
}

// Dispatcher is one that runs in this process.
type Dispatcher struct {
	Gateway *gateway.Gateway
	Admin   *admin.Admin // nil when off
	Loop    *eventloop.Loop
	cfg     *config.Config
	log     zerolog.Logger
	ended   chan error

	badSettings string // why the latest reload failed, once told
}

// Start makes a dispatcher and runs its loop on a goroutine of its own.
func Start(cfg *config.Config, log zerolog.Logger, start gateway.NewModule) (*Dispatcher, error) {
	if start == nil {
		start = func(seed uint64, s control.Settings, a control.Actions) control.Module {
			return control.New(seed, s, a)
		}
	}
	l, err := eventloop.New(cfg.Limits.Connections)
	if err != nil {
		return nil, err
	}
	g, err := gateway.NewHTTP(l, cfg, log, start)
	if err != nil {
		l.Close()
		return nil, err
	}
	d := &Dispatcher{Gateway: g, Loop: l, cfg: cfg, log: log, ended: make(chan error, 1)}
	if cfg.Admin != "off" {
		if d.Admin, err = admin.New(g, cfg.Admin); err != nil {
			l.Close()
			return nil, err
		}
		go d.Admin.Serve()
	}
	go func() { d.ended <- l.Run() }()
	return d, nil
}

// Stop asks it to stop within grace seconds. Safe from any goroutine.
func (d *Dispatcher) Stop(grace float64) { d.Loop.Post(func() { d.Gateway.Stop(grace) }) }

// Ended gets the loop's error, once, when it has ended.
func (d *Dispatcher) Ended() <-chan error { return d.ended }

// Serve runs a dispatcher by a settings file until it is told to stop, and returns the exit code.
func Serve(file string, out io.Writer) int {
	cfg, err := config.Load(file)
	if err != nil {
		fmt.Fprintln(out, err)
		return ExitError
	}
	return Run(cfg, file, out, nil)
}

// Run runs a dispatcher by settings; file is read again on SIGHUP unless it is empty. up hears once it listens.
func Run(cfg *config.Config, file string, out io.Writer, up func(*Dispatcher)) int {
	log, flush := Logger(cfg.Log, out)
	defer flush()
	sig := lifecycle.NewSignals()
	sig.Notify()
	defer sig.Close()
	d, err := startWhenPossible(cfg, log, sig)
	if d == nil && err == nil {
		log.Info().Msg("told to stop before it could start")
		return ExitOK
	}
	if err != nil {
		log.Error().Err(err).Msg("not started")
		return ExitError
	}
	e := log.Info().Str("name", cfg.Name).Str("listen", d.Gateway.Addr().String())
	if d.Admin != nil {
		e = e.Str("admin", d.Admin.Addr().String())
	}
	e.Msg("serving")
	w := &watcher{d: d, file: cfg.Roster.File}
	w.look()
	if up != nil {
		up(d)
	}
	every := time.NewTicker(time.Duration(cfg.Roster.Every.Seconds * float64(time.Second)))
	defer every.Stop()
	stops := 0
	var retry lifecycle.Retry
	var again <-chan time.Time // the next try of a reload that failed
	for {
		select {
		case err := <-d.ended:
			if d.Admin != nil {
				d.Admin.Close()
			}
			exit := d.Gateway.ExitStatus()
			switch {
			case err != nil:
				log.Error().Err(err).Msg("the loop failed")
				return ExitCrash
			case exit.PanicMessage != "":
				return ExitCrash
			case exit.FailedRequests > 0:
				return ExitStopped
			}
			return ExitOK
		case <-sig.Dump:
			d.Loop.Post(func() { d.Gateway.DumpFlightRecorder("signal") })
		case <-every.C:
			w.look()
		case <-sig.Reload:
			retry = lifecycle.NewRetry(time.Now(), reloadFor)
			again = d.reload(file, w, &retry)
		case <-again:
			again = d.reload(file, w, &retry)
		case <-sig.Stop:
			grace := cfg.StopGrace.Seconds
			if stops++; stops > 1 {
				grace = 0
			}
			d.Stop(grace)
		}
	}
}

// startWhenPossible starts a dispatcher, again where the machine lacks something for a moment. It returns nil where it is
// told to stop meanwhile.
func startWhenPossible(cfg *config.Config, log zerolog.Logger, sig *lifecycle.Signals) (*Dispatcher, error) {
	retry := lifecycle.NewRetry(time.Now(), startFor)
	for {
		d, err := Start(cfg, log, nil)
		if err == nil || !lifecycle.IsTransient(err) {
			return d, err
		}
		switch sig.Await(&retry, startFor, nil) {
		case lifecycle.RetriesExhausted:
			return nil, err
		case lifecycle.StopRequested:
			return nil, nil
		}
	}
}

// reload reads the settings again, takes what can be taken in service, and says what cannot. A bad file changes nothing;
// it may be half written, so it is read again when the returned channel tells, nil for never.
func (d *Dispatcher) reload(file string, w *watcher, retry *lifecycle.Retry) <-chan time.Time {
	if file == "" {
		return nil
	}
	n, err := config.Load(file)
	var list []membership.Entry
	if err == nil {
		list, err = gateway.MembershipEntries(n.Workers)
	}
	if err != nil {
		if why := err.Error(); why != d.badSettings { // told once, not at every try
			d.badSettings = why
			d.log.Error().Err(err).Msg("settings not reloaded; the old ones stay in force")
		}
		if wait, more := retry.Next(time.Now()); more {
			return time.After(wait)
		}
		d.badSettings = ""
		return nil
	}
	d.badSettings = ""
	level, _ := zerolog.ParseLevel(n.Log.Level)
	log := d.log.Level(level)
	w.file = n.Roster.File
	d.log.Info().Strs("need_restart", d.cfg.Changed(n)).Msg("settings reloaded: workers, models, log level and sample, roster file")
	d.Loop.Post(func() {
		if err := d.Gateway.ReplaceWorkers(membership.SourceConfig, list); err != nil {
			log.Error().Err(err).Msg("workers not taken")
		}
		d.Gateway.SetModels(n.Models)
		d.Gateway.SetLog(log, n.Log.Sample)
	})
	w.look()
	return nil
}

// watcher reads the file of workers when it has changed.
type watcher struct {
	d    *Dispatcher
	file string
	last [32]byte
	bad  string
}

func (w *watcher) look() {
	if w.file == "" {
		return
	}
	text, err := os.ReadFile(w.file)
	if err == nil {
		sum := sha256.Sum256(text)
		if sum == w.last {
			w.bad = ""
			return
		}
		var list []config.Worker
		if list, err = config.ParseWorkers(w.file, text); err == nil {
			var entries []membership.Entry
			if entries, err = gateway.MembershipEntries(list); err == nil {
				w.last, w.bad = sum, ""
				w.d.Loop.Post(func() {
					if err := w.d.Gateway.ReplaceWorkers(membership.SourceFile, entries); err != nil {
						w.d.Gateway.WorkerListFailed(err)
					}
				})
				return
			}
		}
	}
	if why := err.Error(); why != w.bad { // told once, not at every look
		w.bad = why
		w.d.Loop.Post(func() { w.d.Gateway.WorkerListFailed(err) })
	}
}
