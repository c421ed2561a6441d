package control

import "math"

const (
	estimateSmoothing      = 0.1  // weight of a new value in the estimates of run time, load time and success: about ten values matter
	initialLoadTime        = 2.0  // s, load time of a model before any hint or load
	initialRunTimeFraction = 0.25 // fraction of the latency objective: run time of a model group before any response
	initialOverallRunTime  = 0.25 // s, run time over all model groups before any response
	peerWorkWindow         = 1.0  // s over which own queued work at a worker is averaged, to estimate that of each other dispatcher
	workerCores            = 4.0  // requests that a worker is assumed to run without slowing down; fewer make queues look too long
)

// smoothingWeight computes the weight of a new value in an exponential average. It caches the latest weight, as most workers
// are updated over the same interval.
type smoothingWeight struct {
	from, to Seconds
	weight   float64
}

// between returns the weight of the value at time to, in an exponential average over window last updated at time from.
func (s *smoothingWeight) between(from, to, window Seconds) float64 {
	if s.from != from || s.to != to {
		s.from = from
		s.to = to
		s.weight = 1 - math.Exp((from-to)/window)
	}
	return s.weight
}

// updateQueuedWork returns the run time that all dispatchers have queued at a worker, and updates the average of this
// dispatcher's part. Under sparse traffic the total is estimated from the worker's load reports. Otherwise each other
// dispatcher is assumed to queue as much there as this one does on average, as all prefer the same workers for a model.
func (d *Dispatcher) updateQueuedWork(target *worker) Seconds {
	ledger := &target.ledger
	if d.sparseTraffic && len(d.inFlightFields) > 0 {
		return max(ledger.queuedWork, d.estimatedInFlight(target)*d.runTime/workerCores)
	}
	own := ledger.queuedWork + float64(ledger.runningAbandoned(d.now, d.runTime)*d.runTime)
	if d.dispatchers > 1 && ledger.meanQueuedWorkAt < d.now {
		ledger.meanQueuedWork += float64((own - ledger.meanQueuedWork) * d.peerWeight.between(ledger.meanQueuedWorkAt, d.now, peerWorkWindow))
		ledger.meanQueuedWorkAt = d.now
	}
	return own + float64((d.dispatchers-1)*ledger.meanQueuedWork)
}

// updateEstimates updates the estimates from a successful attempt. An attempt that waited for a load that it did not start
// shows neither a run time nor a load time.
func (d *Dispatcher) updateEstimates(req *request, ended *attempt, result AttemptResult) {
	requested := req.model
	group := req.group
	foundLoaded := result.ModelState == ModelLoaded || result.ModelState == ModelStateUnknown && !ended.loading
	switch {
	case foundLoaded:
		requested.learnRunTime(result.Duration)
		d.runTime += float64(estimateSmoothing / 2 * (result.Duration - d.runTime))
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
	m.group.loadTime += float64(estimateSmoothing * (observed - m.group.loadTime))
}

func (g *modelGroup) learnRunTime(observed Seconds) {
	g.runTime = smoothed(g.runTime, observed, g.runKnown)
	g.runKnown = true
}

func (g *modelGroup) learnWork(observed Seconds) {
	g.meanWork += float64(estimateSmoothing * (observed - g.meanWork))
}

// estimateWork returns the work of a new request: its hint, which also updates the group's mean, or that mean without one.
func (g *modelGroup) estimateWork(hint Seconds) Seconds {
	if !isUsableHint(hint) {
		return g.meanWork
	}
	g.learnWork(hint)
	return hint
}

// smoothed returns an estimate updated by an observation. The first observation replaces the initial guess.
func smoothed(estimate, observed Seconds, known bool) Seconds {
	if !known {
		estimate = observed
	}
	return estimate + float64(estimateSmoothing*(observed-estimate))
}
