package gateway

import (
	"fmt"
	"math"
	"runtime/debug"

	"mastchute/control"
	"mastchute/internal/eventloop"
)

// This file calls the control module. A turn of the loop consists of rounds. The first event of a round opens a batch and sets
// the module's time. The end of the round closes the batch with Reconcile, in which the module calls its actions. A panic in
// any call stops the dispatcher.

// NewModule creates the control module of a dispatcher.
type NewModule func(seed uint64, settings control.Settings, actions control.Actions) control.Module

func (g *Gateway) createModule(newModule NewModule, seed uint64) {
	defer g.recoverPanic()
	g.module = newModule(seed, g.settings, g)
}

// beginBatch opens a batch of events unless one is open.
func (g *Gateway) beginBatch() {
	if !g.batchOpen {
		g.batchOpen = true
		g.setModuleTime()
	}
}

// endBatch closes the batch. The loop calls it at the end of each round of events.
func (g *Gateway) endBatch() {
	if !g.batchOpen {
		return
	}
	g.batchOpen = false
	g.reconcile()
}

// deliver passes an event to the module as part of the current batch. Its closure allocates, so the frequent events of
// requests have methods of their own.
func (g *Gateway) deliver(event func(module control.Module)) {
	g.beginBatch()
	g.callModule(event)
}

// callModule calls the module, if there is one, without opening a batch.
func (g *Gateway) callModule(call func(module control.Module)) {
	defer g.recoverPanic()
	if g.module != nil {
		call(g.module)
	}
}

func (g *Gateway) setModuleTime() {
	defer g.recoverPanic()
	if g.module != nil {
		g.module.SetNow(g.Loop.Now())
	}
}

func (g *Gateway) reconcile() {
	defer g.recoverPanic()
	if g.module != nil {
		g.module.Reconcile()
	}
}

func (g *Gateway) deliverRequest(request *control.Request) {
	g.beginBatch()
	defer g.recoverPanic()
	if g.module != nil {
		g.module.RequestArrived(*request)
	}
}

func (g *Gateway) deliverAttemptResult(result *control.AttemptResult) {
	g.beginBatch()
	defer g.recoverPanic()
	if g.module != nil {
		g.module.AttemptFinished(*result)
	}
}

func (g *Gateway) deliverTimer(id control.TimerID) {
	g.beginBatch()
	defer g.recoverPanic()
	if g.module != nil {
		g.module.TimerFired(id)
	}
}

func (g *Gateway) deliverCancellation(request *Request) {
	g.deliver(func(module control.Module) { module.RequestCancelled(request.id) })
}

// recoverPanic must be deferred around each call of the module.
func (g *Gateway) recoverPanic() {
	if v := recover(); v != nil {
		g.handlePanic(fmt.Sprint(v), debug.Stack())
	}
}

// handlePanic stops the dispatcher after a panic of the module. Every request in flight fails, because the module's state may
// be inconsistent.
func (g *Gateway) handlePanic(message string, stack []byte) {
	g.exitStatus.PanicMessage = message
	g.module = nil
	g.DumpFlightRecorder("crash")
	g.log.Error().Str("panic", message).Str("stack", string(stack)).Int("in_flight", g.inFlight).Msg("decision code failed; this dispatcher ends")
	g.Loop.Defer(func() {
		g.clients.Drain()
		g.finishAllRequests("the dispatcher failed")
		g.stopping = true
		g.stopDeadline = g.Loop.Now()
		g.stopEndBy = math.Inf(1)
		g.continueShutdown()
	})
}

// SetTimer starts a timer of the module, or restarts it if it is pending. It implements control.Actions.
func (g *Gateway) SetTimer(after control.Seconds, id control.TimerID) {
	t := g.moduleTimers[id]
	if t == nil {
		t = &eventloop.Timer{Fire: func() { g.deliverTimer(id) }}
		g.moduleTimers[id] = t
	}
	g.Loop.StartTimer(t, after)
}

// Log logs a message of the module. It implements control.Actions.
func (g *Gateway) Log(text string) { g.log.Info().Str("from", "decisions").Msg(text) }
