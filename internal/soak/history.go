package soak

import (
	"sync"
	"time"
)

// The history holds what the sockets carried, with times in seconds of the run's monotonic clock.

// Class is a model group of the soak.
type Class string

// The classes.
const (
	ReadClass  Class = "read"  // retriable
	WriteClass Class = "write" // deduplicated
	OnceClass  Class = "once"  // non-retriable
)

// Ending says how a request ended for its client.
type Ending string

// The endings.
const (
	Served   Ending = "served"
	Shed     Ending = "shed"
	Failed   Ending = "failed"
	Closed   Ending = "closed"   // the connection ended without an answer
	NoAnswer Ending = "none"     // nothing came
	Gone     Ending = "gone"     // the client cancelled or closed
	Garbled  Ending = "garbled"  // an answer that can't be read
	Refused  Ending = "refused"  // the connection was never accepted
	Excused  Ending = "excused"  // its dispatcher was killed
	Crossed  Ending = "crossed"  // it crossed the close of a resting connection, and was sent again
	unending Ending = "unending" // still open
)

// Request is one as its client saw it.
type Request struct {
	ID         string
	Class      Class
	Key        string
	Dispatcher int
	Patience   float64
	Sent       float64 // its last byte was written
	Left       float64 // cancelled or closed; 0 for not
	Ended      float64
	Ending     Ending
	Body       string
	Answers    int
	Alone      bool // its connection had rested: it carried others before, and nothing else was open on it
	Local      string
	New        bool // nothing was answered on its connection yet, which may wait to be accepted
}

// Attempt is one message as a worker's socket carried it.
type Attempt struct {
	ID       string
	Worker   string
	Key      string
	First    float64 // its first byte was read
	Whole    float64 // its last byte was read; 0 if it never came whole
	Latest   float64 // the same, where the worker was deaf: it may have come in at any time from Whole on
	Budget   float64 // s
	Answer   string  // what the worker answered; empty for nothing
	Answered float64
	Body     string
}

// neverRan tells whether the worker said, by a time, that the attempt did not run.
func (a *Attempt) neverRan(by float64) bool {
	switch a.Answer {
	case "not_here", "overload", "nobody":
		return a.Answered > 0 && a.Answered <= by
	}
	return a.Whole == 0
}

// Order is a load order as a worker's socket carried it.
type Order struct {
	Worker string
	First  float64
}

// History is what all sockets of a run carried.
type History struct {
	mu       sync.Mutex
	start    time.Time
	Requests []*Request
	Attempts map[string][]*Attempt
	Orders   []Order
	Told     map[string]float64 // when the change log had that a worker drains or has gone
	Started  map[string]float64 // when the change log had that a worker started cold
	Stray    []string
}

// NewHistory begins a history at the plan's second 0.
func NewHistory() *History {
	return &History{start: time.Now(), Attempts: map[string][]*Attempt{}, Told: map[string]float64{}, Started: map[string]float64{}}
}

// Now is the time on the run's clock.
func (h *History) Now() float64 { return time.Since(h.start).Seconds() }

func (h *History) request(r *Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Requests = append(h.Requests, r)
}

// update changes a record under the history's lock.
func (h *History) update(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

func (h *History) attempt(a *Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Attempts[a.ID] = append(h.Attempts[a.ID], a)
}
