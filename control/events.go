package control

// Result is the outcome of an attempt, a load request or a probe.
type Result uint8

// The outcomes. "May have run" means that the worker may have executed the request completely or in part.
const (
	Succeeded       Result = iota
	WorkerError            // the worker reported an error; the request may have run
	AtCapacity             // the worker rejected the request without running it
	TimedOut               // no response in time; the request may have run
	ConnectFailed          // no connection could be established
	ConnectionReset        // the connection was lost; the request may have run
	Cancelled              // cancelled by this dispatcher; the request may have run
	NotSent                // the host did not send the request
	ModelNotLoaded         // the model is not loaded on the worker, or the load that the request awaited failed
)

// NeverRan reports whether the result proves that the worker did not run the request.
func (r Result) NeverRan() bool {
	return r == AtCapacity || r == ConnectFailed || r == NotSent || r == ModelNotLoaded
}

// FromWorker reports whether the result came from the worker itself.
func (r Result) FromWorker() bool {
	return r == Succeeded || r == WorkerError || r == AtCapacity || r == ModelNotLoaded
}

// ModelState is the state in which a request found its model on the worker.
type ModelState uint8

// The model states.
const (
	ModelStateUnknown ModelState = iota
	ModelLoaded                  // the model was loaded
	LoadStarted                  // the request started a load
	LoadAwaited                  // the request waited for a load that was already in progress
	LoadFailed                   // the load failed
)

// WorkerState is the state of a worker in the endpoint list.
type WorkerState uint8

// The worker states.
const (
	Gone     WorkerState = iota // no longer listed
	Ready                       // accepts requests
	Draining                    // finishes its requests and accepts no new ones
)

// WorkerInfo is one entry of the endpoint list.
type WorkerInfo struct {
	ID        WorkerID
	Zone      ZoneID
	Kind      KindID
	Cell      CellID
	State     WorkerState
	Weight    float64
	StartedAt Seconds // time of the latest start, -Inf if it was long ago or is unknown
}

// DedupGroup is the place of the worker process that an attempt has reached, which decides which workers drop its repeats. The
// zero value stands for a process that may be that of any worker.
type DedupGroup struct {
	Zone      ZoneID
	Cell      CellID
	ZoneKnown bool
	CellKnown bool // implies ZoneKnown
}

// KnownGroup returns the group of a process whose place is certain.
func KnownGroup(zone ZoneID, cell CellID) DedupGroup {
	return DedupGroup{Zone: zone, Cell: cell, ZoneKnown: true, CellKnown: true}
}

// EndpointListKind is the kind of a watch event of the endpoint list.
type EndpointListKind uint8

// The kinds of watch event.
const (
	ListDelta    EndpointListKind = iota // changed entries only
	ListSnapshot                         // the complete list
	ListCached                           // the complete list from a cache: discovery may be unavailable
	ListFailed                           // discovery was unavailable; no entries
)

// Request is a client request that has arrived.
type Request struct {
	ID           RequestID
	Model        ModelID
	Group        GroupID
	Tenant       TenantID
	MemoryMB     float64 // memory of a replica of the model, 0 if unknown
	Concurrency  float64 // requests that a replica serves concurrently, 0 if unknown
	WorkHint     Seconds // expected run time, 0 if unknown
	LoadTimeHint Seconds // expected load time of the model, 0 if unknown
	Deadline     Seconds // +Inf if the client set none
	ClientRetry  bool    // the client retries a request that was shed or failed
}

// AttemptResult is the outcome of one attempt of a request.
type AttemptResult struct {
	ID                RequestID
	Attempt           int // number of the attempt, from 0
	Worker            WorkerID
	Duration          Seconds
	Result            Result
	ModelState        ModelState
	SameModelInFlight int       // requests for the same model in flight at the worker, -1 if unknown
	RequestFinished   bool      // the request has its final response
	LoadReport        []float64 // the worker's load report, in the order of the load_report.fields setting
	LeaseUntil        Seconds   // end of the worker's own lease, 0 if it never had one
}

// LoadResult is the outcome of one load request.
type LoadResult struct {
	Worker   WorkerID
	Model    ModelID
	Result   Result
	Duration Seconds
	Replicas int // replicas that are now loaded

	LeaseUntil Seconds // end of the worker's own lease, 0 if it never had one
}

// CheckResult is the outcome of one check whether a worker accepts new work. AtCapacity means that the worker is draining.
type CheckResult struct {
	Worker     WorkerID
	Result     Result
	LeaseUntil Seconds // end of the worker's own lease, 0 if it never had one
}

// ListLease determines for how long the endpoint list may be relied on without confirmation.
type ListLease struct {
	ConfirmedAt Seconds // time at which the list was last known to be complete
	NotifiedBy  Seconds // from then on, changes that the list does not contain may count as notified
	Until       Seconds // end of the lease: from then on, a worker receives new work only under a lease of its own
}

// ProbeResult is the outcome of one probe.
type ProbeResult struct {
	Worker     WorkerID
	Result     Result
	Duration   Seconds
	LoadReport []float64
}
