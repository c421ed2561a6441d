package control

import "math"

const (
	failureSmoothing   = 0.2  // weight of one outcome in a failure rate, which covers about the last five outcomes
	ejectionThreshold  = 0.3  // failure rate above which a scope is ejected: reached by two failures close together
	initialRampRate    = 1.0  // attempts/s admitted after an ejection
	finalRampRate      = 16.0 // attempts/s at which the ejection ends, after four successes
	failureScopeWindow = 5.0  // s before an attempt within which a success of another traffic class shows that the worker itself is healthy
	minRejectBackoff   = 0.05 // s without new requests after a rejection; doubles with each further rejection until a success
	maxRejectBackoff   = 0.5  // s, the longest backoff
)

// outlierDetector tracks the outcomes of attempts at one scope: a worker, or one traffic class at a worker. It ejects the
// scope when its failure rate is high, readmits it by a recovery ramp whose rate doubles with each success, and backs off
// after rejections.
type outlierDetector struct {
	failureRate       float64 // exponential average of the fraction of attempts whose failure is attributed to the scope
	ejected           bool
	rampRate          float64 // attempts/s that the recovery ramp admits while ejected
	nextAttemptAt     Seconds // earliest time of the next attempt while ejected
	backoffUntil      Seconds // end of the backoff after rejections
	rejections        float64 // rejections since the last success
	respondedAt       Seconds // time of the last response
	responseSucceeded bool    // the last response was a success
}

// recordResponse records a response of the worker itself, and whether it was a success.
func (o *outlierDetector) recordResponse(now Seconds, succeeded bool) {
	o.respondedAt = now
	o.responseSucceeded = succeeded
}

// recordSuccess lowers the failure rate, ends a backoff and, while the scope is ejected, doubles the rate of the recovery
// ramp.
func (o *outlierDetector) recordSuccess() {
	o.failureRate -= float64(failureSmoothing * o.failureRate)
	o.rejections = 0
	o.backoffUntil = 0
	o.rampRate *= 2
	if o.ejected && o.rampRate >= finalRampRate {
		o.ejected = false
		o.failureRate = ejectionThreshold / 2 // one more failure ejects it again
	}
}

// recordFailure raises the failure rate, and ejects the scope if the rate is too high. A failure while ejected restarts the
// recovery ramp.
func (o *outlierDetector) recordFailure(now Seconds) {
	o.failureRate += float64(failureSmoothing * (1 - o.failureRate))
	if o.failureRate > ejectionThreshold || o.ejected {
		o.ejected = true
		o.rampRate = initialRampRate
		o.nextAttemptAt = now + 1/initialRampRate
	}
}

// recordRejection records a rejection and returns the end of the backoff, which doubles with each rejection.
func (o *outlierDetector) recordRejection(now Seconds) Seconds {
	o.rejections++
	return now + math.Min(minRejectBackoff*math.Exp2(o.rejections-1), maxRejectBackoff)
}

// admits reports whether the scope may receive an attempt of a request with the given effect now.
func (o *outlierDetector) admits(now Seconds, effect Effect) bool {
	return !o.backingOff(now) && (!o.ejected || o.rampAdmits(now, effect))
}

// backingOff reports whether the scope receives no attempts now because of earlier rejections.
func (o *outlierDetector) backingOff(now Seconds) bool { return now < o.backoffUntil }

// rampAdmits reports whether the recovery ramp of an ejected scope allows an attempt now. The first attempts after an
// ejection may fail again, so requests that must not run twice are excluded from them.
func (o *outlierDetector) rampAdmits(now Seconds, effect Effect) bool {
	isFirstStep := o.rampRate <= initialRampRate
	return !(now < o.nextAttemptAt || effect == NonRetriable && isFirstStep)
}

// chargeAttempt schedules the next attempt at an ejected scope, with jitter so that the dispatchers do not synchronize.
func (o *outlierDetector) chargeAttempt(now Seconds, rnd *random) {
	if o.ejected {
		o.nextAttemptAt = now + (0.5+rnd.float())/o.rampRate
	}
}

// failureScope returns the scope to which a failure of one traffic class is attributed: that class at the worker if the
// latest response to any other class since the given time was a success, the whole worker otherwise.
func (w *worker) failureScope(trafficClass int, since Seconds) *outlierDetector {
	latest := since
	othersSucceed := false
	for i := range w.outlierByClass {
		other := &w.outlierByClass[i]
		if i != trafficClass && other.respondedAt > latest {
			latest = other.respondedAt
			othersSucceed = other.responseSucceeded
		}
	}
	if othersSucceed {
		return &w.outlierByClass[trafficClass]
	}
	return &w.outlier
}

// recordSuccess records a success for a scope and updates the count of ejected workers.
func (d *Dispatcher) recordSuccess(scope *outlierDetector) {
	wasEjected := scope.ejected
	scope.recordSuccess()
	if scope.ejected != wasEjected {
		d.workers.recount()
	}
}

// recordFailure records a failure for a scope and updates the count of ejected workers.
func (d *Dispatcher) recordFailure(scope *outlierDetector) {
	wasEjected := scope.ejected
	scope.recordFailure(d.now)
	if scope.ejected != wasEjected {
		d.workers.recount()
	}
}
