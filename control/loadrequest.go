package control

import "math"

const loadRequestBackoff = 1.0 // s without load requests for a replica after a failed one

// requestLoad schedules a load request for a replica if none is outstanding and the load budget allows one. It reports
// whether a load request is scheduled or in flight.
func (d *Dispatcher) requestLoad(target *replica) bool {
	if target.loadRequested() {
		return true
	}
	if !d.sendsLoadRequests || target.loadRequestBackoffUntil > d.now || target.worker.State != Ready || !d.leaseValid(target.worker) {
		return false
	}
	if !d.loadBudget.admitLoadRequest(d.now) {
		return false
	}
	target.loadRequestScheduled = true
	d.pending.loadRequests = append(d.pending.loadRequests, target)
	return true
}

// LoadFinished records the outcome of a load request, and releases the requests that were queued for it.
func (d *Dispatcher) LoadFinished(result LoadResult) {
	from := d.workers.byID[result.Worker]
	requested := d.models.byID[result.Model]
	if from == nil || requested == nil {
		return
	}
	from.lease.until = math.Max(from.lease.until, result.LeaseUntil)
	target := requested.replica(from)
	target.loadRequestSent = false
	isLoaded := result.Result == Succeeded && result.Replicas > 0
	if isLoaded {
		target.loadedUntil = d.now + d.modelKeepAlive
		requested.learnLoadTime(result.Duration)
	} else {
		target.markNotLoaded()
		target.loadRequestBackoffUntil = d.now + loadRequestBackoff
	}
	target.finishLoad()
	d.releaseQueued(target, isLoaded)
}
