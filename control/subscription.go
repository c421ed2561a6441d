package control

import "math"

const minSubscribeBackoff = 0.5 // s from a failure to the next call; doubles with each further failure

// subscription schedules the calls that subscribe to the endpoint list, with exponential backoff after failures.
type subscription struct {
	dueAt      Seconds // time of the next call, +Inf if none is scheduled
	backoff    Seconds // delay after the next failure
	maxBackoff Seconds
}

// newSubscription returns a subscription whose first call is due at once, or that schedules no call if changes arrive
// without one.
func newSubscription(mode DiscoveryMode, maxBackoff Seconds) subscription {
	s := subscription{backoff: minSubscribeBackoff, maxBackoff: maxBackoff}
	if mode != DiscoverySubscribe {
		s.dueAt = infinity
	}
	return s
}

// failed schedules another call after the backoff.
func (s *subscription) failed(now Seconds) {
	s.dueAt = now + s.backoff
	s.backoff = math.Min(2*s.backoff, s.maxBackoff)
}

// succeeded resets the backoff.
func (s *subscription) succeeded() { s.backoff = minSubscribeBackoff }

// takeDue reports whether a call is due. If so, the caller has to make it: it is no longer scheduled.
func (s *subscription) takeDue(now Seconds) bool {
	if now < s.dueAt {
		return false
	}
	s.dueAt = infinity
	return true
}

// scheduled reports whether a call is scheduled.
func (s *subscription) scheduled() bool { return !math.IsInf(s.dueAt, 1) }
