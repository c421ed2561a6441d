// Package httpconn joins the loop and the codec: HTTP/1.1 connections, the server's side and the client's. It moves
// messages and knows nothing of requests. All of it runs on the loop.
package httpconn

import (
	"math"

	"net/netip"

	"mastchute/internal/eventloop"
	"mastchute/internal/httpcodec"
)

// MemoryBudget is memory that many may draw on. The zero Budget has no limit.
type MemoryBudget struct {
	Limit int64 // bytes; 0 means none
	Used  int64
}

// Reserve books n bytes; false when they don't fit, and nothing is booked.
func (b *MemoryBudget) Reserve(n int64) bool {
	if b.Limit > 0 && b.Used+n > b.Limit {
		return false
	}
	b.Used += n
	return true
}

// ServerOptions bound a server; zero values mean the defaults.
type ServerOptions struct {
	Limits      httpcodec.Limits // default httpcodec.Usual
	IdleTimeout float64          // s an idle connection is kept; default 60
	HeadTimeout float64          // s for a head to come in whole; default 10
	BodyTimeout float64          // s between two pieces of a body, and between two pieces the peer reads; default 30
	Budget      *MemoryBudget    // bodies held are booked here; may be nil
	StreamAhead int              // bytes of a streamed answer that may wait for the peer; default 256 KiB
}

// Service is what a server serves. Its methods run on the loop.
type Service interface {
	// Begin hears of a request whose head has come in. It returns 0 to read the body, or it has answered already.
	HeadReceived(x *Exchange) (answered bool)
	// Request gets the whole request. It answers now or later, once.
	RequestReceived(x *Exchange)
	// Left tells that the peer has gone before the answer was complete. x is void after this.
	ClientGone(x *Exchange)
	// Drained tells that a streamed answer has room again.
	StreamWritable(x *Exchange)
	// Refused tells of a message that was refused below, for counting.
	RequestRefused(e *httpcodec.Error)
}

// Server serves HTTP/1.1 on one listener.
type Server struct {
	Loop          *eventloop.Loop
	Service       Service
	options       ServerOptions
	listener      *eventloop.Listener
	conns         map[*serverConn]struct{}
	freeExchanges []*Exchange
	scratch       []byte
	draining      bool
}

const (
	drainIdleTimeout = 0.06 // s without a byte before an idle connection is closed while draining
	drainHeadTimeout = 1.0  // s that a connection accepted while draining may take for its head
)

// NewServer listens at an address and serves there.
func NewServer(l *eventloop.Loop, at netip.AddrPort, s Service, opt ServerOptions) (*Server, error) {
	if opt.Limits == (httpcodec.Limits{}) {
		opt.Limits = httpcodec.DefaultLimits
	}
	for _, f := range []struct {
		v       *float64
		instead float64
	}{{&opt.IdleTimeout, 60}, {&opt.HeadTimeout, 10}, {&opt.BodyTimeout, 30}} {
		if *f.v <= 0 {
			*f.v = f.instead
		}
	}
	if opt.StreamAhead <= 0 {
		opt.StreamAhead = 256 << 10
	}
	if opt.Budget == nil {
		opt.Budget = &MemoryBudget{}
	}
	v := &Server{Loop: l, Service: s, options: opt, conns: map[*serverConn]struct{}{}}
	var err error
	v.listener, err = l.Listen(at, v.accept)
	return v, err
}

// Addr is the address listened on.
func (v *Server) Addr() netip.AddrPort { return v.listener.Addr() }

// ConnectionCount is how many connections are open.
func (v *Server) ConnectionCount() int {
	if v.listener.Draining() {
		return len(v.conns) + 1 // some may wait to be accepted
	}
	return len(v.conns)
}

// Drain accepts what waits in the backlog and then no more, closes idle connections once nothing has come for a moment,
// and closes the others after the answer in flight.
func (v *Server) Drain() {
	v.draining = true
	v.listener.Drain()
	for c := range v.conns {
		if c.exchange == nil && !c.headStarted {
			v.Loop.Start(&c.timer, drainIdleTimeout)
		}
	}
}

// Close resets everything now; Service hears Left for what was in flight.
func (v *Server) Close() {
	v.listener.Close()
	for c := range v.conns {
		if c.exchange != nil {
			v.Service.ClientGone(c.exchange)
		}
		c.tcp.Abort()
		c.release()
	}
}

func (v *Server) accept(conn *eventloop.Conn) eventloop.Handler {
	c := &serverConn{server: v, tcp: conn, parser: httpcodec.Parser{Limits: v.options.Limits}}
	c.timer.Fire = c.onTimeout
	v.conns[c] = struct{}{}
	span := v.options.HeadTimeout
	if v.draining {
		span = math.Min(span, drainHeadTimeout)
	}
	v.Loop.Start(&c.timer, span)
	return c
}

// serverConn is one connection; it has an exchange only while a request is in flight.
type serverConn struct {
	server      *Server
	tcp         *eventloop.Conn
	parser      httpcodec.Parser
	timer       eventloop.Timer
	exchange    *Exchange
	headStarted bool // part of a head has come in
	receiving   bool
}

func (c *serverConn) Connected(*eventloop.Conn) {}

func (c *serverConn) Closed(_ *eventloop.Conn, _ error) {
	x := c.exchange
	if x != nil {
		c.server.Service.ClientGone(x)
	}
	c.release()
}

// release lets go of a connection that has ended.
func (c *serverConn) release() {
	if c.exchange != nil {
		c.server.releaseExchange(c.exchange)
		c.exchange = nil
	}
	c.server.Loop.Cancel(&c.timer)
	delete(c.server.conns, c)
}

func (c *serverConn) Flushed(*eventloop.Conn) {
	if x := c.exchange; x != nil && x.streamBlocked {
		x.streamBlocked = false
		c.server.Service.StreamWritable(x)
	}
}

// onTimeout ends a connection that is idle for too long, or a request that trickles.
func (c *serverConn) onTimeout() {
	switch x := c.exchange; {
	case x == nil && !c.headStarted:
		if c.tcp.ReadNow(); c.exchange != nil || c.headStarted || !c.tcp.Open() { // what lies unread came in time
			return
		}
		c.tcp.CloseFlushed()
		c.release()
	case x == nil:
		c.reject(&httpcodec.Error{Status: 408, Reason: "the head did not come in whole in time"})
	case !x.requestComplete:
		c.reject(&httpcodec.Error{Status: 408, Reason: "the body stalled"})
	case x.streaming: // the peer reads nothing
		c.server.Service.ClientGone(x)
		c.tcp.Abort()
		c.release()
	}
}

// reject answers a message that is not taken, and ends the connection.
func (c *serverConn) reject(e *httpcodec.Error) {
	c.server.Service.RequestRefused(e)
	x := c.exchange
	if x == nil {
		x = c.newExchange()
	}
	x.closeAfter = true
	x.Problem(e.Status, e.Reason)
}

func (c *serverConn) newExchange() *Exchange {
	var x *Exchange
	if n := len(c.server.freeExchanges); n > 0 {
		x, c.server.freeExchanges = c.server.freeExchanges[n-1], c.server.freeExchanges[:n-1]
	} else {
		x = new(Exchange)
	}
	x.conn, c.exchange, x.Peer = c, x, c.tcp.Peer()
	return x
}

func (v *Server) releaseExchange(x *Exchange) {
	v.options.Budget.Used -= x.reservedBytes
	headers, head, body := x.Head.Headers[:0], x.headBytes[:0], x.Body[:0]
	if cap(body) > 64<<10 {
		body = nil
	}
	*x = Exchange{headBytes: head, Body: body}
	x.Head.Headers = headers
	v.freeExchanges = append(v.freeExchanges, x)
}

func (c *serverConn) Received(_ *eventloop.Conn, b []byte) int {
	used := 0
	c.receiving = true
	defer func() { c.receiving = false }()
	for c.tcp.Open() {
		if c.exchange == nil {
			if used == len(b) {
				break
			}
			if n, more := c.readHead(b[used:]); !more {
				return used + n
			} else {
				used += n
			}
			continue
		}
		if c.exchange.requestComplete { // pipelined: it waits until this one is answered
			if len(b)-used > c.server.options.Limits.Head {
				c.tcp.Pause()
			}
			break
		}
		n, more := c.readBody(b[used:])
		used += n
		if !more {
			break
		}
	}
	return used
}

// readHead returns how many bytes it used, and whether to go on.
func (c *serverConn) readHead(b []byte) (int, bool) {
	x := c.newExchange()
	n, err := c.parser.ParseRequest(b, &x.Head)
	if err != nil {
		c.reject(err.(*httpcodec.Error))
		return len(b), false
	}
	if n == 0 {
		c.server.releaseExchange(x)
		c.exchange = nil
		if !c.headStarted {
			c.headStarted = true
			c.server.Loop.Start(&c.timer, c.server.options.HeadTimeout)
		}
		return 0, false
	}
	c.headStarted = false
	old := b[:n]
	x.headBytes = append(x.headBytes[:0], old...)
	rebaseHead(&x.Head, old, x.headBytes)
	x.decoder.ResetRequest(&x.Head, c.server.options.Limits)
	x.headOnly = httpcodec.EqualsLower(x.Head.Method, "head")
	x.closeAfter = x.Head.Close || c.server.draining
	if c.server.Service.HeadReceived(x) {
		if c.exchange == x { // answered; the body was never read, so the connection cannot go on
			c.rejectUnanswered()
		}
		return n, c.exchange == nil && c.tcp.Open()
	}
	if x.Head.Length > 0 && !x.reserve(x.Head.Length) {
		c.reject(&httpcodec.Error{Status: 503, Reason: "no memory left to hold the request"})
		return len(b), false
	}
	if x.Head.Expect && !x.decoder.Done() {
		c.tcp.Write(continue100)
	}
	c.server.Loop.Start(&c.timer, c.server.options.BodyTimeout)
	return n, true
}

var continue100 = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// rejectUnanswered guards against a service that claims an answer it has not given.
func (c *serverConn) rejectUnanswered() { c.reject(&httpcodec.Error{Status: 500, Reason: "no answer"}) }

func (c *serverConn) readBody(b []byte) (int, bool) {
	x, used := c.exchange, 0
	for !x.decoder.Done() {
		data, n, err := x.decoder.Next(b[used:])
		if err != nil {
			c.reject(err.(*httpcodec.Error))
			return len(b), false
		}
		if x.Head.Chunked && !x.reserve(int64(len(data))) {
			c.reject(&httpcodec.Error{Status: 503, Reason: "no memory left to hold the request"})
			return len(b), false
		}
		x.Body = append(x.Body, data...)
		used += n
		if n == 0 {
			c.server.Loop.Start(&c.timer, c.server.options.BodyTimeout)
			return used, false
		}
	}
	x.requestComplete = true
	c.server.Loop.Cancel(&c.timer)
	c.server.Service.RequestReceived(x)
	return used, true
}

// rebaseHead lets the slices of a head point into a copy of the bytes they were parsed from.
func rebaseHead(h *httpcodec.Head, old, now []byte) {
	at := func(s []byte) []byte {
		if len(s) == 0 {
			return nil
		}
		i := cap(old) - cap(s)
		return now[i : i+len(s) : i+len(s)]
	}
	h.Method, h.Target = at(h.Method), at(h.Target)
	for i := range h.Headers {
		h.Headers[i].Name, h.Headers[i].Value = at(h.Headers[i].Name), at(h.Headers[i].Value)
	}
}
