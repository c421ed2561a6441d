package lifecycle

import (
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Signals are the signals that a dispatcher handles. Each kind has its own channel with a buffer of one, so that a burst of
// one kind does not drop another. A buffered signal stands for all of its kind that have arrived since.
type Signals struct {
	Stop   chan os.Signal // SIGTERM, SIGINT
	Reload chan os.Signal // SIGHUP
	Dump   chan os.Signal // SIGUSR1: dump the flight recorder
}

// NewSignals returns Signals that receive nothing before Notify is called.
func NewSignals() *Signals {
	return &Signals{Stop: make(chan os.Signal, 1), Reload: make(chan os.Signal, 1), Dump: make(chan os.Signal, 1)}
}

// Notify starts the delivery of the process's signals. It also ignores SIGPIPE, so that a log reader that closes its pipe does
// not terminate the process.
func (s *Signals) Notify() {
	signal.Ignore(syscall.SIGPIPE)
	signal.Notify(s.Stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.Reload, syscall.SIGHUP)
	signal.Notify(s.Dump, syscall.SIGUSR1)
}

// Close stops the delivery that Notify started.
func (s *Signals) Close() {
	signal.Stop(s.Stop)
	signal.Stop(s.Reload)
	signal.Stop(s.Dump)
}

// AwaitResult is the reason why a wait for a retry ended.
type AwaitResult uint8

// The reasons.
const (
	RetryDue         AwaitResult = iota // the delay has passed: retry now
	RetriesExhausted                    // no retry is left; there was no wait
	StopRequested                       // Stop received a signal
	ReloadRequested                     // the reload channel received a signal
)

// AwaitRetry blocks until the next retry is due, for at most maxWait seconds, or until a stop signal or a signal on reload
// arrives. reload may be nil.
func (s *Signals) AwaitRetry(backoff *Backoff, maxWait float64, reload <-chan os.Signal) AwaitResult {
	delay, ok := backoff.Next(time.Now())
	if !ok {
		return RetriesExhausted
	}
	select {
	case <-s.Stop:
		return StopRequested
	case <-reload:
		return ReloadRequested
	case <-time.After(min(delay, seconds(maxWait))):
		return RetryDue
	}
}
