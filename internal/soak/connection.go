package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	dialTimeout       = time.Second
	maxInFlight       = 8 // requests of one connection
	healthDialTimeout = 300 * time.Millisecond
	healthTimeout     = 500 * time.Millisecond
)

// clientConn is a connection of a client to a dispatcher. A goroutine of its own reads responses.
type clientConn struct {
	socket  net.Conn
	history *history

	mu               sync.Mutex
	seq              int32
	inFlight         map[int32]*request
	closed           bool
	halfClosed       bool // the client closed its sending side and still reads
	receivedResponse bool // at least once
}

func dialDispatcher(address string, h *history) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	cc := &clientConn{socket: conn, history: h, inFlight: map[int32]*request{}}
	go cc.readResponses()
	return cc, nil
}

// readResponses reads responses until the connection ends.
func (cc *clientConn) readResponses() {
	for {
		frame, err := readFrame(cc.socket)
		now := cc.history.now()
		if err != nil {
			cc.connectionEnded(now, errors.Is(err, io.ErrUnexpectedEOF))
			return
		}
		r, err := decodeResponse(frame)
		cc.mu.Lock()
		req := cc.inFlight[r.seq]
		closed := cc.closed
		cc.receivedResponse = true
		delete(cc.inFlight, r.seq)
		cc.mu.Unlock()
		if closed { // by the client in the meantime
			continue
		}
		cc.recordResponse(r, err, req, now)
	}
}

func (cc *clientConn) recordResponse(r response, decodeErr error, req *request, now float64) {
	if decodeErr != nil {
		cc.history.addUnexpected("a response that can't be decoded: " + decodeErr.Error())
		return
	}
	if req == nil {
		cc.history.addUnexpected(fmt.Sprintf("a response with sequence number %d, which no open request has", r.seq))
		return
	}
	cc.history.update(func() {
		if req.Outcome == pending {
			req.Outcome = r.outcome
			req.EndedAt = now
			req.Body = r.body
		}
	})
}

// connectionEnded records that the requests in flight get no response.
func (cc *clientConn) connectionEnded(now float64, truncated bool) {
	cc.socket.Close()
	cc.mu.Lock()
	requests := cc.inFlight
	cc.inFlight = map[int32]*request{}
	cc.closed = true
	carriedOthers := cc.seq > 1
	cc.mu.Unlock()
	cc.history.update(func() {
		unanswered := 0 // aborted requests stay registered, but are due no response
		for _, req := range requests {
			if req.Outcome == pending {
				unanswered++
			}
		}
		for _, req := range requests {
			if req.Outcome != pending {
				continue
			}
			req.Outcome = Closed
			req.EndedAt = now
			req.WasIdle = unanswered == 1 && carriedOthers
			if truncated {
				req.Outcome = Malformed
			}
		}
	})
}

// register adds a request to those in flight. ok is false if the connection accepts no more requests.
func (cc *clientConn) register(req *request) (seq int32, isNew, ok bool) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.closed || cc.halfClosed {
		return 0, false, false
	}
	cc.seq++
	cc.inFlight[cc.seq] = req
	return cc.seq, !cc.receivedResponse, true
}

// usable reports whether the connection accepts requests, and how many are in flight.
func (cc *clientConn) usable() (usable bool, inFlight int) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return !cc.closed && !cc.halfClosed, len(cc.inFlight)
}

// disconnect closes the connection from the client's side, which aborts all requests in flight.
func (cc *clientConn) disconnect() {
	now := cc.history.now()
	cc.mu.Lock()
	requests := cc.inFlight
	cc.inFlight = map[int32]*request{}
	cc.closed = true
	cc.mu.Unlock()
	cc.socket.Close()
	closedAt := cc.history.now()
	cc.history.update(func() {
		for _, req := range requests {
			if req.Outcome == pending {
				req.Outcome = ClientAborted
				req.AbortedAt = closedAt
				req.EndedAt = now
			}
		}
	})
}

// halfClose closes the client's sending side. Requests in flight are still due a response, but no new attempt may
// begin.
func (cc *clientConn) halfClose() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.closed || cc.halfClosed {
		return
	}
	cc.halfClosed = true
	cc.socket.(*net.TCPConn).CloseWrite()
	now := cc.history.now()
	cc.history.update(func() {
		for _, req := range cc.inFlight {
			req.AbortedAt = now
		}
	})
}

// cancel sends a cancel for a request in flight. The response may already be on its way, so that the sequence number
// stays registered.
func (cc *clientConn) cancel(req *request, seq int32) {
	cc.mu.Lock()
	_, inFlight := cc.inFlight[seq]
	halfClosed := cc.halfClosed
	cc.mu.Unlock()
	if !inFlight || halfClosed {
		return
	}
	now := cc.history.now()
	_, err := cc.socket.Write(cancelMessage(seq, seq))
	sentAt := cc.history.now()
	cc.history.update(func() {
		if req.Outcome == pending && err == nil {
			req.Outcome = ClientAborted
			req.EndedAt = now
			req.AbortedAt = sentAt
		}
	})
}

// isHealthy reports whether a dispatcher responds to a health check as healthy.
func isHealthy(address string) bool {
	conn, err := net.DialTimeout("tcp", address, healthDialTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(healthTimeout))
	if _, err := conn.Write(healthCheckMessage(1)); err != nil && !errors.Is(err, syscall.EPIPE) {
		return false
	}
	frame, err := readFrame(conn)
	if err != nil {
		return false
	}
	r, err := decodeResponse(frame)
	return err == nil && r.outcome == Served && r.healthy
}
