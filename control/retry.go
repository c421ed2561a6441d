package control

import (
	"math"
	"slices"
)

const hedgeDelayFactor = 3.0 // multiple of the expected response time after which an attempt counts as late: response times vary by about this factor

// retry places a request for another attempt if the rules and the retry budget allow one. Otherwise it gives the request up,
// unless an attempt is in flight.
func (d *Dispatcher) retry(req *request) {
	switch {
	case d.retryBudget.available() && d.anyAllowed(req):
		d.retryBudget.spend()
		d.place(req)
	case req.inFlight == 0:
		d.shedOrFail(req)
	}
}

// anyAllowed reports whether the rules allow an attempt of a request at some worker, now or after its lease is renewed.
func (d *Dispatcher) anyAllowed(req *request) bool {
	return slices.ContainsFunc(d.workers.all, func(w *worker) bool {
		return d.allowedUnderLease(req, w) && (d.leaseValid(w) || d.leaseObtainable(req, w))
	})
}

// hedgeLateAttempts considers a hedged request for each late attempt in flight, until one is scheduled.
func (d *Dispatcher) hedgeLateAttempts(req *request) {
	for i := 0; i < req.attempted && req.state == statePending && !req.streaming; i++ {
		candidate := &req.attempts[i]
		if candidate.state != attemptInFlight || candidate.hedged {
			continue
		}
		if d.isLost(candidate) || d.isOverdue(req, candidate) {
			d.hedge(req, candidate)
		}
	}
}

// isLost reports whether the worker of an attempt is gone or has restarted since the attempt was sent.
func (d *Dispatcher) isLost(a *attempt) bool {
	return a.worker.State == Gone || a.sentAt <= a.worker.StartedAt
}

// isOverdue reports whether an attempt has taken too long and its worker has sent no response for the same traffic class
// since the attempt was sent. If the worker has responded, the request itself is probably slow.
func (d *Dispatcher) isOverdue(req *request, a *attempt) bool {
	hasResponded := a.worker.outlierByClass[req.trafficClass].respondedAt > a.sentAt
	inTime := d.now-a.sentAt < math.Max(hedgeDelayFactor*a.expectedDuration, req.objective/2)
	return !hasResponded && !inTime
}

// hedge schedules a hedged request for a lost or overdue attempt, if hedging is allowed. An overdue attempt counts as a
// failure of the worker.
func (d *Dispatcher) hedge(req *request, late *attempt) {
	late.hedged = true
	if !d.isLost(late) {
		d.recordFailure(late.worker.failureScope(req.trafficClass, late.sentAt))
	}
	if d.hedgingAllowed {
		d.retry(req)
	}
}
