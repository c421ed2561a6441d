// Package control decides where each request goes. There is one Dispatcher for each dispatcher process, made by New and
// driven through the interface Module: At, then the events of that moment, then Settle. Handlers change the wanted state:
// what each request in flight should be (held, out, shed, failed), which orders, probes and timer should be out. Settle
// alone emits the difference to what is out. docs/design.md says what each file decides.
//
// This file is the interface: ids, the events a host feeds in, and the actions that come out.
package control

// Times and spans are seconds with fractions, counted from the dispatcher's own start.
type Seconds = float64

// Each kind of id is a type of its own; none tells anything beyond identity.
type (
	RequestID uint32
	WorkerID  uint64
	ModelID   uint64
	GroupID   uint16 // model group
	TenantID  uint16
	ZoneID    uint16
	KindID    uint8
	CellID    uint16
	PeerID    uint16
	TimerID   uint32
)

// AllPeers addresses a note to every peer.
const AllPeers = PeerID(0xffff)

// Result says how an attempt, an order or a probe ended.
type Result uint8

const (
	Succeeded       Result = iota // answered well
	WorkerError                   // the worker said error; it may have run
	AtCapacity                    // turned away unseen
	TimedOut                      // no answer in time; may have run
	ConnectFailed                 // no connection came about
	ConnectionReset               // connection lost; may have run
	Cancelled                     // called off; may have run
	NotSent                       // never sent
	ModelNotLoaded                // no copy there, or the load waited for failed
)

// NeverRan tells whether the result proves that the attempt did not run.
func (r Result) NeverRan() bool {
	return r == AtCapacity || r == ConnectFailed || r == NotSent || r == ModelNotLoaded
}

// FromWorker tells whether the result came from the worker itself.
func (r Result) FromWorker() bool {
	return r == Succeeded || r == WorkerError || r == AtCapacity || r == ModelNotLoaded
}

// ModelState says how a request found its model on the worker.
type ModelState uint8

const (
	ModelStateUnknown ModelState = iota
	ModelWarm
	LoadStarted
	LoadAwaited
	LoadFailed
)

// WorkerState is what the list of workers says of one.
type WorkerState uint8

const (
	Gone WorkerState = iota
	Ready
	Draining
)

// WorkerInfo is one line of the list of workers. Start is the time of the latest start, -Inf for long ago.
type WorkerInfo struct {
	ID        WorkerID
	Zone      ZoneID
	Kind      KindID
	Cell      CellID
	State     WorkerState
	Weight    float64
	StartedAt Seconds
}

// WorkerListKind says what a list event holds.
type WorkerListKind uint8

const (
	ListDelta WorkerListKind = iota
	ListSnapshot
	ListCached
	ListFailed
)

// Request is a client's call as it comes in. NotAfter is +Inf where not told; Work and Load are 0 where
// not told.
type Request struct {
	ID           RequestID
	Model        ModelID
	Group        GroupID
	Tenant       TenantID
	MemoryMB     float64
	Concurrency  float64
	WorkHint     Seconds
	LoadTimeHint Seconds
	Deadline     Seconds
	ClientRetry  bool
}

// AttemptResult tells how one attempt ended. Crowd is the count of same-model requests the worker held, -1 if
// not told.
type AttemptResult struct {
	ID                RequestID
	Attempt           int
	Worker            WorkerID
	Duration          Seconds
	Result            Result
	ModelState        ModelState
	SameModelInFlight int
	RequestAnswered   bool
	LoadReport        []float64
}

// LoadResult answers one load order.
type LoadResult struct {
	Worker   WorkerID
	Model    ModelID
	Result   Result
	Duration Seconds
	Replicas int
}

// ProbeResult answers one probe.
type ProbeResult struct {
	Worker     WorkerID
	Result     Result
	Duration   Seconds
	LoadReport []float64
}

// Actions is how the module acts; all act at the time of the event at hand.
type Actions interface {
	SendAttempt(id RequestID, w WorkerID, timeout Seconds) // timeout 0: until the client's time is up
	Shed(id RequestID, retryAfter Seconds)
	Fail(id RequestID)
	CancelAttempt(id RequestID, attempt int)
	LoadModel(w WorkerID, m ModelID, copies int)
	UnloadModel(w WorkerID, m ModelID)
	ProbeWorker(w WorkerID)
	CloseIdleConnections(w WorkerID)
	SendPeerMessage(to PeerID, note []byte)
	SubscribeWorkerList(on bool)
	FetchWorkerList()
	SetTimer(after Seconds, t TimerID)
	Log(text string)
}

// Module is a dispatcher as its host drives it: At sets the clock, then the events of that moment in order
// of arrival, then Settle, which emits what follows from them.
type Module interface {
	SetNow(now Seconds)
	UpdateWorkers(kind WorkerListKind, version uint32, list []WorkerInfo)
	RequestArrived(q Request)
	ResponseStarted(id RequestID, attempt int, w WorkerID, took Seconds)
	AttemptFinished(o AttemptResult)
	RequestCancelled(id RequestID)
	LoadFinished(o LoadResult)
	ProbeFinished(o ProbeResult)
	PeerMessageReceived(from PeerID, note []byte)
	TimerFired(t TimerID)
	Reconcile()
}
