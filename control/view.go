package control

import "math"

// WorkerView is what a dispatcher assumes of one worker, for operators.
type WorkerView struct {
	ID               WorkerID
	InFlight         int     // own attempts in flight
	QueuedWork       Seconds // run time of those
	PendingLoads     Seconds // load times of own cold groups
	FailureRate      float64 // smoothed share of attempts that failed for reasons of the worker
	Ejected          bool
	LoadedModels     []ModelID // assumed to be loaded now
	ReportedInFlight float64   // requests in flight by its load reports
}

// RequestView is one request in flight and why it waits.
type RequestView struct {
	ID       RequestID
	Model    ModelID
	Age      Seconds
	TimeLeft Seconds // until the client's deadline
	InFlight int     // attempts in flight
	State    string
	Worker   WorkerID // the worker it was sent to or is held for, 0 for none
}

// View returns what is assumed of the workers, and the requests in flight, at most requestsMax of them. It changes nothing.
func (d *Dispatcher) View(requestsMax int) (workers []WorkerView, requests []RequestView) {
	for _, w := range d.workers.all {
		workers = append(workers, d.viewWorker(w))
	}
	for _, req := range d.inFlight.slots {
		if req.live && len(requests) < requestsMax {
			requests = append(requests, d.viewRequest(req))
		}
	}
	return workers, requests
}

func (d *Dispatcher) viewWorker(w *worker) WorkerView {
	view := WorkerView{
		ID:               w.ID,
		InFlight:         w.ledger.inFlight,
		QueuedWork:       w.ledger.queued,
		PendingLoads:     w.ledger.pendingLoads,
		FailureRate:      w.outlier.failureRate,
		Ejected:          w.outlier.ejected,
		ReportedInFlight: w.report.inFlight,
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
	switch {
	case req.state == stateDone:
		view.State = "answered; an attempt is still out"
	case req.state == stateHeld && req.heldFor != nil && req.heldFor.loadRequested():
		view.State, view.Worker = "held for a load order", req.heldFor.worker.ID
	case req.state == stateHeld && req.heldFor != nil:
		view.State, view.Worker = "held for the first answer of a cold group", req.heldFor.worker.ID
	case req.state == stateHeld:
		view.State = "held for a worker to have room"
	case req.attempted > 0 && req.inFlight > 0:
		view.State, view.Worker = "sent to a worker", req.latestAttempt().worker.ID
	default:
		view.State = "just taken"
	}
	return view
}
