package gateway

import (
	"mastchute/control"
	"mastchute/internal/membership"
)

// heard takes what a worker told of its start, seconds since 1970.
func (g *Gateway) heard(w *Worker, epoch float64) {
	if epoch <= 0 || epoch == w.Worker.Epoch || w.Told {
		return
	}
	now := g.Loop.Now()
	if g.Members.Started(w.Worker, epoch, g.WallClock().StartAt(epoch, now), now) && w.told {
		g.log.Info().Str("worker", w.Name).Float64("age_s", now-w.Worker.Start).Msg("worker has a start not heard of: empty and cold")
		g.tellWorkers([]*Worker{w})
	}
}

// WallClock relates the wall clock to the loop's.
func (g *Gateway) WallClock() membership.WallClock {
	atStart, now := g.Loop.WallClock()
	return membership.WallClock{AtStart: atStart, Now: now}
}

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

// Skipped tells that a part of a source could not be read and was left out; the rest of it is in force.
func (g *Gateway) Skipped(err error) {
	g.log.Warn().Err(err).Msg("an entry of the list of workers was left out; the others are in force")
	g.Metrics.listFailed.Inc()
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
		g.Note("worker_listed", r.StateName(), nil, w, w.Start)
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
