// Package membership keeps the endpoint list of workers: which sources list them, in which state, as of which version of
// the list, and since when. It does no I/O and reads no clock.
//
// Where sources disagree the stricter state applies: gone before draining before ready. A state that the admin interface
// sets applies until it is reset there.
//
// A List and its Workers belong to one goroutine. Times are seconds of the dispatcher's monotonic clock unless a comment
// says otherwise.
package membership

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"

	"mastchute/control"
)

// Source is where a worker is listed.
type Source uint8

// The sources. The first one that lists a worker determines everything but its state.
const (
	SourceConfig    Source = iota // the settings file
	SourceFile                    // the worker list file
	SourceAdmin                   // the admin interface
	SourceChangeLog               // the platform's change log
	sourceCount
)

// String returns the source as logs and /status show it.
func (s Source) String() string { return [...]string{"config", "file", "admin", "change log"}[s] }

// Entry is a worker as one source lists it.
type Entry struct {
	Name   string
	Addr   netip.AddrPort
	Zone   string
	Cell   string
	Kind   string
	Weight float64
	State  control.WorkerState

	// StartProvided is set by a source that knows when workers started. The fields below are valid then, and the worker
	// itself is not probed.
	StartProvided  bool
	Epoch          float64 // its latest start in seconds since 1970; 0 for long ago
	StartedAt      float64 // the same on the dispatcher's clock; -Inf for long ago
	StartNotBefore float64 // the start is known to be no earlier, as the source would have listed it before
}

// Worker is a worker as all sources list it. The exported fields are for reading only.
type Worker struct {
	Entry
	ID        control.WorkerID
	StartedAt float64 // its latest known start; -Inf if none is known
	Epoch     float64 // the same in seconds since 1970, as the worker or a source reported it; 0 if none is known
	Version   uint32  // of the list when the worker last changed
	ChangedAt float64
	Source    Source // the one that determines its state
	Listed    bool   // some source lists it

	StartupProbe
	startHistory startHistory
	withheld     bool // listed as ready again, but not probed since
	entries      [sourceCount]Entry
	listedBy     [sourceCount]bool
	// adminState is what the admin interface set, if hasAdminState.
	hasAdminState bool
	adminState    control.WorkerState
	info          control.WorkerInfo
}

// IDCollisionError is returned for a worker whose id, a hash of its name, is that of another worker.
type IDCollisionError struct {
	Existing, Name string
}

// Error implements error.
func (e *IDCollisionError) Error() string {
	return fmt.Sprintf("workers %q and %q have the same id: rename one", e.Existing, e.Name)
}

// UnlistedWorkerError is returned for a state of a worker that no source lists, without an address to list it by.
type UnlistedWorkerError struct {
	Name string
}

// Error implements error.
func (e *UnlistedWorkerError) Error() string {
	return fmt.Sprintf("worker %q is not listed: give its address", e.Name)
}

// AddressConflictError is returned for an address from the admin interface that differs from the one another source lists.
type AddressConflictError struct {
	Name   string
	Listed netip.AddrPort
}

// Error implements error.
func (e *AddressConflictError) Error() string {
	return fmt.Sprintf("worker %q is listed at %s: its address is changed where it is listed", e.Name, e.Listed)
}

// List is the endpoint list. New makes one.
type List struct {
	Version uint32 // counts the changes

	byID   map[control.WorkerID]*Worker
	sorted []*Worker // by name
	idOf   func(name string) control.WorkerID
	zones  nameIndex
	cells  nameIndex
	kinds  nameIndex
}

// nameIndex numbers names in the order of their first use, from 1; 0 is the empty name.
type nameIndex map[string]int

func (n nameIndex) indexOf(name string) int {
	if name == "" {
		return 0
	}
	if _, ok := n[name]; !ok {
		n[name] = len(n) + 1
	}
	return n[name]
}

// New returns an empty list. idOf returns the id of a worker by its name.
func New(idOf func(name string) control.WorkerID) *List {
	return &List{byID: map[control.WorkerID]*Worker{}, idOf: idOf, zones: nameIndex{}, cells: nameIndex{}, kinds: nameIndex{}}
}

// All returns the workers by name, those gone included. The slice is the list's own and valid until its next change.
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

// Replace replaces all entries of a source, and returns the workers that have changed. It changes nothing if it returns an
// error, an IDCollisionError.
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

// Update adds or replaces some entries of a source, and returns the workers that have changed. It changes nothing if it
// returns an error, an IDCollisionError.
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
// An entry with an address also lists the worker; one that no source lists needs it. SetAdminState changes nothing if it
// returns an error: an UnlistedWorkerError, IDCollisionError or AddressConflictError.
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

// EvictGone removes the workers that have been gone since before a time, if mayEvict allows it.
func (l *List) EvictGone(before float64, mayEvict func(*Worker) bool) {
	l.sorted = slices.DeleteFunc(l.sorted, func(w *Worker) bool {
		if w.State != control.Gone || w.ChangedAt >= before || w.hasAdminState || !mayEvict(w) {
			return false
		}
		delete(l.byID, w.ID)
		return true
	})
}

// checkID returns an IDCollisionError if the id of a name is that of another worker.
func (l *List) checkID(name string) error {
	w := l.byID[l.idOf(name)]
	if w != nil && w.Name != name {
		return &IDCollisionError{Existing: w.Name, Name: name}
	}
	return nil
}

// setEntry sets a source's entry of a worker. It takes effect with mergeSources.
func (l *List) setEntry(source Source, entry Entry) {
	id := l.idOf(entry.Name)
	w := l.byID[id]
	if w == nil {
		w = &Worker{Entry: entry, ID: id, StartedAt: math.Inf(-1)}
		l.byID[id] = w
		i, _ := slices.BinarySearchFunc(l.sorted, w, func(a, b *Worker) int { return cmp.Compare(a.Name, b.Name) })
		l.sorted = slices.Insert(l.sorted, i, w)
	}
	w.entries[source] = entry
	w.listedBy[source] = true
}

// mergeSources merges the entries of each worker, and returns the workers that have changed, under a new version.
func (l *List) mergeSources(now float64) []*Worker {
	var changed []*Worker
	for _, w := range l.sorted {
		if l.mergeWorker(w, now) {
			changed = append(changed, w)
		}
	}
	if len(changed) > 0 {
		l.Version++
	}
	for _, w := range changed {
		w.Version = l.Version
		w.ChangedAt = now
	}
	return changed
}

// mergeWorker merges the entries of a worker, and reports whether it has changed.
func (l *List) mergeWorker(w *Worker, now float64) bool {
	before := w.info
	wasListed := w.Listed
	addrBefore := w.Addr
	isKnown := w.Version > 0
	w.State = w.mergeEntries()
	if w.StartProvided {
		w.recordStart(w.Entry.Epoch, w.Entry.StartedAt, w.Entry.StartNotBefore, now)
	}
	isReadyAgain := isKnown && before.State != control.Ready
	w.withheld = !w.StartProvided && w.State == control.Ready && (w.withheld || isReadyAgain)
	w.info = l.infoOf(w)
	return w.info != before || w.Listed != wasListed || w.Addr != addrBefore
}

// mergeEntries sets Entry, Source and Listed from the entries of all sources, and returns the strictest state. A worker
// that no source lists any more is gone and keeps its latest entry.
func (w *Worker) mergeEntries() control.WorkerState {
	state := control.Gone
	w.Listed = false
	for source := range sourceCount {
		if !w.listedBy[source] {
			continue
		}
		entry := w.entries[source]
		switch {
		case !w.Listed:
			w.Listed = true
			w.Source = source
			w.Entry = entry
			state = entry.State
		case strictness(entry.State) > strictness(state):
			w.Source = source
			state = entry.State
		}
	}
	if w.Listed && w.hasAdminState && strictness(w.adminState) > strictness(state) {
		w.Source = SourceAdmin
		state = w.adminState
	}
	return state
}

// strictness orders states: the higher one applies where sources disagree.
func strictness(state control.WorkerState) int {
	switch state {
	case control.Gone:
		return 2
	case control.Draining:
		return 1
	}
	return 0
}

func (l *List) infoOf(w *Worker) control.WorkerInfo {
	return control.WorkerInfo{
		ID:        w.ID,
		Zone:      control.ZoneID(l.zones.indexOf(w.Zone)),
		Kind:      control.KindID(l.kinds.indexOf(w.Kind)),
		Cell:      control.CellID(l.cells.indexOf(w.Cell)),
		State:     w.State,
		Weight:    w.Weight,
		StartedAt: w.StartedAt,
	}
}

// Advertised returns the worker's entry for the control module. A worker that is ready again is advertised as draining until
// a startup probe has finished: after a drain its process has often been replaced, and the new one holds no models.
func (w *Worker) Advertised() control.WorkerInfo {
	info := w.info
	if w.withheld {
		info.State = control.Draining
	}
	return info
}

// AwaitingStartupProbe reports whether the worker is ready again but has not been probed since.
func (w *Worker) AwaitingStartupProbe() bool { return w.withheld }

// FinishStartupProbe records that a startup probe has finished, with or without a response, and reports whether the
// worker's advertised state has changed.
func (l *List) FinishStartupProbe(w *Worker) bool {
	wasWithheld := w.withheld
	w.withheld = false
	return wasWithheld
}

// ObserveStart records the start that a worker reports of itself: epoch in seconds since 1970, startedAt on the
// dispatcher's clock. It reports whether that is a restart, which makes it a new, empty worker under the old name, and
// counts as a change of the list.
func (l *List) ObserveStart(w *Worker, epoch, startedAt, now float64) bool {
	isRestart := w.recordStart(epoch, startedAt, math.Inf(-1), now)
	if isRestart {
		l.Version++
		w.Version = l.Version
		w.ChangedAt = now
		w.info = l.infoOf(w)
	}
	return isRestart
}

// StateName returns the name of the state in logs, /status and the admin interface.
func (w *Worker) StateName() string { return [...]string{"gone", "ready", "draining"}[w.State] }
