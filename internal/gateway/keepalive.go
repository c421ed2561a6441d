package gateway

import "mastchute/control"

// This file keeps connections to workers open through outages of discovery. The reset of a connection shows then that the process
// of its worker may have been replaced by one that has just started, which the list does not tell.

// KeepAlive probes a worker, so that it does not close its last connection as idle, and reports whether it did: only if discovery
// may be unavailable, the worker is ready and the settings allow probes. If not, the connection may be closed.
func (g *Gateway) KeepAlive(w *Worker) bool {
	isNeeded := g.listLease.OutageSuspected(g.Loop.Now()) && w.State == control.Ready
	if !isNeeded || !g.settings.Probes.Allowed {
		return false
	}
	g.Metrics.probes.Inc()
	g.RecordEvent("connection_kept_alive", "", nil, w, g.Loop.Now()-g.listLease.ConfirmedAt())
	g.sendWorkerCommand(g.allocateWorkerCommand(CommandKeepAlive, w, nil), probeTimeout)
	return true
}
