package control

import "math"

const (
	popularityWindow  = 20.0 // s, time constant of request counts: about as long as a model stays popular
	sparseTrafficRate = 0.25 // own requests/s per worker below which own attempts show little about the workers' queues
)

// decayingCount counts events, weighted by an exponential decay over popularityWindow.
type decayingCount struct {
	value     float64 // as of updatedAt
	updatedAt Seconds
}

// add counts one event.
func (c *decayingCount) add(now Seconds) {
	c.value = 1 + float64(c.value*math.Exp((c.updatedAt-now)/popularityWindow))
	c.updatedAt = now
}

// arrivalRate measures the rate at which requests arrive at this dispatcher.
type arrivalRate struct {
	recent decayingCount

	// The rate is cached, as each placement reads it for each worker.
	cached      float64
	cachedAt    Seconds
	cachedCount float64 // the value of recent from which cached was computed
}

// perSecond returns the requests per second. Soon after the dispatcher's start, the window is the time since that start.
func (a *arrivalRate) perSecond(now Seconds) float64 {
	if a.cachedAt != now || a.cachedCount != a.recent.value {
		window := popularityWindow * (1 - math.Exp(-math.Max(1, now)/popularityWindow))
		a.cached = a.recent.value * math.Exp((a.recent.updatedAt-now)/popularityWindow) / window
		a.cachedAt = now
		a.cachedCount = a.recent.value
	}
	return a.cached
}

// requestRate returns the requests per second that arrive at this dispatcher.
func (d *Dispatcher) requestRate() float64 { return d.arrivals.perSecond(d.now) }

// requestRatePerWorker returns the mean request rate that this dispatcher sends to one ready worker.
func (d *Dispatcher) requestRatePerWorker() float64 {
	return d.requestRate() / math.Max(1, float64(d.workers.ready))
}
