package control

// This file records which worker processes attempts reach. The host finds that out, as it sees the connections.

// dedupGroup returns the group that an attempt at the worker is expected to reach.
func (w *worker) dedupGroup() DedupGroup {
	if w.unidentified {
		return DedupGroup{}
	}
	return KnownGroup(w.Zone, w.Cell)
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
	req.attempts[number].traced = true
	d.rescheduleUnsentAttempts()
}

// reassignAttempts records that the entry of a worker has another place: attempts sent after the start of its present process
// have reached that. The group of an attempt that the host has reported remains.
func (d *Dispatcher) reassignAttempts(known *worker, info WorkerInfo) {
	if known.Zone == info.Zone && known.Cell == info.Cell {
		return
	}
	for _, req := range d.inFlight.slots {
		if !req.live {
			continue
		}
		for i := range req.attempts[:req.attempted] {
			a := &req.attempts[i]
			if a.worker == known && !a.traced && a.group.ZoneKnown && a.sentAt > info.StartedAt {
				a.group = KnownGroup(info.Zone, info.Cell)
			}
		}
	}
}
