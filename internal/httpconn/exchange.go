package httpconn

import (
	"net/netip"

	"mastchute/internal/httpcodec"
)

const (
	maxJoinedBody = 16 << 10 // bytes: bodies up to this size are written together with the head
	maxKeptBuffer = 64 << 10 // bytes: larger buffers are left to the garbage collector
)

// Exchange is one request to a server and the response to it. It is owned by the server and must not be used once the
// response is complete, or ClientGone has been called for it.
//
// A response is either StartResponse, header lines and FinishResponse, or StartResponse, header lines, StartStream, any
// number of WriteStream and EndStream.
type Exchange struct {
	Head         httpcodec.Head
	Body         []byte // complete when RequestReceived is called
	ServiceState any    // for use by the service
	Peer         netip.AddrPort

	conn            *serverConn
	headBytes       []byte // Head points into it
	decoder         httpcodec.BodyDecoder
	reservedBytes   int64 // in the server's memory budget
	requestComplete bool
	streaming       bool // StartStream has been called
	chunked         bool // the streamed response is
	headOnly        bool // the request's method is HEAD
	closeAfter      bool // the connection is closed after the response
	streamBlocked   bool // the service waits for StreamWritable
}

// ReceivedAt returns the estimated time, on the loop's clock, at which the last bytes of the request arrived.
func (e *Exchange) ReceivedAt() float64 { return e.conn.tcp.ReceivedAt() }

// reserve reserves memory for the request; it is returned when the exchange is released.
func (e *Exchange) reserve(n int64) bool {
	if !e.conn.server.options.MemoryBudget.Reserve(n) {
		return false
	}
	e.reservedBytes += n
	return true
}

// StartResponse starts a response. It returns the beginning of its head, to which the service appends header lines before
// it passes it to FinishResponse or StartStream. Only one response of a server may be in this state at a time.
func (e *Exchange) StartResponse(status int) []byte {
	b := httpcodec.AppendStatus(e.conn.server.scratch[:0], status)
	if !e.requestComplete && !e.decoder.Done() { // the unread body would be parsed as the next request
		e.closeAfter = true
	}
	if e.conn.server.draining {
		e.closeAfter = true
	}
	if e.closeAfter {
		b = append(b, "Connection: close\r\n"...)
	} else if e.Head.MinorVersion == 0 {
		b = append(b, "Connection: keep-alive\r\n"...)
	}
	return b
}

// FinishResponse completes the head with the length of the body, and sends both. body may be reused afterwards; the
// exchange must not.
func (e *Exchange) FinishResponse(head []byte, body []byte) {
	head = httpcodec.AppendLength(head, int64(len(body)))
	head = append(head, "\r\n"...)
	if e.headOnly {
		body = nil
	} else if len(body) <= maxJoinedBody {
		head = append(head, body...)
		body = nil
	}
	e.conn.tcp.Write(head)
	if len(body) > 0 {
		e.conn.tcp.Write(body)
	}
	e.keepScratch(head)
	e.finish()
}

// StartStream completes the head of a response whose body follows by WriteStream and EndStream. length is that of the
// body, or -1 if it is not known.
func (e *Exchange) StartStream(head []byte, length int64) {
	e.streaming = true
	switch {
	case length >= 0:
		head = httpcodec.AppendLength(head, length)
	case e.Head.MinorVersion == 1:
		e.chunked = true
		head = append(head, "Transfer-Encoding: chunked\r\n"...)
	default: // HTTP/1.0: the body ends with the connection
		e.closeAfter = true
	}
	e.conn.tcp.Write(append(head, "\r\n"...))
	e.keepScratch(head)
	e.startBodyTimer()
}

// WriteStream sends a piece of a streamed body. It returns false if too much waits for the peer already: the service
// should then not continue before StreamWritable is called.
func (e *Exchange) WriteStream(data []byte) bool {
	if !e.headOnly {
		if e.chunked {
			chunk := httpcodec.AppendChunk(e.conn.server.scratch[:0], data)
			e.conn.tcp.Write(chunk)
			e.keepScratch(chunk)
		} else {
			e.conn.tcp.Write(data)
		}
	}
	if e.conn.tcp.UnsentBytes() > e.conn.server.options.MaxStreamBuffer {
		e.streamBlocked = true
		e.conn.tcp.NotifyFlushed() // the kernel may accept all of it at once
		return false
	}
	e.startBodyTimer()
	return true
}

// EndStream completes a streamed response. The exchange must not be used afterwards.
func (e *Exchange) EndStream() {
	if e.chunked && !e.headOnly {
		e.conn.tcp.Write([]byte(httpcodec.LastChunk))
	}
	e.finish()
}

// AbortStream ends a streamed response by a reset of the connection, from which the peer sees that the response is not
// complete. It has no effect on an exchange that has ended. The exchange must not be used afterwards.
func (e *Exchange) AbortStream() {
	c := e.conn
	if c == nil {
		return
	}
	c.tcp.Abort()
	c.release()
}

// CloseAfterResponse requests that the connection be closed after this response.
func (e *Exchange) CloseAfterResponse() { e.closeAfter = true }

// UnsentBytes returns the number of bytes that wait for the peer.
func (e *Exchange) UnsentBytes() int { return e.conn.tcp.UnsentBytes() }

func (e *Exchange) startBodyTimer() {
	e.conn.server.Loop.StartTimer(&e.conn.timer, e.conn.server.options.BodyTimeout)
}

// keepScratch keeps a buffer that has grown out of the server's scratch buffer in its place.
func (e *Exchange) keepScratch(b []byte) {
	if cap(b) > cap(e.conn.server.scratch) && cap(b) <= maxKeptBuffer {
		e.conn.server.scratch = b[:0]
	}
}

// finish releases the exchange and continues with the connection.
func (e *Exchange) finish() {
	c := e.conn
	closing := e.closeAfter
	c.exchange = nil
	c.server.releaseExchange(e)
	if closing {
		c.tcp.CloseFlushed()
		c.release()
		return
	}
	c.server.Loop.StartTimer(&c.timer, c.server.options.IdleTimeout)
	c.tcp.Resume()
	if !c.receiving {
		c.tcp.Redeliver()
	}
}
