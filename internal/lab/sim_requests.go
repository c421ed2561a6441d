package lab

import (
	"fmt"
	"math"
	"slices"

	"mastchute/control"
	"mastchute/internal/config"
	"mastchute/internal/emulator"
)

// The requests of a simulated dispatcher, from arrival to the end of the last attempt.

// sameModelInFlightUnknown is the SameModelInFlight of a result without that information.
const sameModelInFlightUnknown = -1

// simRequest is a request at a dispatcher.
type simRequest struct {
	id             control.RequestID
	recordID       string // its id in records
	model          *simModel
	key            string // idempotency key
	tenant         string
	deadline       float64 // s of the scenario
	respond        func(simResponse)
	attempts       []*simAttempt
	pendingResults int // attempts whose result the control module does not have yet
	responded      bool
}

// simAttempt is what is sent to a worker: an attempt of a request, or a load request.
type simAttempt struct {
	dispatcher    *simDispatcher
	request       *simRequest // nil for a load request
	number        int
	worker        int
	createdAt     float64
	workerRequest emulator.Request
	workerDone    bool // the worker responded, or the connection to it failed or was closed
	ended         bool // the dispatcher no longer waits for a response
	onResponse    func(*workerResponse)
}

// accept registers a request and passes it to the control module. If too many requests are open, it rejects the request and
// returns nil.
func (d *simDispatcher) accept(a *ClientAttempt, c *logicalCall, respond func(simResponse)) *simRequest {
	s := d.sim
	m := s.model(a.Model)
	if d.openRequests >= s.scenario.Settings.Limits.Requests {
		respond(simResponse{status: 503})
		return nil
	}
	d.nextRequestID++
	timeout := math.Min(m.group.Timeout.Seconds, a.Timeout)
	r := &simRequest{id: control.RequestID(d.nextRequestID), recordID: fmt.Sprintf("%s-%d-%d", d.name, d.incarnation, d.nextRequestID), model: m,
		key: c.key, tenant: c.tenant, deadline: s.now + timeout, respond: respond}
	d.requests[r.id] = r
	d.requestsInOrder = append(d.requestsInOrder, r)
	d.openRequests++
	arrived := control.Request{ID: r.id, Model: m.id, Group: m.groupID, Tenant: s.tenantID(c.tenant), MemoryMB: m.config.Memory.MB(),
		Concurrency: m.config.Concurrency, LoadTimeHint: m.config.LoadTime.Seconds, Deadline: s.now + a.Timeout - d.startedAt, ClientRetry: a.Number > 0}
	incarnation := d.incarnation
	s.at(r.deadline, func() {
		if d.incarnation == incarnation {
			d.deadlineExceeded(r)
		}
	})
	d.deliverEvent(func() { d.module.RequestArrived(arrived) })
	return r
}

// tenantID returns the id of a tenant, the largest id for one without a quota.
func (s *simulation) tenantID(name string) control.TenantID {
	i := slices.IndexFunc(s.scenario.Settings.Tenants, func(t config.Tenant) bool { return t.Name == name })
	if i < 0 {
		return math.MaxUint16
	}
	return control.TenantID(i)
}

func (d *simDispatcher) deadlineExceeded(r *simRequest) {
	if d.requests[r.id] != r {
		return
	}
	if !r.responded {
		d.sim.guards["late"]++
		d.sendResponse(r, simResponse{status: 504, outcome: OutcomeFailed})
		d.deliverEvent(func() { d.module.RequestCancelled(r.id) })
	}
	for _, a := range r.attempts {
		d.endAttempt(a, &workerResponse{result: control.TimedOut})
	}
}

// clientDisconnected handles the end of the client's connection; r is nil if the request was rejected.
func (d *simDispatcher) clientDisconnected(r *simRequest) {
	if r == nil || r.responded || d.module == nil || d.requests[r.id] != r {
		return
	}
	d.closeRequest(r)
	d.deliverEvent(func() { d.module.RequestCancelled(r.id) })
}

// sendResponse sends the final response.
func (d *simDispatcher) sendResponse(r *simRequest, response simResponse) {
	if r.responded {
		d.sim.guards["second_answer"]++
		return
	}
	response.request = r.recordID
	r.respond(response)
	d.closeRequest(r)
}

// closeRequest marks a request as responded to and cancels its remaining attempts.
func (d *simDispatcher) closeRequest(r *simRequest) {
	r.responded = true
	d.openRequests--
	for _, a := range r.attempts {
		d.endAttempt(a, &workerResponse{result: control.Cancelled, sameModelInFlight: sameModelInFlightUnknown})
	}
	d.sim.after(0, func() { d.removeIfDone(r) })
}

// minCompaction is the length up to which the list of requests in order is not compacted.
const minCompaction = 64

// removeIfDone removes a request that was responded to and whose attempts have all ended.
func (d *simDispatcher) removeIfDone(r *simRequest) {
	if !r.responded || r.pendingResults > 0 || d.requests[r.id] != r {
		return
	}
	delete(d.requests, r.id)
	if len(d.requestsInOrder) > minCompaction && len(d.requestsInOrder) > 2*len(d.requests) {
		d.requestsInOrder = slices.DeleteFunc(d.requestsInOrder, func(r *simRequest) bool { return d.requests[r.id] != r })
	}
}

// endAttempt ends an attempt and passes its result to the control module; further calls for the attempt do nothing.
func (d *simDispatcher) endAttempt(a *simAttempt, response *workerResponse) {
	if a.ended {
		return
	}
	a.ended = true
	s := d.sim
	r := a.request
	if response.result == control.TimedOut || response.result == control.Cancelled {
		s.cancelAtWorker(a)
	}
	if response.result == control.Succeeded && !r.responded {
		d.sendResponse(r, simResponse{status: 200, outcome: OutcomeReturned})
	}
	result := control.AttemptResult{ID: r.id, Attempt: a.number, Worker: config.WorkerID(s.spec.Workers[a.worker].Name),
		Duration: s.now - a.createdAt, Result: response.result, ModelState: response.modelState,
		SameModelInFlight: response.sameModelInFlight, LoadReport: response.loadReport}
	d.afterUnlessKilled(0, func() {
		if d.module == nil {
			return
		}
		r.pendingResults--
		result.RequestFinished = r.responded
		d.deliverEvent(func() { d.module.AttemptFinished(result) })
		d.removeIfDone(r)
	})
}
