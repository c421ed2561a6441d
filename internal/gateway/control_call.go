package gateway

import (
	"mastchute/control"
)

const probeTimeout = 1.0 // s, of a probe; a newly listed worker that does not respond by then is announced without its start

func (g *Gateway) allocateControlCall(kind ControlCallKind, w *Worker, model *Model) *ControlCall {
	if len(g.freeControlCalls) == 0 {
		g.freeControlCalls = append(g.freeControlCalls, g.newControlCall())
	}
	last := len(g.freeControlCalls) - 1
	c := g.freeControlCalls[last]
	g.freeControlCalls = g.freeControlCalls[:last]
	c.Kind = kind
	c.Worker = w
	c.Model = model
	c.Replicas = 1
	c.Response = WorkerResponse{}
	c.createdAt = g.Loop.Now()
	c.finished = false
	w.callsInFlight++
	if model != nil {
		model.inFlight++
	}
	return c
}

func (g *Gateway) newControlCall() *ControlCall {
	c := &ControlCall{gateway: g}
	c.timeoutTimer.Fire = func() { g.finishControlCall(c, control.TimedOut) }
	return c
}

func (g *Gateway) sendControlCall(c *ControlCall, timeout float64) {
	g.Loop.Start(&c.timeoutTimer, timeout)
	c.Worker.transport.SendControlCall(c)
}

// finishControlCall ends a control call, once, and passes its result on.
func (g *Gateway) finishControlCall(c *ControlCall, result control.Result) {
	if c.finished {
		return
	}
	c.finished = true
	if result == control.TimedOut || result == control.NotSent {
		c.Worker.transport.CancelControlCall(c)
	}
	g.Loop.Cancel(&c.timeoutTimer)
	c.Worker.callsInFlight--
	if c.Model != nil {
		c.Model.inFlight--
	}
	g.deliverControlCallResult(c, result)
	// Deferred, as the transport may still use the record in the call that reported the end.
	g.Loop.Defer(func() { g.freeControlCalls = append(g.freeControlCalls, c) })
}

func (g *Gateway) deliverControlCallResult(c *ControlCall, result control.Result) {
	duration := g.Loop.Now() - c.createdAt
	switch c.Kind {
	case CallLoadModel:
		load := control.LoadResult{Worker: c.Worker.ID, Model: c.Model.ID, Result: result, Duration: duration, Replicas: c.Response.Replicas}
		g.deliver(func(module control.Module) { module.LoadFinished(load) })
	case CallProbe:
		probe := control.ProbeResult{Worker: c.Worker.ID, Result: result, Duration: duration, LoadReport: c.Response.LoadReport[:c.Response.LoadReportLen]}
		g.deliver(func(module control.Module) { module.ProbeFinished(probe) })
	case CallStartupProbe:
		c.Worker.startupProbeCall = nil
		g.finishStartupProbe(c.Worker, result == control.Succeeded)
	}
}
