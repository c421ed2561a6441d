package gateway

import (
	"cmp"
	"math"
	"strconv"

	"mastchute/control"
	"mastchute/internal/h1"
	"mastchute/internal/http1"
	"mastchute/internal/loop"
	"mastchute/internal/roster"
)

// forward is one sending of an inference to a worker.
type forward struct {
	g       *Gateway
	q       *inference
	n       int
	w       *worker
	call    h1.Call
	head    []byte
	made    float64 // when the decisions asked for it
	timer   loop.Timer
	done    bool
	told    told
	status  int
	headers []byte // of the answer, for the client
	length  int64  // of the answer, -1 for not told
	body    []byte // of the answer, as far as it is held
	result  control.Result
	headAt  float64
}

// ending is an outcome to be told to the decisions; f nil: only lets the inference's place go.
type ending struct {
	q *inference
	f *forward
	o control.Outcome
}

func (g *Gateway) getForward() *forward {
	if n := len(g.forwards); n > 0 {
		f := g.forwards[n-1]
		g.forwards = g.forwards[:n-1]
		return f
	}
	f := &forward{g: g}
	f.call.Caller = f
	f.timer.Fire = func() { g.end(f, control.TimedOut) }
	return f
}

func (g *Gateway) putForward(f *forward) {
	f.q, f.w = nil, nil
	f.head, f.headers, f.body = f.head[:0], f.headers[:0], f.body[:0]
	if cap(f.body) > 64<<10 {
		f.body = nil
	}
	f.told, f.status, f.done = told{}, 0, false
	g.forwards = append(g.forwards, f)
}

// The actions, as control.Actions names them.

// Forward sends an inference to a worker.
func (g *Gateway) Forward(id control.InferenceID, wid control.WorkerID, timeout control.Seconds) {
	q, w := g.find(id), g.workers[wid]
	if q == nil || w == nil || q.n >= mostForwards {
		g.Metrics.guard("unknown")
		return
	}
	f := g.getForward()
	f.q, f.n, f.w, f.made, f.length = q, q.n, w, g.Loop.Now(), -1
	f.call.Peek = 0
	q.forwards[q.n] = f
	q.n++
	q.out++
	w.meter.forwards.Inc()
	if q.final || w.State != control.Ready { // rules 1 and 3, whatever was decided
		g.Metrics.guard("forward_barred")
		g.end(f, control.Moot)
		return
	}
	if timeout > 0 {
		g.Loop.Start(&f.timer, timeout)
	}
	f.head = g.requestHead(f.head[:0], q, f)
	w.Sent()
	w.pool.Do(&f.call, f.head, q.x.Body)
}

// requestHead writes the head of a forward: the client's headers but those of its connection and ours, then ours.
func (g *Gateway) requestHead(b []byte, q *inference, f *forward) []byte {
	h := &q.x.Head
	b = append(b, "POST /v2/models/"...)
	b = append(b, q.model.name...)
	b = append(b, "/infer HTTP/1.1\r\nHost: "...)
	b = f.w.Addr.AppendTo(b)
	b = append(b, "\r\n"...)
	conn, key := h.Get("connection"), false
	for i := range h.Headers {
		n, v := h.Headers[i].Name, h.Headers[i].Value
		if http1.HopByHop(n) || len(conn) > 0 && http1.Listed(conn, n) {
			continue
		}
		if len(n) > 10 && http1.Is(n[:10], "mastchute-") && !http1.Is(n, "mastchute-tenant") && !http1.Is(n, "mastchute-work") {
			continue
		}
		key = key || http1.Is(n, "idempotency-key")
		b = append(b, n...)
		b = append(b, ": "...)
		b = append(b, v...)
		b = append(b, "\r\n"...)
	}
	if !key && q.model.group.Effect != "retriable" { // a mark of our own, good for our own further forwards
		b = append(b, "Idempotency-Key: "...)
		b = g.appendID(b, q)
		b = append(b, "\r\n"...)
	}
	b = append(b, "Mastchute-Inference: "...)
	b = g.appendID(b, q)
	b = append(b, "\r\nMastchute-Forward: "...)
	b = strconv.AppendInt(b, int64(f.n), 10)
	b = append(b, "\r\nMastchute-Dispatcher: "...)
	b = append(b, g.cfg.Name...)
	b = append(b, "\r\nMastchute-Group: "...)
	b = append(b, q.model.group.Name...)
	b = append(b, "\r\nMastchute-Timeout: "...)
	b = appendSeconds(b, math.Max(0.001, q.notAfter-g.Loop.Now()))
	b = append(b, "\r\n"...)
	b = http1.AppendLength(b, int64(len(q.x.Body)))
	return append(b, "\r\n"...)
}

// Shed answers that trying again is harmless.
func (g *Gateway) Shed(id control.InferenceID, retryAfter control.Seconds) {
	if q := g.find(id); q != nil && q.x != nil {
		g.finish(q, answerShed, 503, retryAfter, "no worker can take this now; trying again is harmless")
	}
}

// Fail answers that it did not work out, and promises nothing.
func (g *Gateway) Fail(id control.InferenceID) {
	q := g.find(id)
	if q == nil || q.x == nil {
		return
	}
	if g.Loop.Now() > q.notAfter-0.1 {
		g.finish(q, answerFailed, 504, 0, "no answer came in time; it may have run")
		return
	}
	g.finish(q, answerFailed, 502, 0, "the workers failed; it may have run")
}

// Cancel gives a forward up.
func (g *Gateway) Cancel(id control.InferenceID, n int) {
	if q := g.find(id); q != nil && n < q.n {
		g.end(q.forwards[n], control.Cancelled)
	}
}

// CloseIdle closes the idle connections to a worker.
func (g *Gateway) CloseIdle(id control.WorkerID) {
	if w := g.workers[id]; w != nil {
		w.pool.CloseIdle()
	}
}

// Tell has nobody to tell: dispatchers share nothing.
func (g *Gateway) Tell(control.PeerID, []byte) { g.Metrics.guard("note_dropped") }

// Subscribe starts or ends the pushing of changes, where discovery is to be asked.
func (g *Gateway) Subscribe(on bool) {
	was := g.subscribed
	if g.subscribed = on; on && !was {
		g.Loop.Later(func() { g.tellList(control.ListComplete) })
	}
}

// FetchList asks for the whole list once.
func (g *Gateway) FetchList() { g.Loop.Later(func() { g.tellList(control.ListComplete) }) }

// Wake sets a timer.
func (g *Gateway) Wake(after control.Seconds, id control.TimerID) {
	t := g.wakes[id]
	if t == nil {
		t = &loop.Timer{}
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

// Head implements h1.Caller.
func (f *forward) Head(h *http1.Head) {
	f.headAt = f.g.Loop.Now()
	f.told = classify(h, f.g.cfg.Report)
	f.status, f.length = h.Status, h.Length
	f.g.heard(f.w, &f.told)
	if m := f.q.model; f.told.result == control.Returned { // what the catalogue does not say, workers may
		m.memory = cmp.Or(m.memory, f.told.memory)
		m.lanes = cmp.Or(m.lanes, f.told.lanes)
		m.load = cmp.Or(m.load, f.told.load)
	}
	if f.told.result != control.Returned || f.q.final {
		return
	}
	for i := range h.Headers {
		n := h.Headers[i].Name
		if http1.HopByHop(n) || http1.Is(n, "endpoint-load-metrics") || len(n) > 10 && http1.Is(n[:10], "mastchute-") {
			continue
		}
		f.headers = append(f.headers, n...)
		f.headers = append(f.headers, ": "...)
		f.headers = append(f.headers, h.Headers[i].Value...)
		f.headers = append(f.headers, "\r\n"...)
	}
	if h.Length > f.g.cfg.Limits.Answer.Bytes {
		f.g.stream(f)
	}
}

// Body implements h1.Caller: an answer is held whole up to a limit, and goes through as it comes beyond it.
func (f *forward) Body(b []byte) {
	switch {
	case f.told.result != control.Returned || f.q.final && f.q.stream != f:
		return
	case f.q.stream == f:
		if !f.q.x.Write(b) {
			f.call.Pause()
		}
	default:
		f.body = append(f.body, b...)
		if int64(len(f.body)) > f.g.cfg.Limits.Answer.Bytes {
			f.g.stream(f)
		}
	}
}

// stream begins to pass an answer on as it comes. The other forwards are given up: the client has its answer.
func (g *Gateway) stream(f *forward) {
	q := f.q
	q.stream = f
	g.Loop.Cancel(&q.timer)
	g.Loop.Cancel(&f.timer)
	b := q.x.Start(f.status)
	b = g.marks(b, q, answerReturned)
	b = append(b, f.headers...)
	q.x.Stream(b, f.length)
	if len(f.body) > 0 && !q.x.Write(f.body) {
		f.call.Pause()
	}
	f.body = f.body[:0]
	for _, o := range q.forwards[:q.n] {
		if o != f {
			g.end(o, control.Cancelled)
		}
	}
	g.begin()
	if g.module != nil {
		g.guard(func() { g.module.Streaming(q.id, f.n, f.w.ID, g.Loop.Now()-f.made) })
	}
}

// End implements h1.Caller.
func (f *forward) End(err error) {
	if err != nil {
		f.g.end(f, lost(err, f.call.Wrote()))
		return
	}
	f.g.end(f, f.told.result)
}

// end ends a forward, once, and has its outcome told in this turn.
func (g *Gateway) end(f *forward, r control.Result) {
	if f == nil || f.done {
		return
	}
	if f.done = true; r == control.TimedOut || r == control.Cancelled || r == control.Moot {
		if f.call.Peek == 0 && r != control.TimedOut { // never handed to a connection that is up
			r = control.Moot
		}
		f.call.Cancel()
	}
	g.Loop.Cancel(&f.timer)
	q, now := f.q, g.Loop.Now()
	f.result = r
	f.w.meter.ended(r)
	o := control.Outcome{ID: q.id, Forward: f.n, Worker: f.w.ID, Took: now - f.made, Result: r, Found: f.told.found,
		Crowd: f.told.crowd, Report: f.told.report[:f.told.fields]}
	if r == control.Returned && !q.final {
		x := q.x
		q.x = nil
		if q.stream == f {
			x.End()
		} else {
			b := x.Start(f.status)
			b = g.marks(b, q, answerReturned)
			b = append(b, f.headers...)
			x.Finish(b, f.body)
		}
		g.close(q, answerReturned, f.status)
	} else if q.stream == f && !q.final { // cut short after it began: the client must see that
		x := q.x
		q.x = nil
		x.Break()
		g.close(q, answerFailed, f.status)
	}
	o.Final = q.final
	if len(g.ended) == 0 {
		g.Loop.Later(g.tellFn)
	}
	g.ended = append(g.ended, ending{q: q, f: f, o: o})
}

// tell tells the decisions of the forwards that ended, in order.
func (g *Gateway) tell() {
	g.ended, g.ending = g.ending[:0], g.ended
	for i := range g.ending {
		e := &g.ending[i]
		if e.f != nil {
			e.q.out--
			e.o.Final = e.q.final
			g.begin()
			if g.module != nil {
				g.outcome(&e.o)
			}
		}
	}
	for i := range g.ending {
		g.letGo(g.ending[i].q)
		g.ending[i] = ending{}
	}
}

// heard takes what any answer tells of its worker and model.
func (g *Gateway) heard(w *worker, t *told) {
	if t.start <= 0 || t.start == w.Epoch {
		return
	}
	if start := t.start - g.epoch; g.Roster.Started(w.Worker, t.start, start, g.Loop.Now()) && w.told {
		g.log.Info().Str("worker", w.Name).Float64("age_s", g.Loop.Now()-start).Msg("worker has a start not heard of: empty and cold")
		g.tellWorkers([]*worker{w})
	}
}

// order is a call to a worker that serves no inference: a load order, an unload, a probe, or the first hello.
type order struct {
	g     *Gateway
	kind  orderKind
	w     *worker
	model control.ModelID
	call  h1.Call
	head  []byte
	body  []byte
	made  float64
	timer loop.Timer
	told  told
	done  bool
}

type orderKind uint8

const (
	orderLoad orderKind = iota
	orderUnload
	orderProbe
	orderHello
)

func (g *Gateway) getOrder(kind orderKind, w *worker, m control.ModelID) *order {
	var o *order
	if n := len(g.orders); n > 0 {
		o = g.orders[n-1]
		g.orders = g.orders[:n-1]
	} else {
		o = &order{g: g}
		o.call.Caller = o
		p := o
		o.timer.Fire = func() { p.finish(control.TimedOut) }
	}
	o.kind, o.w, o.model, o.made, o.done, o.told = kind, w, m, g.Loop.Now(), false, told{}
	o.call.Peek = 0
	return o
}

func (o *order) send(method, target string, body string, timeout float64) {
	b := http1.AppendRequest(o.head[:0], method, target)
	b = append(b, "Host: "...)
	b = o.w.Addr.AppendTo(b)
	b = append(b, "\r\nMastchute-Dispatcher: "...)
	b = append(b, o.g.cfg.Name...)
	b = append(b, "\r\n"...)
	if method == "POST" {
		b = append(b, "Content-Type: application/json\r\n"...)
		b = http1.AppendLength(b, int64(len(body)))
	}
	o.head, o.body = append(b, "\r\n"...), append(o.body[:0], body...)
	o.g.Loop.Start(&o.timer, timeout)
	o.w.pool.Do(&o.call, o.head, o.body)
}

// Order asks a worker to hold copies of a model.
func (g *Gateway) Order(id control.WorkerID, m control.ModelID, copies int) {
	w, name := g.workers[id], g.modelID[m]
	if w == nil || name == nil {
		g.Metrics.guard("unknown")
		return
	}
	o := g.getOrder(orderLoad, w, m)
	g.Metrics.orders.Inc()
	if w.State != control.Ready { // rule 3
		g.Metrics.guard("order_barred")
		g.Loop.Later(func() { o.finish(control.Moot) })
		return
	}
	o.send("POST", "/v2/repository/models/"+name.name+"/load", `{"parameters":{"copies":`+strconv.Itoa(copies)+`}}`,
		g.cfg.Loads.Timeout.Seconds)
}

// Unload asks a worker to unload the idle copies of a model.
func (g *Gateway) Unload(id control.WorkerID, m control.ModelID) {
	if w, name := g.workers[id], g.modelID[m]; w != nil && name != nil {
		g.getOrder(orderUnload, w, m).send("POST", "/v2/repository/models/"+name.name+"/unload", "{}", g.cfg.Loads.Timeout.Seconds)
	}
}

// Probe asks a worker for its load report.
func (g *Gateway) Probe(id control.WorkerID) {
	if w := g.workers[id]; w != nil {
		g.Metrics.probes.Inc()
		g.getOrder(orderProbe, w, 0).send("GET", "/v2/load", "", helloSpan)
	}
}

// Head implements h1.Caller.
func (o *order) Head(h *http1.Head) {
	o.told = classify(h, o.g.cfg.Report)
	o.g.heard(o.w, &o.told)
}

// Body implements h1.Caller.
func (o *order) Body([]byte) {}

// End implements h1.Caller.
func (o *order) End(err error) {
	if err != nil {
		o.finish(lost(err, o.call.Wrote()))
		return
	}
	o.finish(o.told.result)
}

func (o *order) finish(r control.Result) {
	if o.done {
		return
	}
	o.done = true
	g := o.g
	o.call.Cancel()
	g.Loop.Cancel(&o.timer)
	took := g.Loop.Now() - o.made
	switch o.kind {
	case orderLoad:
		g.begin()
		if g.module != nil {
			res := control.OrderResult{Worker: o.w.ID, Model: o.model, Result: r, Took: took, Copies: o.told.copies}
			g.guard(func() { g.module.Ordered(res) })
		}
	case orderProbe:
		g.begin()
		if g.module != nil {
			res := control.ProbeResult{Worker: o.w.ID, Result: r, Took: took, Report: o.told.report[:o.told.fields]}
			g.guard(func() { g.module.Probed(res) })
		}
	case orderHello:
		o.w.hello = nil
		g.greeted(o.w, r == control.Returned)
	}
	g.Loop.Later(func() { g.orders = append(g.orders, o) })
}

// The list of workers.

// Replace sets what a source of the roster names, and tells the decisions what changed.
func (g *Gateway) Replace(s roster.Source, list []roster.Entry) error {
	changed, err := g.Roster.Replace(s, list, g.Loop.Now())
	g.changed(changed)
	return err
}

// Rule sets what the admin interface says of a worker, and tells the decisions.
func (g *Gateway) Rule(e roster.Entry) error {
	changed, err := g.Roster.Rule(e, g.Loop.Now())
	g.changed(changed)
	return err
}

// ListFailed tells that a source of the roster could not be read; the list as it was stays in force.
func (g *Gateway) ListFailed(err error) {
	g.log.Warn().Err(err).Msg("list of workers not read; the last one stays in force")
	g.Metrics.listFailed.Inc()
	g.begin()
	if g.module != nil && g.cfg.Roster.Discovery == "ask" {
		g.guard(func() { g.module.Workers(control.ListFailed, g.Roster.Version, nil) })
	}
}

func (g *Gateway) changed(list []*roster.Worker) {
	var tell []*worker
	for _, r := range list {
		w := g.workers[r.ID]
		if w == nil || w.pool.Addr != r.Addr {
			if w != nil { // it moved: another process, of which nothing is known
				w.pool.Close()
				w.pool.Abandon()
				if w.hello != nil {
					w.hello.call.Cancel()
				}
			} else {
				w = &worker{Worker: r, meter: g.Metrics.worker(r.Name)}
				g.workers[r.ID] = w
			}
			l := g.cfg.Limits
			w.pool = h1.NewPool(g.Loop, r.Addr, h1.PoolOptions{Conns: l.WorkerConnections, Idle: l.WorkerIdle,
				IdleTimeout: l.WorkerIdleTimeout.Seconds, ConnectTimeout: l.ConnectTimeout.Seconds,
				Lost: func() {
					if w.Lost() {
						g.greet(w)
					}
				}})
		}
		g.log.Info().Str("worker", r.Name).Str("address", r.Addr.String()).Str("state", r.StateName()).
			Uint32("version", r.Version).Stringer("from", r.From).Msg("worker listed")
		if r.State != control.Ready {
			w.pool.Abandon() // what waits for a connection there must not be sent now
		}
		if w.told {
			tell = append(tell, w)
		}
		if r.State == control.Ready && (!w.told || r.Held()) {
			g.greet(w)
		}
	}
	g.tellWorkers(tell)
}

// greet asks a worker for its start.
func (g *Gateway) greet(w *worker) {
	if w.hello == nil && w.State == control.Ready {
		w.Ask()
		w.hello = g.getOrder(orderHello, w, 0)
		w.hello.send("GET", "/v2/load", "", helloSpan)
	}
}

// greeted tells the decisions of a worker once its start is known, or could not be learned; what did not answer is
// asked again.
func (g *Gateway) greeted(w *worker, ok bool) {
	if again := w.Answered(ok, g.rnd.Float64()); again > 0 && w.State == control.Ready {
		if w.again.Fire == nil {
			w.again.Fire = func() { g.greet(w) }
		}
		g.Loop.Start(&w.again, again)
	}
	if held := g.Roster.Greeted(w.Worker); !w.told || held {
		w.told = true
		g.tellWorkers([]*worker{w})
	}
}

func (g *Gateway) tellWorkers(list []*worker) {
	if len(list) == 0 || !g.subscribed {
		return
	}
	var lines []control.WorkerInfo
	for _, w := range list {
		lines = append(lines, w.Line())
	}
	g.begin()
	if g.module != nil {
		g.guard(func() { g.module.Workers(control.ListChanges, g.Roster.Version, lines) })
	}
}

func (g *Gateway) tellList(kind control.ListKind) {
	var lines []control.WorkerInfo
	for _, r := range g.Roster.All() {
		if w := g.workers[r.ID]; w != nil && w.told {
			lines = append(lines, w.Line())
		}
	}
	g.begin()
	if g.module != nil {
		g.guard(func() { g.module.Workers(kind, g.Roster.Version, lines) })
	}
}
