package gateway

import (
	"mastchute/control"
	"mastchute/internal/permit"
)

func (g *Gateway) getOrder(kind OrderKind, w *Worker, m *Model) *Order {
	var o *Order
	if n := len(g.orders); n > 0 {
		o = g.orders[n-1]
		g.orders = g.orders[:n-1]
	} else {
		o = &Order{g: g}
		p := o
		o.timer.Fire = func() { p.finish(control.TimedOut) }
	}
	o.Kind, o.Worker, o.Model, o.Copies, o.made, o.done, o.Reply = kind, w, m, 1, g.Loop.Now(), false, Reply{}
	w.pending++
	if m != nil {
		m.refs++
	}
	return o
}

func (o *Order) send(timeout float64) {
	o.g.Loop.Start(&o.timer, timeout)
	o.Worker.link.Order(o)
}

// Order asks a worker to hold copies of a model.
func (g *Gateway) Order(id control.WorkerID, m control.ModelID, copies int) {
	w, model := g.workers[id], g.models.byID[m]
	if w == nil || model == nil {
		g.Metrics.guard("unknown")
		return
	}
	o := g.getOrder(OrderLoad, w, model)
	o.Copies = copies
	g.Metrics.orders.Inc()
	g.Note("load_order", "", nil, w, float64(copies))
	if why := permit.Order(w.ready()); why != permit.Allowed {
		g.Metrics.guard("order_barred")
		g.violation(why, "load order", nil, w)
		g.Loop.Later(func() { o.finish(control.NotSent) })
		return
	}
	o.send(g.cfg.Loads.Timeout.Seconds)
}

// Unload asks a worker to unload the idle copies of a model.
func (g *Gateway) Unload(id control.WorkerID, m control.ModelID) {
	if w, model := g.workers[id], g.models.byID[m]; w != nil && model != nil {
		g.getOrder(OrderUnload, w, model).send(g.cfg.Loads.Timeout.Seconds)
	}
}

// Probe asks a worker for its load report.
func (g *Gateway) Probe(id control.WorkerID) {
	if w := g.workers[id]; w != nil {
		g.Metrics.probes.Inc()
		g.getOrder(OrderProbe, w, nil).send(helloSpan)
	}
}

func (o *Order) finish(r control.Result) {
	if o.done {
		return
	}
	o.done = true
	g := o.g
	if r == control.TimedOut || r == control.NotSent {
		o.Worker.link.Drop(o)
	}
	g.Loop.Cancel(&o.timer)
	took := g.Loop.Now() - o.made
	o.Worker.pending--
	if o.Model != nil {
		o.Model.refs--
	}
	switch o.Kind {
	case OrderLoad:
		g.begin()
		if g.module != nil {
			res := control.OrderResult{Worker: o.Worker.ID, Model: o.Model.ID, Result: r, Took: took, Copies: o.Reply.Copies}
			g.guard(func() { g.module.Ordered(res) })
		}
	case OrderProbe:
		g.begin()
		if g.module != nil {
			res := control.ProbeResult{Worker: o.Worker.ID, Result: r, Took: took, Report: o.Reply.Report[:o.Reply.Fields]}
			g.guard(func() { g.module.Probed(res) })
		}
	case OrderHello:
		o.Worker.hello = nil
		g.greeted(o.Worker, r == control.Returned)
	}
	g.Loop.Later(func() { g.orders = append(g.orders, o) })
}
