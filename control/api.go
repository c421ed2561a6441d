// Package control decides which worker receives each request. There is one Dispatcher per dispatcher process, created by
// New and driven through the interface Module: SetNow, then the events of that moment, then Reconcile. Event methods only
// change the desired state: whether each request in flight should be queued, sent, shed or failed, and which load requests,
// probes and timer should be outstanding. Only Reconcile emits the actions that lead from the actual to the desired state.
// docs/design.md lists what each file decides.
//
// A Dispatcher is not safe for concurrent use: its host calls it from one goroutine. The package performs no I/O, reads no
// clock and starts no goroutine, so the same events and seed always give the same actions. That holds on all architectures:
// where a product is added to something, it is converted to float64 first, as Go may otherwise fuse the two operations into one
// with a single rounding, and does so on some architectures only.
//
// This file defines the interfaces between a dispatcher and its host. The identifiers are in ids.go, the events in
// events.go.
package control

// Seconds is a duration, or a time since the dispatcher's own start, in seconds.
type Seconds = float64

// Actions performs the actions of a Dispatcher; its host implements it. All calls are made from within Reconcile and take
// effect at the time passed to SetNow. Implementations must not call back into the Dispatcher.
type Actions interface {
	// SendAttempt sends the next attempt of a request. A timeout of 0 stands for the client's deadline.
	SendAttempt(id RequestID, worker WorkerID, timeout Seconds)
	// Shed rejects a request; the client may retry it after retryAfter, or at any time if that is 0.
	Shed(id RequestID, retryAfter Seconds)
	// Fail fails a request, without inviting the client to retry it.
	Fail(id RequestID)
	// CancelAttempt cancels an attempt whose result is no longer needed.
	CancelAttempt(id RequestID, attempt int)
	// LoadModel sends a load request: the worker should have the given number of replicas of a model loaded.
	LoadModel(worker WorkerID, model ModelID, replicas int)
	// UnloadModel asks a worker to unload a model.
	UnloadModel(worker WorkerID, model ModelID)
	// ProbeWorker sends a probe, a health check to which the worker responds with a load report.
	ProbeWorker(worker WorkerID)
	// CheckWorker asks a worker whether it accepts new work, with a load request for zero replicas of a model.
	CheckWorker(worker WorkerID, model ModelID)
	// CloseIdleConnections closes the idle connections to a worker.
	CloseIdleConnections(worker WorkerID)
	// SendPeerMessage sends a gossip message to one dispatcher, or to all others if the peer is AllPeers.
	SendPeerMessage(peer PeerID, message []byte)
	// SubscribeEndpointList starts or ends the subscription to the endpoint list.
	SubscribeEndpointList(on bool)
	// FetchEndpointList requests one snapshot of the endpoint list.
	FetchEndpointList()
	// SetTimer schedules a call to TimerFired after a delay.
	SetTimer(delay Seconds, timer TimerID)
	// Log writes a message to the host's log.
	Log(text string)
}

// Module is the interface through which a host drives a dispatcher: SetNow sets the clock, the events of that moment follow
// in order of arrival, and Reconcile emits the resulting actions.
type Module interface {
	// SetNow sets the clock for the events that follow.
	SetNow(now Seconds)
	// UpdateWorkers applies a watch event of the endpoint list, or records that discovery failed.
	UpdateWorkers(kind EndpointListKind, version uint32, workers []WorkerInfo)
	// RequestArrived records the arrival of a request.
	RequestArrived(arrival Request)
	// ResponseStarted records that the client has started to receive a response.
	ResponseStarted(id RequestID, attempt int, worker WorkerID, elapsed Seconds)
	// AttemptFinished records the outcome of an attempt.
	AttemptFinished(result AttemptResult)
	// RequestCancelled records that the client has disconnected or cancelled its request.
	RequestCancelled(id RequestID)
	// LoadFinished records the outcome of a load request.
	LoadFinished(result LoadResult)
	// ProbeFinished records the outcome of a probe.
	ProbeFinished(result ProbeResult)
	// WorkerChecked records the outcome of a check requested with CheckWorker.
	WorkerChecked(result CheckResult)
	// ListLeaseChanged records for how long the endpoint list may be relied on. Before the first call, there is no limit.
	ListLeaseChanged(lease ListLease)
	// ConnectionsLost records that the connections to a worker were reset or refused.
	ConnectionsLost(worker WorkerID)
	// WorkerIdentified records whether an attempt at a worker certainly reaches the process of its entry in the endpoint
	// list. Before the first call, it does.
	WorkerIdentified(worker WorkerID, identified bool)
	// AttemptTraced records the group that an attempt has reached, if it is not the one of its worker's entry when it was
	// scheduled. A later call replaces an earlier one.
	AttemptTraced(id RequestID, attempt int, group DedupGroup)
	// PeerMessageReceived records a gossip message.
	PeerMessageReceived(from PeerID, message []byte)
	// TimerFired records that the delay passed to SetTimer has elapsed.
	TimerFired(timer TimerID)
	// Reconcile emits the actions that result from the events so far.
	Reconcile()
}
