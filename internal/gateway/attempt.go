package gateway

import (
	"math"

	"mastchute/control"
	"mastchute/internal/eventloop"
	"mastchute/internal/rules"
)

// finishedAttempt is an outcome to be told to the decisions; f nil: only lets the request's place go.
type finishedAttempt struct {
	request *Request
	attempt *Attempt
	result  control.AttemptResult
}

func (g *Gateway) allocateAttempt() *Attempt {
	if n := len(g.freeAttempts); n > 0 {
		f := g.freeAttempts[n-1]
		g.freeAttempts = g.freeAttempts[:n-1]
		return f
	}
	f := &Attempt{gateway: g}
	f.timeoutTimer.Fire = func() { g.finishAttempt(f, control.TimedOut) }
	f.dedupTimer.Fire = func() {
		if f.Worker.transport.SentAt(f) == 0 {
			g.finishAttempt(f, control.NotSent)
		}
	}
	return f
}

func (g *Gateway) recycleAttempt(f *Attempt) {
	f.Request, f.Worker = nil, nil
	f.ResponseBody = f.ResponseBody[:0]
	if cap(f.ResponseBody) > 64<<10 {
		f.ResponseBody = nil
	}
	f.Response, f.finished, f.blocked = WorkerResponse{}, false, false
	g.freeAttempts = append(g.freeAttempts, f)
}

// The actions, as control.Actions names them.

// SendAttempt sends a request to a worker.
func (g *Gateway) SendAttempt(id control.RequestID, wid control.WorkerID, timeout control.Seconds) {
	q, w := g.findRequest(id), g.workers[wid]
	if q == nil || w == nil || q.attemptCount >= maxAttempts {
		g.Metrics.countGuard("unknown")
		return
	}
	f := g.allocateAttempt()
	f.Request, f.Index, f.Worker, f.createdAt = q, q.attemptCount, w, g.Loop.Now()
	w.callsInFlight++
	q.attempts[q.attemptCount] = f
	q.attemptCount++
	q.unreportedAttempts++
	w.metrics.attempts.Inc()
	g.RecordEvent("attempt", "", q, w, timeout)
	terms := q.attemptFacts(w, f.Index)
	if why := rules.CheckAttempt(f.createdAt, terms, w.isReady()); why != rules.Allowed { // whatever was decided
		g.Metrics.countGuard("forward_barred")
		g.recordViolation(why, "attempt", q, w)
		f.blocked = true
		g.finishAttempt(f, control.NotSent)
		return
	}
	if timeout > 0 {
		g.Loop.Start(&f.timeoutTimer, timeout)
	}
	if f.SendDeadline = dedupDeadline(terms); !math.IsInf(f.SendDeadline, 1) {
		g.Loop.Start(&f.dedupTimer, f.SendDeadline-f.createdAt)
	}
	w.MarkSent()
	w.transport.SendAttempt(f)
}

// Shed answers that trying again is harmless.
func (g *Gateway) Shed(id control.RequestID, retryAfter control.Seconds) {
	if q := g.findRequest(id); q != nil && q.Responder != nil {
		if why := rules.CheckShed(q.shedFacts()); why != rules.Allowed {
			g.recordViolation(why, "shed", q, nil)
			g.failRequest(q, false, "it may have run")
			return
		}
		if c := g.takeResponder(q, outcomeShed); c != nil {
			c.WriteShed(q, retryAfter)
		}
	}
}

// Fail answers that it did not work out, and promises nothing.
func (g *Gateway) Fail(id control.RequestID) {
	q := g.findRequest(id)
	if q == nil || q.Responder == nil {
		return
	}
	if g.Loop.Now() > q.deadline-0.1 {
		g.failRequest(q, true, "no answer came in time; it may have run")
		return
	}
	g.failRequest(q, false, "the workers failed; it may have run")
}

// CancelAttempt gives an attempt up.
func (g *Gateway) CancelAttempt(id control.RequestID, n int) {
	if q := g.findRequest(id); q != nil && n < q.attemptCount {
		g.finishAttempt(q.attempts[n], control.Cancelled)
	}
}

// CloseIdleConnections closes the idle connections to a worker.
func (g *Gateway) CloseIdleConnections(id control.WorkerID) {
	if w := g.workers[id]; w != nil {
		w.transport.CloseIdle()
	}
}

// SendPeerMessage has nobody to tell: dispatchers share nothing.
func (g *Gateway) SendPeerMessage(control.PeerID, []byte) { g.Metrics.countGuard("note_dropped") }

// SubscribeWorkerList starts or ends the pushing of changes, where discovery is to be asked.
func (g *Gateway) SubscribeWorkerList(on bool) {
	was := g.subscribed
	if g.subscribed = on; on && !was {
		g.Loop.Defer(func() { g.sendWorkerList(control.ListSnapshot) })
	}
}

// FetchWorkerList asks for the whole list once.
func (g *Gateway) FetchWorkerList() { g.Loop.Defer(func() { g.sendWorkerList(control.ListSnapshot) }) }

// SetTimer sets a timer.
func (g *Gateway) SetTimer(after control.Seconds, id control.TimerID) {
	t := g.moduleTimers[id]
	if t == nil {
		t = &eventloop.Timer{}
		t.Fire = func() {
			g.beginBatch()
			if g.module != nil {
				g.deliverTimer(id)
			}
		}
		g.moduleTimers[id] = t
	}
	g.Loop.Start(t, after)
}

// Log passes on what the decisions say.
func (g *Gateway) Log(text string) { g.log.Info().Str("from", "decisions").Msg(text) }

// Stream tells that the answer of an attempt goes to the client as it comes from now on. The other attempts are given up:
// the client has its answer.
func (g *Gateway) startStreaming(f *Attempt) {
	q := f.Request
	q.streamingAttempt = f
	g.Loop.Cancel(&q.deadlineTimer)
	g.Loop.Cancel(&f.timeoutTimer)
	for _, o := range q.attempts[:q.attemptCount] {
		if o != f {
			g.finishAttempt(o, control.Cancelled)
		}
	}
	g.beginBatch()
	if g.module != nil {
		g.callModule(func() { g.module.ResponseStarted(q.id, f.Index, f.Worker.ID, g.Loop.Now()-f.createdAt) })
	}
}

// finishAttempt ends an attempt, once, and has its outcome told in this turn.
func (g *Gateway) finishAttempt(f *Attempt, r control.Result) {
	if f == nil || f.finished {
		return
	}
	if f.finished = true; r == control.TimedOut || r == control.Cancelled || r == control.NotSent {
		if f.blocked || f.Worker.transport.SentAt(f) == 0 && r != control.TimedOut { // never handed to a connection that is up
			r = control.NotSent
		}
		if !f.blocked { // the link has never had it
			f.Worker.transport.CancelAttempt(f)
		}
	}
	g.Loop.Cancel(&f.timeoutTimer)
	g.Loop.Cancel(&f.dedupTimer)
	q, now := f.Request, g.Loop.Now()
	f.result = r
	f.Worker.callsInFlight--
	f.Worker.metrics.attemptFinished(r)
	g.RecordEvent("attempt_ended", resultNames[r], q, f.Worker, now-f.createdAt)
	o := control.AttemptResult{ID: q.id, Attempt: f.Index, Worker: f.Worker.ID, Duration: now - f.createdAt, Result: r, ModelState: f.Response.ModelState,
		SameModelInFlight: f.Response.SameModelInFlight, LoadReport: f.Response.LoadReport[:f.Response.LoadReportLen]}
	if r == control.Succeeded && !q.finished {
		c := q.Responder
		q.Responder = nil
		c.WriteResponse(q, f)
		g.finishRequest(q, outcomeReturned)
	} else if q.streamingAttempt == f && !q.finished { // cut short after it began: the client must see that
		c := q.Responder
		q.Responder = nil
		c.WriteFailure(q, false, "the answer was cut short")
		g.finishRequest(q, outcomeFailed)
	}
	o.RequestAnswered = q.finished
	if len(g.finished) == 0 {
		g.Loop.Defer(g.reportFinishedFn)
	}
	g.finished = append(g.finished, finishedAttempt{request: q, attempt: f, result: o})
}

// reportFinished tells the decisions of the attempts that ended, in order.
func (g *Gateway) reportFinished() {
	g.finished, g.reporting = g.reporting[:0], g.finished
	for i := range g.reporting {
		e := &g.reporting[i]
		if e.attempt != nil {
			e.request.unreportedAttempts--
			e.result.RequestAnswered = e.request.finished
			g.beginBatch()
			if g.module != nil {
				g.deliverAttemptResult(&e.result)
			}
		}
	}
	for i := range g.reporting {
		g.releaseRequest(g.reporting[i].request)
		g.reporting[i] = finishedAttempt{}
	}
}

// The list of workers.
