package httpconn

import (
	"net/netip"

	"mastchute/internal/httpcodec"
)

const (
	maxCombinedBodyBytes   = 16 << 10 // bodies up to this size are written together with the head
	maxRetainedBufferBytes = 64 << 10 // larger buffers are left to the garbage collector
)

// Exchange is a request to a server and its response. It is owned by the server and must not be used after the response is
// complete or Service.ClientDisconnected has been called for it.
//
// To send a response at once, a service calls StartResponse, appends header lines and calls FinishResponse. To stream it,
// it calls StartResponse, appends header lines, and calls StartStream, WriteStream any number of times, and EndStream.
type Exchange struct {
	Head         httpcodec.Head
	Body         []byte // complete when RequestReceived is called
	ServiceState any    // for use by the service
	Peer         netip.AddrPort

	conn            *serverConn
	headBytes       []byte // backing array of the slices in Head
	decoder         httpcodec.BodyDecoder
	reservedBytes   int64 // reserved in the memory budget of the server
	requestComplete bool
	streaming       bool // StartStream has been called
	chunked         bool // the streamed response uses the chunked coding
	headOnly        bool // the method of the request is HEAD
	closeAfter      bool // the connection is closed after the response
	streamBlocked   bool // the service waits for StreamWritable
}

// ReceivedAt returns the estimated time, on the loop's clock, at which the last bytes of the request arrived.
func (e *Exchange) ReceivedAt() float64 { return e.conn.tcp.ReceivedAt() }

// reserve reserves memory for the request until the exchange is released.
func (e *Exchange) reserve(n int64) bool {
	if !e.conn.server.options.MemoryBudget.Reserve(n) {
		return false
	}
	e.reservedBytes += n
	return true
}

// StartResponse starts a response. It returns the beginning of its head, to which the service appends header lines before
// it passes the head to FinishResponse or StartStream. The responses of a server share a buffer, so only one of them at a
// time may be between these two calls.
func (e *Exchange) StartResponse(status int) []byte {
	b := httpcodec.AppendStatus(e.conn.server.scratch[:0], status)
	if !e.requestComplete && !e.decoder.Done() { // otherwise the unread body would be parsed as the next request
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

// FinishResponse adds the length of the body to the head and sends both. body may be reused afterwards. The exchange must
// not be used afterwards.
func (e *Exchange) FinishResponse(head []byte, body []byte) {
	head = httpcodec.AppendLength(head, int64(len(body)))
	head = append(head, "\r\n"...)
	if e.headOnly {
		body = nil
	} else if len(body) <= maxCombinedBodyBytes {
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

// StartStream sends the head of a response whose body is sent with WriteStream and EndStream. length is the length of the
// body, or -1 if it is not known.
func (e *Exchange) StartStream(head []byte, length int64) {
	e.streaming = true
	switch {
	case length >= 0:
		head = httpcodec.AppendLength(head, length)
	case e.Head.MinorVersion == 1:
		e.chunked = true
		head = append(head, "Transfer-Encoding: chunked\r\n"...)
	default: // HTTP/1.0: closing the connection ends the body
		e.closeAfter = true
	}
	e.conn.tcp.Write(append(head, "\r\n"...))
	e.keepScratch(head)
	e.startBodyTimer()
}

// WriteStream sends a piece of a streamed body. It returns false if more than MaxStreamBuffer bytes are unsent: the service
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
		e.conn.tcp.NotifyFlushed() // the kernel may accept all bytes at once
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

// AbortStream resets the connection, which shows the peer that the streamed response is not complete. It has no effect on
// an exchange that has ended. The exchange must not be used afterwards.
func (e *Exchange) AbortStream() {
	c := e.conn
	if c == nil {
		return
	}
	c.tcp.Abort()
	c.release()
}

// CloseAfterResponse makes the server close the connection after this response.
func (e *Exchange) CloseAfterResponse() { e.closeAfter = true }

// UnsentBytes returns the number of bytes queued on the connection that the kernel has not accepted.
func (e *Exchange) UnsentBytes() int { return e.conn.tcp.UnsentBytes() }

func (e *Exchange) startBodyTimer() {
	e.conn.server.Loop.StartTimer(&e.conn.timer, e.conn.server.options.BodyTimeout)
}

// keepScratch replaces the scratch buffer of the server by b, which was appended to it, if b has a larger capacity.
func (e *Exchange) keepScratch(b []byte) {
	if cap(b) > cap(e.conn.server.scratch) && cap(b) <= maxRetainedBufferBytes {
		e.conn.server.scratch = b[:0]
	}
}

// finish releases the exchange after its response, and closes the connection or continues with its next request.
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
