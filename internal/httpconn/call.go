package httpconn

import (
	"errors"

	"mastchute/internal/httpcodec"
	"mastchute/internal/incarnation"
)

// Errors of calls that end without a complete response, in addition to those of the connection.
var (
	// ErrNotSent means that the call was abandoned before any part of it was sent.
	ErrNotSent = errors.New("request abandoned before it was sent")
	// ErrTruncated means that the connection ended in the middle of the response body.
	ErrTruncated = errors.New("connection ended in the middle of the response body")
	// ErrMalformedResponse means that the response violates HTTP/1.1.
	ErrMalformedResponse = errors.New("response violates HTTP/1.1")
)

// ResponseHandler handles the response to a call. Its methods are called on the loop.
type ResponseHandler interface {
	// ResponseHead is called with the head of the response, which is valid only during the call.
	ResponseHead(h *httpcodec.Head)
	// ResponseBody is called with each piece of the response body, which is valid only during the call.
	ResponseBody(b []byte)
	// ResponseDone is called exactly once, with nil when the response is complete or with the error that ended the call. It
	// is not called after Cancel.
	ResponseDone(err error)
}

// SendHandler is implemented by a ResponseHandler that decides whether its request is sent on a connection, and whose request
// head states the time left for the response. If the request has waited longer than rules.MaxDeadlineAge before it is sent,
// its head is replaced.
type SendHandler interface {
	// Prefers reports whether the request is better sent on a connection than on one for which this is false.
	Prefers(connection *incarnation.Connection) bool
	// MaySend reports whether the request may be sent on a connection. If not, the call ends with ErrNotSent.
	MaySend(connection *incarnation.Connection) bool
	// Sent is called when the request has been written to a connection.
	Sent()
	// RewriteHead returns an updated head.
	RewriteHead() []byte
}

// Call is a request to a peer. It is meant to be a field of the struct that uses it, and may be reused after it has ended.
type Call struct {
	// Handler handles the response.
	Handler ResponseHandler
	// SentAt is the time on the loop's clock, in seconds, at which the request was passed to an established connection, or 0
	// before that.
	SentAt float64
	// Connection is what is known of the connection on which the request was sent, nil before that.
	Connection *incarnation.Connection
	// IsHead is set for a HEAD request, whose response has no body.
	IsHead bool

	pool           *Pool
	conn           *clientConn // nil while the call is queued and after it has ended
	head           []byte
	fullBody       []byte
	unwrittenBody  []byte  // the part of fullBody that has not been written to the connection
	headBuiltAt    float64 // when the head was built, as of Loop.Clock
	startOffset    uint64  // bytes written to the connection before this request
	queued         bool
	failurePending bool // scheduleNotSent is about to end the call
	anyByteSent    bool // set by clientConn.detach
}

// reset prepares the call for a new request. It keeps the exported fields that the caller sets.
func (c *Call) reset(p *Pool, head, body []byte) {
	c.pool = p
	c.conn = nil
	c.head = head
	c.fullBody = body
	c.unwrittenBody = body
	c.headBuiltAt = p.Loop.Clock()
	c.startOffset = 0
	c.SentAt = 0
	c.Connection = nil
	c.queued = false
	c.failurePending = false
	c.anyByteSent = false
}

// Cancel abandons the call: its connection is closed, and no further method of the handler is called.
func (c *Call) Cancel() {
	c.failurePending = false
	if c.queued {
		c.pool.removeQueued(c)
		return
	}
	conn := c.conn
	if conn == nil {
		return
	}
	c.conn = nil
	conn.call = nil
	conn.close()
	c.pool.startNextCall(nil)
}

// AnyByteSent reports whether the kernel has accepted any byte of the request. Only if it has not is it certain that the
// peer has not executed the request. It must be called before Cancel and before the call is reused.
func (c *Call) AnyByteSent() bool {
	return c.anyByteSent || c.conn != nil && c.SentAt > 0 && c.conn.tcp.SentBytes() > c.startOffset
}

// FullySent reports whether the whole request has been passed to an established connection. Until then the call uses the
// slices head and body.
func (c *Call) FullySent() bool { return c.SentAt > 0 && len(c.unwrittenBody) == 0 }

// UnsentBytes returns the number of bytes queued on the call's connection that the kernel has not accepted.
func (c *Call) UnsentBytes() int {
	if c.conn == nil {
		return 0
	}
	return c.conn.tcp.UnsentBytes()
}

// Pause stops calls of ResponseBody, so that TCP flow control slows down the peer.
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
