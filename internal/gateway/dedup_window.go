package gateway

import (
	"math"

	"mastchute/control"
	"mastchute/internal/rules"
)

// This file relates the attempts of a deduplicated request to each other: when each was sent, and until when workers drop the
// repeats. An attempt that waits for a connection is a decision only; it is checked again when its first byte is sent.

// attemptFacts returns the facts that decide whether an attempt that reaches a group is allowed, given the other attempts of
// the request. Later ones count too: while an attempt waits for a connection, they may have been sent.
func (r *Request) attemptFacts(attempt *Attempt, target control.DedupGroup, now float64) rules.RequestFacts {
	facts := rules.RequestFacts{Finished: r.finished, Deadline: r.deadline, Effect: r.group.effect, DedupUntil: math.Inf(1),
		Identified: true, InDedupScope: true}
	for _, other := range r.attempts[:r.attemptCount] {
		if other == attempt || !other.mayHaveRun() {
			continue
		}
		facts.MayHaveRun = true
		facts.DedupUntil = math.Min(facts.DedupUntil, other.sentOrCreatedAt()+r.group.DedupWindow.Seconds)
		if r.group.hasLimitedScope() {
			reached := attempt.gateway.groupOf(other, now)
			facts.Identified = facts.Identified && r.group.isKnown(reached) && r.group.isKnown(target)
			facts.InDedupScope = facts.InDedupScope && r.group.dedupScopeCovers(reached, target)
		}
	}
	return facts
}

// mayHaveRun reports whether an attempt rules out others, or limits them. A deduplicated one that has not been sent does not:
// it is checked against the others when its first byte is sent.
func (a *Attempt) mayHaveRun() bool {
	if a.finished {
		return !a.result.NeverRan()
	}
	return a.Request.group.effect != control.Deduplicated || a.sendTime() > 0
}

// sendTime returns when an attempt was written to a connection, 0 if it was not.
func (a *Attempt) sendTime() float64 {
	if a.finished {
		return a.sentAt
	}
	return a.Worker.transport.SentAt(a)
}

// sentOrCreatedAt returns when an attempt was written to a connection or, if it was not, when it was made.
func (a *Attempt) sentOrCreatedAt() float64 {
	sentAt := a.sendTime()
	if sentAt > 0 {
		return sentAt
	}
	return a.createdAt
}

// dedupExpired ends an attempt that has not been sent by the time at which workers stop dropping its repeat. If that time is
// later now, as an attempt has been sent later or did not run, it waits for it.
func (a *Attempt) dedupExpired() {
	if a.finished || a.sendTime() > 0 {
		return
	}
	now := a.gateway.Loop.Now()
	facts := a.Request.attemptFacts(a, a.gateway.groupOf(a, now), now)
	until := math.Min(a.SendDeadline, dedupDeadline(facts))
	if now >= until {
		a.gateway.finishAttempt(a, control.NotSent)
		return
	}
	until = math.Min(until, now+a.Request.group.DedupWindow.Seconds) // another attempt may be sent from now on
	a.gateway.Loop.StartTimer(&a.dedupTimer, until-now)
}

// limitUnsent limits how long the other attempts of a request may wait that have not been sent: a new attempt starts a
// deduplication window for them once it is sent.
func (g *Gateway) limitUnsent(added *Attempt) {
	r := added.Request
	if r.group.effect != control.Deduplicated {
		return
	}
	for _, other := range r.attempts[:added.Index] {
		if !other.finished && other.sendTime() == 0 && !other.dedupTimer.Pending() {
			g.Loop.StartTimer(&other.dedupTimer, r.group.DedupWindow.Seconds)
		}
	}
}

// dedupDeadline returns when workers stop dropping repeats of an attempt that may have run, +Inf if no attempt may have run or
// the group is not deduplicated.
func dedupDeadline(facts rules.RequestFacts) float64 {
	if facts.Effect == control.Deduplicated && facts.MayHaveRun {
		return facts.DedupUntil
	}
	return math.Inf(1)
}
