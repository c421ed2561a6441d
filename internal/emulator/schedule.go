package emulator

import (
	"container/heap"
	"math"
	"slices"
)

// How the model moves through time: each worker has a time of its own and knows when something next happens to it, so
// that an event costs what its worker holds, however many workers there are. What they share is the store: when its pace
// changes, the workers that fetch are brought up to date first.

const (
	maxStep       = 0.02 // s by which a worker moves at a time while its speed changes smoothly
	minDelay      = 1e-6 // s until the next event, so that time moves on
	finishedBelow = 1e-7 // s of remaining work or load that count as none
)

// agenda is a heap of workers by the time of their next event; equal times are ordered by index.
type agenda []*worker

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	return a[i].nextAt < a[j].nextAt || a[i].nextAt == a[j].nextAt && a[i].index < a[j].index
}

func (a agenda) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].agendaSlot = i
	a[j].agendaSlot = j
}

func (a *agenda) Push(x any) {
	w := x.(*worker)
	w.agendaSlot = len(*a)
	*a = append(*a, w)
}

// Pop is never called: workers stay on the agenda.
func (a *agenda) Pop() any { panic("emulator: workers stay on the agenda") }

// NextEvent returns when something may happen next, +Inf for never.
func (f *Fleet) NextEvent() float64 {
	next := f.storeNextAt
	if len(f.agenda) > 0 {
		next = math.Min(next, f.agenda[0].nextAt)
	}
	return next
}

// Advance moves the clock on and plays the events until then.
func (f *Fleet) Advance(now float64) {
	for {
		next := f.NextEvent()
		if next > now {
			break
		}
		f.now = math.Max(f.now, next)
		if f.storeNextAt <= next {
			f.storeChanged = true
		} else {
			w := f.agenda[0]
			f.advanceWorker(w, f.now)
			f.scheduleNext(w)
		}
		f.updateStorePace()
	}
	f.now = math.Max(f.now, now)
}

// TakeFinished returns the requests that ended since the last call.
func (f *Fleet) TakeFinished() []*Request {
	finished := f.finished
	f.finished = nil
	return finished
}

// beginChange brings a worker up to date before a change of its state; endChange has to follow.
func (f *Fleet) beginChange(now float64, w *worker) {
	f.Advance(now)
	f.advanceWorker(w, f.now)
}

// endChange schedules what follows from a change of a worker's state.
func (f *Fleet) endChange(w *worker) {
	f.scheduleNext(w)
	f.updateStorePace()
}

// updateStorePace recomputes the pace of the store if it changed. The workers that fetch are first brought up to date at
// the old pace; that may complete fetches and change the pace again.
func (f *Fleet) updateStorePace() {
	for f.storeChanged {
		f.storeChanged = false
		for _, w := range f.workers {
			if w.fetching() {
				f.advanceWorker(w, f.now)
			}
		}
		f.storeSlowdown = f.currentStoreSlowdown()
		f.storeNextAt = math.Inf(1)
		for _, fault := range f.storeFaults {
			if fault.until > f.now {
				f.storeNextAt = math.Min(f.storeNextAt, fault.until)
			}
		}
		for _, w := range f.workers {
			if w.fetching() {
				f.scheduleNext(w)
			}
		}
	}
}

// currentStoreSlowdown computes the present duration of a fetch as a multiple of that of a single one.
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

// scheduleNext computes when something next happens to a worker.
func (f *Fleet) scheduleNext(w *worker) {
	w.nextAt = w.returnAt
	if w.up {
		w.nextAt = f.nextEventOf(w)
	}
	heap.Fix(&f.agenda, w.agendaSlot)
}

func (f *Fleet) nextEventOf(w *worker) float64 {
	next := math.Inf(1)
	in := func(delay float64) { next = math.Min(next, f.now+math.Max(delay, minDelay)) }
	if speed := w.requestSpeed(f.now); speed > 0 {
		for _, r := range w.running {
			in(r.remaining / speed)
		}
	}
	if len(w.running) > 0 && (w.capacity(f.now) < 1 || len(w.faults) > 0) {
		in(maxStep)
	}
	for _, c := range w.active {
		switch {
		case c.fetching():
			in(c.fetchLeft * f.storeSlowdown)
		case c.isLoading:
			in(c.bootLeft)
		case c.idle() && w.spec.IdleTimeout > 0:
			in(c.idleSince + w.spec.IdleTimeout - f.now)
		}
	}
	for _, fault := range w.faults {
		in(fault.until - f.now)
	}
	return next
}

// advanceWorker brings one worker up to a time, at the speed that it had since its last update.
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
		if r := w.running[i]; r.remaining <= finishedBelow {
			f.finishRun(w, r) // removes it and appends the next to run
			i--
		}
	}
	for _, c := range w.active {
		f.advanceCopies(w, c, elapsed, storeSlowdown)
	}
	f.expireFaults(w, to)
	w.active = slices.DeleteFunc(w.active, func(c *modelCopies) bool {
		c.isActive = c.isLoading || c.ready > 0 || len(c.waiting) > 0
		return !c.isActive
	})
	f.sweepKeys(to)
}

// restartIfDue starts a crashed worker again when its outage is over.
func (f *Fleet) restartIfDue(w *worker, now float64) {
	if now < w.returnAt {
		return
	}
	w.up = true
	w.startAt = now
	w.returnAt = math.Inf(1)
	f.log(w, EventStarted, nil)
	if f.OnWorkerUp != nil {
		f.OnWorkerUp(w.index)
	}
}
