package gateway

import (
	"math"

	"mastchute/control"
	"mastchute/internal/incarnation"
	"mastchute/internal/rules"
)

// This file gathers the facts for package rules, and records the actions that it forbids.

var ruleNames = [...]string{"0", "1", "2", "3", "4", "5"} // values of the metric label "rule"

// shedFacts returns the facts that decide whether a request may be shed, which are those of a retry by the client at any worker.
// An attempt in flight that has not been fully sent counts as one that never ran, since the final response cancels it.
func (r *Request) shedFacts() rules.RequestFacts {
	facts := rules.RequestFacts{Finished: r.finished, Effect: r.group.effect, DedupUntil: math.Inf(1),
		InDedupScope: !r.group.hasLimitedScope()}
	for _, a := range r.attempts[:r.attemptCount] {
		if a.finished && !a.result.NeverRan() || !a.finished && a.Worker.transport.FullySent(a) {
			facts.MayHaveRun = true
			facts.DedupUntil = math.Min(facts.DedupUntil, a.sentOrCreatedAt()+r.group.DedupWindow.Seconds)
		}
	}
	return facts
}

// isKnown reports whether as much is known of the place of a worker process as the scope of deduplication goes by.
func (g *group) isKnown(place control.DedupGroup) bool {
	if g.dedupScope == control.ScopeZone {
		return place.ZoneKnown
	}
	return place.CellKnown
}

// dedupScopeCovers reports whether the workers of two groups drop each other's repeats.
func (g *group) dedupScopeCovers(a, b control.DedupGroup) bool {
	switch g.dedupScope {
	case control.ScopeAll:
		return true
	case control.ScopeZone:
		return a.Zone == b.Zone
	case control.ScopeCell:
		return a.Zone == b.Zone && a.Cell == b.Cell
	}
	return false
}

// isReady reports whether new work may be sent to a worker.
func (w *Worker) isReady() bool { return w.State == control.Ready }

// facts returns the facts that decide whether new work may be sent to a worker.
func (w *Worker) facts(g *Gateway) rules.WorkerFacts {
	return rules.WorkerFacts{Ready: w.isReady(), LeaseUntil: math.Max(g.listLease.Until(), w.lease.Until())}
}

// MaySendOn reports whether rule 2 allows that an attempt is sent on a connection, which may lead to another process than that
// of the worker's entry.
func (a *Attempt) MaySendOn(connection *incarnation.Connection, now float64) bool {
	return a.maySendTo(connection.Group(a.gateway.replacementsShownUntil(now)), now)
}

// MaySendOnNew reports whether rule 2 allows that an attempt is sent on a connection that is opened now.
func (a *Attempt) MaySendOnNew(now float64) bool {
	return a.maySendTo(a.Worker.address.GroupOfNew(now, a.gateway.replacementsShownUntil(now)), now)
}

// Prefers reports whether an attempt is better sent on a connection than on one for which this is false: should it fail, the
// request may be sent again in the group of the process that it has reached, if that is certain.
func (a *Attempt) Prefers(connection *incarnation.Connection, now float64) bool {
	group := a.Request.group
	return !group.hasLimitedScope() || group.isKnown(connection.Group(a.gateway.replacementsShownUntil(now)))
}

func (a *Attempt) maySendTo(group control.DedupGroup, now float64) bool {
	if a.Request.attemptCount == 1 || !a.Request.group.hasLimitedScope() {
		return true
	}
	facts := a.Request.attemptFacts(a, group, now)
	return !facts.MayHaveRun || facts.Identified && facts.InDedupScope
}

// CheckFirstByte returns rules.Allowed if the first byte of an attempt may be sent on a connection at now, in a message whose
// deadline was encoded at encodedAt and has been renewed the given number of times. A forbidden attempt is counted as held
// back, not as a violation: the facts have changed while it was in the send queue.
func (a *Attempt) CheckFirstByte(connection *incarnation.Connection, now, encodedAt float64, renewals int) rules.Reason {
	facts := a.Request.attemptFacts(a, connection.Group(a.gateway.replacementsShownUntil(now)), now)
	facts.DedupUntil = math.Min(facts.DedupUntil, a.SendDeadline)
	reason := rules.CheckFirstByte(now, encodedAt, renewals, facts, a.Worker.facts(a.gateway))
	if reason != rules.Allowed {
		a.recordHeldBack(reason, now-encodedAt)
	}
	return reason
}

// recordHeldBack counts and records an attempt that is not sent as the facts have changed since it was decided. age is that of its
// message, in seconds.
func (a *Attempt) recordHeldBack(reason rules.Reason, age float64) {
	a.gateway.Metrics.heldBack.WithLabelValues(ruleNames[reason.Rule()], reason.String()).Inc()
	a.gateway.RecordEvent("attempt_held_back", reason.String(), a.Request, a.Worker, age)
}

// CheckFirstByte returns rules.Allowed if the first byte of a worker command may be sent at now. A load request is new work;
// other commands may be sent to any worker.
func (c *WorkerCommand) CheckFirstByte(now float64) rules.Reason {
	if c.Kind != CommandLoadModel {
		return rules.Allowed
	}
	g := c.gateway
	reason := rules.CheckWorker(now, c.Worker.facts(g))
	if reason != rules.Allowed {
		g.Metrics.heldBack.WithLabelValues(ruleNames[reason.Rule()], reason.String()).Inc()
		g.RecordEvent("load_request_held_back", reason.String(), nil, c.Worker, now-c.createdAt)
	}
	return reason
}

// recordViolation counts and logs an action of the control module that is not executed because a rule forbids it. The request
// and the worker may be nil.
func (g *Gateway) recordViolation(reason rules.Reason, action string, r *Request, w *Worker) {
	g.Metrics.violations.WithLabelValues(ruleNames[reason.Rule()], reason.String()).Inc()
	g.RecordEvent("rule_violation", reason.String(), r, w, 0)
	e := g.log.Error().Int("rule", reason.Rule()).Stringer("reason", reason).Str("action", action)
	if r != nil {
		e = e.Str("request_id", string(g.appendRequestID(nil, r))).Bytes("trace", r.traceID[:])
	}
	if w != nil {
		e = e.Str("worker", w.Name)
	}
	e.Msg("rule violation barred")
}
