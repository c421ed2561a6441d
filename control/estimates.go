package control

import "math"

const (
	estimateSmoothing = 0.1  // weight of a new value in run time, load time and success estimates: about the last ten count
	initialLoadTime   = 2.0  // s, load time of a model before any hint or load (design)
	initialRunTime    = 0.25 // of the latency objective: run time of a model group before any answer
	initialRunTimeAll = 0.25 // s, run time over all model groups before any answer
	peerWorkWindow    = 1.0  // s over which own work at a worker is smoothed to stand for a peer's
	workerCores       = 4.0  // requests a worker runs without slowing down, which is not reported; 2 lost
)

// smoothingWeight caches the weight of a new value after some time, as most workers are updated at the same times.
type smoothingWeight struct {
	from, to Seconds
	weight   float64
}

// between returns the weight of the newer value in an average over window.
func (s *smoothingWeight) between(from, to, window Seconds) float64 {
	if s.from != from || s.to != to {
		s.from, s.to = from, to
		s.weight = 1 - math.Exp((from-to)/window)
	}
	return s.weight
}

// updateQueuedWork returns the run time queued at a worker, and brings the smoothed own work up to now. Peers' work is
// taken from its load reports where own traffic is sparse; otherwise each peer is assumed to queue as much there as this
// dispatcher does over time, since all prefer the same workers for a model.
func (d *Dispatcher) updateQueuedWork(on *worker) Seconds {
	ledger := &on.ledger
	if d.sparseTraffic && len(d.inFlightFields) > 0 {
		return max(ledger.queued, d.estimatedInFlight(on)*d.runTime/workerCores)
	}
	own := ledger.queued + ledger.stillAbandoned(d.now, d.runTime)*d.runTime
	if d.dispatchers > 1 && ledger.meanQueuedAt < d.now {
		ledger.meanQueued += (own - ledger.meanQueued) * d.peerWeight.between(ledger.meanQueuedAt, d.now, peerWorkWindow)
		ledger.meanQueuedAt = d.now
	}
	return own + (d.dispatchers-1)*ledger.meanQueued
}

// learn updates the estimates from a successful attempt. One that waited for a load it did not start reveals neither.
func (d *Dispatcher) learn(req *request, answered *attempt, result AttemptResult) {
	requested, group := req.model, req.group
	switch {
	case result.ModelState == ModelWarm || result.ModelState == ModelStateUnknown && !answered.loading:
		requested.learnRunTime(result.Duration)
		d.runTime += estimateSmoothing / 2 * (result.Duration - d.runTime)
		group.learnRunTime(result.Duration)
		if req.workHint == 0 {
			group.learnWork(result.Duration)
		}
	case result.ModelState == LoadStarted:
		requested.learnLoadTime(math.Max(0, result.Duration-requested.runTime))
	}
}

func (m *model) learnRunTime(observed Seconds) {
	m.runTime = smoothed(m.runTime, observed, m.runKnown)
	m.runKnown = true
}

func (m *model) learnLoadTime(observed Seconds) {
	m.loadTime = smoothed(m.loadTime, observed, m.loadKnown)
	m.loadKnown = true
	m.group.loadTime += estimateSmoothing * (observed - m.group.loadTime)
}

func (g *modelGroup) learnRunTime(observed Seconds) {
	g.runTime = smoothed(g.runTime, observed, g.runKnown)
	g.runKnown = true
}

func (g *modelGroup) learnWork(observed Seconds) {
	g.meanWork += estimateSmoothing * (observed - g.meanWork)
}

// estimateWork returns the work of a new request: its hint, which is learned from, or else the mean of its group.
func (g *modelGroup) estimateWork(hint Seconds) Seconds {
	if !isHint(hint) {
		return g.meanWork
	}
	g.learnWork(hint)
	return hint
}

// smoothed returns an estimate moved towards an observation. The first observation replaces the initial guess.
func smoothed(estimate, observed Seconds, known bool) Seconds {
	if !known {
		estimate = observed
	}
	return estimate + estimateSmoothing*(observed-estimate)
}
