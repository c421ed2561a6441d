package control

import "math"

const minResponseMargin = 0.02 // s reserved of the client's time, on top of two ticks: two sweeps

// RequestArrived admits a request: it is placed, held or answered at once.
func (d *Dispatcher) RequestArrived(arrival Request) {
	req := d.inFlight.acquire(arrival.ID)
	groupIndex := min(int(arrival.Group), len(d.groups)-1)
	req.group = d.groups[groupIndex]
	req.model = d.requestedModel(arrival, req.group)
	req.arrivedAt, req.workHint = d.now, arrival.WorkHint
	d.measurePopularity(req.model)
	req.clientRetry = arrival.ClientRetry
	req.deadline = d.now + req.group.timeout
	if arrival.Deadline < req.deadline { // false for NaN
		req.deadline = arrival.Deadline
	}
	work := req.group.estimateWork(arrival.WorkHint)
	req.objective = math.Min(req.group.objective+req.group.objectiveStretch*work, req.group.timeout)
	req.trafficClass = groupIndex * d.tenantClasses
	if int(arrival.Tenant) < len(d.tenants) {
		req.trafficClass += int(arrival.Tenant) % d.tenantClasses
		req.overQuota = d.tenants[arrival.Tenant].overQuota(d.now)
	}
	d.retryBudget.earn()
	d.loadBudget.countRequest(d.now)
	if d.now >= d.respondBy(req) {
		d.giveUp(req) // its time ran out before it arrived, as after a stall: the next sweep would be too late
		return
	}
	d.place(req)
}

// requestedModel returns the record of the model that a request is for.
func (d *Dispatcher) requestedModel(arrival Request, group *modelGroup) *model {
	requested := d.models.byID[arrival.Model]
	if requested == nil {
		d.models.evict(maxModels, &d.inFlight)
		requested = &model{id: arrival.Model, group: group, runTime: group.runTime, loadTime: group.loadTime}
		d.models.byID[arrival.Model] = requested
	}
	if isHint(arrival.LoadTimeHint) && !requested.loadKnown {
		requested.loadTime = arrival.LoadTimeHint
	}
	return requested
}

// isHint reports whether a duration in a request is usable: the wire sends 0 where it is unknown.
func isHint(hint Seconds) bool { return hint > 0 && hint < never }

// respondBy returns when a request must have its final answer from this dispatcher, before the client's deadline.
func (d *Dispatcher) respondBy(req *request) Seconds { return req.deadline - d.responseMargin() }

// responseMargin returns how long before the deadline the final answer is sent.
func (d *Dispatcher) responseMargin() Seconds { return minResponseMargin + 2*d.tick }

// giveUp answers a request for good, at once: rejected where a repeat is harmless, else failed.
func (d *Dispatcher) giveUp(req *request) {
	d.outbox.addRequest(req)
	req.releaseHold()
	req.state = stateFail
	if d.mayShed(req) {
		req.state = stateShed
	}
}

// finish records that the final answer is given.
func (d *Dispatcher) finish(req *request) {
	req.releaseHold()
	if req.state == stateAttempt {
		d.retractAttempt(req)
	}
	req.state = stateDone
	d.outbox.addRequest(req)
}

// admits reports whether a worker may receive an attempt now: one that is warming up within our part of its budget
// (rule 4), one that is ejected within its recovery ramp, and none that has just rejected requests.
func (d *Dispatcher) admits(req *request, target *worker) bool {
	if capacity := d.slowStart.capacityFraction(d.now, target.StartedAt); capacity < 1 && !d.admitsWarmingUp(req, target, capacity) {
		return false
	}
	return target.outlier.admits(d.now, req.group.effect, d.workers.mostEjected()) &&
		target.outlierByClass[req.trafficClass].admits(d.now, req.group.effect, false)
}

// chargeAdmission records that an attempt uses a turn of a worker that is warming up or ejected.
func (d *Dispatcher) chargeAdmission(req *request, target *worker) {
	d.chargeWarmup(target)
	target.outlier.chargeAttempt(d.now, &d.rnd)
	target.outlierByClass[req.trafficClass].chargeAttempt(d.now, &d.rnd)
}
