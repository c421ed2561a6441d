package gateway

import (
	"math"
	"path"
	"strconv"

	"mastchute/control"
	"mastchute/internal/h1"
	"mastchute/internal/http1"
	"mastchute/internal/loop"
)

func matches(pattern, name string) bool {
	ok, err := path.Match(pattern, name)
	return ok && err == nil
}

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

// inference is one in hand: it lives until its final answer is given and no forward is out.
type inference struct {
	id       control.InferenceID
	seq      uint64
	x        *h1.Exchange // nil once answered, or when the client has left
	model    *model
	tenant   int
	taken    float64
	notAfter float64
	n, out   int
	forwards [mostForwards]*forward
	stream   *forward // the one whose answer goes to the client as it comes
	final    bool
	live     bool
	repeat   bool
	gen      uint32
	timer    loop.Timer // the client's time
}

// Begin implements h1.Service: refusals before the body is read, and the small paths.
func (g *Gateway) Begin(x *h1.Exchange) bool {
	h := &x.Head
	name, verb, ok := modelPath(h.Target)
	switch {
	case ok && string(verb) == "infer":
		if !http1.Is(h.Method, "post") {
			return g.refuse(x, "method", 405, "write POST")
		}
	case ok && string(verb) == "ready" && (http1.Is(h.Method, "get") || http1.Is(h.Method, "head")):
		m, err := g.lookup(name)
		if m == nil || err != nil {
			return g.refuse(x, "unknown_model", 404, "no such model in the catalogue")
		}
		return g.health(x, g.ready())
	case string(h.Target) == "/v2/health/live":
		return g.health(x, g.exit.Crash == "")
	case string(h.Target) == "/v2/health/ready":
		return g.health(x, g.ready())
	default:
		return g.refuse(x, "path", 404, "no such path; inferences go to POST /v2/models/NAME/infer")
	}
	m, err := g.lookup(name)
	switch {
	case err != nil:
		return g.refuse(x, "model_id", 409, "this model cannot be taken: "+err.Error())
	case m == nil:
		return g.refuse(x, "unknown_model", 404, "no such model in the catalogue")
	case g.stopping || g.module == nil:
		x.CloseAfter()
		return g.refuse(x, "stopping", 503, "the dispatcher is stopping")
	case g.inHand >= g.cfg.Limits.Inferences:
		return g.refuse(x, "too_many", 503, "too many inferences are in hand")
	}
	if t := h.Get("mastchute-tenant"); len(t) > 0 && len(g.tenants) > 0 {
		if _, ok := g.tenants[string(t)]; !ok {
			return g.refuse(x, "unknown_tenant", 400, "no such tenant in the settings")
		}
	}
	for _, n := range []string{"mastchute-timeout", "mastchute-work"} {
		if v := h.Get(n); v != nil && !(number(v) > 0) {
			return g.refuse(x, "header", 400, n+" is no positive decimal number of seconds")
		}
	}
	return false
}

func (g *Gateway) health(x *h1.Exchange, well bool) bool {
	if !well {
		x.Problem(503, "not ready")
		return true
	}
	x.Finish(x.Start(200), nil)
	return true
}

// ready tells whether there is a worker to forward to.
func (g *Gateway) ready() bool {
	if g.stopping || g.module == nil {
		return false
	}
	for _, w := range g.workers {
		if w.told && w.State == control.Ready {
			return true
		}
	}
	return false
}

// refuse answers before an inference is taken: no Mastchute-Answer, since nothing was taken.
func (g *Gateway) refuse(x *h1.Exchange, why string, status int, text string) bool {
	g.Metrics.refused(why)
	b := x.Start(status)
	b = http1.AppendHeader(b, "Content-Type", h1.ProblemType)
	if status == 503 {
		b = append(b, "Retry-After: 1\r\n"...)
	}
	if status == 405 {
		b = append(b, "Allow: POST\r\n"...)
	}
	x.Finish(b, h1.AppendProblem(nil, status, text))
	return true
}

// Refused implements h1.Service.
func (g *Gateway) Refused(e *http1.Error) { g.Metrics.refused("http_" + strconv.Itoa(e.Status)) }

// Request implements h1.Service: an inference is taken.
func (g *Gateway) Request(x *h1.Exchange) {
	name, _, _ := modelPath(x.Head.Target)
	m, err := g.lookup(name)
	if m == nil || err != nil || g.stopping || g.module == nil || g.inHand >= g.cfg.Limits.Inferences {
		g.refuse(x, "stopping", 503, "the dispatcher is stopping or full") // since its head came in
		return
	}
	now := g.Loop.Now()
	q := g.take()
	q.x, q.model, q.taken, q.tenant = x, m, now, -1
	x.Owner = q
	span := m.group.Timeout.Seconds
	notAfter := math.Inf(1)
	if v := x.Head.Get("mastchute-timeout"); v != nil {
		notAfter = now + number(v)
		span = math.Min(span, number(v))
	}
	q.notAfter = now + span
	q.repeat = http1.Is(x.Head.Get("mastchute-repeat"), "true")
	in := control.Inference{ID: q.id, Model: m.id, Group: m.group.index, Tenant: math.MaxUint16, MemoryMB: m.memory,
		Lanes: m.lanes, Load: m.load, NotAfter: notAfter, Repeat: q.repeat, Work: number(x.Head.Get("mastchute-work"))}
	if t := x.Head.Get("mastchute-tenant"); len(t) > 0 {
		if i, ok := g.tenants[string(t)]; ok {
			q.tenant, in.Tenant = i, control.TenantID(i)
		}
	}
	m.group.meter.taken.Inc()
	g.Loop.Start(&q.timer, span)
	g.begin()
	g.inference(&in)
}

// Left implements h1.Service: the client has gone.
func (g *Gateway) Left(x *h1.Exchange) {
	q, _ := x.Owner.(*inference)
	if q == nil || !q.live || q.final {
		return
	}
	q.x = nil
	g.close(q, answerLeft, 0)
	if s := q.stream; s != nil {
		g.end(s, control.Cancelled)
	}
	g.begin()
	if g.module != nil {
		g.guard(func() { g.module.Withdrawn(q.id) })
	}
}

// Drained implements h1.Service: a streamed answer has room again.
func (g *Gateway) Drained(x *h1.Exchange) {
	if q, _ := x.Owner.(*inference); q != nil && q.stream != nil {
		q.stream.call.Resume()
	}
}

// take takes a place in the slab.
func (g *Gateway) take() *inference {
	if len(g.free) == 0 {
		q := &inference{}
		q.timer.Fire = func() { g.timeUp(q) }
		g.slab = append(g.slab, q)
		g.free = append(g.free, int32(len(g.slab)-1))
	}
	i := g.free[len(g.free)-1]
	g.free = g.free[:len(g.free)-1]
	q := g.slab[i]
	g.seq++
	timer, gen := q.timer, q.gen+1
	*q = inference{timer: timer, gen: gen, live: true, seq: g.seq}
	q.id = control.InferenceID(uint32(i) | gen<<slotBits)
	g.inHand++
	return q
}

// find returns an inference in hand, nil when it has ended.
func (g *Gateway) find(id control.InferenceID) *inference {
	if i := int(id & (1<<slotBits - 1)); i < len(g.slab) {
		if q := g.slab[i]; q.live && q.id == id {
			return q
		}
	}
	return nil
}

// letGo frees the place once the final answer is given and no forward is out.
func (g *Gateway) letGo(q *inference) {
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
	q.model = nil
	g.free = append(g.free, int32(q.id&(1<<slotBits-1)))
	g.inHand--
}

// timeUp guards rule 1: the decisions answer before the client's time; where they have not, this does. Whatever is
// still out then has timed out.
func (g *Gateway) timeUp(q *inference) {
	if !q.live || q.stream != nil {
		return
	}
	if !q.final {
		g.Metrics.guard("late")
		g.finish(q, answerFailed, 504, 0, "the time is up")
		g.begin()
		if g.module != nil {
			g.guard(func() { g.module.Withdrawn(q.id) })
		}
	}
	for _, f := range q.forwards[:q.n] {
		g.end(f, control.TimedOut)
	}
}

// finish gives a final answer of our own.
func (g *Gateway) finish(q *inference, a answer, status int, retry float64, why string) {
	if q.final {
		g.Metrics.guard("second_answer")
		return
	}
	x := q.x
	q.x = nil
	g.close(q, a, status)
	if q.stream != nil { // the answer has begun: it can only be cut off
		x.Break()
		g.end(q.stream, control.Cancelled)
		return
	}
	b := x.Start(status)
	b = g.marks(b, q, a)
	b = append(b, "Content-Type: application/problem+json\r\n"...)
	if a == answerShed {
		b = append(b, "Retry-After: "...)
		b = strconv.AppendInt(b, int64(math.Ceil(retry)), 10)
		b = append(b, "\r\nMastchute-Retry-After: "...)
		b = appendSeconds(b, retry)
		b = append(b, "\r\n"...)
	}
	g.scratch = h1.AppendProblem(g.scratch[:0], status, why)
	x.Finish(b, g.scratch)
}

// marks are the headers of every final answer.
func (g *Gateway) marks(b []byte, q *inference, a answer) []byte {
	b = append(b, "Mastchute-Answer: "...)
	b = append(b, a.String()...)
	b = append(b, "\r\nMastchute-Inference: "...)
	b = g.appendID(b, q)
	return append(b, "\r\n"...)
}

func (g *Gateway) appendID(b []byte, q *inference) []byte {
	b = append(b, g.name...)
	return strconv.AppendUint(b, q.seq, 10)
}

// close books the final answer. Rule 1: whatever has not been sent by now never is.
func (g *Gateway) close(q *inference, a answer, status int) {
	q.final = true
	now := g.Loop.Now()
	q.model.group.meter.final(a, now-q.taken)
	g.logFinal(q, a, status, now)
	for _, f := range q.forwards[:q.n] {
		if !f.done && !f.call.Whole() {
			g.end(f, control.Cancelled)
		}
	}
	g.Loop.Later(g.tellFn) // also lets its place go
	g.ended = append(g.ended, ending{q: q})
}
