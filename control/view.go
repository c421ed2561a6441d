package control

import "math"

// WorkerView is what a dispatcher believes of one worker, for operators.
type WorkerView struct {
	ID     WorkerID
	Out    int     // own forwards out there
	Work   Seconds // run time of those
	Loads  Seconds // load times of own cold groups there
	Bad    float64 // smoothed share of forwards that failed for its own reasons
	Aside  bool
	Warm   []ModelID // believed warm now
	Report float64   // inferences it reported to hold
}

// HandView is one inference in hand and why it waits.
type HandView struct {
	ID    InferenceID
	Model ModelID
	Age   Seconds
	Left  Seconds // of the client's time
	Out   int
	Why   string
	At    WorkerID // the worker it waits at or for, 0 for none
}

// View tells what is believed and what is in hand: at most so many inferences, the longest held first seen. It
// changes nothing.
func (d *Dispatcher) View(most int) (workers []WorkerView, hand []HandView) {
	for _, w := range d.workers {
		v := WorkerView{ID: w.ID, Out: w.out, Work: w.work, Loads: w.loads, Bad: w.bad, Aside: w.aside, Report: w.held}
		for id, m := range d.models {
			if w.index < len(m.places) && m.places[w.index] != nil && m.places[w.index].warm >= d.now {
				v.Warm = append(v.Warm, id)
			}
		}
		workers = append(workers, v)
	}
	for _, r := range d.hand.all {
		if !r.live || len(hand) >= most {
			continue
		}
		v := HandView{ID: r.id, Model: r.model.id, Age: d.now - r.taken, Left: math.Max(0, r.notAfter-d.now), Out: r.out}
		switch {
		case r.want == wantDone:
			v.Why = "answered; a forward is still out"
		case r.want == wantHold && r.waits != nil && (r.waits.ordered || r.waits.wanted):
			v.Why, v.At = "held for a load order", r.waits.worker.ID
		case r.want == wantHold && r.waits != nil:
			v.Why, v.At = "held for the first answer of a cold group", r.waits.worker.ID
		case r.want == wantHold:
			v.Why = "held for a worker to have room"
		case r.n > 0 && r.out > 0:
			v.Why, v.At = "forwarded", r.forwards[r.n-1].to.ID
		default:
			v.Why = "just taken"
		}
		hand = append(hand, v)
	}
	return workers, hand
}
