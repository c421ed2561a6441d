package httpconn

import (
	"math"

	"mastchute/internal/eventloop"
	"mastchute/internal/httpcodec"
)

// Rejections by the server itself. Their reasons are sent to the client.
var (
	errHeadTimeout = &httpcodec.Error{Status: 408, Reason: "the head did not come in whole in time"}
	errBodyTimeout = &httpcodec.Error{Status: 408, Reason: "the body stalled"}
	errNoMemory    = &httpcodec.Error{Status: 503, Reason: "no memory left to hold the request"}
	errNoResponse  = &httpcodec.Error{Status: 500, Reason: "no answer"}
)

// serverConn is a connection of a server. It has an exchange only while a request is in flight. It implements
// eventloop.Handler.
type serverConn struct {
	server      *Server
	tcp         *eventloop.Conn
	parser      httpcodec.Parser
	timer       eventloop.Timer // idle, head or body timeout
	exchange    *Exchange
	headStarted bool // part of a head has been received
	receiving   bool // Received is running and will continue with the next request by itself
}

// accept returns the handler for an accepted connection.
func (s *Server) accept(tcp *eventloop.Conn) eventloop.Handler {
	c := &serverConn{server: s, tcp: tcp, parser: httpcodec.Parser{Limits: s.options.Limits}}
	c.timer.Fire = c.onTimeout
	s.conns[c] = struct{}{}
	timeout := s.options.HeadTimeout
	if s.draining {
		timeout = math.Min(timeout, drainHeadTimeout)
	}
	s.Loop.StartTimer(&c.timer, timeout)
	return c
}

// isIdle reports whether no request is in flight and no byte of the next one has been received.
func (c *serverConn) isIdle() bool { return c.exchange == nil && !c.headStarted }

// Connected implements eventloop.Handler. It is not called for accepted connections.
func (c *serverConn) Connected(*eventloop.Conn) {}

// Closed implements eventloop.Handler.
func (c *serverConn) Closed(*eventloop.Conn, error) {
	if c.exchange != nil {
		c.server.Service.ClientDisconnected(c.exchange)
	}
	c.release()
}

// Flushed implements eventloop.Handler.
func (c *serverConn) Flushed(*eventloop.Conn) {
	exchange := c.exchange
	if exchange != nil && exchange.streamBlocked {
		exchange.streamBlocked = false
		c.server.Service.StreamWritable(exchange)
	}
}

// release releases the exchange, cancels the timer and removes the connection, which has ended, from the server.
func (c *serverConn) release() {
	if c.exchange != nil {
		c.server.releaseExchange(c.exchange)
		c.exchange = nil
	}
	c.server.Loop.CancelTimer(&c.timer)
	delete(c.server.conns, c)
}

// onTimeout closes a connection that has been idle for too long, whose request has not arrived in time, or whose peer does
// not read a streamed response.
func (c *serverConn) onTimeout() {
	exchange := c.exchange
	streaming := exchange != nil && exchange.streaming
	if !streaming && !c.readPending() {
		return
	}
	exchange = c.exchange
	switch {
	case c.isIdle() && c.tcp.UnsentBytes() == 0: // a request that crosses with the close stays unread
		c.tcp.Close()
		c.release()
	case c.isIdle():
		c.server.Loop.StartTimer(&c.timer, closeRetryDelay)
	case exchange == nil:
		c.reject(errHeadTimeout)
	case !exchange.requestComplete:
		c.reject(errBodyTimeout)
	case exchange.streaming:
		c.server.Service.ClientDisconnected(exchange)
		c.tcp.Abort()
		c.release()
	}
}

// readPending reads the bytes that arrived before a timeout and are still unread. It reports whether the timeout applies all
// the same: not if they complete what was awaited, nor while reads fail, in which case the timer is started again.
func (c *serverConn) readPending() (timeoutApplies bool) {
	empty := c.tcp.ReadNow()
	if !c.tcp.IsOpen() || c.timer.Pending() {
		return false
	}
	if !empty {
		c.server.Loop.StartTimer(&c.timer, closeRetryDelay)
	}
	return empty
}

// reject responds to a message with an error and closes the connection.
func (c *serverConn) reject(e *httpcodec.Error) {
	c.server.Service.RequestRejected(e)
	exchange := c.exchange
	if exchange == nil {
		exchange = c.newExchange()
	}
	exchange.closeAfter = true
	exchange.RespondProblem(e.Status, e.Reason)
}

// newExchange sets and returns a new current exchange, reusing a released one if possible.
func (c *serverConn) newExchange() *Exchange {
	s := c.server
	var exchange *Exchange
	if n := len(s.freeExchanges); n > 0 {
		exchange = s.freeExchanges[n-1]
		s.freeExchanges = s.freeExchanges[:n-1]
	} else {
		exchange = new(Exchange)
	}
	exchange.conn = c
	exchange.Peer = c.tcp.Peer()
	c.exchange = exchange
	return exchange
}

// releaseExchange returns the memory reserved by an exchange to the budget, and keeps the exchange and its buffers for
// reuse.
func (s *Server) releaseExchange(exchange *Exchange) {
	s.options.MemoryBudget.Used -= exchange.reservedBytes
	headers := exchange.Head.Headers[:0]
	headBytes := exchange.headBytes[:0]
	body := exchange.Body[:0]
	if cap(body) > maxRetainedBufferBytes {
		body = nil
	}
	*exchange = Exchange{headBytes: headBytes, Body: body}
	exchange.Head.Headers = headers
	s.freeExchanges = append(s.freeExchanges, exchange)
}
