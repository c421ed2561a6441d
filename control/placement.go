package control

import "math"

// place finds a replica for a request: in an open group, in a new one, or it is held until there is a worker.
func (d *Dispatcher) place(r *request) {
	if rep := d.joinOpenGroup(r); rep != nil {
		if rep.joined++; rep.loading {
			d.hold(r, rep)
		} else {
			d.dispatch(r, rep)
		}
		return
	}
	switch rep := d.leastLoaded(r, false); {
	case rep == nil && r.pending == 0 && (r.tooLate || r.barred && r.attempted > 0):
		d.giveUp(r)
	case rep == nil || d.probeCandidates(r):
		d.hold(r, nil)
	default:
		rep.groupSeq, rep.members, rep.joined = rep.groupSeq+1, 0, 1
		if rep.warmUntil < d.now && !rep.loading {
			rep.loading, rep.startedAt, rep.loadCost = true, d.now, r.model.loadTime
			rep.worker.pendingLoads += rep.loadCost
		}
		d.dispatch(r, rep)
	}
}

// joinOpenGroup returns the replica with an open group that this request may join: under the limit, and own
// requests there take less than a load would; of several, where they take least.
func (d *Dispatcher) joinOpenGroup(r *request) *replica {
	var best *replica
	for _, rep := range r.model.openGroups() {
		if rep.joined >= groupLimit {
			continue
		}
		w := rep.worker
		wait := d.queuedWork(w) + float64(rep.held)*r.model.runTime
		if r.tried(w) || wait >= r.model.loadTime || !d.allowed(r, w) || !d.admits(r, w) || !d.hasCapacity(r, w) ||
			d.now+wait/workerSlots+math.Min(r.model.runTime, r.slo)/2 > r.notAfter {
			continue
		}
		if best == nil || w.queued < best.worker.queued {
			best = rep
		}
	}
	return best
}

// hasCapacity tells whether the worker is under its concurrency limit.
func (d *Dispatcher) hasCapacity(r *request, w *worker) bool {
	return w.concurrency(d.now, d.runTime) < d.concurrencyLimit(r)
}

// concurrencyLimit is how many own attempts a worker may have out. Requests that can no longer be in time, or
// are beyond their tenant's share, leave part of it to the others.
func (d *Dispatcher) concurrencyLimit(r *request) float64 {
	limit := max(concurrencyMin, concurrencyFleet/d.dispatchers)
	if r.overQuota || r.clientRetry || d.now+r.model.runTime > r.arrivedAt+r.slo {
		limit *= staleShare
	}
	return limit
}

// leastLoaded returns the replica with least queued work, load included; nil where the request has to wait.
func (d *Dispatcher) leastLoaded(r *request, warmOnly bool) *replica {
	m := r.model
	resting, timely := d.queueCosts(r)
	d.markPreferred(m)
	best := d.cheapest(r, d.addLoadCosts(r, warmOnly))
	r.tooLate = r.tooLate && best == nil && !resting
	// A worker that turned a load away is waited for: left for another, its models are loaded twice, push others
	// out, and the fleet has more to load than before. It harms where a worker has no room for long.
	if best == nil || !d.hasCapacity(r, best) ||
		r.attempted == 0 && !best.warm && (m.peek(best).noRoomUntil > d.now || best.noLoadUntil > d.now) {
		if timely {
			d.youngestTimely = math.Max(d.youngestTimely, r.arrivedAt)
		}
		return nil
	}
	return m.replica(best)
}

// queueCosts sets each worker's cost: what the request would wait and run there without a load, +Inf where it
// can't go now. It tells whether some worker merely rests, and whether one would answer within the SLO time.
func (d *Dispatcher) queueCosts(r *request) (resting, timely bool) {
	m, aim, until := r.model, r.arrivedAt+r.slo, r.notAfter
	d.candidates, r.tooLate, r.barred = d.candidates[:0], false, true
	if d.youngestTimely > math.Max(r.arrivedAt+preemptAge*r.slo, d.now-r.slo) {
		until = math.Min(until, aim) // a younger one that is held could be in time: late answers feed an overload
	}
	admitting := 0.0
	for _, w := range d.workers {
		w.cost = math.Inf(1)
		if !d.allowed(r, w) {
			continue
		}
		r.barred = false
		queue := d.queuedWork(w)
		end := d.now + queue/workerSlots + min(m.runTime, r.slo)/2
		timely = timely || end <= aim
		late := end > until // the wait outlasts the client
		if admits := d.admits(r, w); !admits || late {
			resting, r.tooLate = resting || !admits, r.tooLate || late
			continue
		}
		admitting++
		w.cost = (queue + m.runTime) / d.capacityShare(w)
		// A quick error must not make a worker look empty: its failures count as work to be done again.
		w.cost += max(w.failureShare, w.classes[r.class].failureShare) * (m.loadTime + r.slo)
		if r.tried(w) {
			w.cost += triedPenalty
		}
		w.rank = hash(uint64(m.id)*0x9e3779b97f4a7c15 ^ uint64(w.ID))
		d.candidates = append(d.candidates, w)
	}
	d.admittingShare = math.Min(1, math.Max(admitting, 1)/math.Max(1, float64(d.readyWorkers)))
	return resting, timely
}

// markPreferred marks the candidates that all dispatchers prefer for a model that should live on several.
func (d *Dispatcher) markPreferred(m *model) {
	if d.sparseTraffic {
		d.candidates = topRanked(d.candidates, max(m.preferred, probeCount))
	}
	if d.placements++; m.preferred > 1 {
		for _, w := range d.candidates[:min(len(d.candidates), m.preferred)] {
			w.preferredAt = d.placements
		}
	}
}

// addLoadCosts adds a load to the cost of workers without a warm copy, and returns the lowest cost.
func (d *Dispatcher) addLoadCosts(r *request, warmOnly bool) Seconds {
	m, low := r.model, math.Inf(1)
	for _, w := range d.workers {
		if w.cost > math.MaxFloat64 {
			continue
		}
		if w.warm = m.peek(w).warmUntil >= d.now || w.preferredAt == d.placements; !w.warm {
			// Loads run beside the work of warm copies: those pending hold up only another load.
			w.cost += m.loadTime
			if warmOnly || d.now+w.pendingLoads/parallelLoads > r.notAfter {
				w.cost = math.Inf(1) // or the loads pending there outlast the client's time
			}
		}
		low = min(low, w.cost)
	}
	return low
}

// cheapest picks among the workers whose costs are too near the lowest to tell apart. Ties go by a hash that
// all dispatchers share: they agree unasked on where a model lives, and return to where a copy may still be.
func (d *Dispatcher) cheapest(r *request, low Seconds) *worker {
	var best *worker
	m, limit, top := r.model, d.concurrencyLimit(r), uint64(0)
	band := low + tieBand*m.loadTime
	for _, w := range d.workers {
		if w.cost > band || w.cost > math.MaxFloat64 {
			continue
		}
		rank := w.rank >> 2
		if w.warm {
			if d.sparseTraffic { // by cost, ties by chance: peers see the same reports
				rank = uint64(1e18 / (1 + w.cost + tieWarm*m.runTime*d.rnd.float()))
			}
			rank |= 1 << 63 // a warm copy before any hash, also where it has to be waited for
		}
		if w.concurrency(d.now, d.runTime) < limit {
			rank |= 1 << 62
		}
		if best == nil || rank > top {
			best, top = w, rank
		}
	}
	return best
}

// dispatch wants an attempt at a replica and books it in the ledger.
func (d *Dispatcher) dispatch(r *request, rep *replica) {
	w, m := rep.worker, r.model
	a := &r.attempts[r.attempted]
	*a = attempt{worker: w, sentAt: d.now, runTime: m.runTime, groupSeq: rep.groupSeq}
	a.expected = w.queued + m.runTime
	if rep.warmUntil < d.now {
		a.loading, a.expected = true, a.expected+m.loadTime+w.pendingLoads
		w.pendingCold++
	}
	r.attempted, r.pending, r.state = r.attempted+1, r.pending+1, stateAttempt
	d.markChanged(r)
	d.queuedWork(w)
	w.queued, w.pending = w.queued+a.runTime, w.pending+1
	rep.members, rep.pending = rep.members+1, rep.pending+1
	m.markOpen(rep)
	d.chargeAdmission(r, w)
}

// releaseHeld lets those held for a replica go: to it where a copy stands there, else anew.
func (d *Dispatcher) releaseHeld(rep *replica, stands bool) {
	for i := 0; i < len(d.inFlight.slots) && rep.held > 0; i++ {
		r := d.inFlight.slots[i]
		if !r.live || r.heldFor != rep || r.state != stateHeld {
			continue
		}
		r.unhold()
		to, missed := rep, !stands && r.attempted > 0
		if missed { // to a warm worker, or back to the client
			to = d.leastLoaded(r, true)
		}
		if to == nil {
			d.giveUp(r)
		} else if w := to.worker; (stands || missed) && d.allowed(r, w) && d.admits(r, w) && d.hasCapacity(r, w) {
			d.dispatch(r, to)
		} else {
			d.place(r)
		}
	}
}
