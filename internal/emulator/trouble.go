package emulator

import (
	"path"
)

// Set switches a trouble on, until now plus its span. It returns false for a kind or worker not known.
func (f *Fleet) Set(now float64, x Fault) bool {
	f.Advance(now)
	if _, ok := Kinds[x.Kind]; !ok {
		return false
	}
	if x.Factor <= 0 {
		x.Factor = 5
	}
	if x.Span <= 0 {
		x.Span = 5
	}
	x.since, x.until = now, now+x.Span
	if x.Kind == "store_slow" {
		f.faults = append(f.faults, x)
		f.stale = true
		f.pace()
		return true
	}
	hit := false
	for _, w := range f.workers {
		if ok, _ := path.Match(x.Worker, w.Name); !ok && x.Worker != "" {
			continue
		}
		hit = true
		f.enter(now, w)
		f.log(w, "fault-"+x.Kind, nil)
		switch x.Kind {
		case "vanish":
			f.vanish(w, now+x.Span)
		case "flush":
			f.flush(w)
		default:
			w.faults[x.Kind] = x
		}
		f.leave(w)
	}
	return hit
}

// flush voids all copies and images; what runs goes on.
func (f *Fleet) flush(w *worker) {
	for _, c := range w.models {
		c.image = false
	}
	for _, c := range w.order {
		for c.stand > c.busy {
			f.unload(w, c)
		}
		if len(c.waiting) > 0 && c.stand == 0 && !c.isLoading {
			f.loadOrTurn(w, c)
		}
	}
}

// loadOrTurn loads for those that wait, or turns them away.
func (f *Fleet) loadOrTurn(w *worker, c *copies) {
	if f.load(w, c) {
		return
	}
	for _, r := range c.waiting {
		w.held--
		r.st, r.Verdict, r.EndAt, r.Found = ended, TurnFull, f.now, "failed"
		f.log(w, "turned", r)
		f.done = append(f.done, r)
	}
	c.waiting = nil
}

// vanish ends a worker's process: all it held is lost. It comes back cold and empty.
func (f *Fleet) vanish(w *worker, back float64) {
	if !w.up {
		return
	}
	w.up, w.backAt = false, back
	f.log(w, "vanish", nil)
	for _, c := range w.models {
		c.image = c.image && w.Disk
	}
	for _, c := range w.order {
		if c.isLoading && c.loading > 0 {
			f.fetches--
			f.stale = true
		}
		for _, r := range append(c.waiting, c.orders...) {
			r.st, r.Verdict, r.EndAt = ended, Dead, f.now
		}
		*c = copies{spec: c.spec, name: c.name, image: c.image}
	}
	for _, r := range w.running {
		r.st, r.Verdict, r.EndAt = ended, Dead, f.now
	}
	w.running, w.order, w.memory, w.held, w.sent = nil, nil, 0, 0, nil
	clear(w.faults)
	if f.Vanished != nil {
		f.Vanished(w.i)
	}
}
