package soak

import "slices"

// This file evaluates outages of the change log: when dispatchers count as notified of an event during an outage, and
// how many requests they served.

const (
	outageNotificationDelay = 7.0 // s from the start of an outage until dispatchers count as notified of its events
	postOutageMargin        = 2.0 // s from the end of an outage until dispatchers count as notified of its events
	eventDeliveryTime       = 0.2 // s from an event until dispatchers have it while the log is available
)

// notifiedAt returns when dispatchers count as notified of an event at a time: at once, or for an event during an
// outage outageNotificationDelay after its start or postOutageMargin after its end, whichever is earlier.
func (p *Plan) notifiedAt(eventAt float64) float64 {
	at := eventAt
	for _, f := range p.Faults {
		if f.Kind.targetsAll() && at >= f.From-eventDeliveryTime && at < f.To+postOutageMargin {
			at = max(at, min(f.To+postOutageMargin, f.From+outageNotificationDelay))
		}
	}
	return at
}

// notifiedWithReload returns when the dispatcher counts as notified of an event, given the time without a reload: at
// the latest reloadTimeout after a reload.
func (d *dispatcher) notifiedWithReload(eventAt, withoutReload float64) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := withoutReload
	for _, r := range d.reloads {
		if r.at+reloadTimeout > eventAt && r.at < withoutReload {
			at = min(at, max(eventAt, r.at+reloadTimeout))
		}
	}
	return at
}

// OutageStats counts the requests late in an outage of the change log, sent more than outageNotificationDelay and the
// drain grace after its start. It leaves out requests that were aborted or not fully sent, and those that failed for a
// reason other than the outage: a worker crashed while it ran them, or their dispatcher was terminated, suspended or
// killed.
type OutageStats struct{ Requests, Served int }

// Share returns the share of the requests that was served, 1 if there were none.
func (s OutageStats) Share() float64 {
	if s.Requests == 0 {
		return 1
	}
	return float64(s.Served) / float64(s.Requests)
}

// outageStats counts the requests sent late in an outage. The caller holds the history's lock.
func (r *runner) outageStats() (stats OutageStats) {
	for _, f := range r.plan.Faults {
		if f.Kind != DiscoveryOutage {
			continue
		}
		for _, req := range r.history.Requests {
			late := req.SentAt > f.From+outageNotificationDelay+r.plan.Site.Grace && req.SentAt < f.To
			if !late || req.AbortedAt > 0 || req.Outcome == NotAccepted || r.failedForOtherReason(req) {
				continue
			}
			stats.Requests++
			if req.Outcome == Served {
				stats.Served++
			}
		}
	}
	return stats
}

// failedForOtherReason reports whether a request was not served for a reason other than the outage of the change log.
// The caller holds the history's lock.
func (r *runner) failedForOtherReason(req *request) bool {
	if req.Outcome == Served {
		return false
	}
	crashed := slices.ContainsFunc(r.history.Attempts[req.ID], func(a *attempt) bool { return a.Result == resultCrashed })
	return crashed || r.dispatchers[req.Dispatcher].wasUnavailable(req.SentAt, req.SentAt+req.Timeout)
}

// wasUnavailable reports whether a process was terminating, suspended or killed at some time within a span.
func (d *dispatcher) wasUnavailable(from, to float64) bool {
	if d.suspendedTime(from, to) > 0 || d.killedBetween(from, to) {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.sigtermTimes, func(at float64) bool { return at < to && at+d.run.shutdownTimeout() > from })
}
