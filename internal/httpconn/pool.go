package httpconn

import (
	"net/netip"
	"slices"

	"mastchute/internal/eventloop"
	"mastchute/internal/httpcodec"
	"mastchute/internal/incarnation"
)

// responseLimits limit the heads of responses.
var responseLimits = httpcodec.Limits{Line: 8 << 10, Head: 64 << 10, Headers: 200}

// PoolOptions are the options of a Pool. Zero values select the defaults.
type PoolOptions struct {
	MaxConnections   int                  // maximum number of open connections; default 256
	MaxIdle          int                  // maximum number of idle connections; default 64
	IdleTimeout      float64              // s after which an idle connection is closed; default 15
	ConnectTimeout   float64              // s to establish a connection; default 0.25
	Address          *incarnation.Address // of the peer, which records the connections; nil for a new one
	OnConnectionLost func()               // called when the peer has ended a connection that has carried a call; may be nil
	OnChange         func()               // called when a connection has been established or closed; may be nil
}

func (o PoolOptions) withDefaults() PoolOptions {
	if o.MaxConnections <= 0 {
		o.MaxConnections = 256
	}
	if o.MaxIdle <= 0 {
		o.MaxIdle = 64
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = 15
	}
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = 0.25
	}
	if o.Address == nil {
		o.Address = incarnation.NewAddress()
	}
	return o
}

// Pool is a pool of client connections to one peer. A connection carries one call at a time; calls beyond MaxConnections
// are queued.
type Pool struct {
	Loop *eventloop.Loop
	Addr netip.AddrPort

	options    PoolOptions
	conns      map[*clientConn]struct{} // all connections, idle ones included
	idle       []*clientConn            // a stack: the most recently used connection is the last and is reused first
	queue      []*Call                  // queued calls, after queueStart removed entries
	queueStart int
	closed     bool
}

// NewPool returns a pool that opens connections as calls need them.
func NewPool(l *eventloop.Loop, addr netip.AddrPort, options PoolOptions) *Pool {
	return &Pool{Loop: l, Addr: addr, options: options.withDefaults(), conns: map[*clientConn]struct{}{}}
}

// ConnectionCount returns the number of connections, idle ones included.
func (p *Pool) ConnectionCount() int { return len(p.conns) }

// QueuedCount returns the number of calls waiting for a connection.
func (p *Pool) QueuedCount() int { return len(p.queue) - p.queueStart }

// Do sends a request. head is the complete head, including the empty line at its end. head and body must not be modified
// until the call has ended or FullySent returns true.
func (p *Pool) Do(call *Call, head, body []byte) {
	call.reset(p, head, body)
	if conn := p.takeIdle(call); conn != nil {
		conn.startCall(call)
		return
	}
	if len(p.conns) >= p.options.MaxConnections {
		call.queued = true
		p.queue = append(p.queue, call)
		return
	}
	p.dial(call)
}

// takeIdle removes a connection for a call from the idle connections: the most recently used one of those that the call's handler
// prefers, if there are any, or of all. It returns nil if no connection is idle.
func (p *Pool) takeIdle(call *Call) *clientConn {
	if len(p.idle) == 0 {
		return nil
	}
	index := len(p.idle) - 1
	if handler, ok := call.Handler.(SendHandler); ok {
		for i := index; i >= 0; i-- {
			if handler.Prefers(p.idle[i].incarnation) {
				index = i
				break
			}
		}
	}
	conn := p.idle[index]
	p.idle = slices.Delete(p.idle, index, index+1)
	p.Loop.CancelTimer(&conn.timer)
	return conn
}

// notifyChange reports that a connection has been established or closed.
func (p *Pool) notifyChange() {
	if p.options.OnChange != nil {
		p.options.OnChange()
	}
}

// dial opens a connection and assigns the call to it.
func (p *Pool) dial(call *Call) {
	conn := &clientConn{pool: p, call: call, incarnation: p.options.Address.Connect(p.Loop.Now()), parser: httpcodec.Parser{Limits: responseLimits}}
	conn.timer.Fire = conn.closeIdle
	p.conns[conn] = struct{}{}
	call.conn = conn
	conn.tcp = p.Loop.Dial(p.Addr, p.options.ConnectTimeout, conn)
}

// startNextCall starts the next queued call on conn, whose call has ended, or, if conn is nil, on a new connection that
// replaces a closed one. If no call is queued, conn becomes idle.
func (p *Pool) startNextCall(conn *clientConn) {
	next := p.dequeue()
	switch {
	case next == nil && conn == nil:
	case next == nil:
		p.keepIdle(conn)
	case conn == nil:
		p.dial(next)
	default:
		conn.startCall(next)
	}
}

// dequeue removes and returns the first queued call, or returns nil if there is none. It compacts the queue once at least
// half of its entries have been removed.
func (p *Pool) dequeue() *Call {
	if p.QueuedCount() == 0 {
		return nil
	}
	call := p.queue[p.queueStart]
	p.queue[p.queueStart] = nil
	p.queueStart++
	if 2*p.queueStart >= len(p.queue) {
		n := copy(p.queue, p.queue[p.queueStart:])
		clear(p.queue[n:])
		p.queue = p.queue[:n]
		p.queueStart = 0
	}
	call.queued = false
	return call
}

// removeQueued removes a queued call from the queue.
func (p *Pool) removeQueued(call *Call) {
	for i := p.queueStart; i < len(p.queue); i++ {
		if p.queue[i] == call {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			break
		}
	}
	call.queued = false
}

// keepIdle keeps a connection for later calls, or closes it if the pool is closed or has MaxIdle idle connections.
func (p *Pool) keepIdle(conn *clientConn) {
	if len(p.idle) >= p.options.MaxIdle || p.closed {
		conn.close()
		return
	}
	p.idle = append(p.idle, conn)
	p.Loop.StartTimer(&conn.timer, p.options.IdleTimeout)
}

// removeIdle removes a connection from the idle connections, and reports whether it was idle.
func (p *Pool) removeIdle(conn *clientConn) bool {
	for i, idle := range p.idle {
		if idle == conn {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return true
		}
	}
	return false
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	for _, conn := range p.idle {
		conn.close()
	}
	p.idle = p.idle[:0]
}

// Close closes the idle connections immediately, and each other connection after its call.
func (p *Pool) Close() {
	p.closed = true
	p.CloseIdle()
}

// FailUnsent ends every call of which no byte can have been sent: queued calls, and calls whose connection is not yet
// established. ResponseDone is called for each with ErrNotSent, after FailUnsent has returned.
func (p *Pool) FailUnsent() {
	calls := append([]*Call(nil), p.queue[p.queueStart:]...)
	for conn := range p.conns {
		if conn.call != nil && !conn.tcp.IsEstablished() {
			calls = append(calls, conn.call)
		}
	}
	for _, call := range calls {
		call.Cancel()
		p.scheduleNotSent(call)
	}
}

// scheduleNotSent ends a call without a connection with ErrNotSent after the current event has been handled, unless the
// call is cancelled or reused before that.
func (p *Pool) scheduleNotSent(call *Call) {
	call.failurePending = true
	p.Loop.Defer(func() {
		if call.failurePending {
			call.failurePending = false
			call.Handler.ResponseDone(ErrNotSent)
		}
	})
}
