package control

import "math"

const (
	minLearnedConcurrency = 1.0  // attempts in flight; a limit of 0 would never be raised, as no attempt could succeed
	concurrencyIncrease   = 0.05 // attempts in flight added to the limit by each success
	concurrencyRecovery   = 0.5  // attempts in flight added to the limit per second, as successes are rare under low traffic
	provenRunTimes        = 5.0  // run times for which a success shows how many attempts the worker can accept
)

// concurrencyLimiter learns from rejections how many attempts of this dispatcher may be in flight at a worker. A rejection
// while other attempts are in flight lowers the limit to their number: the worker can accept that many, so the next attempt
// is sent when one of them ends, without a backoff. Successes and time raise the limit again, as the capacity that other
// dispatchers leave varies.
type concurrencyLimiter struct {
	limit       float64 // attempts in flight, as of loweredAt and raised by the successes since; 0 for no limit
	loweredAt   Seconds // time of the last decrease of the limit
	proven      float64 // attempts in flight that the worker can accept, as a recent success has shown
	provenUntil Seconds // time until which proven is valid
}

// limitAt returns how many attempts may be in flight, +Inf if no limit was learned.
func (l *concurrencyLimiter) limitAt(now Seconds) float64 {
	if l.limit == 0 {
		return infinity
	}
	return l.limit + float64(concurrencyRecovery*(now-l.loweredAt))
}

// admits reports whether another attempt may be sent in addition to those in flight.
func (l *concurrencyLimiter) admits(now Seconds, inFlight float64) bool {
	return l.limit == 0 || inFlight+1 <= l.limitAt(now)
}

// recordSuccess records the success of an attempt, and how many were in flight, itself included, when it was scheduled.
func (l *concurrencyLimiter) recordSuccess(now, runTime Seconds, inFlight float64) {
	if inFlight >= l.proven || now > l.provenUntil {
		l.proven = inFlight
		l.provenUntil = now + float64(provenRunTimes*runTime)
	}
	if l.limit > 0 {
		l.limit += concurrencyIncrease
	}
}

// recordRejection lowers the limit to the number of other attempts in flight, unless a recent success shows that the worker
// can accept more.
func (l *concurrencyLimiter) recordRejection(now Seconds, others float64) {
	if others < l.proven && now <= l.provenUntil {
		return
	}
	l.limit = math.Max(minLearnedConcurrency, math.Min(others, l.limitAt(now)))
	l.loweredAt = now
}
