package lab

import (
	"container/heap"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sort"

	"mastchute/control"
	"mastchute/internal/emulator"
)

// A scenario in simulated time runs in one goroutine with one event queue, and all randomness comes from the scenario's
// seed: the same seed gives the same bytes on any machine under any load. Clients, workers, checker and report are those of
// a run over sockets. Only the layer between them differs: simDispatcher replaces the gateway, and messages are delayed by
// Scenario.Network instead of loopback sockets.

const (
	simEpoch            = 1e9  // seconds since 1970 at which simulated scenarios begin
	retransmitDelay     = 0.2  // s by which a lost message is delayed: the shortest retransmission timeout in common use
	simDrainTime        = 60.0 // s after the end of the scenario until calls in progress are abandoned
	simStream           = 4    // stream of the random source
	contextCheckPeriod  = 1024 // events between two checks of the context
	progressLinesPerRun = 10
)

// simEvent is a function that runs at a simulated time. Events at the same time run in the order in which they were
// scheduled.
type simEvent struct {
	at  float64
	seq uint64
	run func()
}

// eventQueue is a heap of events by time.
type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(simEvent)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := len(old) - 1
	e := old[last]
	old[last] = simEvent{}
	*q = old[:last]
	return e
}

// simulation is a scenario in simulated time.
type simulation struct {
	scenario    *Scenario
	now         float64 // s of the scenario
	queue       eventQueue
	seq         uint64
	rnd         *rand.Rand
	fleet       *emulator.Fleet
	spec        emulator.Spec
	dispatchers []*simDispatcher
	evidence    *Evidence
	guards      map[string]float64 // counts by guard

	openCalls    int               // calls in progress
	moreCalls    bool              // more calls will begin
	pending      [][]*simAttempt   // attempts and load requests at a worker without a response, by worker
	workerStates map[string]string // latest state that dispatchers were notified of, by worker
	models       map[string]*simModel
}

// at schedules a function at a time, now if the time is past.
func (s *simulation) at(t float64, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{math.Max(t, s.now), s.seq, run})
}

func (s *simulation) after(delay float64, run func()) { s.at(s.now+delay, run) }

// sendMessage calls a function when a message sent now arrives.
func (s *simulation) sendMessage(arrived func()) {
	network := s.scenario.Network
	delay := network.Delay.Seconds + network.Jitter.Seconds*s.rnd.ExpFloat64()
	if network.Lost > 0 && s.rnd.Float64() < network.Lost {
		delay += retransmitDelay
	}
	s.after(delay, arrived)
}

// Simulate runs a scenario in simulated time. When ctx is cancelled, it ends early and returns what was recorded by then.
// newModule creates the control module of each dispatcher; if it is nil, control.New does.
func Simulate(ctx context.Context, scenario *Scenario, newModule ModuleFactory, progress io.Writer) (*Evidence, *Report) {
	if progress == nil {
		progress = io.Discard
	}
	if newModule == nil {
		newModule = func(seed uint64, settings control.Settings, actions control.Actions) control.Module {
			return control.New(seed, settings, actions)
		}
	}
	s := newSimulation(scenario)
	for i := range scenario.Dispatchers {
		d := &simDispatcher{sim: s, index: i, name: dispatcherName(i), newModule: newModule}
		s.dispatchers = append(s.dispatchers, d)
		d.start()
	}
	s.scheduleIncidents()
	s.scheduleNextCall(scenario.arrivals())
	s.run(ctx, progress)
	return s.evidence, s.report(ctx)
}

func newSimulation(scenario *Scenario) *simulation {
	spec := scenario.Spec()
	s := &simulation{scenario: scenario, rnd: rand.New(rand.NewPCG(scenario.Seed, simStream)), spec: spec,
		fleet: emulator.NewFleet(spec, scenario.Fleet.SlowStart), evidence: newEvidence(scenario), guards: map[string]float64{}, moreCalls: true,
		pending: make([][]*simAttempt, len(spec.Workers)), workerStates: map[string]string{}, models: map[string]*simModel{}}
	s.fleet.OnEvent = s.record
	s.fleet.OnWorkerDown = s.resetConnections
	if scenario.Fleet.SlowStart {
		for _, w := range spec.Workers {
			s.record(0, w.Name, emulator.EventStarted, nil)
		}
	}
	return s
}

// run processes the events until all calls have ended.
func (s *simulation) run(ctx context.Context, progress io.Writer) {
	reportedAt := 0.0
	length := s.scenario.Length.Seconds
	for n := 0; (s.moreCalls || s.openCalls > 0) && s.now < length+simDrainTime; n++ {
		if n%contextCheckPeriod == 0 && ctx.Err() != nil {
			return
		}
		s.processNextEvent()
		for _, r := range s.fleet.TakeFinished() {
			if a, ok := r.Owner.(*simAttempt); ok {
				s.respond(a)
			}
		}
		if s.now >= reportedAt+length/progressLinesPerRun {
			reportedAt = s.now
			fmt.Fprintf(progress, "%7.2f s  %d client attempts, %d worker events\n", s.now, len(s.evidence.ClientAttempts), len(s.evidence.Records))
		}
	}
}

// processNextEvent processes the next event of the fleet or of the queue. At equal times, the event of the queue comes first.
func (s *simulation) processNextEvent() {
	if next := s.fleet.NextEvent(); next < s.queue[0].at {
		s.now = next
		s.fleet.Advance(next)
		return
	}
	e := heap.Pop(&s.queue).(simEvent)
	s.now = e.at
	e.run()
}

func (s *simulation) report(ctx context.Context) *Report {
	changes := s.evidence.StateChanges
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].NotifiedAt < changes[j].NotifiedAt })
	r := &Report{Guards: s.guards, Clock: "simulated", Seed: s.scenario.Seed, Partial: ctx.Err() != nil, Exits: make([]int, len(s.dispatchers))}
	r.fill(s.scenario, s.evidence)
	r.Findings[ruleSlowStart-1].LimitUsage = s.fleet.PeakOverload
	return r
}

// record records an event of the fleet.
func (s *simulation) record(now float64, worker string, event emulator.Event, r *emulator.Request) {
	record := emulator.Record{T: simEpoch + now, Worker: worker, Event: event}
	if r != nil {
		record.SetRequest(r)
		if a, ok := r.Owner.(*simAttempt); ok && a.dispatcher != nil {
			record.Dispatcher = a.dispatcher.name
			if a.request != nil {
				record.Request = a.request.recordID
				record.Attempt = a.number
			}
		}
	}
	s.evidence.Records = append(s.evidence.Records, record)
}

// scheduleIncidents schedules faults, kills and notifications at their times.
func (s *simulation) scheduleIncidents() {
	for _, f := range s.scenario.Faults {
		s.at(f.At.Seconds, func() { s.fleet.InjectFault(s.now, f.emulatorFault()) })
	}
	for _, k := range s.scenario.Kills {
		s.at(k.At.Seconds, func() { s.kill(s.dispatchers[k.Dispatcher], k.Down.Seconds) })
	}
	s.scheduleNotifications()
}

// scheduleNotifications schedules the notifications of worker states. Those for the same time are delivered as one list.
func (s *simulation) scheduleNotifications() {
	byTime := map[float64][]notification{}
	for _, n := range s.scenario.notifications() {
		byTime[n.at] = append(byTime[n.at], n)
		if len(byTime[n.at]) > 1 {
			continue // scheduled with the first
		}
		s.at(n.at, func() {
			for _, n := range byTime[n.at] {
				s.workerStates[n.worker] = n.state
			}
			for _, d := range s.dispatchers {
				d.notify(byTime[n.at])
			}
		})
	}
}

// kill ends a dispatcher and restarts it after a downtime in seconds. The new one is notified of workers that are not ready.
func (s *simulation) kill(d *simDispatcher, down float64) {
	from := simEpoch + s.now
	d.kill()
	s.after(down, func() {
		if d.module != nil {
			return // killed again while down, and restarted by the first kill
		}
		d.start()
		s.evidence.Outages = append(s.evidence.Outages, Outage{Dispatcher: d.name, From: from, To: simEpoch + s.now})
		var notifications []notification
		for _, w := range s.spec.Workers {
			if state := s.workerStates[w.Name]; state != "" && state != stateReady {
				notifications = append(notifications, notification{s.now, w.Name, state})
			}
		}
		d.notify(notifications)
	})
}
