package control

import "math"

// probe asks some homes of the model, by chance, what they hold, where that is allowed, own traffic is too
// thin to tell and no report is new; the inference is held for the answers, or a look or two. Fewer or none
// are asked where the settings price a probe above what it gains: all dispatchers together pay for theirs.
func (d *Dispatcher) probe(r *inference) bool {
	if r.probed || r.n > 0 || !d.sparse || len(d.told.counts) == 0 || !d.told.probes || d.told.homes == 0 {
		return false
	}
	n := min(len(d.top), max(r.model.homes, probeHomes))
	for i := range min(n, d.told.homes) {
		j := i + int(d.rnd.share()*float64(n-i))
		d.top[i], d.top[j] = d.top[j], d.top[i]
		if w := d.top[i]; w.heldAt < d.now-probeFresh {
			d.probes = append(d.probes, w)
			r.probed = true
		}
	}
	return r.probed
}

// report takes what a worker reports to hold; those that wait there count twice where they are told apart.
func (d *Dispatcher) report(w *worker, told []float64, weight float64) {
	held := 0.0
	for _, i := range d.told.counts {
		if i >= len(told) {
			return
		}
		held += told[i]
	}
	if !(held >= 0 && held < never) {
		return
	}
	w.held = d.holds(w)
	w.held, w.heldAt = w.held+weight*(held-w.held), d.now
}

// queue is the run time queued at a worker: ours, and for fellows' what it reports to hold where own traffic
// is sparse, else for each as much as ours is there over time, since all share the same homes of models.
func (d *Dispatcher) queue(w *worker) Seconds {
	if d.sparse && len(d.told.counts) > 0 {
		return max(w.work, d.holds(w)*d.run/atOnce)
	}
	if d.told.dispatchers > 1 && w.meanAt < d.now {
		if d.easedFrom != w.meanAt || d.easedTo != d.now { // most were looked at together the last time too
			d.easedFrom, d.easedTo, d.eased = w.meanAt, d.now, 1-math.Exp((w.meanAt-d.now)/meanSpan)
		}
		w.mean += (w.work - w.mean) * d.eased
		w.meanAt = d.now
	}
	return w.work + (d.told.dispatchers-1)*w.mean
}

// holds is how many inferences a worker holds by its reports, drawn as they age to what the fleet must hold
// on average by Little's law (the mean of the reports themselves leans to the busy workers).
func (d *Dispatcher) holds(w *worker) float64 {
	mean := d.told.dispatchers * d.taken() * d.run / math.Max(1, float64(d.ready))
	return mean + (w.held-mean)*math.Exp((w.heldAt-d.now)/reportSpan)
}

func (d *Dispatcher) learn(r *inference, f *forward, o Outcome) {
	m, g := r.model, r.group
	switch {
	case o.Found == FoundWarm || o.Found == NotTold && !f.load:
		ease(&m.run, &m.timed, o.Took, blend)
		d.run += blend / 2 * (o.Took - d.run)
		ease(&g.run, &g.timed, o.Took, blend)
		if r.work == 0 {
			g.work += blend * (o.Took - g.work)
		}
	case o.Found == BeganLoad:
		d.loaded(m, math.Max(0, o.Took-m.run))
	}
}

func (d *Dispatcher) loaded(m *model, took Seconds) {
	ease(&m.load, &m.heard, took, blend)
	m.group.load += blend * (took - m.group.load)
}
