// Package lease decides how long the last known state of the workers remains valid while discovery is unavailable. There is
// one lease for the endpoint list and one for each worker. The package does no I/O and reads no clock; times are seconds of
// one monotonic clock.
//
// The platform defines when a change of the endpoint list counts as notified, even if the dispatcher has not received it.
// A list that is older than that proves nothing: any worker may have been draining or gone for longer than the grace period.
// From then on a worker may be sent new work only under its own lease, which is renewed by a response that a draining worker
// would not give.
//
// Each lease runs from the time at which the request was sent, not from the arrival of its response, because the response
// may describe the state as of then.
package lease

import "math"

const (
	marginFraction = 0.1  // part of the grace period by which a lease ends early: a checked message takes time to reach the worker
	minMargin      = 0.02 // s
	defaultGrace   = 0.5  // s, used if the platform states none

	// outageSuspicionAge is the age, in seconds, of the latest confirmation from which an outage is suspected. While discovery
	// responds, the list is confirmed every 2 s or more often.
	outageSuspicionAge = 3.0
)

// Terms are the time limits that a platform sets for discovery and for draining workers, in seconds.
type Terms struct {
	OutageDelay        float64 // from the start of a discovery outage until changes count as notified
	CutOffDelay        float64 // the same from a response that was cut off
	ReloadDelay        float64 // the same from a request to reload the configuration, which may move discovery to another address
	AddressSettleDelay float64 // from such a request until a response from the previous address shows that discovery has not moved
	DrainGrace         float64 // from a notification until no new work may reach a draining worker; 0 if the platform states none
}

// leaseDuration returns how long, in seconds, new work may be sent to a worker after it was known not to be draining.
func (t Terms) leaseDuration() float64 {
	grace := t.DrainGrace
	if grace <= 0 {
		grace = defaultGrace
	}
	return grace - math.Max(minMargin, marginFraction*grace)
}

// List is the lease of the endpoint list. The zero value never ends, for sources without such limits; NewList returns a
// limited lease.
type List struct {
	limited           bool
	terms             Terms
	confirmedAt       float64   // when the list was known to be complete
	notifiedBy        float64   // from then on, a change that the list does not contain may count as notified
	reloadRequestedAt float64   // the latest request to reload the configuration that no response has followed, +Inf for none
	reloadDueTimes    []float64 // when changes count as notified after a reload request, in order; those that a confirmed request has followed are removed
}

// NewList returns the lease of a list from a configuration, complete as of completeAt. Discovery may have been unavailable
// before, so changes since then count as notified at once.
func NewList(terms Terms, completeAt float64) List {
	return List{limited: true, terms: terms, confirmedAt: completeAt, notifiedBy: completeAt, reloadRequestedAt: math.Inf(1)}
}

// Confirm renews the lease after a usable response of discovery to a request sent at requestSentAt. addressReread reports
// whether the address of discovery was read after the latest request to reload the configuration. A response from an address
// read earlier counts only if its request was sent at least Terms.AddressSettleDelay after the reload request, as
// discovery may have moved.
func (l *List) Confirm(requestSentAt float64, addressReread bool) {
	if !addressReread && requestSentAt < l.reloadRequestedAt+l.terms.AddressSettleDelay && !math.IsInf(l.reloadRequestedAt, 1) {
		return
	}
	if requestSentAt < l.confirmedAt {
		return
	}
	l.reloadRequestedAt = math.Inf(1)
	l.confirmedAt = requestSentAt
	l.notifiedBy = requestSentAt + l.terms.OutageDelay
	for len(l.reloadDueTimes) > 0 && l.reloadDueTimes[0] <= requestSentAt {
		l.reloadDueTimes = l.reloadDueTimes[1:]
	}
	if len(l.reloadDueTimes) > 0 {
		l.notifiedBy = math.Min(l.notifiedBy, l.reloadDueTimes[0])
	}
}

// ResponseCutOff shortens the lease after a response of discovery was cut off: the missing part may have been a change.
func (l *List) ResponseCutOff(at float64) {
	l.notifiedBy = math.Min(l.notifiedBy, at+l.terms.CutOffDelay)
}

// ReloadRequested shortens the lease after a request to reload the configuration: discovery may have moved, so the previous
// address may no longer report changes. A response before the time at which changes count as notified does not undo that,
// because changes that reach discovery after the response count as notified at the same time.
func (l *List) ReloadRequested(requestedAt float64) {
	l.reloadRequestedAt = requestedAt
	dueAt := requestedAt + l.terms.ReloadDelay
	l.notifiedBy = math.Min(l.notifiedBy, dueAt)
	if n := len(l.reloadDueTimes); n >= 2 && l.reloadDueTimes[n-1] <= requestedAt { // due times in the past all require the same: a request from now on
		l.reloadDueTimes = l.reloadDueTimes[:1]
	}
	l.reloadDueTimes = append(l.reloadDueTimes, dueAt)
}

// ConfirmationDueAt returns a time before which no request to discovery renews the lease in full, -Inf if there is none.
func (l *List) ConfirmationDueAt() float64 {
	if len(l.reloadDueTimes) == 0 {
		return math.Inf(-1)
	}
	return l.reloadDueTimes[0]
}

// Limited reports whether the lease ends at some time.
func (l *List) Limited() bool { return l.limited }

// ConfirmedAt returns when the list was known to be complete.
func (l *List) ConfirmedAt() float64 { return l.confirmedAt }

// NotifiedBy returns the time from which changes that the list does not contain may count as notified, +Inf for never.
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
	return l.notifiedBy + l.terms.leaseDuration()
}

// OutageSuspected reports whether discovery may be unavailable, before changes count as notified or after that.
func (l *List) OutageSuspected(now float64) bool {
	return l.limited && now >= math.Min(l.notifiedBy, l.confirmedAt+outageSuspicionAge)
}

// Worker is the lease of one worker. The zero value has ended.
type Worker struct{ until float64 }

// Renew renews the lease after a response that a draining worker would not give, to a message whose first byte was sent at
// sentAt.
func (w *Worker) Renew(sentAt float64, terms Terms) {
	w.until = math.Max(w.until, sentAt+terms.leaseDuration())
}

// Revoke ends the lease, as the worker may be draining or another process may have taken its place.
func (w *Worker) Revoke() { w.until = 0 }

// Until returns the end of the lease.
func (w *Worker) Until() float64 { return w.until }
