package platform

import (
	"mastchute/internal/eventloop"
	"mastchute/internal/rules"
	"mastchute/internal/thrift"
)

const (
	firstMessageTimeout   = 1.5       // s until the first message: clients connect when they have a request
	partialMessageTimeout = 1.0       // s that a message may take to arrive completely: a client sends it with one write
	clientIdleTimeout     = 20.0      // s without a message after which a connection is closed: clients close it after a few seconds
	closeRetryDelay       = 0.05      // s until the next check of a connection that could not be closed after its timeout
	maxScratchBytes       = 64 << 10  // bytes of capacity beyond which the scratch buffer is not kept
	maxUnreadBytes        = 512 << 10 // bytes of responses unread by the client beyond which its connection is closed
)

// clientConn is one connection of a client. It holds no buffers while it is idle.
type clientConn struct {
	transport       *clientTransport
	conn            *eventloop.Conn
	firstRequest    *clientRequest // head of the list of requests in flight
	requestCount    int            // length of that list
	timer           eventloop.Timer
	acceptedAt      float64
	invalidMessages int
	readCount       uint32      // number of calls of Received
	backoffsAtStart uint32      // the connection's BackoffCount when the timer for a partial message was started
	hasSentMessage  bool        // a complete message has arrived
	partialMessage  bool        // the beginning of a message has arrived
	partialSince    float64     // when partialMessage was set
	stalled         bool        // the rest of a partial message is overdue
	closed          bool        // also while the last responses are being flushed
	prev, next      *clientConn // in the transport's ring
}

// scratch returns the transport's scratch buffer, empty. It is valid until the next call of write.
func (c *clientConn) scratch() []byte { return c.transport.scratch[:0] }

// write queues a message that was appended to scratch; it is flushed at the end of the loop's turn.
func (c *clientConn) write(message []byte) {
	c.conn.Write(message)
	if cap(message) <= maxScratchBytes {
		c.transport.scratch = message[:0]
	}
}

// linkNewest puts the connection at the end of the ring, as the one with the most recent message.
func (c *clientConn) linkNewest() {
	ring := &c.transport.connRing
	c.prev = ring.prev
	c.next = ring
	c.prev.next = c
	ring.prev = c
}

func (c *clientConn) unlink() {
	c.prev.next = c.next
	c.next.prev = c.prev
	c.prev = nil
	c.next = nil
}

// addRequest puts a request into the list of those in flight.
func (c *clientConn) addRequest(request *clientRequest) {
	request.next = c.firstRequest
	c.firstRequest = request
	c.requestCount++
}

// removeRequest removes a request from the list of those in flight.
func (c *clientConn) removeRequest(request *clientRequest) {
	link := &c.firstRequest
	for *link != request {
		link = &(*link).next
	}
	*link = request.next
	request.next = nil
	c.requestCount--
}

// findRequest returns the request in flight with a sequence id, nil if there is none.
func (c *clientConn) findRequest(seqID int32) *clientRequest {
	request := c.firstRequest
	for request != nil && request.seqID != seqID {
		request = request.next
	}
	return request
}

// onRequestReleased closes a stalled connection after its last response, and otherwise starts the idle timeout.
func (c *clientConn) onRequestReleased() {
	switch {
	case c.requestCount > 0 || c.closed:
	case c.stalled:
		c.transport.countDrop(reasonStalledMessage)
		c.close(reasonStalledMessage)
	case !c.partialMessage:
		c.resetTimer(false)
	}
}

// Connected implements eventloop.Handler.
func (c *clientConn) Connected(*eventloop.Conn) {}

// Flushed implements eventloop.Handler.
func (c *clientConn) Flushed(*eventloop.Conn) {}

// PeerClosed implements eventloop.HalfCloser. A client that closed only its write side cannot be distinguished from one that
// disconnected, so its requests are abandoned. In case it still reads, each of them gets a final response first.
func (c *clientConn) PeerClosed(conn *eventloop.Conn) {
	for request := c.firstRequest; request != nil; request = request.next {
		c.write(thrift.AppendFailure(c.scratch(), request.seqID, "the client closed its side"))
	}
	if conn.UnsentBytes() > 0 {
		c.closeAfterFlush(reasonPeerClosed)
	}
}

// Closed implements eventloop.Handler: the client has disconnected.
func (c *clientConn) Closed(_ *eventloop.Conn, err error) { c.markClosed(closeReason(err)) }

// close closes the connection and abandons its requests. Responses that were written in this turn are flushed first: their
// requests have finished, so the responses would otherwise be lost.
func (c *clientConn) close(reason string) {
	if c.closed {
		return
	}
	if c.conn.UnsentBytes() > 0 {
		c.conn.CloseFlushed()
	} else {
		c.conn.Close()
	}
	c.markClosed(reason)
}

// closeNow closes the connection of a client that violates the protocol or does not read. It does not wait for the client
// to read what is unsent.
func (c *clientConn) closeNow(reason string) {
	if c.closed {
		return
	}
	c.conn.Flush()
	if c.closed { // the flush found the client disconnected
		return
	}
	c.conn.Close()
	c.markClosed(reason)
}

// closeAfterFlush closes the connection once everything written to it has been sent.
func (c *clientConn) closeAfterFlush(reason string) {
	if c.closed {
		return
	}
	c.conn.CloseFlushed()
	c.markClosed(reason)
}

// markClosed removes a closed connection from the transport and abandons its requests.
func (c *clientConn) markClosed(reason string) {
	transport := c.transport
	c.closed = true
	transport.lastClosedAt = transport.loop.Now()
	transport.gateway.RecordEvent("client_closed", reason, nil, nil, float64(c.requestCount))
	transport.loop.CancelTimer(&c.timer)
	if c.next != nil {
		c.unlink()
		transport.connCount--
	}
	for c.firstRequest != nil {
		c.abandon(c.firstRequest)
	}
}

// abandon ends a request without a response: its client cancelled it or disconnected.
func (c *clientConn) abandon(request *clientRequest) {
	gatewayRequest := request.gatewayRequest
	request.release()
	c.transport.gateway.ClientDisconnected(gatewayRequest)
}

// resetTimer starts the timeout for the connection's state, or stops it while requests are in flight. The timeout of a
// partial message is not restarted when more of the message arrives.
func (c *clientConn) resetTimer(partial bool) {
	loop := c.transport.loop
	switch {
	case c.closed:
	case partial:
		if !c.partialMessage || !c.timer.Pending() {
			if !c.partialMessage {
				c.partialSince = loop.Now()
			}
			c.partialMessage = true
			c.backoffsAtStart = c.conn.BackoffCount()
			loop.StartTimer(&c.timer, partialMessageTimeout)
		}
	case c.requestCount > 0:
		c.partialMessage = false
		loop.CancelTimer(&c.timer)
	default:
		c.partialMessage = false
		loop.StartTimer(&c.timer, clientIdleTimeout)
	}
}

// readUntilQuiet handles the bytes that the kernel holds, and reports whether the connection can be closed at once with nothing
// unread and nothing unsent. While reads fail, requests may be unread. While a response is unsent, a close would wait for it,
// and a request that arrives meanwhile would be read and discarded.
func (c *clientConn) readUntilQuiet() bool {
	empty := c.conn.ReadNow()
	return empty && c.conn.UnsentBytes() == 0
}

// timerExpired closes a connection after its timeout, unless bytes that arrived in time are or may be unread.
func (c *clientConn) timerExpired() {
	wasPartial := c.partialMessage
	readsBefore := c.readCount
	backoffsAtStart := c.backoffsAtStart
	quiet := c.readUntilQuiet()
	if c.closed {
		return
	}
	receivedMore := c.readCount != readsBefore
	stillPartial := wasPartial && c.partialMessage
	if receivedMore && !stillPartial {
		return
	}
	switch {
	case !quiet:
		c.transport.loop.StartTimer(&c.timer, closeRetryDelay)
	case c.partialMessage && c.conn.BackoffCount() != backoffsAtStart: // reads failed locally: the client is not at fault
		c.resetTimer(true)
	case c.partialMessage && rules.CheckClose(c.requestCount) != rules.Allowed:
		c.stalled = true // closed by onRequestReleased after the last response
	case c.partialMessage:
		c.transport.countDrop(reasonStalledMessage)
		c.close(reasonStalledMessage)
	case !c.hasSentMessage:
		c.transport.countDrop(reasonNoFirstMessage)
		c.close(reasonNoFirstMessage)
	case c.requestCount == 0:
		c.close(reasonIdle)
	}
}
