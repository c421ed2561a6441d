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
		if w.goneAt = math.Min(w.goneAt, d.now); d.now < w.goneAt+after || w.out > 0 || d.heldAt(w) {
			continue
		}
		for _, m := range d.models {
			if w.index < len(m.places) {
				m.open = slices.DeleteFunc(m.open, func(pl *place) bool { return pl.worker == w })
				m.places[w.index] = nil
			}
		}
		d.workers = slices.Delete(d.workers, i, i+1)
		delete(d.known, w.ID)
		d.free = append(d.free, w.index)
		i--
	}
}

// heldAt tells whether an inference is held for a worker.
func (d *Dispatcher) heldAt(w *worker) bool {
	for _, r := range d.hand.all {
		if r.live && r.waits != nil && r.waits.worker == w {
			return true
		}
	}
	return false
}

// index returns a place for a worker in the models' lists.
func (d *Dispatcher) index() int {
	if n := len(d.free); n > 0 {
		i := d.free[n-1]
		d.free = d.free[:n-1]
		return i
	}
	d.indexes++
	return d.indexes - 1
}

// forgetModels drops, once there are more than most, the half that was asked for longest ago, but for those in use.
func (d *Dispatcher) forgetModels(most int) {
	if len(d.models) <= max(most, d.modelsNext) {
		return
	}
	inHand := map[*model]bool{}
	for _, r := range d.hand.all {
		if r.live {
			inHand[r.model] = true
		}
	}
	asked := make([]Seconds, 0, len(d.models))
	for _, m := range d.models {
		asked = append(asked, m.askedAt)
	}
	slices.Sort(asked)
	for id, m := range d.models {
		if m.askedAt <= asked[len(asked)/2] && !inHand[m] && !slices.ContainsFunc(m.places, func(pl *place) bool {
			return pl != nil && (pl.ordered || pl.wanted || pl.cold)
		}) {
			delete(d.models, id)
		}
	}
	d.modelsNext = len(d.models) + most/2 // where most are in use, not at each new one
}

// shrink lets the slab go back after a burst, once three quarters of more than least places are free. Those in hand
// keep their order.
func (s *slab) shrink(least int) {
	if len(s.all) <= least || len(s.byID)*4 > len(s.all) {
		return
	}
	all, byID := make([]*inference, 0, 2*len(s.byID)), make(map[InferenceID]int, 2*len(s.byID))
	for _, r := range s.all {
		if r.live {
			r.place, byID[r.id] = len(all), len(all)
			all = append(all, r)
		}
	}
	s.all, s.byID, s.free = all, byID, nil
}
