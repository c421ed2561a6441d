package gateway

import (
	"mastchute/control"
	"mastchute/internal/rules"
)

func (g *Gateway) getOrder(kind ControlCallKind, w *Worker, m *Model) *ControlCall {
	var o *ControlCall
	if n := len(g.orders); n > 0 {
		o = g.orders[n-1]
		g.orders = g.orders[:n-1]
	} else {
		o = &ControlCall{g: g}
		p := o
		o.timer.Fire = func() { p.finish(control.TimedOut) }
	}
	o.Kind, o.Worker, o.Model, o.Replicas, o.made, o.done, o.Response = kind, w, m, 1, g.Loop.Now(), false, WorkerResponse{}
	w.pending++
	if m != nil {
		m.refs++
	}
	return o
}

func (o *ControlCall) send(timeout float64) {
	o.g.Loop.Start(&o.timer, timeout)
	o.Worker.link.SendControlCall(o)
}

// LoadModel asks a worker to hold copies of a model.
func (g *Gateway) LoadModel(id control.WorkerID, m control.ModelID, copies int) {
	w, model := g.workers[id], g.models.byID[m]
	if w == nil || model == nil {
		g.Metrics.guard("unknown")
		return
	}
	o := g.getOrder(CallLoadModel, w, model)
	o.Replicas = copies
	g.Metrics.orders.Inc()
	g.RecordEvent("load_order", "", nil, w, float64(copies))
	if why := rules.CheckLoad(w.ready()); why != rules.Allowed {
		g.Metrics.guard("order_barred")
		g.violation(why, "load order", nil, w)
		g.Loop.Defer(func() { o.finish(control.NotSent) })
		return
	}
	o.send(g.cfg.Loads.Timeout.Seconds)
}

// UnloadModel asks a worker to unload the idle copies of a model.
func (g *Gateway) UnloadModel(id control.WorkerID, m control.ModelID) {
	if w, model := g.workers[id], g.models.byID[m]; w != nil && model != nil {
		g.getOrder(CallUnloadModel, w, model).send(g.cfg.Loads.Timeout.Seconds)
	}
}

// ProbeWorker asks a worker for its load report.
func (g *Gateway) ProbeWorker(id control.WorkerID) {
	if w := g.workers[id]; w != nil {
		g.Metrics.probes.Inc()
		g.getOrder(CallProbe, w, nil).send(helloSpan)
	}
}

func (o *ControlCall) finish(r control.Result) {
	if o.done {
		return
	}
	o.done = true
	g := o.g
	if r == control.TimedOut || r == control.NotSent {
		o.Worker.link.CancelControlCall(o)
	}
	g.Loop.Cancel(&o.timer)
	took := g.Loop.Now() - o.made
	o.Worker.pending--
	if o.Model != nil {
		o.Model.refs--
	}
	switch o.Kind {
	case CallLoadModel:
		g.begin()
		if g.module != nil {
			res := control.LoadResult{Worker: o.Worker.ID, Model: o.Model.ID, Result: r, Duration: took, Replicas: o.Response.Replicas}
			g.guard(func() { g.module.LoadFinished(res) })
		}
	case CallProbe:
		g.begin()
		if g.module != nil {
			res := control.ProbeResult{Worker: o.Worker.ID, Result: r, Duration: took, LoadReport: o.Response.LoadReport[:o.Response.LoadReportLen]}
			g.guard(func() { g.module.ProbeFinished(res) })
		}
	case CallStartupProbe:
		o.Worker.hello = nil
		g.greeted(o.Worker, r == control.Succeeded)
	}
	g.Loop.Defer(func() { g.orders = append(g.orders, o) })
}
