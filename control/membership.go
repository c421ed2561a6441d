package control

import "math"

// UpdateWorkers takes a list of workers, or the word that a call to discovery failed.
func (d *Dispatcher) UpdateWorkers(kind WorkerListKind, _ uint32, list []WorkerInfo) {
	if kind == ListFailed {
		d.subscribeAt = d.now + d.subscribeBackoff
		d.subscribeBackoff = math.Min(2*d.subscribeBackoff, d.askEvery)
		return
	} else if kind != ListCached {
		d.subscribeBackoff = subscribeBackoffMin
	}
	if kind != ListDelta {
		for _, w := range d.workers {
			w.State = Gone
		}
	}
	for _, l := range list {
		w := d.workersByID[l.ID]
		if w == nil {
			w = &worker{WorkerInfo: l, index: d.allocIndex(), coldNextAt: math.Inf(-1), reportedAt: math.Inf(-1),
				goneAt: math.Inf(1), classes: make([]health, len(d.groups)*d.tenantClasses)}
			d.workersByID[l.ID] = w
			d.workers = append(d.workers, w)
		} else if l.StartedAt > w.StartedAt {
			d.restarted(w)
		}
		w.WorkerInfo = l
	}
	d.forgetWorkers(forgetGoneAfter)
	d.countWorkers()
	d.heardNews = true
	d.replan()
	d.sweep()
}

// replan places anew what this batch placed at a worker that drains, is gone or has started anew by now.
func (d *Dispatcher) replan() {
	for _, r := range d.changedRequests {
		if r.state != stateAttempt {
			continue
		}
		a := &r.attempts[r.attempted-1]
		if w := a.worker; w.State == Ready && a.sentAt > w.StartedAt {
			continue
		}
		d.unsend(r)
		if r.state = statePending; r.pending == 0 { // else the hedge is left out
			d.place(r)
		}
	}
}
