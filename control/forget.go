package control

import (
	"math"
	"slices"
)

// What was seen once must not cost for ever. The limits stand in control.go.

// forgetWorkers drops workers that have been gone for long and have nothing out or held; their index is used again.
func (d *Dispatcher) forgetWorkers(after Seconds) {
	for i := 0; i < len(d.workers); i++ {
		w := d.workers[i]
		if w.State != Gone {
			w.goneAt = math.Inf(1)
			continue
		}
		if w.goneAt = math.Min(w.goneAt, d.now); d.now < w.goneAt+after || w.pending > 0 || d.anyHeldFor(w) {
			continue
		}
		for _, m := range d.models {
			if w.index < len(m.replicas) {
				m.openReplicas = slices.DeleteFunc(m.openReplicas, func(rep *replica) bool { return rep.worker == w })
				m.replicas[w.index] = nil
			}
		}
		d.workers = slices.Delete(d.workers, i, i+1)
		delete(d.workersByID, w.ID)
		d.freeIndexes = append(d.freeIndexes, w.index)
		i--
	}
}

// anyHeldFor tells whether a request is held for a worker.
func (d *Dispatcher) anyHeldFor(w *worker) bool {
	for _, r := range d.inFlight.slots {
		if r.live && r.heldFor != nil && r.heldFor.worker == w {
			return true
		}
	}
	return false
}

// allocIndex returns a place for a worker in the models' lists.
func (d *Dispatcher) allocIndex() int {
	if n := len(d.freeIndexes); n > 0 {
		i := d.freeIndexes[n-1]
		d.freeIndexes = d.freeIndexes[:n-1]
		return i
	}
	d.nextIndex++
	return d.nextIndex - 1
}

// forgetModels drops, once there are more than most, the half that was asked for longest ago, but for those in use.
func (d *Dispatcher) forgetModels(most int) {
	if len(d.models) <= max(most, d.forgetModelsAt) {
		return
	}
	inHand := map[*model]bool{}
	for _, r := range d.inFlight.slots {
		if r.live {
			inHand[r.model] = true
		}
	}
	asked := make([]Seconds, 0, len(d.models))
	for _, m := range d.models {
		asked = append(asked, m.recentAt)
	}
	slices.Sort(asked)
	for id, m := range d.models {
		if m.recentAt <= asked[len(asked)/2] && !inHand[m] && !slices.ContainsFunc(m.replicas, func(rep *replica) bool {
			return rep != nil && (rep.orderPending || rep.orderWanted || rep.loading)
		}) {
			delete(d.models, id)
		}
	}
	d.forgetModelsAt = len(d.models) + most/2 // where most are in use, not at each new one
}

// shrink lets the table go back after a burst, once three quarters of more than least places are free. Those in flight
// keep their order.
func (s *requestTable) shrink(least int) {
	if len(s.slots) <= least || len(s.byID)*4 > len(s.slots) {
		return
	}
	all, byID := make([]*request, 0, 2*len(s.byID)), make(map[RequestID]int, 2*len(s.byID))
	for _, r := range s.slots {
		if r.live {
			r.slot, byID[r.id] = len(all), len(all)
			all = append(all, r)
		}
	}
	s.slots, s.byID, s.free = all, byID, nil
}
