package httpconn

import (
	"io"

	"mastchute/internal/eventloop"
	"mastchute/internal/httpcodec"
	"mastchute/internal/rules"
)

// clientConn is one connection to the peer; it carries one call at a time.
type clientConn struct {
	pool   *Pool
	conn   *eventloop.Conn
	call   *Call
	parser httpcodec.Parser
	head   httpcodec.Head
	body   httpcodec.Body
	timer  eventloop.Timer
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
	if call.SendDeadline > 0 && now > call.SendDeadline {
		return false
	}
	r, ok := call.Handler.(HeadRewriter)
	if !ok || now-call.built <= rules.MaxDeadlineAge {
		return true
	}
	head, ok := r.RewriteHead()
	call.head, call.built = head, now
	return ok
}

// BeforeWrite implements eventloop.WriteInterceptor: a request that waited, with none of it gone, is looked at once more.
func (c *clientConn) BeforeWrite(conn *eventloop.Conn) {
	call := c.call
	if call == nil || call.SentAt == 0 || conn.SentBytes() > call.from || c.pool.Loop.Clock()-call.built <= rules.MaxDeadlineAge {
		return
	}
	if conn.Unwrite(call.from, conn.WrittenBytes()) {
		call.body = call.whole
		c.carry(call)
	}
}

func (c *clientConn) send(call *Call) {
	c.call, call.conn, c.headed, c.used = call, c, false, true
	call.from, call.SentAt = c.conn.WrittenBytes(), c.pool.Loop.Now()
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
			c.conn.NotifyFlushed()
		}
	}
}

func (c *clientConn) Connected(*eventloop.Conn) {
	if c.call != nil {
		c.carry(c.call)
	} else {
		c.pool.next(c)
	}
}

func (c *clientConn) Flushed(*eventloop.Conn) {
	if c.call != nil {
		c.more()
	}
}

func (c *clientConn) Closed(_ *eventloop.Conn, err error) {
	c.pool.Loop.Cancel(&c.timer)
	delete(c.pool.all, c)
	if c.call == nil {
		for i, o := range c.pool.idle {
			if o == c {
				c.pool.idle = append(c.pool.idle[:i], c.pool.idle[i+1:]...)
				break
			}
		}
		if c.pool.opt.OnConnectionLost != nil && c.used {
			c.pool.opt.OnConnectionLost()
		}
		return
	}
	if err == io.EOF && c.headed && c.body.ReadsUntilClose() {
		err = nil
	} else if c.headed {
		err = ErrTruncated
	}
	call := c.call
	c.call = nil
	c.leave(call)
	wrote := call.wrote
	call.Handler.ResponseDone(err)
	if err != nil && wrote && c.pool.opt.OnConnectionLost != nil {
		c.pool.opt.OnConnectionLost()
	}
	c.pool.next(nil)
}

func (c *clientConn) Received(conn *eventloop.Conn, b []byte) int {
	used := 0
	for c.call != nil && conn.Open() {
		if !c.headed {
			n, err := c.parser.ParseResponse(b[used:], &c.head)
			if err != nil {
				c.fail(ErrMalformedResponse)
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
			c.body.ResetResponse(&c.head, c.call.HEAD)
			call := c.call
			call.Handler.ResponseHead(&c.head)
			if c.call != call {
				return used
			}
		}
		call := c.call
		for !c.body.Done() {
			data, n, err := c.body.Next(b[used:])
			if err != nil {
				c.fail(ErrMalformedResponse)
				return len(b)
			}
			used += n
			if len(data) > 0 {
				if call.Handler.ResponseBody(data); c.call != call {
					return used
				}
			}
			if n == 0 || c.body.ReadsUntilClose() {
				return used
			}
		}
		// Whole. What stands behind it, or a request not wholly sent, spoils the connection for others.
		reuse := !c.head.Close && used == len(b) && conn.UnsentBytes() == 0 && len(call.body) == 0
		c.call = nil
		c.leave(call)
		call.Handler.ResponseDone(nil)
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
	call.wrote, call.conn = call.AnyByteSent(), nil
}

func (c *clientConn) fail(err error) {
	call := c.call
	c.call = nil
	c.drop()
	c.leave(call)
	call.Handler.ResponseDone(err)
	c.pool.next(nil)
}
