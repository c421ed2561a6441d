package gateway

import (
	"math"
	"strconv"

	"mastchute/control"
	"mastchute/internal/eventloop"
	"mastchute/internal/rules"
)

// outcome is how a request ended for its client.
type outcome uint8

const (
	outcomeReturned outcome = iota
	outcomeShed
	outcomeFailed
	outcomeClientGone // the client went first: nobody to answer
	outcomeCount
)

func (a outcome) String() string { return [...]string{"returned", "shed", "failed", "left"}[a] }

// Request is one in flight: it lives until its final answer is given and no attempt is out.
type Request struct {
	Responder ResponseWriter // nil once answered, or when the client has left

	id                               control.RequestID
	seq                              uint64
	model                            *Model
	group                            *group
	tenant                           int
	arrivedAt                        float64
	deadline                         float64
	attemptCount, unreportedAttempts int
	attempts                         [maxAttempts]*Attempt
	streamingAttempt                 *Attempt // the one whose answer goes to the client as it comes
	finished                         bool
	inUse                            bool
	generation                       uint32
	deadlineTimer                    eventloop.Timer // the client's time
	traceID                          [16]byte        // its client's name for it, where it has one
}

// Model is the model it asks for, NotAfter the end of the client's time on the loop's clock, Final whether its final
// answer is given.
func (q *Request) Model() *Model     { return q.model }
func (q *Request) Deadline() float64 { return q.deadline }
func (q *Request) Finished() bool    { return q.finished }

// ID names it towards the decisions.
func (q *Request) ID() control.RequestID { return q.id }

// Tenant is the number of its tenant in the settings, -1 where none is told.
func (q *Request) Tenant() int { return q.tenant }

// InFlight is how many requests are in flight.
func (g *Gateway) InFlight() int { return g.inFlight }

// Serving tells whether requests are taken: not while stopping, nor after the decisions failed.
func (g *Gateway) Serving() bool { return !g.stopping && g.module != nil }

// AcceptRequest takes a request: from here on its client is owed one final answer. in says what the client told and the model's
// group; tenant is -1 where none is told. cameIn is when it came in: its time counts from then.
func (g *Gateway) AcceptRequest(c ResponseWriter, m *Model, tenant int, cameIn float64, in control.Request) *Request {
	q := g.allocateRequest()
	q.Responder, q.model, q.group, q.arrivedAt, q.tenant = c, m, g.groups[in.Group], cameIn, tenant
	m.inFlight++
	q.deadline = math.Min(cameIn+q.group.Timeout.Seconds, in.Deadline)
	in.Deadline = q.deadline
	span := q.deadline - g.Loop.Now()
	in.ID, in.Model, in.Tenant = q.id, m.ID, math.MaxUint16
	if tenant >= 0 {
		in.Tenant = control.TenantID(tenant)
	}
	q.group.metrics.accepted.Inc()
	g.Loop.Start(&q.deadlineTimer, span)
	g.RecordEvent("taken", q.group.Name, q, nil, span)
	g.beginBatch()
	g.deliverRequest(&in)
	return q
}

// ClientGone tells that the client has gone, or has taken the request back: nobody is to be answered.
func (g *Gateway) ClientGone(q *Request) {
	if q == nil || !q.inUse || q.finished {
		return
	}
	q.Responder = nil
	g.finishRequest(q, outcomeClientGone)
	if s := q.streamingAttempt; s != nil {
		g.finishAttempt(s, control.Cancelled)
	}
	g.beginBatch()
	if g.module != nil {
		g.callModule(func() { g.module.RequestCancelled(q.id) })
	}
}

// allocateRequest takes a slot of the request table.
func (g *Gateway) allocateRequest() *Request {
	if len(g.freeSlots) == 0 {
		q := &Request{}
		q.deadlineTimer.Fire = func() { g.deadlineExceeded(q) }
		g.requests = append(g.requests, q)
		g.freeSlots = append(g.freeSlots, int32(len(g.requests)-1))
	}
	i := g.freeSlots[len(g.freeSlots)-1]
	g.freeSlots = g.freeSlots[:len(g.freeSlots)-1]
	q := g.requests[i]
	g.lastSeq++
	timer, gen := q.deadlineTimer, q.generation+1
	*q = Request{deadlineTimer: timer, generation: gen, inUse: true, seq: g.lastSeq}
	q.id = control.RequestID(uint32(i) | gen<<requestSlotBits)
	g.inFlight++
	return q
}

// findRequest returns a request in flight, nil when it has ended.
func (g *Gateway) findRequest(id control.RequestID) *Request {
	if i := int(id & (1<<requestSlotBits - 1)); i < len(g.requests) {
		if q := g.requests[i]; q.inUse && q.id == id {
			return q
		}
	}
	return nil
}

// releaseRequest frees the slot once the final answer is given and no attempt is out.
func (g *Gateway) releaseRequest(q *Request) {
	if !q.inUse || !q.finished || q.unreportedAttempts > 0 {
		return
	}
	for i := range q.attempts[:q.attemptCount] {
		f := q.attempts[i]
		q.attempts[i] = nil
		g.recycleAttempt(f)
	}
	g.Loop.Cancel(&q.deadlineTimer)
	q.inUse = false
	q.model.inFlight--
	q.model = nil
	g.freeSlots = append(g.freeSlots, int32(q.id&(1<<requestSlotBits-1)))
	g.inFlight--
}

// deadlineExceeded guards rule 1: the decisions answer before the client's time; where they have not, this does. Whatever is
// still out then has timed out.
func (g *Gateway) deadlineExceeded(q *Request) {
	if !q.inUse || q.streamingAttempt != nil {
		return
	}
	if !q.finished {
		g.Metrics.countGuard("late")
		g.failRequest(q, true, "the time is up")
		g.beginBatch()
		if g.module != nil {
			g.callModule(func() { g.module.RequestCancelled(q.id) })
		}
	}
	for _, f := range q.attempts[:q.attemptCount] {
		g.finishAttempt(f, control.TimedOut)
	}
}

// finishAtShutdown gives the final answer at a stop: shed where trying again is harmless, as no attempt has run or may or the model
// group is retriable, else failed.
func (g *Gateway) finishAtShutdown(q *Request, why string) {
	harmless := q.streamingAttempt == nil && (q.group.effect == control.Retriable || !q.shedFacts().MayHaveRun)
	if !harmless {
		g.failRequest(q, false, why)
	} else if c := g.takeResponder(q, outcomeShed); c != nil {
		c.WriteShed(q, 0)
	}
}

// shedFacts is what the rules need to know of a request that is to be shed: what has not left yet never will.
func (q *Request) shedFacts() rules.Request {
	t := rules.Request{Answered: q.finished, Effect: q.group.effect}
	for _, f := range q.attempts[:q.attemptCount] {
		if f.finished && !f.result.NeverRan() || !f.finished && f.Worker.transport.FullySent(f) {
			t.MayHaveRun = true
		}
	}
	return t
}

// failRequest gives the final answer that promises nothing.
func (g *Gateway) failRequest(q *Request, late bool, why string) {
	if c := g.takeResponder(q, outcomeFailed); c != nil {
		c.WriteFailure(q, late, why)
		if q.streamingAttempt != nil { // it had begun: it was cut off
			g.finishAttempt(q.streamingAttempt, control.Cancelled)
		}
	}
}

// takeResponder books a final answer of our own, and returns the client to give it to.
func (g *Gateway) takeResponder(q *Request, a outcome) ResponseWriter {
	if q.finished {
		g.Metrics.countGuard("second_answer")
		return nil
	}
	c := q.Responder
	q.Responder = nil
	g.finishRequest(q, a)
	return c
}

func (g *Gateway) appendRequestID(b []byte, q *Request) []byte {
	b = append(b, g.requestIDPrefix...)
	return strconv.AppendUint(b, q.seq, 10)
}

// finishRequest books the final answer. Rule 1: whatever has not been sent by now never is.
func (g *Gateway) finishRequest(q *Request, a outcome) {
	q.finished = true
	now := g.Loop.Now()
	q.group.metrics.requestFinished(a, now-q.arrivedAt)
	g.logFinished(q, a, now)
	g.RecordEvent("final", a.String(), q, nil, now-q.arrivedAt)
	for _, f := range q.attempts[:q.attemptCount] {
		if !f.finished && !f.Worker.transport.FullySent(f) {
			g.finishAttempt(f, control.Cancelled)
		}
	}
	g.Loop.Defer(g.reportFinishedFn) // also lets its place go
	g.finished = append(g.finished, finishedAttempt{request: q})
}
