package control

const (
	preferredFraction = 0.5  // of a worker's mean traffic that one model may contribute; 0.2 scored no better in the lab
	minPopularity     = 30.0 // requests added to those within popularityWindow: a few requests do not make a model popular
)

// measurePopularity counts a request, and sets on how many workers its model should be loaded: on one, or, if own traffic is
// too sparse to notice queues in time, on so many that it contributes a small part of each worker's traffic.
func (d *Dispatcher) measurePopularity(requested *model) {
	requested.recent.add(d.now)
	d.arrivals.recent.add(d.now)
	d.sparseTraffic = d.requestRate() < sparseTrafficRate*float64(d.workers.ready)
	requested.preferred = 1
	if d.sparseTraffic {
		perWorker := preferredFraction * (d.arrivals.recent.value + minPopularity)
		needed := requested.recent.value * float64(d.workers.ready) / perWorker
		requested.preferred = min(1+int(needed), max(1, d.workers.ready/2))
	}
}
