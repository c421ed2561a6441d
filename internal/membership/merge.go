package membership

import (
	"cmp"
	"math"
	"slices"

	"mastchute/control"
)

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

// mergeWorker merges the entries of a worker, and reports whether the result has changed.
func (l *List) mergeWorker(w *Worker, now float64) bool {
	before := w.info
	wasListed := w.Listed
	addrBefore := w.Addr
	isKnown := w.Version > 0
	w.State = w.mergeEntries()
	if w.StartProvided {
		w.recordStart(w.Entry.StartEpoch, w.Entry.StartedAt, w.Entry.StartNotBefore, now)
	}
	isReadyAgain := isKnown && before.State != control.Ready
	w.awaitingProbe = !w.StartProvided && w.State == control.Ready && (w.awaitingProbe || isReadyAgain)
	w.info = l.workerInfo(w)
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
	if w.replacedAddr.IsValid() && w.Addr == w.replacedAddr && w.Entry.StartEpoch == w.replacedStart {
		return control.Gone
	}
	if w.Listed && w.hasAdminState && strictness(w.adminState) > strictness(state) {
		w.Source = SourceAdmin
		state = w.adminState
	}
	return state
}

// strictness orders the states: the one with the higher value applies if sources disagree.
func strictness(state control.WorkerState) int {
	switch state {
	case control.Gone:
		return 2
	case control.Draining:
		return 1
	}
	return 0
}

func (l *List) workerInfo(w *Worker) control.WorkerInfo {
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
