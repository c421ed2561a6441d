package control

import (
	"math"
	"slices"
)

// may tells whether the rules let this inference go to this worker now (rules 1 to 3 and the count of
// forwards).
func (d *Dispatcher) may(r *inference, w *worker) bool {
	if w.State != Ready || d.now >= r.notAfter-d.margin() || r.stream ||
		r.n >= d.told.most || r.out > 0 && !d.told.second {
		return false
	}
	f, scope := r.mayHaveRun(), r.group.scope // the earliest one binds; the later ones kept to its scope
	return f == nil || r.group.effect == "retriable" || d.repeatable(r, f) && (scope == "all" ||
		f.to.Zone == w.Zone && (scope == "zone" || scope == "cell" && f.to.Cell == w.Cell))
}

// repeatable tells whether a repeat of a forward that may have run is still dropped within its scope.
func (d *Dispatcher) repeatable(r *inference, f *forward) bool {
	return r.group.effect == "deduped" && d.now <= f.sent+r.group.window-d.margin()
}

// again makes a further forward where the model group, the rules and the success of recent ones allow.
func (d *Dispatcher) again(r *inference) {
	if d.further >= 1 && slices.ContainsFunc(d.workers, func(w *worker) bool { return d.may(r, w) }) {
		d.further--
		d.find(r)
	} else if r.out == 0 {
		d.giveUp(r)
	}
}

// look goes over all in hand: time-outs, late forwards, and those held for a worker to have room.
func (d *Dispatcher) look() {
	retry := d.changed || d.now > d.retried+lookLong
	if retry {
		d.changed, d.retried = false, d.now
	}
	for _, r := range d.hand.all {
		if !r.live || r.want != wantHold && r.want != wantOut {
			continue
		}
		if !r.stream && (d.now >= r.notAfter-d.margin() || r.want == wantHold && d.spent(r)) {
			d.giveUp(r)
			continue
		}
		if r.want == wantHold {
			if pl := r.waits; pl == nil && retry || pl != nil && (pl.worker.State != Ready || pl.worker.aside ||
				!pl.ordered && !pl.wanted && d.now >= pl.since+patience*r.model.load) {
				r.unhold()
				d.find(r)
			}
			continue
		}
		for i := 0; i < r.n && r.want == wantOut && !r.stream; i++ {
			if f := &r.forwards[i]; f.fate == fateOut && !f.hedged {
				d.late(r, f)
			}
		}
	}
}

// late answers silence: a worker that answered none like it since a forward far past its expected time, or is
// gone or new, has failed it, and a second copy goes out where allowed; else the inference is just heavy.
func (d *Dispatcher) late(r *inference, f *forward) {
	lost := f.to.State == Gone || f.sent <= f.to.Start
	if !lost && (f.to.sides[r.side].at > f.sent || d.now-f.sent < math.Max(patience*f.expect, r.slo/2)) {
		return
	}
	if f.hedged = true; !lost {
		d.judge(d.blame(f.to, r.side, f.sent), false)
	}
	if d.told.second {
		d.again(r)
	}
}
