package lifecycle

import "time"

const reloadRetryDuration = 10.0 // s for which a failed reload is retried, as the file may be only partly written

// Reloader reloads a configuration after a signal, and retries for a while if that fails. It is not safe for concurrent
// use.
type Reloader struct {
	// Reload reads the configuration and applies it. A configuration that cannot be used changes nothing.
	Reload func() error
	// LogFailure is called with an error of Reload unless the previous error had the same text, so that a failure is not
	// logged again for each retry. One that persists through all retries is logged again by the next reload.
	LogFailure func(err error)
	// RetryDue receives a value when Retry must be called. It is nil while no retry is scheduled.
	RetryDue <-chan time.Time

	backoff     Backoff
	lastFailure string // "" after a success
}

// Start reloads the configuration, and begins a new series of retries if that fails.
func (r *Reloader) Start() {
	r.backoff = NewBackoff(time.Now(), reloadRetryDuration)
	r.Retry()
}

// Retry reloads once, and sets RetryDue if that fails and retries are left.
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
	} else {
		r.lastFailure = ""
	}
}
