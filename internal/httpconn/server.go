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
	Loop     *eventloop.Loop
	Service  Service
	opt      ServerOptions
	listener *eventloop.Listener
	conns    map[*serverConn]struct{}
	free     []*Exchange
	scratch  []byte
	draining bool
}

const (
	drainQuiet = 0.06 // s without a byte before an idle connection is closed while draining
	drainHead  = 1.0  // s that a connection accepted while draining may take for its head
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
	v := &Server{Loop: l, Service: s, opt: opt, conns: map[*serverConn]struct{}{}}
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
		if c.x == nil && !c.begun {
			v.Loop.Start(&c.timer, drainQuiet)
		}
	}
}

// Close resets everything now; Service hears Left for what was in flight.
func (v *Server) Close() {
	v.listener.Close()
	for c := range v.conns {
		if c.x != nil {
			v.Service.ClientGone(c.x)
		}
		c.conn.Abort()
		c.over()
	}
}

func (v *Server) accept(conn *eventloop.Conn) eventloop.Handler {
	c := &serverConn{v: v, conn: conn, parser: httpcodec.Parser{Limits: v.opt.Limits}}
	c.timer.Fire = c.expired
	v.conns[c] = struct{}{}
	span := v.opt.HeadTimeout
	if v.draining {
		span = math.Min(span, drainHead)
	}
	v.Loop.Start(&c.timer, span)
	return c
}

// serverConn is one connection; it has an exchange only while a request is in flight.
type serverConn struct {
	v      *Server
	conn   *eventloop.Conn
	parser httpcodec.Parser
	timer  eventloop.Timer
	x      *Exchange
	begun  bool // part of a head has come in
	inData bool
}

func (c *serverConn) Connected(*eventloop.Conn) {}

func (c *serverConn) Closed(_ *eventloop.Conn, _ error) {
	x := c.x
	if x != nil {
		c.v.Service.ClientGone(x)
	}
	c.over()
}

// over lets go of a connection that has ended.
func (c *serverConn) over() {
	if c.x != nil {
		c.v.put(c.x)
		c.x = nil
	}
	c.v.Loop.Cancel(&c.timer)
	delete(c.v.conns, c)
}

func (c *serverConn) Flushed(*eventloop.Conn) {
	if x := c.x; x != nil && x.drained {
		x.drained = false
		c.v.Service.StreamWritable(x)
	}
}

// expired ends a connection that is idle for too long, or a request that trickles.
func (c *serverConn) expired() {
	switch x := c.x; {
	case x == nil && !c.begun:
		if c.conn.ReadNow(); c.x != nil || c.begun || !c.conn.Open() { // what lies unread came in time
			return
		}
		c.conn.CloseFlushed()
		c.over()
	case x == nil:
		c.refuse(&httpcodec.Error{Status: 408, Reason: "the head did not come in whole in time"})
	case !x.whole:
		c.refuse(&httpcodec.Error{Status: 408, Reason: "the body stalled"})
	case x.stream: // the peer reads nothing
		c.v.Service.ClientGone(x)
		c.conn.Abort()
		c.over()
	}
}

// refuse answers a message that is not taken, and ends the connection.
func (c *serverConn) refuse(e *httpcodec.Error) {
	c.v.Service.RequestRefused(e)
	x := c.x
	if x == nil {
		x = c.take()
	}
	x.close = true
	x.Problem(e.Status, e.Reason)
}

func (c *serverConn) take() *Exchange {
	var x *Exchange
	if n := len(c.v.free); n > 0 {
		x, c.v.free = c.v.free[n-1], c.v.free[:n-1]
	} else {
		x = new(Exchange)
	}
	x.c, c.x, x.Peer = c, x, c.conn.Peer()
	return x
}

func (v *Server) put(x *Exchange) {
	v.opt.Budget.Used -= x.booked
	headers, head, body := x.Head.Headers[:0], x.head[:0], x.Body[:0]
	if cap(body) > 64<<10 {
		body = nil
	}
	*x = Exchange{head: head, Body: body}
	x.Head.Headers = headers
	v.free = append(v.free, x)
}

func (c *serverConn) Received(_ *eventloop.Conn, b []byte) int {
	used := 0
	c.inData = true
	defer func() { c.inData = false }()
	for c.conn.Open() {
		if c.x == nil {
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
		if c.x.whole { // pipelined: it waits until this one is answered
			if len(b)-used > c.v.opt.Limits.Head {
				c.conn.Pause()
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
	x := c.take()
	n, err := c.parser.ParseRequest(b, &x.Head)
	if err != nil {
		c.refuse(err.(*httpcodec.Error))
		return len(b), false
	}
	if n == 0 {
		c.v.put(x)
		c.x = nil
		if !c.begun {
			c.begun = true
			c.v.Loop.Start(&c.timer, c.v.opt.HeadTimeout)
		}
		return 0, false
	}
	c.begun = false
	old := b[:n]
	x.head = append(x.head[:0], old...)
	rebase(&x.Head, old, x.head)
	x.decoder.ResetRequest(&x.Head, c.v.opt.Limits)
	x.headOnly = httpcodec.EqualsLower(x.Head.Method, "head")
	x.close = x.Head.Close || c.v.draining
	if c.v.Service.HeadReceived(x) {
		if c.x == x { // answered; the body was never read, so the connection cannot go on
			c.fault()
		}
		return n, c.x == nil && c.conn.Open()
	}
	if x.Head.Length > 0 && !x.book(x.Head.Length) {
		c.refuse(&httpcodec.Error{Status: 503, Reason: "no memory left to hold the request"})
		return len(b), false
	}
	if x.Head.Expect && !x.decoder.Done() {
		c.conn.Write(continue100)
	}
	c.v.Loop.Start(&c.timer, c.v.opt.BodyTimeout)
	return n, true
}

var continue100 = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// fault guards against a service that claims an answer it has not given.
func (c *serverConn) fault() { c.refuse(&httpcodec.Error{Status: 500, Reason: "no answer"}) }

func (c *serverConn) readBody(b []byte) (int, bool) {
	x, used := c.x, 0
	for !x.decoder.Done() {
		data, n, err := x.decoder.Next(b[used:])
		if err != nil {
			c.refuse(err.(*httpcodec.Error))
			return len(b), false
		}
		if x.Head.Chunked && !x.book(int64(len(data))) {
			c.refuse(&httpcodec.Error{Status: 503, Reason: "no memory left to hold the request"})
			return len(b), false
		}
		x.Body = append(x.Body, data...)
		used += n
		if n == 0 {
			c.v.Loop.Start(&c.timer, c.v.opt.BodyTimeout)
			return used, false
		}
	}
	x.whole = true
	c.v.Loop.Cancel(&c.timer)
	c.v.Service.RequestReceived(x)
	return used, true
}

// rebase lets the slices of a head point into a copy of the bytes they were parsed from.
func rebase(h *httpcodec.Head, old, now []byte) {
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
