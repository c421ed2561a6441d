package control

import "math"

// workLedger is what this dispatcher has sent to one worker and expects it to be busy with.
type workLedger struct {
	queued       Seconds // run time of own attempts in flight
	inFlight     int     // own attempts in flight
	loading      int     // those of them that wait for a load
	pendingLoads Seconds // load times of own cold groups

	abandoned   float64 // cancelled or timed-out attempts the worker may still run, as of abandonedAt
	abandonedAt Seconds

	meanQueued   Seconds // own queued work, smoothed up to meanQueuedAt
	meanQueuedAt Seconds
}

// reserve enters an attempt.
func (l *workLedger) reserve(a *attempt) {
	l.queued += a.runTime
	l.inFlight++
	if a.loading {
		l.loading++
	}
}

// release takes out an attempt. An idle worker has no work queued, whatever rounding left.
func (l *workLedger) release(a *attempt) {
	l.inFlight--
	if a.loading {
		l.loading--
	}
	l.queued = math.Max(0, l.queued-a.runTime)
	if l.inFlight == 0 {
		l.queued = 0
	}
}

// recordAbandoned counts an attempt that was cancelled or timed out: the worker may still run it, for about one runTime.
func (l *workLedger) recordAbandoned(now, runTime Seconds) {
	l.abandoned = l.stillAbandoned(now, runTime) + 1
	l.abandonedAt = now
}

// stillAbandoned returns how many abandoned attempts the worker may still run. It is read for each worker in each
// placement: only the part that is common is inlined.
func (l *workLedger) stillAbandoned(now, runTime Seconds) float64 {
	if l.abandoned == 0 {
		return 0
	}
	return l.decayedAbandoned(now, runTime)
}

func (l *workLedger) decayedAbandoned(now, runTime Seconds) float64 {
	return l.abandoned * math.Exp((l.abandonedAt-now)/math.Max(runTime, minDuration))
}

// concurrency returns how many own attempts the worker may be running: those that wait for no load, and abandoned ones.
func (l *workLedger) concurrency(now, runTime Seconds) float64 {
	return float64(l.inFlight-l.loading) + l.stillAbandoned(now, runTime)
}
