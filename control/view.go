package control

import "math"

// WorkerView is what a dispatcher believes of one worker, for operators.
type WorkerView struct {
	ID               WorkerID
	InFlight         int     // own attempts out there
	QueuedWork       Seconds // run time of those
	PendingLoads     Seconds // load times of own cold groups there
	FailureRate      float64 // smoothed share of attempts that failed for its own reasons
	Ejected          bool
	WarmModels       []ModelID // believed warm now
	ReportedInFlight float64   // requests it reported to hold
}

// RequestView is one request in flight and why it waits.
type RequestView struct {
	ID       RequestID
	Model    ModelID
	Age      Seconds
	TimeLeft Seconds // of the client's time
	InFlight int
	State    string
	Worker   WorkerID // the worker it waits at or for, 0 for none
}

// View tells what is believed and what is in flight: at most so many requests, the longest held first seen. It
// changes nothing.
func (d *Dispatcher) View(most int) (workers []WorkerView, hand []RequestView) {
	for _, w := range d.workers {
		v := WorkerView{ID: w.ID, InFlight: w.pending, QueuedWork: w.queued, PendingLoads: w.pendingLoads, FailureRate: w.failureShare, Ejected: w.ejected, ReportedInFlight: w.reported}
		for id, m := range d.models {
			if w.index < len(m.replicas) && m.replicas[w.index] != nil && m.replicas[w.index].warmUntil >= d.now {
				v.WarmModels = append(v.WarmModels, id)
			}
		}
		workers = append(workers, v)
	}
	for _, r := range d.inFlight.slots {
		if !r.live || len(hand) >= most {
			continue
		}
		v := RequestView{ID: r.id, Model: r.model.id, Age: d.now - r.arrivedAt, TimeLeft: math.Max(0, r.notAfter-d.now), InFlight: r.pending}
		switch {
		case r.state == stateDone:
			v.State = "answered; an attempt is still out"
		case r.state == stateHeld && r.heldFor != nil && (r.heldFor.orderPending || r.heldFor.orderWanted):
			v.State, v.Worker = "held for a load order", r.heldFor.worker.ID
		case r.state == stateHeld && r.heldFor != nil:
			v.State, v.Worker = "held for the first answer of a cold group", r.heldFor.worker.ID
		case r.state == stateHeld:
			v.State = "held for a worker to have room"
		case r.attempted > 0 && r.pending > 0:
			v.State, v.Worker = "sent to a worker", r.attempts[r.attempted-1].worker.ID
		default:
			v.State = "just taken"
		}
		hand = append(hand, v)
	}
	return workers, hand
}
