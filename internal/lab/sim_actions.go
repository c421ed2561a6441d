package lab

import (
	"mastchute/control"
	"mastchute/internal/emulator"
	"mastchute/internal/membership"
)

// simDispatcher implements control.Actions, by which the control module acts.

// SendAttempt implements control.Actions.
func (d *simDispatcher) SendAttempt(id control.RequestID, workerID control.WorkerID, timeout control.Seconds) {
	s := d.sim
	r := d.requests[id]
	w := d.members.ByID(workerID)
	if r == nil || w == nil {
		s.guards["unknown"]++
		return
	}
	a := &simAttempt{dispatcher: d, request: r, number: len(r.attempts), worker: s.workerIndex(w.Name), createdAt: s.now}
	r.attempts = append(r.attempts, a)
	r.pendingResults++
	if r.responded || w.State != control.Ready {
		s.guards["forward_barred"]++
		d.endAttempt(a, &workerResponse{result: control.NotSent, sameModelInFlight: sameModelInFlightUnknown})
		return
	}
	w.MarkSent()
	d.lastSentAt[a.worker] = s.now
	if timeout > 0 {
		d.afterUnlessKilled(timeout, func() {
			d.endAttempt(a, &workerResponse{result: control.TimedOut, sameModelInFlight: sameModelInFlightUnknown})
		})
	}
	a.workerRequest = emulator.Request{Owner: a, Model: r.model.name, Tenant: r.tenant, IdempotencyKey: r.key, Deadline: r.deadline}
	a.onResponse = func(response *workerResponse) {
		d.observeWorker(a.worker, response)
		d.endAttempt(a, response)
	}
	s.send(a)
}

// Shed implements control.Actions.
func (d *simDispatcher) Shed(id control.RequestID, retryAfter control.Seconds) {
	if r := d.requests[id]; r != nil {
		d.sendResponse(r, simResponse{status: 503, outcome: OutcomeShed, retryAfter: retryAfter})
	}
}

// Fail implements control.Actions.
func (d *simDispatcher) Fail(id control.RequestID) {
	if r := d.requests[id]; r != nil {
		d.sendResponse(r, simResponse{status: 502, outcome: OutcomeFailed})
	}
}

// CancelAttempt implements control.Actions.
func (d *simDispatcher) CancelAttempt(id control.RequestID, number int) {
	if r := d.requests[id]; r != nil && number < len(r.attempts) {
		d.endAttempt(r.attempts[number], &workerResponse{result: control.Cancelled, sameModelInFlight: sameModelInFlightUnknown})
	}
}

// LoadModel implements control.Actions.
func (d *simDispatcher) LoadModel(workerID control.WorkerID, modelID control.ModelID, replicas int) {
	s := d.sim
	w := d.members.ByID(workerID)
	m := s.modelByID(modelID)
	if w == nil || m == nil {
		s.guards["unknown"]++
		return
	}
	a := &simAttempt{dispatcher: d, worker: s.workerIndex(w.Name), createdAt: s.now}
	a.workerRequest = emulator.Request{Owner: a, Model: m.name, IsLoad: true, Replicas: replicas}
	incarnation := d.incarnation
	finish := func(result control.Result, replicas int) {
		if a.ended || d.incarnation != incarnation {
			return
		}
		a.ended = true
		load := control.LoadResult{Worker: workerID, Model: modelID, Result: result, Duration: s.now - a.createdAt, Replicas: replicas}
		d.deliverEvent(func() { d.module.LoadFinished(load) })
	}
	if w.State != control.Ready {
		s.guards["order_barred"]++
		s.after(0, func() { finish(control.NotSent, 0) })
		return
	}
	a.onResponse = func(response *workerResponse) {
		d.observeWorker(a.worker, response)
		finish(response.result, response.replicas)
	}
	s.after(s.scenario.Settings.Loads.Timeout.Seconds, func() { finish(control.TimedOut, 0) })
	s.send(a)
}

// UnloadModel implements control.Actions.
func (d *simDispatcher) UnloadModel(workerID control.WorkerID, modelID control.ModelID) {
	s := d.sim
	w := d.members.ByID(workerID)
	m := s.modelByID(modelID)
	if w != nil && m != nil {
		s.sendMessage(func() { s.fleet.Unload(s.now, s.workerIndex(w.Name), m.name) })
	}
}

// ProbeWorker implements control.Actions.
func (d *simDispatcher) ProbeWorker(workerID control.WorkerID) {
	w := d.members.ByID(workerID)
	if w == nil {
		return
	}
	s := d.sim
	sentAt := s.now
	d.probe(s.workerIndex(w.Name), func(response *workerResponse) {
		result := control.ProbeResult{Worker: workerID, Result: response.result, Duration: s.now - sentAt, LoadReport: response.loadReport}
		d.deliverEvent(func() { d.module.ProbeFinished(result) })
	})
}

// CheckWorker implements control.Actions. The simulated endpoint list never expires, so no worker needs a check.
func (d *simDispatcher) CheckWorker(control.WorkerID, control.ModelID) {}

// CloseIdleConnections implements control.Actions. Connections are not simulated individually, so there is none to close.
func (d *simDispatcher) CloseIdleConnections(control.WorkerID) {}

// SendPeerMessage implements control.Actions. Simulated dispatchers have no peers, like those of a run over sockets.
func (d *simDispatcher) SendPeerMessage(control.PeerID, []byte) { d.sim.guards["note_dropped"]++ }

// SubscribeEndpointList implements control.Actions.
func (d *simDispatcher) SubscribeEndpointList(subscribe bool) {
	wasSubscribed := d.subscribed
	d.subscribed = subscribe
	if subscribe && !wasSubscribed {
		d.FetchEndpointList()
	}
}

// FetchEndpointList implements control.Actions.
func (d *simDispatcher) FetchEndpointList() {
	d.afterUnlessKilled(0, func() {
		d.deliverEvent(func() { d.sendWorkerList(control.ListSnapshot) })
	})
}

// SetTimer implements control.Actions. Setting a timer again replaces the earlier setting.
func (d *simDispatcher) SetTimer(delay control.Seconds, id control.TimerID) {
	d.timerGenerations[id]++
	generation := d.timerGenerations[id]
	d.afterUnlessKilled(delay, func() {
		if d.timerGenerations[id] == generation {
			d.deliverEvent(func() { d.module.TimerFired(id) })
		}
	})
}

// Log implements control.Actions.
func (d *simDispatcher) Log(string) {}

// observeWorker records the start time in a worker's response.
func (d *simDispatcher) observeWorker(worker int, response *workerResponse) {
	if response.startedAt <= 0 || d.module == nil {
		return
	}
	w := d.members.ByName(d.sim.spec.Workers[worker].Name)
	if d.members.ObserveStart(w, response.startedAt, response.startedAt-simEpoch-d.startedAt, d.sim.now-d.startedAt) {
		d.sendChanges([]*membership.Worker{w})
	}
}
