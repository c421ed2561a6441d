package control

// This file records which worker processes attempts reach. The host finds that out, as it sees the connections.

// dedupGroup returns the group that an attempt at the worker is expected to reach.
func (w *worker) dedupGroup() DedupGroup {
	return DedupGroup{Zone: w.Zone, Cell: w.Cell, Known: !w.unidentified}
}

// WorkerIdentified implements Module.
func (d *Dispatcher) WorkerIdentified(id WorkerID, identified bool) {
	known := d.workers.byID[id]
	if known == nil {
		return
	}
	known.unidentified = !identified
	d.queue.capacityMayHaveChanged = true
	if !identified {
		d.rescheduleUnsentAttempts()
	}
}

// AttemptTraced implements Module.
func (d *Dispatcher) AttemptTraced(id RequestID, number int, group DedupGroup) {
	req := d.inFlight.lookup(id)
	if req == nil || number < 0 || number >= req.attempted {
		return
	}
	req.attempts[number].group = group
	d.rescheduleUnsentAttempts()
}
