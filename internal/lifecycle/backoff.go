package lifecycle

import (
	"math"
	"time"
)

const (
	firstDelay = 0.02 // s between a failure and the first retry; each further delay is twice as long
	maxDelay   = 0.25 // s
)

// Retry is an exponential backoff that ends after a span. The zero value has no retries left. It is not safe for
// concurrent use.
type Retry struct {
	end   time.Time
	delay float64 // s, the latest one
}

// NewRetry returns a backoff whose retries end span seconds after now.
func NewRetry(now time.Time, span float64) Retry {
	return Retry{end: now.Add(seconds(span))}
}

// Next returns the delay before the next retry. It returns false if the span has passed.
func (b *Retry) Next(now time.Time) (time.Duration, bool) {
	if !now.Before(b.end) {
		return 0, false
	}
	b.delay = math.Min(maxDelay, math.Max(firstDelay, 2*b.delay))
	return seconds(b.delay), true
}
