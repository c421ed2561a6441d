package control

// blame finds the narrowest scope that a failure speaks of. Where the worker did well by another tenant or
// model group since, and that is the latest heard of others, it speaks of this tenant and group there only.
func (d *Dispatcher) blame(w *worker, side int, since Seconds) *health {
	last := health{at: since}
	for i, h := range w.sides {
		if i != side && h.at > last.at {
			last = h
		}
	}
	if last.ok {
		return &w.sides[side]
	}
	return &w.health
}

// judge keeps a failure share, sets aside by it and brings back by a trickle that doubles.
func (d *Dispatcher) judge(h *health, ok bool) {
	was := h.aside
	if ok {
		h.bad, h.fulls, h.rate = h.bad-badBlend*h.bad, 0, 2*h.rate
		if h.aside && h.rate >= trickleBack {
			h.aside, h.bad = false, badAside/2 // one more failure sets it aside again
		}
	} else if h.bad += badBlend * (1 - h.bad); h.bad > badAside || h.aside {
		h.aside, h.rate, h.next = true, trickleFirst, d.now+1/trickleFirst
	}
	if h.aside != was {
		d.countReady()
	}
}
