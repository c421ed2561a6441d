package lab

import (
	"math"
	"path"

	"mastchute/control"
	"mastchute/internal/config"
	"mastchute/internal/membership"
)

// ModuleFactory creates the control module of a dispatcher.
type ModuleFactory = func(seed uint64, s control.Settings, a control.Actions) control.Module

// simDispatcher replaces the gateway in simulated time. It passes events to the control module in the gateway's order and
// has the gateway's guards.
type simDispatcher struct {
	sim       *simulation
	index     int
	name      string
	newModule ModuleFactory

	incarnation        int            // counts starts and kills; functions scheduled in an earlier incarnation do not run
	module             control.Module // nil while the dispatcher is down
	startedAt          float64        // s of the scenario; time 0 of the module
	members            *membership.List
	nextRequestID      uint64
	requests           map[control.RequestID]*simRequest // those with a response stay until their attempts have ended
	requestsInOrder    []*simRequest                     // the same in order of arrival, in which a kill ends them
	openRequests       int                               // requests without a final response
	reconcileScheduled bool                              // for after the other events of the current time
	subscribed         bool                              // to changes of the worker list
	timerGenerations   map[control.TimerID]int           // how often each timer was set
	lastSentAt         []float64                         // by worker; the connection stays open for the idle timeout after it
}

// simModel is a model of the catalogue.
type simModel struct {
	name    string
	id      control.ModelID
	config  config.Model
	group   config.Group
	groupID control.GroupID
}

// model returns a model by name, nil if it is unknown. Like the gateway, it takes the first entry of the catalogue that
// matches.
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

// modelByID returns a model that was requested before, nil if there is none.
func (s *simulation) modelByID(id control.ModelID) *simModel {
	for _, m := range s.models {
		if m.id == id {
			return m
		}
	}
	return nil
}

// start starts the dispatcher without any state of earlier incarnations.
func (d *simDispatcher) start() {
	s := d.sim
	d.incarnation++
	d.startedAt = s.now
	d.members = membership.New(config.WorkerID)
	d.requests = map[control.RequestID]*simRequest{}
	d.requestsInOrder = nil
	d.timerGenerations = map[control.TimerID]int{}
	d.openRequests = 0
	d.reconcileScheduled = false
	d.subscribed = false
	d.lastSentAt = make([]float64, len(s.spec.Workers))
	for i := range d.lastSentAt {
		d.lastSentAt[i] = math.Inf(-1)
	}
	settings := s.scenario.Settings
	settings.Name = d.name
	d.module = d.newModule(s.scenario.dispatcherSeed(d.index), settings.Settings(), d)
	d.deliverEvent(func() { d.loadMembers(settings.Discovery.Mode) })
}

// loadMembers fills the worker list from the configuration and passes it to the control module.
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

// kill ends the dispatcher with its connections; its state is lost.
func (d *simDispatcher) kill() {
	if d.module == nil {
		return
	}
	d.module = nil
	for _, r := range d.requestsInOrder {
		if !r.responded {
			r.responded = true
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

// afterUnlessKilled calls a function after a delay in seconds, unless the dispatcher is killed before then.
func (d *simDispatcher) afterUnlessKilled(delay float64, run func()) {
	incarnation := d.incarnation
	d.sim.after(delay, func() {
		if d.incarnation == incarnation {
			run()
		}
	})
}

// deliverEvent passes an event to the control module, and schedules its Reconcile for after the other events of the current
// time.
func (d *simDispatcher) deliverEvent(deliver func()) {
	if d.module == nil {
		return
	}
	d.module.SetNow(d.sim.now - d.startedAt)
	deliver()
	if d.reconcileScheduled {
		return
	}
	d.reconcileScheduled = true
	d.afterUnlessKilled(0, func() {
		if d.module != nil {
			d.reconcileScheduled = false
			d.module.Reconcile()
		}
	})
}

func workerInfos(workers []*membership.Worker) (out []control.WorkerInfo) {
	for _, w := range workers {
		out = append(out, w.Advertised())
	}
	return out
}

// sendWorkerList passes the complete worker list to the control module.
func (d *simDispatcher) sendWorkerList(kind control.EndpointListKind) {
	d.module.UpdateWorkers(kind, d.members.Version, workerInfos(d.members.All()))
}

// sendChanges passes changes of the worker list to the control module if it has subscribed to them.
func (d *simDispatcher) sendChanges(changed []*membership.Worker) {
	if len(changed) > 0 && d.subscribed {
		d.deliverEvent(func() { d.module.UpdateWorkers(control.ListDelta, d.members.Version, workerInfos(changed)) })
	}
}

var workerStatesByName = map[string]control.WorkerState{stateReady: control.Ready, stateDraining: control.Draining, stateGone: control.Gone}

// notify changes the states of workers, like the admin interface.
func (d *simDispatcher) notify(notifications []notification) {
	if d.module == nil {
		return
	}
	s := d.sim
	var allChanged []*membership.Worker
	for _, n := range notifications {
		changed, _ := d.members.SetAdminState(membership.Entry{Name: n.worker, State: workerStatesByName[n.state]}, s.now-d.startedAt)
		s.evidence.StateChanges = append(s.evidence.StateChanges,
			StateChange{Dispatcher: d.name, Worker: n.worker, State: n.state, NotifiedAt: simEpoch + s.now})
		allChanged = append(allChanged, changed...)
	}
	d.sendChanges(allChanged)
	for _, w := range allChanged {
		if w.AwaitingStartupProbe() {
			d.probeStartup(w)
		}
	}
}

// probe requests a worker's start time and load report.
func (d *simDispatcher) probe(worker int, done func(*workerResponse)) {
	s := d.sim
	incarnation := d.incarnation
	s.sendMessage(func() {
		response := &workerResponse{result: control.ConnectFailed}
		if s.fleet.IsUp(worker) {
			response = s.newWorkerResponse(worker)
		}
		s.sendMessage(func() {
			if d.incarnation == incarnation && d.module != nil {
				d.observeWorker(worker, response)
				done(response)
			}
		})
	})
}

// probeStartup probes a worker until its start time is known, like the gateway.
func (d *simDispatcher) probeStartup(w *membership.Worker) {
	if w.State != control.Ready {
		return
	}
	w.BeginProbe()
	d.probe(d.sim.workerIndex(w.Name), func(response *workerResponse) {
		backoff := w.ProbeFinished(response.result == control.Succeeded, d.sim.rnd.Float64())
		if backoff > 0 {
			d.afterUnlessKilled(backoff, func() { d.probeStartup(w) })
		}
		if d.members.FinishStartupProbe(w) {
			d.sendChanges([]*membership.Worker{w})
		}
	})
}

// connectionLost handles the loss of the connections to a worker.
func (d *simDispatcher) connectionLost(worker int) {
	w := d.members.ByName(d.sim.spec.Workers[worker].Name)
	if d.module != nil && w.ConnectionLost() {
		d.probeStartup(w)
	}
}
