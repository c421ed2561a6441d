// Package emulator emulates workers and the model store that they share, for demonstrations, tests and the scenarios of
// package lab.
//
// Fleet is the pure model of cores, memory, model copies, queues, loads, slow start and faults. It does no I/O, has no
// clock of its own and draws from a seeded source, so that a run can be repeated. Server puts a fleet on sockets.
package emulator

import (
	"math"
	"math/rand/v2"
	"path"
	"slices"
)

// Fleet is the model of all workers. It is not safe for concurrent use. Its methods take the time in seconds, which must
// not decrease from call to call. Workers are named by their index in Spec.Workers.
type Fleet struct {
	OnEvent      func(now float64, worker string, event Event, r *Request) // may be nil; r is nil for events of a worker
	OnWorkerDown func(worker int)                                          // its connections are to be reset; may be nil
	OnWorkerUp   func(worker int)                                          // it accepts connections again; may be nil

	Fetches         int     // fetches from the store so far
	FetchesRejected int     // fetches that the store rejected so far
	PeakOverload    float64 // worst load of a worker in slow start so far, as a fraction of what crashes it

	spec       Spec
	now        float64
	rnd        *rand.Rand
	workers    []*worker
	agenda     agenda
	modelSpecs map[string]*ModelSpec // by model name
	finished   []*Request            // not taken yet

	dedupUntil   map[string]float64 // end of the window by dedup key
	dedupSweptAt float64

	fetching      int // concurrent fetches
	storeFaults   []Fault
	storeSlowdown float64 // of each fetch, compared with a fetch alone
	storeChanged  bool    // storeSlowdown has to be computed anew
	storeNextAt   float64 // when a fault of the store ends
}

// NewFleet returns a fleet whose workers are up and empty. They are in slow start if cold is set.
func NewFleet(s Spec, cold bool) *Fleet {
	f := &Fleet{spec: s, rnd: rand.New(rand.NewPCG(s.Seed, 1)), modelSpecs: map[string]*ModelSpec{},
		dedupUntil: map[string]float64{}, storeSlowdown: 1, storeNextAt: math.Inf(1)}
	for i, workerSpec := range s.Workers {
		w := newWorker(i, workerSpec, cold)
		f.workers = append(f.workers, w)
		f.agenda.Push(w)
	}
	return f
}

// StartTime returns when a worker last started.
func (f *Fleet) StartTime(worker int) float64 { return f.workers[worker].startAt }

// IsUp reports whether a worker's process runs.
func (f *Fleet) IsUp(worker int) bool { return f.workers[worker].up }

// Name returns a worker's name.
func (f *Fleet) Name(worker int) string { return f.workers[worker].spec.Name }

// Overloaded reports whether a worker crashed by overload in slow start.
func (f *Fleet) Overloaded(worker int) bool { return f.workers[worker].overloaded }

// HasFault reports whether a fault of the kind is active at a worker.
func (f *Fleet) HasFault(worker int, kind string) bool { return f.workers[worker].hasFault(kind) }

// reportInterval is the time for which a worker repeats a load report.
const reportInterval = 0.1 // s

// LoadReport returns a worker's load report: the requests that it holds, and those of them that wait.
func (f *Fleet) LoadReport(worker int) (inFlight, queued float64) {
	w := f.workers[worker]
	if f.now >= w.reportAt+reportInterval && !w.hasFault(FaultReportLate) {
		w.reportAt = f.now
		w.reportInFlight = float64(w.held)
		w.reportQueued = float64(w.queued())
	}
	return w.reportInFlight, w.reportQueued
}

func (f *Fleet) log(w *worker, event Event, r *Request) {
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

// Submit gives a request or a load request to a worker. Its outcome may be known when Submit returns; otherwise
// TakeFinished returns it later. Requests that end as Unanswered or WorkerLost may never be returned.
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
	f.log(w, EventArrived, r)
	f.recordWork(w, r.remaining)
	if !w.up { // this request crashed it
		r.Outcome = WorkerLost
		return
	}
	if f.applyRequestFaults(w, r) {
		return
	}
	if f.isDuplicate(w, r, spec) {
		r.Duplicate = true
		f.log(w, EventDuplicate, r)
		r.ModelState = ModelWarm
		r.Outcome = Served
		r.EndedAt = f.now
		return
	}
	f.enqueue(w, r, w.copiesOf(r.Model, spec))
}

// enqueue lets a request wait for a copy, and starts a load if there is none.
func (f *Fleet) enqueue(w *worker, r *Request, c *modelCopies) {
	r.SameModelInFlight = len(c.waiting) + c.busy
	if w.queued() >= w.spec.QueueLimit {
		f.reject(w, r, RejectedFull)
		return
	}
	r.copies = c
	switch {
	case c.ready > 0:
		r.arrivalState = ModelWarm
	case c.isLoading:
		r.arrivalState = LoadAwaited
	case w.spec.OnMiss == RejectOnMiss:
		f.reject(w, r, RejectedMiss)
		return
	case !f.startLoad(w, c):
		f.reject(w, r, RejectedFull)
		return
	default:
		r.arrivalState = LoadStarted
	}
	w.held++
	c.waiting = append(c.waiting, r)
	f.runWaiting(w, c)
}

func (f *Fleet) reject(w *worker, r *Request, outcome Outcome) {
	r.Outcome = outcome
	r.EndedAt = f.now
	f.log(w, EventRejected, r)
}

// runWaiting runs waiting requests as long as copies have lanes for them.
func (f *Fleet) runWaiting(w *worker, c *modelCopies) {
	for len(c.waiting) > 0 && c.hasLane() {
		r := c.waiting[0]
		c.waiting = c.waiting[1:]
		if r.cancelled || r.pastDeadline(f.now) {
			w.held--
			r.end(Unanswered, f.now)
			continue
		}
		if f.isDuplicate(w, r, c.spec) { // the other one arrived while this one waited
			w.held--
			r.Duplicate = true
			r.ModelState = r.arrivalState
			r.end(Served, f.now)
			f.log(w, EventDuplicate, r)
			f.finished = append(f.finished, r)
			continue
		}
		f.rememberKey(w, r, c.spec)
		c.busy++
		r.phase = phaseRunning
		r.StartedAt = f.now
		w.running = append(w.running, r)
		f.log(w, EventRunning, r)
	}
}

// Cancel records that the connection of a request was closed. Workers that stop cancelled work release its place.
func (f *Fleet) Cancel(now float64, r *Request) {
	w := r.worker
	f.beginChange(now, w)
	defer f.endChange(w)
	r.cancelled = true
	if !w.spec.StopsCancelled {
		return
	}
	switch {
	case r.phase == phaseWaiting && r.copies != nil:
		f.dequeue(w, r)
	case r.phase == phaseRunning:
		f.stopRunning(r)
		r.Outcome = Unanswered
		f.log(w, EventStopped, r)
		f.runWaiting(w, r.copies)
	}
}

// dequeue removes a cancelled request that waits.
func (f *Fleet) dequeue(w *worker, r *Request) {
	i := slices.Index(r.copies.waiting, r)
	if i < 0 {
		return
	}
	r.copies.waiting = slices.Delete(r.copies.waiting, i, i+1)
	w.held--
	r.end(Unanswered, f.now)
	f.log(w, EventStopped, r)
}

// stopRunning removes a request from those that run; the caller sets its outcome.
func (f *Fleet) stopRunning(r *Request) {
	w := r.worker
	if i := slices.Index(w.running, r); i >= 0 {
		w.running = slices.Delete(w.running, i, i+1)
		w.held--
		r.copies.busy--
		r.copies.idleSince = f.now
	}
	r.phase = phaseEnded
	r.EndedAt = f.now
}

// finishRun ends a request whose work is done and lets the next one run.
func (f *Fleet) finishRun(w *worker, r *Request) {
	f.stopRunning(r)
	r.ModelState = r.arrivalState
	event := EventServed
	r.Outcome = Served
	if r.Silenced {
		event = EventSilenced
		r.Outcome = Unanswered
	}
	f.log(w, event, r)
	f.finished = append(f.finished, r)
	f.runWaiting(w, r.copies)
}
