package emulator

import (
	"container/heap"
	"math"
	"slices"
)

// The simulation is event-driven. Each worker has its own time and its next event, so that the cost of an event depends
// on the state of one worker and not on the number of workers. Workers share the store only: when its speed changes,
// the workers that fetch are advanced first.

const (
	maxStep             = 0.02 // s, longest step while the speed of a worker changes continuously
	minDelay            = 1e-6 // s, least delay of the next event, so that time advances
	completionTolerance = 1e-7 // s, remaining work or load time below which it counts as done
)

// eventQueue is a heap of workers, ordered by the time of their next event and then by index.
type eventQueue []*worker

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].nextAt < q[j].nextAt || q[i].nextAt == q[j].nextAt && q[i].index < q[j].index
}

func (q eventQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex = i
	q[j].queueIndex = j
}

func (q *eventQueue) Push(x any) {
	w := x.(*worker)
	w.queueIndex = len(*q)
	*q = append(*q, w)
}

// Pop is never called: workers are not removed from the queue.
func (q *eventQueue) Pop() any { panic("emulator: workers are never removed from the event queue") }

// NextEvent returns the time of the next event, +Inf for none.
func (f *Fleet) NextEvent() float64 {
	next := f.storeFaultEndsAt
	if len(f.eventQueue) > 0 {
		next = math.Min(next, f.eventQueue[0].nextAt)
	}
	return next
}

// Advance processes the events up to a time and sets the clock to it.
func (f *Fleet) Advance(now float64) {
	for {
		next := f.NextEvent()
		if next > now {
			break
		}
		f.now = math.Max(f.now, next)
		if f.storeFaultEndsAt <= next {
			f.storeChanged = true
		} else {
			w := f.eventQueue[0]
			f.advanceWorker(w, f.now)
			f.scheduleNext(w)
		}
		f.updateStoreSlowdown()
	}
	f.now = math.Max(f.now, now)
}

// TakeFinished returns the requests that ended since the last call.
func (f *Fleet) TakeFinished() []*Request {
	finished := f.finished
	f.finished = nil
	return finished
}

// beginChange advances a worker to the present before a change of its state; endChange must follow.
func (f *Fleet) beginChange(now float64, w *worker) {
	f.Advance(now)
	f.advanceWorker(w, f.now)
}

// endChange schedules the next event after a change of a worker's state.
func (f *Fleet) endChange(w *worker) {
	f.scheduleNext(w)
	f.updateStoreSlowdown()
}

// updateStoreSlowdown recomputes the slowdown of the store if it may have changed. The workers that fetch are first
// advanced at the old slowdown, which may complete fetches and change the slowdown again.
func (f *Fleet) updateStoreSlowdown() {
	for f.storeChanged {
		f.storeChanged = false
		for _, w := range f.workers {
			if w.fetching() {
				f.advanceWorker(w, f.now)
			}
		}
		f.storeSlowdown = f.currentStoreSlowdown()
		f.storeFaultEndsAt = math.Inf(1)
		for _, fault := range f.storeFaults {
			if fault.until > f.now {
				f.storeFaultEndsAt = math.Min(f.storeFaultEndsAt, fault.until)
			}
		}
		for _, w := range f.workers {
			if w.fetching() {
				f.scheduleNext(w)
			}
		}
	}
}

// currentStoreSlowdown computes the current duration of a fetch as a multiple of that of a single one.
func (f *Fleet) currentStoreSlowdown() float64 {
	slowdown := 1.0
	if slots := f.spec.Store.Slots; slots > 0 && f.fetching > slots {
		slowdown = float64(f.fetching) / float64(slots)
	}
	for _, fault := range f.storeFaults {
		if f.now < fault.until {
			slowdown *= fault.Factor
		}
	}
	return slowdown
}

// scheduleNext computes the time of a worker's next event and updates the event queue.
func (f *Fleet) scheduleNext(w *worker) {
	w.nextAt = w.restartAt
	if w.up {
		w.nextAt = f.nextEventOf(w)
	}
	heap.Fix(&f.eventQueue, w.queueIndex)
}

func (f *Fleet) nextEventOf(w *worker) float64 {
	next := math.Inf(1)
	considerDelay := func(delay float64) { next = math.Min(next, f.now+math.Max(delay, minDelay)) }
	if speed := w.requestSpeed(f.now); speed > 0 {
		for _, r := range w.running {
			considerDelay(r.remaining / speed)
		}
	}
	if len(w.running) > 0 && (w.capacity(f.now) < 1 || len(w.faults) > 0) {
		considerDelay(maxStep)
	}
	for _, mr := range w.active {
		switch {
		case mr.fetching():
			considerDelay(mr.fetchLeft * f.storeSlowdown)
		case mr.isLoading:
			considerDelay(mr.bootLeft)
		case mr.idle() && w.spec.IdleTimeout > 0:
			considerDelay(mr.idleSince + w.spec.IdleTimeout - f.now)
		}
	}
	for _, fault := range w.faults {
		considerDelay(fault.until - f.now)
	}
	return next
}

// advanceWorker advances one worker to a time, at the speed that it has had since its last update.
func (f *Fleet) advanceWorker(w *worker, to float64) {
	elapsed := to - w.updatedAt
	speed := 0.0
	storeSlowdown := f.storeSlowdown
	if elapsed > 0 {
		speed = w.requestSpeed(w.updatedAt)
	}
	w.updatedAt = to
	if !w.up {
		f.restartIfDue(w, to)
		return
	}
	for _, r := range w.running {
		r.remaining -= elapsed * speed
	}
	for i := 0; i < len(w.running); i++ {
		if r := w.running[i]; r.remaining <= completionTolerance {
			f.finishRun(w, r) // removes it and appends the next to run
			i--
		}
	}
	for _, mr := range w.active {
		f.advanceReplicas(w, mr, elapsed, storeSlowdown)
	}
	f.expireFaults(w, to)
	w.active = slices.DeleteFunc(w.active, func(mr *modelReplicas) bool {
		mr.isActive = mr.isLoading || mr.ready > 0 || len(mr.waiting) > 0
		return !mr.isActive
	})
	f.removeOldKeys(to)
}

// restartIfDue restarts a crashed worker when its outage is over.
func (f *Fleet) restartIfDue(w *worker, now float64) {
	if now < w.restartAt {
		return
	}
	w.up = true
	w.startedAt = now
	w.restartAt = math.Inf(1)
	f.emitEvent(w, EventStarted, nil)
	if f.OnWorkerUp != nil {
		f.OnWorkerUp(w.index)
	}
}
