package control

import "math"

// Reconcile emits the difference between the wanted state and what is out.
func (d *Dispatcher) Reconcile() {
	if d.now >= d.subscribeAt {
		d.subscribeAt = math.Inf(1)
		d.actions.SubscribeWorkerList(true)
	}
	for _, err := range d.settingErrors {
		d.actions.Log(err.Error() + "; the default is used")
	}
	d.settingErrors = nil
	for _, rep := range d.wantedOrders {
		rep.orderWanted = false
		if rep.worker.State == Ready {
			rep.orderPending, rep.startedAt = true, d.now
			d.actions.LoadModel(rep.worker.ID, rep.model.id, 1)
		}
	}
	for _, w := range d.wantedProbes {
		d.actions.ProbeWorker(w.ID)
	}
	for _, r := range d.changedRequests {
		r.dirty = false
		switch r.state {
		case stateAttempt:
			d.actions.SendAttempt(r.id, r.attempts[r.attempted-1].worker.ID, 0)
			r.state = statePending
		case stateShed:
			d.actions.Shed(r.id, math.Min(r.model.loadTime, d.retryAfterMax))
			r.state = stateDone
		case stateFail:
			d.actions.Fail(r.id)
			r.state = stateDone
		}
		if r.state != stateDone {
			continue
		}
		for i := range r.attempts[:r.attempted] {
			if a := &r.attempts[i]; a.state == attemptPending && d.cancel && !r.streaming {
				d.actions.CancelAttempt(r.id, i)
			}
		}
		if r.pending == 0 && r.live {
			d.inFlight.remove(r)
		}
	}
	d.wantedOrders, d.wantedProbes = d.wantedOrders[:0], d.wantedProbes[:0]
	d.changedRequests = d.changedRequests[:0]
	if !d.timerSet && (len(d.inFlight.byID) > 0 || !math.IsInf(d.subscribeAt, 1)) {
		d.timerSet = true
		d.actions.SetTimer(sweepInterval, 0)
	}
}
