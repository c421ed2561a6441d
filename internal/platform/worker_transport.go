package platform

import (
	"net/netip"
	"strconv"

	"mastchute/control"
	"mastchute/internal/gateway"
	"mastchute/internal/incarnation"
)

// workerTransport is the transport to the worker with one id. A new worker at the address of one that is gone has a
// transport of its own. It implements gateway.WorkerTransport.
type workerTransport struct {
	pool             *workerPool
	worker           *gateway.Worker
	addr             netip.AddrPort
	address          *incarnation.Address
	conns            []*workerConn
	queue            []*workerCall // not yet written to any connection
	queueScheduled   bool
	processQueueFunc func() // the method value processQueue, kept so that scheduling it does not allocate
	closed           bool
}

func newWorkerTransport(pool *workerPool, worker *gateway.Worker) *workerTransport {
	t := &workerTransport{pool: pool, worker: worker, addr: worker.Addr, address: worker.Address()}
	t.processQueueFunc = t.processQueue
	return t
}

// SendAttempt implements gateway.WorkerTransport.
func (t *workerTransport) SendAttempt(attempt *gateway.Attempt) {
	call := t.resetCall(&attempt.TransportState)
	call.attempt = attempt
	call.tagLen = copy(call.tag[:], attempt.Request.Writer.(*clientRequest).id[:])
	t.enqueue(call)
}

// SendWorkerCommand implements gateway.WorkerTransport.
func (t *workerTransport) SendWorkerCommand(workerCommand *gateway.WorkerCommand) {
	call := t.resetCall(&workerCommand.TransportState)
	call.workerCommand = workerCommand
	t.pool.lastTag++
	call.tagLen = len(strconv.AppendUint(append(call.tag[:0], 't'), t.pool.lastTag, 36))
	t.enqueue(call)
}

// CancelAttempt implements gateway.WorkerTransport.
func (t *workerTransport) CancelAttempt(attempt *gateway.Attempt) {
	callOf(attempt.TransportState).cancel()
}

// CancelWorkerCommand implements gateway.WorkerTransport.
func (t *workerTransport) CancelWorkerCommand(workerCommand *gateway.WorkerCommand) {
	callOf(workerCommand.TransportState).cancel()
}

// SentAt implements gateway.WorkerTransport.
func (t *workerTransport) SentAt(attempt *gateway.Attempt) float64 {
	call := callOf(attempt.TransportState)
	if call.anySent() {
		return call.writtenAt
	}
	return 0
}

// ConnectionOf implements gateway.WorkerTransport.
func (t *workerTransport) ConnectionOf(attempt *gateway.Attempt) *incarnation.Connection {
	call := callOf(attempt.TransportState)
	if call == nil {
		return nil
	}
	return call.incarnation
}

// CommandSentAt implements gateway.WorkerTransport.
func (t *workerTransport) CommandSentAt(workerCommand *gateway.WorkerCommand) float64 {
	call := callOf(workerCommand.TransportState)
	if call.anySent() {
		return call.writtenAt
	}
	return 0
}

// FullySent implements gateway.WorkerTransport. An attempt counts as sent from its first byte on, as the rest may follow at
// any time.
func (t *workerTransport) FullySent(attempt *gateway.Attempt) bool {
	return callOf(attempt.TransportState).anySent()
}

// FailUnsent implements gateway.WorkerTransport.
func (t *workerTransport) FailUnsent() {
	var unsent []*workerCall
	unsent = append(unsent, t.queue...)
	for _, conn := range t.conns {
		for _, call := range conn.inFlight {
			if !call.anySent() {
				unsent = append(unsent, call)
			}
		}
	}
	for _, call := range unsent {
		t.failLater(call)
	}
}

// failLater cancels a call that has not been sent, and finishes it later in this turn of the loop. Until then the call
// counts as queued, so that anySent returns false.
func (t *workerTransport) failLater(call *workerCall) {
	call.cancel()
	call.writtenAt = 0
	call.incarnation = nil
	call.queued = true
	t.pool.loop.Defer(func() {
		if call.transport == t && call.queued {
			call.queued = false
			call.finish(control.NotSent)
		}
	})
}

// CloseIdle implements gateway.WorkerTransport.
func (t *workerTransport) CloseIdle() {
	for i := len(t.conns) - 1; i >= 0; i-- {
		conn := t.conns[i]
		if conn.established && len(conn.inFlight) == 0 {
			conn.close(control.NotSent, reasonIdleClosed)
		}
	}
}

// Close implements gateway.WorkerTransport.
func (t *workerTransport) Close() {
	t.closed = true
	t.CloseIdle()
	for i := len(t.conns) - 1; i >= 0; i-- {
		conn := t.conns[i]
		if !conn.established && len(t.queue) == 0 {
			t.removeConn(conn)
			conn.conn.Close()
		}
	}
}

// ConnectionCount implements gateway.WorkerTransport.
func (t *workerTransport) ConnectionCount() int { return len(t.conns) }

// QueuedCount implements gateway.WorkerTransport.
func (t *workerTransport) QueuedCount() int { return len(t.queue) }
