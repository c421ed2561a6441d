package control

import (
	"cmp"
	"math"
	"slices"
)

// maxAttempts is how many attempts one record can hold.
const maxAttempts = 8

type attemptState uint8

const (
	attemptPending    attemptState = iota // sent, no outcome yet
	attemptNeverRan                       // known not to have run
	attemptMayHaveRun                     // over, and may have run
)

// attempt is one sending of a request to a worker.
type attempt struct {
	worker   *worker
	sentAt   Seconds
	expected Seconds // answer time expected when sent
	runTime  Seconds // what the ledger counts for it
	groupSeq uint32  // which open group of the replica it joined
	state    attemptState
	rejected bool // it was turned away
	hedged   bool // a hedge was tried for it
	loading  bool // it carries a load not yet seen to stand
}

type requestState uint8

const (
	stateNew     requestState = iota
	stateHeld                 // wait here
	stateAttempt              // send to the worker in to
	stateShed
	stateFail
	statePending // nothing more: an attempt is out
	stateDone    // its final answer is given
)

// request is one in flight: its record lives in the table until its final answer is given and no attempt is
// out.
type request struct {
	id          RequestID
	model       *model
	group       *modelGroup
	arrivedAt   Seconds
	notAfter    Seconds
	workHint    Seconds
	slo         Seconds // in which its answer earns its whole value
	state       requestState
	heldFor     *replica // the replica whose first answer or order it is held for
	attempts    [maxAttempts]attempt
	attempted   int // attempts made
	pending     int // attempts without an outcome
	class       int // its model group and tenant among a worker's sides
	slot        int // own place in the table
	live        bool
	dirty       bool
	streaming   bool
	tooLate     bool // no worker would answer before its client leaves
	barred      bool // the rules let it go to no worker that is listed now
	probed      bool // workers were asked what they hold before it went out
	clientRetry bool // the client asked before, so the SLO time is hardly to be kept
	overQuota   bool // beyond its tenant's share
}

// requestTable holds the requests in flight in places that are used again.
type requestTable struct {
	slots []*request
	free  []int
	byID  map[RequestID]int
}

func (s *requestTable) acquire(id RequestID) *request {
	if len(s.free) == 0 {
		s.slots = append(s.slots, new(request))
		s.free = append(s.free, len(s.slots)-1)
	}
	i := s.free[len(s.free)-1]
	s.free = s.free[:len(s.free)-1]
	*s.slots[i] = request{id: id, slot: i, live: true}
	s.byID[id] = i
	return s.slots[i]
}

func (s *requestTable) lookup(id RequestID) *request {
	if i, ok := s.byID[id]; ok {
		return s.slots[i]
	}
	return nil
}

func (s *requestTable) remove(r *request) {
	r.live = false
	delete(s.byID, r.id)
	s.free = append(s.free, r.slot)
}

// replica is what this dispatcher knows of one model on one worker: its open group and its belief in a warm
// copy.
type replica struct {
	worker       *worker
	model        *model
	warmUntil    Seconds // believed warm until then
	groupSeq     uint32  // number of the newest group
	members      int     // its members without an answer
	joined       int     // its members ever
	held         int     // members held here for its first answer or for an order
	pending      int     // all own attempts of the model there
	loading      bool    // the group's first answer is still out
	orderPending bool    // a load order is out
	orderWanted  bool    // a load order is wanted
	listed       bool    // it stands among its model's open ones
	startedAt    Seconds // when the order went out, or the cold group opened
	loadCost     Seconds // what the ledger counts for its cold group
	noRoomUntil  Seconds // no copy can be had there until then
}

// health is what failures and answers told of one scope: a worker, or one tenant and model group there.
type health struct {
	failureShare  float64 // smoothed share of attempts that failed for the scope's own reasons
	ejected       bool
	rampRate      float64 // attempts a second let through while ejected
	nextAttemptAt Seconds // no attempt before then while ejected
	fullUntil     Seconds // turned work away; no new group until then
	fullCount     float64 // times it turned work away since it last answered
	answeredAt    Seconds // last answer
	answeredWell  bool    // which was a good one
}

// worker is one worker as this dispatcher knows it.
type worker struct {
	WorkerInfo
	health
	classes      []health // by model group and tenant
	index        int      // in the models' lists of places
	goneAt       Seconds  // since when it is listed as gone, +Inf where it is not
	queued       Seconds  // run time of own attempts there
	meanQueued   Seconds  // work, smoothed over time
	meanQueuedAt Seconds
	pendingLoads Seconds // load times of own cold groups there
	pending      int
	coldNextAt   Seconds // cold budget: the next attempt fits then
	pendingCold  int     // own attempts out that wait for a load
	noLoadUntil  Seconds // it turned a load away; none until then
	cost         Seconds // what the request at hand would wait there
	rank         uint64  // its place in the order of preferred workers of the model at hand
	warm         bool    // a copy of the model at hand is taken to stand there
	preferredAt  uint64  // the placement at which it was one of the preferred workers
	reported     float64 // requests it reported to hold, smoothed
	reportedAt   Seconds
}

// model is one model: its estimates and its replicas, by worker index.
type model struct {
	id           ModelID
	group        *modelGroup
	runTime      Seconds // smoothed warm answer time
	loadTime     Seconds // load time, told or learned
	loadKnown    bool    // load time learned from an answer
	runKnown     bool    // run time learned from an answer
	replicas     []*replica
	openReplicas []*replica // those with members, in order of workers; some may have none by now
	heldCount    int        // requests held here for a worker to have room

	recent, recentAt float64 // requests taken of late, and as of when
	preferred        int     // workers it should live on
}

// modelGroup is a model group with its settings.
type modelGroup struct {
	effect     string
	scope      string
	slo        Seconds
	timeout    Seconds
	window     Seconds
	sloStretch float64 // the SLO time is longer by so much of a request's work
	runTime    Seconds // smoothed warm answer time of its models
	meanWork   Seconds // smoothed mean work of a request, for the cold budget
	loadTime   Seconds // smoothed load time of its models
	runKnown   bool
}

// tenant counts one tenant's traffic against its share.
type tenant struct {
	quota     float64 // requests a second in its share, for this dispatcher
	tokens    float64 // token bucket
	updatedAt Seconds
}

// replica returns the replica record of a model on a worker; it stays where it is, as requests and orders point to it.
func (m *model) replica(w *worker) *replica {
	for len(m.replicas) <= w.index {
		m.replicas = append(m.replicas, nil)
	}
	if m.replicas[w.index] == nil {
		m.replicas[w.index] = &replica{worker: w, model: m, warmUntil: math.Inf(-1)}
	}
	return m.replicas[w.index]
}

// unknownReplica stands for one of which nothing is known.
var unknownReplica = replica{warmUntil: math.Inf(-1)}

// peek returns that record to be read only: unknownReplica if there is none.
func (m *model) peek(w *worker) *replica {
	if w.index < len(m.replicas) && m.replicas[w.index] != nil {
		return m.replicas[w.index]
	}
	return &unknownReplica
}

// markOpen notes that a replica has members.
func (m *model) markOpen(rep *replica) {
	if !rep.listed {
		rep.listed = true
		i, _ := slices.BinarySearchFunc(m.openReplicas, rep, func(a, b *replica) int { return cmp.Compare(a.worker.index, b.worker.index) })
		m.openReplicas = slices.Insert(m.openReplicas, i, rep)
	}
}

// openGroups returns the replicas with members, in order of workers: few, however many workers there are.
func (m *model) openGroups() []*replica {
	n := 0
	for _, rep := range m.openReplicas {
		if rep.listed = rep.members+rep.held > 0; rep.listed {
			m.openReplicas[n] = rep
			n++
		}
	}
	clear(m.openReplicas[n:])
	m.openReplicas = m.openReplicas[:n]
	return m.openReplicas
}

// topRanked returns the n workers of highest rank, and maybe some more, first in order first. Ranks are hashes: of many,
// only those above where about twice as many are to be expected are put in order.
func topRanked(list []*worker, n int) []*worker {
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

// tried tells whether an attempt of this request went to the worker and did not just miss there.
func (r *request) tried(w *worker) bool {
	for i := range r.attempts[:r.attempted] {
		if f := &r.attempts[i]; f.worker == w && (f.state != attemptNeverRan || f.rejected) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) markChanged(r *request) {
	if !r.dirty {
		r.dirty = true
		d.changedRequests = append(d.changedRequests, r)
	}
}

// settleAttempt takes an attempt out of the ledger.
func (d *Dispatcher) settleAttempt(r *request, f *attempt, rep *replica) {
	r.pending--
	f.worker.pending--
	if f.loading {
		f.worker.pendingCold--
	}
	rep.pending--
	f.worker.queued = math.Max(0, f.worker.queued-f.runTime)
	if rep.pending == 0 && f.worker.pending == 0 {
		f.worker.queued = 0
	}
	if f.groupSeq == rep.groupSeq && rep.members > 0 {
		rep.members--
	}
}

// unhold takes a request off the counts of those held.
func (r *request) unhold() {
	if r.state != stateHeld {
		return
	}
	if r.heldFor != nil {
		r.heldFor.held--
		r.heldFor = nil
	} else if r.model != nil {
		r.model.heldCount--
	}
	r.state = statePending
}

// Dispatcher is the state of one dispatcher.
type Dispatcher struct {
	settings
	probesMax       int     // preferred workers probed for one request
	loadOrders      bool    // a miss is answered by a load order
	inFlightFields  []int   // which values of a report tell requests held
	settingErrors   []error // settings that can't be used, until they are logged
	tenantClasses   int     // tenants told apart at a worker, for each model group
	actions         Actions
	rnd             random
	now             Seconds
	workers         []*worker
	forgetModelsAt  int   // no look for models to forget before there are so many
	nextIndex       int   // given to workers so far
	freeIndexes     []int // of those, the ones whose worker is forgotten
	workersByID     map[WorkerID]*worker
	models          map[ModelID]*model
	tenants         []*tenant
	inFlight        requestTable
	changedRequests []*request
	wantedOrders    []*replica // wanted load orders
	timerSet        bool
	sparseTraffic   bool      // own traffic is too thin for own ledgers to tell of the workers
	heardNews       bool      // something was heard since those held for room were tried
	youngestTimely  Seconds   // when the youngest was taken that was held for room and could have been in time
	heldRetriedAt   Seconds   // when they were
	candidates      []*worker // preferred workers of the model at hand, first in order first
	placements      uint64    // looks for a place so far
	wantedProbes    []*worker // wanted probes

	meanFrom, meanTo, meanWeight float64 // how far means are eased from one time to another
	admittingShare               float64 // share of the workers that the last request looked at could go to

	rateValue, rateAt, rateOf float64 // requests taken a second, as of when and for which count

	runTime          Seconds // smoothed warm answer time of all
	recent, recentAt float64 // requests taken of late, and as of when

	retryTokens, retrySuccess     float64 // retries that may be made, and the share of recent ones that succeeded
	readyWorkers, ejectedWorkers  int
	subscribeAt, subscribeBackoff Seconds // when discovery is asked next, and the gap after a failure
	loadRation                    ration
}

// rationParts is how many parts the window of load orders is counted in; a part is counted whole.
const rationParts = 16

// ration counts load orders sent and requests taken over a sliding window.
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

// mayHaveRun returns the earliest attempt that may have run or is still out, nil if there is none.
func (r *request) mayHaveRun() *attempt {
	for i := range r.attempts[:r.attempted] {
		if r.attempts[i].state != attemptNeverRan {
			return &r.attempts[i]
		}
	}
	return nil
}

// smooth blends a new value into a smoothed one; the first stands for itself.
func smooth(x *float64, seen *bool, v, weight float64) {
	if !*seen {
		*x, *seen = v, true
	}
	*x += weight * (v - *x)
}

// loadSettled notes that a replica's cold group has its first answer.
func (d *Dispatcher) loadSettled(rep *replica) {
	if rep.loading {
		rep.loading = false
		rep.worker.pendingLoads = math.Max(0, rep.worker.pendingLoads-rep.loadCost)
	}
}

// hold keeps a request here: for a replica's first answer or order, or (nil) for a worker to have room.
func (d *Dispatcher) hold(r *request, rep *replica) {
	if r.pending > 0 {
		if r.state != stateAttempt { // a hedge wanted in the same batch still goes out
			r.state = statePending
		}
		return
	}
	r.state, r.heldFor = stateHeld, rep
	if rep != nil {
		rep.held++
		rep.model.markOpen(rep)
	} else {
		r.model.heldCount++
	}
}

// finish notes that the final answer is given.
func (d *Dispatcher) finish(r *request) {
	r.unhold()
	if r.state == stateAttempt { // never sent
		r.attempted--
		f := &r.attempts[r.attempted]
		d.settleAttempt(r, f, r.model.replica(f.worker))
	}
	r.state = stateDone
	d.markChanged(r)
}

// overQuota counts one request of the tenant and tells whether it is beyond its share.
func (t *tenant) overQuota(now Seconds) bool {
	if t.quota == never {
		return false
	}
	depth := math.Max(1, t.quota) // of the token bucket: a share of under one a second would never hold a whole token
	t.tokens = math.Min(depth, t.tokens+(now-t.updatedAt)*t.quota) - 1
	t.updatedAt = now
	over := t.tokens < 0
	t.tokens = math.Max(0, t.tokens)
	return over
}

// countWorkers counts the workers listed as ready, and those ejected.
func (d *Dispatcher) countWorkers() {
	d.readyWorkers, d.ejectedWorkers = 0, 0
	for _, w := range d.workers {
		if w.State == Ready {
			d.readyWorkers++
		}
		if w.ejected {
			d.ejectedWorkers++
		}
	}
}

// The events that call for nothing but a note.

// At sets the clock for the events of that moment.
func (d *Dispatcher) At(now Seconds) { d.now = now }

// Withdrawn takes note that the client left.
func (d *Dispatcher) Withdrawn(id RequestID) {
	if r := d.inFlight.lookup(id); r != nil && r.state != stateDone {
		d.finish(r)
	}
}

// Streaming takes note that the answer has begun: the attempt is the client's now.
func (d *Dispatcher) Streaming(id RequestID, _ int, _ WorkerID, _ Seconds) {
	if r := d.inFlight.lookup(id); r != nil {
		r.streaming = true
	}
}

// Told takes a note of a peer; none is needed so far.
func (d *Dispatcher) Told(PeerID, []byte) {}

// Timer has all in flight looked at.
func (d *Dispatcher) Timer(TimerID) {
	d.timerSet = false
	d.inFlight.shrink(tableMin)
	d.sweep()
}

// requestRate is how many requests a second this dispatcher takes, worked out once for each moment.
func (d *Dispatcher) requestRate() float64 {
	if d.rateAt != d.now || d.rateOf != d.recent {
		span := popularitySpan * (1 - math.Exp(-math.Max(1, d.now)/popularitySpan))
		d.rateValue = d.recent * math.Exp((d.recentAt-d.now)/popularitySpan) / span
		d.rateAt, d.rateOf = d.now, d.recent
	}
	return d.rateValue
}

// requestRatePerWorker is how many of those come for each worker.
func (d *Dispatcher) requestRatePerWorker() float64 {
	return d.requestRate() / math.Max(1, float64(d.readyWorkers))
}
