package gateway

import (
	"fmt"
	"net/netip"

	"mastchute/control"
	"mastchute/internal/config"
	"mastchute/internal/membership"
)

// This file applies the endpoint list, whose sources are merged by package membership. Each worker gets a transport, is probed
// for its start time, and is announced to the control module.

// WorkerEntries returns configured workers as entries of the endpoint list.
func WorkerEntries(workers []config.Worker) ([]membership.Entry, error) {
	var entries []membership.Entry
	for _, w := range workers {
		addr, err := netip.ParseAddrPort(w.Address)
		if err != nil {
			return nil, fmt.Errorf("address of worker %q: %w", w.Name, err)
		}
		entry := membership.Entry{Name: w.Name, Addr: addr, Zone: w.Zone, Cell: w.Cell, Kind: w.Kind, Weight: w.Weight, State: control.Ready}
		if entry.Weight == 0 {
			entry.Weight = 1
		}
		switch w.State {
		case "draining":
			entry.State = control.Draining
		case "gone":
			entry.State = control.Gone
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// ReplaceWorkers replaces all workers of a source, and notifies the control module of the changes. If it returns an error,
// nothing has changed.
func (g *Gateway) ReplaceWorkers(source membership.Source, entries []membership.Entry) error {
	changed, err := g.Members.Replace(source, entries, g.Loop.Now())
	g.applyWorkerChanges(changed)
	return err
}

// UpdateWorkers updates some workers of a source, and notifies the control module of the changes. If it returns an error,
// nothing has changed.
func (g *Gateway) UpdateWorkers(source membership.Source, entries []membership.Entry) error {
	changed, err := g.Members.Update(source, entries, g.Loop.Now())
	g.applyWorkerChanges(changed)
	return err
}

// SetAdminState sets a worker's state as requested by the admin interface, and notifies the control module of the change. If
// it returns an error, nothing has changed.
func (g *Gateway) SetAdminState(entry membership.Entry) error {
	changed, err := g.Members.SetAdminState(entry, g.Loop.Now())
	g.applyWorkerChanges(changed)
	return err
}

// EndpointListFailed records that a source of the endpoint list could not be read. The previous list remains in effect.
func (g *Gateway) EndpointListFailed(err error) {
	g.log.Warn().Err(err).Msg("list of workers not read; the last one stays in force")
	g.Metrics.listFailures.Inc()
	g.beginBatch()
	if g.discovery == control.DiscoverySubscribe {
		g.callModule(func(module control.Module) { module.UpdateWorkers(control.ListFailed, g.Members.Version, nil) })
	}
}

// EndpointEntrySkipped records that an entry of a source was skipped because it could not be read. The other entries take
// effect.
func (g *Gateway) EndpointEntrySkipped(err error) {
	g.log.Warn().Err(err).Msg("worker list entry skipped")
	g.Metrics.listFailures.Inc()
}

// applyWorkerChanges updates the transports of changed members of the list, and announces the workers to the control module.
func (g *Gateway) applyWorkerChanges(changed []*membership.Worker) {
	var announce []*Worker
	incarnationsChanged := false
	for i := 0; i < len(changed); i++ {
		member := changed[i]
		w := g.workerFor(member)
		if g.recordOccupant(w, g.Loop.Now()) {
			incarnationsChanged = true
			for _, replaced := range g.replacedAt(w.address) {
				changed = append(changed, g.Members.MarkReplaced(replaced.Worker, g.Loop.Now())...)
			}
		}
		g.log.Info().Str("worker", member.Name).Str("address", member.Addr.String()).Str("state", member.StateName()).
			Uint32("version", member.Version).Stringer("from", member.Source).Msg("worker listed")
		g.RecordEvent("worker_changed", member.StateName(), nil, w, w.StartedAt)
		if member.State != control.Ready {
			w.transport.FailUnsent() // a worker that is not ready must get no new work
		}
		if member.State == control.Gone {
			w.transport.CloseIdle()
		}
		if w.announced || member.StartProvided {
			w.announced = true
			announce = append(announce, w)
		}
		needsProbe := !w.announced || member.AwaitingStartupProbe()
		if needsProbe && !member.StartProvided && member.State == control.Ready {
			g.sendStartupProbe(w)
		}
	}
	if incarnationsChanged { // first, as the changes let the control module retry attempts at workers that are gone
		g.traceAttempts()
	}
	g.notifyWorkers(announce)
	if incarnationsChanged {
		g.reportIdentities()
	}
}

// workerFor returns the gateway's record of a member of the list, with a transport to its current address and process.
func (g *Gateway) workerFor(member *membership.Worker) *Worker {
	w := g.workers[member.ID]
	isRestarted := w != nil && member.StartProvided && w.transportStartEpoch != member.StartEpoch
	if w != nil && w.transportAddr == member.Addr && !isRestarted && w.transportGroup == groupOfMember(member) {
		return w
	}
	if w == nil {
		w = &Worker{Worker: member, metrics: g.Metrics.forWorker(member.Name)}
		g.workers[member.ID] = w
	} else { // the worker has another process or another place
		w.lease.Revoke()
		if w.transportAddr != member.Addr {
			w.address.Gone(w.Name, g.Loop.Now())
		}
		w.transport.Close()
		w.transport.FailUnsent()
		if w.startupProbeCommand != nil {
			w.transport.CancelWorkerCommand(w.startupProbeCommand)
		}
	}
	w.transportAddr = member.Addr
	w.transportGroup = groupOfMember(member)
	w.address = g.addressOf(member.Addr)
	w.transportStartEpoch = member.StartEpoch
	w.transport = g.clients.NewWorkerTransport(w)
	return w
}

// sendStartupProbe probes a ready worker for its start time, unless such a probe is in flight.
func (g *Gateway) sendStartupProbe(w *Worker) {
	if w.startupProbeCommand != nil || w.State != control.Ready {
		return
	}
	w.BeginProbe()
	w.startupProbeCommand = g.allocateWorkerCommand(CommandStartupProbe, w, nil)
	g.sendWorkerCommand(w.startupProbeCommand, probeTimeout)
}

// finishStartupProbe announces a worker after a startup probe even if its start time is not known, and schedules another probe
// if it did not respond.
func (g *Gateway) finishStartupProbe(w *Worker, succeeded bool) {
	retryAfter := w.ProbeFinished(succeeded, g.random.Float64())
	if retryAfter > 0 && w.State == control.Ready {
		if w.probeRetryTimer.Fire == nil {
			w.probeRetryTimer.Fire = func() { g.sendStartupProbe(w) }
		}
		g.Loop.StartTimer(&w.probeRetryTimer, retryAfter)
	}
	wasAwaitingProbe := g.Members.FinishStartupProbe(w.Worker)
	if !w.announced || wasAwaitingProbe {
		w.announced = true
		g.notifyWorkers([]*Worker{w})
	}
}

// observeStart records the start time that a worker reports, in seconds since 1970, and notifies the control module if the
// worker has restarted, so that it has no models loaded.
func (g *Gateway) observeStart(w *Worker, epoch float64) {
	if epoch <= 0 || epoch == w.Worker.StartEpoch || w.StartProvided {
		return
	}
	now := g.Loop.Now()
	startedAt := g.WallClock().ToMonotonic(epoch, now)
	isRestart := g.Members.ObserveStart(w.Worker, epoch, startedAt, now)
	if isRestart && w.announced {
		g.log.Info().Str("worker", w.Name).Float64("age_s", now-w.Worker.StartedAt).Msg("worker restarted")
		g.notifyWorkers([]*Worker{w})
	}
}

// WallClock returns the relation between the wall clock and the loop's clock.
func (g *Gateway) WallClock() membership.WallClock {
	atStart, now := g.Loop.WallClock()
	return membership.WallClock{OffsetAtStart: atStart, OffsetNow: now}
}

// notifyWorkers notifies the control module of workers that have changed, if it has subscribed to the list.
func (g *Gateway) notifyWorkers(workers []*Worker) {
	if len(workers) == 0 || !g.listSubscribed {
		return
	}
	var infos []control.WorkerInfo
	for _, w := range workers {
		infos = append(infos, w.Advertised())
	}
	g.deliver(func(module control.Module) { module.UpdateWorkers(control.ListDelta, g.Members.Version, infos) })
	for _, w := range workers {
		g.reportIdentity(w)
	}
}

// sendEndpointList notifies the control module of all announced workers of the endpoint list.
func (g *Gateway) sendEndpointList(kind control.EndpointListKind) {
	var infos []control.WorkerInfo
	for _, member := range g.Members.All() {
		w := g.workers[member.ID]
		if w != nil && w.announced {
			infos = append(infos, w.Advertised())
		}
	}
	g.deliver(func(module control.Module) { module.UpdateWorkers(kind, g.Members.Version, infos) })
	g.reportIdentities()
}
