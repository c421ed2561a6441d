package control

const (
	preferredFraction = 0.5  // of a worker's mean traffic that one model may contribute; 0.2 was no better
	minPopularity     = 30.0 // requests within popularityWindow below which a model's share reveals little
)

// measurePopularity counts a request and sets on how many workers its model should be loaded: on one, or, where own
// traffic is too sparse to see queues in time, on as many as keep its share of each worker's traffic low.
func (d *Dispatcher) measurePopularity(requested *model) {
	requested.recent.add(d.now)
	d.arrivals.recent.add(d.now)
	d.sparseTraffic = d.requestRate() < sparseTrafficRate*float64(d.workers.ready)
	requested.preferred = 1
	if d.sparseTraffic {
		share := requested.recent.value * float64(d.workers.ready) / (preferredFraction * (d.arrivals.recent.value + minPopularity))
		requested.preferred = min(1+int(share), max(1, d.workers.ready/2))
	}
}
