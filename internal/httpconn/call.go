package httpconn

import (
	"errors"

	"mastchute/internal/httpcodec"
)

// Errors with which a call ends without a response, beside those of its connection.
var (
	// ErrNotSent means that the call was abandoned before any of it was sent.
	ErrNotSent = errors.New("given up before it was sent")
	// ErrTruncated means that the connection ended in the middle of the response's body.
	ErrTruncated = errors.New("the answer was cut short")
	// ErrMalformedResponse means that the response violates HTTP/1.1.
	ErrMalformedResponse = errors.New("the answer is malformed")
)

// ResponseHandler handles the response to a call. Its methods are called on the loop.
type ResponseHandler interface {
	// ResponseHead is called with the head of the response, which is valid during the call only.
	ResponseHead(h *httpcodec.Head)
	// ResponseBody is called with each piece of the response's body, which is valid during the call only.
	ResponseBody(b []byte)
	// ResponseDone is called exactly once, with nil when the response is complete, and otherwise with the reason. It is
	// not called after Cancel.
	ResponseDone(err error)
}

// HeadRewriter is implemented by a ResponseHandler whose request states the time that is left for the response. If the
// request has waited for more than rules.MaxDeadlineAge before it is sent, its head is replaced.
type HeadRewriter interface {
	// RewriteHead returns the head as of now, or false if the request must not be sent any more.
	RewriteHead() (head []byte, ok bool)
}

// Call is one request to a peer. It is meant to be embedded as a field of the record it serves, and may be used again
// after it has ended.
type Call struct {
	// Handler handles the response.
	Handler ResponseHandler
	// SentAt is the loop's time at which the request was passed to an established connection; 0 before.
	SentAt float64
	// IsHead is set for a request with that method, whose response has no body.
	IsHead bool
	// SendDeadline is the loop's time after which the request must not be sent any more; 0 means never. The call then ends
	// with ErrNotSent.
	SendDeadline float64

	pool          *Pool
	conn          *clientConn // nil while queued and after the end
	head          []byte
	fullBody      []byte
	unwrittenBody []byte  // the part of fullBody that has not been written to the connection
	headBuiltAt   float64 // Clock of the loop when the head was made
	startOffset   uint64  // bytes written to the connection before this request
	queued        bool
	failing       bool // failSoon is about to end the call
	anyByteSent   bool // recorded when the call leaves its connection
}

// reset prepares the call for a request. It leaves the exported fields that the caller sets.
func (c *Call) reset(p *Pool, head, body []byte) {
	c.pool = p
	c.conn = nil
	c.head = head
	c.fullBody = body
	c.unwrittenBody = body
	c.headBuiltAt = p.Loop.Clock()
	c.startOffset = 0
	c.SentAt = 0
	c.queued = false
	c.failing = false
	c.anyByteSent = false
}

// Cancel abandons the call: its connection is closed, and no method of the handler is called any more.
func (c *Call) Cancel() {
	c.failing = false
	if c.queued {
		c.pool.unqueue(c)
		return
	}
	conn := c.conn
	if conn == nil {
		return
	}
	c.conn = nil
	conn.call = nil
	conn.close()
	c.pool.serveNext(nil)
}

// AnyByteSent reports whether the kernel has accepted any byte of the request; only if not is it certain that the peer has
// not executed it. It must be called before Cancel, and before the call is used again.
func (c *Call) AnyByteSent() bool {
	return c.anyByteSent || c.conn != nil && c.SentAt > 0 && c.conn.tcp.SentBytes() > c.startOffset
}

// FullySent reports whether the whole request has been passed to an established connection. Before that, head and body
// are in use.
func (c *Call) FullySent() bool { return c.SentAt > 0 && len(c.unwrittenBody) == 0 }

// UnsentBytes returns the number of bytes that wait for the peer on the call's connection.
func (c *Call) UnsentBytes() int {
	if c.conn == nil {
		return 0
	}
	return c.conn.tcp.UnsentBytes()
}

// Pause stops calls of ResponseBody; the peer is held back.
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
