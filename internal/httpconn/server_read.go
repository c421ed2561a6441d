package httpconn

import (
	"mastchute/internal/eventloop"
	"mastchute/internal/httpcodec"
)

var continueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// Received implements eventloop.Handler. It reads requests one after the other. A pipelined request waits, unconsumed,
// until the one before it has been answered; beyond the size of a head the peer is held back.
func (c *serverConn) Received(_ *eventloop.Conn, b []byte) int {
	c.receiving = true
	defer func() { c.receiving = false }()
	used := 0
	for c.tcp.Open() {
		if c.exchange == nil {
			if used == len(b) {
				break
			}
			n, proceed := c.readHead(b[used:])
			used += n
			if !proceed {
				break
			}
			continue
		}
		if c.exchange.requestComplete {
			if len(b)-used > c.server.options.Limits.Head {
				c.tcp.Pause()
			}
			break
		}
		n, proceed := c.readBody(b[used:])
		used += n
		if !proceed {
			break
		}
	}
	return used
}

// readHead parses the head of a request from the start of b. It returns the number of bytes it consumed, and whether to
// continue with the rest.
func (c *serverConn) readHead(b []byte) (used int, proceed bool) {
	x := c.newExchange()
	n, err := c.parser.ParseRequest(b, &x.Head)
	if err != nil {
		c.reject(err.(*httpcodec.Error)) // the parser returns no others
		return len(b), false
	}
	if n == 0 {
		c.awaitHead(x)
		return 0, false
	}
	c.headStarted = false
	x.headBytes = append(x.headBytes[:0], b[:n]...)
	rebaseHead(&x.Head, b[:n], x.headBytes)
	x.decoder.ResetRequest(&x.Head, c.server.options.Limits)
	x.headOnly = httpcodec.EqualsLower(x.Head.Method, "head")
	x.closeAfter = x.Head.Close || c.server.draining
	if c.server.Service.HeadReceived(x) {
		if c.exchange == x { // the service has claimed a response that it has not given
			c.reject(errNoResponse)
		}
		return n, c.exchange == nil && c.tcp.Open()
	}
	if x.Head.Length > 0 && !x.reserve(x.Head.Length) {
		c.reject(errNoMemory)
		return len(b), false
	}
	if x.Head.Expect && !x.decoder.Done() {
		c.tcp.Write(continueResponse)
	}
	c.server.Loop.Start(&c.timer, c.server.options.BodyTimeout)
	return n, true
}

// awaitHead releases an exchange whose head is not complete; the head is parsed anew when more of it arrives. The head
// timeout starts with its first byte.
func (c *serverConn) awaitHead(x *Exchange) {
	c.server.releaseExchange(x)
	c.exchange = nil
	if !c.headStarted {
		c.headStarted = true
		c.server.Loop.Start(&c.timer, c.server.options.HeadTimeout)
	}
}

// readBody decodes the body of the current request from b, and passes the request to the service when it is complete. It
// returns the number of bytes it consumed, and whether to continue with the rest.
func (c *serverConn) readBody(b []byte) (used int, proceed bool) {
	x := c.exchange
	for !x.decoder.Done() {
		data, n, err := x.decoder.Next(b[used:])
		if err != nil {
			c.reject(err.(*httpcodec.Error)) // the decoder returns no others
			return len(b), false
		}
		if x.Head.Chunked && !x.reserve(int64(len(data))) {
			c.reject(errNoMemory)
			return len(b), false
		}
		x.Body = append(x.Body, data...)
		used += n
		if n == 0 {
			c.server.Loop.Start(&c.timer, c.server.options.BodyTimeout)
			return used, false
		}
	}
	x.requestComplete = true
	c.server.Loop.Cancel(&c.timer)
	c.server.Service.RequestReceived(x)
	return used, true
}

// rebaseHead makes the slices of a head, which point into the bytes parsed, point to the same places in a copy of them. It
// finds the places by capacity: the parser's slices reach to the end of the buffer they were cut from.
func rebaseHead(h *httpcodec.Head, parsed, copied []byte) {
	rebase := func(s []byte) []byte {
		if len(s) == 0 {
			return nil
		}
		start := cap(parsed) - cap(s)
		return copied[start : start+len(s) : start+len(s)]
	}
	h.Method = rebase(h.Method)
	h.Target = rebase(h.Target)
	for i := range h.Headers {
		header := &h.Headers[i]
		header.Name = rebase(header.Name)
		header.Value = rebase(header.Value)
	}
}
