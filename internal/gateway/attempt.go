package gateway

import (
	"mastchute/control"
)

const maxRecycledBody = 64 << 10 // bytes; a larger response buffer is freed when its attempt is recycled

// completion is a finished attempt to be reported to the control module or, if attempt is nil, a finished request to be
// released.
type completion struct {
	request *Request
	attempt *Attempt
	result  control.AttemptResult
}

// addAttempt adds an attempt to a request, which must have fewer than maxAttempts.
func (g *Gateway) addAttempt(r *Request, w *Worker) *Attempt {
	a := g.allocateAttempt()
	a.Request = r
	a.Worker = w
	a.Index = r.attemptCount
	a.createdAt = g.Loop.Now()
	w.callsInFlight++
	r.attempts[r.attemptCount] = a
	r.attemptCount++
	r.unreportedAttempts++
	return a
}

func (g *Gateway) allocateAttempt() *Attempt {
	if n := len(g.freeAttempts); n > 0 {
		a := g.freeAttempts[n-1]
		g.freeAttempts = g.freeAttempts[:n-1]
		return a
	}
	a := &Attempt{gateway: g}
	a.timeoutTimer.Fire = func() { g.finishAttempt(a, control.TimedOut) }
	a.dedupTimer.Fire = a.dedupExpired
	return a
}

func (g *Gateway) recycleAttempt(a *Attempt) {
	a.Request = nil
	a.Worker = nil
	a.ResponseBody = a.ResponseBody[:0]
	if cap(a.ResponseBody) > maxRecycledBody {
		a.ResponseBody = nil
	}
	a.Response = WorkerResponse{}
	a.sentAt = 0
	a.sentOn = nil
	a.finished = false
	a.blocked = false
	g.freeAttempts = append(g.freeAttempts, a)
}

// startStreaming records that the response of an attempt is streamed to the client. From then on it is the request's final
// response: the other attempts are cancelled and no timeout applies.
func (g *Gateway) startStreaming(a *Attempt) {
	r := a.Request
	r.streamingAttempt = a
	g.Loop.CancelTimer(&r.deadlineTimer)
	g.Loop.CancelTimer(&a.timeoutTimer)
	for _, other := range r.attempts[:r.attemptCount] {
		if other != a {
			g.finishAttempt(other, control.Cancelled)
		}
	}
	g.deliver(func(module control.Module) {
		module.ResponseStarted(r.id, a.Index, a.Worker.ID, g.Loop.Now()-a.createdAt)
	})
}

// finishAttempt records the end of an attempt, gives the client its final response if the attempt provides one, and schedules
// the report to the control module for this turn of the loop. It ignores an attempt that is nil or has finished.
func (g *Gateway) finishAttempt(a *Attempt, result control.Result) {
	if a == nil || a.finished {
		return
	}
	a.recordSent()
	a.finished = true
	if result == control.TimedOut || result == control.Cancelled || result == control.NotSent {
		result = a.cancelAtTransport(result)
	}
	g.Loop.CancelTimer(&a.timeoutTimer)
	g.Loop.CancelTimer(&a.dedupTimer)
	r := a.Request
	duration := g.Loop.Now() - a.createdAt
	a.result = result
	g.renewLeaseByAttempt(a, result)
	a.Worker.callsInFlight--
	a.Worker.metrics.attemptFinished(result)
	g.RecordEvent("attempt_finished", resultNames[result], r, a.Worker, duration)
	report := control.AttemptResult{
		ID:                r.id,
		Attempt:           a.Index,
		Worker:            a.Worker.ID,
		Duration:          duration,
		Result:            result,
		ModelState:        a.Response.ModelState,
		SameModelInFlight: a.Response.SameModelInFlight,
		LoadReport:        a.Response.LoadReport[:a.Response.LoadReportLen],
		LeaseUntil:        a.Worker.lease.Until(),
	}
	if !r.finished {
		g.respondFromAttempt(a, result)
	}
	report.RequestFinished = r.finished
	if len(g.pendingCompletions) == 0 {
		g.Loop.Defer(g.reportFinishedFn)
	}
	g.pendingCompletions = append(g.pendingCompletions, completion{request: r, attempt: a, result: report})
}

// recordSent records when and to which connection an attempt was written that is about to finish.
func (a *Attempt) recordSent() {
	if a.blocked {
		return
	}
	a.sentAt = a.Worker.transport.SentAt(a)
	a.sentOn = a.Worker.transport.ConnectionOf(a)
}

// cancelAtTransport cancels an attempt in its transport, and returns its result: NotSent instead of the given result if the
// attempt was never written to an established connection, unless it timed out.
func (a *Attempt) cancelAtTransport(result control.Result) control.Result {
	if a.blocked {
		return control.NotSent
	}
	transport := a.Worker.transport
	if transport.SentAt(a) == 0 && result != control.TimedOut {
		result = control.NotSent
	}
	transport.CancelAttempt(a)
	return result
}

// respondFromAttempt gives the client its final response if the end of an attempt provides one: a success, or the early end
// of a streamed response, which is cut off so that the client notices.
func (g *Gateway) respondFromAttempt(a *Attempt, result control.Result) {
	r := a.Request
	writer := r.Writer
	switch {
	case result == control.Succeeded:
		r.Writer = nil
		writer.WriteResponse(r, a)
		g.finishRequest(r, outcomeReturned)
	case r.streamingAttempt == a:
		r.Writer = nil
		writer.WriteFailure(r, false, "the answer was cut short")
		g.finishRequest(r, outcomeFailed)
	}
}

// reportFinished reports the finished attempts to the control module, in order, and then releases their requests. Attempts
// that finish during the report are reported in the next round of the same turn.
func (g *Gateway) reportFinished() {
	g.pendingCompletions, g.reportingCompletions = g.reportingCompletions[:0], g.pendingCompletions
	for i := range g.reportingCompletions {
		entry := &g.reportingCompletions[i]
		if entry.attempt != nil {
			entry.request.unreportedAttempts--
			entry.result.RequestFinished = entry.request.finished
			g.traceAttempt(entry.attempt)
			g.deliverAttemptResult(&entry.result)
		}
	}
	for i := range g.reportingCompletions {
		g.releaseRequest(g.reportingCompletions[i].request)
		g.reportingCompletions[i] = completion{}
	}
}
