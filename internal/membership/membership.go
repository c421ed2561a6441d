// Package membership maintains the endpoint list of workers: the sources that list each worker, its state, and the version
// of the list and the time at which it last changed. It does no I/O and reads no clock.
//
// If sources disagree, the stricter state applies: gone is stricter than draining, and draining is stricter than ready. A
// state that the admin interface sets applies until it is reset there.
//
// A List and its Workers belong to one goroutine. Times are seconds of the dispatcher's monotonic clock unless a comment
// says otherwise.
package membership

import (
	"math"
	"slices"

	"mastchute/control"
)

// List is the endpoint list. New makes one.
type List struct {
	Version uint32 // number of changes so far

	byID   map[control.WorkerID]*Worker
	sorted []*Worker // by name
	idOf   func(name string) control.WorkerID
	zones  nameIndex
	cells  nameIndex
	kinds  nameIndex
}

// nameIndex numbers names in the order of their first use, from 1; 0 is the empty name.
type nameIndex map[string]int

func (names nameIndex) indexOf(name string) int {
	if name == "" {
		return 0
	}
	if _, ok := names[name]; !ok {
		names[name] = len(names) + 1
	}
	return names[name]
}

// New returns an empty list. idOf returns the id of a worker by its name.
func New(idOf func(name string) control.WorkerID) *List {
	return &List{byID: map[control.WorkerID]*Worker{}, idOf: idOf, zones: nameIndex{}, cells: nameIndex{}, kinds: nameIndex{}}
}

// All returns all workers, including those gone, sorted by name. The slice belongs to the list and is valid until its next
// change.
func (l *List) All() []*Worker { return l.sorted }

// ByID returns a worker by its id, nil if there is none.
func (l *List) ByID(id control.WorkerID) *Worker { return l.byID[id] }

// ByName returns a worker by its name, nil if there is none.
func (l *List) ByName(name string) *Worker {
	w := l.byID[l.idOf(name)]
	if w == nil || w.Name != name {
		return nil
	}
	return w
}

// Replace replaces all entries of a source, and returns the workers that have changed. If it returns an error, which is an
// *IDCollisionError, nothing has changed.
func (l *List) Replace(source Source, entries []Entry, now float64) ([]*Worker, error) {
	nameByID := map[control.WorkerID]string{}
	for _, e := range entries {
		id := l.idOf(e.Name)
		if other, ok := nameByID[id]; ok {
			return nil, &IDCollisionError{Existing: other, Name: e.Name}
		}
		if err := l.checkID(e.Name); err != nil {
			return nil, err
		}
		nameByID[id] = e.Name
	}
	for _, w := range l.sorted {
		if _, ok := nameByID[w.ID]; !ok {
			w.listedBy[source] = false
		}
	}
	for _, e := range entries {
		l.setEntry(source, e)
	}
	return l.mergeSources(now), nil
}

// Update adds or replaces some entries of a source, and returns the workers that have changed. If it returns an error, which
// is an *IDCollisionError, nothing has changed.
func (l *List) Update(source Source, entries []Entry, now float64) ([]*Worker, error) {
	for _, e := range entries {
		if err := l.checkID(e.Name); err != nil {
			return nil, err
		}
	}
	for _, e := range entries {
		l.setEntry(source, e)
	}
	return l.mergeSources(now), nil
}

// SetAdminState sets the state of a worker as the admin interface requests it, and returns the workers that have changed.
// An entry with an address also lists the worker, so a worker that no source lists needs an address. If SetAdminState returns
// an error, which is an *UnlistedWorkerError, *IDCollisionError or *AddressConflictError, nothing has changed.
func (l *List) SetAdminState(entry Entry, now float64) ([]*Worker, error) {
	w := l.ByName(entry.Name)
	isListed := w != nil && w.Listed
	if !isListed {
		if !entry.Addr.IsValid() {
			return nil, &UnlistedWorkerError{Name: entry.Name}
		}
		if err := l.checkID(entry.Name); err != nil {
			return nil, err
		}
	}
	if entry.Addr.IsValid() {
		if isListed && w.Addr.IsValid() && w.Addr != entry.Addr && !w.listedBy[SourceAdmin] {
			return nil, &AddressConflictError{Name: entry.Name, Listed: w.Addr}
		}
		listed := entry
		listed.State = control.Ready
		l.setEntry(SourceAdmin, listed)
		w = l.ByName(entry.Name)
	}
	w.hasAdminState = entry.State != control.Ready
	w.adminState = entry.State
	return l.mergeSources(now), nil
}

// MarkReplaced records that another process has taken the address of a worker. The worker is gone until a source lists it with
// another start or address.
func (l *List) MarkReplaced(w *Worker, now float64) (changed []*Worker) {
	w.replacedStart = w.Entry.StartEpoch
	w.replacedAddr = w.Addr
	return l.mergeSources(now)
}

// EvictGone removes the workers that have been gone since before the given time, if mayEvict allows it.
func (l *List) EvictGone(before float64, mayEvict func(*Worker) bool) {
	l.sorted = slices.DeleteFunc(l.sorted, func(w *Worker) bool {
		if w.State != control.Gone || w.ChangedAt >= before || w.hasAdminState || !mayEvict(w) {
			return false
		}
		delete(l.byID, w.ID)
		return true
	})
}

// checkID returns an *IDCollisionError if the id of a name is that of another worker.
func (l *List) checkID(name string) error {
	w := l.byID[l.idOf(name)]
	if w != nil && w.Name != name {
		return &IDCollisionError{Existing: w.Name, Name: name}
	}
	return nil
}

// FinishStartupProbe records that a startup probe has finished, with or without a response, and reports whether the
// worker's advertised state has changed.
func (l *List) FinishStartupProbe(w *Worker) bool {
	wasAwaitingProbe := w.awaitingProbe
	w.awaitingProbe = false
	return wasAwaitingProbe
}

// ObserveStart records the start time that a worker reports: epoch in seconds since 1970, startedAt on the dispatcher's
// clock. It reports whether the worker has restarted, so that it has no models loaded. A restart counts as a change of the
// list.
func (l *List) ObserveStart(w *Worker, epoch, startedAt, now float64) bool {
	isRestart := w.recordStart(epoch, startedAt, math.Inf(-1), now)
	if isRestart {
		l.Version++
		w.Version = l.Version
		w.ChangedAt = now
		w.info = l.workerInfo(w)
	}
	return isRestart
}
