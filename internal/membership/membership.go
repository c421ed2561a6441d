// Package membership keeps the list of workers: which sources name them, in which state, as of which version, and when
// each change was heard. It is pure: no I/O, no clock. Where sources disagree the stricter word holds: gone before
// draining before ready; what the admin interface said of a worker holds until it is taken back there.
package membership

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"

	"mastchute/control"
)

// Source says who names a worker.
type Source uint8

const (
	SourceConfig Source = iota
	SourceFile
	SourceAdmin
	SourceChangeLog // the platform's change log
	sourceCount
)

func (s Source) String() string { return [...]string{"config", "file", "admin", "change log"}[s] }

// Entry is a worker as a source names it.
type Entry struct {
	Name          string
	Addr          netip.AddrPort
	Zone          string
	Cell          string
	Kind          string
	Weight        float64
	State         control.WorkerState
	StartProvided bool    // the source tells starts: Epoch, Start and NotBefore hold, and the worker is not asked
	Epoch         float64 // of its latest start, seconds since 1970; 0 for long ago
	StartedAt     float64 // the same on the dispatcher's clock, -Inf for long ago
	// NotBefore is a time on the dispatcher's clock before which the source would have told this start already.
	StartNotBefore float64
}

// Worker is a worker as all sources together have it.
type Worker struct {
	Entry
	ID        control.WorkerID
	StartedAt float64 // s on the dispatcher's clock of its latest start heard of, -Inf for not told
	Epoch     float64 // the same as the worker or a list tells it, seconds since 1970; 0 for not told
	Version   uint32  // of the list when it last changed
	ChangedAt float64 // s on the dispatcher's clock when that was
	Source    Source  // the source whose word holds
	Listed    bool    // some source names it still

	StartupProbe
	startHistory  startHistory
	withheld      bool // ready again by the list, but not greeted since
	entries       [sourceCount]Entry
	listedBy      [sourceCount]bool
	hasAdminState bool // the admin interface has spoken of its state
	adminState    control.WorkerState
	info          control.WorkerInfo
}

// List is the list. Make it by New.
type List struct {
	Version uint32
	byID    map[control.WorkerID]*Worker
	sorted  []*Worker
	idOf    func(string) control.WorkerID
	zones   nameIndex
	cells   nameIndex
	kinds   nameIndex
}

// nameIndex numbers names in order of sight; 0 is the empty name.
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

// New makes an empty list; id tells the id of a name.
func New(id func(string) control.WorkerID) *List {
	return &List{byID: map[control.WorkerID]*Worker{}, idOf: id, zones: nameIndex{}, cells: nameIndex{}, kinds: nameIndex{}}
}

// All lists the workers, by name, those gone included.
func (r *List) All() []*Worker { return r.sorted }

// ByID returns a worker by id, nil if there is none.
func (r *List) ByID(id control.WorkerID) *Worker { return r.byID[id] }

// ByName returns a worker by name, nil if there is none.
func (r *List) ByName(name string) *Worker {
	if w := r.byID[r.idOf(name)]; w != nil && w.Name == name {
		return w
	}
	return nil
}

// Replace sets what a source names: workers it named before and does not name now are taken off its list. It returns
// the workers whose line changed. An id that two names share is refused by name, and nothing is changed.
func (r *List) Replace(s Source, list []Entry, now float64) ([]*Worker, error) {
	seen := map[control.WorkerID]string{}
	for _, e := range list {
		id := r.idOf(e.Name)
		if other, ok := seen[id]; ok {
			return nil, fmt.Errorf("workers %q and %q have the same id: rename one", other, e.Name)
		}
		if w := r.byID[id]; w != nil && w.Name != e.Name {
			return nil, fmt.Errorf("workers %q and %q have the same id: rename one", w.Name, e.Name)
		}
		seen[id] = e.Name
	}
	for _, w := range r.sorted {
		if _, ok := seen[w.ID]; !ok {
			w.listedBy[s] = false
		}
	}
	for _, e := range list {
		r.setEntry(s, e)
	}
	return r.mergeSources(now), nil
}

// Update sets what a source says of some workers; it goes on naming the others.
func (r *List) Update(s Source, list []Entry, now float64) ([]*Worker, error) {
	for _, e := range list {
		if w := r.byID[r.idOf(e.Name)]; w != nil && w.Name != e.Name {
			return nil, fmt.Errorf("workers %q and %q have the same id: rename one", w.Name, e.Name)
		}
	}
	for _, e := range list {
		r.setEntry(s, e)
	}
	return r.mergeSources(now), nil
}

// EvictGone drops the workers that have been gone since a time and that may be dropped.
func (r *List) EvictGone(since float64, may func(*Worker) bool) {
	r.sorted = slices.DeleteFunc(r.sorted, func(w *Worker) bool {
		if w.State != control.Gone || w.ChangedAt >= since || w.hasAdminState || !may(w) {
			return false
		}
		delete(r.byID, w.ID)
		return true
	})
}

func (r *List) setEntry(s Source, e Entry) {
	w := r.byID[r.idOf(e.Name)]
	if w == nil {
		w = &Worker{Entry: e, ID: r.idOf(e.Name), StartedAt: math.Inf(-1)}
		r.byID[w.ID] = w
		i, _ := slices.BinarySearchFunc(r.sorted, w, func(a, b *Worker) int { return cmp.Compare(a.Name, b.Name) })
		r.sorted = slices.Insert(r.sorted, i, w)
	}
	w.entries[s], w.listedBy[s] = e, true
}

// SetAdminState sets what the admin interface says of a worker's state; a worker it does not know yet needs an address.
func (r *List) SetAdminState(e Entry, now float64) ([]*Worker, error) {
	w := r.ByName(e.Name)
	if w == nil || !w.Listed {
		if !e.Addr.IsValid() {
			return nil, fmt.Errorf("worker %q is not listed: give its address", e.Name)
		}
		if other := r.byID[r.idOf(e.Name)]; other != nil && other.Name != e.Name {
			return nil, fmt.Errorf("workers %q and %q have the same id: rename one", other.Name, e.Name)
		}
	}
	if e.Addr.IsValid() {
		if w != nil && w.Addr.IsValid() && w.Listed && w.Addr != e.Addr && !w.listedBy[SourceAdmin] {
			return nil, fmt.Errorf("worker %q is listed at %s: its address is changed where it is listed", e.Name, w.Addr)
		}
		state := e.State
		e.State = control.Ready
		r.setEntry(SourceAdmin, e)
		e.State = state
		w = r.ByName(e.Name)
	}
	w.hasAdminState, w.adminState = e.State != control.Ready, e.State
	return r.mergeSources(now), nil
}

// ObserveStart notes the start that a worker tells of itself (seconds since 1970, and the same on the dispatcher's clock).
// It returns true where that is news: an empty, cold worker under the old name.
func (r *List) ObserveStart(w *Worker, epoch, start, now float64) bool {
	if !w.recordStart(epoch, start, math.Inf(-1), now) {
		return false // an answer that was under way, or nothing new
	}
	r.Version++
	w.Version, w.ChangedAt = r.Version, now
	w.info = r.infoOf(w)
	return true
}

// mergeSources works out each worker's line, and returns those that changed.
func (r *List) mergeSources(now float64) []*Worker {
	var changed []*Worker
	for _, w := range r.sorted {
		was, listed := w.info, w.Listed
		known := w.Version > 0
		w.Listed = false
		state := control.Ready
		addr := w.Addr
		for s := SourceConfig; s < sourceCount; s++ {
			if !w.listedBy[s] {
				continue
			}
			if e := w.entries[s]; !w.Listed {
				w.Listed, w.Source = true, s
				w.Entry = e
				state = e.State
			} else if strictness(e.State) > strictness(state) {
				state, w.Source = e.State, s
			}
		}
		if !w.Listed {
			state = control.Gone
		} else if w.hasAdminState && strictness(w.adminState) > strictness(state) {
			state, w.Source = w.adminState, SourceAdmin
		}
		w.State = state
		if w.StartProvided { // the latest start heard of holds: an event told late must not make it warm
			w.recordStart(w.Entry.Epoch, w.Entry.StartedAt, w.Entry.StartNotBefore, now)
		}
		w.withheld = !w.StartProvided && state == control.Ready && (w.withheld || known && was.State != control.Ready)
		if w.info = r.infoOf(w); w.info != was || w.Listed != listed || addr != w.Addr {
			changed = append(changed, w)
		}
	}
	if len(changed) > 0 {
		r.Version++
	}
	for _, w := range changed {
		w.Version, w.ChangedAt = r.Version, now
	}
	return changed
}

func strictness(s control.WorkerState) int {
	switch s {
	case control.Gone:
		return 2
	case control.Draining:
		return 1
	}
	return 0
}

func (r *List) infoOf(w *Worker) control.WorkerInfo {
	return control.WorkerInfo{ID: w.ID, Zone: control.ZoneID(r.zones.indexOf(w.Zone)), Kind: control.KindID(r.kinds.indexOf(w.Kind)),
		Cell: control.CellID(r.cells.indexOf(w.Cell)), State: w.State, Weight: w.Weight, StartedAt: w.StartedAt}
}

// Advertised is what the decisions are told of a worker. One that is ready again stays draining for them until it was
// greeted: what drained is often a process that ended, and each dispatcher would take the new one for the old, warm.
func (w *Worker) Advertised() control.WorkerInfo {
	l := w.info
	if w.withheld {
		l.State = control.Draining
	}
	return l
}

// AwaitingStartupProbe tells whether a worker is ready again and has yet to be greeted.
func (w *Worker) AwaitingStartupProbe() bool { return w.withheld }

// FinishStartupProbe notes that a worker was asked for its start, whether it answered or not, and tells whether its line changed.
func (r *List) FinishStartupProbe(w *Worker) bool {
	was := w.withheld
	w.withheld = false
	return was
}

// StartupProbe decides when a worker is asked anew for its start: after connections were lost, which mostly means that its
// process ended, and again until it answers. It asks at most once for what was sent since it asked last, so that
// workers which close idle connections are not asked for ever.
type StartupProbe struct {
	pending        bool
	sentSinceProbe bool // something was sent since it was asked last
	backoff        float64
}

const (
	minProbeBackoff = 0.1 // s after a greeting without an answer until the next: a restart takes longer
	maxProbeBackoff = 2.0 // s, the most between two: cold workers warm up over seconds
)

// MarkSent notes that an attempt or an order goes out.
func (g *StartupProbe) MarkSent() { g.sentSinceProbe = true }

// ConnectionLost notes that a connection ended from the worker's side, and tells whether to ask it now.
func (g *StartupProbe) ConnectionLost() bool {
	ask := g.sentSinceProbe && !g.pending
	if ask {
		g.BeginProbe()
	}
	return ask
}

// BeginProbe notes that it is being asked.
func (g *StartupProbe) BeginProbe() { g.pending, g.sentSinceProbe = true, false }

// ProbePending tells whether an answer, or the next time to ask, is awaited.
func (g *StartupProbe) ProbePending() bool { return g.pending }

// ProbeFinished notes how a greeting ended. Where it had no answer it tells in how many seconds to ask again; chance is
// 0 to 1, so that dispatchers do not ask in step.
func (g *StartupProbe) ProbeFinished(ok bool, chance float64) (again float64) {
	if ok {
		g.pending, g.backoff = false, 0
		return 0
	}
	g.backoff = math.Min(maxProbeBackoff, math.Max(minProbeBackoff, 2*g.backoff))
	return g.backoff * (0.5 + chance)
}

// StateName is the state as operators read and write it.
func (w *Worker) StateName() string { return [...]string{"gone", "ready", "draining"}[w.State] }
