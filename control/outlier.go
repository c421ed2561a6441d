package control

import "math"

const (
	failureSmoothing   = 0.2  // weight of one outcome in a failure rate: about the last five count
	ejectionThreshold  = 0.3  // failure rate at which a worker is ejected: two failures close together
	initialRampRate    = 1.0  // attempts/s admitted after an ejection
	finalRampRate      = 16.0 // attempts/s at which the ejection ends: four doublings
	failureScopeWindow = 5.0  // s before an attempt in which a good answer to other traffic shows that the worker itself is well
	minRejectBackoff   = 0.05 // s without new requests after a worker rejected one; doubles until it answers
	maxRejectBackoff   = 0.5  // s, the longest backoff
)

// outlierDetector judges one scope by the outcomes of attempts: a worker, or one traffic class at a worker. It ejects the
// scope by its failure rate, readmits it by a recovery ramp that doubles with each success, and backs off after rejections.
type outlierDetector struct {
	failureRate       float64 // smoothed share of attempts that failed for reasons of the scope itself
	ejected           bool
	rampRate          float64 // attempts/s admitted while ejected
	nextAttemptAt     Seconds // no attempt before then while ejected
	rejectedUntil     Seconds // no new request before then: the scope rejected some
	rejections        float64 // rejections since the last success
	respondedAt       Seconds // time of the last answer
	responseSucceeded bool    // the last answer was not an error
}

// recordResponse records that the worker itself answered, and whether without an error.
func (o *outlierDetector) recordResponse(now Seconds, well bool) {
	o.respondedAt = now
	o.responseSucceeded = well
}

// recordSuccess lowers the failure rate and, while the scope is ejected, doubles the recovery ramp.
func (o *outlierDetector) recordSuccess() {
	o.failureRate -= failureSmoothing * o.failureRate
	o.rejections = 0
	o.rampRate = 2 * o.rampRate
	if o.ejected && o.rampRate >= finalRampRate {
		o.ejected = false
		o.failureRate = ejectionThreshold / 2 // one more failure ejects it again
	}
}

// recordFailure raises the failure rate and ejects the scope where it is too high. A failure while ejected restarts the ramp.
func (o *outlierDetector) recordFailure(now Seconds) {
	o.failureRate += failureSmoothing * (1 - o.failureRate)
	if o.failureRate > ejectionThreshold || o.ejected {
		o.ejected = true
		o.rampRate = initialRampRate
		o.nextAttemptAt = now + 1/initialRampRate
	}
}

// recordRejection returns until when the scope should receive nothing, by a backoff that doubles with each rejection.
func (o *outlierDetector) recordRejection(now Seconds) Seconds {
	o.rejections++
	return now + math.Min(minRejectBackoff*math.Exp2(o.rejections-1), maxRejectBackoff)
}

// admits reports whether the scope may receive an attempt now. A request that must not run twice is not used to find out
// whether an ejected scope has recovered.
func (o *outlierDetector) admits(now Seconds, effect Effect, ignoreEjection bool) bool {
	if now < o.rejectedUntil {
		return false
	}
	if !o.ejected || ignoreEjection {
		return true
	}
	return !(now < o.nextAttemptAt || effect == NonRetriable && o.rampRate <= initialRampRate)
}

// chargeAttempt spaces the attempts at an ejected scope, by chance so that the dispatchers do not attempt in step.
func (o *outlierDetector) chargeAttempt(now Seconds, rnd *random) {
	if o.ejected {
		o.nextAttemptAt = now + (0.5+rnd.float())/o.rampRate
	}
}

// failureScope returns the narrowest scope that a failure of one traffic class implicates. Where the latest answer to
// any other class since then was a good one, that is the class at this worker, else the worker itself.
func (w *worker) failureScope(trafficClass int, since Seconds) *outlierDetector {
	lastAnswer, answeredWell := since, false
	for i := range w.outlierByClass {
		if other := &w.outlierByClass[i]; i != trafficClass && other.respondedAt > lastAnswer {
			lastAnswer, answeredWell = other.respondedAt, other.responseSucceeded
		}
	}
	if answeredWell {
		return &w.outlierByClass[trafficClass]
	}
	return &w.outlier
}

// recordSuccess records a success for a scope and keeps the count of ejected workers.
func (d *Dispatcher) recordSuccess(scope *outlierDetector) {
	wasEjected := scope.ejected
	scope.recordSuccess()
	if scope.ejected != wasEjected {
		d.workers.recount()
	}
}

// recordFailure records a failure for a scope and keeps the count of ejected workers.
func (d *Dispatcher) recordFailure(scope *outlierDetector) {
	wasEjected := scope.ejected
	scope.recordFailure(d.now)
	if scope.ejected != wasEjected {
		d.workers.recount()
	}
}
