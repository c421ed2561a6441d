package control

import "math"

// This file applies the rules to decisions, with a margin before deadlines. The host checks each action independently with
// internal/rules; docs/design.md explains why the two implementations are separate.

// clientRetryMargin is the time, in seconds, from the end of a Retry-After time until the client's retry is sent to a worker.
const clientRetryMargin = 0.1

// allowed reports whether rules 1 to 3 and the limits on attempts allow an attempt of a request at a worker now.
func (d *Dispatcher) allowed(req *request, target *worker) bool {
	return d.leaseValid(target) && d.allowedUnderLease(req, target)
}

// allowedUnderLease reports the same on the condition that the worker has a lease or obtains one.
func (d *Dispatcher) allowedUnderLease(req *request, target *worker) bool {
	if target.State != Ready || d.now >= d.respondBy(req) || req.streaming {
		return false
	}
	if req.attempted >= d.maxAttempts || req.inFlight > 0 && !d.hedgingAllowed {
		return false
	}
	return req.group.effect == Retriable || d.mayRepeat(req, req.attempts[:req.attempted], target)
}

// mayRepeat reports whether an attempt at a worker cannot run a request twice that is not retriable, given other attempts of
// the request: the worker drops the repeat of each one that may have run or is in flight.
func (d *Dispatcher) mayRepeat(req *request, others []attempt, target *worker) bool {
	for i := range others {
		other := &others[i]
		if other.state == attemptNeverRan {
			continue
		}
		if !d.withinDedupWindow(req, other) || !inDedupScope(req.group.dedupScope, other.group, target.dedupGroup()) {
			return false
		}
	}
	return true
}

// inDedupScope reports whether a worker of one group drops a repeat of a request that a worker of another may have run.
func inDedupScope(scope DedupScope, earlier, target DedupGroup) bool {
	switch scope {
	case ScopeAll:
		return true
	case ScopeZone:
		return earlier.ZoneKnown && target.ZoneKnown && earlier.Zone == target.Zone
	case ScopeCell:
		return earlier.CellKnown && target.CellKnown && earlier.Zone == target.Zone && earlier.Cell == target.Cell
	default:
		return false
	}
}

// withinDedupWindow reports whether workers still drop a repeat of an earlier attempt that may have run.
func (d *Dispatcher) withinDedupWindow(req *request, earlier *attempt) bool {
	return d.withinDedupWindowAt(d.now, req, earlier)
}

// withinDedupWindowAt reports whether workers drop a repeat, sent at the given time, of an attempt that may have run.
func (d *Dispatcher) withinDedupWindowAt(at Seconds, req *request, earlier *attempt) bool {
	return req.group.effect == Deduplicated && at <= earlier.sentAt+req.group.dedupWindow-d.responseMargin()
}

// retryAfter returns the Retry-After time of a request that is shed.
func (d *Dispatcher) retryAfter(req *request) Seconds {
	return math.Min(req.model.loadTime, d.maxRetryAfter)
}

// clientRetryDelay returns how long it takes, at most, until a client's retry of a request that is shed now is sent to a worker.
func (d *Dispatcher) clientRetryDelay(req *request) Seconds {
	delay := d.retryAfter(req)
	if d.retryResolution > 0 {
		delay = math.Ceil(delay/d.retryResolution) * d.retryResolution
	}
	return delay + clientRetryMargin
}

// mayShed reports whether a request may be shed, which invites the client to retry it: whether a repeat is harmless (rule 2),
// also at the end of the Retry-After time.
func (d *Dispatcher) mayShed(req *request) bool {
	if req.streaming {
		return false
	}
	earlier := req.mayHaveRun()
	if earlier == nil || req.group.effect == Retriable {
		return true
	}
	return req.group.dedupScope == ScopeAll && d.withinDedupWindowAt(d.now+d.clientRetryDelay(req), req, earlier)
}

// attemptsExhausted reports whether the rules forbid any further attempt, now and later. Queueing the request would then only
// delay its final response.
func (d *Dispatcher) attemptsExhausted(req *request) bool {
	if req.inFlight > 0 {
		return false
	}
	earlier := req.mayHaveRun()
	return req.attempted >= d.maxAttempts ||
		earlier != nil && req.group.effect != Retriable && !d.withinDedupWindow(req, earlier)
}
