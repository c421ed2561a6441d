package control

import (
	"cmp"
	"math"
	"slices"
)

// maxForwards is how many forwards one record can hold.
const maxForwards = 8

type fate uint8

const (
	fateOut   fate = iota // sent, no outcome yet
	fateNever             // known not to have run
	fateMay               // over, and may have run
)

// forward is one sending of an inference to a worker.
type forward struct {
	to     *worker
	sent   Seconds
	expect Seconds // answer time expected when sent
	run    Seconds // what the ledger counts for it
	group  uint32  // which open group of the place it joined
	fate   fate
	full   bool // it was turned away
	hedged bool // a second copy was tried for it
	load   bool // it carries a load not yet seen to stand
}

type want uint8

const (
	wantNew     want = iota
	wantHold         // wait here
	wantForward      // send to the worker in to
	wantShed
	wantFail
	wantOut  // nothing more: a forward is out
	wantDone // its final answer is given
)

// inference is one in hand: its record lives in the slab until its final answer is given and no forward is
// out.
type inference struct {
	id       InferenceID
	model    *model
	group    *modelGroup
	taken    Seconds
	notAfter Seconds
	work     Seconds
	slo      Seconds // in which its answer earns its whole value
	want     want
	waits    *place // the place whose first answer or order it is held for
	forwards [maxForwards]forward
	n        int // forwards made
	out      int // forwards without an outcome
	side     int // its model group and tenant among a worker's sides
	place    int // own place in the slab
	live     bool
	dirty    bool
	stream   bool
	hopeless bool // no worker would answer before its client leaves
	barred   bool // the rules let it go to no worker that is listed now
	probed   bool // workers were asked what they hold before it went out
	repeat   bool // the client asked before, so the SLO time is hardly to be kept
	over     bool // beyond its tenant's share
}

// slab holds the inferences in hand in places that are used again.
type slab struct {
	all  []*inference
	free []int
	byID map[InferenceID]int
}

func (s *slab) take(id InferenceID) *inference {
	if len(s.free) == 0 {
		s.all = append(s.all, new(inference))
		s.free = append(s.free, len(s.all)-1)
	}
	i := s.free[len(s.free)-1]
	s.free = s.free[:len(s.free)-1]
	*s.all[i] = inference{id: id, place: i, live: true}
	s.byID[id] = i
	return s.all[i]
}

func (s *slab) find(id InferenceID) *inference {
	if i, ok := s.byID[id]; ok {
		return s.all[i]
	}
	return nil
}

func (s *slab) drop(r *inference) {
	r.live = false
	delete(s.byID, r.id)
	s.free = append(s.free, r.place)
}

// place is what this dispatcher knows of one model on one worker: its open group and its belief in a warm
// copy.
type place struct {
	worker  *worker
	model   *model
	warm    Seconds // believed warm until then
	group   uint32  // number of the newest group
	open    int     // its members without an answer
	count   int     // its members ever
	waiting int     // members held here for its first answer or for an order
	out     int     // all own forwards of the model there
	cold    bool    // the group's first answer is still out
	ordered bool    // a load order is out
	wanted  bool    // a load order is wanted
	listed  bool    // it stands among its model's open ones
	since   Seconds // when the order went out, or the cold group opened
	load    Seconds // what the ledger counts for its cold group
	noRoom  Seconds // no copy can be had there until then
}

// health is what failures and answers told of one scope: a worker, or one tenant and model group there.
type health struct {
	bad   float64 // smoothed share of forwards that failed for the scope's own reasons
	aside bool
	rate  float64 // forwards a second let through while set aside
	next  Seconds // no forward before then while set aside
	crowd Seconds // turned work away; no new group until then
	fulls float64 // times it turned work away since it last answered
	at    Seconds // last answer
	ok    bool    // which was a good one
}

// worker is one worker as this dispatcher knows it.
type worker struct {
	WorkerInfo
	health
	sides  []health // by model group and tenant
	index  int      // in the models' lists of places
	goneAt Seconds  // since when it is listed as gone, +Inf where it is not
	work   Seconds  // run time of own forwards there
	mean   Seconds  // work, smoothed over time
	meanAt Seconds
	loads  Seconds // load times of own cold groups there
	out    int
	coldAt Seconds // cold budget: the next forward fits then
	cold   int     // own forwards out that wait for a load
	noLoad Seconds // it turned a load away; none until then
	cost   Seconds // what the inference in hand would wait there
	rank   uint64  // its place in the order of homes of the model in hand
	hot    bool    // a copy of the model in hand is taken to stand there
	home   uint64  // the look for a place at which it was one of the homes
	held   float64 // inferences it reported to hold, smoothed
	heldAt Seconds
}

// model is one model: its estimates and its places, by worker index.
type model struct {
	id     ModelID
	group  *modelGroup
	run    Seconds // smoothed warm answer time
	load   Seconds // load time, told or learned
	heard  bool    // load time learned from an answer
	timed  bool    // run time learned from an answer
	places []*place
	open   []*place // those with members, in order of workers; some may have none by now
	held   int      // inferences held here for a worker to have room

	asked, askedAt float64 // inferences taken of late, and as of when
	homes          int     // workers it should live on
}

// modelGroup is a model group with its settings.
type modelGroup struct {
	effect  string
	scope   string
	slo     Seconds
	timeout Seconds
	window  Seconds
	stretch float64 // the SLO time is longer by so much of an inference's work
	run     Seconds // smoothed warm answer time of its models
	work    Seconds // smoothed mean work of an inference, for the cold budget
	load    Seconds // smoothed load time of its models
	timed   bool
}

// tenant counts one tenant's traffic against its share.
type tenant struct {
	quota float64 // inferences a second in its share, for this dispatcher
	level float64 // token bucket
	at    Seconds
}

// at returns the place of a model on a worker; it stays where it is, as inferences and orders point to it.
func (m *model) at(w *worker) *place {
	for len(m.places) <= w.index {
		m.places = append(m.places, nil)
	}
	if m.places[w.index] == nil {
		m.places[w.index] = &place{worker: w, model: m, warm: math.Inf(-1)}
	}
	return m.places[w.index]
}

// nowhere stands for a place of which nothing is known.
var nowhere = place{warm: math.Inf(-1)}

// seen returns the place of a model on a worker, to be read only: nowhere if there is none.
func (m *model) seen(w *worker) *place {
	if w.index < len(m.places) && m.places[w.index] != nil {
		return m.places[w.index]
	}
	return &nowhere
}

// joined notes that a place has members.
func (m *model) joined(pl *place) {
	if !pl.listed {
		pl.listed = true
		i, _ := slices.BinarySearchFunc(m.open, pl, func(a, b *place) int { return cmp.Compare(a.worker.index, b.worker.index) })
		m.open = slices.Insert(m.open, i, pl)
	}
}

// groups returns the places with members, in order of workers: few, however many workers there are.
func (m *model) groups() []*place {
	n := 0
	for _, pl := range m.open {
		if pl.listed = pl.open+pl.waiting > 0; pl.listed {
			m.open[n] = pl
			n++
		}
	}
	clear(m.open[n:])
	m.open = m.open[:n]
	return m.open
}

// first returns the n workers of highest rank, and maybe some more, first in order first. Ranks are hashes: of many,
// only those above where about twice as many are to be expected are put in order.
func first(list []*worker, n int) []*worker {
	if much := 2*n + 16; len(list) > 2*much {
		above := ^uint64(0) / uint64(len(list)) * uint64(len(list)-much)
		k := 0
		for i, w := range list {
			if w.rank >= above {
				list[i], list[k] = list[k], w
				k++
			}
		}
		if k >= n {
			list = list[:k]
		}
	}
	slices.SortFunc(list, func(a, b *worker) int { return cmp.Compare(b.rank, a.rank) })
	return list
}

// tried tells whether a forward of this inference went to the worker and did not just miss there.
func (r *inference) tried(w *worker) bool {
	for i := range r.forwards[:r.n] {
		if f := &r.forwards[i]; f.to == w && (f.fate != fateNever || f.full) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) touch(r *inference) {
	if !r.dirty {
		r.dirty = true
		d.dirty = append(d.dirty, r)
	}
}

// unbook takes a forward out of the ledger.
func (d *Dispatcher) unbook(r *inference, f *forward, pl *place) {
	r.out--
	f.to.out--
	if f.load {
		f.to.cold--
	}
	pl.out--
	f.to.work = math.Max(0, f.to.work-f.run)
	if pl.out == 0 && f.to.out == 0 {
		f.to.work = 0
	}
	if f.group == pl.group && pl.open > 0 {
		pl.open--
	}
}

// unhold takes an inference off the counts of those held.
func (r *inference) unhold() {
	if r.want != wantHold {
		return
	}
	if r.waits != nil {
		r.waits.waiting--
		r.waits = nil
	} else if r.model != nil {
		r.model.held--
	}
	r.want = wantOut
}

// settings is what they say.
type settings struct {
	tick, askEvery, fall, warmAfter, keep, window, retryMost Seconds
	coldShare, overload, few, share, dispatchers             float64
	most, homes                                              int // forwards of one inference; homes asked for a report
	second, cancel, probes, orders, asked                    bool
	counts                                                   []int // which values of a report tell inferences held
	groups                                                   []*modelGroup
	quotas                                                   []float64 // of tenants, inferences a second
}

// Dispatcher is the state of one dispatcher.
type Dispatcher struct {
	told       settings
	wrong      []error // settings that can't be used, until they are logged
	sidesEach  int     // tenants told apart at a worker, for each model group
	act        Actions
	rnd        random
	now        Seconds
	workers    []*worker
	modelsNext int   // no look for models to forget before there are so many
	indexes    int   // given to workers so far
	free       []int // of those, the ones whose worker is forgotten
	known      map[WorkerID]*worker
	models     map[ModelID]*model
	tenants    []*tenant
	hand       slab
	dirty      []*inference
	orders     []*place // wanted load orders
	waked      bool
	sparse     bool      // own traffic is too thin for own ledgers to tell of the workers
	changed    bool      // something was heard since those held for room were tried
	timely     Seconds   // when the youngest was taken that was held for room and could have been in time
	retried    Seconds   // when they were
	top        []*worker // homes of the model in hand, first in order first
	looks      uint64    // looks for a place so far
	probes     []*worker // wanted probes

	easedFrom, easedTo, eased float64 // how far means are eased from one time to another
	choice                    float64 // share of the workers that the last inference looked at could go to

	rate, rateAt, rateOf float64 // inferences taken a second, as of when and for which count

	run            Seconds // smoothed warm answer time of all
	asked, askedAt float64 // inferences taken of late, and as of when

	further, furtherOK float64 // further forwards in hand, and the share of recent ones that succeeded
	ready, aside       int
	askAt, askGap      Seconds // when discovery is asked next, and the gap after a failure
	ration             ration
}

// rationParts is how many parts the window of load orders is counted in; a part is counted whole.
const rationParts = 16

// ration counts load orders sent and inferences taken over a sliding window.
type ration struct {
	sent, taken [rationParts + 1]float64
	part        int64
}

// count moves the window on and returns what is in it: the oldest part, of which some has left the window
// already, counts for orders and not for takings, so that the count errs to the strict side.
func (c *ration) count(now, span Seconds) (sent, taken float64) {
	at := int64(now / span * rationParts)
	for c.part = max(c.part, at-rationParts-1); c.part < at; c.part++ {
		copy(c.sent[:], c.sent[1:])
		copy(c.taken[:], c.taken[1:])
		c.sent[rationParts], c.taken[rationParts] = 0, 0
	}
	for i := range c.sent {
		sent += c.sent[i]
		if i > 0 {
			taken += c.taken[i]
		}
	}
	return sent, taken
}

// mayHaveRun returns the earliest forward that may have run or is still out, nil if there is none.
func (r *inference) mayHaveRun() *forward {
	for i := range r.forwards[:r.n] {
		if r.forwards[i].fate != fateNever {
			return &r.forwards[i]
		}
	}
	return nil
}

// ease blends a new value into a smoothed one; the first stands for itself.
func ease(x *float64, seen *bool, v, weight float64) {
	if !*seen {
		*x, *seen = v, true
	}
	*x += weight * (v - *x)
}

// settled notes that a place's cold group has its first answer.
func (d *Dispatcher) settled(pl *place) {
	if pl.cold {
		pl.cold = false
		pl.worker.loads = math.Max(0, pl.worker.loads-pl.load)
	}
}

// hold keeps an inference here: for a place's first answer or order, or (nil) for a worker to have room.
func (d *Dispatcher) hold(r *inference, pl *place) {
	if r.out > 0 {
		if r.want != wantForward { // a second copy wanted in the same batch still goes out
			r.want = wantOut
		}
		return
	}
	r.want, r.waits = wantHold, pl
	if pl != nil {
		pl.waiting++
		pl.model.joined(pl)
	} else {
		r.model.held++
	}
}

// end notes that the final answer is given.
func (d *Dispatcher) end(r *inference) {
	r.unhold()
	if r.want == wantForward { // never sent
		r.n--
		f := &r.forwards[r.n]
		d.unbook(r, f, r.model.at(f.to))
	}
	r.want = wantDone
	d.touch(r)
}

// beyond counts one inference of the tenant and tells whether it is beyond its share.
func (t *tenant) beyond(now Seconds) bool {
	if t.quota == never {
		return false
	}
	depth := math.Max(1, t.quota) // of the token bucket: a share of under one a second would never hold a whole token
	t.level = math.Min(depth, t.level+(now-t.at)*t.quota) - 1
	t.at = now
	over := t.level < 0
	t.level = math.Max(0, t.level)
	return over
}

// countReady counts the workers listed as ready, and those set aside.
func (d *Dispatcher) countReady() {
	d.ready, d.aside = 0, 0
	for _, w := range d.workers {
		if w.State == Ready {
			d.ready++
		}
		if w.aside {
			d.aside++
		}
	}
}

// The events that call for nothing but a note.

func (d *Dispatcher) At(now Seconds) { d.now = now }

// Withdrawn takes note that the client left.
func (d *Dispatcher) Withdrawn(id InferenceID) {
	if r := d.hand.find(id); r != nil && r.want != wantDone {
		d.end(r)
	}
}

// Streaming takes note that the answer has begun: the forward is the client's now.
func (d *Dispatcher) Streaming(id InferenceID, _ int, _ WorkerID, _ Seconds) {
	if r := d.hand.find(id); r != nil {
		r.stream = true
	}
}

// Told takes a note of a fellow dispatcher; none is needed so far.
func (d *Dispatcher) Told(PeerID, []byte) {}

func (d *Dispatcher) Timer(TimerID) {
	d.waked = false
	d.hand.shrink(slabLeast)
	d.look()
}

// taken is how many inferences a second this dispatcher takes, worked out once for each moment.
func (d *Dispatcher) taken() float64 {
	if d.rateAt != d.now || d.rateOf != d.asked {
		span := homeSpan * (1 - math.Exp(-math.Max(1, d.now)/homeSpan))
		d.rate = d.asked * math.Exp((d.askedAt-d.now)/homeSpan) / span
		d.rateAt, d.rateOf = d.now, d.asked
	}
	return d.rate
}

// seen is how many of those come for each worker.
func (d *Dispatcher) seen() float64 { return d.taken() / math.Max(1, float64(d.ready)) }
