package emulator

import (
	"math"
)

// push books work sent to a cold worker; too much of it in the span pushes the worker over.
func (f *Fleet) push(w *worker, work float64) {
	if f.now-w.start >= w.WarmAfter || w.Overload <= 0 {
		w.sent = w.sent[:0]
		return
	}
	w.sent = append(w.sent, sent{f.now, work})
	for len(w.sent) > 0 && w.sent[0].at < f.now-w.Fall {
		w.sent = w.sent[1:]
	}
	sum := 0.0
	for _, s := range w.sent {
		sum += s.work
	}
	limit := w.Overload * w.capacity(f.now) * w.Cores * w.Speed * w.Fall
	if len(w.sent) > 2 {
		f.Nearest = math.Max(f.Nearest, sum/limit)
	}
	if len(w.sent) > 2 && sum > limit {
		w.fell = true
		f.log(w, "fell", nil)
		f.vanish(w, math.Inf(1))
	}
}

// order takes a load order.
func (f *Fleet) order(w *worker, r *Req, spec *ModelSpec) {
	f.log(w, "order", r)
	if x, ok := w.faults["hang"]; ok {
		_ = x
		r.Fault = true
		return
	}
	c := w.at(r.Model, spec)
	c.idleAt = f.now
	if c.stand >= r.Copies {
		r.Verdict, r.EndAt = Served, f.now
		r.Copies = c.stand
		return
	}
	if !c.isLoading && !f.load(w, c) {
		r.Verdict, r.EndAt, r.Copies = TurnFull, f.now, c.stand
		return
	}
	c.orders = append(c.orders, r)
}

// load begins to load one more copy, if there is room.
func (f *Fleet) load(w *worker, c *copies) bool {
	n := 0
	for _, o := range w.order {
		if o.isLoading {
			n++
		}
	}
	if n >= w.Loads {
		return false
	}
	for w.memory+c.spec.MemoryMB > w.MemoryMB {
		var idle *copies
		for _, o := range w.order {
			if o != c && o.stand > o.busy && len(o.waiting) == 0 && (idle == nil || o.idleAt < idle.idleAt) {
				idle = o
			}
		}
		if idle == nil {
			return false
		}
		f.unload(w, idle)
	}
	c.isLoading, c.boot, c.loading = true, math.Max(1e-6, c.spec.Boot), 0
	w.memory += c.spec.MemoryMB
	if !c.image {
		if f.spec.Store.Limit > 0 && f.fetches >= f.spec.Store.Limit {
			f.Refused++
			c.isLoading = false
			w.memory -= c.spec.MemoryMB
			return false
		}
		f.fetches++
		f.stale = true
		f.Fetched++
		c.loading = math.Max(1e-6, c.spec.Fetch)
		f.log(w, "fetch", &Req{Model: c.name})
	}
	f.log(w, "load", &Req{Model: c.name})
	return true
}

func (f *Fleet) unload(w *worker, c *copies) {
	c.stand--
	w.memory -= c.spec.MemoryMB
	f.log(w, "unload", &Req{Model: c.name})
}

// Unload drops the idle copies of a model.
func (f *Fleet) Unload(now float64, i int, model string) {
	w := f.workers[i]
	f.enter(now, w)
	defer f.leave(w)
	if c := w.models[model]; c != nil {
		for c.stand > c.busy {
			f.unload(w, c)
		}
	}
}
