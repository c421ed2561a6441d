package gateway

import (
	"math"
	"strconv"

	"mastchute/control"
	"mastchute/internal/loop"
)

// answer is how an inference ended for its client.
type answer uint8

const (
	answerReturned answer = iota
	answerShed
	answerFailed
	answerLeft // the client went first: nobody to answer
	answers
)

func (a answer) String() string { return [...]string{"returned", "shed", "failed", "left"}[a] }

// Inference is one in hand: it lives until its final answer is given and no forward is out.
type Inference struct {
	Client Client // nil once answered, or when the client has left

	id       control.RequestID
	seq      uint64
	model    *Model
	group    *group
	tenant   int
	taken    float64
	notAfter float64
	n, out   int
	forwards [mostForwards]*Forward
	stream   *Forward // the one whose answer goes to the client as it comes
	final    bool
	live     bool
	gen      uint32
	timer    loop.Timer // the client's time
}

// Model is the model it asks for, NotAfter the end of the client's time on the loop's clock, Final whether its final
// answer is given.
func (q *Inference) Model() *Model     { return q.model }
func (q *Inference) NotAfter() float64 { return q.notAfter }
func (q *Inference) Final() bool       { return q.final }

// ID names it towards the decisions.
func (q *Inference) ID() control.RequestID { return q.id }

// Tenant is the number of its tenant in the settings, -1 where none is told.
func (q *Inference) Tenant() int { return q.tenant }

// InHand is how many inferences are in hand.
func (g *Gateway) InHand() int { return g.inHand }

// Serving tells whether inferences are taken: not while stopping, nor after the decisions failed.
func (g *Gateway) Serving() bool { return !g.stopping && g.module != nil }

// Take takes an inference: from here on its client is owed one final answer. in says what the client told and the model's
// group; tenant is -1 where none is told.
func (g *Gateway) Take(c Client, m *Model, tenant int, in control.Request) *Inference {
	now := g.Loop.Now()
	q := g.take()
	q.Client, q.model, q.group, q.taken, q.tenant = c, m, g.groups[in.Group], now, tenant
	m.refs++
	span := math.Min(q.group.Timeout.Seconds, in.NotAfter-now)
	q.notAfter = now + span
	in.ID, in.Model, in.Tenant = q.id, m.ID, math.MaxUint16
	if tenant >= 0 {
		in.Tenant = control.TenantID(tenant)
	}
	q.group.meter.taken.Inc()
	g.Loop.Start(&q.timer, span)
	g.begin()
	g.inference(&in)
	return q
}

// Left tells that the client has gone, or has taken the inference back: nobody is to be answered.
func (g *Gateway) Left(q *Inference) {
	if q == nil || !q.live || q.final {
		return
	}
	q.Client = nil
	g.close(q, answerLeft)
	if s := q.stream; s != nil {
		g.end(s, control.Cancelled)
	}
	g.begin()
	if g.module != nil {
		g.guard(func() { g.module.Withdrawn(q.id) })
	}
}

// take takes a place in the slab.
func (g *Gateway) take() *Inference {
	if len(g.free) == 0 {
		q := &Inference{}
		q.timer.Fire = func() { g.timeUp(q) }
		g.slab = append(g.slab, q)
		g.free = append(g.free, int32(len(g.slab)-1))
	}
	i := g.free[len(g.free)-1]
	g.free = g.free[:len(g.free)-1]
	q := g.slab[i]
	g.seq++
	timer, gen := q.timer, q.gen+1
	*q = Inference{timer: timer, gen: gen, live: true, seq: g.seq}
	q.id = control.RequestID(uint32(i) | gen<<slotBits)
	g.inHand++
	return q
}

// find returns an inference in hand, nil when it has ended.
func (g *Gateway) find(id control.RequestID) *Inference {
	if i := int(id & (1<<slotBits - 1)); i < len(g.slab) {
		if q := g.slab[i]; q.live && q.id == id {
			return q
		}
	}
	return nil
}

// letGo frees the place once the final answer is given and no forward is out.
func (g *Gateway) letGo(q *Inference) {
	if !q.live || !q.final || q.out > 0 {
		return
	}
	for i := range q.forwards[:q.n] {
		f := q.forwards[i]
		q.forwards[i] = nil
		g.putForward(f)
	}
	g.Loop.Cancel(&q.timer)
	q.live = false
	q.model.refs--
	q.model = nil
	g.free = append(g.free, int32(q.id&(1<<slotBits-1)))
	g.inHand--
}

// timeUp guards rule 1: the decisions answer before the client's time; where they have not, this does. Whatever is
// still out then has timed out.
func (g *Gateway) timeUp(q *Inference) {
	if !q.live || q.stream != nil {
		return
	}
	if !q.final {
		g.Metrics.guard("late")
		g.fail(q, true, "the time is up")
		g.begin()
		if g.module != nil {
			g.guard(func() { g.module.Withdrawn(q.id) })
		}
	}
	for _, f := range q.forwards[:q.n] {
		g.end(f, control.TimedOut)
	}
}

// letDown gives the final answer at a stop: shed where trying again is harmless, as no forward has run or may or the model
// group is retriable, else failed.
func (g *Gateway) letDown(q *Inference, why string) {
	harmless := q.stream == nil
	if q.group.Effect != "retriable" {
		for _, f := range q.forwards[:q.n] {
			harmless = harmless && (f.done && f.result.NeverRan() || !f.done && !f.W.link.Whole(f))
		}
	}
	if !harmless {
		g.fail(q, false, why)
	} else if c := g.final(q, answerShed); c != nil {
		c.Shed(q, 0)
	}
}

// fail gives the final answer that promises nothing.
func (g *Gateway) fail(q *Inference, late bool, why string) {
	if c := g.final(q, answerFailed); c != nil {
		c.Failed(q, late, why)
		if q.stream != nil { // it had begun: it was cut off
			g.end(q.stream, control.Cancelled)
		}
	}
}

// final books a final answer of our own, and returns the client to give it to.
func (g *Gateway) final(q *Inference, a answer) Client {
	if q.final {
		g.Metrics.guard("second_answer")
		return nil
	}
	c := q.Client
	q.Client = nil
	g.close(q, a)
	return c
}

func (g *Gateway) appendID(b []byte, q *Inference) []byte {
	b = append(b, g.name...)
	return strconv.AppendUint(b, q.seq, 10)
}

// close books the final answer. Rule 1: whatever has not been sent by now never is.
func (g *Gateway) close(q *Inference, a answer) {
	q.final = true
	now := g.Loop.Now()
	q.group.meter.final(a, now-q.taken)
	g.logFinal(q, a, now)
	for _, f := range q.forwards[:q.n] {
		if !f.done && !f.W.link.Whole(f) {
			g.end(f, control.Cancelled)
		}
	}
	g.Loop.Later(g.tellFn) // also lets its place go
	g.ended = append(g.ended, ending{q: q})
}
