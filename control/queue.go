package control

import "math"

const queuePlacementInterval = 0.1 // s after which requests queued for capacity are placed again even without an event

// requestQueue schedules the requests that are queued in this dispatcher until a worker has capacity. The requests
// themselves are in the request table.
type requestQueue struct {
	capacityMayHaveChanged bool    // an event since placedAt may have freed capacity
	placedAt               Seconds // time at which the queued requests were last placed again
	newestTimelyArrival    Seconds // arrival of the newest queued request that some worker could have served within its latency objective
}

// takePlacementDue reports whether the queued requests are due to be placed again, and resets the schedule if so.
func (q *requestQueue) takePlacementDue(now Seconds) bool {
	if !q.capacityMayHaveChanged && !(now > q.placedAt+queuePlacementInterval) {
		return false
	}
	q.capacityMayHaveChanged = false
	q.placedAt = now
	return true
}

// recordTimely records that a request is queued although some worker could serve it within its latency objective.
func (q *requestQueue) recordTimely(req *request) {
	q.newestTimelyArrival = math.Max(q.newestTimelyArrival, req.arrivedAt)
}

// preempts reports whether a younger queued request could still meet its latency objective. The given request is then placed
// only where it meets its own objective: serving it late would prolong an overload.
func (q *requestQueue) preempts(req *request, now Seconds) bool {
	return q.newestTimelyArrival > math.Max(req.arrivedAt+float64(preemptAgeFraction*req.objective), now-req.objective)
}

// enqueue queues a request until a replica is loaded or, with a nil replica, until a worker has capacity. A request with an
// attempt in flight is not queued: only its retry or hedged request is given up.
func (d *Dispatcher) enqueue(req *request, target *replica) {
	if req.inFlight > 0 {
		if req.state != stateAttempt { // a hedged request scheduled since the last Reconcile is still sent
			req.state = statePending
		}
		return
	}
	req.state = stateQueued
	req.queuedFor = target
	if target != nil {
		target.queued++
		target.model.addOpenReplica(target)
	}
}

// releaseQueued places the requests that are queued for a replica: there if it is loaded, at another replica otherwise.
func (d *Dispatcher) releaseQueued(target *replica, isLoaded bool) {
	for i := 0; i < len(d.inFlight.slots) && target.queued > 0; i++ {
		req := d.inFlight.slots[i]
		if !req.live || req.queuedFor != target || req.state != stateQueued {
			continue
		}
		req.dequeue()
		d.placeReleased(req, target, isLoaded)
	}
}

// placeReleased places a request that was queued for a replica. If the load failed and the request was attempted before, it
// is sent to a replica that is already loaded, or gets its final response.
func (d *Dispatcher) placeReleased(req *request, target *replica, isLoaded bool) {
	missed := !isLoaded && req.attempted > 0
	if missed {
		target = d.chooseReplica(req, loadedReplicas)
	}
	switch {
	case target == nil && req.awaitsCheck:
		d.enqueue(req, nil)
	case target == nil:
		d.shedOrFail(req)
	case (isLoaded || missed) && d.accepts(req, target.worker):
		d.dispatch(req, target)
	default:
		d.place(req)
	}
}

// waitExpired reports whether requests should no longer be queued for a replica: its worker is not ready or is ejected, or
// its load is overdue and no load request is outstanding.
func (d *Dispatcher) waitExpired(target *replica) bool {
	overdue := d.now >= target.startedAt+float64(hedgeDelayFactor*target.model.loadTime)
	return target.worker.State != Ready || target.worker.outlier.ejected || overdue && !target.loadRequested()
}
