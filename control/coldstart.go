package control

import "math"

// warmth is the share of its capacity a worker is sure to have since its start (rule 4).
func (d *Dispatcher) warmth(w *worker) float64 {
	span, low := d.told.warmAfter, d.told.coldShare
	if age := d.now - w.Start; age < span {
		return low + (1-low)*math.Max(0, age)/span
	}
	return 1
}

// open tells whether a worker takes a forward now: a cold one within our share of its budget (rule 4), one
// set aside as a trickle; where most look bad the cause is shared, and none counts so.
func (d *Dispatcher) open(r *inference, w *worker) bool {
	if c, fall := d.warmth(w), d.told.fall; c < 1 && d.sparse {
		// A turn would lapse unused: own inferences that would choose it come too rarely. So each of them goes
		// there by chance, less often when few workers are left to choose. It harms if one model is most traffic.
		share := coldSafety * d.told.overload * c * d.choice
		if d.now < w.coldAt || mix(uint64(r.id)<<32^uint64(w.ID)) > uint64(share*(1<<53))<<11 {
			return false
		}
	} else if c < 1 {
		if d.now > w.coldAt+fall { // a turn by chance; unused in time it lapses: all fellows' turns add up
			safe := coldSafety * (1 + 1/d.told.dispatchers) // alone there is no chance in it but our own
			share := math.Max(1/(fall*d.told.dispatchers), safe*d.told.overload*c*d.seen())
			w.coldAt = d.now + 2*d.rnd.share()/share
		}
		if d.now < w.coldAt {
			return false
		}
	}
	for _, h := range [2]*health{&w.health, &w.sides[r.side]} {
		if d.now < h.crowd || h.aside && (h != &w.health || 2*d.aside <= d.ready) &&
			(d.now < h.next || r.group.effect == "non-retriable" && h.rate <= trickleFirst) {
			return false
		}
	}
	return true
}

func (d *Dispatcher) spend(r *inference, w *worker) {
	if w.coldAt = math.Inf(-1); d.sparse && d.warmth(w) < 1 { // at our share of the whole budget, at most
		w.coldAt = d.now + 2*d.rnd.share()/(d.told.overload*d.warmth(w)*d.seen())
	}
	for _, h := range [2]*health{&w.health, &w.sides[r.side]} {
		if h.aside {
			h.next = d.now + (0.5+d.rnd.share())/h.rate // not in step with fellow dispatchers
		}
	}
}

// order wants a load order for a place: one for a worker and model at a time, within the ration.
func (d *Dispatcher) order(pl *place) bool {
	if pl.ordered || pl.wanted || !d.told.orders ||
		pl.noRoom > d.now || pl.worker.State != Ready {
		return pl.ordered || pl.wanted
	}
	if span := d.told.window; span > 0 { // rule 5
		sent, taken := d.ration.count(d.now, span)
		if sent+1 > d.told.few+d.told.share*taken {
			return false
		}
		d.ration.sent[rationParts]++
	}
	pl.wanted = true
	d.orders = append(d.orders, pl)
	return true
}

func (d *Dispatcher) Ordered(o OrderResult) {
	w, m := d.known[o.Worker], d.models[o.Model]
	if w == nil || m == nil {
		return
	}
	pl := m.at(w)
	pl.ordered = false
	stands := o.Result == Returned && o.Copies > 0
	if pl.warm = d.now + d.told.keep; stands {
		d.loaded(m, o.Took)
	} else {
		pl.warm, pl.noRoom = math.Inf(-1), d.now+roomPause
	}
	d.settled(pl)
	d.release(pl, stands)
}
