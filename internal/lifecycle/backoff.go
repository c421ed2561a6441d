package lifecycle

import (
	"math"
	"time"
)

// WholeDelay as the longest wait of Signals.Await, in seconds, leaves the backoff's delays as they are.
const WholeDelay = maxDelay

const (
	firstDelay = 0.02 // s between a failure and the first retry; each further delay is twice as long
	maxDelay   = 0.25 // s: a start or reload succeeds at most so long after it could
)

// Backoff is an exponential backoff that ends after a span. The zero value has no retries left. It is not safe for
// concurrent use.
type Backoff struct {
	end   time.Time
	delay float64 // s, the latest one; 0 before the first
}

// NewBackoff returns a backoff whose retries end span seconds after now.
func NewBackoff(now time.Time, span float64) Backoff {
	return Backoff{end: now.Add(seconds(span))}
}

// Next returns the delay before the next retry. It returns false if the span has passed.
func (b *Backoff) Next(now time.Time) (time.Duration, bool) {
	if !now.Before(b.end) {
		return 0, false
	}
	b.delay = math.Min(maxDelay, math.Max(firstDelay, 2*b.delay))
	return seconds(b.delay), true
}
