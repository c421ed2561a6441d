package control

import "math"

// WorkerView is what a dispatcher believes of one worker, for operators.
type WorkerView struct {
	ID     WorkerID
	Out    int     // own attempts out there
	Work   Seconds // run time of those
	Loads  Seconds // load times of own cold groups there
	Bad    float64 // smoothed share of attempts that failed for its own reasons
	Aside  bool
	Warm   []ModelID // believed warm now
	Report float64   // requests it reported to hold
}

// HandView is one request in flight and why it waits.
type HandView struct {
	ID    RequestID
	Model ModelID
	Age   Seconds
	Left  Seconds // of the client's time
	Out   int
	Why   string
	At    WorkerID // the worker it waits at or for, 0 for none
}

// View tells what is believed and what is in flight: at most so many requests, the longest held first seen. It
// changes nothing.
func (d *Dispatcher) View(most int) (workers []WorkerView, hand []HandView) {
	for _, w := range d.workers {
		v := WorkerView{ID: w.ID, Out: w.pending, Work: w.queued, Loads: w.pendingLoads, Bad: w.failureShare, Aside: w.ejected, Report: w.reported}
		for id, m := range d.models {
			if w.index < len(m.replicas) && m.replicas[w.index] != nil && m.replicas[w.index].warmUntil >= d.now {
				v.Warm = append(v.Warm, id)
			}
		}
		workers = append(workers, v)
	}
	for _, r := range d.inFlight.slots {
		if !r.live || len(hand) >= most {
			continue
		}
		v := HandView{ID: r.id, Model: r.model.id, Age: d.now - r.arrivedAt, Left: math.Max(0, r.notAfter-d.now), Out: r.pending}
		switch {
		case r.state == stateDone:
			v.Why = "answered; an attempt is still out"
		case r.state == stateHeld && r.heldFor != nil && (r.heldFor.orderPending || r.heldFor.orderWanted):
			v.Why, v.At = "held for a load order", r.heldFor.worker.ID
		case r.state == stateHeld && r.heldFor != nil:
			v.Why, v.At = "held for the first answer of a cold group", r.heldFor.worker.ID
		case r.state == stateHeld:
			v.Why = "held for a worker to have room"
		case r.attempted > 0 && r.pending > 0:
			v.Why, v.At = "sent to a worker", r.attempts[r.attempted-1].worker.ID
		default:
			v.Why = "just taken"
		}
		hand = append(hand, v)
	}
	return workers, hand
}
