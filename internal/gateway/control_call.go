package gateway

import (
	"mastchute/control"
)

const probeTimeout = 1.0 // s; a newly listed worker that does not respond by then is announced without its start time

func (g *Gateway) allocateControlCall(kind ControlCallKind, w *Worker, model *Model) *ControlCall {
	if len(g.freeControlCalls) == 0 {
		g.freeControlCalls = append(g.freeControlCalls, g.newControlCall())
	}
	last := len(g.freeControlCalls) - 1
	call := g.freeControlCalls[last]
	g.freeControlCalls = g.freeControlCalls[:last]
	call.Kind = kind
	call.Worker = w
	call.Model = model
	call.Replicas = 1
	call.Response = WorkerResponse{}
	call.createdAt = g.Loop.Now()
	call.finished = false
	w.callsInFlight++
	if model != nil {
		model.inFlight++
	}
	return call
}

func (g *Gateway) newControlCall() *ControlCall {
	call := &ControlCall{gateway: g}
	call.timeoutTimer.Fire = func() { g.finishControlCall(call, control.TimedOut) }
	return call
}

func (g *Gateway) sendControlCall(call *ControlCall, timeout float64) {
	g.Loop.StartTimer(&call.timeoutTimer, timeout)
	call.Worker.transport.SendControlCall(call)
}

// finishControlCall records the end of a control call, and delivers its result. It ignores a call that has finished.
func (g *Gateway) finishControlCall(call *ControlCall, result control.Result) {
	if call.finished {
		return
	}
	call.finished = true
	if result == control.TimedOut || result == control.NotSent {
		call.Worker.transport.CancelControlCall(call)
	}
	g.Loop.CancelTimer(&call.timeoutTimer)
	call.Worker.callsInFlight--
	if call.Model != nil {
		call.Model.inFlight--
	}
	g.deliverControlCallResult(call, result)
	// Deferred, because the transport may still use the record when this function returns to it.
	g.Loop.Defer(func() { g.freeControlCalls = append(g.freeControlCalls, call) })
}

func (g *Gateway) deliverControlCallResult(call *ControlCall, result control.Result) {
	duration := g.Loop.Now() - call.createdAt
	switch call.Kind {
	case CallLoadModel:
		load := control.LoadResult{Worker: call.Worker.ID, Model: call.Model.ID, Result: result, Duration: duration, Replicas: call.Response.Replicas}
		g.deliver(func(module control.Module) { module.LoadFinished(load) })
	case CallProbe:
		probe := control.ProbeResult{Worker: call.Worker.ID, Result: result, Duration: duration, LoadReport: call.Response.LoadReport[:call.Response.LoadReportLen]}
		g.deliver(func(module control.Module) { module.ProbeFinished(probe) })
	case CallStartupProbe:
		call.Worker.startupProbeCall = nil
		g.finishStartupProbe(call.Worker, result == control.Succeeded)
	}
}
