package control

import "math"

// RequestCancelled records that the client has disconnected or cancelled its request.
func (d *Dispatcher) RequestCancelled(id RequestID) {
	req := d.inFlight.lookup(id)
	if req != nil && req.state != stateDone {
		d.finish(req)
	}
}

// ResponseStarted records that the client is receiving the response: no other attempt may provide it from now on.
func (d *Dispatcher) ResponseStarted(id RequestID, _ int, _ WorkerID, _ Seconds) {
	req := d.inFlight.lookup(id)
	if req != nil {
		req.streaming = true
	}
}

// AttemptFinished records the outcome of an attempt, and queues or retries its request if that has no final response yet.
func (d *Dispatcher) AttemptFinished(result AttemptResult) {
	req, ended := d.lookupAttempt(result.ID, result.Attempt)
	if ended == nil {
		return
	}
	target := req.model.replica(ended.worker)
	d.queue.capacityMayHaveChanged = true
	d.updateQueuedWork(ended.worker)
	req.releaseAttempt(ended, target)
	ended.state = attemptMayHaveRun
	if result.Result.NeverRan() {
		ended.state = attemptNeverRan
	}
	d.recordOutcome(req, ended, result)
	if result.Result == Succeeded {
		d.attemptSucceeded(req, ended, target, result)
		return
	}
	if result.Result == ModelNotLoaded {
		target.markNotLoaded()
		mayRetry := req.state != stateDone && !result.RequestFinished && result.ModelState != LoadFailed
		if mayRetry && d.requestLoad(target) {
			d.enqueueForLoad(req, target)
			return
		}
	} else {
		d.attributeFailure(req, ended, target, result)
	}
	target.finishLoad()
	d.releaseQueued(target, false)
	d.continueAfterFailure(req, result.RequestFinished)
}

// lookupAttempt returns an attempt in flight and its request, or nil for both if the attempt is not in flight.
func (d *Dispatcher) lookupAttempt(id RequestID, number int) (*request, *attempt) {
	req := d.inFlight.lookup(id)
	if req == nil || number < 0 || number >= req.attempted || req.attempts[number].state != attemptInFlight {
		return nil, nil
	}
	return req, &req.attempts[number]
}

// recordOutcome records what the outcome of an attempt shows about the worker's state and load, and updates the retry budget.
func (d *Dispatcher) recordOutcome(req *request, ended *attempt, result AttemptResult) {
	if result.Result.FromWorker() {
		succeeded := result.Result == Succeeded || result.Result == ModelNotLoaded
		ended.worker.outlierByClass[req.trafficClass].recordResponse(d.now, succeeded)
	}
	ended.worker.lease.until = math.Max(ended.worker.lease.until, result.LeaseUntil)
	d.recordLoadReport(ended.worker, result.LoadReport, reportSmoothing)
	if result.Attempt > 0 {
		d.retryBudget.recordResult(result.Result)
	}
	if result.Result == Cancelled || result.Result == TimedOut {
		// The worker may still run the request. If that were ignored, clients that cancel early could overload the worker.
		ended.worker.ledger.recordAbandoned(d.now, d.runTime)
	}
}

// attemptSucceeded updates the estimates with a successful attempt, and releases the requests queued for its replica.
func (d *Dispatcher) attemptSucceeded(req *request, ended *attempt, target *replica, result AttemptResult) {
	d.updateEstimates(req, ended, result)
	ended.worker.concurrency.recordSuccess(d.now, d.runTime, float64(ended.occupancy))
	if result.ModelState == LoadStarted {
		ended.worker.loadBackoffUntil = 0 // the worker has capacity for loads again
	}
	d.recordSuccess(&ended.worker.outlier)
	d.recordSuccess(&ended.worker.outlierByClass[req.trafficClass])
	if ended.sentAt > ended.worker.StartedAt {
		target.loadedUntil = d.now + d.modelKeepAlive
	}
	target.finishLoad()
	d.releaseQueued(target, true)
	d.finish(req)
}

// enqueueForLoad queues a request until a load request finishes, or gives it up if no attempt could follow the load.
func (d *Dispatcher) enqueueForLoad(req *request, target *replica) {
	d.enqueue(req, target)
	if d.attemptsExhausted(req) {
		d.shedOrFail(req)
	}
}

// attributeFailure records a rejection or a failure at its probable cause: the model, the worker, or one traffic class at
// the worker. A timeout at the client's deadline is not attributed to the worker.
func (d *Dispatcher) attributeFailure(req *request, ended *attempt, target *replica, result AttemptResult) {
	switch result.Result {
	case AtCapacity:
		d.handleRejection(req, ended)
	case WorkerError, TimedOut, ConnectFailed, ConnectionReset:
		if result.ModelState == LoadFailed {
			target.markNotLoaded()
		} else if result.Result != TimedOut || d.now < d.respondBy(req) {
			d.recordFailure(ended.worker.failureScope(req.trafficClass, ended.sentAt-failureScopeWindow))
		}
	}
}

// handleRejection sends a worker fewer requests after it rejected an attempt for lack of capacity. If the attempt needed a
// load of a model with a single preferred worker, only loads on the worker are paused: it lacks memory or performs too many
// loads, and may still serve its loaded replicas.
func (d *Dispatcher) handleRejection(req *request, ended *attempt) {
	target := ended.worker
	scope := target.failureScope(req.trafficClass, ended.sentAt-failureScopeWindow)
	if d.sparseTraffic {
		ended.rejection |= rejectedInSparseTraffic
	}
	if !d.listLeaseValid() {
		ended.rejection |= rejectedInOutage
	}
	if ended.loading && req.model.preferred == 1 {
		until := scope.recordRejection(d.now)
		target.countRejection(d.now, until)
		target.loadBackoffUntil = until
		return
	}
	d.throttle(target, scope)
}

// throttle limits a scope to which a rejection is attributed: the worker, or one traffic class there. It lowers the worker's
// concurrency limit, except after repeated rejections of one traffic class while others succeed, which concern only that
// class. It also pauses the scope until a success shows that the worker has capacity again, at most for an exponential
// backoff.
func (d *Dispatcher) throttle(target *worker, scope *outlierDetector) {
	others := target.ledger.occupancy(d.now, d.runTime)
	isWorkerScope := scope == &target.outlier
	if isWorkerScope || scope.rejections == 0 {
		target.concurrency.recordRejection(d.now, others)
	}
	until := scope.recordRejection(d.now)
	target.countRejection(d.now, until)
	scope.backoffUntil = math.Max(scope.backoffUntil, until)
}

// continueAfterFailure finishes a request that has its final response, and retries one without an attempt in flight.
func (d *Dispatcher) continueAfterFailure(req *request, hasResponse bool) {
	if hasResponse || req.state == stateDone {
		d.finish(req)
	} else if req.inFlight == 0 && req.state != stateQueued {
		d.retry(req)
	}
}
