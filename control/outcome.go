package control

import "math"

func (d *Dispatcher) Outcome(o Outcome) {
	r := d.hand.find(o.ID)
	if r == nil || o.Forward < 0 || o.Forward >= r.n || r.forwards[o.Forward].fate != fateOut {
		return
	}
	f := &r.forwards[o.Forward]
	w, m := f.to, r.model
	pl := m.at(w)
	d.changed = true
	d.queue(w)
	d.unbook(r, f, pl)
	if f.fate = fateMay; o.Result.NeverRan() {
		f.fate = fateNever
	}
	side := &w.sides[r.side]
	if o.Result.Heard() {
		side.at, side.ok = d.now, o.Result == Returned || o.Result == Missed
	}
	d.report(w, o.Report, reportBlend)
	if o.Result == Returned && o.Forward > 0 {
		d.furtherOK += blend * (1 - d.furtherOK)
	} else if o.Forward > 0 && o.Result != Cancelled && o.Result != Missed {
		d.furtherOK -= blend * d.furtherOK
	}
	switch o.Result {
	case Returned:
		d.learn(r, f, o)
		d.judge(&w.health, true)
		d.judge(side, true)
		if f.sent > w.Start {
			pl.warm = d.now + d.told.keep
		}
		d.settled(pl)
		d.release(pl, true)
		d.end(r)
		return
	case Missed:
		pl.warm = math.Inf(-1)
		if r.want != wantDone && !o.Final && o.Found != LoadFailed && d.order(pl) {
			if d.hold(r, pl); d.spent(r) {
				d.giveUp(r)
			}
			return
		}
	case Full:
		h := d.blame(w, r.side, f.sent-blameSpan)
		f.full, h.fulls = d.sparse, h.fulls+1
		until := d.now + math.Min(crowdPause*math.Exp2(h.fulls-1), crowdMost)
		if f.load && m.homes == 1 { // no room for the copy, or too many loads: warm copies may still do well
			w.noLoad = until
		} else {
			h.crowd = until
		}
	case Errored, TimedOut, ConnectFailed, Reset:
		if o.Found == LoadFailed {
			pl.warm = math.Inf(-1)
		} else if o.Result != TimedOut || d.now < r.notAfter-d.margin() {
			d.judge(d.blame(w, r.side, f.sent-blameSpan), false)
		}
	}
	d.settled(pl)
	d.release(pl, false)
	if o.Final || r.want == wantDone {
		d.end(r)
	} else if r.out == 0 && r.want != wantHold {
		d.again(r)
	}
}

func (d *Dispatcher) Probed(o ProbeResult) {
	if w := d.known[o.Worker]; w != nil && o.Result == Returned {
		d.report(w, o.Report, 1)
	}
	d.changed = true
	d.look()
}
