package control

import "math"

// workLedger accounts for the work that this dispatcher has in flight at one worker.
type workLedger struct {
	queuedWork   Seconds // run time of own attempts in flight
	inFlight     int     // own attempts in flight
	loading      int     // own attempts in flight that wait for a load
	pendingLoads Seconds // load times of the loads that own attempts started

	abandoned   float64 // cancelled or timed-out attempts that the worker may still run, as of abandonedAt
	abandonedAt Seconds

	meanQueuedWork   Seconds // exponential average of own queued work, as of meanQueuedWorkAt
	meanQueuedWorkAt Seconds
}

// reserve adds an attempt.
func (l *workLedger) reserve(a *attempt) {
	l.queuedWork += a.runTime
	l.inFlight++
	if a.loading {
		l.loading++
	}
}

// release removes an attempt. With nothing in flight the queued work is reset to 0, so that rounding errors don't accumulate.
func (l *workLedger) release(a *attempt) {
	l.inFlight--
	if a.loading {
		l.loading--
	}
	l.queuedWork = math.Max(0, l.queuedWork-a.runTime)
	if l.inFlight == 0 {
		l.queuedWork = 0
	}
}

// recordAbandoned counts an attempt that was cancelled or timed out: the worker may still run it, for about one runTime.
func (l *workLedger) recordAbandoned(now, runTime Seconds) {
	l.abandoned = l.runningAbandoned(now, runTime) + 1
	l.abandonedAt = now
}

// runningAbandoned returns how many abandoned attempts the worker may still run. Each placement calls it for each worker, so
// the usual case is small enough to be inlined.
func (l *workLedger) runningAbandoned(now, runTime Seconds) float64 {
	if l.abandoned == 0 {
		return 0
	}
	return l.decayedAbandoned(now, runTime)
}

func (l *workLedger) decayedAbandoned(now, runTime Seconds) float64 {
	return l.abandoned * math.Exp((l.abandonedAt-now)/math.Max(runTime, minDuration))
}

// occupancy returns how many own attempts may use the worker's capacity: those in flight, whether they wait for a load or
// not, and abandoned ones.
func (l *workLedger) occupancy(now, runTime Seconds) float64 {
	return float64(l.inFlight) + l.runningAbandoned(now, runTime)
}

// concurrency returns how many own attempts the worker may be running: those in flight that do not wait for a load, and
// abandoned ones.
func (l *workLedger) concurrency(now, runTime Seconds) float64 {
	return float64(l.inFlight-l.loading) + l.runningAbandoned(now, runTime)
}
