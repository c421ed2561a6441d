package gateway

import (
	"math"

	"mastchute/control"
	"mastchute/internal/loop"
	"mastchute/internal/membership"
)

// ending is an outcome to be told to the decisions; f nil: only lets the request's place go.
type ending struct {
	q *Request
	f *Attempt
	o control.Outcome
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
		if f.Worker.link.Handed(f) == 0 {
			g.end(f, control.NotSent)
		}
	}
	return f
}

func (g *Gateway) putAttempt(f *Attempt) {
	f.Request, f.Worker = nil, nil
	f.Body = f.Body[:0]
	if cap(f.Body) > 64<<10 {
		f.Body = nil
	}
	f.Reply, f.done, f.barred = Reply{}, false, false
	g.freeAttempts = append(g.freeAttempts, f)
}

// The actions, as control.Actions names them.

// Attempt sends a request to a worker.
func (g *Gateway) Attempt(id control.RequestID, wid control.WorkerID, timeout control.Seconds) {
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
	if q.answered || w.State != control.Ready { // rules 1 and 3, whatever was decided
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
	w.link.Send(f)
}

// repeatsUntil is when the window ends in which workers drop a repeat, counted from the first attempt that may have run;
// endless where there is none, or where repeats do no harm.
func (q *Request) repeatsUntil() float64 {
	if q.group.Effect == "deduped" {
		for _, f := range q.attempts[:q.attempted-1] {
			if !f.done || !f.result.NeverRan() {
				return f.made + q.group.Window.Seconds
			}
		}
	}
	return math.Inf(1)
}

// Shed answers that trying again is harmless.
func (g *Gateway) Shed(id control.RequestID, retryAfter control.Seconds) {
	if q := g.lookupRequest(id); q != nil && q.Client != nil {
		if c := g.final(q, answerShed); c != nil {
			c.Shed(q, retryAfter)
		}
	}
}

// Fail answers that it did not work out, and promises nothing.
func (g *Gateway) Fail(id control.RequestID) {
	q := g.lookupRequest(id)
	if q == nil || q.Client == nil {
		return
	}
	if g.Loop.Now() > q.notAfter-0.1 {
		g.fail(q, true, "no answer came in time; it may have run")
		return
	}
	g.fail(q, false, "the workers failed; it may have run")
}

// Cancel gives an attempt up.
func (g *Gateway) Cancel(id control.RequestID, n int) {
	if q := g.lookupRequest(id); q != nil && n < q.attempted {
		g.end(q.attempts[n], control.Cancelled)
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
		g.guard(func() { g.module.Streaming(q.id, f.Index, f.Worker.ID, g.Loop.Now()-f.made) })
	}
}

// end ends an attempt, once, and has its outcome told in this turn.
func (g *Gateway) end(f *Attempt, r control.Result) {
	if f == nil || f.done {
		return
	}
	if f.done = true; r == control.TimedOut || r == control.Cancelled || r == control.NotSent {
		if f.barred || f.Worker.link.Handed(f) == 0 && r != control.TimedOut { // never handed to a connection that is up
			r = control.NotSent
		}
		if !f.barred { // the link has never had it
			f.Worker.link.Cancel(f)
		}
	}
	g.Loop.Cancel(&f.timer)
	g.Loop.Cancel(&f.window)
	q, now := f.Request, g.Loop.Now()
	f.result = r
	f.Worker.pending--
	f.Worker.meter.ended(r)
	o := control.Outcome{ID: q.id, Attempt: f.Index, Worker: f.Worker.ID, Took: now - f.made, Result: r, Found: f.Reply.Found,
		Crowd: f.Reply.Crowd, Report: f.Reply.Report[:f.Reply.Fields]}
	if r == control.Returned && !q.answered {
		c := q.Client
		q.Client = nil
		c.Returned(q, f)
		g.close(q, answerReturned)
	} else if q.streaming == f && !q.answered { // cut short after it began: the client must see that
		c := q.Client
		q.Client = nil
		c.Failed(q, false, "the answer was cut short")
		g.close(q, answerFailed)
	}
	o.Final = q.answered
	if len(g.ended) == 0 {
		g.Loop.Later(g.tellFn)
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
			e.o.Final = e.q.answered
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

// heard takes what a worker told of its start, seconds since 1970.
func (g *Gateway) heard(w *Worker, epoch float64) {
	if epoch <= 0 || epoch == w.Worker.Epoch || w.Told {
		return
	}
	if start := epoch - g.epoch; g.Members.Started(w.Worker, epoch, start, g.Loop.Now()) && w.told {
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
	o.Kind, o.Worker, o.Model, o.Copies, o.made, o.done, o.Reply = kind, w, m, 1, g.Loop.Now(), false, Reply{}
	w.pending++
	if m != nil {
		m.refs++
	}
	return o
}

func (o *Order) send(timeout float64) {
	o.g.Loop.Start(&o.timer, timeout)
	o.Worker.link.Order(o)
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
		o.Worker.link.Drop(o)
	}
	g.Loop.Cancel(&o.timer)
	took := g.Loop.Now() - o.made
	o.Worker.pending--
	if o.Model != nil {
		o.Model.refs--
	}
	switch o.Kind {
	case OrderLoad:
		g.begin()
		if g.module != nil {
			res := control.OrderResult{Worker: o.Worker.ID, Model: o.Model.ID, Result: r, Took: took, Copies: o.Reply.Copies}
			g.guard(func() { g.module.Ordered(res) })
		}
	case OrderProbe:
		g.begin()
		if g.module != nil {
			res := control.ProbeResult{Worker: o.Worker.ID, Result: r, Took: took, Report: o.Reply.Report[:o.Reply.Fields]}
			g.guard(func() { g.module.Probed(res) })
		}
	case OrderHello:
		o.Worker.hello = nil
		g.greeted(o.Worker, r == control.Returned)
	}
	g.Loop.Later(func() { g.orders = append(g.orders, o) })
}

// The list of workers.

// Replace sets what a source of the list of workers names, and tells the decisions what changed.
func (g *Gateway) Replace(s membership.Source, list []membership.Entry) error {
	changed, err := g.Members.Replace(s, list, g.Loop.Now())
	g.changed(changed)
	return err
}

// Change takes what a source of the list of workers says of some workers, and tells the decisions.
func (g *Gateway) Change(s membership.Source, list []membership.Entry) error {
	changed, err := g.Members.Change(s, list, g.Loop.Now())
	g.changed(changed)
	return err
}

// Rule sets what the admin interface says of a worker, and tells the decisions.
func (g *Gateway) Rule(e membership.Entry) error {
	changed, err := g.Members.Rule(e, g.Loop.Now())
	g.changed(changed)
	return err
}

// ListFailed tells that a source of the list of workers could not be read; the list as it was stays in force.
func (g *Gateway) ListFailed(err error) {
	g.log.Warn().Err(err).Msg("list of workers not read; the last one stays in force")
	g.Metrics.listFailed.Inc()
	g.begin()
	if g.module != nil && g.cfg.Roster.Discovery == "ask" {
		g.guard(func() { g.module.Workers(control.ListFailed, g.Members.Version, nil) })
	}
}

func (g *Gateway) changed(list []*membership.Worker) {
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
	if held := g.Members.Greeted(w.Worker); !w.told || held {
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
		g.guard(func() { g.module.Workers(control.ListChanges, g.Members.Version, lines) })
	}
}

func (g *Gateway) tellList(kind control.ListKind) {
	var lines []control.WorkerInfo
	for _, r := range g.Members.All() {
		if w := g.workers[r.ID]; w != nil && w.told {
			lines = append(lines, w.Line())
		}
	}
	g.begin()
	if g.module != nil {
		g.guard(func() { g.module.Workers(kind, g.Members.Version, lines) })
	}
}
