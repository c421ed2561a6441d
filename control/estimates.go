package control

import "math"

// probeCandidates asks some preferred workers of the model, by chance, what they hold, where that is allowed,
// own traffic is too thin to tell and no report is new; the request is held for the answers, a sweep or two.
// Fewer or none are asked where a probe is priced above what it gains: all dispatchers pay for theirs.
func (d *Dispatcher) probeCandidates(r *request) bool {
	if r.probed || r.attempted > 0 || !d.sparseTraffic || len(d.inFlightFields) == 0 || !d.probing {
		return false
	}
	n := min(len(d.candidates), max(r.model.preferred, probeCount))
	for i := range min(n, d.probesMax) {
		j := i + int(d.rnd.float()*float64(n-i))
		d.candidates[i], d.candidates[j] = d.candidates[j], d.candidates[i]
		if w := d.candidates[i]; w.reportedAt < d.now-probeMaxAge {
			d.wantedProbes = append(d.wantedProbes, w)
			r.probed = true
		}
	}
	return r.probed
}

// takeReport takes what a worker reports to hold; those that wait there count twice where told apart.
func (d *Dispatcher) takeReport(w *worker, told []float64, weight float64) {
	held := 0.0
	for _, i := range d.inFlightFields {
		if i >= len(told) {
			return
		}
		held += told[i]
	}
	if !(held >= 0 && held < never) {
		return
	}
	w.reported = d.estimatedInFlight(w)
	w.reported, w.reportedAt = w.reported+weight*(held-w.reported), d.now
}

// queuedWork is the run time queued at a worker: ours, and for peers' what it reports where own traffic is
// sparse, else for each as much as ours is there over time, since all prefer the same workers for a model.
func (d *Dispatcher) queuedWork(w *worker) Seconds {
	if d.sparseTraffic && len(d.inFlightFields) > 0 {
		return max(w.queued, d.estimatedInFlight(w)*d.runTime/workerCores)
	}
	own := w.queued + w.stillAbandoned(d.now, d.runTime)*d.runTime
	if d.dispatchers > 1 && w.meanQueuedAt < d.now {
		if d.meanFrom != w.meanQueuedAt || d.meanTo != d.now { // most were looked at together the last time too
			d.meanFrom, d.meanTo = w.meanQueuedAt, d.now
			d.meanWeight = 1 - math.Exp((d.meanFrom-d.meanTo)/peerWorkSpan)
		}
		w.meanQueued += (own - w.meanQueued) * d.meanWeight
		w.meanQueuedAt = d.now
	}
	return own + (d.dispatchers-1)*w.meanQueued
}

// estimatedInFlight is how many requests a worker holds by its reports, drawn as they age to what the fleet
// must hold on average by Little's law (the mean of the reports themselves leans to the busy workers).
func (d *Dispatcher) estimatedInFlight(w *worker) float64 {
	mean := d.dispatchers * d.requestRate() * d.runTime / math.Max(1, float64(d.readyWorkers))
	return mean + (w.reported-mean)*math.Exp((w.reportedAt-d.now)/reportSpan)
}

func (d *Dispatcher) learn(r *request, f *attempt, o AttemptResult) {
	m, g := r.model, r.group
	switch {
	case o.ModelState == ModelWarm || o.ModelState == ModelStateUnknown && !f.loading:
		smooth(&m.runTime, &m.runKnown, o.Duration, smoothing)
		d.runTime += smoothing / 2 * (o.Duration - d.runTime)
		smooth(&g.runTime, &g.runKnown, o.Duration, smoothing)
		if r.workHint == 0 {
			g.meanWork += smoothing * (o.Duration - g.meanWork)
		}
	case o.ModelState == LoadStarted:
		d.learnLoadTime(m, math.Max(0, o.Duration-m.runTime))
	}
}

func (d *Dispatcher) learnLoadTime(m *model, took Seconds) {
	smooth(&m.loadTime, &m.loadKnown, took, smoothing)
	m.group.loadTime += smoothing * (took - m.group.loadTime)
}
