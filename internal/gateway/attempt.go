package gateway

import (
	"math"

	"mastchute/control"
	"mastchute/internal/eventloop"
	"mastchute/internal/rules"
)

// ending is an outcome to be told to the decisions; f nil: only lets the request's place go.
type ending struct {
	q *Request
	f *Attempt
	o control.AttemptResult
}

func (g *Gateway) getAttempt() *Attempt {
	if n := len(g.freeAttempts); n > 0 {
		f := g.freeAttempts[n-1]
		g.freeAttempts = g.freeAttempts[:n-1]
		return f
	}
	f := &Attempt{g: g}
	f.timer.Fire = func() { g.end(f, control.TimedOut) }
	f.window.Fire = func() {
		if f.Worker.link.SentAt(f) == 0 {
			g.end(f, control.NotSent)
		}
	}
	return f
}

func (g *Gateway) putAttempt(f *Attempt) {
	f.Request, f.Worker = nil, nil
	f.ResponseBody = f.ResponseBody[:0]
	if cap(f.ResponseBody) > 64<<10 {
		f.ResponseBody = nil
	}
	f.Response, f.done, f.barred = WorkerResponse{}, false, false
	g.freeAttempts = append(g.freeAttempts, f)
}

// The actions, as control.Actions names them.

// SendAttempt sends a request to a worker.
func (g *Gateway) SendAttempt(id control.RequestID, wid control.WorkerID, timeout control.Seconds) {
	q, w := g.lookupRequest(id), g.workers[wid]
	if q == nil || w == nil || q.attempted >= maxAttempts {
		g.Metrics.guard("unknown")
		return
	}
	f := g.getAttempt()
	f.Request, f.Index, f.Worker, f.made = q, q.attempted, w, g.Loop.Now()
	w.pending++
	q.attempts[q.attempted] = f
	q.attempted++
	q.pending++
	w.meter.attempts.Inc()
	g.RecordEvent("attempt", "", q, w, timeout)
	terms := q.terms(w, f.Index)
	if why := rules.CheckAttempt(f.made, terms, w.ready()); why != rules.Allowed { // whatever was decided
		g.Metrics.guard("forward_barred")
		g.violation(why, "attempt", q, w)
		f.barred = true
		g.end(f, control.NotSent)
		return
	}
	if timeout > 0 {
		g.Loop.Start(&f.timer, timeout)
	}
	if f.SendDeadline = repeatsUntil(terms); !math.IsInf(f.SendDeadline, 1) {
		g.Loop.Start(&f.window, f.SendDeadline-f.made)
	}
	w.MarkSent()
	w.link.SendAttempt(f)
}

// Shed answers that trying again is harmless.
func (g *Gateway) Shed(id control.RequestID, retryAfter control.Seconds) {
	if q := g.lookupRequest(id); q != nil && q.Responder != nil {
		if why := rules.CheckShed(q.shedTerms()); why != rules.Allowed {
			g.violation(why, "shed", q, nil)
			g.fail(q, false, "it may have run")
			return
		}
		if c := g.final(q, answerShed); c != nil {
			c.WriteShed(q, retryAfter)
		}
	}
}

// Fail answers that it did not work out, and promises nothing.
func (g *Gateway) Fail(id control.RequestID) {
	q := g.lookupRequest(id)
	if q == nil || q.Responder == nil {
		return
	}
	if g.Loop.Now() > q.notAfter-0.1 {
		g.fail(q, true, "no answer came in time; it may have run")
		return
	}
	g.fail(q, false, "the workers failed; it may have run")
}

// CancelAttempt gives an attempt up.
func (g *Gateway) CancelAttempt(id control.RequestID, n int) {
	if q := g.lookupRequest(id); q != nil && n < q.attempted {
		g.end(q.attempts[n], control.Cancelled)
	}
}

// CloseIdleConnections closes the idle connections to a worker.
func (g *Gateway) CloseIdleConnections(id control.WorkerID) {
	if w := g.workers[id]; w != nil {
		w.link.CloseIdle()
	}
}

// SendPeerMessage has nobody to tell: dispatchers share nothing.
func (g *Gateway) SendPeerMessage(control.PeerID, []byte) { g.Metrics.guard("note_dropped") }

// SubscribeWorkerList starts or ends the pushing of changes, where discovery is to be asked.
func (g *Gateway) SubscribeWorkerList(on bool) {
	was := g.subscribed
	if g.subscribed = on; on && !was {
		g.Loop.Defer(func() { g.tellList(control.ListSnapshot) })
	}
}

// FetchWorkerList asks for the whole list once.
func (g *Gateway) FetchWorkerList() { g.Loop.Defer(func() { g.tellList(control.ListSnapshot) }) }

// SetTimer sets a timer.
func (g *Gateway) SetTimer(after control.Seconds, id control.TimerID) {
	t := g.wakes[id]
	if t == nil {
		t = &eventloop.Timer{}
		t.Fire = func() {
			g.begin()
			if g.module != nil {
				g.timer(id)
			}
		}
		g.wakes[id] = t
	}
	g.Loop.Start(t, after)
}

// Log passes on what the decisions say.
func (g *Gateway) Log(text string) { g.log.Info().Str("from", "decisions").Msg(text) }

// Stream tells that the answer of an attempt goes to the client as it comes from now on. The other attempts are given up:
// the client has its answer.
func (g *Gateway) stream(f *Attempt) {
	q := f.Request
	q.streaming = f
	g.Loop.Cancel(&q.timer)
	g.Loop.Cancel(&f.timer)
	for _, o := range q.attempts[:q.attempted] {
		if o != f {
			g.end(o, control.Cancelled)
		}
	}
	g.begin()
	if g.module != nil {
		g.guard(func() { g.module.ResponseStarted(q.id, f.Index, f.Worker.ID, g.Loop.Now()-f.made) })
	}
}

// end ends an attempt, once, and has its outcome told in this turn.
func (g *Gateway) end(f *Attempt, r control.Result) {
	if f == nil || f.done {
		return
	}
	if f.done = true; r == control.TimedOut || r == control.Cancelled || r == control.NotSent {
		if f.barred || f.Worker.link.SentAt(f) == 0 && r != control.TimedOut { // never handed to a connection that is up
			r = control.NotSent
		}
		if !f.barred { // the link has never had it
			f.Worker.link.CancelAttempt(f)
		}
	}
	g.Loop.Cancel(&f.timer)
	g.Loop.Cancel(&f.window)
	q, now := f.Request, g.Loop.Now()
	f.result = r
	f.Worker.pending--
	f.Worker.meter.ended(r)
	g.RecordEvent("attempt_ended", resultNames[r], q, f.Worker, now-f.made)
	o := control.AttemptResult{ID: q.id, Attempt: f.Index, Worker: f.Worker.ID, Duration: now - f.made, Result: r, ModelState: f.Response.ModelState,
		SameModelInFlight: f.Response.SameModelInFlight, LoadReport: f.Response.LoadReport[:f.Response.LoadReportLen]}
	if r == control.Succeeded && !q.answered {
		c := q.Responder
		q.Responder = nil
		c.WriteResponse(q, f)
		g.close(q, answerReturned)
	} else if q.streaming == f && !q.answered { // cut short after it began: the client must see that
		c := q.Responder
		q.Responder = nil
		c.WriteFailure(q, false, "the answer was cut short")
		g.close(q, answerFailed)
	}
	o.RequestAnswered = q.answered
	if len(g.ended) == 0 {
		g.Loop.Defer(g.tellFn)
	}
	g.ended = append(g.ended, ending{q: q, f: f, o: o})
}

// tell tells the decisions of the attempts that ended, in order.
func (g *Gateway) tell() {
	g.ended, g.ending = g.ending[:0], g.ended
	for i := range g.ending {
		e := &g.ending[i]
		if e.f != nil {
			e.q.pending--
			e.o.RequestAnswered = e.q.answered
			g.begin()
			if g.module != nil {
				g.outcome(&e.o)
			}
		}
	}
	for i := range g.ending {
		g.release(g.ending[i].q)
		g.ending[i] = ending{}
	}
}

// The list of workers.
