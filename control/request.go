package control

import (
	"math"
)

// maxAttempts is how many attempts one record can hold.
const maxAttempts = 8

// attemptState says what is known of an attempt.
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

// requestState is what is wanted of a request; Settle emits the difference to what is out.
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

// mayHaveRun returns the earliest attempt that may have run or is still out, nil if there is none.
func (r *request) mayHaveRun() *attempt {
	for i := range r.attempts[:r.attempted] {
		if r.attempts[i].state != attemptNeverRan {
			return &r.attempts[i]
		}
	}
	return nil
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
	if r.state == stateAttempt {
		d.unsend(r)
	}
	r.state = stateDone
	d.markChanged(r)
}

// unsend takes an attempt back that this batch placed.
func (d *Dispatcher) unsend(r *request) {
	r.attempted--
	f := &r.attempts[r.attempted]
	d.settleAttempt(r, f, r.model.replica(f.worker))
}
