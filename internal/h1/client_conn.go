package h1

import (
	"io"

	"mastchute/internal/http1"
	"mastchute/internal/loop"
	"mastchute/internal/permit"
)

// clientConn is one connection to the peer; it carries one call at a time.
type clientConn struct {
	pool   *Pool
	conn   *loop.Conn
	call   *Call
	parser http1.Parser
	head   http1.Head
	body   http1.Body
	timer  loop.Timer
	headed bool
	used   bool // it has carried a call
}

func (c *clientConn) expire() {
	for i, o := range c.pool.idle {
		if o == c {
			c.pool.idle = append(c.pool.idle[:i], c.pool.idle[i+1:]...)
			c.drop()
			return
		}
	}
}

func (c *clientConn) drop() {
	c.pool.Loop.Cancel(&c.timer)
	delete(c.pool.all, c)
	c.conn.Close()
}

// carry sends a call, unless it waited for too long.
func (c *clientConn) carry(call *Call) {
	if !c.renew(call) {
		c.call, call.conn = nil, nil
		c.pool.abandon(call)
		c.pool.next(c)
		return
	}
	c.send(call)
}

// renew has a call that waited written anew, and tells whether it may be sent.
func (c *clientConn) renew(call *Call) bool {
	now := c.pool.Loop.Clock()
	if call.NotAfter > 0 && now > call.NotAfter {
		return false
	}
	r, ok := call.Caller.(Renewer)
	if !ok || now-call.built <= permit.DeadlineAge {
		return true
	}
	head, ok := r.Renew()
	call.head, call.built = head, now
	return ok
}

// BeforeWrite implements loop.Writer: a request that waited, with none of it gone, is looked at once more.
func (c *clientConn) BeforeWrite(conn *loop.Conn) {
	call := c.call
	if call == nil || call.Peek == 0 || conn.Sent() > call.from || c.pool.Loop.Clock()-call.built <= permit.DeadlineAge {
		return
	}
	if conn.Retract(call.from, conn.Queued()) {
		call.body = call.whole
		c.carry(call)
	}
}

func (c *clientConn) send(call *Call) {
	c.call, call.conn, c.headed, c.used = call, c, false, true
	call.from, call.Peek = c.conn.Queued(), c.pool.Loop.Now()
	c.conn.Write(call.head)
	c.more()
}

// bodyPiece is how much of a request's body is handed to the connection at a time, so that long ones are not held twice.
const bodyPiece = 128 << 10

// more writes the next piece of the request's body.
func (c *clientConn) more() {
	if call := c.call; len(call.body) > 0 {
		n := min(len(call.body), bodyPiece)
		c.conn.Write(call.body[:n])
		if call.body = call.body[n:]; len(call.body) > 0 {
			c.conn.NotifyDrained()
		}
	}
}

func (c *clientConn) Opened(*loop.Conn) {
	if c.call != nil {
		c.carry(c.call)
	} else {
		c.pool.next(c)
	}
}

func (c *clientConn) Drained(*loop.Conn) {
	if c.call != nil {
		c.more()
	}
}

func (c *clientConn) Closed(_ *loop.Conn, err error) {
	c.pool.Loop.Cancel(&c.timer)
	delete(c.pool.all, c)
	if c.call == nil {
		for i, o := range c.pool.idle {
			if o == c {
				c.pool.idle = append(c.pool.idle[:i], c.pool.idle[i+1:]...)
				break
			}
		}
		if c.pool.opt.Lost != nil && c.used {
			c.pool.opt.Lost()
		}
		return
	}
	if err == io.EOF && c.headed && c.body.ToEnd() {
		err = nil
	} else if c.headed {
		err = ErrCut
	}
	call := c.call
	c.call = nil
	c.leave(call)
	wrote := call.wrote
	call.Caller.End(err)
	if err != nil && wrote && c.pool.opt.Lost != nil {
		c.pool.opt.Lost()
	}
	c.pool.next(nil)
}

func (c *clientConn) Data(conn *loop.Conn, b []byte) int {
	used := 0
	for c.call != nil && conn.Open() {
		if !c.headed {
			n, err := c.parser.Answer(b[used:], &c.head)
			if err != nil {
				c.fail(ErrPeer)
				return len(b)
			}
			if n == 0 {
				return used
			}
			used += n
			if c.head.Status < 200 {
				continue
			}
			c.headed = true
			c.body.ResetAnswer(&c.head, c.call.HEAD)
			call := c.call
			call.Caller.Head(&c.head)
			if c.call != call {
				return used
			}
		}
		call := c.call
		for !c.body.Done() {
			data, n, err := c.body.Next(b[used:])
			if err != nil {
				c.fail(ErrPeer)
				return len(b)
			}
			used += n
			if len(data) > 0 {
				if call.Caller.Body(data); c.call != call {
					return used
				}
			}
			if n == 0 || c.body.ToEnd() {
				return used
			}
		}
		// Whole. What stands behind it, or a request not wholly sent, spoils the connection for others.
		reuse := !c.head.Close && used == len(b) && conn.Waiting() == 0 && len(call.body) == 0
		c.call = nil
		c.leave(call)
		call.Caller.End(nil)
		if reuse {
			c.pool.next(c)
		} else {
			c.drop()
			c.pool.next(nil)
		}
		return used
	}
	if c.call == nil && conn.Open() && len(b) > used { // unasked bytes
		c.expire()
	}
	return len(b)
}

// leave parts a call that ends from its connection, which may go on with others.
func (c *clientConn) leave(call *Call) {
	call.wrote, call.conn = call.Wrote(), nil
}

func (c *clientConn) fail(err error) {
	call := c.call
	c.call = nil
	c.drop()
	c.leave(call)
	call.Caller.End(err)
	c.pool.next(nil)
}
