package control

import "math"

const evictGoneAfter = 300 // s after which a worker that is gone is evicted; a worker that restarts is listed again by then

// UpdateWorkers applies a watch event of the endpoint list, or records that discovery was unavailable.
func (d *Dispatcher) UpdateWorkers(kind EndpointListKind, _ uint32, list []WorkerInfo) {
	if kind == ListFailed {
		d.subscription.failed(d.now)
		return
	}
	if kind != ListCached {
		d.subscription.succeeded()
	}
	if kind != ListDelta {
		for _, w := range d.workers.all {
			w.State = Gone
		}
	}
	for _, info := range list {
		d.updateWorker(info)
	}
	d.evictWorkers()
	d.workers.recount()
	d.queue.capacityMayHaveChanged = true
	d.rescheduleUnsentAttempts()
	d.scanRequests()
}

// updateWorker applies one entry of the endpoint list. After a restart a worker has no model loaded.
func (d *Dispatcher) updateWorker(info WorkerInfo) {
	known := d.workers.byID[info.ID]
	if known == nil {
		d.workers.add(info, len(d.groups)*d.tenantClasses)
		return
	}
	if info.StartedAt > known.StartedAt {
		d.models.markRestarted(known)
		known.resetHistory()
	}
	d.reassignAttempts(known, info)
	known.WorkerInfo = info
}

// evictWorkers removes workers that have been gone for evictGoneAfter, unless requests are in flight there or queued for
// them.
func (d *Dispatcher) evictWorkers() {
	for i := 0; i < len(d.workers.all); i++ {
		known := d.workers.all[i]
		if known.State != Gone {
			known.goneAt = math.Inf(1)
			continue
		}
		known.goneAt = math.Min(known.goneAt, d.now)
		if d.now < known.goneAt+evictGoneAfter || known.ledger.inFlight > 0 || d.inFlight.anyQueuedFor(known) {
			continue
		}
		for _, m := range d.models.byID {
			m.dropReplica(known)
		}
		d.workers.remove(i)
		i--
	}
}

// rescheduleUnsentAttempts places requests again whose attempts are not sent yet, if the worker has since become draining or
// gone, has restarted or has lost its lease, or may no longer drop the repeat. Such attempts were scheduled by earlier events
// since the last Reconcile.
func (d *Dispatcher) rescheduleUnsentAttempts() {
	for _, req := range d.pending.requests {
		if req.state != stateAttempt {
			continue
		}
		unsent := req.latestAttempt()
		if d.mayStillSend(req, unsent) {
			continue
		}
		d.retractAttempt(req)
		req.state = statePending
		if req.inFlight == 0 { // otherwise only the hedged request is withdrawn
			d.place(req)
		}
	}
}

// mayStillSend reports whether the latest attempt of a request, which has not been sent yet, may still be sent.
func (d *Dispatcher) mayStillSend(req *request, unsent *attempt) bool {
	target := unsent.worker
	if target.State != Ready || !d.leaseValid(target) || unsent.sentAt <= target.StartedAt {
		return false
	}
	return req.group.effect == Retriable || d.mayRepeat(req, req.attempts[:req.attempted-1], target)
}
