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

	c        *serverConn
	head     []byte
	decoder  httpcodec.Body
	booked   int64
	whole    bool // the request is complete
	stream   bool // the answer has begun and goes on
	chunked  bool
	headOnly bool
	close    bool // the connection ends after this answer
	drained  bool // the service waits for room
}

// ReceivedAt is when the last bytes of the request came in, on the loop's clock.
func (x *Exchange) ReceivedAt() float64 { return x.c.conn.ReceivedAt() }

func (x *Exchange) book(n int64) bool {
	if !x.c.v.opt.Budget.Reserve(n) {
		return false
	}
	x.booked += n
	return true
}

// StartResponse begins an answer: it returns bytes to append header lines to, for Finish or Stream.
func (x *Exchange) StartResponse(status int) []byte {
	b := httpcodec.AppendStatus(x.c.v.scratch[:0], status)
	x.close = x.close || !x.whole && !x.decoder.Done() // a body not read would be taken for the next request
	if x.close || x.c.v.draining {
		x.close = true
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
	x.c.conn.Write(b)
	if len(body) > 0 {
		x.c.conn.Write(body)
	}
	x.keep(b)
	x.done()
}

func (x *Exchange) keep(b []byte) {
	if cap(b) > cap(x.c.v.scratch) && cap(b) <= 64<<10 {
		x.c.v.scratch = b[:0]
	}
}

// StartStream ends the head and lets a body of the given length follow by Write and End; -1 means that it is not known.
func (x *Exchange) StartStream(b []byte, length int64) {
	if x.stream = true; length >= 0 {
		b = httpcodec.AppendLength(b, length)
	} else if x.Head.Minor == 1 {
		x.chunked = true
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	} else {
		x.close = true
	}
	x.c.conn.Write(append(b, "\r\n"...))
	x.keep(b)
	x.c.v.Loop.Start(&x.c.timer, x.c.v.opt.BodyTimeout)
}

// WriteStream sends a piece of a streamed body. It returns false when the sender should wait for Drained.
func (x *Exchange) WriteStream(data []byte) bool {
	if !x.headOnly {
		if x.chunked {
			b := httpcodec.AppendChunk(x.c.v.scratch[:0], data)
			x.c.conn.Write(b)
			x.keep(b)
		} else {
			x.c.conn.Write(data)
		}
	}
	if x.c.conn.UnsentBytes() > x.c.v.opt.StreamAhead {
		x.drained = true
		return false
	}
	x.c.v.Loop.Start(&x.c.timer, x.c.v.opt.BodyTimeout)
	return true
}

// EndStream ends a streamed answer. x is void then.
func (x *Exchange) EndStream() {
	if x.chunked && !x.headOnly {
		x.c.conn.Write([]byte(httpcodec.LastChunk))
	}
	x.done()
}

// AbortStream cuts a streamed answer off: the peer sees that it is not whole. x is void then.
func (x *Exchange) AbortStream() {
	c := x.c
	if c == nil { // it has ended by itself meanwhile
		return
	}
	c.conn.Abort()
	c.over()
}

// done ends the exchange and goes on with the connection.
func (x *Exchange) done() {
	c := x.c
	closes := x.close
	c.x = nil
	c.v.put(x)
	if closes {
		c.conn.CloseFlushed()
		c.over()
		return
	}
	c.v.Loop.Start(&c.timer, c.v.opt.IdleTimeout)
	c.conn.Resume()
	if !c.inData {
		c.conn.Redeliver()
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
func (x *Exchange) CloseAfter() { x.close = true }

// UnsentBytes is how many bytes of the answer wait for the peer.
func (x *Exchange) UnsentBytes() int { return x.c.conn.UnsentBytes() }
