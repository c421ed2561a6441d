package platform

import (
	"errors"
	"io"
	"syscall"

	"mastchute/control"
	"mastchute/internal/eventloop"
	"mastchute/internal/gateway"
	"mastchute/internal/incarnation"
	"mastchute/internal/thrift"
	"mastchute/internal/workerproto"
)

const (
	partialResponseTimeout = 0.3      // s from the first byte of a response to its last: workers send a response with one write
	maxUnsentBytes         = 64 << 10 // unsent bytes on a connection beyond which calls use another one or stay queued
)

// workerConn is one connection to a worker. It carries several calls at a time.
type workerConn struct {
	transport       *workerTransport
	number          uint64 // identifies the connection among all of the pool, from 1
	conn            *eventloop.Conn
	incarnation     *incarnation.Connection
	inFlight        []*workerCall // written calls without a response, in no particular order
	established     bool
	closed          bool
	timer           eventloop.Timer // the idle timeout, or that of a partial response
	partialResponse bool            // the beginning of a response has arrived
	backoffsAtStart uint32          // the connection's BackoffCount when the timer for a partial response was started
}

// hasCapacity reports whether another call may be written now.
func (c *workerConn) hasCapacity() bool {
	return c.established && len(c.inFlight) < c.transport.pool.maxStreams && c.conn.UnsentBytes() < maxUnsentBytes
}

// removeCall removes a call from inFlight and keeps the order of the others.
func (c *workerConn) removeCall(call *workerCall) {
	for i, other := range c.inFlight {
		if other == call {
			c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
			return
		}
	}
}

// Connected implements eventloop.Handler.
func (c *workerConn) Connected(*eventloop.Conn) {
	c.established = true
	c.incarnation.Established(c.transport.pool.loop.Now())
	c.transport.pool.gateway.WorkerConnectionsChanged(c.transport.worker)
	c.resetTimer()
	c.transport.scheduleQueue()
}

// Flushed implements eventloop.Handler: the connection may have capacity again.
func (c *workerConn) Flushed(*eventloop.Conn) { c.transport.scheduleQueue() }

// Closed implements eventloop.Handler.
func (c *workerConn) Closed(_ *eventloop.Conn, err error) {
	if !c.established { // nothing was sent on it
		c.transport.pool.gateway.RecordEvent("worker_connect_failed", closeReason(err), nil, c.transport.worker, 0)
		c.transport.connectFailed(c, err)
		return
	}
	c.close(control.ConnectionReset, closeReason(err))
	c.transport.reportReset(err)
}

// close closes the connection and finishes its calls. A call that was fully passed to the kernel may have run and finishes
// with result; any other call has not run and finishes with control.ConnectFailed.
func (c *workerConn) close(result control.Result, reason string) {
	if c.closed {
		return
	}
	c.transport.pool.gateway.RecordEvent("worker_closed", reason, nil, c.transport.worker, float64(len(c.inFlight)))
	c.transport.removeConn(c)
	sentBytes := c.conn.SentBytes()
	c.conn.Close()
	calls := c.inFlight
	c.inFlight = nil
	for _, call := range calls {
		call.conn = nil
		if sentBytes < call.endOffset {
			call.finish(control.ConnectFailed)
		} else {
			call.finish(result)
		}
	}
	if len(c.transport.queue) > 0 {
		c.transport.scheduleQueue()
	}
}

// resetTimer starts the timeout that fits the connection's state, or stops it while calls are in flight. An idle
// connection is closed if its transport has been closed; otherwise transports that wait for a descriptor are scheduled.
func (c *workerConn) resetTimer() {
	pool := c.transport.pool
	switch {
	case c.closed || !c.established:
	case c.partialResponse:
		if !c.timer.Pending() {
			c.backoffsAtStart = c.conn.BackoffCount()
			pool.loop.StartTimer(&c.timer, partialResponseTimeout)
		}
	case len(c.inFlight) > 0:
		pool.loop.CancelTimer(&c.timer)
	case c.transport.closed:
		c.close(control.NotSent, reasonIdle)
	default:
		pool.loop.StartTimer(&c.timer, pool.idleTimeout)
		pool.onCapacityFreed()
	}
}

// timerExpired closes the connection after its timeout, unless the rest of a partial response is unread in the kernel, or the
// connection is idle and kept alive.
func (c *workerConn) timerExpired() {
	if c.partialResponse {
		c.conn.ReadNow()
		if c.closed || !c.partialResponse {
			return
		}
	}
	switch {
	case c.partialResponse && c.conn.BackoffCount() != c.backoffsAtStart: // reads failed locally: the worker is not at fault
		c.resetTimer()
	case c.partialResponse:
		c.transport.pool.clients.countDrop(reasonStalledResponse)
		c.close(control.ConnectionReset, reasonStalledResponse)
	case !c.keepAlive():
		c.close(control.ConnectionReset, reasonIdle)
	}
}

// keepAlive probes the worker over the connection if that is the only one to it and has to stay open, and reports whether it did.
func (c *workerConn) keepAlive() bool {
	t := c.transport
	if t.closed || len(t.conns) > 1 || !t.pool.gateway.KeepAlive(t.worker) {
		return false
	}
	t.pool.loop.StartTimer(&c.timer, t.pool.idleTimeout) // for a probe that is cancelled before it is written
	return true
}

// Received implements eventloop.Handler. It handles the complete responses in data and returns how many bytes it consumed.
func (c *workerConn) Received(_ *eventloop.Conn, data []byte) int {
	used := 0
	pool := c.transport.pool
	c.incarnation.Heard(c.conn.ReceivedAt())
	for !c.closed {
		response, n, err := workerproto.ReadResponse(data[used:])
		if err != nil {
			pool.clients.countDrop(reasonMalformedResponse)
			c.close(control.ConnectionReset, reasonMalformedResponse)
			break
		}
		if n == 0 {
			break
		}
		used += n
		c.partialResponse = false
		pool.loop.CancelTimer(&c.timer)
		c.handleResponse(&response)
	}
	if c.closed {
		return len(data)
	}
	c.partialResponse = used < len(data)
	c.resetTimer()
	return used
}

// handleResponse finishes the call that a response belongs to. A response to no call in flight is dropped.
func (c *workerConn) handleResponse(response *workerproto.Response) {
	call := c.removeCallByTag(response.ID)
	if call == nil {
		c.transport.pool.clients.countDrop(reasonUnexpectedResponse)
		return
	}
	if len(c.transport.queue) > 0 {
		c.transport.scheduleQueue()
	}
	workerResponse := gateway.WorkerResponse{
		Result:            response.Result,
		ModelState:        response.ModelState,
		SameModelInFlight: -1,
		Replicas:          response.Replicas,
	}
	fieldNames := c.transport.pool.loadReportFields
	values := workerResponse.LoadReport[:]
	workerResponse.LoadReportLen = workerproto.ReadLoadReport(response.LoadReport, fieldNames, values, thrift.ParseDecimal)
	if call.attempt != nil {
		call.attempt.Response = workerResponse
		call.attempt.ResponseBody = append(call.attempt.ResponseBody[:0], response.Body...)
	} else {
		call.workerCommand.Response = workerResponse
	}
	call.finish(response.Result)
}

// removeCallByTag removes the call with a tag from inFlight and returns it, nil if there is none.
func (c *workerConn) removeCallByTag(tag []byte) *workerCall {
	for i, call := range c.inFlight {
		if string(call.tag[:call.tagLen]) != string(tag) {
			continue
		}
		last := len(c.inFlight) - 1
		c.inFlight[i] = c.inFlight[last]
		c.inFlight[last] = nil
		c.inFlight = c.inFlight[:last]
		call.conn = nil
		return call
	}
	return nil
}

// closeReason returns the reason for which a connection was closed, for the flight recorder.
func closeReason(err error) string {
	var errno syscall.Errno
	switch {
	case err == nil:
		return "unknown"
	case errors.Is(err, io.EOF):
		return reasonPeerClosed
	case errors.As(err, &errno):
		return errno.Error()
	default:
		return err.Error()
	}
}
