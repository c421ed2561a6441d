package control

import "math"

const minResponseMargin = 0.02 // s from the final response to the deadline: two timer intervals; responseMargin adds two ticks

// RequestArrived places a request at a worker, queues it, or sheds or fails it if its deadline is too near.
func (d *Dispatcher) RequestArrived(arrival Request) {
	req := d.inFlight.acquire(arrival.ID)
	groupIndex := min(int(arrival.Group), len(d.groups)-1)
	req.group = d.groups[groupIndex]
	req.model = d.requestedModel(arrival, req.group)
	req.arrivedAt = d.now
	req.workHint = arrival.WorkHint
	d.measurePopularity(req.model)
	req.clientRetry = arrival.ClientRetry
	req.deadline = d.now + req.group.timeout
	if arrival.Deadline < req.deadline { // false for NaN, unlike math.Min
		req.deadline = arrival.Deadline
	}
	work := req.group.estimateWork(arrival.WorkHint)
	req.objective = math.Min(req.group.objective+float64(req.group.objectiveStretch*work), req.group.timeout)
	req.trafficClass = groupIndex * d.tenantClasses
	if int(arrival.Tenant) < len(d.tenants) {
		req.trafficClass += int(arrival.Tenant) % d.tenantClasses
		req.overQuota = d.tenants[arrival.Tenant].chargeRequest(d.now)
	}
	d.retryBudget.earn()
	d.loadBudget.countRequest(d.now)
	if d.now >= d.respondBy(req) {
		d.shedOrFail(req) // for example after a stall of the process; at the next timer event it would be too late
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
	if isUsableHint(arrival.LoadTimeHint) && !requested.loadKnown {
		requested.loadTime = arrival.LoadTimeHint
	}
	return requested
}

// isUsableHint reports whether a request carries a usable hint. A hint is 0 if the client does not know the duration.
func isUsableHint(hint Seconds) bool { return hint > 0 && hint < infinity }

// respondBy returns the time by which this dispatcher gives a request its final response, shortly before the client's
// deadline.
func (d *Dispatcher) respondBy(req *request) Seconds { return req.deadline - d.responseMargin() }

// responseMargin returns how long before the client's deadline the final response is due.
func (d *Dispatcher) responseMargin() Seconds { return minResponseMargin + 2*d.tick }

// shedOrFail ends a request without a worker's response: shed if a retry by the client is harmless, failed otherwise.
func (d *Dispatcher) shedOrFail(req *request) {
	d.pending.addRequest(req)
	req.dequeue()
	req.state = stateFail
	if d.mayShed(req) {
		req.state = stateShed
	}
}

// finish records that a request has its final response.
func (d *Dispatcher) finish(req *request) {
	req.dequeue()
	if req.state == stateAttempt {
		d.retractAttempt(req)
	}
	req.state = stateDone
	d.pending.addRequest(req)
}

// admits reports whether a worker may receive an attempt now: not during a backoff after a rejection, only within this
// dispatcher's part of its slow start budget (rule 4), and only within its recovery ramp if it is ejected.
func (d *Dispatcher) admits(req *request, target *worker) bool {
	capacity := d.slowStart.capacityFraction(d.now, d.startedAt(target))
	if capacity < 1 && !d.admitsWarmingUp(req, target, capacity) {
		return false
	}
	return d.workerAdmits(req, target) && target.outlierByClass[req.trafficClass].admits(d.now, req.group.effect)
}

// workerAdmits reports whether the worker's own outlier detector admits a request. Ejections are ignored while most workers
// are ejected.
func (d *Dispatcher) workerAdmits(req *request, target *worker) bool {
	if d.workers.mostEjected() {
		return !target.outlier.backingOff(d.now)
	}
	return target.outlier.admits(d.now, req.group.effect)
}

// chargeAdmission charges an attempt to the slow start budget and to the recovery ramps of its worker.
func (d *Dispatcher) chargeAdmission(req *request, target *worker) {
	d.chargeWarmup(target)
	target.outlier.chargeAttempt(d.now, &d.rnd)
	target.outlierByClass[req.trafficClass].chargeAttempt(d.now, &d.rnd)
}
