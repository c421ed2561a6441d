package lifecycle

import (
	"math"
	"time"
)

// MaxBackoffDelay is the value of maxWait, in seconds, with which Signals.AwaitRetry does not shorten the backoff's delays.
const MaxBackoffDelay = maxDelay

const (
	firstDelay = 0.02 // s between a failure and the first retry; each further delay is twice as long
	maxDelay   = 0.25 // s; limits how long after the end of a failure the start or reload succeeds
)

// Backoff is an exponential backoff that ends after a given time. The zero value has no retries left. It is not safe for
// concurrent use.
type Backoff struct {
	end   time.Time
	delay float64 // s, the latest one; 0 before the first
}

// NewBackoff returns a backoff whose retries end retryDuration seconds after now.
func NewBackoff(now time.Time, retryDuration float64) Backoff {
	return Backoff{end: now.Add(seconds(retryDuration))}
}

// Next returns the delay before the next retry, and false if no retries are left.
func (b *Backoff) Next(now time.Time) (time.Duration, bool) {
	if !now.Before(b.end) {
		return 0, false
	}
	b.delay = math.Min(maxDelay, math.Max(firstDelay, 2*b.delay))
	return seconds(b.delay), true
}
