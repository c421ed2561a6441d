package control

const timerInterval = 0.01 // s between scans of the requests in flight: short compared to a latency objective, and long enough for a low CPU cost

// TimerFired scans the requests in flight.
func (d *Dispatcher) TimerFired(TimerID) {
	d.pending.timerScheduled = false
	d.inFlight.shrink(minRequestSlots)
	d.scanRequests()
}

// scanRequests visits all requests in flight: it gives up those whose deadline is near, places queued ones again, and hedges
// late attempts.
func (d *Dispatcher) scanRequests() {
	placeQueued := d.queue.takePlacementDue(d.now)
	for _, req := range d.inFlight.slots {
		if !req.live || req.state != stateQueued && req.state != statePending {
			continue
		}
		isDue := d.now >= d.respondBy(req)
		isQueued := req.state == stateQueued
		switch {
		case !req.streaming && (isDue || isQueued && d.attemptsExhausted(req)):
			d.shedOrFail(req)
		case isQueued:
			d.placeIfDue(req, placeQueued)
		default:
			d.hedgeLateAttempts(req)
		}
	}
}

// placeIfDue places a queued request again: one queued for capacity if placeQueued is set, and one queued for a replica if
// that is no longer expected to be loaded.
func (d *Dispatcher) placeIfDue(req *request, placeQueued bool) {
	due := placeQueued
	if req.queuedFor != nil {
		due = d.waitExpired(req.queuedFor)
	}
	if due {
		req.dequeue()
		d.place(req)
	}
}
