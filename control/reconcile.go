package control

import "math"

// Settle emits the difference between the wanted state and what is out.
func (d *Dispatcher) Settle() {
	if d.now >= d.askAt {
		d.askAt = math.Inf(1)
		d.act.Subscribe(true)
	}
	for _, err := range d.wrong {
		d.act.Log(err.Error() + "; the default is used")
	}
	d.wrong = nil
	for _, pl := range d.orders {
		pl.wanted = false
		if pl.worker.State == Ready {
			pl.ordered, pl.since = true, d.now
			d.act.Order(pl.worker.ID, pl.model.id, 1)
		}
	}
	for _, w := range d.probes {
		d.act.Probe(w.ID)
	}
	for _, r := range d.dirty {
		r.dirty = false
		switch r.want {
		case wantForward:
			d.act.Forward(r.id, r.forwards[r.n-1].to.ID, 0)
			r.want = wantOut
		case wantShed:
			d.act.Shed(r.id, math.Min(r.model.load, d.told.retryMost))
			r.want = wantDone
		case wantFail:
			d.act.Fail(r.id)
			r.want = wantDone
		}
		if r.want != wantDone {
			continue
		}
		for i := range r.forwards[:r.n] {
			if f := &r.forwards[i]; f.fate == fateOut && d.told.cancel && !r.stream {
				d.act.Cancel(r.id, i)
			}
		}
		if r.out == 0 && r.live {
			d.hand.drop(r)
		}
	}
	d.orders, d.probes, d.dirty = d.orders[:0], d.probes[:0], d.dirty[:0]
	if !d.waked && (len(d.hand.byID) > 0 || !math.IsInf(d.askAt, 1)) {
		d.waked = true
		d.act.Wake(scan, 0)
	}
}
