package gateway

import (
	"math"

	"mastchute/control"
	"mastchute/internal/rules"
)

// Gateway implements control.Actions. The control module calls these methods from Reconcile; none of them calls the module
// back within the call. SetTimer and Log are in module.go.

var _ control.Actions = (*Gateway)(nil)

const lateMargin = 0.1 // s before the deadline from which on a failure is reported as a timeout

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
	facts := r.attemptFacts(w, a.Index)
	if reason := rules.CheckAttempt(a.createdAt, facts, w.isReady()); reason != rules.Allowed {
		g.Metrics.countGuard("forward_barred")
		g.recordViolation(reason, "attempt", r, w)
		a.blocked = true
		g.finishAttempt(a, control.NotSent)
		return
	}
	if timeout > 0 {
		g.Loop.Start(&a.timeoutTimer, timeout)
	}
	a.SendDeadline = dedupDeadline(facts)
	if !math.IsInf(a.SendDeadline, 1) {
		g.Loop.Start(&a.dedupTimer, a.SendDeadline-a.createdAt)
	}
	w.MarkSent()
	w.transport.SendAttempt(a)
}

// Shed rejects a request with the promise that a retry is harmless. If a rule forbids that promise, the request fails.
func (g *Gateway) Shed(id control.RequestID, retryAfter control.Seconds) {
	r := g.findRequest(id)
	if r == nil || r.Responder == nil {
		return
	}
	if reason := rules.CheckShed(r.shedFacts()); reason != rules.Allowed {
		g.recordViolation(reason, "shed", r, nil)
		g.failRequest(r, false, "it may have run")
		return
	}
	g.shedRequest(r, retryAfter)
}

// Fail ends a request as failed, which promises nothing.
func (g *Gateway) Fail(id control.RequestID) {
	r := g.findRequest(id)
	if r == nil || r.Responder == nil {
		return
	}
	if g.Loop.Now() > r.deadline-lateMargin {
		g.failRequest(r, true, "no answer came in time; it may have run")
		return
	}
	g.failRequest(r, false, "the workers failed; it may have run")
}

// CancelAttempt cancels an attempt of a request by its index.
func (g *Gateway) CancelAttempt(id control.RequestID, index int) {
	r := g.findRequest(id)
	if r != nil && index < r.attemptCount {
		g.finishAttempt(r.attempts[index], control.Cancelled)
	}
}

// LoadModel orders replicas of a model at a worker, unless a rule forbids it.
func (g *Gateway) LoadModel(workerID control.WorkerID, modelID control.ModelID, replicas int) {
	w := g.workers[workerID]
	model := g.models.byID[modelID]
	if w == nil || model == nil {
		g.Metrics.countGuard("unknown")
		return
	}
	call := g.allocateControlCall(CallLoadModel, w, model)
	call.Replicas = replicas
	g.Metrics.loadOrders.Inc()
	g.RecordEvent("load_requested", "", nil, w, float64(replicas))
	if reason := rules.CheckLoad(w.isReady()); reason != rules.Allowed {
		g.Metrics.countGuard("order_barred")
		g.recordViolation(reason, "load order", nil, w)
		g.Loop.Defer(func() { g.finishControlCall(call, control.NotSent) })
		return
	}
	g.sendControlCall(call, g.cfg.Loads.Timeout.Seconds)
}

// UnloadModel orders a worker to unload its idle replicas of a model.
func (g *Gateway) UnloadModel(workerID control.WorkerID, modelID control.ModelID) {
	w := g.workers[workerID]
	model := g.models.byID[modelID]
	if w != nil && model != nil {
		g.sendControlCall(g.allocateControlCall(CallUnloadModel, w, model), g.cfg.Loads.Timeout.Seconds)
	}
}

// ProbeWorker asks a worker for its load report.
func (g *Gateway) ProbeWorker(id control.WorkerID) {
	w := g.workers[id]
	if w != nil {
		g.Metrics.probes.Inc()
		g.sendControlCall(g.allocateControlCall(CallProbe, w, nil), probeTimeout)
	}
}

// CloseIdleConnections closes the idle connections to a worker.
func (g *Gateway) CloseIdleConnections(id control.WorkerID) {
	w := g.workers[id]
	if w != nil {
		w.transport.CloseIdle()
	}
}

// SendPeerMessage drops the message: dispatchers share nothing.
func (g *Gateway) SendPeerMessage(control.PeerID, []byte) { g.Metrics.countGuard("note_dropped") }

// SubscribeWorkerList starts or ends the notification of changes to the endpoint list. A start sends a snapshot first.
func (g *Gateway) SubscribeWorkerList(on bool) {
	wasSubscribed := g.listSubscribed
	g.listSubscribed = on
	if on && !wasSubscribed {
		g.FetchWorkerList()
	}
}

// FetchWorkerList has a snapshot of the endpoint list delivered in this turn of the loop.
func (g *Gateway) FetchWorkerList() {
	g.Loop.Defer(func() { g.sendWorkerList(control.ListSnapshot) })
}
