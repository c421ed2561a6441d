package soak

import (
	"encoding/json"
	"os"
	"sync"
	"time"
)

// class is the class of a request. The values are the names of the request classes in the dispatchers' configuration.
type class string

const (
	retriableClass    class = "read"
	deduplicatedClass class = "write"
	nonRetriableClass class = "once"
)

// Outcome is how a request ended for its client.
type Outcome string

// The outcomes, as reports print them.
const (
	Served        Outcome = "served"
	Shed          Outcome = "shed"
	Failed        Outcome = "failed"
	Closed        Outcome = "closed"   // the connection ended without a response
	NoResponse    Outcome = "none"     // neither a response nor a close arrived in time
	ClientAborted Outcome = "gone"     // the client cancelled the request or disconnected
	Malformed     Outcome = "garbled"  // the response was truncated
	NotAccepted   Outcome = "refused"  // the request was never fully sent
	Excused       Outcome = "excused"  // the dispatcher was killed
	Resent        Outcome = "crossed"  // sent again, because the dispatcher closed the idle connection at the same time
	pending       Outcome = "unending" // not ended yet
)

// request is a request as its client recorded it, under the history's lock.
type request struct {
	ID         string
	Class      class
	Key        string // idempotency key; empty for none
	Dispatcher int
	Timeout    float64 // s
	SentAt     float64 // when the last byte was written
	AbortedAt  float64 // when the client cancelled or disconnected; 0 if it did not
	EndedAt    float64
	Outcome    Outcome
	Body       string
	WasIdle    bool   // its connection had carried other requests before, and had no other in flight
	LocalAddr  string // of the client
	NewConn    bool   // its connection had no response yet, so that the dispatcher may not have accepted it
}

// attempt is an attempt as a worker recorded it.
type attempt struct {
	RequestID        string
	Worker           string
	Key              string
	FirstByteAt      float64
	ReceivedAt       float64 // when the last byte arrived; 0 if it did not
	LatestReceivedAt float64 // later than ReceivedAt if the worker had stopped reading: the last byte arrived in between
	Timeout          float64 // s
	Result           string  // of the response; empty if there is none
	RespondedAt      float64
}

// Results of attempts in the worker protocol.
const (
	resultServed   = "served"
	resultNotHere  = "not_here"
	resultOverload = "overload"
	resultNobody   = "nobody"
	resultCrashed  = "crashed"
)

// neverRan reports whether the worker had responded by the given time that the attempt did not run, or never received
// it.
func (a *attempt) neverRan(by float64) bool {
	switch a.Result {
	case resultNotHere, resultOverload, resultNobody:
		return a.RespondedAt > 0 && a.RespondedAt <= by
	}
	return a.ReceivedAt == 0
}

// latestFirstByteAt returns when the first byte of an attempt was sent at the latest, given an earlier attempt of the same request.
// While the worker had stopped reading, FirstByteAt is only the earliest possible time: the times left that the two messages
// state then show how long after the earlier one it was encoded.
func (a *attempt) latestFirstByteAt(earlier *attempt) float64 {
	encodedAt := earlier.LatestReceivedAt + earlier.Timeout - a.Timeout + timeoutResolution
	return max(a.FirstByteAt, min(a.LatestReceivedAt, encodedAt))
}

// loadRequest is a load request as a worker recorded it.
type loadRequest struct {
	Worker string
	At     float64
}

// history holds the recorded traffic of a run. Times are in seconds of the run's monotonic clock. Clients, workers and
// the change log write it concurrently under its lock.
type history struct {
	mu           sync.Mutex
	start        time.Time
	Requests     []*request
	Attempts     map[string][]*attempt // by request ID
	LoadRequests []loadRequest
	WorkerChecks int                // load requests for zero replicas
	DrainedAt    map[string]float64 // when the change log got the event that a worker drains
	StartedAt    map[string]float64 // when the change log got the event that a worker started
	GroupOf      map[string]int     // of each worker process, by id
	BornAt       map[string]float64 // when a worker process started; the change log tells of it at StartedAt
	Unexpected   []string           // messages that can't be decoded or belong to no request
}

// newHistory returns an empty history whose clock starts now.
func newHistory() *history {
	return &history{start: time.Now(), Attempts: map[string][]*attempt{}, DrainedAt: map[string]float64{}, StartedAt: map[string]float64{},
		GroupOf: map[string]int{}, BornAt: map[string]float64{}}
}

// now returns the time on the run's clock.
func (h *history) now() float64 { return time.Since(h.start).Seconds() }

func (h *history) addRequest(r *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Requests = append(h.Requests, r)
}

// recordStart records the start of a worker process of a group.
func (h *history) recordStart(id string, group int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.GroupOf[id] = group
	h.BornAt[id] = h.now()
}

func (h *history) addAttempt(a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Attempts[a.RequestID] = append(h.Attempts[a.RequestID], a)
}

func (h *history) addUnexpected(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Unexpected = append(h.Unexpected, text)
}

// historyFile is the name of the file with the recorded traffic of a traced run.
const historyFile = "history.json"

// writeTo writes the recorded traffic to a file, as JSON.
func (h *history) writeTo(path string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	text, err := json.MarshalIndent(h, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// update changes records under the history's lock.
func (h *history) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// seconds converts a time in seconds to a time.Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
