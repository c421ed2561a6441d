package httpconn

import (
	"errors"
	"net/netip"

	"mastchute/internal/eventloop"
	"mastchute/internal/httpcodec"
)

// The ways a call ends without an answer, beside errors of the connection.
var (
	ErrNotSent           = errors.New("given up before it was sent")
	ErrTruncated         = errors.New("the answer was cut short")
	ErrMalformedResponse = errors.New("the answer is malformed")
)

// PoolOptions bound a pool of connections to one peer; zero values mean the defaults.
type PoolOptions struct {
	MaxConnections   int     // connections at a time; default 256
	MaxIdle          int     // idle ones kept; default 64
	IdleTimeout      float64 // s an idle one is kept; default 15
	ConnectTimeout   float64 // s for a connection to come up; default 0.25
	OnConnectionLost func()  // a connection that was up ended from the peer's side, unasked; may be nil
}

// ResponseHandler hears how a call goes. Its methods run on the loop.
type ResponseHandler interface {
	// Head gets the head of the answer, valid for this call only.
	ResponseHead(h *httpcodec.Head)
	// Body gets a piece of the answer's body, valid for this call only.
	ResponseBody(b []byte)
	// End tells, once, that the answer is complete, or why not. It is not called after Cancel.
	ResponseDone(err error)
}

// HeadRewriter is a Caller whose request says how much time is left: one that waited is written anew before it leaves.
type HeadRewriter interface {
	// Renew returns the head as it is to be now, or false where the request must not be sent any more.
	RewriteHead() (head []byte, ok bool)
}

// Call is one request to a peer. It is meant to be a field of the record it serves.
type Call struct {
	Handler ResponseHandler
	SentAt  float64 // the loop's time when the request was handed to a connection that is up; 0 before
	HEAD    bool
	// NotAfter is the loop's time after which it must not be sent any more: it ends with ErrAbandoned then; 0 for never.
	SendDeadline float64

	pool          *Pool
	conn          *clientConn
	head          []byte
	unwrittenBody []byte  // what is left of it to be written
	fullBody      []byte  // all of it
	headBuiltAt   float64 // when the head was written
	startOffset   uint64  // bytes of the connection before this request
	queued        bool
	anyByteSent   bool
	failing       bool // FailUnsent will end it
}

// Pool holds the connections to one peer.
type Pool struct {
	Loop       *eventloop.Loop
	Addr       netip.AddrPort
	options    PoolOptions
	idle       []*clientConn // the one used last at the end
	conns      map[*clientConn]struct{}
	queue      []*Call
	queueStart int // of the queue; those before it have gone
	closed     bool
}

// NewPool makes a pool; it opens connections as they are needed.
func NewPool(l *eventloop.Loop, addr netip.AddrPort, opt PoolOptions) *Pool {
	if opt.MaxConnections <= 0 {
		opt.MaxConnections = 256
	}
	if opt.MaxIdle <= 0 {
		opt.MaxIdle = 64
	}
	if opt.IdleTimeout <= 0 {
		opt.IdleTimeout = 15
	}
	if opt.ConnectTimeout <= 0 {
		opt.ConnectTimeout = 0.25
	}
	return &Pool{Loop: l, Addr: addr, options: opt, conns: map[*clientConn]struct{}{}}
}

// ConnectionCount is how many connections there are, idle ones included; QueuedCount is how many calls wait for one.
func (p *Pool) ConnectionCount() int { return len(p.conns) }

// Queued is how many calls wait for a connection.
func (p *Pool) QueuedCount() int { return len(p.queue) - p.queueStart }

// Do sends a request: head whole with its empty line, and body. Both are to stay as they are until the call has ended.
func (p *Pool) Do(c *Call, head, body []byte) {
	c.pool, c.conn, c.head, c.unwrittenBody, c.startOffset, c.SentAt, c.queued, c.failing, c.anyByteSent = p, nil, head, body, 0, 0, false, false, false
	c.fullBody, c.headBuiltAt = body, p.Loop.Clock()
	if n := len(p.idle); n > 0 {
		conn := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.Loop.Cancel(&conn.timer)
		conn.carry(c)
		return
	}
	if len(p.conns) >= p.options.MaxConnections {
		c.queued = true
		p.queue = append(p.queue, c)
		return
	}
	p.dial(c)
}

func (p *Pool) dial(c *Call) {
	conn := &clientConn{pool: p, call: c, parser: httpcodec.Parser{Limits: httpcodec.Limits{Line: 8 << 10, Head: 64 << 10, Headers: 200}}}
	conn.timer.Fire = conn.closeIdle
	p.conns[conn] = struct{}{}
	c.conn = conn
	conn.tcp = p.Loop.Dial(p.Addr, p.options.ConnectTimeout, conn)
}

// serveNext gives a connection's place to a call that waits.
func (p *Pool) serveNext(conn *clientConn) {
	if p.QueuedCount() > 0 {
		c := p.queue[p.queueStart]
		p.queue[p.queueStart] = nil
		if p.queueStart++; 2*p.queueStart >= len(p.queue) {
			n := copy(p.queue, p.queue[p.queueStart:])
			clear(p.queue[n:])
			p.queue, p.queueStart = p.queue[:n], 0
		}
		c.queued = false
		if conn != nil {
			conn.carry(c)
		} else {
			p.dial(c)
		}
		return
	}
	if conn == nil {
		return
	}
	if len(p.idle) >= p.options.MaxIdle || p.closed {
		conn.close()
		return
	}
	p.idle = append(p.idle, conn)
	p.Loop.Start(&conn.timer, p.options.IdleTimeout)
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	for _, c := range p.idle {
		c.close()
	}
	p.idle = p.idle[:0]
}

// FailUnsent ends, with ErrAbandoned and soon, every call of which nothing was sent: those that wait for a connection,
// and those whose connection is not up.
func (p *Pool) FailUnsent() {
	calls := append([]*Call(nil), p.queue[p.queueStart:]...)
	for conn := range p.conns {
		if conn.call != nil && !conn.tcp.Established() {
			calls = append(calls, conn.call)
		}
	}
	for _, c := range calls {
		c.Cancel()
		p.failSoon(c)
	}
}

// failSoon ends a call soon that has no connection.
func (p *Pool) failSoon(c *Call) {
	c.failing = true
	p.Loop.Defer(func() {
		if c.failing {
			c.failing = false
			c.Handler.ResponseDone(ErrNotSent)
		}
	})
}

// Close closes the idle connections, and each other one after its call.
func (p *Pool) Close() {
	p.closed = true
	p.CloseIdle()
}

// Cancel gives the call up: its connection is closed, and the caller hears no more.
func (c *Call) Cancel() {
	c.failing = false
	if c.queued {
		for i, q := range c.pool.queue {
			if q == c && i >= c.pool.queueStart {
				c.pool.queue = append(c.pool.queue[:i], c.pool.queue[i+1:]...)
				break
			}
		}
		c.queued = false
		return
	}
	if conn := c.conn; conn != nil {
		c.conn = nil
		conn.call = nil
		conn.close()
		c.pool.serveNext(nil)
	}
}

// AnyByteSent tells whether any byte of the request has gone to the kernel: only without one it is sure that it never ran.
// It is to be asked before the call is cancelled or used again.
func (c *Call) AnyByteSent() bool {
	return c.anyByteSent || c.conn != nil && c.SentAt > 0 && c.conn.tcp.SentBytes() > c.startOffset
}

// FullySent tells whether all of the request has been handed to a connection that is up: until then head and body are in
// use.
func (c *Call) FullySent() bool { return c.SentAt > 0 && len(c.unwrittenBody) == 0 }

// UnsentBytes is how many bytes of requests wait for the peer on the call's connection.
func (c *Call) UnsentBytes() int {
	if c.conn == nil {
		return 0
	}
	return c.conn.tcp.UnsentBytes()
}

// Pause and Resume hold the answer's body back.
func (c *Call) Pause() {
	if c.conn != nil {
		c.conn.tcp.Pause()
	}
}

// Resume undoes Pause.
func (c *Call) Resume() {
	if c.conn != nil {
		c.conn.tcp.Resume()
	}
}
