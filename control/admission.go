package control

import "math"

// RequestArrived takes a request in: it is placed, held or answered at once.
func (d *Dispatcher) RequestArrived(q Request) {
	r := d.inFlight.acquire(q.ID)
	r.group = d.groups[min(int(q.Group), len(d.groups)-1)]
	m := d.models[q.Model]
	if m == nil {
		d.forgetModels(modelsMax)
		m = &model{id: q.Model, group: r.group, runTime: r.group.runTime, loadTime: r.group.loadTime}
		d.models[q.Model] = m
	}
	if q.LoadTimeHint > 0 && q.LoadTimeHint < never && !m.loadKnown {
		m.loadTime = q.LoadTimeHint
	}
	m.recent, m.recentAt = 1+m.recent*math.Exp((m.recentAt-d.now)/popularitySpan), d.now
	d.recent, d.recentAt = 1+d.recent*math.Exp((d.recentAt-d.now)/popularitySpan), d.now
	r.model, r.arrivedAt, r.workHint = m, d.now, q.WorkHint
	d.sparseTraffic = d.requestRate() < sparseRate*float64(d.readyWorkers)
	if m.preferred = 1; d.sparseTraffic { // queues are seen too late: as many as keep its share low
		share := m.recent * float64(d.readyWorkers) / (preferredShare * (d.recent + preferredMin))
		m.preferred = min(1+int(share), max(1, d.readyWorkers/2))
	}
	r.clientRetry, r.notAfter = q.ClientRetry, d.now+r.group.timeout
	if q.Deadline < r.notAfter { // not so where it is no number
		r.notAfter = q.Deadline
	}
	work := r.group.meanWork
	if q.WorkHint > 0 && q.WorkHint < never {
		work = q.WorkHint
		r.group.meanWork += smoothing * (work - r.group.meanWork)
	}
	r.slo = math.Min(r.group.slo+r.group.sloStretch*work, r.group.timeout)
	r.class = min(int(q.Group), len(d.groups)-1) * d.tenantClasses
	if int(q.Tenant) < len(d.tenants) {
		r.class += int(q.Tenant) % d.tenantClasses
		r.overQuota = d.tenants[q.Tenant].overQuota(d.now)
	}
	earned := retryEarnedMin + (retryEarned-retryEarnedMin)*d.retrySuccess
	d.retryTokens = math.Min(retryTokensMax, d.retryTokens+earned)
	if span := d.loadWindow; span > 0 {
		d.loadRation.count(d.now, span)
		d.loadRation.taken[rationParts]++
	}
	if d.now >= r.notAfter-d.answerMargin() {
		d.giveUp(r) // it came with its time up, after a stall before us: the next look would be too late
		return
	}
	d.place(r)
}

// answerMargin is how long before the client's time is up the final answer goes out.
func (d *Dispatcher) answerMargin() Seconds { return answerMarginMin + 2*d.tick }

// exhausted tells whether the rules bar every retry of this request for good, to any worker: to hold
// it would only keep its answer back.
func (d *Dispatcher) exhausted(r *request) bool {
	a := r.mayHaveRun()
	return r.pending == 0 && (r.attempted >= d.maxAttempts ||
		a != nil && r.group.effect != Retriable && !d.withinDedupWindow(r, a))
}

// mayShed tells whether the client may be told that trying again is harmless (rule 2).
func (d *Dispatcher) mayShed(r *request) bool {
	a := r.mayHaveRun()
	return !r.streaming && (a == nil || r.group.effect == Retriable ||
		r.group.scope == ScopeAll && d.withinDedupWindow(r, a))
}

// giveUp answers a request for good, at once.
func (d *Dispatcher) giveUp(r *request) {
	d.markChanged(r)
	r.unhold()
	if r.state = stateFail; d.mayShed(r) {
		r.state = stateShed
	}
}
