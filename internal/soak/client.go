package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"
)

const (
	meanRequestInterval = 0.03 // s between the requests of one client
	responseMargin      = 2.7  // s past a request's timeout until the client stops waiting
	resendWindow        = 0.05 // s from a request to the close of its idle connection within which the client resends it
	outcomePollInterval = 5 * time.Millisecond
	maxAbortDelay       = 0.05 // s
	smallBodyBytes      = 300  // upper bound
	largeBodyBytes      = 12 << 10
	modelsPerClass      = 6
)

// client is a client of one dispatcher. One goroutine sends requests; one goroutine per request waits for its end.
type client struct {
	run        *runner
	dispatcher *dispatcher
	rnd        *rand.Rand
	conn       *clientConn
	waiting    sync.WaitGroup // requests that have not ended
}

// sendRequests sends requests until stopped, and waits for all of them to end.
func (c *client) sendRequests(stop <-chan struct{}) {
	defer c.waiting.Wait()
	for {
		pause := seconds(c.rnd.ExpFloat64() * c.run.plan.Site.requestInterval())
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		c.sendOne()
	}
}

// sendOne sends one request if the dispatcher accepts requests now.
func (c *client) sendOne() {
	mayConnect, maySend := c.dispatcher.accepting(c.run.history.now())
	if !maySend {
		return
	}
	if !c.refreshConnection() {
		return
	}
	if c.conn == nil {
		if !mayConnect {
			return
		}
		conn, err := dialDispatcher(c.dispatcher.address, c.run.history)
		if err != nil {
			return // the connection was not accepted: no response is due
		}
		c.conn = conn
	}
	c.send(c.conn, c.drawRequest(), true)
}

// refreshConnection drops a connection that ended, and at random an idle one. It returns false if the connection has
// maxInFlight requests.
func (c *client) refreshConnection() bool {
	if c.conn == nil {
		return true
	}
	usable, inFlight := c.conn.usable()
	switch {
	case !usable:
		c.conn = nil
	case c.rnd.IntN(20) == 0 && inFlight == 0:
		c.conn.socket.Close()
		c.conn = nil
	case inFlight >= maxInFlight:
		return false
	}
	return true
}

func (c *client) drawRequest() *request {
	class := pick(c.rnd, retriableClass, retriableClass, deduplicatedClass, nonRetriableClass)
	req := &request{ID: fmt.Sprintf("%016x", c.rnd.Uint64()), Class: class, Dispatcher: c.dispatcher.index, Outcome: pending,
		Timeout: c.run.plan.Site.Deadline * (0.6 + 0.4*c.rnd.Float64())}
	if class == deduplicatedClass {
		req.Key = fmt.Sprintf("%032x", c.rnd.Uint64())
	}
	return req
}

// encodeFields returns the fields of a request as sent.
func (c *client) encodeFields(req *request) map[string]string {
	fields := map[string]string{"route": string(req.Class), "trace": req.ID, "patience": strconv.Itoa(milliseconds(req.Timeout)),
		"entity": fmt.Sprintf("%016x", 0xabc0+c.rnd.IntN(modelsPerClass)), "weight": "4", "extras": "memory_mb:100;lanes:1;load_ms:40"}
	if req.Key != "" {
		fields["nonce"] = req.Key
	}
	return fields
}

func milliseconds(s float64) int { return int(s * 1e3) }

func (c *client) drawBody() []byte {
	body := make([]byte, c.rnd.IntN(smallBodyBytes))
	if c.rnd.IntN(20) == 0 {
		body = make([]byte, largeBodyBytes)
	}
	return body
}

// send writes a request and waits for its end in the background. If mayResend is set, the request is sent once more if
// the dispatcher closed the idle connection at the same time.
func (c *client) send(conn *clientConn, req *request, mayResend bool) {
	fields := c.encodeFields(req)
	body := c.drawBody()
	seq, isNew, ok := conn.register(req)
	if !ok {
		return
	}
	history := c.run.history
	req.Timeout = float64(milliseconds(req.Timeout)) / 1e3 // as sent
	req.LocalAddr = conn.socket.LocalAddr().String()
	req.NewConn = isNew
	req.SentAt = history.now()
	history.addRequest(req)
	_, err := conn.socket.Write(dispatchMessage(seq, fields, body))
	now := history.now()
	history.update(func() {
		req.SentAt = now
		if err != nil && (req.Outcome == pending || req.Outcome == Closed) { // not fully sent
			req.Outcome = NotAccepted
			req.EndedAt = now
		}
	})
	abort := c.drawAbort()
	c.waiting.Add(1)
	go c.await(conn, req, seq, abort, mayResend)
}

// clientAbort is how a client aborts a request before its response: by a cancel, by closing the connection, or by
// half-closing it. With a negative delay the client does not abort.
type clientAbort struct {
	delay      float64 // s
	disconnect bool
	halfClose  bool
}

func (c *client) drawAbort() clientAbort {
	abort := clientAbort{delay: -1}
	manyCancel := c.run.activeFault(ClientsCancel, c.dispatcher.index) != nil
	if manyCancel && c.rnd.IntN(2) == 0 || c.rnd.IntN(40) == 0 {
		abort.delay = c.rnd.Float64() * maxAbortDelay
	}
	abort.disconnect = c.rnd.IntN(3) == 0
	abort.halfClose = c.rnd.IntN(2) == 0
	return abort
}

// apply aborts a request after the delay. It returns true if the client disconnected and expects no response.
func (a clientAbort) apply(conn *clientConn, req *request, seq int32) (disconnected bool) {
	time.Sleep(seconds(a.delay))
	if a.disconnect && !a.halfClose {
		conn.disconnect()
		return true
	}
	if a.disconnect {
		conn.halfClose()
	}
	conn.cancel(req, seq)
	return false
}

// await waits for the end of a request: a response, the end of the connection, the timeout of the client or its abort.
func (c *client) await(conn *clientConn, req *request, seq int32, abort clientAbort, mayResend bool) {
	defer c.waiting.Done()
	if abort.delay >= 0 && abort.apply(conn, req, seq) {
		return
	}
	timeout := time.NewTimer(seconds(req.Timeout + responseMargin))
	defer timeout.Stop()
	poll := time.NewTicker(outcomePollInterval)
	defer poll.Stop()
	for {
		ended, racedIdleClose := c.check(req)
		if racedIdleClose && mayResend {
			c.resend(req)
			return
		}
		if ended {
			return
		}
		select {
		case <-timeout.C:
			c.recordNoResponse(req)
			return
		case <-poll.C:
		}
	}
}

// check reports whether a request ended, and whether it was sent while the dispatcher closed the idle connection. A
// killed dispatcher closes connections with requests in flight too, so that the request may have run.
func (c *client) check(req *request) (ended, racedIdleClose bool) {
	c.run.history.update(func() {
		ended = req.Outcome != pending
		racedIdleClose = req.Outcome == Closed && req.WasIdle && req.EndedAt-req.SentAt <= resendWindow &&
			!c.dispatcher.killedBetween(req.SentAt, req.EndedAt)
	})
	return ended, racedIdleClose
}

func (c *client) recordNoResponse(req *request) {
	history := c.run.history
	history.update(func() {
		if req.Outcome == pending {
			req.Outcome = NoResponse
			req.EndedAt = history.now()
		}
	})
}

// resend sends a request once more, on a new connection.
func (c *client) resend(req *request) {
	history := c.run.history
	conn, err := dialDispatcher(c.dispatcher.address, history)
	if err != nil {
		return
	}
	resent := &request{ID: req.ID, Class: req.Class, Key: req.Key, Dispatcher: req.Dispatcher, Timeout: req.Timeout, Outcome: pending}
	history.update(func() { req.Outcome = Resent })
	resender := &client{run: c.run, dispatcher: c.dispatcher, rnd: rand.New(rand.NewPCG(c.run.plan.Seed, uint64(req.SentAt*1e6)))}
	resender.send(conn, resent, false)
	resender.waiting.Wait()
	conn.socket.Close()
}

const (
	floodConnections = 40
	floodDialTimeout = 200 * time.Millisecond
	floodCancels     = 20
)

// flood opens connections that send nothing, half a message or garbage, and keeps them open until the end of the fault.
func (r *runner) flood(f Fault, d *dispatcher) {
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	rnd := rand.New(rand.NewPCG(r.plan.Seed, uint64(f.From*1e6)))
	for range floodConnections {
		if r.history.now() > f.To {
			break
		}
		conn, err := net.DialTimeout("tcp", d.address, floodDialTimeout)
		if err != nil {
			continue
		}
		conns = append(conns, conn)
		writeGarbage(conn, rnd.IntN(4))
	}
	time.Sleep(seconds(max(0, f.To-r.history.now())))
}

// writeGarbage writes half a message, another protocol, cancels of unknown requests, or nothing.
func writeGarbage(conn net.Conn, kind int) {
	switch kind {
	case 0:
		conn.Write([]byte{0, 0, 1, 0, 0x80, 1})
	case 1:
		conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	case 2:
		for i := range int32(floodCancels) {
			conn.Write(cancelMessage(i, i+1))
		}
	}
}
