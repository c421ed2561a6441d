package control

// failureScope finds the narrowest scope a failure speaks of. Where the worker did well by another tenant or
// model group since, and that is the latest heard of others, it speaks of this tenant and group there only.
func (d *Dispatcher) failureScope(w *worker, side int, since Seconds) *health {
	last := health{answeredAt: since}
	for i, h := range w.classes {
		if i != side && h.answeredAt > last.answeredAt {
			last = h
		}
	}
	if last.answeredWell {
		return &w.classes[side]
	}
	return &w.health
}

// recordResult keeps a failure share, ejects by it and brings back by a ramp-up that doubles.
func (d *Dispatcher) recordResult(h *health, ok bool) {
	was := h.ejected
	if ok {
		h.failureShare, h.fullCount, h.rampRate = h.failureShare-failureSmoothing*h.failureShare, 0, 2*h.rampRate
		if h.ejected && h.rampRate >= rampDone {
			h.ejected, h.failureShare = false, ejectAt/2 // one more failure sets it aside again
		}
	} else if h.failureShare += failureSmoothing * (1 - h.failureShare); h.failureShare > ejectAt || h.ejected {
		h.ejected, h.rampRate, h.nextAttemptAt = true, rampStart, d.now+1/rampStart
	}
	if h.ejected != was {
		d.countWorkers()
	}
}
