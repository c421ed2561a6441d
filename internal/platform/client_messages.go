package platform

import (
	"mastchute/control"
	"mastchute/internal/eventloop"
	"mastchute/internal/gateway"
	"mastchute/internal/thrift"
)

const (
	maxRequestsPerConn = 32   // requests in flight on one connection: the protocol's limit
	maxInvalidMessages = 4    // invalid messages after which the connection is closed
	shedRetryAfter     = 0.25 // s of Retry-After for requests shed here: capacity is usually free again by then
)

// Received implements eventloop.Handler. It handles the complete messages in data and returns how many bytes it consumed.
func (c *clientConn) Received(conn *eventloop.Conn, data []byte) int {
	used := 0
	c.readCount++
	for !c.closed {
		n, ok := c.receiveFrame(data[used:])
		if !ok {
			return len(data)
		}
		if n == 0 {
			break
		}
		used += n
	}
	if c.closed {
		return len(data)
	}
	c.unlink()
	c.linkNewest()
	if conn.UnsentBytes() > maxUnreadBytes {
		c.transport.countDrop(reasonUnreadResponses)
		c.closeNow(reasonUnreadResponses)
		return len(data)
	}
	c.resetTimer(used < len(data))
	c.transport.startDrainTimer()
	if c.closed {
		return len(data)
	}
	return used
}

// receiveFrame handles the first message of data and returns its length in bytes, 0 if it is incomplete. ok is false if the
// stream cannot be read any further; the connection has been closed then.
func (c *clientConn) receiveFrame(data []byte) (n int, ok bool) {
	payload, n, err := thrift.ReadFrame(data, thrift.MaxFrameBytes)
	if err != nil {
		c.transport.countDrop(reasonInvalidFrame)
		c.closeNow(reasonInvalidFrame)
		return 0, false
	}
	if n == 0 {
		return 0, true
	}
	message, err := thrift.ReadMessage(payload)
	if err != nil {
		c.transport.countDrop(reasonMalformedMessage)
		c.write(thrift.AppendException(c.scratch(), message.SeqID, err.Error()))
		c.closeAfterFlush(reasonMalformedMessage)
		return 0, false
	}
	c.hasSentMessage = true
	c.partialMessage = false
	c.stalled = false
	c.handleMessage(&message)
	return n, true
}

// handleMessage handles one message according to its method.
func (c *clientConn) handleMessage(message *thrift.Message) {
	transport := c.transport
	switch {
	case message.Method == thrift.MethodAlive && message.Fault == nil:
		c.write(thrift.AppendAlive(c.scratch(), message.SeqID, transport.isAlive()))
	case message.Method == thrift.MethodCancel:
		if request := c.findRequest(message.CancelSeqID); request != nil && message.Fault == nil {
			c.abandon(request)
		}
	case message.Fault != nil:
		c.rejectMessage(reasonInvalidMessage, message.SeqID, message.Fault.Error())
	case c.findRequest(message.SeqID) != nil: // the client could not match the responses to its requests
		transport.countDrop(reasonSequenceInUse)
		c.closeNow(reasonSequenceInUse)
	case c.requestCount >= maxRequestsPerConn:
		transport.countDrop(reasonTooManyRequests)
		c.closeNow(reasonTooManyRequests)
	default:
		c.handleDispatch(message)
	}
}

// rejectMessage responds to an invalid message with an exception, and closes the connection after several of them.
func (c *clientConn) rejectMessage(reason string, seqID int32, text string) {
	c.transport.countDrop(reason)
	c.write(thrift.AppendException(c.scratch(), seqID, text))
	c.invalidMessages++
	if c.invalidMessages >= maxInvalidMessages && c.requestCount == 0 {
		c.closeAfterFlush(reason)
	}
}

// handleDispatch passes a request to the gateway, or rejects it before the gateway sees it.
func (c *clientConn) handleDispatch(message *thrift.Message) {
	group, ok := c.checkGroup(message)
	if !ok {
		return
	}
	var id requestID
	copy(id[:], message.ID)
	if !c.checkID(message, id) {
		return
	}
	model, ok := c.admit(message, group)
	if !ok {
		return
	}
	c.acceptRequest(message, id, group, model)
}

// checkGroup returns the index of a request's model group. It rejects a request whose group is unknown, or which lacks the
// idempotency key that its group requires.
func (c *clientConn) checkGroup(message *thrift.Message) (group int, ok bool) {
	group, ok = c.transport.groups[string(message.Group)]
	if !ok {
		c.rejectMessage(reasonUnknownGroup, message.SeqID, "no such model group")
		return 0, false
	}
	if c.transport.deduped[group] && len(message.IdempotencyKey) == 0 {
		c.rejectMessage(reasonNoIdempotencyKey, message.SeqID, "a deduped inference needs its mark")
		return 0, false
	}
	return group, true
}

// checkID rejects a request whose id is that of one in flight.
func (c *clientConn) checkID(message *thrift.Message, id requestID) bool {
	other := c.transport.inFlight[id]
	if other == nil {
		return true
	}
	c.transport.countDrop(reasonIDInUse)
	if other.conn == c {
		c.closeNow(reasonIDInUse) // the client uses one id for two requests
		return false
	}
	c.rejectMessage(reasonIDInUse, message.SeqID, "an inference with this id is open")
	return false
}

// admit returns the model of a request, or sheds the request if there is no capacity for it.
func (c *clientConn) admit(message *thrift.Message, group int) (model *gateway.Model, ok bool) {
	transport := c.transport
	if !transport.canAccept(len(message.Body)) {
		c.shed(reasonAtCapacity, message.SeqID)
		return nil, false
	}
	model = transport.gateway.FindModel(message.Model)
	if model != nil {
		return model, true
	}
	model, err := transport.gateway.AddModel(gateway.Model{Name: string(message.Model), ID: parseModelID(message.Model), Group: group})
	if err != nil {
		c.shed(reasonTooManyModels, message.SeqID)
		return nil, false
	}
	return model, true
}

// shed responds to a request for which there is no capacity.
func (c *clientConn) shed(reason string, seqID int32) {
	c.transport.countDrop(reason)
	c.write(thrift.AppendShed(c.scratch(), seqID, c.transport.retryAfterMillis(shedRetryAfter)))
}

// acceptRequest copies a request out of the read buffer and passes it to the gateway.
func (c *clientConn) acceptRequest(message *thrift.Message, id requestID, group int, model *gateway.Model) {
	transport := c.transport
	request := transport.newRequest()
	request.conn = c
	request.seqID = message.SeqID
	request.id = id
	request.group = append(request.group[:0], message.Group...)
	request.idempotencyKey = append(request.idempotencyKey[:0], message.IdempotencyKey...)
	request.body = append(request.body[:0], message.Body...)
	transport.bodyBytes += int64(len(request.body))
	transport.inFlight[id] = request
	c.addRequest(request)
	tenant, ok := transport.tenants[string(message.Tenant)]
	if !ok {
		tenant = -1
	}
	receivedAt := c.conn.ReceivedAt()
	request.gatewayRequest = transport.gateway.AcceptRequest(request, model, tenant, receivedAt, control.Request{
		Group:        control.GroupID(group),
		MemoryMB:     message.MemoryMB,
		Concurrency:  message.Concurrency,
		WorkHint:     message.WorkHint,
		LoadTimeHint: message.LoadTimeHint,
		Deadline:     receivedAt + message.Timeout,
		ClientRetry:  message.ClientRetry,
	})
	request.gatewayRequest.SetTraceID(id)
}
