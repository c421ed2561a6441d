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
	responsePatience    = 2.7  // s past a request's timeout until a client stops waiting
	resendWindow        = 0.05 // s from a request to the close of its idle connection within which it is sent again
	pollInterval        = 5 * time.Millisecond
	maxLeaveDelay       = 0.05 // s
	smallBody           = 300  // bytes at most
	largeBody           = 12 << 10
	entities            = 6 // models of each class
)

// client is one client of one dispatcher. One goroutine sends requests; one goroutine per request waits for its end.
type client struct {
	run        *runner
	dispatcher *dispatcher
	rnd        *rand.Rand
	conn       *clientConn
	waiting    sync.WaitGroup // requests whose end is awaited
}

// sendRequests sends requests until stopped, and waits for their ends.
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

// sendOne sends one request if the dispatcher is to serve any now.
func (c *client) sendOne() {
	mayConnect, maySend := c.dispatcher.accepting(c.run.history.now())
	if !maySend {
		return
	}
	if !c.reviewConnection() {
		return
	}
	if c.conn == nil {
		if !mayConnect {
			return
		}
		conn, err := dialDispatcher(c.dispatcher.address, c.run.history)
		if err != nil {
			return // never accepted: no response is owed
		}
		c.conn = conn
	}
	c.send(c.conn, c.drawRequest(), true)
}

// reviewConnection drops a connection that ended, and sometimes an idle one. It returns false if the connection is full.
func (c *client) reviewConnection() bool {
	if c.conn == nil {
		return true
	}
	usable, inFlight := c.conn.usable()
	switch {
	case !usable:
		c.conn = nil
	case c.rnd.IntN(20) == 0 && inFlight == 0:
		c.conn.net.Close()
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

// encodeFields returns the fields of a request on the wire.
func (c *client) encodeFields(req *request) map[string]string {
	fields := map[string]string{"route": string(req.Class), "trace": req.ID, "patience": strconv.Itoa(milliseconds(req.Timeout)),
		"entity": fmt.Sprintf("%016x", 0xabc0+c.rnd.IntN(entities)), "weight": "4", "extras": "memory_mb:100;lanes:1;load_ms:40"}
	if req.Key != "" {
		fields["nonce"] = req.Key
	}
	return fields
}

func milliseconds(s float64) int { return int(s * 1e3) }

func (c *client) drawBody() []byte {
	body := make([]byte, c.rnd.IntN(smallBody))
	if c.rnd.IntN(20) == 0 {
		body = make([]byte, largeBody)
	}
	return body
}

// send writes a request and waits for its end in the background. A request that may be resent is sent once more if it
// crossed the close of an idle connection.
func (c *client) send(conn *clientConn, req *request, mayResend bool) {
	fields := c.encodeFields(req)
	body := c.drawBody()
	seq, isNew, ok := conn.register(req)
	if !ok {
		return
	}
	history := c.run.history
	req.Timeout = float64(milliseconds(req.Timeout)) / 1e3 // as sent
	req.LocalAddr = conn.net.LocalAddr().String()
	req.NewConn = isNew
	req.SentAt = history.now()
	history.addRequest(req)
	_, err := conn.net.Write(dispatchMessage(seq, fields, body))
	now := history.now()
	history.update(func() {
		req.SentAt = now
		if err != nil && (req.Outcome == pending || req.Outcome == Closed) { // it was never fully sent
			req.Outcome = NotAccepted
			req.EndedAt = now
		}
	})
	d := c.drawDeparture()
	c.waiting.Add(1)
	go c.await(conn, req, seq, d, mayResend)
}

// departure is how a client leaves before its response: by a cancel, by closing the connection or by closing its side
// of it. A negative delay means that it stays.
type departure struct {
	delay      float64 // s
	disconnect bool
	halfClose  bool
}

func (c *client) drawDeparture() departure {
	d := departure{delay: -1}
	manyCancel := c.run.activeFault(ClientsCancel, c.dispatcher.index) != nil
	if manyCancel && c.rnd.IntN(2) == 0 || c.rnd.IntN(40) == 0 {
		d.delay = c.rnd.Float64() * maxLeaveDelay
	}
	d.disconnect = c.rnd.IntN(3) == 0
	d.halfClose = c.rnd.IntN(2) == 0
	return d
}

// leave plays a departure. It returns true if the client disconnected and awaits nothing.
func (d departure) leave(conn *clientConn, req *request, seq int32) (gone bool) {
	time.Sleep(seconds(d.delay))
	if d.disconnect && !d.halfClose {
		conn.disconnect()
		return true
	}
	if d.disconnect {
		conn.halfClose()
	}
	conn.cancel(req, seq)
	return false
}

// await waits for the end of a request: a response, a close or the client's patience; or the client leaves before.
func (c *client) await(conn *clientConn, req *request, seq int32, d departure, mayResend bool) {
	defer c.waiting.Done()
	if d.delay >= 0 && d.leave(conn, req, seq) {
		return
	}
	patience := time.NewTimer(seconds(req.Timeout + responsePatience))
	defer patience.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		ended, crossedClose := c.check(req)
		if crossedClose && mayResend {
			c.resend(req)
			return
		}
		if ended {
			return
		}
		select {
		case <-patience.C:
			c.giveUp(req)
			return
		case <-poll.C:
		}
	}
}

// check reports whether a request ended, and whether it crossed the close of an idle connection. A kill closes connections
// whatever is in flight on them: the request may have run.
func (c *client) check(req *request) (ended, crossedClose bool) {
	c.run.history.update(func() {
		ended = req.Outcome != pending
		crossedClose = req.Outcome == Closed && req.WasIdle && req.EndedAt-req.SentAt <= resendWindow &&
			!c.dispatcher.killedBetween(req.SentAt, req.EndedAt)
	})
	return ended, crossedClose
}

func (c *client) giveUp(req *request) {
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
	next := &request{ID: req.ID, Class: req.Class, Key: req.Key, Dispatcher: req.Dispatcher, Timeout: req.Timeout, Outcome: pending}
	history.update(func() { req.Outcome = Resent })
	other := &client{run: c.run, dispatcher: c.dispatcher, rnd: rand.New(rand.NewPCG(c.run.plan.Seed, uint64(req.SentAt*1e6)))}
	other.send(conn, next, false)
	other.waiting.Wait()
	conn.net.Close()
}

const (
	floodConnections = 40
	floodDialTimeout = 200 * time.Millisecond
	floodCancels     = 20
)

// flood holds connections that send nothing, half a message or noise until the fault is over.
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
		writeNoise(conn, rnd.IntN(4))
	}
	time.Sleep(seconds(max(0, f.To-r.history.now())))
}

// writeNoise writes half a message, another protocol, cancels of nothing, or nothing.
func writeNoise(conn net.Conn, kind int) {
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
