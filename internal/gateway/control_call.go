package gateway

import (
	"mastchute/control"
	"mastchute/internal/rules"
)

func (g *Gateway) allocateControlCall(kind ControlCallKind, w *Worker, m *Model) *ControlCall {
	var o *ControlCall
	if n := len(g.freeControlCalls); n > 0 {
		o = g.freeControlCalls[n-1]
		g.freeControlCalls = g.freeControlCalls[:n-1]
	} else {
		o = &ControlCall{gateway: g}
		p := o
		o.timeoutTimer.Fire = func() { p.finish(control.TimedOut) }
	}
	o.Kind, o.Worker, o.Model, o.Replicas, o.createdAt, o.finished, o.Response = kind, w, m, 1, g.Loop.Now(), false, WorkerResponse{}
	w.callsInFlight++
	if m != nil {
		m.inFlight++
	}
	return o
}

func (o *ControlCall) send(timeout float64) {
	o.gateway.Loop.Start(&o.timeoutTimer, timeout)
	o.Worker.transport.SendControlCall(o)
}

// LoadModel asks a worker to hold copies of a model.
func (g *Gateway) LoadModel(id control.WorkerID, m control.ModelID, copies int) {
	w, model := g.workers[id], g.models.byID[m]
	if w == nil || model == nil {
		g.Metrics.countGuard("unknown")
		return
	}
	o := g.allocateControlCall(CallLoadModel, w, model)
	o.Replicas = copies
	g.Metrics.loadOrders.Inc()
	g.RecordEvent("load_order", "", nil, w, float64(copies))
	if why := rules.CheckLoad(w.isReady()); why != rules.Allowed {
		g.Metrics.countGuard("order_barred")
		g.recordViolation(why, "load order", nil, w)
		g.Loop.Defer(func() { o.finish(control.NotSent) })
		return
	}
	o.send(g.cfg.Loads.Timeout.Seconds)
}

// UnloadModel asks a worker to unload the idle copies of a model.
func (g *Gateway) UnloadModel(id control.WorkerID, m control.ModelID) {
	if w, model := g.workers[id], g.models.byID[m]; w != nil && model != nil {
		g.allocateControlCall(CallUnloadModel, w, model).send(g.cfg.Loads.Timeout.Seconds)
	}
}

// ProbeWorker asks a worker for its load report.
func (g *Gateway) ProbeWorker(id control.WorkerID) {
	if w := g.workers[id]; w != nil {
		g.Metrics.probes.Inc()
		g.allocateControlCall(CallProbe, w, nil).send(probeTimeout)
	}
}

func (o *ControlCall) finish(r control.Result) {
	if o.finished {
		return
	}
	o.finished = true
	g := o.gateway
	if r == control.TimedOut || r == control.NotSent {
		o.Worker.transport.CancelControlCall(o)
	}
	g.Loop.Cancel(&o.timeoutTimer)
	took := g.Loop.Now() - o.createdAt
	o.Worker.callsInFlight--
	if o.Model != nil {
		o.Model.inFlight--
	}
	switch o.Kind {
	case CallLoadModel:
		g.beginBatch()
		if g.module != nil {
			res := control.LoadResult{Worker: o.Worker.ID, Model: o.Model.ID, Result: r, Duration: took, Replicas: o.Response.Replicas}
			g.callModule(func() { g.module.LoadFinished(res) })
		}
	case CallProbe:
		g.beginBatch()
		if g.module != nil {
			res := control.ProbeResult{Worker: o.Worker.ID, Result: r, Duration: took, LoadReport: o.Response.LoadReport[:o.Response.LoadReportLen]}
			g.callModule(func() { g.module.ProbeFinished(res) })
		}
	case CallStartupProbe:
		o.Worker.startupProbeCall = nil
		g.finishStartupProbe(o.Worker, r == control.Succeeded)
	}
	g.Loop.Defer(func() { g.freeControlCalls = append(g.freeControlCalls, o) })
}
