package httpconn

import (
	"net/netip"

	"mastchute/internal/httpcodec"
)

// Exchange is one request and its answer. It is void once answered.
type Exchange struct {
	Head         httpcodec.Head
	Body         []byte
	ServiceState any // for the service
	Peer         netip.AddrPort

	conn            *serverConn
	headBytes       []byte
	decoder         httpcodec.Body
	reservedBytes   int64
	requestComplete bool // the request is complete
	streaming       bool // the answer has begun and goes on
	chunked         bool
	headOnly        bool
	closeAfter      bool // the connection ends after this answer
	streamBlocked   bool // the service waits for room
}

// ReceivedAt is when the last bytes of the request came in, on the loop's clock.
func (x *Exchange) ReceivedAt() float64 { return x.conn.tcp.ReceivedAt() }

func (x *Exchange) reserve(n int64) bool {
	if !x.conn.server.options.Budget.Reserve(n) {
		return false
	}
	x.reservedBytes += n
	return true
}

// StartResponse begins an answer: it returns bytes to append header lines to, for Finish or Stream.
func (x *Exchange) StartResponse(status int) []byte {
	b := httpcodec.AppendStatus(x.conn.server.scratch[:0], status)
	x.closeAfter = x.closeAfter || !x.requestComplete && !x.decoder.Done() // a body not read would be taken for the next request
	if x.closeAfter || x.conn.server.draining {
		x.closeAfter = true
		b = append(b, "Connection: close\r\n"...)
	} else if x.Head.Minor == 0 {
		b = append(b, "Connection: keep-alive\r\n"...)
	}
	return b
}

// FinishResponse ends the head with a length, and sends the body. x is void then.
func (x *Exchange) FinishResponse(b []byte, body []byte) {
	b = httpcodec.AppendLength(b, int64(len(body)))
	b = append(b, "\r\n"...)
	if !x.headOnly {
		if len(body) <= 16<<10 {
			b = append(b, body...)
			body = nil
		}
	} else {
		body = nil
	}
	x.conn.tcp.Write(b)
	if len(body) > 0 {
		x.conn.tcp.Write(body)
	}
	x.keepScratch(b)
	x.finish()
}

func (x *Exchange) keepScratch(b []byte) {
	if cap(b) > cap(x.conn.server.scratch) && cap(b) <= 64<<10 {
		x.conn.server.scratch = b[:0]
	}
}

// StartStream ends the head and lets a body of the given length follow by Write and End; -1 means that it is not known.
func (x *Exchange) StartStream(b []byte, length int64) {
	if x.streaming = true; length >= 0 {
		b = httpcodec.AppendLength(b, length)
	} else if x.Head.Minor == 1 {
		x.chunked = true
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	} else {
		x.closeAfter = true
	}
	x.conn.tcp.Write(append(b, "\r\n"...))
	x.keepScratch(b)
	x.conn.server.Loop.Start(&x.conn.timer, x.conn.server.options.BodyTimeout)
}

// WriteStream sends a piece of a streamed body. It returns false when the sender should wait for Drained.
func (x *Exchange) WriteStream(data []byte) bool {
	if !x.headOnly {
		if x.chunked {
			b := httpcodec.AppendChunk(x.conn.server.scratch[:0], data)
			x.conn.tcp.Write(b)
			x.keepScratch(b)
		} else {
			x.conn.tcp.Write(data)
		}
	}
	if x.conn.tcp.UnsentBytes() > x.conn.server.options.StreamAhead {
		x.streamBlocked = true
		return false
	}
	x.conn.server.Loop.Start(&x.conn.timer, x.conn.server.options.BodyTimeout)
	return true
}

// EndStream ends a streamed answer. x is void then.
func (x *Exchange) EndStream() {
	if x.chunked && !x.headOnly {
		x.conn.tcp.Write([]byte(httpcodec.LastChunk))
	}
	x.finish()
}

// AbortStream cuts a streamed answer off: the peer sees that it is not whole. x is void then.
func (x *Exchange) AbortStream() {
	c := x.conn
	if c == nil { // it has ended by itself meanwhile
		return
	}
	c.tcp.Abort()
	c.release()
}

// finish ends the exchange and goes on with the connection.
func (x *Exchange) finish() {
	c := x.conn
	closes := x.closeAfter
	c.exchange = nil
	c.server.releaseExchange(x)
	if closes {
		c.tcp.CloseFlushed()
		c.release()
		return
	}
	c.server.Loop.Start(&c.timer, c.server.options.IdleTimeout)
	c.tcp.Resume()
	if !c.receiving {
		c.tcp.Redeliver()
	}
}

// Problem answers with an RFC 9457 problem, which is for refusals and errors.
func (x *Exchange) Problem(status int, detail string) {
	x.FinishResponse(httpcodec.AppendHeader(x.StartResponse(status), "Content-Type", ProblemType), AppendProblem(nil, status, detail))
}

// ProblemType is the media type of an RFC 9457 problem.
const ProblemType = "application/problem+json"

// AppendProblem appends an RFC 9457 problem. detail is to need no escapes.
func AppendProblem(b []byte, status int, detail string) []byte {
	b = append(b, `{"type":"about:blank","title":"`...)
	b = append(b, httpcodec.Reason(status)...)
	b = append(b, `","status":`...)
	b = append(b, byte('0'+status/100), byte('0'+status/10%10), byte('0'+status%10))
	b = append(b, `,"detail":"`...)
	b = append(b, detail...)
	return append(b, "\"}\n"...)
}

// CloseAfter lets the connection end after this answer.
func (x *Exchange) CloseAfter() { x.closeAfter = true }

// UnsentBytes is how many bytes of the answer wait for the peer.
func (x *Exchange) UnsentBytes() int { return x.conn.tcp.UnsentBytes() }
