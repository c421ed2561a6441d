package emulator

import (
	"container/heap"
	"math"
	"slices"
)

// How the model moves through time: each worker stands at a time of its own and knows when something next happens to
// it, so that an event costs what its worker holds, however many workers there are. What they share is the store:
// when its pace changes, those that fetch are brought up to the moment first.

// step bounds how far a worker goes in one stride while its speed changes smoothly.
const step = 0.02

// eps is what is left of a run or load, in seconds, when it counts as over.
const eps = 1e-7

// agenda orders workers by what happens next; equal times by number.
type agenda []*worker

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].next < a[j].next || a[i].next == a[j].next && a[i].i < a[j].i
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i]; a[i].slot, a[j].slot = i, j }
func (a *agenda) Push(x any)   { w := x.(*worker); w.slot = len(*a); *a = append(*a, w) }
func (a *agenda) Pop() any     { panic("workers stay") }

// Next tells when something may happen next; +Inf for never.
func (f *Fleet) Next() float64 {
	next := f.storeNext
	if len(f.agenda) > 0 {
		next = math.Min(next, f.agenda[0].next)
	}
	return next
}

// Advance moves the clock on; TakeDone returns what ended.
func (f *Fleet) Advance(now float64) {
	for {
		t := f.Next()
		if t > now {
			break
		}
		f.now = math.Max(f.now, t)
		if f.storeNext <= t {
			f.stale = true
		} else {
			w := f.agenda[0]
			f.stride(w, f.now)
			f.plan(w)
		}
		f.pace()
	}
	f.now = math.Max(f.now, now)
}

// enter brings a worker up to now, for a change to be made to it; leave plans what follows from the change.
func (f *Fleet) enter(now float64, w *worker) {
	f.Advance(now)
	f.stride(w, f.now)
}

func (f *Fleet) leave(w *worker) {
	f.plan(w)
	f.pace()
}

// pace takes note of a change of the store's pace: those that fetch go on at the new one from here.
func (f *Fleet) pace() {
	for f.stale {
		f.stale = false
		for _, w := range f.workers {
			if w.fetching() {
				f.stride(w, f.now)
			}
		}
		f.slow, f.storeNext = f.storeSlow(), math.Inf(1)
		for _, x := range f.faults {
			if x.until > f.now {
				f.storeNext = math.Min(f.storeNext, x.until)
			}
		}
		for _, w := range f.workers {
			if w.fetching() {
				f.plan(w)
			}
		}
	}
}

func (w *worker) fetching() bool {
	for _, c := range w.order {
		if c.isLoading && c.loading > 0 {
			return true
		}
	}
	return false
}

// storeSlow is how many times slower than alone a fetch goes now.
func (f *Fleet) storeSlow() float64 {
	v := 1.0
	if s := f.spec.Store.Slots; s > 0 && f.fetches > s {
		v = float64(f.fetches) / float64(s)
	}
	for _, x := range f.faults {
		if f.now < x.until {
			v *= x.Factor
		}
	}
	return v
}

// plan works out when something next happens to a worker.
func (f *Fleet) plan(w *worker) {
	next := math.Inf(1)
	soon := func(span float64) { next = math.Min(next, f.now+math.Max(span, 1e-6)) }
	if !w.up {
		next = w.backAt
	} else {
		if v := f.speed(w); v > 0 {
			for _, r := range w.running {
				soon(r.left / v)
			}
		}
		if len(w.running) > 0 && (w.capacity(f.now) < 1 || len(w.faults) > 0) {
			soon(step)
		}
		for _, c := range w.order {
			switch {
			case c.isLoading && c.loading > 0:
				soon(c.loading * f.slow)
			case c.isLoading:
				soon(c.boot)
			case c.stand > c.busy && w.Keep > 0 && len(c.waiting) == 0:
				soon(c.idleAt + w.Keep - f.now)
			}
		}
		for _, x := range w.faults {
			soon(x.until - f.now)
		}
	}
	w.next = next
	heap.Fix(&f.agenda, w.slot)
}

// TakeDone returns those that ended since the last call.
func (f *Fleet) TakeDone() []*Req {
	d := f.done
	f.done = nil
	return d
}

// stride brings one worker up to a time.
func (f *Fleet) stride(w *worker, to float64) {
	dt := to - w.stood
	speed, slow := 0.0, f.slow
	if dt > 0 {
		speed = f.speedAt(w, w.stood)
	}
	w.stood = to
	if !w.up {
		if to >= w.backAt {
			w.up, w.start, w.backAt = true, to, math.Inf(1)
			f.log(w, "start", nil)
			if f.Returned != nil {
				f.Returned(w.i)
			}
		}
		return
	}
	for _, r := range w.running {
		r.left -= dt * speed
	}
	for k := 0; k < len(w.running); k++ {
		if r := w.running[k]; r.left <= eps {
			f.stop(r)
			k--
			if r.Verdict, r.Found = Served, r.found; r.Fault { // it ran, and nobody hears of it
				r.Verdict = Silent
				f.log(w, "silent", r)
			} else {
				f.log(w, "served", r)
			}
			f.done = append(f.done, r)
			f.dispatch(w, r.m)
		}
	}
	for _, c := range w.order {
		f.age(w, c, dt, slow)
	}
	for k, x := range w.faults {
		if to >= x.until {
			delete(w.faults, k)
			if k == "ageing" {
				f.vanish(w, to+3)
				break
			}
		}
	}
	w.order = slices.DeleteFunc(w.order, func(c *copies) bool {
		c.listed = c.isLoading || c.stand > 0 || len(c.waiting) > 0
		return !c.listed
	})
	if to > f.swept+10 {
		f.swept = to
		for k, m := range f.marks {
			if to > m.until+60 {
				delete(f.marks, k)
			}
		}
	}
}

// age moves a model's loads and idle copies on.
func (f *Fleet) age(w *worker, c *copies, dt, slow float64) {
	switch {
	case c.isLoading && c.loading > 0:
		if c.loading -= dt / slow; c.loading <= eps {
			c.loading = 0
			f.fetches--
			f.stale = true
		}
	case c.isLoading:
		if c.boot -= dt; c.boot <= eps {
			c.isLoading, c.image = false, true
			c.stand++
			c.idleAt = f.now
			f.log(w, "loaded", &Req{Model: c.name})
			for _, o := range c.orders {
				o.Verdict, o.Copies, o.EndAt = Served, c.stand, f.now
				f.done = append(f.done, o)
			}
			c.orders = nil
			f.dispatch(w, c)
		}
	case w.Keep > 0 && c.stand > c.busy && f.now >= c.idleAt+w.Keep-eps && len(c.waiting) == 0:
		for c.stand > c.busy {
			f.unload(w, c)
		}
	}
}
