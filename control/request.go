package control

// maxAttempts is the number of attempts that a request record can hold.
const maxAttempts = 8

// attemptState is the state of an attempt.
type attemptState uint8

const (
	attemptInFlight   attemptState = iota // no outcome yet
	attemptNeverRan                       // ended, known not to have run
	attemptMayHaveRun                     // ended, and may have run
)

// rejection is a set of flags for the conditions under which a worker rejected an attempt, 0 if none applies. They restrict
// the further attempts of the request.
type rejection uint8

const (
	rejectedInSparseTraffic rejection = 1 << iota // traffic was sparse: other workers are tried first
	rejectedInOutage                              // discovery was unavailable: no attempt at this worker while loads are paused there
)

// attempt is one transmission of a request to a worker.
type attempt struct {
	worker           *worker
	group            DedupGroup // of the process that it has reached or, before it is sent, is expected to reach
	sentAt           Seconds
	expectedDuration Seconds // expected response time when it was scheduled
	runTime          Seconds // expected run time, which the worker's ledger reserves
	cohortNumber     uint32  // number of the replica's cohort that it joined
	occupancy        int32   // attempts of this dispatcher in flight at the worker when it was scheduled, itself included
	state            attemptState
	rejection        rejection
	traced           bool // the host has reported its group
	hedged           bool // a hedged request for it was considered, whether or not one was sent
	loading          bool // it waits for a load
}

// requestState is the desired state of a request; Reconcile emits the actions that lead to it.
type requestState uint8

const (
	stateNew     requestState = iota
	stateQueued               // queued in this dispatcher
	stateAttempt              // to be sent to the worker of the latest attempt
	stateShed                 // to be shed
	stateFail                 // to be failed
	statePending              // no action required: an attempt is in flight, or the request was just dequeued
	stateDone                 // the final response is given
)

// request is a request in flight. Its record stays in the table until the final response is given and no attempt is in flight.
type request struct {
	id            RequestID
	model         *model
	group         *modelGroup
	arrivedAt     Seconds
	deadline      Seconds
	workHint      Seconds
	objective     Seconds // latency objective, from the arrival
	state         requestState
	queuedFor     *replica // the replica that is to be loaded before it is placed, nil if it is queued for capacity
	attempts      [maxAttempts]attempt
	attempted     int  // attempts made
	inFlight      int  // attempts without an outcome
	trafficClass  int  // class of its model group and tenant: the index in worker.outlierByClass
	slot          int  // index in requestTable.slots
	live          bool // the record is in use
	actionPending bool // listed in pendingActions.requests
	streaming     bool // the client is receiving the response
	tooLate       bool // no worker would respond before the deadline
	noneAllowed   bool // the rules allow an attempt at none of the listed workers
	probed        bool // workers were probed before it was placed
	awaitsCheck   bool // its worker is checked before the attempt, as the worker's lease has ended
	clientRetry   bool // the client has retried it, so its latency objective is probably missed
	overQuota     bool // it exceeds its tenant's quota
}

// tried reports whether an attempt was made at a worker. Attempts that never ran there do not count, except those rejected
// under sparse traffic.
func (r *request) tried(target *worker) bool {
	for i := range r.attempts[:r.attempted] {
		earlier := &r.attempts[i]
		if earlier.worker == target && (earlier.state != attemptNeverRan || earlier.rejection&rejectedInSparseTraffic != 0) {
			return true
		}
	}
	return false
}

// rejectedInOutageBy reports whether a worker rejected an attempt of the request while discovery was unavailable.
func (r *request) rejectedInOutageBy(target *worker) bool {
	for i := range r.attempts[:r.attempted] {
		if r.attempts[i].worker == target && r.attempts[i].rejection&rejectedInOutage != 0 {
			return true
		}
	}
	return false
}

// mayHaveRun returns the earliest attempt that may have run or is in flight, nil if there is none.
func (r *request) mayHaveRun() *attempt {
	for i := range r.attempts[:r.attempted] {
		if r.attempts[i].state != attemptNeverRan {
			return &r.attempts[i]
		}
	}
	return nil
}

// latestAttempt returns the most recent attempt.
func (r *request) latestAttempt() *attempt { return &r.attempts[r.attempted-1] }

// dequeue removes a request from the queue, if it is queued.
func (r *request) dequeue() {
	if r.state != stateQueued {
		return
	}
	if r.queuedFor != nil {
		r.queuedFor.queued--
		r.queuedFor = nil
	}
	r.state = statePending
}

// releaseAttempt removes an attempt from the ledgers of its worker, its replica and its request.
func (r *request) releaseAttempt(a *attempt, target *replica) {
	r.inFlight--
	a.worker.ledger.release(a)
	target.release(a)
}
