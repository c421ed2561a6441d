package httpconn

import (
	"io"

	"mastchute/internal/eventloop"
	"mastchute/internal/httpcodec"
	"mastchute/internal/incarnation"
	"mastchute/internal/rules"
)

// bodyPieceBytes is the size of the pieces in which a request body is written to the connection, so that a long body is not
// held in memory twice.
const bodyPieceBytes = 128 << 10

// clientConn is a connection of a Pool. It carries one call at a time. It implements eventloop.Handler and
// eventloop.WriteInterceptor.
type clientConn struct {
	pool         *Pool
	tcp          *eventloop.Conn
	incarnation  *incarnation.Connection
	call         *Call // nil while idle
	parser       httpcodec.Parser
	head         httpcodec.Head
	body         httpcodec.BodyDecoder
	timer        eventloop.Timer // idle timeout
	headReceived bool            // the head of the response to call has been received
	hasSentCall  bool            // a call has been sent on the connection
}

// closeIdle closes the connection if it is idle.
func (c *clientConn) closeIdle() {
	if c.pool.removeIdle(c) {
		c.close()
	}
}

// close closes the connection. The caller removes it from the idle connections.
func (c *clientConn) close() {
	c.removeFromPool()
	c.tcp.Close()
}

// removeFromPool removes the connection from the pool and stops its idle timer.
func (c *clientConn) removeFromPool() {
	c.pool.Loop.CancelTimer(&c.timer)
	delete(c.pool.conns, c)
	c.incarnation.Closed()
	c.pool.notifyChange()
}

// startCall sends a call on the connection, or ends it with ErrNotSent if it has waited too long.
func (c *clientConn) startCall(call *Call) {
	if c.refreshHead(call) {
		c.send(call)
		return
	}
	c.call = nil
	call.conn = nil
	c.pool.scheduleNotSent(call)
	c.pool.startNextCall(c)
}

// refreshHead reports whether a call may be sent, and rewrites its head if it has waited too long.
func (c *clientConn) refreshHead(call *Call) bool {
	handler, ok := call.Handler.(SendHandler)
	if !ok {
		return true
	}
	if !handler.MaySend(c.incarnation) {
		return false
	}
	now := c.pool.Loop.Clock()
	if now-call.headBuiltAt > rules.MaxDeadlineAge {
		call.head = handler.RewriteHead()
		call.headBuiltAt = now
	}
	return true
}

// BeforeWrite implements eventloop.WriteInterceptor. If a request has waited in the connection and no byte of it has been
// sent, its head is rewritten or the request is withdrawn.
func (c *clientConn) BeforeWrite(tcp *eventloop.Conn) {
	call := c.call
	if call == nil || call.SentAt == 0 || tcp.SentBytes() > call.startOffset {
		return
	}
	if c.pool.Loop.Clock()-call.headBuiltAt <= rules.MaxDeadlineAge {
		return
	}
	if tcp.RemoveQueued(call.startOffset, tcp.WrittenBytes()) {
		call.unwrittenBody = call.fullBody
		c.startCall(call)
	}
}

func (c *clientConn) send(call *Call) {
	c.call = call
	c.headReceived = false
	c.hasSentCall = true
	call.conn = c
	call.Connection = c.incarnation
	call.startOffset = c.tcp.WrittenBytes()
	call.SentAt = c.pool.Loop.Now()
	c.tcp.Write(call.head)
	c.writeBodyPiece()
	if handler, ok := call.Handler.(SendHandler); ok {
		handler.Sent()
	}
}

// writeBodyPiece writes the next piece of the request body, if any.
func (c *clientConn) writeBodyPiece() {
	call := c.call
	if len(call.unwrittenBody) == 0 {
		return
	}
	n := min(len(call.unwrittenBody), bodyPieceBytes)
	c.tcp.Write(call.unwrittenBody[:n])
	call.unwrittenBody = call.unwrittenBody[n:]
	if len(call.unwrittenBody) > 0 {
		c.tcp.NotifyFlushed()
	}
}

// Connected implements eventloop.Handler.
func (c *clientConn) Connected(*eventloop.Conn) {
	c.incarnation.Established(c.pool.Loop.Now())
	c.pool.notifyChange()
	if c.call != nil {
		c.startCall(c.call)
	} else {
		c.pool.startNextCall(c)
	}
}

// Flushed implements eventloop.Handler.
func (c *clientConn) Flushed(*eventloop.Conn) {
	if c.call != nil {
		c.writeBodyPiece()
	}
}

// Closed implements eventloop.Handler.
func (c *clientConn) Closed(_ *eventloop.Conn, err error) {
	c.removeFromPool()
	call := c.call
	if call == nil {
		c.pool.removeIdle(c)
		if c.hasSentCall {
			c.notifyConnectionLost()
		}
		return
	}
	if c.headReceived {
		complete := err == io.EOF && c.body.ReadsUntilClose()
		if complete {
			err = nil
		} else {
			err = ErrTruncated
		}
	}
	c.call = nil
	c.detach(call)
	anyByteSent := call.anyByteSent // read before ResponseDone, which may reuse the call
	call.Handler.ResponseDone(err)
	if err != nil && anyByteSent {
		c.notifyConnectionLost()
	}
	c.pool.startNextCall(nil)
}

func (c *clientConn) notifyConnectionLost() {
	if c.pool.options.OnConnectionLost != nil {
		c.pool.options.OnConnectionLost()
	}
}

// detach separates a call that has ended from its connection, which may carry other calls afterwards.
func (c *clientConn) detach(call *Call) {
	call.anyByteSent = call.AnyByteSent()
	call.conn = nil
}

// fail ends the call with an error and closes the connection.
func (c *clientConn) fail(err error) {
	call := c.call
	c.call = nil
	c.close()
	c.detach(call)
	call.Handler.ResponseDone(err)
	c.pool.startNextCall(nil)
}
