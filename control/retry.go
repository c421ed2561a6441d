package control

import (
	"math"
	"slices"
)

const hedgeDelay = 3.0 // expected response times until an attempt counts as late: response times spread about as wide

// retry makes another attempt where the rules and the retry budget admit one.
func (d *Dispatcher) retry(req *request) {
	if d.retryBudget.available() && slices.ContainsFunc(d.workers.all, func(w *worker) bool { return d.allowed(req, w) }) {
		d.retryBudget.spend()
		d.place(req)
	} else if req.inFlight == 0 {
		d.giveUp(req)
	}
}

// hedgeLateAttempts considers a hedged request for each attempt in flight, until one is wanted.
func (d *Dispatcher) hedgeLateAttempts(req *request) {
	for i := 0; i < req.attempted && req.state == statePending && !req.streaming; i++ {
		if pending := &req.attempts[i]; pending.state == attemptPending && !pending.hedged && (d.isLost(pending) || d.isSilent(req, pending)) {
			d.hedge(req, pending)
		}
	}
}

// isLost reports whether the worker of an attempt is gone or has started anew since.
func (d *Dispatcher) isLost(a *attempt) bool {
	return a.worker.State == Gone || a.sentAt <= a.worker.StartedAt
}

// isSilent reports whether an attempt is far overdue at a worker that has answered nothing of its traffic class since.
// Where it has answered, the request is just a heavy one.
func (d *Dispatcher) isSilent(req *request, a *attempt) bool {
	return !(a.worker.outlierByClass[req.trafficClass].respondedAt > a.sentAt ||
		d.now-a.sentAt < math.Max(hedgeDelay*a.expected, req.objective/2))
}

// hedge sends a hedged request for a lost or silent attempt, where that is allowed. Silence counts as a failure.
func (d *Dispatcher) hedge(req *request, late *attempt) {
	late.hedged = true
	if !d.isLost(late) {
		d.recordFailure(late.worker.failureScope(req.trafficClass, late.sentAt))
	}
	if d.hedgingAllowed {
		d.retry(req)
	}
}
