package lease

import (
	"math"
	"testing"
)

var terms = Terms{Silence: 7, CutOff: 2, Reload: 4, Settle: 2, Grace: 1}

const hold = 0.9 // s: the grace of terms less its margin

func TestListLease(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(l *List)
		until  float64
	}{
		{"as the configuration has it", func(*List) {}, 10 + hold},
		{"confirmed", func(l *List) { l.Confirm(20, true) }, 27 + hold},
		{"confirmed by an answer to an older question", func(l *List) { l.Confirm(20, true); l.Confirm(19, true) }, 27 + hold},
		{"an answer broke off", func(l *List) { l.Confirm(20, true); l.BreakOff(21) }, 23 + hold},
		{"an answer broke off late in an outage", func(l *List) { l.Confirm(20, true); l.BreakOff(26) }, 27 + hold},
		{"broke off, and confirmed", func(l *List) { l.Confirm(20, true); l.BreakOff(21); l.Confirm(21.1, true) }, 28.1 + hold},
		{"ordered to reload", func(l *List) { l.Confirm(20, true); l.OrderReload(21) }, 25 + hold},
		{"a reload in an outage renews nothing", func(l *List) { l.Confirm(20, true); l.OrderReload(26) }, 27 + hold},
		{"the previous address answers after the order", func(l *List) { l.Confirm(20, true); l.OrderReload(21); l.Confirm(22, false) }, 25 + hold},
		{"the previous address was not left", func(l *List) { l.Confirm(20, true); l.OrderReload(21); l.Confirm(23.5, false) }, 25 + hold},
		{"it answers again later", func(l *List) { l.Confirm(20, true); l.OrderReload(21); l.Confirm(23.5, false); l.Confirm(25, false) }, 32 + hold},
		{"the address that was read answers", func(l *List) { l.Confirm(20, true); l.OrderReload(21); l.Confirm(21.2, true) }, 25 + hold},
		{"it answers again later, too", func(l *List) { l.Confirm(20, true); l.OrderReload(21); l.Confirm(21.2, true); l.Confirm(25.1, true) }, 32.1 + hold},
		{"ordered again", func(l *List) { l.Confirm(20, true); l.OrderReload(21); l.Confirm(21.2, true); l.OrderReload(22) }, 25 + hold},
		{"ordered again, and confirmed between", func(l *List) { l.Confirm(20, true); l.OrderReload(21); l.OrderReload(22); l.Confirm(25.5, true) }, 26 + hold},
		{"ordered again, and confirmed after that", func(l *List) { l.Confirm(20, true); l.OrderReload(21); l.OrderReload(22); l.Confirm(26, true) }, 33 + hold},
		{"ordered in an outage again and again", func(l *List) {
			l.Confirm(20, true)
			for at := 21.0; at < 40; at++ {
				l.OrderReload(at)
			}
			l.Confirm(41.5, true)
		}, 42 + hold},
	} {
		l := NewList(terms, 10)
		c.change(&l)
		if math.Abs(l.Until()-c.until) > 1e-9 {
			t.Errorf("%s: until %g, want %g", c.name, l.Until(), c.until)
		}
	}
	if unlimited := (List{}); !math.IsInf(unlimited.Until(), 1) || unlimited.Limited() {
		t.Error("the zero value ends")
	}
}

func TestWorkerLease(t *testing.T) {
	var w Worker
	w.Renew(5, terms)
	w.Renew(4, terms) // an earlier attempt is answered later
	if math.Abs(w.Until()-(5+hold)) > 1e-9 {
		t.Errorf("until %g", w.Until())
	}
	w.Revoke()
	if w.Until() != 0 {
		t.Errorf("until %g after it was revoked", w.Until())
	}
}

// A lease ends early by a part of the grace, and of a short one by more than the message takes.
func TestLeaseEndsBeforeTheGrace(t *testing.T) {
	for grace, want := range map[float64]float64{1: 0.9, 0.5: 0.45, 0.1: 0.08, 0: 0.45} {
		var w Worker
		w.Renew(0, Terms{Grace: grace})
		if math.Abs(w.Until()-want) > 1e-9 {
			t.Errorf("grace %g: %g, want %g", grace, w.Until(), want)
		}
	}
}
