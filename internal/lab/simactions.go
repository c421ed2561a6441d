package lab

import (
	"mastchute/control"
	"mastchute/internal/emulator"
	"mastchute/internal/membership"
)

func (h *simHost) SendAttempt(id control.RequestID, wid control.WorkerID, timeout control.Seconds) {
	s, q, w := h.s, h.inFlight[id], h.members.ByID(wid)
	if q == nil || w == nil {
		s.guards["unknown"]++
		return
	}
	f := &simAttempt{h: h, request: q, index: len(q.attempts), worker: s.worker(w.Name), made: s.now}
	q.attempts = append(q.attempts, f)
	q.pending++
	if q.answered || w.State != control.Ready {
		s.guards["forward_barred"]++
		h.ended(f, &told{result: control.NotSent, crowd: -1})
		return
	}
	w.MarkSent()
	h.sentAt[f.worker] = s.now
	if timeout > 0 {
		life := h.life
		s.after(timeout, func() {
			if h.life == life {
				h.ended(f, &told{result: control.TimedOut, crowd: -1})
			}
		})
	}
	f.req = emulator.Request{Owner: f, Model: q.model.name, Tenant: q.tenant, IdempotencyKey: q.key, Deadline: q.notAfter}
	f.end = func(t *told) {
		h.heard(f.worker, t)
		if t.lost {
			t.result = control.ConnectionReset
		}
		h.ended(f, t)
	}
	s.send(f)
}

func (h *simHost) Shed(id control.RequestID, retryAfter control.Seconds) {
	if q := h.inFlight[id]; q != nil {
		h.finish(q, reply{status: 503, answer: "shed", retryAfter: retryAfter})
	}
}

func (h *simHost) Fail(id control.RequestID) {
	if q := h.inFlight[id]; q != nil {
		h.finish(q, reply{status: 502, answer: "failed"})
	}
}

func (h *simHost) CancelAttempt(id control.RequestID, n int) {
	if q := h.inFlight[id]; q != nil && n < len(q.attempts) {
		h.ended(q.attempts[n], &told{result: control.Cancelled, crowd: -1})
	}
}

func (h *simHost) LoadModel(wid control.WorkerID, m control.ModelID, copies int) {
	s, w := h.s, h.members.ByID(wid)
	name := ""
	for _, o := range s.models {
		if o.id == m {
			name = o.name
		}
	}
	if w == nil || name == "" {
		s.guards["unknown"]++
		return
	}
	f := &simAttempt{h: h, worker: s.worker(w.Name), made: s.now}
	f.req = emulator.Request{Owner: f, Model: name, IsLoad: true, Replicas: copies}
	life := h.life
	tell := func(r control.Result, copies int) {
		if f.done || h.life != life {
			return
		}
		f.done = true
		res := control.LoadResult{Worker: wid, Model: m, Result: r, Duration: s.now - f.made, Replicas: copies}
		h.event(func() { h.module.LoadFinished(res) })
	}
	if w.State != control.Ready {
		s.guards["order_barred"]++
		s.after(0, func() { tell(control.NotSent, 0) })
		return
	}
	f.end = func(t *told) {
		h.heard(f.worker, t)
		if t.lost {
			t.result = control.ConnectionReset
		}
		tell(t.result, t.copies)
	}
	s.after(s.day.Settings.Loads.Timeout.Seconds, func() { tell(control.TimedOut, 0) })
	s.send(f)
}

func (h *simHost) UnloadModel(wid control.WorkerID, m control.ModelID) {
	s, w := h.s, h.members.ByID(wid)
	for _, o := range s.models {
		if o.id == m && w != nil {
			s.message(func() { s.fleet.Unload(s.now, s.worker(w.Name), o.name) })
		}
	}
}

func (h *simHost) ProbeWorker(wid control.WorkerID) {
	s, w := h.s, h.members.ByID(wid)
	if w == nil {
		return
	}
	made := s.now
	h.ask(s.worker(w.Name), func(t *told) {
		h.event(func() {
			h.module.ProbeFinished(control.ProbeResult{Worker: wid, Result: t.result, Duration: s.now - made, LoadReport: t.report})
		})
	})
}

func (h *simHost) CloseIdleConnections(control.WorkerID) {}

func (h *simHost) SendPeerMessage(control.PeerID, []byte) { h.s.guards["note_dropped"]++ }

func (h *simHost) SubscribeWorkerList(on bool) {
	was := h.told
	if h.told = on; on && !was {
		h.FetchWorkerList()
	}
}

func (h *simHost) FetchWorkerList() {
	life := h.life
	h.s.after(0, func() {
		if h.life == life {
			h.event(func() { h.list(control.ListSnapshot) })
		}
	})
}

func (h *simHost) SetTimer(after control.Seconds, id control.TimerID) {
	h.wakes[id]++
	n, life := h.wakes[id], h.life
	h.s.after(after, func() {
		if h.life == life && h.wakes[id] == n {
			h.event(func() { h.module.TimerFired(id) })
		}
	})
}

func (h *simHost) Log(string) {}

// heard takes what any answer tells of its worker.
func (h *simHost) heard(i int, t *told) {
	if t.start <= 0 || h.module == nil {
		return
	}
	w := h.members.ByName(h.s.spec.Workers[i].Name)
	if h.members.ObserveStart(w, t.start, t.start-simEpoch-h.origin, h.s.now-h.origin) {
		h.changes([]*membership.Worker{w})
	}
}
