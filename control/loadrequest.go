package control

const loadRequestBackoff = 1.0 // s without load orders for a replica after one found no capacity

// requestLoad wants a load order for a replica, at most one at a time and within the load budget. It reports whether one is
// wanted or in flight.
func (d *Dispatcher) requestLoad(target *replica) bool {
	if target.loadRequested() {
		return true
	}
	if !d.requestsLoads || target.loadRequestBackoffUntil > d.now || target.worker.State != Ready || !d.loadBudget.admitLoad(d.now) {
		return false
	}
	target.loadRequestScheduled = true
	d.outbox.loadRequests = append(d.outbox.loadRequests, target)
	return true
}

// LoadFinished records the outcome of a load order, and releases the requests that were held for it.
func (d *Dispatcher) LoadFinished(result LoadResult) {
	on, loaded := d.workers.byID[result.Worker], d.models.byID[result.Model]
	if on == nil || loaded == nil {
		return
	}
	target := loaded.replica(on)
	target.loadRequestSent = false
	isLoaded := result.Result == Succeeded && result.Replicas > 0
	if isLoaded {
		target.loadedUntil = d.now + d.modelKeepAlive
		loaded.learnLoadTime(result.Duration)
	} else {
		target.markNotLoaded()
		target.loadRequestBackoffUntil = d.now + loadRequestBackoff
	}
	target.finishLoad()
	d.releaseHeld(target, isLoaded)
}
