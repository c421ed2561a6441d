package gateway

import (
	"net/netip"

	"mastchute/control"
	"mastchute/internal/eventloop"
	"mastchute/internal/incarnation"
	"mastchute/internal/lease"
	"mastchute/internal/membership"
)

// This file defines the interface between the gateway and a protocol implementation. HTTP/1.1 (http_clients.go,
// http_workers.go) is one implementation, internal/platform the other. Every method here, on either side, must be called on
// the gateway's event loop; nothing is safe for use by other goroutines.
//
// Ownership: the gateway owns Request, Attempt and WorkerCommand records, and recycles them once they are finished. An
// implementation may read the exported fields from the call that passes it the record until the call that finishes it, and
// owns TransportState. The bytes of a response belong to the transport that received them.

// ResponseWriter writes the final response of one request to its client. The gateway calls exactly one of its Write methods,
// once, and then drops its reference. If the client disconnects first, the implementation calls Gateway.ClientDisconnected, after
// which the gateway calls none of the methods.
type ResponseWriter interface {
	// WriteResponse writes the worker's response to the attempt, or ends the response if it has been streamed.
	WriteResponse(request *Request, attempt *Attempt)
	// WriteShed writes that the request was rejected and that a retry by the client is harmless. retryAfter is the
	// suggested delay in seconds, 0 for no suggestion.
	WriteShed(request *Request, retryAfter float64)
	// RetryDelay returns how long, in seconds, the client is told to wait for if it is given retryAfter, which may be rounded up.
	RetryDelay(retryAfter float64) float64
	// WriteFailure writes that the request failed and may have run. timedOut reports whether the client's deadline was the
	// reason. A response that is being streamed is cut off in such a way that the client notices.
	WriteFailure(request *Request, timedOut bool, why string)
}

// ClientTransport serves clients over one protocol, and creates the transports to workers. It passes each complete request to
// Gateway.AcceptRequest if Gateway.Serving reports true.
type ClientTransport interface {
	// NewWorkerTransport returns the transport to a worker, which connects on demand. It is called for a newly listed
	// worker, and again when the worker's address or process changes, after the previous transport has been closed.
	NewWorkerTransport(worker *Worker) WorkerTransport
	// Drain stops accepting requests and closes connections as they become idle. It is called at a shutdown, and again if
	// the control module panics during the shutdown.
	Drain()
	// ConnectionCount returns the number of open client connections.
	ConnectionCount() int
	// CloseAll closes all connections, as the process must end. It reads and answers what has arrived before, and returns the
	// number of connections of which bytes stayed unread.
	CloseAll() (unreadCount int)
	// BufferedBytes returns the size of the request bodies held in memory.
	BufferedBytes() int64
}

// WorkerTransport sends attempts and worker commands to one worker. It reports the end of each by calling Attempt.Finish or
// WorkerCommand.Finish once, but not from within SendAttempt or SendWorkerCommand. The end of a cancelled one is not reported.
type WorkerTransport interface {
	// SendAttempt sends or queues the request of an attempt.
	SendAttempt(attempt *Attempt)
	// CancelAttempt cancels an attempt: no further byte of it is sent, and Finish is not called. An attempt that has ended
	// is ignored.
	CancelAttempt(attempt *Attempt)
	// SentAt returns the loop time at which the attempt was written to an established connection, 0 if it has not been.
	SentAt(attempt *Attempt) float64
	// ConnectionOf returns the connection to which the attempt was written, nil if it has not been.
	ConnectionOf(attempt *Attempt) *incarnation.Connection
	// CommandSentAt returns the same as SentAt for a worker command.
	CommandSentAt(command *WorkerCommand) float64
	// FullySent reports whether all of the attempt has been sent, so that cancelling it cannot prevent it from running.
	FullySent(attempt *Attempt) bool
	// SendWorkerCommand sends a worker command. A command without a response finishes once it is sent.
	SendWorkerCommand(command *WorkerCommand)
	// CancelWorkerCommand cancels a worker command: Finish is not called.
	CancelWorkerCommand(command *WorkerCommand)
	// CloseIdle closes the idle connections.
	CloseIdle()
	// FailUnsent finishes, with control.NotSent, each attempt and worker command of which no byte has been sent. It does so
	// shortly after it has returned.
	FailUnsent()
	// Close closes idle connections at once, and every other connection when it becomes idle.
	Close()
	// ConnectionCount returns the number of connections to the worker.
	ConnectionCount() int
	// QueuedCount returns the number of attempts and worker commands that wait for a connection.
	QueuedCount() int
}

// WorkerResponse is what a worker's response reports, apart from its body.
type WorkerResponse struct {
	Result            control.Result
	ModelState        control.ModelState
	SameModelInFlight int        // requests of the same model in flight at the worker, -1 if not reported
	LoadReport        [8]float64 // values of the configured load report fields, in their order
	LoadReportLen     int        // 0 if not reported
	Replicas          int        // replicas of the model after a load
}

// Worker is a worker of the endpoint list together with the transport to it. The gateway owns it and keeps it until the
// worker is evicted from the list.
type Worker struct {
	*membership.Worker

	transport           WorkerTransport
	transportAddr       netip.AddrPort // the address that transport connects to
	transportStartEpoch float64        // start of the worker's process that transport was created for, in seconds since 1970
	transportGroup      control.DedupGroup
	address             *incarnation.Address
	announced           bool           // the control module has been notified of the worker
	unidentified        bool           // the control module has been notified that attempts may reach another process
	connectionsChanged  bool           // listed in Gateway.changedConnections
	awaitsIdentity      bool           // listed in Gateway.awaitingIdentity
	callsInFlight       int            // attempts and worker commands that have not finished
	startupProbeCommand *WorkerCommand // in flight, or nil
	probeRetryTimer     eventloop.Timer
	lease               lease.Worker
	metrics             workerMetrics
}

// Attempt is one transmission of a request to a worker. It belongs to its request, and is recycled when the request is
// released.
type Attempt struct {
	Request        *Request
	Worker         *Worker
	Index          int // position among the attempts of the request, from 0
	Response       WorkerResponse
	ResponseBody   []byte  // as much of the response body as is buffered
	TransportState any     // owned by the worker transport; kept when the Attempt is recycled
	SendDeadline   float64 // loop time after which the first byte must not be sent, as workers no longer drop the repeat; +Inf for none

	gateway      *Gateway
	createdAt    float64 // loop time of the control module's action
	timeoutTimer eventloop.Timer
	dedupTimer   eventloop.Timer // fires at SendDeadline
	finished     bool
	blocked      bool // a rule forbids it, so it has not been passed to the transport
	result       control.Result

	// Set when the attempt has finished.
	sentAt float64                 // loop time at which it was written to a connection, 0 if it was not
	sentOn *incarnation.Connection // the connection, nil for none

	reportedGroup control.DedupGroup // that the control module takes it to have reached
}

// Finished reports whether the attempt has ended.
func (a *Attempt) Finished() bool { return a.finished }

// Siblings returns all attempts of the request, this one included.
func (a *Attempt) Siblings() []*Attempt { return a.Request.attempts[:a.Request.attemptCount] }

// PassedToTransport reports whether the transport got the attempt: not if a rule forbids it.
func (a *Attempt) PassedToTransport() bool { return !a.blocked }

// Finish records how the attempt ended. Calls after the first have no effect.
func (a *Attempt) Finish(result control.Result) { a.gateway.finishAttempt(a, result) }

// WorkerCommandKind is the kind of a worker command.
type WorkerCommandKind uint8

// The kinds of worker commands.
const (
	CommandLoadModel    WorkerCommandKind = iota // load replicas of a model
	CommandUnloadModel                           // unload the idle replicas of a model
	CommandProbe                                 // health check whose response contains a load report
	CommandStartupProbe                          // the same, sent to learn when the worker's process started
	CommandCheckWorker                           // load request for no replicas, to learn whether the worker accepts new work
	CommandKeepAlive                             // health check that keeps an idle connection open; its response is not used
)

// WorkerCommand is a message to a worker that carries no client request. The gateway owns it, and recycles it after it has
// finished.
type WorkerCommand struct {
	Kind           WorkerCommandKind
	Worker         *Worker
	Model          *Model // nil for probes
	Replicas       int
	Response       WorkerResponse
	TransportState any // owned by the worker transport; kept when the WorkerCommand is recycled

	gateway      *Gateway
	createdAt    float64
	timeoutTimer eventloop.Timer
	finished     bool
}

// Finish records how the worker command ended. Calls after the first have no effect.
func (c *WorkerCommand) Finish(result control.Result) { c.gateway.finishWorkerCommand(c, result) }
