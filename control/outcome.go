package control

import "math"

// AttemptFinished learns from the end of an attempt, and goes on with its request where that has no answer yet.
func (d *Dispatcher) AttemptFinished(o AttemptResult) {
	r := d.inFlight.lookup(o.ID)
	if r == nil || o.Attempt < 0 || o.Attempt >= r.attempted || r.attempts[o.Attempt].state != attemptPending {
		return
	}
	a := &r.attempts[o.Attempt]
	w, rep := a.worker, r.model.replica(a.worker)
	d.heardNews = true
	d.queuedWork(w)
	d.settleAttempt(r, a, rep)
	if a.state = attemptMayHaveRun; o.Result.NeverRan() {
		a.state = attemptNeverRan
	}
	if class := &w.classes[r.class]; o.Result.FromWorker() {
		class.answeredAt, class.answeredWell = d.now, o.Result == Succeeded || o.Result == ModelNotLoaded
	}
	d.takeReport(w, o.LoadReport, reportSmoothing)
	if o.Result == Succeeded && o.Attempt > 0 {
		d.retrySuccess += smoothing * (1 - d.retrySuccess)
	} else if o.Attempt > 0 && o.Result != Cancelled && o.Result != ModelNotLoaded {
		d.retrySuccess -= smoothing * d.retrySuccess
	}
	if o.Result == Cancelled || o.Result == TimedOut {
		w.abandon(d.now, d.runTime) // it may work on: else an impatient crowd would seem to cost nothing
	}
	switch o.Result {
	case Succeeded:
		d.returned(r, a, o)
		return
	case ModelNotLoaded:
		rep.warmUntil = math.Inf(-1)
		if r.state != stateDone && !o.RequestAnswered && o.ModelState != LoadFailed && d.orderLoad(rep) {
			if d.hold(r, rep); d.exhausted(r) {
				d.giveUp(r)
			}
			return
		}
	case AtCapacity:
		d.rest(r, a)
	case WorkerError, TimedOut, ConnectFailed, ConnectionReset:
		if o.ModelState == LoadFailed {
			rep.warmUntil = math.Inf(-1)
		} else if o.Result != TimedOut || d.now < r.notAfter-d.answerMargin() {
			d.recordResult(d.failureScope(w, r.class, a.sentAt-failureScopeSpan), false)
		}
	}
	d.loadSettled(rep)
	d.releaseHeld(rep, false)
	if o.RequestAnswered || r.state == stateDone {
		d.finish(r)
	} else if r.pending == 0 && r.state != stateHeld {
		d.retry(r)
	}
}

// returned learns from a good answer, and lets those held for it go.
func (d *Dispatcher) returned(r *request, a *attempt, o AttemptResult) {
	w, rep := a.worker, r.model.replica(a.worker)
	d.learn(r, a, o)
	d.recordResult(&w.health, true)
	d.recordResult(&w.classes[r.class], true)
	if a.sentAt > w.StartedAt {
		rep.warmUntil = d.now + d.keepAlive
	}
	d.loadSettled(rep)
	d.releaseHeld(rep, true)
	d.finish(r)
}

// rest gives a worker that turned an attempt away some time without new work of that class, or without loads.
func (d *Dispatcher) rest(r *request, a *attempt) {
	h := d.failureScope(a.worker, r.class, a.sentAt-failureScopeSpan)
	a.rejected, h.fullCount = d.sparseTraffic, h.fullCount+1
	until := d.now + math.Min(fullBackoff*math.Exp2(h.fullCount-1), fullBackoffMax)
	if a.loading && r.model.preferred == 1 { // no room for the copy, or too many loads: warm copies may do well
		a.worker.noLoadUntil = until
	} else {
		h.fullUntil = until
	}
}

// ProbeFinished takes the report that answers a probe; requests held for it are placed.
func (d *Dispatcher) ProbeFinished(o ProbeResult) {
	if w := d.workersByID[o.Worker]; w != nil && o.Result == Succeeded {
		d.takeReport(w, o.LoadReport, 1)
	}
	d.heardNews = true
	d.sweep()
}
