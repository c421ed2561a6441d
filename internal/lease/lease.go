// Package lease decides for how long what is known of the workers may be relied on while discovery is out of reach: a
// lease for the endpoint list, and one for each worker. It does no I/O and reads no clock; times are seconds of one
// monotonic clock.
//
// A change of the list counts as notified at a time that the platform states, whether or not it was heard. A list that is
// older proves nothing: each worker may have been draining or gone for longer than the grace. From then on a worker may be
// sent new work only under a lease of its own, which a response renews that the worker gives only if it does not drain.
//
// Each lease counts from when the question left, not from when its answer came: the answer is no younger than that.
package lease

import "math"

const (
	marginFraction = 0.1  // of the grace, by which each lease ends early: a message takes time from the check to the worker
	minMargin      = 0.02 // s
	defaultGrace   = 0.5  // s, where the platform states none
)

// Terms are a platform's figures for discovery and workers that drain, in seconds.
type Terms struct {
	Silence float64 // an outage of discovery after which what it would have told counts as notified
	CutOff  float64 // the same after a response that broke off
	Reload  float64 // the same after an order to read the configuration, which may move discovery
	Settle  float64 // after such an order, a previous address that still answers has not been left
	Grace   float64 // between a notification and the end of new work to a worker that drains; 0 where none is stated
}

// hold returns for how long, in seconds, new work may be sent after a worker was known not to drain.
func (t Terms) hold() float64 {
	grace := t.Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	return grace - math.Max(minMargin, marginFraction*grace)
}

// List is the lease of the endpoint list. Its zero value never ends, for sources that state no times; NewList makes one
// that does.
type List struct {
	limited     bool
	terms       Terms
	confirmedAt float64   // the list was complete then
	notifiedBy  float64   // from then on, a change that the list does not have may count as notified
	reloadAt    float64   // the latest order to read the configuration that no answer has followed, +Inf for none
	reloadsDue  []float64 // when what discovery holds counts as notified because of an order, for those that no question has followed, in order
}

// NewList returns the lease of a list that was complete at a time, as a configuration has it. Discovery may have been out
// of reach before, so that changes since then count as notified at once.
func NewList(terms Terms, completeAt float64) List {
	return List{limited: true, terms: terms, confirmedAt: completeAt, notifiedBy: completeAt, reloadAt: math.Inf(1)}
}

// Confirm renews the lease by a usable answer of discovery to a question asked at a time. addressRead reports whether the
// address that answered was read after the latest order to read the configuration: only then, or if it answers a question
// asked some time after the order, is it the address in service.
func (l *List) Confirm(askedAt float64, addressRead bool) {
	if !addressRead && askedAt < l.reloadAt+l.terms.Settle && !math.IsInf(l.reloadAt, 1) {
		return
	}
	if askedAt < l.confirmedAt {
		return
	}
	l.reloadAt = math.Inf(1)
	l.confirmedAt = askedAt
	l.notifiedBy = askedAt + l.terms.Silence
	for len(l.reloadsDue) > 0 && l.reloadsDue[0] <= askedAt {
		l.reloadsDue = l.reloadsDue[1:]
	}
	if len(l.reloadsDue) > 0 {
		l.notifiedBy = math.Min(l.notifiedBy, l.reloadsDue[0])
	}
}

// BreakOff shortens the lease after an answer that broke off at a time: the rest of it may have been a change.
func (l *List) BreakOff(at float64) {
	l.notifiedBy = math.Min(l.notifiedBy, at+l.terms.CutOff)
}

// OrderReload shortens the lease after an order to read the configuration: discovery may have moved, and the address known
// so far tells nothing more. An answer in time does not undo that: what comes into discovery after it counts as notified
// then as well.
func (l *List) OrderReload(at float64) {
	l.reloadAt = at
	due := at + l.terms.Reload
	l.notifiedBy = math.Min(l.notifiedBy, due)
	if n := len(l.reloadsDue); n >= 2 && l.reloadsDue[n-1] <= at { // past dues all ask for the same: a question from now on
		l.reloadsDue = l.reloadsDue[:1]
	}
	l.reloadsDue = append(l.reloadsDue, due)
}

// ConfirmationDueAt returns a time from which on a question has to be asked for the lease to be renewed in full, -Inf if any
// question does.
func (l *List) ConfirmationDueAt() float64 {
	if len(l.reloadsDue) == 0 {
		return math.Inf(-1)
	}
	return l.reloadsDue[0]
}

// Limited reports whether the lease ends at some time.
func (l *List) Limited() bool { return l.limited }

// ConfirmedAt returns when the list was known to be complete.
func (l *List) ConfirmedAt() float64 { return l.confirmedAt }

// NotifiedBy returns the time from which on changes that the list does not have may count as notified, +Inf for never.
func (l *List) NotifiedBy() float64 {
	if !l.limited {
		return math.Inf(1)
	}
	return l.notifiedBy
}

// Until returns the end of the lease, +Inf for never.
func (l *List) Until() float64 {
	if !l.limited {
		return math.Inf(1)
	}
	return l.notifiedBy + l.terms.hold()
}

// Worker is the lease of one worker. The zero value has ended.
type Worker struct{ until float64 }

// Renew renews the lease by a response that a worker gives only if it does not drain, to a message whose first byte was
// sent at a time.
func (w *Worker) Renew(sentAt float64, terms Terms) { w.until = math.Max(w.until, sentAt+terms.hold()) }

// Revoke ends the lease: the worker has shown that it drains.
func (w *Worker) Revoke() { w.until = 0 }

// Until returns the end of the lease.
func (w *Worker) Until() float64 { return w.until }
