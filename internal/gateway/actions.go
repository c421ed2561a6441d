package gateway

import (
	"math"

	"mastchute/control"
	"mastchute/internal/rules"
)

// This file and module.go implement control.Actions. The control module calls these methods from Reconcile. None of them
// calls the module back before it returns.

var _ control.Actions = (*Gateway)(nil)

const timeoutMargin = 0.1 // s before the deadline; a request that fails within it is reported as timed out

// SendAttempt sends a request to a worker, unless a rule forbids it. A timeout of 0 means the client's deadline.
func (g *Gateway) SendAttempt(id control.RequestID, workerID control.WorkerID, timeout control.Seconds) {
	r := g.findRequest(id)
	w := g.workers[workerID]
	if r == nil || w == nil || r.attemptCount >= maxAttempts {
		g.Metrics.countGuard("unknown")
		return
	}
	a := g.addAttempt(r, w)
	w.metrics.attempts.Inc()
	g.RecordEvent("attempt_started", "", r, w, timeout)
	a.reportedGroup = control.DedupGroup{}
	if !w.unidentified {
		a.reportedGroup = w.dedupGroup()
	}
	facts := r.attemptFacts(a, g.groupExpected(w, a.createdAt), a.createdAt)
	if reason := rules.CheckAttempt(a.createdAt, facts, w.facts(g)); reason != rules.Allowed {
		if g.identitiesReported(a) {
			g.Metrics.countGuard("forward_barred")
			g.recordViolation(reason, "attempt", r, w)
		} else {
			a.recordHeldBack(reason, 0)
		}
		a.blocked = true
		g.finishAttempt(a, control.NotSent)
		return
	}
	if timeout > 0 {
		g.Loop.StartTimer(&a.timeoutTimer, timeout)
	}
	a.SendDeadline = dedupDeadline(facts)
	if !math.IsInf(a.SendDeadline, 1) {
		g.Loop.StartTimer(&a.dedupTimer, a.SendDeadline-a.createdAt)
	}
	g.limitUnsent(a)
	w.MarkSent()
	w.transport.SendAttempt(a)
}

// Shed rejects a request in such a way that the client may retry it. If a rule forbids that, the request fails.
func (g *Gateway) Shed(id control.RequestID, retryAfter control.Seconds) {
	r := g.findRequest(id)
	if r == nil || r.Writer == nil {
		return
	}
	retryAt := g.Loop.Now() + r.Writer.RetryDelay(retryAfter)
	if reason := rules.CheckShed(retryAt, r.shedFacts()); reason != rules.Allowed {
		g.recordViolation(reason, "shed", r, nil)
		g.failRequest(r, "it may have run")
		return
	}
	g.shedRequest(r, retryAfter)
}

// Fail fails a request, which may have run.
func (g *Gateway) Fail(id control.RequestID) {
	r := g.findRequest(id)
	if r == nil || r.Writer == nil {
		return
	}
	if g.Loop.Now() > r.deadline-timeoutMargin {
		g.timeOutRequest(r, "no answer came in time; it may have run")
		return
	}
	g.failRequest(r, "the workers failed; it may have run")
}

// CancelAttempt cancels an attempt of a request by its index.
func (g *Gateway) CancelAttempt(id control.RequestID, index int) {
	r := g.findRequest(id)
	if r != nil && index < r.attemptCount {
		g.finishAttempt(r.attempts[index], control.Cancelled)
	}
}

// LoadModel sends a load request for a model to a worker, unless a rule forbids it.
func (g *Gateway) LoadModel(workerID control.WorkerID, modelID control.ModelID, replicas int) {
	w := g.workers[workerID]
	model := g.models.byID[modelID]
	if w == nil || model == nil {
		g.Metrics.countGuard("unknown")
		return
	}
	command := g.allocateWorkerCommand(CommandLoadModel, w, model)
	command.Replicas = replicas
	g.Metrics.loadRequests.Inc()
	g.RecordEvent("load_requested", "", nil, w, float64(replicas))
	if reason := rules.CheckWorker(command.createdAt, w.facts(g)); reason != rules.Allowed {
		g.Metrics.countGuard("order_barred")
		g.recordViolation(reason, "load order", nil, w)
		g.Loop.Defer(func() { g.finishWorkerCommand(command, control.NotSent) })
		return
	}
	g.sendWorkerCommand(command, g.cfg.Loads.Timeout.Seconds)
}

// UnloadModel sends a request to unload the idle replicas of a model to a worker.
func (g *Gateway) UnloadModel(workerID control.WorkerID, modelID control.ModelID) {
	w := g.workers[workerID]
	model := g.models.byID[modelID]
	if w != nil && model != nil {
		g.sendWorkerCommand(g.allocateWorkerCommand(CommandUnloadModel, w, model), g.cfg.Loads.Timeout.Seconds)
	}
}

// ProbeWorker sends a probe to a worker, whose response contains a load report.
func (g *Gateway) ProbeWorker(id control.WorkerID) {
	w := g.workers[id]
	if w != nil {
		g.Metrics.probes.Inc()
		g.sendWorkerCommand(g.allocateWorkerCommand(CommandProbe, w, nil), probeTimeout)
	}
}

// CheckWorker sends a worker a load request for no replicas of a model, to learn whether it accepts new work.
func (g *Gateway) CheckWorker(workerID control.WorkerID, modelID control.ModelID) {
	w := g.workers[workerID]
	model := g.models.byID[modelID]
	if w == nil || model == nil {
		g.Metrics.countGuard("unknown")
		return
	}
	command := g.allocateWorkerCommand(CommandCheckWorker, w, model)
	command.Replicas = 0
	g.RecordEvent("worker_check_sent", "", nil, w, command.createdAt-w.lease.Until())
	g.sendWorkerCommand(command, workerCheckTimeout)
}

// CloseIdleConnections closes the idle connections to a worker.
func (g *Gateway) CloseIdleConnections(id control.WorkerID) {
	w := g.workers[id]
	if w != nil {
		w.transport.CloseIdle()
	}
}

// SendPeerMessage drops the message: the gateway does not support messages between dispatchers.
func (g *Gateway) SendPeerMessage(control.PeerID, []byte) { g.Metrics.countGuard("note_dropped") }

// SubscribeEndpointList starts or ends the delivery of changes to the endpoint list. A start delivers a snapshot first.
func (g *Gateway) SubscribeEndpointList(on bool) {
	wasSubscribed := g.listSubscribed
	g.listSubscribed = on
	if on && !wasSubscribed {
		g.FetchEndpointList()
	}
}

// FetchEndpointList delivers a snapshot of the endpoint list in this turn of the loop.
func (g *Gateway) FetchEndpointList() {
	g.Loop.Defer(func() { g.sendEndpointList(control.ListSnapshot) })
}
