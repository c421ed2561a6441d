package platform

import (
	"mastchute/control"
	"mastchute/internal/gateway"
	"mastchute/internal/incarnation"
	"mastchute/internal/rules"
	"mastchute/internal/workerproto"
)

// workerCall is the transport's record of one attempt or worker command; exactly one of the two is set. It is kept in the
// TransportState of its attempt or worker command, and is reused with it. A call is first queued, then in flight on a
// connection, and finally neither.
type workerCall struct {
	attempt       *gateway.Attempt
	workerCommand *gateway.WorkerCommand
	transport     *workerTransport
	conn          *workerConn             // nil unless in flight
	incarnation   *incarnation.Connection // of that connection
	writtenTo     uint64                  // number of the connection to which it was written; 0 before that, and after it was retracted
	queued        bool
	tag           [24]byte // identifies the call in the worker's response: the request's id, or for a command a counter
	tagLen        int
	rewrites      int     // how often it was written again because its deadline was stale
	startOffset   uint64  // of its first byte in all bytes written to the connection
	endOffset     uint64  // of the byte after its last one
	writtenAt     float64 // when it was written to the connection and its deadline computed
}

// callOf returns the record in a TransportState, nil if there is none.
func callOf(state any) *workerCall {
	call, _ := state.(*workerCall)
	return call
}

// resetCall returns the record in a TransportState, cleared for a new call. It creates one if there is none.
func (t *workerTransport) resetCall(state *any) *workerCall {
	call := callOf(*state)
	if call == nil {
		call = &workerCall{}
		*state = call
	}
	*call = workerCall{transport: t}
	return call
}

// enqueue queues a call to be written later in this turn of the loop.
func (t *workerTransport) enqueue(call *workerCall) {
	call.queued = true
	t.queue = append(t.queue, call)
	t.scheduleQueue()
}

// scheduleQueue schedules processQueue once in this turn of the loop.
func (t *workerTransport) scheduleQueue() {
	if !t.queueScheduled {
		t.queueScheduled = true
		t.pool.loop.Defer(t.processQueueFunc)
	}
}

// processQueue writes queued calls to connections with capacity, and opens connections if there are too few.
func (t *workerTransport) processQueue() {
	t.queueScheduled = false
	if t.pool.clients.sendsPaused() {
		t.pool.awaitingResume = append(t.pool.awaitingResume, t)
		return
	}
	left := t.queue[:0]
	for i, call := range t.queue {
		conn := t.leastLoadedConn(call)
		if conn != nil {
			t.writeQueued(call, conn)
			continue
		}
		if t.cannotSend(call) {
			call.queued = false
			call.finish(control.NotSent)
			continue
		}
		if !call.needsUnusedConn() { // no connection has capacity
			left = append(left, t.queue[i:]...)
			break
		}
		left = append(left, call)
	}
	clear(t.queue[len(left):])
	t.queue = left
	t.connectIfNeeded()
}

// writeQueued writes a queued call to a connection, or finishes it if it may no longer be sent.
func (t *workerTransport) writeQueued(call *workerCall, conn *workerConn) {
	call.queued = false
	if call.checkFirstByte(conn, t.pool.loop.Clock()) != rules.Allowed {
		call.finish(control.NotSent)
		return
	}
	conn.writeCall(call)
	if call.attempt != nil {
		t.pool.gateway.AttemptWritten(call.attempt)
	}
}

// cannotSend reports whether a call may use none of the connections, nor a new one.
func (t *workerTransport) cannotSend(call *workerCall) bool {
	return !call.mayUseNew() && t.hasNoConnFor(call)
}

// mayUseNew reports whether the call may be written to a connection that is opened now.
func (c *workerCall) mayUseNew() bool {
	return !c.needsUnusedConn() || c.attempt.MaySendOnNew(c.transport.pool.loop.Now())
}

// needsUnusedConn reports whether the call must not be written to a connection that has carried another attempt of its
// request. Responses identify an attempt only by the request's id, and a worker may send one twice: on the same connection
// the second could not be distinguished from the response to the later attempt, which may still run.
func (c *workerCall) needsUnusedConn() bool {
	return c.attempt != nil && len(c.attempt.Siblings()) > 1 && c.attempt.Request.Effect() != control.Retriable
}

// mayUse reports whether the call may be written to a connection: no attempt of its request has used it, and it leads to a
// worker that drops the repeat.
func (c *workerCall) mayUse(conn *workerConn) bool {
	if !c.needsUnusedConn() {
		return true
	}
	if !c.attempt.MaySendOn(conn.incarnation, conn.transport.pool.loop.Now()) {
		return false
	}
	for _, other := range c.attempt.Siblings() {
		if other != c.attempt && other.PassedToTransport() && callOf(other.TransportState).writtenTo == conn.number {
			return false
		}
	}
	return true
}

// prefers reports whether the call is better written to a connection than to one for which this is false.
func (c *workerCall) prefers(conn *workerConn) bool {
	return c.attempt == nil || c.attempt.Prefers(conn.incarnation, conn.transport.pool.loop.Now())
}

// checkFirstByte returns rules.Allowed if a message for the call may be encoded and its first byte sent on a connection now.
func (c *workerCall) checkFirstByte(conn *workerConn, now float64) rules.Reason {
	if c.attempt != nil {
		return c.attempt.CheckFirstByte(conn.incarnation, now, now, 0)
	}
	return c.workerCommand.CheckFirstByte(now)
}

// rewriteOrFail handles a call whose bytes were removed from the connection because the rules no longer allow them to be
// sent. A call with a stale deadline is written again with a new one.
func (t *workerTransport) rewriteOrFail(call *workerCall, reason rules.Reason) {
	if reason == rules.StaleDeadline {
		call.rewrites++
		t.enqueue(call)
		return
	}
	call.finish(control.NotSent)
}

// finish passes the result of the call to the gateway.
func (c *workerCall) finish(result control.Result) {
	if c.attempt != nil {
		c.attempt.Finish(result)
	} else if c.workerCommand != nil {
		c.workerCommand.Finish(result)
	}
}

// anySent reports whether a byte of the call has been passed to the kernel. It is false for a nil call.
func (c *workerCall) anySent() bool {
	if c == nil || c.queued {
		return false
	}
	return c.conn == nil || c.conn.conn.SentBytes() > c.startOffset
}

// cancel ends the call without a result. Its unsent bytes are discarded. It does nothing on a nil call.
func (c *workerCall) cancel() {
	switch {
	case c == nil:
	case c.queued:
		c.dequeue()
	case c.conn != nil:
		c.cancelInFlight()
	}
}

// dequeue removes the call from its transport's queue.
func (c *workerCall) dequeue() {
	c.queued = false
	queue := c.transport.queue
	for i, other := range queue {
		if other == c {
			c.transport.queue = append(queue[:i], queue[i+1:]...)
			return
		}
	}
}

// cancelInFlight removes the call from its connection. The worker is notified of a cancelled attempt that was fully sent.
// The connection is closed if the call was partly sent: the worker does not read, and the rest must not be sent.
func (c *workerCall) cancelInFlight() {
	conn := c.conn
	c.conn = nil
	conn.removeCall(c)
	if conn.conn.SentBytes() >= c.endOffset {
		if c.attempt != nil {
			conn.write(workerproto.AppendCancel(conn.scratch(), c.tag[:c.tagLen]))
		}
	} else if !conn.retract(c) {
		conn.close(control.ConnectionReset, reasonCancelledPartlySent)
		return
	}
	if len(conn.transport.queue) > 0 {
		conn.transport.scheduleQueue()
	}
	conn.resetTimer()
}
