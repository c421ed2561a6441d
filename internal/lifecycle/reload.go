package lifecycle

import "time"

const reloadRetrySpan = 10.0 // s for which a failed reload is retried: the file may be half written

// Reloader reloads a configuration after a signal, and retries for a while if that fails. It is not safe for concurrent
// use.
type Reloader struct {
	// Reload reads the configuration and applies it. A configuration that cannot be used changes nothing.
	Reload func() error
	// LogFailure is called with an error of Reload, unless the error before it had the same text: a failure is not logged
	// again for each retry.
	LogFailure func(err error)
	// RelogAfterSpan makes a failure that outlasted its retries be logged again if the next reload fails alike.
	RelogAfterSpan bool
	// RetryDue receives when Retry is to be called; it is nil while no retry is due.
	RetryDue <-chan time.Time

	backoff     Backoff
	lastFailure string // "" after a success
}

// Start starts a reload, with retries of its own.
func (r *Reloader) Start() {
	r.backoff = NewBackoff(time.Now(), reloadRetrySpan)
	r.Retry()
}

// Retry reloads once, and sets RetryDue if that fails.
func (r *Reloader) Retry() {
	r.RetryDue = nil
	err := r.Reload()
	if err == nil {
		r.lastFailure = ""
		return
	}
	failure := err.Error()
	if failure != r.lastFailure {
		r.lastFailure = failure
		r.LogFailure(err)
	}
	delay, ok := r.backoff.Next(time.Now())
	if ok {
		r.RetryDue = time.After(delay)
	} else if r.RelogAfterSpan {
		r.lastFailure = ""
	}
}
