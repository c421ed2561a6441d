package emulator

// phase is the progress of a request at its worker.
type phase uint8

const (
	phaseWaiting phase = iota // no replica is ready, or all are at their concurrency limit
	phaseRunning
	phaseEnded
)

// Outcome is how a request or a load request ended.
type Outcome uint8

const (
	// Pending requests have not ended.
	Pending Outcome = iota
	// Served requests ran, or were dropped as duplicates of one that did.
	Served
	// RejectedFull requests never ran: the queue or the memory was full.
	RejectedFull
	// RejectedMiss requests never ran: the model was not loaded.
	RejectedMiss
	// Errored requests got an error response.
	Errored
	// NoResponse requests get no response: they were cancelled, past their deadline, or silenced by a fault.
	NoResponse
	// WorkerLost requests ended with the process of their worker.
	WorkerLost
)

// ModelState is the state of the model when a request arrived, as the Mastchute-Found header reports it.
type ModelState string

const (
	// ModelWarm means that a replica was ready.
	ModelWarm ModelState = "warm"
	// LoadStarted means that the request started the load of a replica.
	LoadStarted ModelState = "began"
	// LoadAwaited means that the request waited for a load that was already in progress.
	LoadAwaited ModelState = "awaited"
	// LoadFailed means that the replica that the request waited for could not be loaded.
	LoadFailed ModelState = "failed"
)

// Request is a request or a load request at a worker. The caller fills in the first fields before Fleet.Submit and
// must not change them afterwards; the fleet owns the others until the request ends.
type Request struct {
	Owner          any // the caller's own state
	Model          string
	IdempotencyKey string
	Tenant         string
	IsLoad         bool
	Deadline       float64 // on the fleet's clock; 0 for none

	Replicas          int // replicas that a load request asks for; replicas that are ready when it has ended
	Group             string
	Outcome           Outcome
	ModelState        ModelState // set when the request ends
	SameModelInFlight int        // other requests for the model at the worker on arrival
	StartedAt         float64    // 0 if the request never began to run
	EndedAt           float64
	Duplicate         bool // dropped as a duplicate of its idempotency key
	Silenced          bool // a fault withholds the response
	ResetResponse     bool // a fault resets the connection in the middle of the response
	TruncateResponse  bool // a fault truncates the response

	worker        *worker
	modelReplicas *modelReplicas
	remaining     float64 // seconds of one core
	phase         phase
	arrivalState  ModelState
	cancelled     bool
}

// end records how and when the request ended.
func (r *Request) end(outcome Outcome, now float64) {
	r.phase = phaseEnded
	r.Outcome = outcome
	r.EndedAt = now
}

// pastDeadline reports whether the request has a deadline that has passed.
func (r *Request) pastDeadline(now float64) bool { return r.Deadline > 0 && now > r.Deadline }
