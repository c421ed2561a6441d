package control

const (
	preferredFraction = 0.5  // of a worker's mean traffic that one model may contribute; limits queues that sparse traffic shows too late
	minPopularity     = 30.0 // requests added to those within popularityWindow, so that a few requests do not make a model popular
)

// measurePopularity counts a request, and sets the number of workers on which its model should be loaded: one, or, if own
// traffic is too sparse to notice queues in time, enough for the model to contribute a small part of each worker's traffic.
func (d *Dispatcher) measurePopularity(requested *model) {
	requested.recentRequests.add(d.now)
	d.arrivals.recent.add(d.now)
	d.sparseTraffic = d.requestRate() < sparseTrafficRate*float64(d.workers.ready)
	requested.preferred = 1
	if d.sparseTraffic {
		perWorker := preferredFraction * (d.arrivals.recent.value + minPopularity)
		needed := requested.recentRequests.value * float64(d.workers.ready) / perWorker
		requested.preferred = min(1+int(needed), max(1, d.workers.ready/2))
	}
}
