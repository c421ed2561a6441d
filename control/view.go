package control

import "math"

// WorkerView is a dispatcher's view of one worker, for operators.
type WorkerView struct {
	ID                        WorkerID
	InFlight                  int     // own attempts in flight
	QueuedWork                Seconds // their expected run time
	PendingLoads              Seconds // load times of the loads that own attempts started
	FailureRate               float64 // exponential average of the fraction of attempts that failed for reasons of the worker
	Ejected                   bool
	Rejections                uint64    // attempts that the worker rejected for lack of capacity
	RejectionsWithOwnInFlight uint64    // those of them that were rejected while other own attempts were in flight at the worker
	ConcurrencyLimit          float64   // limit on own attempts in flight learned from its rejections, +Inf if there is none
	BackoffTotal              Seconds   // total length of the backoffs after rejections, with overlaps counted once
	BackoffLeft               Seconds   // time until the latest backoff ends: of the worker, of one traffic class, or of loads
	LoadedModels              []ModelID // models assumed to be loaded now
	ReportedInFlight          float64   // requests in flight at the worker according to its load reports
}

// RequestView is a dispatcher's view of one request in flight, for operators.
type RequestView struct {
	ID       RequestID
	Model    ModelID
	Age      Seconds
	TimeLeft Seconds  // time until the client's deadline
	InFlight int      // attempts in flight
	State    string   // reason why the request is in flight
	Worker   WorkerID // worker to which the request was sent or for which it is queued, 0 for none
}

// View returns the state of the workers, and of at most maxRequests requests in flight. It does not change the dispatcher's
// state.
func (d *Dispatcher) View(maxRequests int) (workers []WorkerView, requests []RequestView) {
	for _, w := range d.workers.all {
		workers = append(workers, d.viewWorker(w))
	}
	for _, req := range d.inFlight.slots {
		if req.live && len(requests) < maxRequests {
			requests = append(requests, d.viewRequest(req))
		}
	}
	return workers, requests
}

func (d *Dispatcher) viewWorker(w *worker) WorkerView {
	view := WorkerView{
		ID:                        w.ID,
		InFlight:                  w.ledger.inFlight,
		QueuedWork:                w.ledger.queuedWork,
		PendingLoads:              w.ledger.pendingLoads,
		FailureRate:               w.outlier.failureRate,
		Ejected:                   w.outlier.ejected,
		ReportedInFlight:          w.report.inFlight,
		Rejections:                w.rejections.total,
		RejectionsWithOwnInFlight: w.rejections.withOwnInFlight,
		ConcurrencyLimit:          w.concurrency.limitAt(d.now),
		BackoffTotal:              w.rejections.backoffTotal,
		BackoffLeft:               math.Max(0, w.backoffUntil()-d.now),
	}
	for id, m := range d.models.byID {
		if m.replicaIfKnown(w).isLoaded(d.now) {
			view.LoadedModels = append(view.LoadedModels, id)
		}
	}
	return view
}

func (d *Dispatcher) viewRequest(req *request) RequestView {
	view := RequestView{
		ID:       req.id,
		Model:    req.model.id,
		Age:      d.now - req.arrivedAt,
		TimeLeft: math.Max(0, req.deadline-d.now),
		InFlight: req.inFlight,
	}
	view.State, view.Worker = req.describe()
	return view
}

// describe returns the reason why a request is in flight, as /status shows it, and the worker to which the request was sent
// or for which it is queued, 0 for none.
func (r *request) describe() (state string, at WorkerID) {
	switch {
	case r.state == stateDone:
		return "answered; an attempt is still out", 0
	case r.state == stateQueued && r.queuedFor != nil && r.queuedFor.loadRequested():
		return "held for a load order", r.queuedFor.worker.ID
	case r.state == stateQueued && r.queuedFor != nil:
		return "held for the first answer of a cold group", r.queuedFor.worker.ID
	case r.state == stateQueued && r.awaitsCheck:
		return "held for a check whether a worker drains", 0
	case r.state == stateQueued:
		return "held for a worker to have room", 0
	case r.attempted > 0 && r.inFlight > 0:
		return "sent to a worker", r.latestAttempt().worker.ID
	default:
		return "just taken", 0
	}
}
