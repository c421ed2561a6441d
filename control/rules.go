package control

// The rules as the dispatcher plans by them, with a margin and within its own clock. The host checks each action again on
// its own, in internal/rules; docs/design.md says why the two stay apart.

// allowed reports whether the rules admit a request to a worker now (rules 1 to 3, and the limit on attempts).
func (d *Dispatcher) allowed(req *request, target *worker) bool {
	if target.State != Ready || d.now >= d.respondBy(req) || req.streaming ||
		req.attempted >= d.maxAttempts || req.inFlight > 0 && !d.hedgingAllowed {
		return false
	}
	earlier := req.mayHaveRun() // the earliest attempt binds; later ones were sent within its scope
	if earlier == nil || req.group.effect == Retriable {
		return true
	}
	return d.withinDedupWindow(req, earlier) && inDedupScope(req.group.dedupScope, earlier.worker, target)
}

// inDedupScope reports whether a worker drops a repeat of a request that another worker may have run.
func inDedupScope(scope DedupScope, earlier, target *worker) bool {
	switch scope {
	case ScopeAll:
		return true
	case ScopeZone:
		return earlier.Zone == target.Zone
	case ScopeCell:
		return earlier.Zone == target.Zone && earlier.Cell == target.Cell
	default:
		return false
	}
}

// withinDedupWindow reports whether a repeat of an attempt that may have run is still dropped within its scope.
func (d *Dispatcher) withinDedupWindow(req *request, earlier *attempt) bool {
	return req.group.effect == Deduplicated && d.now <= earlier.sentAt+req.group.dedupWindow-d.responseMargin()
}

// mayShed reports whether the client may be invited to retry, as a repeat is harmless (rule 2).
func (d *Dispatcher) mayShed(req *request) bool {
	earlier := req.mayHaveRun()
	return !req.streaming && (earlier == nil || req.group.effect == Retriable ||
		req.group.dedupScope == ScopeAll && d.withinDedupWindow(req, earlier))
}

// attemptsExhausted reports whether the rules bar every further attempt for good, at any worker: holding the request
// would only delay its answer.
func (d *Dispatcher) attemptsExhausted(req *request) bool {
	if req.inFlight > 0 {
		return false
	}
	earlier := req.mayHaveRun()
	return req.attempted >= d.maxAttempts ||
		earlier != nil && req.group.effect != Retriable && !d.withinDedupWindow(req, earlier)
}
