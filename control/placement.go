package control

import "math"

// find places an inference: into an open group, into a new one, or it is held until there is a worker.
func (d *Dispatcher) find(r *inference) {
	if pl := d.join(r); pl != nil {
		if pl.count++; pl.cold {
			d.hold(r, pl)
		} else {
			d.send(r, pl)
		}
		return
	}
	switch pl := d.least(r, false); {
	case pl == nil && r.out == 0 && (r.hopeless || r.barred && r.n > 0):
		d.giveUp(r)
	case pl == nil || d.probe(r):
		d.hold(r, nil)
	default:
		pl.group, pl.open, pl.count = pl.group+1, 0, 1
		if pl.warm < d.now && !pl.cold {
			pl.cold, pl.since, pl.load = true, d.now, r.model.load
			pl.worker.loads += pl.load
		}
		d.send(r, pl)
	}
}

// join returns the place with an open group that this inference may join: under the limit, and own
// requests there take less than a load would; of several, where they take least.
func (d *Dispatcher) join(r *inference) *place {
	var best *place
	for _, pl := range r.model.groups() {
		if pl.count >= groupLimit {
			continue
		}
		w := pl.worker
		wait := d.queue(w) + float64(pl.waiting)*r.model.run
		if r.tried(w) || wait >= r.model.load || !d.may(r, w) || !d.open(r, w) || !d.room(r, w) ||
			d.now+wait/slots+math.Min(r.model.run, r.slo)/2 > r.notAfter {
			continue
		}
		if best == nil || w.work < best.worker.work {
			best = pl
		}
	}
	return best
}

// room tells whether the worker is under its width.
func (d *Dispatcher) room(r *inference, w *worker) bool { return float64(w.out-w.cold) < d.width(r) }

// width is how many own forwards a worker may have out. Inferences that can no longer be in time, or are
// beyond their tenant's share, leave part of it to the others.
func (d *Dispatcher) width(r *inference) float64 {
	limit := max(widthLeast, widthAll/d.told.dispatchers)
	if r.over || r.repeat || d.now+r.model.run > r.taken+r.slo {
		limit *= staleShare
	}
	return limit
}

// least returns the place with least queued work, load included where no warm copy is believed. Costs too
// near to tell apart are ties; they go by a hash of model and worker that all dispatchers share: so they
// agree unasked on where a model lives, and return to where a copy or an image may still be.
func (d *Dispatcher) least(r *inference, warmOnly bool) *place {
	m, low, resting := r.model, math.Inf(1), false
	d.top, r.hopeless, r.barred = d.top[:0], false, true
	aim, timely := r.taken+r.slo, false
	until := r.notAfter
	if d.timely > math.Max(r.taken+giveWay*r.slo, d.now-r.slo) {
		until = math.Min(until, aim) // a younger one that is held could be in time: late answers feed an overload
	}
	choice := 0.0
	for _, w := range d.workers {
		w.cost = math.Inf(1)
		if !d.may(r, w) {
			continue
		}
		r.barred = false
		queue := d.queue(w)
		end := d.now + queue/slots + min(m.run, r.slo)/2
		timely = timely || end <= aim
		late := end > until // the wait outlasts the client
		if open := d.open(r, w); !open || late {
			resting, r.hopeless = resting || !open, r.hopeless || late
			continue
		}
		choice++
		w.cost = (queue + m.run) / d.warmth(w)
		// A quick error must not make a worker look empty: its failures count as work to be done again.
		w.cost += max(w.bad, w.sides[r.side].bad) * (m.load + r.slo)
		if r.tried(w) {
			w.cost += aheadOff
		}
		w.rank = mix(uint64(m.id)*0x9e3779b97f4a7c15 ^ uint64(w.ID))
		d.top = append(d.top, w)
	}
	d.choice = math.Min(1, math.Max(choice, 1)/math.Max(1, float64(d.ready)))
	if d.sparse {
		d.top = first(d.top, max(m.homes, probeHomes))
	}
	if d.looks++; m.homes > 1 {
		for _, w := range d.top[:min(len(d.top), m.homes)] {
			w.home = d.looks
		}
	}
	for _, w := range d.workers {
		if w.cost <= math.MaxFloat64 {
			pl := m.seen(w)
			if w.hot = pl.warm >= d.now || w.home == d.looks; !w.hot {
				// Loads run beside the work of warm copies: those pending hold up only another load.
				w.cost += m.load
				if warmOnly || d.now+w.loads/loadsBeside > r.notAfter {
					w.cost = math.Inf(1) // or the loads pending there outlast the client's time
				}
			}
			low = min(low, w.cost)
		}
	}
	var best *worker
	top, band, width := uint64(0), low+tieBand*m.load, d.width(r)
	for _, w := range d.workers {
		if w.cost > band || w.cost > math.MaxFloat64 {
			continue
		}
		h := w.rank >> 2
		if w.hot {
			if d.sparse { // by cost, ties by chance: fellows see the same reports
				h = uint64(1e18 / (1 + w.cost + tieWarm*m.run*d.rnd.share()))
			}
			h |= 1 << 63 // a warm copy before any hash, also where it has to be waited for
		}
		if float64(w.out-w.cold) < width {
			h |= 1 << 62
		}
		if best == nil || h > top {
			best, top = w, h
		}
	}
	r.hopeless = r.hopeless && best == nil && !resting
	// A home that turned a load away is waited for: left for another, its models are loaded twice, push others
	// out, and the fleet has more to load than before. It harms where a worker has no room for long.
	if best == nil || !d.room(r, best) ||
		r.n == 0 && !best.hot && (m.seen(best).noRoom > d.now || best.noLoad > d.now) {
		if timely {
			d.timely = math.Max(d.timely, r.taken)
		}
		return nil
	}
	return m.at(best)
}

// send wants a forward to a place and books it in the ledger.
func (d *Dispatcher) send(r *inference, pl *place) {
	w, m := pl.worker, r.model
	f := &r.forwards[r.n]
	*f = forward{to: w, sent: d.now, run: m.run, group: pl.group, expect: w.work + m.run}
	if pl.warm < d.now {
		f.load, f.expect = true, f.expect+m.load+w.loads
		w.cold++
	}
	r.n, r.out, r.want = r.n+1, r.out+1, wantForward
	d.touch(r)
	d.queue(w)
	w.work, w.out = w.work+f.run, w.out+1
	pl.open, pl.out = pl.open+1, pl.out+1
	m.joined(pl)
	d.spend(r, w)
}

// release lets those held for a place go: to it where a copy stands there, else anew.
func (d *Dispatcher) release(pl *place, stands bool) {
	for i := 0; i < len(d.hand.all) && pl.waiting > 0; i++ {
		r := d.hand.all[i]
		if !r.live || r.waits != pl || r.want != wantHold {
			continue
		}
		r.unhold()
		to, missed := pl, !stands && r.n > 0
		if missed { // to a warm worker, or back to the client
			to = d.least(r, true)
		}
		if to == nil {
			d.giveUp(r)
		} else if w := to.worker; (stands || missed) && d.may(r, w) && d.open(r, w) && d.room(r, w) {
			d.send(r, to)
		} else {
			d.find(r)
		}
	}
}
