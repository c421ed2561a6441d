// Package emulator emulates workers and the model store that they share, for demonstrations, tests and the scenarios of
// package lab.
//
// Fleet simulates cores, memory, model replicas, queues, loads, slow start and faults. It does no I/O, takes the time
// from its caller and uses a seeded random source, so that runs are reproducible. Server serves a fleet over HTTP.
package emulator

import (
	"math"
	"math/rand/v2"
	"path"
	"slices"
)

// Fleet simulates all workers. It is not safe for concurrent use. Its methods take the time in seconds, which must not
// decrease from call to call. Workers are identified by their index in Spec.Workers.
type Fleet struct {
	OnEvent      func(now float64, worker string, event Event, r *Request) // may be nil; r is nil for events of a worker
	OnWorkerDown func(worker int)                                          // the caller must close its connections; may be nil
	OnWorkerUp   func(worker int)                                          // it accepts connections again; may be nil

	Fetches         int     // fetches from the store so far
	FetchesRejected int     // fetches that the store rejected so far
	PeakOverload    float64 // highest load of a worker in slow start so far, as a fraction of the load that crashes it

	spec       Spec
	now        float64
	rnd        *rand.Rand
	workers    []*worker
	eventQueue eventQueue
	modelSpecs map[string]*ModelSpec // by model name
	finished   []*Request            // not yet returned by TakeFinished

	dedupUntil     map[string]float64 // end of the window by dedup key
	dedupCleanedAt float64

	fetching         int // concurrent fetches
	storeFaults      []Fault
	storeSlowdown    float64 // duration of a fetch as a multiple of that of a single one
	storeChanged     bool    // storeSlowdown must be recomputed
	storeFaultEndsAt float64 // when the next active fault of the store ends; +Inf for none
}

// NewFleet returns a fleet whose workers are up and empty. They are in slow start if slowStart is set.
func NewFleet(s Spec, slowStart bool) *Fleet {
	f := &Fleet{spec: s, rnd: rand.New(rand.NewPCG(s.Seed, 1)), modelSpecs: map[string]*ModelSpec{},
		dedupUntil: map[string]float64{}, storeSlowdown: 1, storeFaultEndsAt: math.Inf(1)}
	for i, workerSpec := range s.Workers {
		w := newWorker(i, workerSpec, slowStart)
		f.workers = append(f.workers, w)
		f.eventQueue.Push(w)
	}
	return f
}

// StartTime returns when a worker last started.
func (f *Fleet) StartTime(worker int) float64 { return f.workers[worker].startedAt }

// IsUp reports whether a worker's process runs.
func (f *Fleet) IsUp(worker int) bool { return f.workers[worker].up }

// Name returns a worker's name.
func (f *Fleet) Name(worker int) string { return f.workers[worker].spec.Name }

// Overloaded reports whether a worker crashed by overload in slow start.
func (f *Fleet) Overloaded(worker int) bool { return f.workers[worker].overloaded }

// HasFault reports whether a fault of the kind is active at a worker.
func (f *Fleet) HasFault(worker int, kind string) bool { return f.workers[worker].hasFault(kind) }

// reportInterval is the minimum time between updates of a worker's load report.
const reportInterval = 0.1 // s

// LoadReport returns a worker's load report: the requests that run or are queued, and those that are queued.
func (f *Fleet) LoadReport(worker int) (inFlight, queued float64) {
	w := f.workers[worker]
	if f.now >= w.reportAt+reportInterval && !w.hasFault(FaultReportLate) {
		w.reportAt = f.now
		w.reportInFlight = float64(w.requestsInFlight)
		w.reportQueued = float64(w.queued())
	}
	return w.reportInFlight, w.reportQueued
}

func (f *Fleet) emitEvent(w *worker, event Event, r *Request) {
	if f.OnEvent != nil {
		f.OnEvent(f.now, w.spec.Name, event, r)
	}
}

// modelSpec returns the first spec that matches the name, nil for an unknown model.
func (f *Fleet) modelSpec(name string) *ModelSpec {
	if m := f.modelSpecs[name]; m != nil {
		return m
	}
	for i := range f.spec.Models {
		m := &f.spec.Models[i]
		if ok, _ := path.Match(m.Name, name); ok {
			f.modelSpecs[name] = m
			return m
		}
	}
	return nil
}

// Submit passes a request or a load request to a worker. Its outcome may be known when Submit returns; otherwise
// TakeFinished returns it later. Requests that end as NoResponse or WorkerLost may never be returned.
func (f *Fleet) Submit(now float64, worker int, r *Request) {
	w := f.workers[worker]
	f.beginChange(now, w)
	defer f.endChange(w)
	spec := f.modelSpec(r.Model)
	r.worker = w
	switch {
	case !w.up:
		r.Outcome = WorkerLost
	case spec == nil:
		r.Outcome = Errored
		r.Silenced = true
	case r.IsLoad:
		f.acceptLoad(w, r, spec)
	default:
		f.acceptRequest(w, r, spec)
	}
}

// minWork is the least work of a request.
const minWork = 1e-6 // s of one core

func (f *Fleet) acceptRequest(w *worker, r *Request, spec *ModelSpec) {
	r.Group = spec.Group
	r.remaining = spec.MeanWork * (0.5 + f.rnd.Float64())
	if r.remaining <= 0 {
		r.remaining = minWork
	}
	f.emitEvent(w, EventArrived, r)
	f.recordWork(w, r.remaining)
	if !w.up { // the work of this request crashed it
		r.Outcome = WorkerLost
		return
	}
	if f.applyRequestFaults(w, r) {
		return
	}
	if f.isDuplicate(w, r, spec) {
		r.Duplicate = true
		f.emitEvent(w, EventDuplicate, r)
		r.ModelState = ModelWarm
		r.Outcome = Served
		r.EndedAt = f.now
		return
	}
	f.enqueue(w, r, w.replicasOf(r.Model, spec))
}

// enqueue queues a request for a replica of its model, and starts a load if there is no replica.
func (f *Fleet) enqueue(w *worker, r *Request, mr *modelReplicas) {
	r.SameModelInFlight = len(mr.waiting) + mr.busy
	if w.queued() >= w.spec.QueueLimit {
		f.reject(w, r, RejectedFull)
		return
	}
	r.modelReplicas = mr
	switch {
	case mr.ready > 0:
		r.arrivalState = ModelWarm
	case mr.isLoading:
		r.arrivalState = LoadAwaited
	case w.spec.OnMiss == RejectOnMiss:
		f.reject(w, r, RejectedMiss)
		return
	case !f.startLoad(w, mr):
		f.reject(w, r, RejectedFull)
		return
	default:
		r.arrivalState = LoadStarted
	}
	w.requestsInFlight++
	mr.waiting = append(mr.waiting, r)
	f.runWaiting(w, mr)
}

func (f *Fleet) reject(w *worker, r *Request, outcome Outcome) {
	r.Outcome = outcome
	r.EndedAt = f.now
	f.emitEvent(w, EventRejected, r)
}

// runWaiting starts waiting requests while the replicas have free slots.
func (f *Fleet) runWaiting(w *worker, mr *modelReplicas) {
	for len(mr.waiting) > 0 && mr.hasFreeSlot() {
		r := mr.waiting[0]
		mr.waiting = mr.waiting[1:]
		if r.cancelled || r.pastDeadline(f.now) {
			w.requestsInFlight--
			r.end(NoResponse, f.now)
			continue
		}
		if f.isDuplicate(w, r, mr.spec) { // the other request began to run while this one waited
			w.requestsInFlight--
			r.Duplicate = true
			r.ModelState = r.arrivalState
			r.end(Served, f.now)
			f.emitEvent(w, EventDuplicate, r)
			f.finished = append(f.finished, r)
			continue
		}
		f.recordKey(w, r, mr.spec)
		mr.busy++
		r.phase = phaseRunning
		r.StartedAt = f.now
		w.running = append(w.running, r)
		f.emitEvent(w, EventRunning, r)
	}
}

// Cancel records that the connection of a request was closed. A worker with StopsCancelled stops the request.
func (f *Fleet) Cancel(now float64, r *Request) {
	w := r.worker
	f.beginChange(now, w)
	defer f.endChange(w)
	r.cancelled = true
	if !w.spec.StopsCancelled {
		return
	}
	switch {
	case r.phase == phaseWaiting && r.modelReplicas != nil:
		f.dequeue(w, r)
	case r.phase == phaseRunning:
		f.stopRunning(r)
		r.Outcome = NoResponse
		f.emitEvent(w, EventStopped, r)
		f.runWaiting(w, r.modelReplicas)
	}
}

// dequeue removes a cancelled request that waits.
func (f *Fleet) dequeue(w *worker, r *Request) {
	i := slices.Index(r.modelReplicas.waiting, r)
	if i < 0 {
		return
	}
	r.modelReplicas.waiting = slices.Delete(r.modelReplicas.waiting, i, i+1)
	w.requestsInFlight--
	r.end(NoResponse, f.now)
	f.emitEvent(w, EventStopped, r)
}

// stopRunning removes a request from the running ones; the caller sets its outcome.
func (f *Fleet) stopRunning(r *Request) {
	w := r.worker
	if i := slices.Index(w.running, r); i >= 0 {
		w.running = slices.Delete(w.running, i, i+1)
		w.requestsInFlight--
		r.modelReplicas.busy--
		r.modelReplicas.idleSince = f.now
	}
	r.phase = phaseEnded
	r.EndedAt = f.now
}

// finishRun ends a request whose work is done and starts the next one.
func (f *Fleet) finishRun(w *worker, r *Request) {
	f.stopRunning(r)
	r.ModelState = r.arrivalState
	event := EventServed
	r.Outcome = Served
	if r.Silenced {
		event = EventSilenced
		r.Outcome = NoResponse
	}
	f.emitEvent(w, event, r)
	f.finished = append(f.finished, r)
	f.runWaiting(w, r.modelReplicas)
}
