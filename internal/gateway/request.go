package gateway

import (
	"math"
	"strconv"

	"mastchute/control"
	"mastchute/internal/eventloop"
)

// Request is a client's request in flight: from its acceptance until its final response has been given and the control module
// has been notified of the end of every attempt. Its record is a reusable slot of the request table.
type Request struct {
	Writer ResponseWriter // nil once the final response has been given or the client has disconnected

	id                 control.RequestID
	seq                uint64 // sequence number of the request in this process, from 1
	model              *Model
	group              *group
	tenant             int // index in the settings, -1 for none
	arrivedAt          float64
	deadline           float64
	deadlineTimer      eventloop.Timer
	attemptCount       int
	attempts           [maxAttempts]*Attempt
	unreportedAttempts int      // attempts whose end has not been reported to the control module
	streamingAttempt   *Attempt // the attempt whose response is streamed to the client, or nil
	finished           bool     // the final response has been given, or the client has disconnected
	inUse              bool     // the slot holds a request
	generation         uint32   // number of times the slot has been used
	traceID            [16]byte // the client's id for the request, if it set one
}

// Model returns the requested model.
func (r *Request) Model() *Model { return r.model }

// Effect returns the effect of running the request more than once.
func (r *Request) Effect() control.Effect { return r.group.effect }

// Deadline returns the client's deadline in seconds of the loop's clock.
func (r *Request) Deadline() float64 { return r.deadline }

// Finished reports whether the final response has been given or the client has disconnected.
func (r *Request) Finished() bool { return r.finished }

// ID returns the control module's id of the request.
func (r *Request) ID() control.RequestID { return r.id }

// Tenant returns the index of the request's tenant in the settings, -1 if it has none.
func (r *Request) Tenant() int { return r.tenant }

// SetTraceID sets the client's id for the request, for logs and flight recorder dumps.
func (r *Request) SetTraceID(id [16]byte) { r.traceID = id }

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int { return g.inFlight }

// Serving reports whether requests are accepted: not during a shutdown, and not after the control module has panicked.
func (g *Gateway) Serving() bool { return !g.stopping && g.module != nil }

// AcceptRequest accepts a request. From then on the gateway guarantees one final response through writer. tenant is an
// index in the settings, -1 for none. The group's timeout runs from arrivedAt, the loop time at which the request arrived.
// details contains the client's parameters and the model's group; AcceptRequest fills in the other fields.
func (g *Gateway) AcceptRequest(writer ResponseWriter, model *Model, tenant int, arrivedAt float64, details control.Request) *Request {
	r := g.allocateRequest()
	r.Writer = writer
	r.model = model
	r.group = g.groups[details.Group]
	r.arrivedAt = arrivedAt
	r.tenant = tenant
	r.deadline = math.Min(arrivedAt+r.group.Timeout.Seconds, details.Deadline)
	model.inFlight++

	details.ID = r.id
	details.Model = model.ID
	details.Deadline = r.deadline
	details.Tenant = math.MaxUint16
	if tenant >= 0 {
		details.Tenant = control.TenantID(tenant)
	}

	timeLeft := r.deadline - g.Loop.Now()
	r.group.metrics.accepted.Inc()
	g.Loop.StartTimer(&r.deadlineTimer, timeLeft)
	g.RecordEvent("request_accepted", r.group.Name, r, nil, timeLeft)
	g.deliverRequest(&details)
	return r
}

// ClientDisconnected ends a request without a response, because its client has disconnected or cancelled it.
func (g *Gateway) ClientDisconnected(r *Request) {
	if r == nil || !r.inUse || r.finished {
		return
	}
	r.Writer = nil
	g.finishRequest(r, outcomeClientDisconnected)
	if r.streamingAttempt != nil {
		g.finishAttempt(r.streamingAttempt, control.Cancelled)
	}
	g.deliverCancellation(r)
}

// allocateRequest returns a free slot of the request table under a new id.
func (g *Gateway) allocateRequest() *Request {
	if len(g.freeSlots) == 0 {
		r := &Request{}
		r.deadlineTimer.Fire = func() { g.deadlineExceeded(r) }
		g.requests = append(g.requests, r)
		g.freeSlots = append(g.freeSlots, int32(len(g.requests)-1))
	}
	slot := g.freeSlots[len(g.freeSlots)-1]
	g.freeSlots = g.freeSlots[:len(g.freeSlots)-1]
	r := g.requests[slot]
	g.lastSeq++
	generation := r.generation + 1
	*r = Request{
		id:            control.RequestID(uint32(slot) | generation<<requestSlotBits),
		seq:           g.lastSeq,
		deadlineTimer: r.deadlineTimer,
		inUse:         true,
		generation:    generation,
	}
	g.inFlight++
	return r
}

func slotOf(id control.RequestID) int { return int(id & (1<<requestSlotBits - 1)) }

// findRequest returns a request in flight, nil if it has been released. The generation in the id distinguishes it from
// earlier uses of the slot, to which late events may refer.
func (g *Gateway) findRequest(id control.RequestID) *Request {
	slot := slotOf(id)
	if slot >= len(g.requests) {
		return nil
	}
	r := g.requests[slot]
	if !r.inUse || r.id != id {
		return nil
	}
	return r
}

// releaseRequest frees the slot of a request that has its final response and whose attempts have all been reported.
func (g *Gateway) releaseRequest(r *Request) {
	if !r.inUse || !r.finished || r.unreportedAttempts > 0 {
		return
	}
	for i, a := range r.attempts[:r.attemptCount] {
		r.attempts[i] = nil
		g.recycleAttempt(a)
	}
	g.Loop.CancelTimer(&r.deadlineTimer)
	r.inUse = false
	r.model.inFlight--
	r.model = nil
	g.freeSlots = append(g.freeSlots, int32(slotOf(r.id)))
	g.inFlight--
}

// appendRequestID appends the id of a request that clients, workers and logs use.
func (g *Gateway) appendRequestID(b []byte, r *Request) []byte {
	b = append(b, g.requestIDPrefix...)
	return strconv.AppendUint(b, r.seq, 10)
}
