package gateway

import (
	"net/netip"

	"mastchute/control"
	"mastchute/internal/membership"
)

// The host knows clients and workers by what follows and by nothing else. HTTP/1.1 (http_clients.go, http_workers.go) is one
// implementation, internal/platform the other. All of it runs on the loop.

// ResponseWriter is the client's side of one request. The host calls exactly one method, once, and forgets the client; when
// the client goes first, its implementation calls Gateway.Left instead and hears nothing.
type ResponseWriter interface {
	// Returned passes on the answer that f holds.
	WriteResponse(q *Request, f *Attempt)
	// Shed answers that trying again is harmless, after so many seconds where that may be told; 0 tells nothing.
	WriteShed(q *Request, retryAfter float64)
	// Failed answers that it did not work out; late tells that the client's time was the reason.
	WriteFailure(q *Request, late bool, why string)
}

// ClientTransport takes clients in by one protocol, and makes the links to workers.
type ClientTransport interface {
	// Link makes the way to a worker; it connects when it is used.
	NewWorkerTransport(w *Worker) WorkerTransport
	// Drain takes nothing new in, and ends connections as they become idle.
	Drain()
	// Conns is how many connections of clients are open.
	ConnectionCount() int
	// Held is how many bytes of bodies are held.
	BufferedBytes() int64
}

// WorkerTransport is the way to one worker: it carries attempts and orders, and tells what became of them by Attempt.End and
// Order.End, later, once each, unless they were cancelled.
type WorkerTransport interface {
	// Send hands a request to the worker.
	SendAttempt(f *Attempt)
	// Cancel gives an attempt up: what has not been sent never is, and nothing more is heard of it.
	CancelAttempt(f *Attempt)
	// Handed is the loop's time when the attempt was handed to a connection that is up; 0 before.
	SentAt(f *Attempt) float64
	// Whole tells whether the attempt has been handed over so far that it cannot be held back.
	FullySent(f *Attempt) bool
	// Order sends a load order, an unload, a probe or a hello. One that has no answer ends when it is sent.
	SendControlCall(o *ControlCall)
	// Drop gives an order up: nothing more is heard of it.
	CancelControlCall(o *ControlCall)
	// CloseIdle closes the connections that carry nothing.
	CloseIdle()
	// Abandon ends, as control.NotSent and soon, all that has not been sent.
	FailUnsent()
	// Close closes what is idle, and each other connection when it becomes so.
	Close()
	// Conns is how many connections there are, Queued how many attempts and orders wait to be sent.
	ConnectionCount() int
	QueuedCount() int
}

// WorkerResponse is what a worker's answer says beside the answer itself. Crowd is -1 and Fields 0 where not told.
type WorkerResponse struct {
	Result            control.Result
	ModelState        control.ModelState
	SameModelInFlight int
	LoadReport        [8]float64 // load report by the configured fields
	LoadReportLen     int
	Replicas          int
}

// Worker is a worker of the list of workers with the way to it.
type Worker struct {
	*membership.Worker
	transport        WorkerTransport
	transportAddr    netip.AddrPort // the link's
	transportEpoch   float64        // the start that the list told when the link was made
	announced        bool           // the decisions have been told of it
	callsInFlight    int            // attempts and orders that have not ended
	startupProbeCall *ControlCall
	probeRetryTimer  timer // asks it once more for its start
	metrics          workerMetrics
}

// Attempt is one sending of a request to a worker.
type Attempt struct {
	Request        *Request
	Worker         *Worker
	Index          int // counted from 0
	Response       WorkerResponse
	ResponseBody   []byte // of the answer, as far as it is held
	TransportState any    // the link's own record; it stays with this one when it is used again
	// NotAfter is the loop's time after which none of it may leave: a repeat would no longer be dropped by the workers.
	SendDeadline float64

	gateway      *Gateway
	createdAt    float64 // when the decisions asked for it
	timeoutTimer timer
	dedupTimer   timer // fires at NotAfter
	finished     bool
	blocked      bool // the link never had it
	result       control.Result
}

// Finished tells whether it has ended.
func (f *Attempt) Finished() bool { return f.finished }

// Finish tells how it ended, by a result that Heard or the connection tells; nothing after the first time.
func (f *Attempt) Finish(r control.Result) { f.gateway.finishAttempt(f, r) }

// ControlCallKind says what an order asks for.
type ControlCallKind uint8

const (
	CallLoadModel ControlCallKind = iota
	CallUnloadModel
	CallProbe
	CallStartupProbe // its start, which the answer to a probe tells
)

// ControlCall is a call to a worker that serves no request.
type ControlCall struct {
	Kind           ControlCallKind
	Worker         *Worker
	Model          *Model // nil for probes and hellos
	Replicas       int
	Response       WorkerResponse
	TransportState any // the link's own record

	gateway      *Gateway
	createdAt    float64
	timeoutTimer timer
	finished     bool
}

// Finish tells how it ended; nothing after the first time.
func (o *ControlCall) Finish(r control.Result) { o.finish(r) }
