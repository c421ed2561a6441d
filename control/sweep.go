package control

const sweepInterval = 0.01 // s between sweeps: well under any latency objective, and cheap

// TimerFired sweeps the requests in flight.
func (d *Dispatcher) TimerFired(TimerID) {
	d.outbox.sweepScheduled = false
	d.inFlight.shrink(minRequestSlots)
	d.sweep()
}

// sweep visits all requests in flight: it answers those whose time runs out, places held ones again and hedges late ones.
func (d *Dispatcher) sweep() {
	retryHeld := d.held.takeRetryDue(d.now)
	for _, req := range d.inFlight.slots {
		if !req.live || req.state != stateHeld && req.state != statePending {
			continue
		}
		switch {
		case !req.streaming && (d.now >= d.respondBy(req) || req.state == stateHeld && d.attemptsExhausted(req)):
			d.giveUp(req)
		case req.state == stateHeld:
			d.retryIfDue(req, retryHeld)
		default:
			d.hedgeLateAttempts(req)
		}
	}
}

// retryIfDue places a held request again where it is due, or where what it waits for is not to be expected any more.
func (d *Dispatcher) retryIfDue(req *request, retryHeld bool) {
	if req.heldFor == nil && retryHeld || req.heldFor != nil && d.holdExpired(req.heldFor) {
		req.releaseHold()
		d.place(req)
	}
}
