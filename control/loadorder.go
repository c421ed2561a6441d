package control

const noCapacityBackoff = 1.0 // s without load orders for a replica after one found no capacity

// orderLoad wants a load order for a replica, at most one at a time and within the load budget. It reports whether one is
// wanted or in flight.
func (d *Dispatcher) orderLoad(target *replica) bool {
	if target.ordering() {
		return true
	}
	if !d.ordersLoads || target.noCapacityUntil > d.now || target.worker.State != Ready || !d.loadBudget.takeOrder(d.now) {
		return false
	}
	target.orderWanted = true
	d.outbox.loadOrders = append(d.outbox.loadOrders, target)
	return true
}

// LoadFinished records the outcome of a load order, and releases the requests that were held for it.
func (d *Dispatcher) LoadFinished(result LoadResult) {
	on, loaded := d.workers.byID[result.Worker], d.models.byID[result.Model]
	if on == nil || loaded == nil {
		return
	}
	target := loaded.replica(on)
	target.orderPending = false
	isLoaded := result.Result == Succeeded && result.Replicas > 0
	if isLoaded {
		target.warmUntil = d.now + d.modelKeepAlive
		loaded.learnLoadTime(result.Duration)
	} else {
		target.markCold()
		target.noCapacityUntil = d.now + noCapacityBackoff
	}
	target.finishLoad()
	d.releaseHeld(target, isLoaded)
}
