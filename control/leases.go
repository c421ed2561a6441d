package control

import "math"

const (
	leaseMargin       = 0.02 // s before the end of a lease in which no attempt is scheduled: the host checks the lease again when it sends
	checkTimeout      = 0.05 // s for which requests are queued for the response to a check, before they are placed at other workers
	minCheckBackoff   = 0.25 // s, the first backoff after a failed check; doubles with each further one
	drainCheckBackoff = 1.0  // s, the first backoff after a draining worker rejected a check
	maxCheckBackoff   = 8.0  // s, the longest backoff
)

// unlimitedLease is the lease of an endpoint list whose source sets no time limits.
var unlimitedLease = ListLease{ConfirmedAt: math.Inf(1), NotifiedBy: infinity, Until: infinity}

// workerLease is what is known of a worker beyond the endpoint list. While discovery is unavailable, the list may not show
// that a worker is draining or that its process was replaced. From the time at which this dispatcher may count as notified
// of such changes, a worker receives new work only if it has shown recently that it accepts any. Workers with traffic show
// that by their successful responses; others are checked when a request is to be sent there.
type workerLease struct {
	until             Seconds // end of the lease, as last reported by the host
	connectionsLostAt Seconds // when its connections were last reset or refused, -Inf for never
	checkedAt         Seconds // when the check in flight was scheduled, -Inf if there is none
	nextCheckAt       Seconds // no check before then
	backoff           Seconds // backoff after the latest check, 0 if that succeeded
	model             ModelID // model named in the scheduled check
	draining          bool    // the worker rejected a check as it is draining, and none has succeeded since
	checkFailed       bool    // a check failed without a rejection, and none has succeeded since
}

// newWorkerLease returns the lease of a worker that is listed for the first time.
func newWorkerLease() *workerLease {
	return &workerLease{connectionsLostAt: math.Inf(-1), checkedAt: math.Inf(-1), nextCheckAt: math.Inf(-1)}
}

// ListLeaseChanged implements Module.
func (d *Dispatcher) ListLeaseChanged(lease ListLease) {
	wasValid := d.now < d.listLease.Until
	d.listLease = lease
	isValid := d.now < lease.Until
	if isValid && !wasValid {
		d.resetChecks()
	}
	if isValid != wasValid {
		d.queue.capacityMayHaveChanged = true
		d.rescheduleUnsentAttempts()
		d.scanRequests()
	}
}

// resetChecks discards the outcomes of checks once the endpoint list may be relied on again.
func (d *Dispatcher) resetChecks() {
	for _, w := range d.workers.all {
		w.lease.backoff = 0
		w.lease.nextCheckAt = math.Inf(-1)
		w.lease.draining = false
		w.lease.checkFailed = false
	}
}

// WorkerChecked implements Module.
func (d *Dispatcher) WorkerChecked(result CheckResult) {
	checked := d.workers.byID[result.Worker]
	if checked == nil {
		return
	}
	checked.lease.recordCheck(d.now, result)
	d.queue.capacityMayHaveChanged = true
	d.scanRequests()
}

// recordCheck records the outcome of a check. A worker that was draining and accepts work again is a new process that has
// just started; one whose checks failed for a while may be a new process.
func (l *workerLease) recordCheck(now Seconds, result CheckResult) {
	l.checkedAt = math.Inf(-1)
	l.until = result.LeaseUntil
	if result.Result == Succeeded {
		if l.draining || l.checkFailed {
			l.connectionsLostAt = now
		}
		l.draining = false
		l.checkFailed = false
		l.backoff = 0
		return
	}
	minBackoff := minCheckBackoff
	switch result.Result {
	case AtCapacity:
		l.draining = true
		minBackoff = drainCheckBackoff
	case NotSent:
	default:
		l.checkFailed = true
	}
	l.backoff = math.Min(maxCheckBackoff, math.Max(minBackoff, 2*l.backoff))
	l.nextCheckAt = now + l.backoff
}

// ConnectionsLost implements Module.
func (d *Dispatcher) ConnectionsLost(id WorkerID) {
	lost := d.workers.byID[id]
	if lost != nil {
		lost.lease.connectionsLostAt = d.now
	}
}

// listLeaseValid reports whether the endpoint list may be relied on.
func (d *Dispatcher) listLeaseValid() bool { return d.now < d.listLease.Until-leaseMargin }

// leaseValid reports whether a worker that is listed as ready may be relied on to be ready.
func (d *Dispatcher) leaseValid(w *worker) bool {
	return d.listLeaseValid() || d.now < w.lease.until-leaseMargin
}

// leaseObtainable reports whether a check may obtain a lease for a worker that has none, before the request is due.
func (d *Dispatcher) leaseObtainable(req *request, w *worker) bool {
	return d.loadRequestsAllowed && !w.lease.draining && w.lease.nextCheckAt < d.respondBy(req)
}

// mayCheck reports whether a request may be queued for a check of a worker: a check that has just been scheduled, or a new
// one.
func (d *Dispatcher) mayCheck(w *worker) bool {
	switch {
	case !d.loadRequestsAllowed:
		return false
	case w.lease.checkedAt > math.Inf(-1):
		return d.now < w.lease.checkedAt+checkTimeout
	}
	return d.now >= w.lease.nextCheckAt
}

// scheduleCheck schedules a check of a worker unless one is in flight.
func (d *Dispatcher) scheduleCheck(w *worker, requested *model) {
	if w.lease.checkedAt > math.Inf(-1) {
		return
	}
	w.lease.checkedAt = d.now
	w.lease.model = requested.id
	d.pending.checks = append(d.pending.checks, w)
}

// startedAt returns the latest time at which a worker may have started. A worker whose connections were lost after the list
// was confirmed may be a new process, if this dispatcher may count as notified of changes since then.
func (d *Dispatcher) startedAt(w *worker) Seconds {
	if d.now < d.listLease.NotifiedBy { // the usual case is small enough to be inlined, as each placement calls it for each worker
		return w.StartedAt
	}
	return d.possibleStart(w)
}

func (d *Dispatcher) possibleStart(w *worker) Seconds {
	if w.lease.connectionsLostAt > d.listLease.ConfirmedAt {
		return math.Max(w.StartedAt, w.lease.connectionsLostAt)
	}
	return w.StartedAt
}
