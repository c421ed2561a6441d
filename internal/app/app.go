// Package app runs a dispatcher process from a settings file: logging, startup, signals, reload, polling of the worker
// file, the admin interface and the exit code. It also runs the demo.
//
// Besides the goroutines of the admin interface, a process has two: the event loop, which owns the gateway, and the
// caller of run, which owns all other state of this package and accesses the gateway only through functions posted to
// the loop.
package app

import (
	"errors"
	"fmt"
	"io"
	"time"

	"mastchute/internal/config"
	"mastchute/internal/lifecycle"
)

// The exit codes of the program.
const (
	ExitOK      = 0 // the command succeeded, or the dispatcher stopped with a response to every request
	ExitError   = 1 // a setting, an address or an argument was invalid, or a scenario of the lab broke a rule
	ExitCrash   = 3 // the control module or the event loop failed; requests in flight got failure responses
	ExitStopped = 4 // the stop's grace period ended with requests in flight; each was shed if a retry is safe, else failed
)

// Serve runs a dispatcher with a settings file until it has stopped, and returns the exit code. Errors and the log are
// written to out.
func Serve(settingsFile string, out io.Writer) int {
	cfg, err := config.Load(settingsFile)
	if err != nil {
		fmt.Fprintln(out, err)
		return ExitError
	}
	return run(cfg, settingsFile, out, nil)
}

// run runs a dispatcher until it has stopped, and returns the exit code. The log is written to out. SIGHUP reloads
// settingsFile; if that is empty, SIGHUP does nothing. onServing, if not nil, is called once the dispatcher listens.
func run(cfg *config.Config, settingsFile string, out io.Writer, onServing func(*dispatcher)) int {
	log, closeLog := NewLogger(cfg.Log, out)
	defer closeLog()
	signals := lifecycle.NewSignals()
	signals.Notify()
	defer signals.Close()
	d, err := startWithRetry(cfg, log, signals)
	if errors.Is(err, lifecycle.ErrStopRequested) {
		log.Info().Msg("stop requested before start")
		return ExitOK
	}
	if err != nil {
		log.Error().Err(err).Msg("start failed")
		return ExitError
	}
	d.logServing()
	watcher := newWorkerFileWatcher(d, cfg.Discovery.WorkerFile)
	watcher.check()
	if onServing != nil {
		onServing(d)
	}
	return d.supervise(signals, newReloader(d, settingsFile, watcher))
}

// supervise handles signals, polls the worker file and retries reloads until the event loop has ended, and returns the
// exit code.
func (d *dispatcher) supervise(signals *lifecycle.Signals, reload *reloader) int {
	poll := time.NewTicker(toDuration(d.cfg.Discovery.PollInterval.Seconds))
	defer poll.Stop()
	stopSignalled := false
	for {
		select {
		case err := <-d.loopResult:
			return d.shutDown(err)
		case <-signals.Dump:
			d.loop.Post(func() { d.gateway.DumpFlightRecorder("signal") })
		case <-poll.C:
			reload.watcher.check()
		case <-signals.Reload:
			reload.Start()
		case <-reload.RetryDue:
			reload.Retry()
		case <-signals.Stop:
			grace := d.cfg.StopGrace.Seconds
			if stopSignalled { // a second signal ends the grace period
				grace = 0
			}
			stopSignalled = true
			d.Stop(grace)
		}
	}
}

// logServing logs the addresses that the dispatcher listens on. The lab parses this line.
func (d *dispatcher) logServing() {
	event := d.log.Info().Str("name", d.cfg.Name).Str("listen", d.gateway.Addr().String())
	if d.admin != nil {
		event = event.Str("admin", d.admin.Addr().String())
	}
	event.Msg("serving")
}

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
