package control

import "math"

func (d *Dispatcher) Inference(q Inference) {
	r := d.hand.take(q.ID)
	r.group = d.told.groups[min(int(q.Group), len(d.told.groups)-1)]
	m := d.models[q.Model]
	if m == nil {
		d.forgetModels(modelsMost)
		m = &model{id: q.Model, group: r.group, run: r.group.run, load: r.group.load}
		d.models[q.Model] = m
	}
	if q.Load > 0 && q.Load < never && !m.heard {
		m.load = q.Load
	}
	m.asked, m.askedAt = 1+m.asked*math.Exp((m.askedAt-d.now)/homeSpan), d.now
	d.asked, d.askedAt = 1+d.asked*math.Exp((d.askedAt-d.now)/homeSpan), d.now
	r.model, r.taken, r.work = m, d.now, q.Work
	d.sparse = d.taken() < sparseRate*float64(d.ready)
	if m.homes = 1; d.sparse { // nobody sees a home's queue in time: as many as keep its share below a worker's
		m.homes = min(1+int(m.asked*float64(d.ready)/(homeShare*(d.asked+homeLeast))), max(1, d.ready/2))
	}
	r.repeat, r.notAfter = q.Repeat, d.now+r.group.timeout
	if q.NotAfter < r.notAfter { // not so where it is no number
		r.notAfter = q.NotAfter
	}
	if q.Work > 0 && q.Work < never {
		r.group.work += blend * (q.Work - r.group.work)
	}
	work := r.group.work
	if q.Work > 0 {
		work = q.Work
	}
	r.slo = math.Min(r.group.slo+r.group.stretch*work, r.group.timeout)
	r.side = min(int(q.Group), len(d.told.groups)-1) * d.sidesEach
	if int(q.Tenant) < len(d.tenants) {
		r.side += int(q.Tenant) % d.sidesEach
		r.over = d.tenants[q.Tenant].beyond(d.now)
	}
	d.further = math.Min(furtherMost, d.further+furtherLeast+(furtherShare-furtherLeast)*d.furtherOK)
	if span := d.told.window; span > 0 {
		d.ration.count(d.now, span)
		d.ration.taken[rationParts]++
	}
	if d.now >= r.notAfter-d.margin() {
		d.giveUp(r) // it came with its time up, after a stall before us: the next look would be too late
		return
	}
	d.find(r)
}

// margin is how long before the client's time is up the final answer goes out.
func (d *Dispatcher) margin() Seconds { return endMargin + 2*d.told.tick }

// spent tells whether the rules bar every further forward of this inference for good, to any worker: to hold
// it would only keep its answer back.
func (d *Dispatcher) spent(r *inference) bool {
	f := r.mayHaveRun()
	return r.out == 0 && (r.n >= d.told.most ||
		f != nil && r.group.effect != "retriable" && !d.repeatable(r, f))
}

// mayShed tells whether the client may be told that trying again is harmless (rule 2).
func (d *Dispatcher) mayShed(r *inference) bool {
	f := r.mayHaveRun()
	return !r.stream && (f == nil || r.group.effect == "retriable" ||
		r.group.scope == "all" && d.repeatable(r, f))
}

// giveUp answers an inference for good, at once.
func (d *Dispatcher) giveUp(r *inference) {
	d.touch(r)
	r.unhold()
	if r.want = wantFail; d.mayShed(r) {
		r.want = wantShed
	}
}
