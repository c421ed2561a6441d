package gateway

import (
	"mastchute/control"
	"mastchute/internal/membership"
)

// observeStart takes what a worker told of its start, seconds since 1970.
func (g *Gateway) observeStart(w *Worker, epoch float64) {
	if epoch <= 0 || epoch == w.Worker.Epoch || w.StartProvided {
		return
	}
	now := g.Loop.Now()
	if g.Members.ObserveStart(w.Worker, epoch, g.WallClock().ToMonotonic(epoch, now), now) && w.announced {
		g.log.Info().Str("worker", w.Name).Float64("age_s", now-w.Worker.StartedAt).Msg("worker has a start not heard of: empty and cold")
		g.notifyWorkers([]*Worker{w})
	}
}

// WallClock relates the wall clock to the loop's.
func (g *Gateway) WallClock() membership.WallClock {
	atStart, now := g.Loop.WallClock()
	return membership.WallClock{OffsetAtStart: atStart, OffsetNow: now}
}

// ReplaceWorkers sets what a source of the list of workers names, and tells the decisions what changed.
func (g *Gateway) ReplaceWorkers(s membership.Source, list []membership.Entry) error {
	changed, err := g.Members.Replace(s, list, g.Loop.Now())
	g.applyWorkerChanges(changed)
	return err
}

// UpdateWorkers takes what a source of the list of workers says of some workers, and tells the decisions.
func (g *Gateway) UpdateWorkers(s membership.Source, list []membership.Entry) error {
	changed, err := g.Members.Update(s, list, g.Loop.Now())
	g.applyWorkerChanges(changed)
	return err
}

// SetAdminState sets what the admin interface says of a worker, and tells the decisions.
func (g *Gateway) SetAdminState(e membership.Entry) error {
	changed, err := g.Members.SetAdminState(e, g.Loop.Now())
	g.applyWorkerChanges(changed)
	return err
}

// WorkerListFailed tells that a source of the list of workers could not be read; the list as it was stays in force.
func (g *Gateway) WorkerListFailed(err error) {
	g.log.Warn().Err(err).Msg("list of workers not read; the last one stays in force")
	g.Metrics.listFailures.Inc()
	g.beginBatch()
	if g.module != nil && g.cfg.Roster.Discovery == "ask" {
		g.callModule(func() { g.module.UpdateWorkers(control.ListFailed, g.Members.Version, nil) })
	}
}

// WorkerEntrySkipped tells that a part of a source could not be read and was left out; the rest of it is in force.
func (g *Gateway) WorkerEntrySkipped(err error) {
	g.log.Warn().Err(err).Msg("an entry of the list of workers was left out; the others are in force")
	g.Metrics.listFailures.Inc()
}

func (g *Gateway) applyWorkerChanges(list []*membership.Worker) {
	var tell []*Worker
	for _, r := range list {
		w := g.workers[r.ID]
		if w == nil || w.transportAddr != r.Addr || r.StartProvided && w.transportEpoch != r.Epoch {
			if w != nil { // it moved or started anew: another process, of which nothing is known
				w.transport.Close()
				w.transport.FailUnsent()
				if w.startupProbeCall != nil {
					w.transport.CancelControlCall(w.startupProbeCall)
				}
			} else {
				w = &Worker{Worker: r, metrics: g.Metrics.forWorker(r.Name)}
				g.workers[r.ID] = w
			}
			w.transportAddr, w.transportEpoch, w.transport = r.Addr, r.Epoch, g.clients.NewWorkerTransport(w)
		}
		g.log.Info().Str("worker", r.Name).Str("address", r.Addr.String()).Str("state", r.StateName()).
			Uint32("version", r.Version).Stringer("from", r.Source).Msg("worker listed")
		g.RecordEvent("worker_listed", r.StateName(), nil, w, w.StartedAt)
		if r.State != control.Ready {
			w.transport.FailUnsent() // what waits for a connection there must not be sent now
			if r.State == control.Gone {
				w.transport.CloseIdle()
			}
		}
		if w.announced || r.StartProvided {
			w.announced = true
			tell = append(tell, w)
		}
		if r.StartProvided {
			continue
		}
		if r.State == control.Ready && (!w.announced || r.AwaitingStartupProbe()) {
			g.startStartupProbe(w)
		}
	}
	g.notifyWorkers(tell)
}

// startStartupProbe asks a worker for its start.
func (g *Gateway) startStartupProbe(w *Worker) {
	if w.startupProbeCall == nil && w.State == control.Ready {
		w.BeginProbe()
		w.startupProbeCall = g.allocateControlCall(CallStartupProbe, w, nil)
		w.startupProbeCall.send(probeTimeout)
	}
}

// finishStartupProbe tells the decisions of a worker once its start is known, or could not be learned; what did not answer is
// asked again.
func (g *Gateway) finishStartupProbe(w *Worker, ok bool) {
	if again := w.ProbeFinished(ok, g.random.Float64()); again > 0 && w.State == control.Ready {
		if w.probeRetryTimer.Fire == nil {
			w.probeRetryTimer.Fire = func() { g.startStartupProbe(w) }
		}
		g.Loop.Start(&w.probeRetryTimer, again)
	}
	if held := g.Members.FinishStartupProbe(w.Worker); !w.announced || held {
		w.announced = true
		g.notifyWorkers([]*Worker{w})
	}
}

func (g *Gateway) notifyWorkers(list []*Worker) {
	if len(list) == 0 || !g.subscribed {
		return
	}
	var lines []control.WorkerInfo
	for _, w := range list {
		lines = append(lines, w.Advertised())
	}
	g.beginBatch()
	if g.module != nil {
		g.callModule(func() { g.module.UpdateWorkers(control.ListDelta, g.Members.Version, lines) })
	}
}

func (g *Gateway) sendWorkerList(kind control.WorkerListKind) {
	var lines []control.WorkerInfo
	for _, r := range g.Members.All() {
		if w := g.workers[r.ID]; w != nil && w.announced {
			lines = append(lines, w.Advertised())
		}
	}
	g.beginBatch()
	if g.module != nil {
		g.callModule(func() { g.module.UpdateWorkers(kind, g.Members.Version, lines) })
	}
}
