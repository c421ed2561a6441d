package control

const sweepInterval = 0.01 // s between sweeps: well under any latency objective, and cheap

// TimerFired sweeps the requests in flight.
func (d *Dispatcher) TimerFired(TimerID) {
	d.outbox.timerSet = false
	d.inFlight.shrink(requestTableMin)
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
		case !req.streaming && (d.now >= d.answerBy(req) || req.state == stateHeld && d.attemptsExhausted(req)):
			d.giveUp(req)
		case req.state == stateHeld:
			d.sweepHeld(req, retryHeld)
		default:
			d.hedgeLateAttempts(req)
		}
	}
}

// sweepHeld places a held request again where it is due, or where what it waits for is not to be expected any more.
func (d *Dispatcher) sweepHeld(req *request, retryHeld bool) {
	if req.heldFor == nil && retryHeld || req.heldFor != nil && d.holdFutile(req.heldFor) {
		req.releaseHold()
		d.place(req)
	}
}
