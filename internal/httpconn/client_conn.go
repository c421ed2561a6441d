package httpconn

import (
	"io"

	"mastchute/internal/eventloop"
	"mastchute/internal/httpcodec"
	"mastchute/internal/rules"
)

// clientConn is one connection to the peer; it carries one call at a time.
type clientConn struct {
	pool         *Pool
	tcp          *eventloop.Conn
	call         *Call
	parser       httpcodec.Parser
	head         httpcodec.Head
	body         httpcodec.Body
	timer        eventloop.Timer
	headReceived bool
	hasCarried   bool // it has carried a call
}

func (c *clientConn) closeIdle() {
	for i, o := range c.pool.idle {
		if o == c {
			c.pool.idle = append(c.pool.idle[:i], c.pool.idle[i+1:]...)
			c.close()
			return
		}
	}
}

func (c *clientConn) close() {
	c.pool.Loop.Cancel(&c.timer)
	delete(c.pool.conns, c)
	c.tcp.Close()
}

// carry sends a call, unless it waited for too long.
func (c *clientConn) carry(call *Call) {
	if !c.refreshHead(call) {
		c.call, call.conn = nil, nil
		c.pool.failSoon(call)
		c.pool.serveNext(c)
		return
	}
	c.send(call)
}

// refreshHead has a call that waited written anew, and tells whether it may be sent.
func (c *clientConn) refreshHead(call *Call) bool {
	now := c.pool.Loop.Clock()
	if call.SendDeadline > 0 && now > call.SendDeadline {
		return false
	}
	r, ok := call.Handler.(HeadRewriter)
	if !ok || now-call.headBuiltAt <= rules.MaxDeadlineAge {
		return true
	}
	head, ok := r.RewriteHead()
	call.head, call.headBuiltAt = head, now
	return ok
}

// BeforeWrite implements eventloop.WriteInterceptor: a request that waited, with none of it gone, is looked at once more.
func (c *clientConn) BeforeWrite(conn *eventloop.Conn) {
	call := c.call
	if call == nil || call.SentAt == 0 || conn.SentBytes() > call.startOffset || c.pool.Loop.Clock()-call.headBuiltAt <= rules.MaxDeadlineAge {
		return
	}
	if conn.Unwrite(call.startOffset, conn.WrittenBytes()) {
		call.unwrittenBody = call.fullBody
		c.carry(call)
	}
}

func (c *clientConn) send(call *Call) {
	c.call, call.conn, c.headReceived, c.hasCarried = call, c, false, true
	call.startOffset, call.SentAt = c.tcp.WrittenBytes(), c.pool.Loop.Now()
	c.tcp.Write(call.head)
	c.writeBodyPiece()
}

// bodyPieceBytes is how much of a request's body is handed to the connection at a time, so that long ones are not held twice.
const bodyPieceBytes = 128 << 10

// writeBodyPiece writes the next piece of the request's body.
func (c *clientConn) writeBodyPiece() {
	if call := c.call; len(call.unwrittenBody) > 0 {
		n := min(len(call.unwrittenBody), bodyPieceBytes)
		c.tcp.Write(call.unwrittenBody[:n])
		if call.unwrittenBody = call.unwrittenBody[n:]; len(call.unwrittenBody) > 0 {
			c.tcp.NotifyFlushed()
		}
	}
}

func (c *clientConn) Connected(*eventloop.Conn) {
	if c.call != nil {
		c.carry(c.call)
	} else {
		c.pool.serveNext(c)
	}
}

func (c *clientConn) Flushed(*eventloop.Conn) {
	if c.call != nil {
		c.writeBodyPiece()
	}
}

func (c *clientConn) Closed(_ *eventloop.Conn, err error) {
	c.pool.Loop.Cancel(&c.timer)
	delete(c.pool.conns, c)
	if c.call == nil {
		for i, o := range c.pool.idle {
			if o == c {
				c.pool.idle = append(c.pool.idle[:i], c.pool.idle[i+1:]...)
				break
			}
		}
		if c.pool.options.OnConnectionLost != nil && c.hasCarried {
			c.pool.options.OnConnectionLost()
		}
		return
	}
	if err == io.EOF && c.headReceived && c.body.ReadsUntilClose() {
		err = nil
	} else if c.headReceived {
		err = ErrTruncated
	}
	call := c.call
	c.call = nil
	c.detach(call)
	wrote := call.anyByteSent
	call.Handler.ResponseDone(err)
	if err != nil && wrote && c.pool.options.OnConnectionLost != nil {
		c.pool.options.OnConnectionLost()
	}
	c.pool.serveNext(nil)
}

func (c *clientConn) Received(conn *eventloop.Conn, b []byte) int {
	used := 0
	for c.call != nil && conn.Open() {
		if !c.headReceived {
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
			c.headReceived = true
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
		reuse := !c.head.Close && used == len(b) && conn.UnsentBytes() == 0 && len(call.unwrittenBody) == 0
		c.call = nil
		c.detach(call)
		call.Handler.ResponseDone(nil)
		if reuse {
			c.pool.serveNext(c)
		} else {
			c.close()
			c.pool.serveNext(nil)
		}
		return used
	}
	if c.call == nil && conn.Open() && len(b) > used { // unasked bytes
		c.closeIdle()
	}
	return len(b)
}

// detach parts a call that ends from its connection, which may go on with others.
func (c *clientConn) detach(call *Call) {
	call.anyByteSent, call.conn = call.AnyByteSent(), nil
}

func (c *clientConn) fail(err error) {
	call := c.call
	c.call = nil
	c.close()
	c.detach(call)
	call.Handler.ResponseDone(err)
	c.pool.serveNext(nil)
}
