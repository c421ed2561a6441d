package standin

import "math"

// How the model moves through time.

// step bounds how far the model goes in one stride while speeds change smoothly.
const step = 0.02

// Next tells when something may happen next; +Inf for never.
func (f *Fleet) Next() float64 {
	next := math.Inf(1)
	slow := f.storeSlow()
	for _, w := range f.workers {
		if !w.up {
			next = math.Min(next, w.backAt)
			continue
		}
		v := f.speed(w)
		for _, r := range w.running {
			if v > 0 {
				next = math.Min(next, f.now+math.Max(r.left/v, 1e-6))
			}
		}
		if len(w.running) > 0 && (v == 0 || w.capacity(f.now) < 1 || len(w.faults) > 0) {
			next = math.Min(next, f.now+step)
		}
		for _, c := range w.order {
			switch {
			case c.isLoading && c.loading > 0:
				next = math.Min(next, f.now+math.Max(c.loading*slow, 1e-6))
			case c.isLoading:
				next = math.Min(next, f.now+math.Max(c.boot, 1e-6))
			case c.stand > c.busy && w.Keep > 0:
				next = math.Min(next, math.Max(f.now+1e-6, c.idleAt+w.Keep))
			}
		}
		for _, x := range w.faults {
			next = math.Min(next, math.Max(f.now+1e-6, x.until))
		}
	}
	return next
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

// Advance moves the clock on, and returns what ended. The slice is valid until the next call of TakeDone.
func (f *Fleet) Advance(now float64) {
	for now > f.now {
		to := math.Min(now, f.Next())
		if f.busy() {
			to = math.Min(to, f.now+step)
		}
		f.stride(math.Max(to, math.Nextafter(f.now, math.Inf(1))))
	}
}

func (f *Fleet) busy() bool {
	for _, w := range f.workers {
		if len(w.running) > 0 && (w.capacity(f.now) < 1 || len(w.faults) > 0) {
			return true
		}
	}
	return false
}

// TakeDone returns those that ended since the last call.
func (f *Fleet) TakeDone() []*Req {
	d := f.done
	f.done = nil
	return d
}

func (f *Fleet) stride(to float64) {
	dt := to - f.now
	slow := f.storeSlow()
	speeds := make([]float64, len(f.workers))
	for i, w := range f.workers {
		speeds[i] = f.speed(w)
	}
	f.now = to
	const eps = 1e-7
	for i, w := range f.workers {
		if !w.up {
			if to >= w.backAt {
				w.up, w.start, w.backAt = true, to, math.Inf(1)
				f.log(w, "start", nil)
				if f.Returned != nil {
					f.Returned(w.i)
				}
			}
			continue
		}
		for _, r := range w.running {
			r.left -= dt * speeds[i]
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
	}
	for k, m := range f.marks {
		if to > m.until+60 {
			delete(f.marks, k)
		}
	}
}

// age moves a model's loads and idle copies on.
func (f *Fleet) age(w *worker, c *copies, dt, slow float64) {
	const eps = 1e-7
	switch {
	case c.isLoading && c.loading > 0:
		if c.loading -= dt / slow; c.loading <= eps {
			c.loading = 0
			f.fetches--
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
