package httpconn

import (
	"mastchute/internal/eventloop"
	"mastchute/internal/httpcodec"
)

var continueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// Received implements eventloop.Handler. It reads requests one after the other. A pipelined request stays unconsumed until
// the response to the previous one is complete. If more bytes than Limits.Head are waiting, reading is paused.
func (c *serverConn) Received(_ *eventloop.Conn, input []byte) int {
	c.receiving = true
	defer func() { c.receiving = false }()
	used := 0
	for c.tcp.IsOpen() {
		if c.exchange == nil {
			if used == len(input) {
				break
			}
			n, proceed := c.readHead(input[used:])
			used += n
			if !proceed {
				break
			}
			continue
		}
		if c.exchange.requestComplete {
			if len(input)-used > c.server.options.Limits.Head {
				c.tcp.Pause()
			}
			break
		}
		n, proceed := c.readBody(input[used:])
		used += n
		if !proceed {
			break
		}
	}
	return used
}

// readHead parses the head of a request at the start of input. It returns the number of bytes that it consumed, and whether
// to continue with the remaining ones.
func (c *serverConn) readHead(input []byte) (used int, proceed bool) {
	exchange := c.newExchange()
	n, err := c.parser.ParseRequest(input, &exchange.Head)
	if err != nil {
		c.reject(err.(*httpcodec.Error)) // all errors of the parser have this type
		return len(input), false
	}
	if n == 0 {
		c.awaitHead(exchange)
		return 0, false
	}
	c.headStarted = false
	exchange.headBytes = append(exchange.headBytes[:0], input[:n]...)
	rebaseHead(&exchange.Head, input[:n], exchange.headBytes)
	exchange.decoder.ResetRequest(&exchange.Head, c.server.options.Limits)
	exchange.headOnly = httpcodec.EqualsLower(exchange.Head.Method, "head")
	exchange.closeAfter = exchange.Head.Close || c.server.draining
	if c.server.Service.HeadReceived(exchange) {
		if c.exchange == exchange { // the service reports a response that it has not written
			c.reject(errNoResponse)
		}
		return n, c.exchange == nil && c.tcp.IsOpen()
	}
	if exchange.Head.ContentLength > 0 && !exchange.reserve(exchange.Head.ContentLength) {
		c.reject(errNoMemory)
		return len(input), false
	}
	if exchange.Head.ExpectContinue && !exchange.decoder.Done() {
		c.tcp.Write(continueResponse)
	}
	c.server.Loop.StartTimer(&c.timer, c.server.options.BodyTimeout)
	return n, true
}

// awaitHead releases an exchange whose head is not complete. The head is parsed again when more bytes arrive. The head
// timeout starts with the first byte.
func (c *serverConn) awaitHead(exchange *Exchange) {
	c.server.releaseExchange(exchange)
	c.exchange = nil
	if !c.headStarted {
		c.headStarted = true
		c.server.Loop.StartTimer(&c.timer, c.server.options.HeadTimeout)
	}
}

// readBody decodes the body of the current request from input and passes the request to the service when it is complete. It
// returns the number of bytes that it consumed, and whether to continue with the remaining ones.
func (c *serverConn) readBody(input []byte) (used int, proceed bool) {
	exchange := c.exchange
	for !exchange.decoder.Done() {
		data, n, err := exchange.decoder.Next(input[used:])
		if err != nil {
			c.reject(err.(*httpcodec.Error)) // all errors of the decoder have this type
			return len(input), false
		}
		if exchange.Head.Chunked && !exchange.reserve(int64(len(data))) {
			c.reject(errNoMemory)
			return len(input), false
		}
		exchange.Body = append(exchange.Body, data...)
		used += n
		if n == 0 {
			c.server.Loop.StartTimer(&c.timer, c.server.options.BodyTimeout)
			return used, false
		}
	}
	exchange.requestComplete = true
	c.server.Loop.CancelTimer(&c.timer)
	c.server.Service.RequestReceived(exchange)
	return used, true
}

// rebaseHead changes the slices of a head, which point into the parsed bytes, to point to the same positions in a copy of
// them. It computes the positions from the capacities: the slices made by the parser extend to the end of the buffer.
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
