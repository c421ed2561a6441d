package platform

import (
	"mastchute/control"
	"mastchute/internal/eventloop"
	"mastchute/internal/gateway"
	"mastchute/internal/rules"
	"mastchute/internal/workerproto"
)

// scratch returns the client transport's scratch buffer, empty. It is valid until the next call of write.
func (c *workerConn) scratch() []byte { return c.transport.pool.clients.scratch[:0] }

// write queues a message that was appended to scratch; it is flushed at the end of the loop's turn.
func (c *workerConn) write(message []byte) {
	c.conn.Write(message)
	if cap(message) <= maxScratchBytes {
		c.transport.pool.clients.scratch = message[:0]
	}
}

// writeCall writes a call to the connection. A call to which the worker does not respond finishes later
// in this turn of the loop.
func (c *workerConn) writeCall(call *workerCall) {
	loop := c.transport.pool.loop
	now := loop.Clock()
	message, hasResponse := appendCall(c.scratch(), call, now)
	call.writtenAt = now
	call.startOffset = c.conn.WrittenBytes()
	call.endOffset = call.startOffset + uint64(len(message))
	c.write(message)
	if !hasResponse {
		workerCommand := call.workerCommand
		loop.Defer(func() { workerCommand.Finish(control.Succeeded) })
		return
	}
	call.conn = c
	call.writtenTo = c.number
	call.incarnation = c.incarnation
	c.inFlight = append(c.inFlight, call)
	c.resetTimer()
}

// appendCall appends the message of a call to buf. It reports whether the worker responds to it.
func appendCall(buf []byte, call *workerCall, now float64) (message []byte, hasResponse bool) {
	tag := call.tag[:call.tagLen]
	if call.attempt != nil {
		gatewayRequest := call.attempt.Request
		request := gatewayRequest.Writer.(*clientRequest)
		timeoutMS := rules.WorkerDeadlineMillis(now, gatewayRequest.Deadline())
		model := []byte(gatewayRequest.Model().Name)
		return workerproto.AppendInvoke(buf, tag, request.group, model, request.idempotencyKey, timeoutMS, request.body), true
	}
	workerCommand := call.workerCommand
	switch workerCommand.Kind {
	case gateway.CommandLoadModel, gateway.CommandCheckWorker:
		return workerproto.AppendLoadModel(buf, tag, workerCommand.Model.Name, workerCommand.Replicas), true
	case gateway.CommandUnloadModel:
		return workerproto.AppendUnloadModel(buf, workerCommand.Model.Name), false
	default:
		return workerproto.AppendProbe(buf, tag), true
	}
}

// BeforeWrite implements eventloop.WriteInterceptor. Between writeCall and the sending of the first byte, events may change
// what the rules allow, and the deadline in the message may become stale: the worker may be slow to read, or the loop may
// be busy. So it checks each call with unsent bytes again.
func (c *workerConn) BeforeWrite(conn *eventloop.Conn) {
	now := c.transport.pool.loop.Clock()
	sent := conn.SentBytes()
	for i := len(c.inFlight) - 1; i >= 0; i-- {
		call := c.inFlight[i]
		switch {
		case call.endOffset <= sent: // fully sent
		case call.attempt == nil:
			c.recheckWorkerCommand(call, now, sent)
		case call.startOffset >= sent: // nothing sent
			c.recheckAttempt(call, now)
		case rules.CheckRemainder(now, call.writtenAt) != rules.Allowed: // the stale deadline was already sent
			c.close(control.ConnectionReset, reasonStalePartlySent)
			return
		}
	}
}

// recheckWorkerCommand removes an unsent worker command from the connection if the rules no longer allow it. It queues one
// again that was written more than rules.MaxDeadlineAge ago: a command has no deadline, but the worker may have changed.
func (c *workerConn) recheckWorkerCommand(call *workerCall, now float64, sent uint64) {
	if call.startOffset < sent {
		return
	}
	allowed := call.workerCommand.CheckFirstByte(now) == rules.Allowed
	if allowed && now-call.writtenAt <= rules.MaxDeadlineAge {
		return
	}
	if !c.retract(call) {
		return
	}
	c.removeCall(call)
	call.conn = nil
	if allowed {
		c.transport.enqueue(call)
	} else {
		call.finish(control.NotSent)
	}
}

// recheckAttempt removes an unsent attempt from the connection if the rules no longer allow it.
func (c *workerConn) recheckAttempt(call *workerCall, now float64) {
	reason := call.attempt.CheckFirstByte(c.incarnation, now, call.writtenAt, call.rewrites)
	if reason == rules.Allowed {
		return
	}
	if c.retract(call) {
		c.removeCall(call)
		call.conn = nil
		c.transport.rewriteOrFail(call, reason)
	}
}

// retract removes the bytes of a call from the connection's write buffer. It returns false if some of them have been sent.
func (c *workerConn) retract(call *workerCall) bool {
	if !c.conn.RemoveQueued(call.startOffset, call.endOffset) {
		return false
	}
	call.writtenTo = 0
	call.incarnation = nil
	length := call.endOffset - call.startOffset
	for _, other := range c.inFlight {
		if other.startOffset >= call.endOffset {
			other.startOffset -= length
			other.endOffset -= length
		}
	}
	return true
}
