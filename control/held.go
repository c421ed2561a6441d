package control

import "math"

const heldRetryInterval = 0.1 // s until requests held for capacity are placed again where no event has come meanwhile

// heldRequests schedules the requests that are held for capacity. The requests themselves are in the request table.
type heldRequests struct {
	capacityMayHaveChanged bool    // an event since retriedAt may have made capacity
	retriedAt              Seconds // when they were placed again
	newestTimely           Seconds // arrival of the newest that was held and could have met its latency objective
}

// takeRetryDue reports whether held requests should be placed again now, and records that they are if so.
func (h *heldRequests) takeRetryDue(now Seconds) bool {
	if !h.capacityMayHaveChanged && !(now > h.retriedAt+heldRetryInterval) {
		return false
	}
	h.capacityMayHaveChanged = false
	h.retriedAt = now
	return true
}

// noteTimely records that a request is held that some worker could serve within its latency objective.
func (h *heldRequests) noteTimely(req *request) {
	h.newestTimely = math.Max(h.newestTimely, req.arrivedAt)
}

// shouldPreempt reports whether a held request, younger than the given one, could still meet its latency objective. The
// older one gives way unless it meets its own: late answers would feed an overload.
func (h *heldRequests) shouldPreempt(req *request, now Seconds) bool {
	return h.newestTimely > math.Max(req.arrivedAt+preemptAge*req.objective, now-req.objective)
}

// hold keeps a request here: for a replica's first answer or load order, or, with a nil replica, for capacity.
func (d *Dispatcher) hold(req *request, target *replica) {
	if req.inFlight > 0 {
		if req.state != stateAttempt { // a hedged request wanted in the same batch is still sent
			req.state = statePending
		}
		return
	}
	req.state, req.heldFor = stateHeld, target
	if target != nil {
		target.held++
		target.model.listOpen(target)
	}
}

// releaseHeld releases the requests held for a replica: to it where it is loaded, else to another.
func (d *Dispatcher) releaseHeld(target *replica, isLoaded bool) {
	for i := 0; i < len(d.inFlight.slots) && target.held > 0; i++ {
		req := d.inFlight.slots[i]
		if !req.live || req.heldFor != target || req.state != stateHeld {
			continue
		}
		req.releaseHold()
		d.placeReleased(req, target, isLoaded)
	}
}

// placeReleased places a request that was held for a replica. One that missed its model before, and still finds it not
// loaded, is sent to a warm replica only, or else answered.
func (d *Dispatcher) placeReleased(req *request, target *replica, isLoaded bool) {
	missed := !isLoaded && req.attempted > 0
	if missed {
		target = d.leastLoaded(req, true)
	}
	switch {
	case target == nil:
		d.giveUp(req)
	case (isLoaded || missed) && d.accepts(req, target.worker):
		d.dispatch(req, target)
	default:
		d.place(req)
	}
}

// holdExpired reports whether the first answer or the load order that requests are held for at a replica is no longer to be
// expected: its worker is not ready or ejected, or it is far overdue and no load order is outstanding.
func (d *Dispatcher) holdExpired(target *replica) bool {
	overdue := d.now >= target.startedAt+hedgeDelay*target.model.loadTime
	return target.worker.State != Ready || target.worker.outlier.ejected || overdue && !target.loadRequested()
}
