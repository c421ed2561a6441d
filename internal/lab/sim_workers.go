package lab

import (
	"slices"
	"strconv"
	"strings"

	"mastchute/control"
	"mastchute/internal/emulator"
)

// The network between dispatchers and the emulated fleet.

// slowConnectDelay is the time by which the slow_connect fault delays a request.
const slowConnectDelay = 0.2 // s

// workerResponse is the content of a worker's response, or the result of a failed connection.
type workerResponse struct {
	result            control.Result
	modelState        control.ModelState
	sameModelInFlight int
	loadReport        []float64
	startedAt         float64 // seconds since 1970; 0 if unknown
	replicas          int
}

// workerIndex returns the index of a worker by its name.
func (s *simulation) workerIndex(name string) int {
	number, _ := strconv.Atoi(strings.TrimPrefix(name, "w"))
	return number - 1
}

// send sends an attempt or a load request to its worker. Connecting to a worker that is down fails; if the worker crashes
// before the message arrives, the connection is reset.
func (s *simulation) send(a *simAttempt) {
	startedAt := s.fleet.StartTime(a.worker)
	isUp := s.fleet.IsUp(a.worker)
	arrive := func() {
		switch {
		case a.ended: // cancelled before it arrived
		case !isUp:
			s.failConnection(a, control.ConnectFailed)
		case !s.fleet.IsUp(a.worker) || s.fleet.StartTime(a.worker) != startedAt:
			s.failConnection(a, control.ConnectionReset)
		default:
			s.submit(a)
		}
	}
	s.sendMessage(func() {
		if s.fleet.HasFault(a.worker, emulator.FaultSlowConnect) {
			s.after(slowConnectDelay, arrive)
			return
		}
		arrive()
	})
}

// failConnection ends an attempt whose connection failed or was reset.
func (s *simulation) failConnection(a *simAttempt, result control.Result) {
	a.workerDone = true
	s.sendMessage(func() { a.onResponse(&workerResponse{result: result, sameModelInFlight: sameModelInFlightUnknown}) })
}

// submit passes an attempt to its worker.
func (s *simulation) submit(a *simAttempt) {
	s.pending[a.worker] = append(s.pending[a.worker], a)
	s.fleet.Submit(s.now, a.worker, &a.workerRequest)
	if a.workerRequest.Outcome != emulator.Pending {
		s.respond(a)
	}
}

// resetConnections resets the connections to a worker that crashed.
func (s *simulation) resetConnections(worker int) {
	attempts := s.pending[worker]
	s.pending[worker] = nil
	for _, a := range attempts {
		if !a.workerDone {
			a.workerDone = true
			s.sendMessage(func() { a.onResponse(&workerResponse{result: control.ConnectionReset}) })
		}
	}
	idleTimeout := s.scenario.Settings.Limits.WorkerIdleTimeout.Seconds
	for _, d := range s.dispatchers {
		if d.module != nil && s.now-d.lastSentAt[worker] < idleTimeout {
			s.sendMessage(func() { d.connectionLost(worker) })
		}
	}
}

// cancelAtWorker closes the connection of an attempt that was cancelled or timed out.
func (s *simulation) cancelAtWorker(a *simAttempt) {
	if a.workerDone || a.onResponse == nil { // finished, or never sent
		return
	}
	s.sendMessage(func() {
		if !a.workerDone && slices.Contains(s.pending[a.worker], a) {
			s.removePending(a)
			s.fleet.Cancel(s.now, &a.workerRequest)
		}
	})
}

func (s *simulation) removePending(a *simAttempt) {
	a.workerDone = true
	if i := slices.Index(s.pending[a.worker], a); i >= 0 {
		s.pending[a.worker] = slices.Delete(s.pending[a.worker], i, i+1)
	}
}

// newWorkerResponse returns a successful response with the worker's start time and load report, which every response has.
func (s *simulation) newWorkerResponse(worker int) *workerResponse {
	return &workerResponse{result: control.Succeeded, sameModelInFlight: sameModelInFlightUnknown, startedAt: simEpoch + s.fleet.StartTime(worker),
		loadReport: s.loadReport(worker)}
}

// loadReport returns the load report with the fields listed in the settings, nil if one of them is unknown.
func (s *simulation) loadReport(worker int) []float64 {
	inFlight, queued := s.fleet.LoadReport(worker)
	var report []float64
	for _, field := range s.scenario.Settings.LoadReportFields {
		switch field {
		case "inflight":
			report = append(report, inFlight)
		case "queue":
			report = append(report, queued)
		default:
			return nil
		}
	}
	return report
}

var modelStates = map[emulator.ModelState]control.ModelState{
	emulator.ModelWarm:   control.ModelLoaded,
	emulator.LoadStarted: control.LoadStarted,
	emulator.LoadAwaited: control.LoadAwaited,
}

// respond sends a worker's response to the dispatcher, if the outcome of the request has one.
func (s *simulation) respond(a *simAttempt) {
	r := &a.workerRequest
	if a.workerDone || r.Outcome == emulator.NoResponse || r.Outcome == emulator.WorkerLost {
		return
	}
	s.removePending(a)
	response := s.newWorkerResponse(a.worker)
	response.replicas = r.Replicas
	switch r.Outcome {
	case emulator.Served:
		response.sameModelInFlight = r.SameModelInFlight
		response.modelState = modelStates[r.ModelState]
		if r.ResetResponse || r.TruncateResponse {
			response.result = control.ConnectionReset
		}
	case emulator.RejectedFull:
		response.result = control.AtCapacity
		if r.ModelState == emulator.LoadFailed {
			response.modelState = control.LoadFailed
		}
	case emulator.RejectedMiss:
		response.result = control.ModelNotLoaded
	case emulator.Errored:
		response.result = control.WorkerError
	}
	s.sendMessage(func() { a.onResponse(response) })
}
