package control

import "math"

// capacityShare is the share of its capacity a worker is sure to have since its start (rule 4).
func (d *Dispatcher) capacityShare(w *worker) float64 {
	span, low := d.warmAfter, d.coldShare
	if age := d.now - w.StartedAt; age < span {
		return low + (1-low)*math.Max(0, age)/span
	}
	return 1
}

// admits tells whether a worker takes an attempt now: a cold one within our share of its budget (rule 4), one
// ejected by its ramp-up; where most look bad the cause is shared, and none counts so.
func (d *Dispatcher) admits(r *request, w *worker) bool {
	if c, fall := d.capacityShare(w), d.fall; c < 1 && d.sparseTraffic {
		// A turn would lapse unused: own requests that would choose it come too rarely. So each of them goes
		// there by chance, less often when few workers are left to choose. It harms if one model is most traffic.
		share := coldSafety * d.overloadFactor * c * d.admittingShare
		if d.now < w.coldNextAt || hash(uint64(r.id)<<32^uint64(w.ID)) > uint64(share*(1<<53))<<11 {
			return false
		}
	} else if c < 1 {
		if d.now > w.coldNextAt+fall { // a turn by chance; unused in time it lapses: all peers' turns add up
			safe := coldSafety * (1 + 1/d.dispatchers) // alone there is no chance in it but our own
			share := math.Max(1/(fall*d.dispatchers), safe*d.overloadFactor*c*d.requestRatePerWorker())
			w.coldNextAt = d.now + 2*d.rnd.float()/share
		}
		if d.now < w.coldNextAt {
			return false
		}
	}
	for _, h := range [2]*health{&w.health, &w.classes[r.class]} {
		if d.now < h.fullUntil || h.ejected && (h != &w.health || 2*d.ejectedWorkers <= d.readyWorkers) &&
			(d.now < h.nextAttemptAt || r.group.effect == NonRetriable && h.rampRate <= rampStart) {
			return false
		}
	}
	return true
}

// chargeAdmission spaces the attempts at a cold worker, at our share of its budget, and at an ejected one.
func (d *Dispatcher) chargeAdmission(r *request, w *worker) {
	if w.coldNextAt = math.Inf(-1); d.sparseTraffic && d.capacityShare(w) < 1 {
		w.coldNextAt = d.now + 2*d.rnd.float()/(d.overloadFactor*d.capacityShare(w)*d.requestRatePerWorker())
	}
	for _, h := range [2]*health{&w.health, &w.classes[r.class]} {
		if h.ejected {
			h.nextAttemptAt = d.now + (0.5+d.rnd.float())/h.rampRate // not in step with peers
		}
	}
}

// orderLoad wants a load order for a replica: one for a worker and model at a time, within the ration.
func (d *Dispatcher) orderLoad(rep *replica) bool {
	if rep.orderPending || rep.orderWanted || !d.loadOrders ||
		rep.noRoomUntil > d.now || rep.worker.State != Ready {
		return rep.orderPending || rep.orderWanted
	}
	if span := d.loadWindow; span > 0 { // rule 5
		sent, taken := d.loadRation.count(d.now, span)
		if sent+1 > d.loadFew+d.loadShare*taken {
			return false
		}
		d.loadRation.sent[rationParts]++
	}
	rep.orderWanted = true
	d.wantedOrders = append(d.wantedOrders, rep)
	return true
}

// LoadFinished takes the answer to a load order: requests held for it go on.
func (d *Dispatcher) LoadFinished(o LoadResult) {
	w, m := d.workersByID[o.Worker], d.models[o.Model]
	if w == nil || m == nil {
		return
	}
	rep := m.replica(w)
	rep.orderPending = false
	stands := o.Result == Succeeded && o.Replicas > 0
	if rep.warmUntil = d.now + d.keepAlive; stands {
		d.learnLoadTime(m, o.Duration)
	} else {
		rep.warmUntil, rep.noRoomUntil = math.Inf(-1), d.now+noRoomPause
	}
	d.loadSettled(rep)
	d.releaseHeld(rep, stands)
}
