package control

import "math"

func (d *Dispatcher) Workers(kind ListKind, _ uint32, list []WorkerInfo) {
	if kind == ListFailed {
		d.askAt, d.askGap = d.now+d.askGap, math.Min(2*d.askGap, d.told.askEvery)
		return
	} else if kind != ListCached {
		d.askGap = askFirst
	}
	if kind != ListChanges {
		for _, w := range d.workers {
			w.State = Gone
		}
	}
	for _, l := range list {
		w := d.known[l.ID]
		if w == nil {
			w = &worker{WorkerInfo: l, index: d.index(), coldAt: math.Inf(-1), heldAt: math.Inf(-1),
				goneAt: math.Inf(1), sides: make([]health, len(d.told.groups)*d.sidesEach)}
			d.known[l.ID] = w
			d.workers = append(d.workers, w)
		} else if l.Start > w.Start {
			d.fresh(w)
		}
		w.WorkerInfo = l
	}
	d.forgetWorkers(goneLong)
	d.countReady()
	d.changed = true
	d.look()
}

// fresh forgets what was believed of a worker that started anew: it is empty, and owed a new judgement.
func (d *Dispatcher) fresh(w *worker) {
	for _, m := range d.models {
		if w.index < len(m.places) && m.places[w.index] != nil {
			m.places[w.index].warm, m.places[w.index].noRoom = math.Inf(-1), 0
		}
	}
	clear(w.sides)
	w.health, w.coldAt = health{}, math.Inf(-1)
	d.countReady()
}
