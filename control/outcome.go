package control

// RequestCancelled records that the client has left.
func (d *Dispatcher) RequestCancelled(id RequestID) {
	if req := d.inFlight.lookup(id); req != nil && req.state != stateDone {
		d.finish(req)
	}
}

// ResponseStarted records that the answer has begun to reach the client: no other attempt may answer from now on.
func (d *Dispatcher) ResponseStarted(id RequestID, _ int, _ WorkerID, _ Seconds) {
	if req := d.inFlight.lookup(id); req != nil {
		req.streaming = true
	}
}

// AttemptFinished learns from the outcome of an attempt, and holds or retries its request where that has no answer yet.
func (d *Dispatcher) AttemptFinished(result AttemptResult) {
	req, ended := d.pendingAttempt(result.ID, result.Attempt)
	if ended == nil {
		return
	}
	target := req.model.replica(ended.worker)
	d.held.capacityMayHaveChanged = true
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
		if req.state != stateDone && !result.RequestAnswered && result.ModelState != LoadFailed && d.requestLoad(target) {
			d.holdForLoad(req, target)
			return
		}
	} else {
		d.attributeFailure(req, ended, target, result)
	}
	target.finishLoad()
	d.releaseHeld(target, false)
	d.continueAfterFailure(req, result.RequestAnswered)
}

// pendingAttempt returns an attempt that is in flight, and its request; nil for any other.
func (d *Dispatcher) pendingAttempt(id RequestID, number int) (*request, *attempt) {
	req := d.inFlight.lookup(id)
	if req == nil || number < 0 || number >= req.attempted || req.attempts[number].state != attemptPending {
		return nil, nil
	}
	return req, &req.attempts[number]
}

// recordOutcome records what any outcome reveals: of the worker, its load, and the success of retries.
func (d *Dispatcher) recordOutcome(req *request, ended *attempt, result AttemptResult) {
	if result.Result.FromWorker() {
		answeredWell := result.Result == Succeeded || result.Result == ModelNotLoaded
		ended.worker.outlierByClass[req.trafficClass].recordResponse(d.now, answeredWell)
	}
	d.recordLoadReport(ended.worker, result.LoadReport, reportSmoothing)
	if result.Attempt > 0 {
		d.retryBudget.recordResult(result.Result)
	}
	if result.Result == Cancelled || result.Result == TimedOut {
		// The worker may still run it: if that were ignored, clients that leave early would seem to cost nothing.
		ended.worker.ledger.recordAbandoned(d.now, d.runTime)
	}
}

// attemptSucceeded learns from a good answer, and releases the requests held for the replica.
func (d *Dispatcher) attemptSucceeded(req *request, ended *attempt, target *replica, result AttemptResult) {
	d.learn(req, ended, result)
	d.recordSuccess(&ended.worker.outlier)
	d.recordSuccess(&ended.worker.outlierByClass[req.trafficClass])
	if ended.sentAt > ended.worker.StartedAt {
		target.loadedUntil = d.now + d.modelKeepAlive
	}
	target.finishLoad()
	d.releaseHeld(target, true)
	d.finish(req)
}

// holdForLoad holds a request for a load order, or answers it where no attempt could follow the load.
func (d *Dispatcher) holdForLoad(req *request, target *replica) {
	d.hold(req, target)
	if d.attemptsExhausted(req) {
		d.giveUp(req)
	}
}

// attributeFailure records a rejection or a failure where it belongs: with the model, the worker, or one traffic class at
// the worker. A timeout at the client's deadline is no fault of the worker.
func (d *Dispatcher) attributeFailure(req *request, ended *attempt, target *replica, result AttemptResult) {
	switch result.Result {
	case AtCapacity:
		d.backOff(req, ended)
	case WorkerError, TimedOut, ConnectFailed, ConnectionReset:
		if result.ModelState == LoadFailed {
			target.markNotLoaded()
		} else if result.Result != TimedOut || d.now < d.respondBy(req) {
			d.recordFailure(ended.worker.failureScope(req.trafficClass, ended.sentAt-failureScopeWindow))
		}
	}
}

// backOff gives a worker that rejected an attempt some time without new requests of that scope. Where the attempt needed a
// load, it is given time without loads only: it lacks memory, or performs too many loads, and its warm replicas may do well.
func (d *Dispatcher) backOff(req *request, ended *attempt) {
	scope := ended.worker.failureScope(req.trafficClass, ended.sentAt-failureScopeWindow)
	ended.rejected = d.sparseTraffic
	until := scope.recordRejection(d.now)
	if ended.loading && req.model.preferred == 1 {
		ended.worker.loadBackoffUntil = until
	} else {
		scope.rejectedUntil = until
	}
}

// continueAfterFailure finishes a request that is answered, and retries one that has no other attempt in flight.
func (d *Dispatcher) continueAfterFailure(req *request, answered bool) {
	if answered || req.state == stateDone {
		d.finish(req)
	} else if req.inFlight == 0 && req.state != stateHeld {
		d.retry(req)
	}
}
