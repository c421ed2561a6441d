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

	"mastchute/internal/app"
	"mastchute/internal/config"
	"mastchute/internal/lifecycle"
)

const (
	configPathVariable    = "LB_CONFIG" // environment variable with the path of the configuration file
	listenRetryFor        = 20.0        // s for which a start is retried while the previous process holds the address or the machine lacks a resource
	maxListenRetryGap     = 0.02        // s between these attempts at most: clients connect as soon as the previous process has ended
	transientReadRetryFor = 8.0         // s for which a start waits for a configuration that cannot be read now: it must be ready within 10
	invalidReadRetryFor   = 1.0         // s for which a start waits for a configuration that is invalid: it may be half written
	reloadRetryFor        = 10.0        // s for which a reload that failed is retried: the file may be half written
	gcPercent             = 50          // below Go's default: the heap's limit is near
)

const reloadFailedMessage = "configuration not reloaded; previous configuration stays in force"

// errStopRequested reports that a stop signal came before the start was complete.
var errStopRequested = errors.New("stop requested")

// Run runs a dispatcher by the platform's environment until a stop signal, and returns the process's exit code. Logs and
// the reason of a start that failed are written to out.
func Run(out io.Writer) int {
	signals := lifecycle.NewSignals() // first of all: an earlier signal ends the process
	signals.Notify()
	defer signals.Close()
	path := os.Getenv(configPathVariable)
	file, err := readConfigWithRetry(path, signals)
	if errors.Is(err, errStopRequested) {
		return app.ExitOK
	}
	if err != nil {
		fmt.Fprintf(out, "mastchute: %s: %v\n", configPathVariable, err)
		return app.ExitError
	}
	limitRuntime(file)
	log, flush := app.Logger(config.Log{Level: "info", Format: "json"}, out)
	defer flush()
	dispatcher, err := newWithRetry(file, path, log, signals)
	if errors.Is(err, errStopRequested) {
		log.Info().Msg("stop requested before start")
		return app.ExitOK
	}
	if err != nil {
		fmt.Fprintln(out, "mastchute:", err)
		return app.ExitError
	}
	go func() { dispatcher.loopDone <- dispatcher.Loop.Run() }()
	logServing(log, file)
	return dispatcher.handleSignals(path, signals)
}

// limitRuntime sets the limits of the Go runtime by those of the configuration.
func limitRuntime(file *ConfigFile) {
	debug.SetMemoryLimit(int64(file.memoryBytes(heapLimitFraction)))
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(1)
}

func logServing(log zerolog.Logger, file *ConfigFile) {
	log.Info().
		Str("name", file.Name).
		Str("listen", file.Listen).
		Float64("memory_mb", file.Limits.MemoryMB).
		Int("sockets", file.Limits.Sockets).
		Float64("cores", math.Round(file.Limits.Cores*100)/100).
		Msg("serving")
}

// readConfigWithRetry reads the configuration for a start. It retries while the file is half written or cannot be read for
// a moment, and returns errStopRequested after a stop signal.
func readConfigWithRetry(path string, signals *lifecycle.Signals) (*ConfigFile, error) {
	transient := lifecycle.NewRetry(time.Now(), transientReadRetryFor)
	invalid := lifecycle.NewRetry(time.Now(), invalidReadRetryFor)
	for {
		file, err := ReadConfigFile(path)
		if err == nil || path == "" {
			return file, err
		}
		retry := &invalid
		if lifecycle.IsTransient(err) {
			retry = &transient
		}
		switch signals.Await(retry, transientReadRetryFor, nil) {
		case lifecycle.RetriesExhausted:
			return nil, err
		case lifecycle.StopRequested:
			return nil, errStopRequested
		}
	}
}

// newWithRetry makes a dispatcher. It retries while another process holds the address, usually the previous one that is
// about to end, or while the machine lacks a resource. A reload signal meanwhile reads the configuration again; after a
// stop signal it returns errStopRequested.
func newWithRetry(file *ConfigFile, path string, log zerolog.Logger, signals *lifecycle.Signals) (*Dispatcher, error) {
	retry := lifecycle.NewRetry(time.Now(), listenRetryFor)
	for {
		dispatcher, err := New(file, log)
		if err == nil || !isRetriableStart(err) {
			return dispatcher, err
		}
		switch signals.Await(&retry, maxListenRetryGap, signals.Reload) {
		case lifecycle.RetriesExhausted:
			return nil, err
		case lifecycle.StopRequested:
			return nil, errStopRequested
		case lifecycle.ReloadRequested:
			reloaded, err := ReadConfigFile(path)
			if err != nil {
				log.Error().Err(err).Msg(reloadFailedMessage)
			} else {
				file = reloaded
			}
		}
	}
}

// isRetriableStart reports whether a failed start may succeed a little later.
func isRetriableStart(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || lifecycle.IsTransient(err)
}

// handleSignals handles signals until the loop has ended, and returns the exit code.
func (d *Dispatcher) handleSignals(path string, signals *lifecycle.Signals) int {
	r := reloader{dispatcher: d, path: path}
	for {
		select {
		case err := <-d.loopDone:
			return d.exitCode(err)
		case <-signals.Stop:
			d.Loop.Post(d.Stop)
		case <-signals.Dump:
			d.Loop.Post(func() { d.Gateway.DumpFlightRecorder("signal") })
		case <-signals.Reload:
			r.start()
		case <-r.retryTimer:
			r.reload()
		}
	}
}

// exitCode returns the process's exit code once the loop has ended with err.
func (d *Dispatcher) exitCode(err error) int {
	if err != nil || d.Gateway.ExitStatus().PanicMessage != "" {
		return app.ExitCrash
	}
	return app.ExitOK
}

// reloader reads the configuration again after a reload signal, and retries while it cannot be read.
type reloader struct {
	dispatcher    *Dispatcher
	path          string
	retry         lifecycle.Retry
	retryTimer    <-chan time.Time // nil while no retry is due
	loggedFailure string           // the last failure, which is not logged again for each retry
}

// start begins a reload.
func (r *reloader) start() {
	r.retry = lifecycle.NewRetry(time.Now(), reloadRetryFor)
	r.reload()
}

// reload reads the configuration and passes it to the dispatcher's loop, or schedules a retry.
func (r *reloader) reload() {
	r.retryTimer = nil
	file, err := ReadConfigFile(r.path)
	if err == nil {
		r.loggedFailure = ""
		r.dispatcher.Loop.Post(func() { r.dispatcher.Reload(file) })
		return
	}
	failure := err.Error()
	if failure != r.loggedFailure {
		r.loggedFailure = failure
		r.dispatcher.logger.Error().Err(err).Msg(reloadFailedMessage)
	}
	wait, ok := r.retry.Next(time.Now())
	if ok {
		r.retryTimer = time.After(wait)
	}
}
