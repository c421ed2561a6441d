package gateway

import "mastchute/control"

// This file notifies the control module of workers and attempts whose process is not certainly that of the entry for which an
// attempt was meant.

// identityCheckInterval is the time, in seconds, between checks whether connections identify more worker processes.
const identityCheckInterval = 0.5

// AttemptWritten notifies the control module, later in this turn of the loop, if an attempt reaches another group than expected
// on the connection to which it was written.
func (g *Gateway) AttemptWritten(a *Attempt) {
	g.recordWritten(a)
	r := a.Request
	if g.isReported(a) {
		return
	}
	g.Loop.Defer(func() {
		if a.Request == r {
			g.traceAttempt(a)
		}
	})
}

// recordWritten records the age of the connection to which an attempt was written, and whether that identifies the worker
// process, if it decides where the request may be sent again.
func (g *Gateway) recordWritten(a *Attempt) {
	connection := a.connection()
	if connection == nil || !a.Request.group.hasLimitedScope() {
		return
	}
	now := g.Loop.Now()
	why := "unidentified"
	if a.Request.group.isKnown(g.groupOf(a, now)) {
		why = "identified"
	}
	g.RecordEvent("attempt_written", why, a.Request, a.Worker, connection.Age(now))
}

// WorkerConnectionsChanged notifies the control module, later in this turn of the loop, if an established or closed connection
// decides whether an attempt at a worker certainly reaches the process of its entry.
func (g *Gateway) WorkerConnectionsChanged(w *Worker) {
	if !g.anyLimitedScope || w.connectionsChanged {
		return
	}
	w.connectionsChanged = true
	if len(g.changedConnections) == 0 {
		g.Loop.Defer(g.reportChangedFn)
	}
	g.changedConnections = append(g.changedConnections, w)
}

// reportChangedConnections reports the identities of the workers whose connections have changed.
func (g *Gateway) reportChangedConnections() {
	for _, w := range g.changedConnections {
		w.connectionsChanged = false
		g.reportIdentity(w)
	}
	clear(g.changedConnections)
	g.changedConnections = g.changedConnections[:0]
}

// checkIdentitiesPeriodically checks the identities while no confirmation of the endpoint list is an occasion to do so.
func (g *Gateway) checkIdentitiesPeriodically() {
	g.checkIdentities()
	g.Loop.StartTimer(&g.identityTimer, identityCheckInterval)
}

// checkIdentities notifies the control module of the workers and attempts whose process the connections identify by now.
func (g *Gateway) checkIdentities() {
	waiting := g.awaitingIdentity
	g.awaitingIdentity = g.awaitingIdentity[:0]
	for _, w := range waiting {
		w.awaitsIdentity = false
		g.reportIdentity(w)
	}
	clear(waiting[len(g.awaitingIdentity):])
	g.traceAttempts()
}

// reportIdentities notifies the control module of all workers for which it has changed whether an attempt certainly reaches
// the process of the entry.
func (g *Gateway) reportIdentities() {
	if !g.anyLimitedScope {
		return
	}
	for _, w := range g.workers {
		g.reportIdentity(w)
	}
}

// reportIdentity notifies the control module if it has changed whether an attempt at a worker certainly reaches the process of
// its entry. A connection that does not show that yet may do so as it ages.
func (g *Gateway) reportIdentity(w *Worker) {
	if !g.anyLimitedScope || !w.announced || !g.listSubscribed {
		return
	}
	now := g.Loop.Now()
	unidentified := !w.address.Reaches(w.dedupGroup(), now, g.replacementsShownUntil(now))
	if unidentified && !w.awaitsIdentity && w.address.HasConnections() {
		w.awaitsIdentity = true
		g.awaitingIdentity = append(g.awaitingIdentity, w)
	}
	if unidentified == w.unidentified {
		return
	}
	w.unidentified = unidentified
	g.deliver(func(module control.Module) { module.WorkerIdentified(w.ID, !unidentified) })
}

// traceAttempts notifies the control module of the groups that the attempts of all requests have reached.
func (g *Gateway) traceAttempts() {
	if !g.anyLimitedScope {
		return
	}
	for _, r := range g.requests {
		if !r.inUse || r.finished {
			continue
		}
		for _, a := range r.attempts[:r.attemptCount] {
			g.traceAttempt(a)
		}
	}
}

// identitiesReported reports whether the control module has been told of all that is known now of the processes which a new attempt
// and the earlier attempts of its request reach. Connections may have changed in the turn in which it decides.
func (g *Gateway) identitiesReported(added *Attempt) bool {
	for _, earlier := range added.Request.attempts[:added.Index] {
		if !g.isReported(earlier) {
			return false
		}
	}
	return !added.Worker.connectionsChanged
}

// isReported reports whether the control module has been told of the group that an attempt has reached.
func (g *Gateway) isReported(a *Attempt) bool {
	_, isNew := g.unreportedGroup(a)
	return !isNew
}

// unreportedGroup returns the group that an attempt has reached. isNew is false if the control module need not be told: it has been,
// the attempt has not been written to a connection, or the group decides nothing.
func (g *Gateway) unreportedGroup(a *Attempt) (group control.DedupGroup, isNew bool) {
	if !a.Request.group.hasLimitedScope() || a.connection() == nil {
		return control.DedupGroup{}, false
	}
	group = g.groupOf(a, g.Loop.Now())
	return group, group != a.reportedGroup
}

// traceAttempt notifies the control module of the group that an attempt has reached, unless it has been told.
func (g *Gateway) traceAttempt(a *Attempt) {
	group, isNew := g.unreportedGroup(a)
	if !isNew {
		return
	}
	r := a.Request
	a.reportedGroup = group
	g.RecordEvent("attempt_traced", "", r, a.Worker, float64(a.Index))
	g.deliver(func(module control.Module) { module.AttemptTraced(r.id, a.Index, group) })
}
