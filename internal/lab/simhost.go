package lab

import (
	"fmt"
	"math"
	"path"
	"slices"

	"mastchute/control"
	"mastchute/internal/config"
	"mastchute/internal/emulator"
	"mastchute/internal/membership"
)

// Start makes the decisions of a dispatcher.
type Start = func(seed uint64, s control.Settings, a control.Actions) control.Module

// simHost stands for gateway in simulated time: the same order of events towards the decisions, the same guards.
type simHost struct {
	s        *sim
	i        int
	name     string
	start    Start
	life     int // counts its starts
	module   control.Module
	origin   float64
	members  *membership.List
	seq      uint64
	inFlight map[control.RequestID]*simRequest
	order    []*simRequest // as they came, for a kill
	open     int
	settling bool
	told     bool // Subscribe is on
	wakes    map[control.TimerID]int
	sentAt   []float64 // to each worker, the last time: its connection is kept for a while
}

type simModel struct {
	name  string
	id    control.ModelID
	info  config.Model
	group config.Group
	index control.GroupID
}

// model looks a model up as the gateway does: the first of the catalogue that fits.
func (s *sim) model(name string) *simModel {
	if m := s.models[name]; m != nil {
		return m
	}
	for _, c := range s.day.Settings.Models {
		if ok, _ := path.Match(c.Name, name); !ok {
			continue
		}
		m := &simModel{name: name, id: config.ModelID(name), info: c}
		for i, g := range s.day.Settings.Groups {
			if g.Name == c.Group {
				m.group, m.index = g, control.GroupID(i)
			}
		}
		s.models[name] = m
		return m
	}
	return nil
}

// reply is what a client gets.
type reply struct {
	status     int
	answer     string
	request    string
	retryAfter float64
	error      string // no answer came about
}

type simRequest struct {
	id       control.RequestID
	name     string
	h        *simHost
	model    *simModel
	key      string
	tenant   string
	notAfter float64
	reply    func(reply)
	attempts []*simAttempt
	pending  int
	answered bool
}

// simAttempt is one sending to a worker: of a request, or of an order.
type simAttempt struct {
	h        *simHost
	request  *simRequest
	index    int
	worker   int
	made     float64
	req      emulator.Request
	answered bool // by the worker, or its connection is lost
	done     bool
	end      func(*told)
}

// up starts the dispatcher.
func (h *simHost) up() {
	s := h.s
	h.life++
	h.origin, h.members, h.inFlight, h.order = s.now, membership.New(config.WorkerID), map[control.RequestID]*simRequest{}, nil
	h.wakes, h.open, h.settling, h.told = map[control.TimerID]int{}, 0, false, false
	h.sentAt = make([]float64, len(s.spec.Workers))
	for i := range h.sentAt {
		h.sentAt[i] = math.Inf(-1)
	}
	seed := s.day.Seed*1000 + uint64(h.i) + 1
	cfg := s.day.Settings
	cfg.Name = h.name
	h.module = h.start(seed, cfg.Settings(), h)
	var list []membership.Entry
	for _, w := range s.spec.Workers {
		list = append(list, membership.Entry{Name: w.Name, Zone: w.Zone, Cell: w.Cell, Weight: 1, State: control.Ready})
	}
	h.event(func() {
		h.members.Replace(membership.SourceConfig, list, 0)
		for i, w := range s.spec.Workers {
			if s.fleet.IsUp(i) {
				h.members.ObserveStart(h.members.ByName(w.Name), simEpoch+s.fleet.StartTime(i), s.fleet.StartTime(i)-h.origin, 0)
			}
		}
		if cfg.Roster.Discovery == "push" {
			h.told = true
			h.list(control.ListSnapshot)
		} else {
			h.list(control.ListCached)
		}
	})
}

// kill ends it outright: its connections are lost, and all it knew.
func (h *simHost) kill() {
	if h.module == nil {
		return
	}
	h.module = nil
	for _, q := range h.order {
		if !q.answered {
			q.answered = true
			q.reply(reply{error: "connection reset"})
		}
		for _, f := range q.attempts {
			if !f.done {
				f.done = true
				h.s.called(f)
			}
		}
	}
	h.life++
}

// event tells the decisions something, and has them settle at the end of this moment.
func (h *simHost) event(f func()) {
	if h.module == nil {
		return
	}
	h.module.SetNow(h.s.now - h.origin)
	f()
	if !h.settling {
		h.settling = true
		life := h.life
		h.s.after(0, func() {
			if h.module != nil && h.life == life {
				h.settling = false
				h.module.Reconcile()
			}
		})
	}
}

func (h *simHost) list(kind control.WorkerListKind) {
	var lines []control.WorkerInfo
	for _, w := range h.members.All() {
		lines = append(lines, w.Advertised())
	}
	h.module.UpdateWorkers(kind, h.members.Version, lines)
}

func (h *simHost) changes(list []*membership.Worker) {
	var lines []control.WorkerInfo
	for _, w := range list {
		lines = append(lines, w.Advertised())
	}
	if len(lines) > 0 && h.told {
		h.event(func() { h.module.UpdateWorkers(control.ListDelta, h.members.Version, lines) })
	}
}

// hear takes the admin interface's word on workers.
func (h *simHost) hear(list []word) {
	if h.module == nil {
		return
	}
	var all []*membership.Worker
	for _, w := range list {
		st := map[string]control.WorkerState{"ready": control.Ready, "draining": control.Draining, "gone": control.Gone}[w.state]
		changed, _ := h.members.SetAdminState(membership.Entry{Name: w.worker, State: st}, h.s.now-h.origin)
		h.s.e.Words = append(h.s.e.Words, Word{h.name, w.worker, w.state, simEpoch + h.s.now})
		all = append(all, changed...)
	}
	h.changes(all)
	for _, w := range all {
		if w.AwaitingStartupProbe() {
			h.greet(w)
		}
	}
}

// ask asks a worker for its start and load.
func (h *simHost) ask(i int, answer func(t *told)) {
	s, life := h.s, h.life
	s.message(func() {
		t := &told{result: control.ConnectFailed}
		if s.fleet.IsUp(i) {
			t = s.tells(i)
		}
		s.message(func() {
			if h.life == life && h.module != nil {
				h.heard(i, t)
				answer(t)
			}
		})
	})
}

// greet asks a worker for its start, as gateway does.
func (h *simHost) greet(w *membership.Worker) {
	if w.State != control.Ready {
		return
	}
	w.BeginProbe()
	h.ask(h.s.worker(w.Name), func(t *told) {
		if again := w.ProbeFinished(t.result == control.Succeeded, h.s.rnd.Float64()); again > 0 {
			life := h.life
			h.s.after(again, func() {
				if h.life == life {
					h.greet(w)
				}
			})
		}
		if h.members.FinishStartupProbe(w) {
			h.changes([]*membership.Worker{w})
		}
	})
}

// lost: the connections to a worker ended.
func (h *simHost) lost(i int) {
	if w := h.members.ByName(h.s.spec.Workers[i].Name); h.module != nil && w.ConnectionLost() {
		h.greet(w)
	}
}

// take takes a request in.
func (h *simHost) take(y *simTry, k *caller, answer func(reply)) *simRequest {
	s := h.s
	m := s.model(y.Model)
	if h.open >= s.day.Settings.Limits.Requests {
		answer(reply{status: 503})
		return nil
	}
	h.seq++
	span := math.Min(m.group.Timeout.Seconds, y.Timeout)
	q := &simRequest{id: control.RequestID(h.seq), name: fmt.Sprintf("%s-%d-%d", h.name, h.life, h.seq), h: h, model: m, key: k.key,
		tenant: k.tenant, notAfter: s.now + span, reply: answer}
	h.inFlight[q.id] = q
	h.order = append(h.order, q)
	h.open++
	in := control.Request{ID: q.id, Model: m.id, Group: m.index, Tenant: math.MaxUint16, MemoryMB: m.info.Memory.MB(),
		Concurrency: m.info.Lanes, LoadTimeHint: m.info.Load.Seconds, Deadline: s.now + y.Timeout - h.origin, ClientRetry: y.Number > 0}
	if i := slices.IndexFunc(s.day.Settings.Tenants, func(t config.Tenant) bool { return t.Name == k.tenant }); i >= 0 {
		in.Tenant = control.TenantID(i)
	}
	life := h.life
	s.at(q.notAfter, func() { h.timeUp(q, life) })
	h.event(func() { h.module.RequestArrived(in) })
	return q
}

func (h *simHost) timeUp(q *simRequest, life int) {
	if h.life != life || h.inFlight[q.id] != q {
		return
	}
	if !q.answered {
		h.s.guards["late"]++
		h.finish(q, reply{status: 504, answer: "failed"})
		h.event(func() { h.module.RequestCancelled(q.id) })
	}
	for _, f := range q.attempts {
		h.ended(f, &told{result: control.TimedOut})
	}
}

// left: the client has gone.
func (h *simHost) left(q *simRequest) {
	if q == nil || q.answered || h.module == nil || h.inFlight[q.id] != q {
		return
	}
	h.close(q)
	h.event(func() { h.module.RequestCancelled(q.id) })
}

// finish gives the final answer.
func (h *simHost) finish(q *simRequest, a reply) {
	if q.answered {
		h.s.guards["second_answer"]++
		return
	}
	a.request = q.name
	q.reply(a)
	h.close(q)
}

func (h *simHost) close(q *simRequest) {
	q.answered = true
	h.open--
	for _, f := range q.attempts {
		h.ended(f, &told{result: control.Cancelled, crowd: -1})
	}
	h.s.after(0, func() { h.letGo(q) })
}

func (h *simHost) letGo(q *simRequest) {
	if q.answered && q.pending == 0 && h.inFlight[q.id] == q {
		delete(h.inFlight, q.id)
		if len(h.order) > 64 && len(h.order) > 2*len(h.inFlight) {
			h.order = slices.DeleteFunc(h.order, func(o *simRequest) bool { return h.inFlight[o.id] != o })
		}
	}
}

// ended ends an attempt, once, and has its outcome told.
func (h *simHost) ended(f *simAttempt, t *told) {
	if f.done {
		return
	}
	f.done = true
	s, q := h.s, f.request
	if t.result == control.TimedOut || t.result == control.Cancelled {
		s.called(f)
	}
	if t.result == control.Succeeded && !q.answered {
		h.finish(q, reply{status: 200, answer: "returned"})
	}
	o := control.AttemptResult{ID: q.id, Attempt: f.index, Worker: config.WorkerID(s.spec.Workers[f.worker].Name), Duration: s.now - f.made,
		Result: t.result, ModelState: t.found, SameModelInFlight: t.crowd, LoadReport: t.report}
	life := h.life
	s.after(0, func() {
		if h.life == life && h.module != nil {
			q.pending--
			o.RequestAnswered = q.answered
			h.event(func() { h.module.AttemptFinished(o) })
			h.letGo(q)
		}
	})
}

// The actions, as control.Actions names them.

// The way to workers and back.
