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
	configPathVariable = "LB_CONFIG" // environment variable with the path of the configuration file
	gcPercent          = 50          // below Go's default of 100, as the heap is near its limit
)

// Limits of the retries at startup, in s.
const (
	// listenRetryDuration is how long startup is retried while the previous process holds the address or the machine lacks
	// a resource.
	listenRetryDuration = 20.0
	// maxListenRetryDelay is the longest delay between these retries: clients connect as soon as the previous process has
	// ended.
	maxListenRetryDelay = 0.02
	// transientReadRetryDuration is how long startup waits for a configuration that is temporarily unreadable. The
	// dispatcher must be ready within 10 s.
	transientReadRetryDuration = 8.0
	// invalidReadRetryDuration is how long startup waits for a configuration that is invalid: it may be half written.
	invalidReadRetryDuration = 1.0
)

const reloadFailedMessage = "configuration not reloaded; previous configuration stays in force"

// Run runs a dispatcher with the configuration file that LB_CONFIG names until a stop signal, and returns the process's
// exit code. It writes logs, and the reason for a failed start, to out.
func Run(out io.Writer) int {
	signals := lifecycle.NewSignals() // first: a signal that arrives before Notify kills the process
	signals.Notify()
	defer signals.Close()
	path := os.Getenv(configPathVariable)
	file, err := readConfigWithRetry(path, signals)
	if errors.Is(err, lifecycle.ErrStopRequested) {
		return app.ExitOK
	}
	if err != nil {
		fmt.Fprintf(out, "mastchute: %s: %v\n", configPathVariable, err)
		return app.ExitError
	}
	setRuntimeLimits(file)
	log, closeLog := app.NewLogger(config.Log{Level: "info", Format: "json"}, out)
	defer closeLog()
	dispatcher, err := newWithRetry(file, path, log, signals)
	if errors.Is(err, lifecycle.ErrStopRequested) {
		log.Info().Msg("stop requested before start")
		return app.ExitOK
	}
	if err != nil {
		fmt.Fprintln(out, "mastchute:", err)
		return app.ExitError
	}
	go func() { dispatcher.loopResult <- dispatcher.Loop.Run() }()
	logServing(log, file)
	return dispatcher.supervise(path, signals)
}

// setRuntimeLimits sets the limits of the Go runtime from the configuration.
func setRuntimeLimits(file *ConfigFile) {
	debug.SetMemoryLimit(int64(file.memoryBytes(heapLimitFraction)))
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(1) // only the loop's goroutine is busy
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

// readConfigWithRetry reads the configuration at startup. It retries while the file is half written or temporarily
// unreadable, and returns lifecycle.ErrStopRequested after a stop signal.
func readConfigWithRetry(path string, signals *lifecycle.Signals) (*ConfigFile, error) {
	transient := lifecycle.NewBackoff(time.Now(), transientReadRetryDuration)
	invalid := lifecycle.NewBackoff(time.Now(), invalidReadRetryDuration)
	for {
		file, err := ReadConfigFile(path)
		if err == nil || path == "" {
			return file, err
		}
		retry := &invalid
		if lifecycle.IsTransient(err) {
			retry = &transient
		}
		switch signals.AwaitRetry(retry, lifecycle.MaxBackoffDelay, nil) {
		case lifecycle.RetriesExhausted:
			return nil, err
		case lifecycle.StopRequested:
			return nil, lifecycle.ErrStopRequested
		}
	}
}

// newWithRetry creates a dispatcher. It retries while another process holds the address, usually the previous one that is
// about to end, or while the machine lacks a resource. Meanwhile it reads the configuration again after a reload signal,
// and returns lifecycle.ErrStopRequested after a stop signal.
func newWithRetry(file *ConfigFile, path string, log zerolog.Logger, signals *lifecycle.Signals) (*Dispatcher, error) {
	retry := lifecycle.NewBackoff(time.Now(), listenRetryDuration)
	for {
		dispatcher, err := New(file, log)
		if err == nil || !isRetriableStart(err) {
			return dispatcher, err
		}
		switch signals.AwaitRetry(&retry, maxListenRetryDelay, signals.Reload) {
		case lifecycle.RetriesExhausted:
			return nil, err
		case lifecycle.StopRequested:
			return nil, lifecycle.ErrStopRequested
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

// isRetriableStart reports whether a start that failed with err may succeed later.
func isRetriableStart(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || lifecycle.IsTransient(err)
}

// supervise handles signals and retries failed reloads until the loop has ended, and returns the exit code.
func (d *Dispatcher) supervise(path string, signals *lifecycle.Signals) int {
	reload := lifecycle.Reloader{
		Reload:     func() error { return d.reloadFrom(path) },
		LogFailure: func(err error) { d.log.Error().Err(err).Msg(reloadFailedMessage) },
	}
	for {
		select {
		case err := <-d.loopResult:
			return d.exitCode(err)
		case <-signals.Stop:
			d.Loop.Post(d.Stop)
		case <-signals.Dump:
			d.Loop.Post(func() { d.Gateway.DumpFlightRecorder("signal") })
		case <-signals.Reload:
			d.Loop.Post(d.RecordReloadRequest)
			reload.Start()
		case <-reload.RetryDue:
			reload.Retry()
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

// reloadFrom reads the configuration at path and posts it to the loop.
func (d *Dispatcher) reloadFrom(path string) error {
	file, err := ReadConfigFile(path)
	if err != nil {
		return err
	}
	d.Loop.Post(func() { d.Reload(file) })
	return nil
}
