package gateway

import (
	"math"
	"strconv"

	"mastchute/control"
	"mastchute/internal/eventloop"
	"mastchute/internal/rules"
)

// answer is how a request ended for its client.
type answer uint8

const (
	answerReturned answer = iota
	answerShed
	answerFailed
	answerLeft // the client went first: nobody to answer
	answers
)

func (a answer) String() string { return [...]string{"returned", "shed", "failed", "left"}[a] }

// Request is one in flight: it lives until its final answer is given and no attempt is out.
type Request struct {
	Responder ResponseWriter // nil once answered, or when the client has left

	id                 control.RequestID
	seq                uint64
	model              *Model
	group              *group
	tenant             int
	arrivedAt          float64
	notAfter           float64
	attempted, pending int
	attempts           [maxAttempts]*Attempt
	streaming          *Attempt // the one whose answer goes to the client as it comes
	answered           bool
	live               bool
	gen                uint32
	timer              eventloop.Timer // the client's time
	trace              [16]byte        // its client's name for it, where it has one
}

// Model is the model it asks for, NotAfter the end of the client's time on the loop's clock, Final whether its final
// answer is given.
func (q *Request) Model() *Model     { return q.model }
func (q *Request) Deadline() float64 { return q.notAfter }
func (q *Request) Finished() bool    { return q.answered }

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
	q := g.acquire()
	q.Responder, q.model, q.group, q.arrivedAt, q.tenant = c, m, g.groups[in.Group], cameIn, tenant
	m.refs++
	q.notAfter = math.Min(cameIn+q.group.Timeout.Seconds, in.Deadline)
	in.Deadline = q.notAfter
	span := q.notAfter - g.Loop.Now()
	in.ID, in.Model, in.Tenant = q.id, m.ID, math.MaxUint16
	if tenant >= 0 {
		in.Tenant = control.TenantID(tenant)
	}
	q.group.meter.taken.Inc()
	g.Loop.Start(&q.timer, span)
	g.RecordEvent("taken", q.group.Name, q, nil, span)
	g.begin()
	g.request(&in)
	return q
}

// ClientGone tells that the client has gone, or has taken the request back: nobody is to be answered.
func (g *Gateway) ClientGone(q *Request) {
	if q == nil || !q.live || q.answered {
		return
	}
	q.Responder = nil
	g.close(q, answerLeft)
	if s := q.streaming; s != nil {
		g.end(s, control.Cancelled)
	}
	g.begin()
	if g.module != nil {
		g.guard(func() { g.module.RequestCancelled(q.id) })
	}
}

// acquire takes a slot of the request table.
func (g *Gateway) acquire() *Request {
	if len(g.free) == 0 {
		q := &Request{}
		q.timer.Fire = func() { g.timeUp(q) }
		g.requests = append(g.requests, q)
		g.free = append(g.free, int32(len(g.requests)-1))
	}
	i := g.free[len(g.free)-1]
	g.free = g.free[:len(g.free)-1]
	q := g.requests[i]
	g.seq++
	timer, gen := q.timer, q.gen+1
	*q = Request{timer: timer, gen: gen, live: true, seq: g.seq}
	q.id = control.RequestID(uint32(i) | gen<<slotBits)
	g.inFlight++
	return q
}

// lookupRequest returns a request in flight, nil when it has ended.
func (g *Gateway) lookupRequest(id control.RequestID) *Request {
	if i := int(id & (1<<slotBits - 1)); i < len(g.requests) {
		if q := g.requests[i]; q.live && q.id == id {
			return q
		}
	}
	return nil
}

// release frees the slot once the final answer is given and no attempt is out.
func (g *Gateway) release(q *Request) {
	if !q.live || !q.answered || q.pending > 0 {
		return
	}
	for i := range q.attempts[:q.attempted] {
		f := q.attempts[i]
		q.attempts[i] = nil
		g.putAttempt(f)
	}
	g.Loop.Cancel(&q.timer)
	q.live = false
	q.model.refs--
	q.model = nil
	g.free = append(g.free, int32(q.id&(1<<slotBits-1)))
	g.inFlight--
}

// timeUp guards rule 1: the decisions answer before the client's time; where they have not, this does. Whatever is
// still out then has timed out.
func (g *Gateway) timeUp(q *Request) {
	if !q.live || q.streaming != nil {
		return
	}
	if !q.answered {
		g.Metrics.guard("late")
		g.fail(q, true, "the time is up")
		g.begin()
		if g.module != nil {
			g.guard(func() { g.module.RequestCancelled(q.id) })
		}
	}
	for _, f := range q.attempts[:q.attempted] {
		g.end(f, control.TimedOut)
	}
}

// answerAtStop gives the final answer at a stop: shed where trying again is harmless, as no attempt has run or may or the model
// group is retriable, else failed.
func (g *Gateway) answerAtStop(q *Request, why string) {
	harmless := q.streaming == nil && (q.group.effect == control.Retriable || !q.shedTerms().MayHaveRun)
	if !harmless {
		g.fail(q, false, why)
	} else if c := g.final(q, answerShed); c != nil {
		c.WriteShed(q, 0)
	}
}

// shedTerms is what the rules need to know of a request that is to be shed: what has not left yet never will.
func (q *Request) shedTerms() rules.Request {
	t := rules.Request{Answered: q.answered, Effect: q.group.effect}
	for _, f := range q.attempts[:q.attempted] {
		if f.done && !f.result.NeverRan() || !f.done && f.Worker.link.FullySent(f) {
			t.MayHaveRun = true
		}
	}
	return t
}

// fail gives the final answer that promises nothing.
func (g *Gateway) fail(q *Request, late bool, why string) {
	if c := g.final(q, answerFailed); c != nil {
		c.WriteFailure(q, late, why)
		if q.streaming != nil { // it had begun: it was cut off
			g.end(q.streaming, control.Cancelled)
		}
	}
}

// final books a final answer of our own, and returns the client to give it to.
func (g *Gateway) final(q *Request, a answer) ResponseWriter {
	if q.answered {
		g.Metrics.guard("second_answer")
		return nil
	}
	c := q.Responder
	q.Responder = nil
	g.close(q, a)
	return c
}

func (g *Gateway) appendID(b []byte, q *Request) []byte {
	b = append(b, g.name...)
	return strconv.AppendUint(b, q.seq, 10)
}

// close books the final answer. Rule 1: whatever has not been sent by now never is.
func (g *Gateway) close(q *Request, a answer) {
	q.answered = true
	now := g.Loop.Now()
	q.group.meter.final(a, now-q.arrivedAt)
	g.logFinal(q, a, now)
	g.RecordEvent("final", a.String(), q, nil, now-q.arrivedAt)
	for _, f := range q.attempts[:q.attempted] {
		if !f.done && !f.Worker.link.FullySent(f) {
			g.end(f, control.Cancelled)
		}
	}
	g.Loop.Defer(g.tellFn) // also lets its place go
	g.ended = append(g.ended, ending{q: q})
}
