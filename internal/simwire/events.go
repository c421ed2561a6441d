package simwire

import (
	"fmt"
	"math"

	"mastchute/control"
)

// The record codes of events.
const (
	eventStart            = 1 // starts the selected dispatcher
	eventRequestCancelled = 2
	eventSelectDispatcher = 3 // selects the dispatcher of the records after it
	eventWorkerList       = 4
	eventTimer            = 5
	eventLoadFinished     = 6
	eventProbeFinished    = 7
	eventResponseStarted  = 8
	eventRequest          = 9
	eventPeerMessage      = 10
	eventAttemptFinished  = 11
	eventStop             = 12 // stops the selected dispatcher
)

// A decoder reads the rest of a record and returns a function that delivers the event to a module. Times are converted
// to seconds since origin. The function must not be called if the reader has failed.
type decoder func(r *recordReader, origin uint64) func(control.Module)

var decoders = map[uint16]decoder{
	eventRequestCancelled: decodeRequestCancelled,
	eventWorkerList:       decodeWorkerList,
	eventTimer:            decodeTimer,
	eventLoadFinished:     decodeLoadFinished,
	eventProbeFinished:    decodeProbeFinished,
	eventResponseStarted:  decodeResponseStarted,
	eventRequest:          decodeRequest,
	eventPeerMessage:      decodePeerMessage,
	eventAttemptFinished:  decodeAttemptFinished,
}

// The option bits of a request.
const (
	optionHasWorkHint = 1 << iota
	optionClientRetry
)

func decodeRequest(r *recordReader, origin uint64) func(control.Module) {
	var q control.Request
	q.ID = control.RequestID(r.uint32())
	q.MemoryMB = r.finiteFloat32()
	q.Tenant = control.TenantID(r.uint16())
	q.Model = control.ModelID(r.uint64())
	workHint := r.seconds()
	q.Concurrency = r.finiteFloat32()
	deadline := r.uint64()
	options := r.uint16()
	q.LoadTimeHint = r.finiteFloat32() / 1e3 // ms on the wire
	q.Group = control.GroupID(r.uint16())
	q.ClientRetry = options&optionClientRetry != 0
	if options&optionHasWorkHint != 0 {
		q.WorkHint = workHint
	}
	q.Deadline = math.Inf(1)
	if deadline != 0 {
		q.Deadline = sinceStart(deadline, origin)
	}
	return func(m control.Module) { m.RequestArrived(q) }
}

func decodeRequestCancelled(r *recordReader, _ uint64) func(control.Module) {
	id := control.RequestID(r.uint32())
	return func(m control.Module) { m.RequestCancelled(id) }
}

func decodeResponseStarted(r *recordReader, _ uint64) func(control.Module) {
	id := control.RequestID(r.uint32())
	took := r.seconds()
	attempt := int(r.uint16())
	worker := r.worker()
	return func(m control.Module) { m.ResponseStarted(id, attempt, worker, took) }
}

func decodeAttemptFinished(r *recordReader, _ uint64) func(control.Module) {
	var result control.AttemptResult
	result.ID = control.RequestID(r.uint32())
	result.Duration = r.seconds()
	result.Worker = r.worker()
	result.Attempt = int(r.uint16())
	model := r.uint8() // the low three bits hold the state of the model, the others the count of its requests
	result.ModelState = control.ModelState(model & 7)
	result.SameModelInFlight = int(model >> 3)
	result.RequestFinished = r.uint8() != 0
	result.Result = r.result()
	result.LoadReport = r.loadReport()
	return func(m control.Module) { m.AttemptFinished(result) }
}

func decodeLoadFinished(r *recordReader, _ uint64) func(control.Module) {
	var result control.LoadResult
	result.Worker = r.worker()
	result.Model = control.ModelID(r.uint64())
	result.Result = r.result()
	result.Duration = r.seconds()
	result.Replicas = int(r.uint8())
	return func(m control.Module) { m.LoadFinished(result) }
}

func decodeProbeFinished(r *recordReader, _ uint64) func(control.Module) {
	var result control.ProbeResult
	result.Worker = r.worker()
	result.Result = r.result()
	result.Duration = r.seconds()
	result.LoadReport = r.loadReport()
	return func(m control.Module) { m.ProbeFinished(result) }
}

func decodePeerMessage(r *recordReader, _ uint64) func(control.Module) {
	from := control.PeerID(r.uint16())
	length := r.uint16()
	message := r.bytes(int(length))
	return func(m control.Module) { m.PeerMessageReceived(from, message) }
}

func decodeTimer(r *recordReader, _ uint64) func(control.Module) {
	id := control.TimerID(r.uint32())
	return func(m control.Module) { m.TimerFired(id) }
}

// workerInfoSize is the size of one worker in a worker list, in bytes.
const workerInfoSize = 24

var listKinds = map[uint8]control.EndpointListKind{
	0: control.ListDelta,
	1: control.ListFailed,
	3: control.ListCached,
	4: control.ListSnapshot,
}

func decodeWorkerList(r *recordReader, origin uint64) func(control.Module) {
	code := r.uint8()
	kind, ok := listKinds[code]
	if !ok {
		r.fail(fmt.Errorf("%w: unknown list kind %d", ErrMalformed, code))
	}
	version := r.uint32()
	count := r.uint32()
	if uint64(count)*workerInfoSize > uint64(r.remaining()) {
		r.fail(fmt.Errorf("%w: list of %d workers is longer than the batch", ErrMalformed, count))
	}
	var workers []control.WorkerInfo
	for range count {
		info := decodeWorkerInfo(r, origin)
		if r.err != nil {
			break
		}
		workers = append(workers, info)
	}
	return func(m control.Module) { m.UpdateWorkers(kind, version, workers) }
}

func decodeWorkerInfo(r *recordReader, origin uint64) control.WorkerInfo {
	var info control.WorkerInfo
	info.ID = r.worker()
	info.Zone = control.ZoneID(r.uint16())
	info.Kind = control.KindID(r.uint8())
	info.Cell = control.CellID(r.uint16())
	state := r.uint8()
	if state > uint8(control.Draining) {
		r.fail(fmt.Errorf("%w: unknown worker state %d", ErrMalformed, state))
	}
	info.State = control.WorkerState(state)
	info.Weight = r.finiteFloat32()
	info.StartedAt = math.Inf(-1)
	startedAt := r.uint64()
	if startedAt != 0 {
		info.StartedAt = sinceStart(startedAt, origin)
	}
	return info
}
