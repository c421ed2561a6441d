package control

import (
	"math"
	"slices"
)

// allowed tells whether the rules let a request go to a worker now (rules 1 to 3, and the count of attempts).
func (d *Dispatcher) allowed(r *request, w *worker) bool {
	if w.State != Ready || d.now >= r.notAfter-d.answerMargin() || r.streaming ||
		r.attempted >= d.maxAttempts || r.pending > 0 && !d.hedging {
		return false
	}
	a, scope := r.mayHaveRun(), r.group.scope // the earliest one binds; the later ones kept to its scope
	return a == nil || r.group.effect == Retriable || d.withinDedupWindow(r, a) && (scope == ScopeAll ||
		a.worker.Zone == w.Zone && (scope == ScopeZone || scope == ScopeCell && a.worker.Cell == w.Cell))
}

// withinDedupWindow tells whether a repeat of an attempt that may have run is still dropped within its scope.
func (d *Dispatcher) withinDedupWindow(r *request, a *attempt) bool {
	return r.group.effect == Deduplicated && d.now <= a.sentAt+r.group.window-d.answerMargin()
}

// retry makes another attempt where the model group, the rules and the success of recent ones allow.
func (d *Dispatcher) retry(r *request) {
	if d.retryTokens >= 1 && slices.ContainsFunc(d.workers, func(w *worker) bool { return d.allowed(r, w) }) {
		d.retryTokens--
		d.place(r)
	} else if r.pending == 0 {
		d.giveUp(r)
	}
}

// sweep goes over all in flight: time-outs, late attempts, and those held for a worker to have room.
func (d *Dispatcher) sweep() {
	retry := d.heardNews || d.now > d.heldRetriedAt+heldRetryInterval
	if retry {
		d.heardNews, d.heldRetriedAt = false, d.now
	}
	for _, r := range d.inFlight.slots {
		if !r.live || r.state != stateHeld && r.state != statePending {
			continue
		}
		if !r.streaming && (d.now >= r.notAfter-d.answerMargin() || r.state == stateHeld && d.exhausted(r)) {
			d.giveUp(r)
			continue
		}
		if r.state == stateHeld {
			if rep := r.heldFor; rep == nil && retry || rep != nil && d.inVain(rep) {
				r.unhold()
				d.place(r)
			}
			continue
		}
		for i := 0; i < r.attempted && r.state == statePending && !r.streaming; i++ {
			if a := &r.attempts[i]; a.state == attemptPending && !a.hedged {
				d.hedgeIfLate(r, a)
			}
		}
	}
}

// inVain tells whether the first answer or the load that requests are held for at a replica is no longer to
// be counted on: its worker is not ready or ejected, or it is far late and no order is out.
func (d *Dispatcher) inVain(rep *replica) bool {
	late := d.now >= rep.startedAt+hedgeDelay*rep.model.loadTime
	return rep.worker.State != Ready || rep.worker.ejected || late && !rep.orderPending && !rep.orderWanted
}

// hedgeIfLate answers silence: a worker that answered none like it since an attempt far past its time, or is
// gone or new, has failed it, and a hedge goes out where allowed; else the request is just heavy.
func (d *Dispatcher) hedgeIfLate(r *request, a *attempt) {
	lost := a.worker.State == Gone || a.sentAt <= a.worker.StartedAt
	heard := a.worker.classes[r.class].answeredAt > a.sentAt
	if !lost && (heard || d.now-a.sentAt < math.Max(hedgeDelay*a.expected, r.slo/2)) {
		return
	}
	if a.hedged = true; !lost {
		d.recordResult(d.failureScope(a.worker, r.class, a.sentAt), false)
	}
	if d.hedging {
		d.retry(r)
	}
}
