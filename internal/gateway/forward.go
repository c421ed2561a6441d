package gateway

import (
	"math"

	"mastchute/control"
	"mastchute/internal/loop"
	"mastchute/internal/roster"
)

// ending is an outcome to be told to the decisions; f nil: only lets the inference's place go.
type ending struct {
	q *Inference
	f *Forward
	o control.Outcome
}

func (g *Gateway) getForward() *Forward {
	if n := len(g.forwards); n > 0 {
		f := g.forwards[n-1]
		g.forwards = g.forwards[:n-1]
		return f
	}
	f := &Forward{g: g}
	f.timer.Fire = func() { g.end(f, control.TimedOut) }
	f.window.Fire = func() {
		if f.W.link.Handed(f) == 0 {
			g.end(f, control.NotSent)
		}
	}
	return f
}

func (g *Gateway) putForward(f *Forward) {
	f.Q, f.W = nil, nil
	f.Body = f.Body[:0]
	if cap(f.Body) > 64<<10 {
		f.Body = nil
	}
	f.Heard, f.done, f.barred = Heard{}, false, false
	g.forwards = append(g.forwards, f)
}

// The actions, as control.Actions names them.

// Forward sends an inference to a worker.
func (g *Gateway) Attempt(id control.RequestID, wid control.WorkerID, timeout control.Seconds) {
	q, w := g.find(id), g.workers[wid]
	if q == nil || w == nil || q.n >= mostForwards {
		g.Metrics.guard("unknown")
		return
	}
	f := g.getForward()
	f.Q, f.N, f.W, f.made = q, q.n, w, g.Loop.Now()
	w.out++
	q.forwards[q.n] = f
	q.n++
	q.out++
	w.meter.forwards.Inc()
	if q.final || w.State != control.Ready { // rules 1 and 3, whatever was decided
		g.Metrics.guard("forward_barred")
		f.barred = true
		g.end(f, control.NotSent)
		return
	}
	if timeout > 0 {
		g.Loop.Start(&f.timer, timeout)
	}
	if f.NotAfter = q.repeatsUntil(); !math.IsInf(f.NotAfter, 1) {
		g.Loop.Start(&f.window, f.NotAfter-f.made)
	}
	w.Sent()
	w.link.Forward(f)
}

// repeatsUntil is when the window ends in which workers drop a repeat, counted from the first forward that may have run;
// endless where there is none, or where repeats do no harm.
func (q *Inference) repeatsUntil() float64 {
	if q.group.Effect == "deduped" {
		for _, f := range q.forwards[:q.n-1] {
			if !f.done || !f.result.NeverRan() {
				return f.made + q.group.Window.Seconds
			}
		}
	}
	return math.Inf(1)
}

// Shed answers that trying again is harmless.
func (g *Gateway) Shed(id control.RequestID, retryAfter control.Seconds) {
	if q := g.find(id); q != nil && q.Client != nil {
		if c := g.final(q, answerShed); c != nil {
			c.Shed(q, retryAfter)
		}
	}
}

// Fail answers that it did not work out, and promises nothing.
func (g *Gateway) Fail(id control.RequestID) {
	q := g.find(id)
	if q == nil || q.Client == nil {
		return
	}
	if g.Loop.Now() > q.notAfter-0.1 {
		g.fail(q, true, "no answer came in time; it may have run")
		return
	}
	g.fail(q, false, "the workers failed; it may have run")
}

// Cancel gives a forward up.
func (g *Gateway) Cancel(id control.RequestID, n int) {
	if q := g.find(id); q != nil && n < q.n {
		g.end(q.forwards[n], control.Cancelled)
	}
}

// CloseIdle closes the idle connections to a worker.
func (g *Gateway) CloseIdle(id control.WorkerID) {
	if w := g.workers[id]; w != nil {
		w.link.CloseIdle()
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

// Stream tells that the answer of a forward goes to the client as it comes from now on. The other forwards are given up:
// the client has its answer.
func (g *Gateway) stream(f *Forward) {
	q := f.Q
	q.stream = f
	g.Loop.Cancel(&q.timer)
	g.Loop.Cancel(&f.timer)
	for _, o := range q.forwards[:q.n] {
		if o != f {
			g.end(o, control.Cancelled)
		}
	}
	g.begin()
	if g.module != nil {
		g.guard(func() { g.module.Streaming(q.id, f.N, f.W.ID, g.Loop.Now()-f.made) })
	}
}

// end ends a forward, once, and has its outcome told in this turn.
func (g *Gateway) end(f *Forward, r control.Result) {
	if f == nil || f.done {
		return
	}
	if f.done = true; r == control.TimedOut || r == control.Cancelled || r == control.NotSent {
		if f.barred || f.W.link.Handed(f) == 0 && r != control.TimedOut { // never handed to a connection that is up
			r = control.NotSent
		}
		if !f.barred { // the link has never had it
			f.W.link.Cancel(f)
		}
	}
	g.Loop.Cancel(&f.timer)
	g.Loop.Cancel(&f.window)
	q, now := f.Q, g.Loop.Now()
	f.result = r
	f.W.out--
	f.W.meter.ended(r)
	o := control.Outcome{ID: q.id, Attempt: f.N, Worker: f.W.ID, Took: now - f.made, Result: r, Found: f.Heard.Found,
		Crowd: f.Heard.Crowd, Report: f.Heard.Report[:f.Heard.Fields]}
	if r == control.Returned && !q.final {
		c := q.Client
		q.Client = nil
		c.Returned(q, f)
		g.close(q, answerReturned)
	} else if q.stream == f && !q.final { // cut short after it began: the client must see that
		c := q.Client
		q.Client = nil
		c.Failed(q, false, "the answer was cut short")
		g.close(q, answerFailed)
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

// heard takes what a worker told of its start, seconds since 1970.
func (g *Gateway) heard(w *Worker, epoch float64) {
	if epoch <= 0 || epoch == w.Worker.Epoch || w.Told {
		return
	}
	if start := epoch - g.epoch; g.Roster.Started(w.Worker, epoch, start, g.Loop.Now()) && w.told {
		g.log.Info().Str("worker", w.Name).Float64("age_s", g.Loop.Now()-start).Msg("worker has a start not heard of: empty and cold")
		g.tellWorkers([]*Worker{w})
	}
}

func (g *Gateway) getOrder(kind OrderKind, w *Worker, m *Model) *Order {
	var o *Order
	if n := len(g.orders); n > 0 {
		o = g.orders[n-1]
		g.orders = g.orders[:n-1]
	} else {
		o = &Order{g: g}
		p := o
		o.timer.Fire = func() { p.finish(control.TimedOut) }
	}
	o.Kind, o.W, o.Model, o.Copies, o.made, o.done, o.Heard = kind, w, m, 1, g.Loop.Now(), false, Heard{}
	w.out++
	if m != nil {
		m.refs++
	}
	return o
}

func (o *Order) send(timeout float64) {
	o.g.Loop.Start(&o.timer, timeout)
	o.W.link.Order(o)
}

// Order asks a worker to hold copies of a model.
func (g *Gateway) Order(id control.WorkerID, m control.ModelID, copies int) {
	w, model := g.workers[id], g.models.byID[m]
	if w == nil || model == nil {
		g.Metrics.guard("unknown")
		return
	}
	o := g.getOrder(OrderLoad, w, model)
	o.Copies = copies
	g.Metrics.orders.Inc()
	if w.State != control.Ready { // rule 3
		g.Metrics.guard("order_barred")
		g.Loop.Later(func() { o.finish(control.NotSent) })
		return
	}
	o.send(g.cfg.Loads.Timeout.Seconds)
}

// Unload asks a worker to unload the idle copies of a model.
func (g *Gateway) Unload(id control.WorkerID, m control.ModelID) {
	if w, model := g.workers[id], g.models.byID[m]; w != nil && model != nil {
		g.getOrder(OrderUnload, w, model).send(g.cfg.Loads.Timeout.Seconds)
	}
}

// Probe asks a worker for its load report.
func (g *Gateway) Probe(id control.WorkerID) {
	if w := g.workers[id]; w != nil {
		g.Metrics.probes.Inc()
		g.getOrder(OrderProbe, w, nil).send(helloSpan)
	}
}

func (o *Order) finish(r control.Result) {
	if o.done {
		return
	}
	o.done = true
	g := o.g
	if r == control.TimedOut || r == control.NotSent {
		o.W.link.Drop(o)
	}
	g.Loop.Cancel(&o.timer)
	took := g.Loop.Now() - o.made
	o.W.out--
	if o.Model != nil {
		o.Model.refs--
	}
	switch o.Kind {
	case OrderLoad:
		g.begin()
		if g.module != nil {
			res := control.OrderResult{Worker: o.W.ID, Model: o.Model.ID, Result: r, Took: took, Copies: o.Heard.Copies}
			g.guard(func() { g.module.Ordered(res) })
		}
	case OrderProbe:
		g.begin()
		if g.module != nil {
			res := control.ProbeResult{Worker: o.W.ID, Result: r, Took: took, Report: o.Heard.Report[:o.Heard.Fields]}
			g.guard(func() { g.module.Probed(res) })
		}
	case OrderHello:
		o.W.hello = nil
		g.greeted(o.W, r == control.Returned)
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

// Change takes what a source of the roster says of some workers, and tells the decisions.
func (g *Gateway) Change(s roster.Source, list []roster.Entry) error {
	changed, err := g.Roster.Change(s, list, g.Loop.Now())
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
	var tell []*Worker
	for _, r := range list {
		w := g.workers[r.ID]
		if w == nil || w.addr != r.Addr || r.Told && w.epoch != r.Epoch {
			if w != nil { // it moved or started anew: another process, of which nothing is known
				w.link.Close()
				w.link.Abandon()
				if w.hello != nil {
					w.link.Drop(w.hello)
				}
			} else {
				w = &Worker{Worker: r, meter: g.Metrics.worker(r.Name)}
				g.workers[r.ID] = w
			}
			w.addr, w.epoch, w.link = r.Addr, r.Epoch, g.front.Link(w)
		}
		g.log.Info().Str("worker", r.Name).Str("address", r.Addr.String()).Str("state", r.StateName()).
			Uint32("version", r.Version).Stringer("from", r.From).Msg("worker listed")
		if r.State != control.Ready {
			w.link.Abandon() // what waits for a connection there must not be sent now
			if r.State == control.Gone {
				w.link.CloseIdle()
			}
		}
		if w.told || r.Told {
			w.told = true
			tell = append(tell, w)
		}
		if r.Told {
			continue
		}
		if r.State == control.Ready && (!w.told || r.Held()) {
			g.greet(w)
		}
	}
	g.tellWorkers(tell)
}

// greet asks a worker for its start.
func (g *Gateway) greet(w *Worker) {
	if w.hello == nil && w.State == control.Ready {
		w.Ask()
		w.hello = g.getOrder(OrderHello, w, nil)
		w.hello.send(helloSpan)
	}
}

// greeted tells the decisions of a worker once its start is known, or could not be learned; what did not answer is
// asked again.
func (g *Gateway) greeted(w *Worker, ok bool) {
	if again := w.Answered(ok, g.rnd.Float64()); again > 0 && w.State == control.Ready {
		if w.again.Fire == nil {
			w.again.Fire = func() { g.greet(w) }
		}
		g.Loop.Start(&w.again, again)
	}
	if held := g.Roster.Greeted(w.Worker); !w.told || held {
		w.told = true
		g.tellWorkers([]*Worker{w})
	}
}

func (g *Gateway) tellWorkers(list []*Worker) {
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
