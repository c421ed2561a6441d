package lab

import (
	"math"
	"path"

	"mastchute/control"
	"mastchute/internal/config"
	"mastchute/internal/membership"
)

// ModuleFactory makes the decisions of a dispatcher.
type ModuleFactory = func(seed uint64, s control.Settings, a control.Actions) control.Module

// simDispatcher stands for the gateway in simulated time: the same order of events towards the decisions, the same guards.
type simDispatcher struct {
	sim       *simulation
	index     int
	name      string
	newModule ModuleFactory

	incarnation   int            // counts starts and kills; what was scheduled by another one is void
	module        control.Module // nil while the dispatcher is down
	startedAt     float64        // the module's time 0
	members       *membership.List
	nextRequestID uint64
	requests      map[control.RequestID]*simRequest // not forgotten yet
	ordered       []*simRequest                     // the same in order of arrival, for a kill
	open          int                               // requests without a final answer
	reconciling   bool                              // Reconcile is scheduled for the end of this moment
	subscribed    bool                              // to changes of the worker list
	timerSets     map[control.TimerID]int           // counts how often a timer was set
	lastSentAt    []float64                         // by worker; its connection is kept for a while
}

// simModel is a model of the catalogue.
type simModel struct {
	name    string
	id      control.ModelID
	config  config.Model
	group   config.Group
	groupID control.GroupID
}

// model finds a model as the gateway does: the first entry of the catalogue that matches.
func (s *simulation) model(name string) *simModel {
	if m := s.models[name]; m != nil {
		return m
	}
	for _, entry := range s.scenario.Settings.Models {
		if ok, _ := path.Match(entry.Name, name); !ok {
			continue
		}
		m := &simModel{name: name, id: config.ModelID(name), config: entry}
		for i, group := range s.scenario.Settings.Groups {
			if group.Name == entry.Group {
				m.group = group
				m.groupID = control.GroupID(i)
			}
		}
		s.models[name] = m
		return m
	}
	return nil
}

// modelByID returns a model that was asked for before, nil for none.
func (s *simulation) modelByID(id control.ModelID) *simModel {
	for _, m := range s.models {
		if m.id == id {
			return m
		}
	}
	return nil
}

// start starts the dispatcher with an empty state.
func (d *simDispatcher) start() {
	s := d.sim
	d.incarnation++
	d.startedAt = s.now
	d.members = membership.New(config.WorkerID)
	d.requests = map[control.RequestID]*simRequest{}
	d.ordered = nil
	d.timerSets = map[control.TimerID]int{}
	d.open = 0
	d.reconciling = false
	d.subscribed = false
	d.lastSentAt = make([]float64, len(s.spec.Workers))
	for i := range d.lastSentAt {
		d.lastSentAt[i] = math.Inf(-1)
	}
	settings := s.scenario.Settings
	settings.Name = d.name
	d.module = d.newModule(s.scenario.dispatcherSeed(d.index), settings.Settings(), d)
	d.event(func() { d.loadMembers(settings.Discovery.Mode) })
}

// loadMembers fills the worker list from the configuration and passes it to the decisions.
func (d *simDispatcher) loadMembers(discovery string) {
	s := d.sim
	var entries []membership.Entry
	for _, w := range s.spec.Workers {
		entries = append(entries, membership.Entry{Name: w.Name, Zone: w.Zone, Cell: w.Cell, Weight: 1, State: control.Ready})
	}
	d.members.Replace(membership.SourceConfig, entries, 0)
	for i, w := range s.spec.Workers {
		if s.fleet.IsUp(i) {
			startedAt := s.fleet.StartTime(i)
			d.members.ObserveStart(d.members.ByName(w.Name), simEpoch+startedAt, startedAt-d.startedAt, 0)
		}
	}
	if discovery == "push" {
		d.subscribed = true
		d.sendWorkerList(control.ListSnapshot)
	} else {
		d.sendWorkerList(control.ListCached)
	}
}

// kill ends the dispatcher with its connections and all its state.
func (d *simDispatcher) kill() {
	if d.module == nil {
		return
	}
	d.module = nil
	for _, r := range d.ordered {
		if !r.answered {
			r.answered = true
			r.respond(simResponse{err: "connection reset"})
		}
		for _, a := range r.attempts {
			if !a.ended {
				a.ended = true
				d.sim.cancelAtWorker(a)
			}
		}
	}
	d.incarnation++
}

// later runs a function after a delay unless the dispatcher is killed before.
func (d *simDispatcher) later(delay float64, run func()) {
	incarnation := d.incarnation
	d.sim.after(delay, func() {
		if d.incarnation == incarnation {
			run()
		}
	})
}

// event passes an event to the decisions, and lets them reconcile at the end of this moment.
func (d *simDispatcher) event(notify func()) {
	if d.module == nil {
		return
	}
	d.module.SetNow(d.sim.now - d.startedAt)
	notify()
	if d.reconciling {
		return
	}
	d.reconciling = true
	d.later(0, func() {
		if d.module != nil {
			d.reconciling = false
			d.module.Reconcile()
		}
	})
}

func advertised(workers []*membership.Worker) (out []control.WorkerInfo) {
	for _, w := range workers {
		out = append(out, w.Advertised())
	}
	return out
}

// sendWorkerList passes the complete worker list to the decisions.
func (d *simDispatcher) sendWorkerList(kind control.EndpointListKind) {
	d.module.UpdateWorkers(kind, d.members.Version, advertised(d.members.All()))
}

// sendChanges passes changes of the worker list to the decisions if they subscribed to it.
func (d *simDispatcher) sendChanges(changed []*membership.Worker) {
	if len(changed) > 0 && d.subscribed {
		d.event(func() { d.module.UpdateWorkers(control.ListDelta, d.members.Version, advertised(changed)) })
	}
}

var workerStatesByName = map[string]control.WorkerState{stateReady: control.Ready, stateDraining: control.Draining, stateGone: control.Gone}

// notify changes the states of workers, as the admin interface does.
func (d *simDispatcher) notify(list []notification) {
	if d.module == nil {
		return
	}
	s := d.sim
	var all []*membership.Worker
	for _, n := range list {
		changed, _ := d.members.SetAdminState(membership.Entry{Name: n.worker, State: workerStatesByName[n.state]}, s.now-d.startedAt)
		s.evidence.StateChanges = append(s.evidence.StateChanges,
			StateChange{Dispatcher: d.name, Worker: n.worker, State: n.state, NotifiedAt: simEpoch + s.now})
		all = append(all, changed...)
	}
	d.sendChanges(all)
	for _, w := range all {
		if w.AwaitingStartupProbe() {
			d.probeStartup(w)
		}
	}
}

// probe requests a worker's start time and load report.
func (d *simDispatcher) probe(worker int, done func(*workerResponse)) {
	s := d.sim
	incarnation := d.incarnation
	s.message(func() {
		response := &workerResponse{result: control.ConnectFailed}
		if s.fleet.IsUp(worker) {
			response = s.newWorkerResponse(worker)
		}
		s.message(func() {
			if d.incarnation == incarnation && d.module != nil {
				d.observeWorker(worker, response)
				done(response)
			}
		})
	})
}

// probeStartup probes a worker until its start is known, as the gateway does.
func (d *simDispatcher) probeStartup(w *membership.Worker) {
	if w.State != control.Ready {
		return
	}
	w.BeginProbe()
	d.probe(d.sim.workerIndex(w.Name), func(response *workerResponse) {
		backoff := w.ProbeFinished(response.result == control.Succeeded, d.sim.rnd.Float64())
		if backoff > 0 {
			d.later(backoff, func() { d.probeStartup(w) })
		}
		if d.members.FinishStartupProbe(w) {
			d.sendChanges([]*membership.Worker{w})
		}
	})
}

// connectionLost handles the end of the connections to a worker.
func (d *simDispatcher) connectionLost(worker int) {
	w := d.members.ByName(d.sim.spec.Workers[worker].Name)
	if d.module != nil && w.ConnectionLost() {
		d.probeStartup(w)
	}
}
