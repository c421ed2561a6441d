package httpconn

import "mastchute/internal/eventloop"

// Received implements eventloop.Handler.
func (c *clientConn) Received(tcp *eventloop.Conn, input []byte) (used int) {
	if !tcp.IsOpen() {
		return len(input)
	}
	c.incarnation.Heard(tcp.ReceivedAt())
	if c.call == nil {
		if len(input) > 0 { // a response without a request: later responses could not be matched to requests either
			c.closeIdle()
		}
		return len(input)
	}
	if !c.headReceived {
		n, proceed := c.readHead(input)
		if !proceed {
			return n
		}
		used = n
	}
	return used + c.readBody(input[used:])
}

// readHead parses the head of the response at the start of input, skipping interim (1xx) responses. It returns the number
// of bytes that it consumed, and whether to continue with the body.
func (c *clientConn) readHead(input []byte) (used int, proceed bool) {
	for {
		n, err := c.parser.ParseResponse(input[used:], &c.head)
		if err != nil {
			c.fail(ErrMalformedResponse)
			return len(input), false
		}
		if n == 0 {
			return used, false
		}
		used += n
		if c.head.Status >= 200 {
			break
		}
	}
	call := c.call
	c.headReceived = true
	c.body.ResetResponse(&c.head, call.IsHead)
	call.Handler.ResponseHead(&c.head)
	return used, c.call == call
}

// readBody decodes the body of the response from input and ends the call when the body is complete. It returns the number
// of bytes that it consumed.
func (c *clientConn) readBody(input []byte) (used int) {
	call := c.call
	for !c.body.Done() {
		data, n, err := c.body.Next(input[used:])
		if err != nil {
			c.fail(ErrMalformedResponse)
			return len(input)
		}
		used += n
		if len(data) > 0 {
			call.Handler.ResponseBody(data)
			if c.call != call { // cancelled
				return used
			}
		}
		if n == 0 || c.body.ReadsUntilClose() {
			return used
		}
	}
	c.finishCall(used < len(input))
	return used
}

// finishCall ends a call whose response is complete. The connection is reused unless the peer closes it, has sent bytes
// after the response, or has not received the whole request.
func (c *clientConn) finishCall(unexpectedBytes bool) {
	call := c.call
	requestSent := c.tcp.UnsentBytes() == 0 && len(call.unwrittenBody) == 0
	reusable := !c.head.Close && !unexpectedBytes && requestSent
	c.call = nil
	c.detach(call)
	call.Handler.ResponseDone(nil)
	if reusable {
		c.pool.startNextCall(c)
		return
	}
	c.close()
	c.pool.startNextCall(nil)
}
