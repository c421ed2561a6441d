package control

// Reconcile emits the actions that lead from the actual to the desired state.
func (d *Dispatcher) Reconcile() {
	if d.subscription.takeDue(d.now) {
		d.actions.SubscribeEndpointList(true)
	}
	for _, err := range d.settingErrors {
		d.actions.Log(err.Error() + "; the default is used")
	}
	d.settingErrors = nil
	for _, target := range d.pending.loadRequests {
		d.emitLoadRequest(target)
	}
	for _, w := range d.pending.probes {
		d.actions.ProbeWorker(w.ID)
	}
	for _, w := range d.pending.checks {
		d.actions.CheckWorker(w.ID, w.lease.model)
	}
	for _, req := range d.pending.requests {
		d.emitRequest(req)
	}
	d.pending.clear()
	if !d.pending.timerScheduled && (!d.inFlight.empty() || d.subscription.scheduled()) {
		d.pending.timerScheduled = true
		d.actions.SetTimer(timerInterval, 0)
	}
}

// emitLoadRequest sends a load request unless its worker is no longer ready or its lease has ended.
func (d *Dispatcher) emitLoadRequest(target *replica) {
	target.loadRequestScheduled = false
	if target.worker.State == Ready && d.leaseValid(target.worker) {
		target.loadRequestSent = true
		target.startedAt = d.now
		d.actions.LoadModel(target.worker.ID, target.model.id, 1)
	}
}

// emitRequest sends, sheds or fails a request according to its desired state. A finished request is removed from the table
// once it has no attempt in flight.
func (d *Dispatcher) emitRequest(req *request) {
	req.actionPending = false
	switch req.state {
	case stateAttempt:
		scheduled := req.latestAttempt()
		scheduled.group = scheduled.worker.dedupGroup() // events since it was scheduled may have changed it
		d.actions.SendAttempt(req.id, scheduled.worker.ID, 0)
		req.state = statePending
	case stateShed:
		d.actions.Shed(req.id, d.retryAfter(req))
		req.state = stateDone
	case stateFail:
		d.actions.Fail(req.id)
		req.state = stateDone
	}
	if req.state != stateDone {
		return
	}
	if d.cancelAllowed && !req.streaming {
		d.cancelAttempts(req)
	}
	if req.inFlight == 0 && req.live {
		d.inFlight.remove(req)
	}
}

// cancelAttempts cancels the attempts of a request that are in flight.
func (d *Dispatcher) cancelAttempts(req *request) {
	for i := range req.attempts[:req.attempted] {
		if req.attempts[i].state == attemptInFlight {
			d.actions.CancelAttempt(req.id, i)
		}
	}
}
