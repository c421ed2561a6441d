// Package emulator plays workers and their shared model store on loopback, for demonstrations, tests and days in the
// laboratory. Fleet is the pure model: cores, memory, copies, lanes, queues, loads, cold starts, faults; no I/O, no
// clock, seeded chance. Server puts it on sockets.
package emulator

import (
	"cmp"
	"math"
	"math/rand/v2"
	"path"
	"slices"
)

// State is where a request stands.
type state uint8

const (
	waitsLoad state = iota // no copy stands
	waitsLane
	runs
	ended
)

// Verdict says how a request or order ended.
type Verdict uint8

const (
	Open     Verdict = iota // not yet
	Served                  // ran, or a repeat that was dropped
	TurnFull                // never ran
	TurnMiss                // never ran
	Broke                   // error; it may have run
	Silent                  // never answered
	Dead                    // the worker went away under it
)

// Req is a request or a load order at a worker.
type Req struct {
	Owner         any
	Model, Group  string
	Key, Tenant   string
	Order, Copies int // Order 1: a load order
	Until         float64
	Verdict       Verdict
	Found         string // warm, began, awaited, failed
	Crowd         int
	RanAt, EndAt  float64 // RanAt 0: it never began
	Repeat, Fault bool
	Reset, Cut    bool // the answer is to be spoilt so
	w             *worker
	m             *copies
	left          float64
	st            state
	found         string
	cancelled     bool
}

// copies are the copies of one model on one worker.
type copies struct {
	spec          *ModelSpec
	name          string
	stand, busy   int
	loading       float64 // s of fetch left, then boot
	boot          float64
	isLoading     bool
	idleAt        float64
	waiting       []*Req
	began         *Req
	orders        []*Req
	image, listed bool
}

type worker struct {
	WorkerSpec
	i           int
	up          bool
	fell        bool
	start       float64
	models      map[string]*copies
	order       []*copies // for a fixed order
	running     []*Req
	memory      float64
	held        int
	sent        []sent // work sent while cold
	faults      map[string]Fault
	backAt      float64
	stood, next float64 // where it stands, and when something next happens to it
	slot        int     // in the agenda
	inflight    float64 // as reported
	queue       float64
	reported    float64
}

type sent struct{ at, work float64 }

// Fleet is the model. Its methods take the time, in seconds, which never goes back.
type Fleet struct {
	Log       func(now float64, worker, event string, r *Req) // may be nil
	Vanished  func(worker int)                                // connections are to be reset; may be nil
	Returned  func(worker int)                                // it is up again; may be nil
	spec      Spec
	now       float64
	rnd       *rand.Rand
	workers   []*worker
	byName    map[string]*worker
	marks     map[string]*mark
	fetches   int
	Fetched   int     // fetches from the store in all
	Nearest   float64 // how near a cold worker came to falling over, 1 for at the limit
	Refused   int     // fetches it turned away
	done      []*Req
	faults    []Fault
	agenda    agenda
	specs     map[string]*ModelSpec // by model name
	slow      float64               // of a fetch, now
	stale     bool                  // that has to be worked out anew
	storeNext float64
	swept     float64
}

type mark struct {
	first *Req
	until float64
}

// NewFleet makes a fleet. All workers are up and warm, and empty, unless cold.
func NewFleet(s Spec, cold bool) *Fleet {
	f := &Fleet{spec: s, rnd: rand.New(rand.NewPCG(s.Seed, 1)), byName: map[string]*worker{}, marks: map[string]*mark{},
		specs: map[string]*ModelSpec{}, slow: 1, storeNext: math.Inf(1)}
	for i, ws := range s.Workers {
		w := &worker{WorkerSpec: ws, i: i, up: true, models: map[string]*copies{}, faults: map[string]Fault{},
			backAt: math.Inf(1), next: math.Inf(1)}
		if !cold {
			w.start = -1e6
		}
		f.workers = append(f.workers, w)
		f.byName[ws.Name] = w
		f.agenda.Push(w)
	}
	return f
}

// Start tells a worker's latest start, on the fleet's clock.
func (f *Fleet) Start(i int) float64 { return f.workers[i].start }

// Up tells whether a worker's process runs.
func (f *Fleet) Up(i int) bool { return f.workers[i].up }

// Name is a worker's name.
func (f *Fleet) Name(i int) string { return f.workers[i].Name }

// Fell tells whether a worker was pushed over.
func (f *Fleet) Fell(i int) bool { return f.workers[i].fell }

// Has tells whether a trouble is on at a worker.
func (f *Fleet) Has(i int, kind string) bool { _, ok := f.workers[i].faults[kind]; return ok }

// Report is a worker's load report: requests it holds, and those of them that wait.
func (f *Fleet) Report(i int) (inflight, queue float64) {
	w := f.workers[i]
	if f.now >= w.reported+0.1 && !f.Has(i, "report_late") {
		w.reported, w.inflight, w.queue = f.now, float64(w.held), float64(w.held-len(w.running))
	}
	return w.inflight, w.queue
}

func (f *Fleet) log(w *worker, event string, r *Req) {
	if f.Log != nil {
		f.Log(f.now, w.Name, event, r)
	}
}

func (f *Fleet) model(name string) *ModelSpec {
	if m := f.specs[name]; m != nil {
		return m
	}
	for i := range f.spec.Models {
		if ok, _ := path.Match(f.spec.Models[i].Name, name); ok {
			f.specs[name] = &f.spec.Models[i]
			return f.specs[name]
		}
	}
	return nil
}

func (w *worker) at(name string, spec *ModelSpec) *copies {
	c := w.models[name]
	if c == nil {
		c = &copies{spec: spec, name: name}
		w.models[name] = c
	}
	if !c.listed {
		c.listed = true
		w.order = append(w.order, c)
	}
	return c
}

// capacity is the share of its full capacity a worker has now.
func (w *worker) capacity(now float64) float64 {
	if age := now - w.start; age < w.WarmAfter {
		return w.ColdShare + (1-w.ColdShare)*age/w.WarmAfter
	}
	return 1
}

// speed is how fast one running request goes.
func (f *Fleet) speed(w *worker) float64 { return f.speedAt(w, f.now) }

func (f *Fleet) speedAt(w *worker, now float64) float64 {
	n := float64(len(w.running))
	if n == 0 || !w.up {
		return 0
	}
	v := w.Speed * math.Min(1, w.Cores*w.capacity(now)/n)
	if x, ok := w.faults["slow"]; ok {
		v /= x.Factor
	}
	if x, ok := w.faults["ageing"]; ok {
		v /= 1 + (x.Factor-1)*(now-x.since)/x.Span
	}
	if _, ok := w.faults["pauses"]; ok && math.Mod(now, 1) < 0.3 {
		v = 0
	}
	if _, ok := w.faults["hang"]; ok {
		v = 0
	}
	return v
}

// Arrive hands a request or an order to a worker. Its verdict may stand at once; else Advance returns it later.
func (f *Fleet) Arrive(now float64, i int, r *Req) {
	w := f.workers[i]
	f.enter(now, w)
	defer f.leave(w)
	spec := f.model(r.Model)
	r.w = w
	switch {
	case !w.up:
		r.Verdict = Dead
		return
	case spec == nil:
		r.Verdict, r.Fault = Broke, true
		return
	case r.Order > 0:
		f.order(w, r, spec)
		return
	}
	r.Group = spec.Group
	if r.left = spec.Work * (0.5 + f.rnd.Float64()); r.left <= 0 {
		r.left = 1e-6
	}
	f.log(w, "arrive", r)
	f.push(w, r.left)
	if !w.up { // that pushed it over
		r.Verdict = Dead
		return
	}
	if x, ok := w.faults["fast_errors"]; ok && f.hit(x) {
		f.turn(w, r, Broke)
		return
	}
	if x, ok := w.faults["refuse_tenant"]; ok && x.What == r.Tenant {
		f.turn(w, r, TurnFull)
		return
	}
	if x, ok := w.faults["silent_group"]; ok && x.What == r.Group {
		r.Fault = true
	}
	if x, ok := w.faults["reset"]; ok && f.hit(x) {
		r.Reset = true
	}
	if x, ok := w.faults["cut"]; ok && f.hit(x) {
		r.Cut = true
	}
	if r.Key != "" && spec.Deduped {
		if m := f.marks[w.scope(spec, r.Key)]; m != nil && f.now <= m.until {
			r.Repeat = true
			f.log(w, "repeat", r)
			r.Found, r.Verdict, r.EndAt = "warm", Served, f.now
			return
		}
	}
	c := w.at(r.Model, spec)
	if r.Crowd = len(c.waiting) + c.busy; w.held-len(w.running) >= w.Queue {
		f.turn(w, r, TurnFull)
		return
	}
	r.m = c
	if c.stand == 0 && !c.isLoading {
		if w.OnMiss == "miss" {
			f.turn(w, r, TurnMiss)
			return
		}
		if !f.load(w, c) {
			f.turn(w, r, TurnFull)
			return
		}
		r.found, c.began = "began", r
	} else if c.stand == 0 {
		r.found = "awaited"
	} else {
		r.found = "warm"
	}
	w.held++
	c.waiting = append(c.waiting, r)
	f.dispatch(w, c)
}

// scope is a mark within the workers that drop its repeats.
func (w *worker) scope(m *ModelSpec, key string) string {
	switch cmp.Or(m.Scope, w.DedupScope) {
	case "zone":
		return w.Zone + "/" + key
	case "cell":
		return w.Zone + "/" + w.Cell + "/" + key
	}
	return key
}

func (f *Fleet) hit(x Fault) bool { return x.Share <= 0 || f.rnd.Float64() < x.Share }

func (f *Fleet) turn(w *worker, r *Req, v Verdict) {
	r.Verdict, r.EndAt = v, f.now
	f.log(w, "turned", r)
}

// dispatch lets waiting requests run while there are lanes.
func (f *Fleet) dispatch(w *worker, c *copies) {
	for len(c.waiting) > 0 && c.busy < c.stand*max(1, c.spec.Lanes) {
		r := c.waiting[0]
		c.waiting = c.waiting[1:]
		if r.cancelled || r.Until > 0 && f.now > r.Until {
			w.held--
			r.st, r.Verdict, r.EndAt = ended, Silent, f.now
			continue
		}
		if r.Key != "" && c.spec.Deduped { // another may have come in while this one waited
			k := w.scope(c.spec, r.Key)
			if m := f.marks[k]; m != nil && f.now <= m.until {
				w.held--
				r.Repeat, r.st, r.Verdict, r.EndAt, r.Found = true, ended, Served, f.now, r.found
				f.log(w, "repeat", r)
				f.done = append(f.done, r)
				continue
			}
			f.marks[k] = &mark{first: r, until: f.now + cmp.Or(c.spec.Window, w.DedupWindow)}
		}
		c.busy++
		r.st, r.RanAt = runs, f.now
		w.running = append(w.running, r)
		f.log(w, "ran", r)
	}
}

// Cancel takes note that a request's connection was closed.
func (f *Fleet) Cancel(now float64, r *Req) {
	f.enter(now, r.w)
	defer f.leave(r.w)
	r.cancelled = true
	if r.m != nil && r.st != runs && r.st != ended && r.w.StopsCancelled { // its place in the queue is free again
		if i := slices.Index(r.m.waiting, r); i >= 0 {
			r.m.waiting = slices.Delete(r.m.waiting, i, i+1)
			r.w.held--
			r.st, r.Verdict, r.EndAt = ended, Silent, f.now
			f.log(r.w, "stopped", r)
		}
	}
	if r.st == runs && r.w.StopsCancelled {
		f.stop(r)
		r.Verdict = Silent
		f.log(r.w, "stopped", r)
		f.dispatch(r.w, r.m)
	}
}

// stop takes a request off those that run.
func (f *Fleet) stop(r *Req) {
	w := r.w
	for i, o := range w.running {
		if o == r {
			w.running = append(w.running[:i], w.running[i+1:]...)
			w.held--
			r.m.busy--
			r.m.idleAt = f.now
			break
		}
	}
	r.st, r.EndAt = ended, f.now
}
