package lab

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The clients use sockets instead of net/http's client, so that they can record faulty responses as received: a second
// response, a truncated one, or none.

const (
	dialTimeout          = time.Second
	reuseCheckTime       = 200 * time.Microsecond // for unsolicited bytes to arrive before an idle connection is reused
	closeCheckTime       = time.Millisecond       // for unsolicited bytes to arrive before an idle connection is closed
	requestBody          = `{"inputs":[]}`
	outcomeHeader        = "Mastchute-Answer"
	requestIDHeader      = "Mastchute-Inference"
	retryAfterHeader     = "Mastchute-Retry-After"
	timeoutHeader        = "Mastchute-Timeout"
	tenantHeader         = "Mastchute-Tenant"
	retryHeader          = "Mastchute-Repeat"
	idempotencyKeyHeader = "Idempotency-Key"
)

// clientConn is a connection of a client to a dispatcher. It serves one attempt at a time.
type clientConn struct {
	socket net.Conn
	reader *bufio.Reader
	last   *ClientAttempt
}

// isReusable waits for unsolicited bytes and records them for the last attempt. It returns true if there are none and the
// connection is still open.
func (c *clientConn) isReusable(wait time.Duration) bool {
	c.socket.SetReadDeadline(time.Now().Add(wait))
	_, err := c.reader.Peek(1)
	if n := c.reader.Buffered(); n > 0 && c.last != nil {
		c.last.UnsolicitedBytes += n
		return false
	}
	return isTimeout(err)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// dispatcherClient sends requests to one dispatcher and keeps the idle connections of all clients. It is safe for concurrent
// use.
type dispatcherClient struct {
	name    string
	address string

	mu   sync.Mutex
	idle []*clientConn
}

// acquire returns an idle connection, or a new one if none is reusable.
func (d *dispatcherClient) acquire() (*clientConn, error) {
	for {
		conn := d.popIdle()
		if conn == nil {
			break
		}
		if conn.isReusable(reuseCheckTime) {
			return conn, nil
		}
		conn.socket.Close()
	}
	conn, err := net.DialTimeout("tcp", d.address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{socket: conn, reader: bufio.NewReader(conn)}, nil
}

func (d *dispatcherClient) popIdle() *clientConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	last := len(d.idle) - 1
	if last < 0 {
		return nil
	}
	conn := d.idle[last]
	d.idle = d.idle[:last]
	return conn
}

func (d *dispatcherClient) release(conn *clientConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.idle = append(d.idle, conn)
}

// closeIdle closes the idle connections after a last check for unsolicited bytes.
func (d *dispatcherClient) closeIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conn := range d.idle {
		conn.isReusable(closeCheckTime)
		conn.socket.Close()
	}
	d.idle = nil
}

// unixSeconds converts a time to seconds since 1970.
func unixSeconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }

func unixNow() float64 { return unixSeconds(time.Now()) }

// seconds converts a number of seconds to a time.Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// send sends one attempt of a call and records its result in the attempt. It returns the Retry-After of the response, in
// seconds.
func (d *dispatcherClient) send(c *logicalCall, a *ClientAttempt) (retryAfter float64) {
	conn, err := d.acquire()
	a.Dispatcher = d.name
	a.SentAt = unixNow()
	if err != nil {
		a.NotAccepted = true
		a.Error = err.Error()
		return 0
	}
	conn.socket.SetDeadline(time.Now().Add(seconds(c.waitTime(a))))
	conn.last = a
	response, err := conn.exchange(d.encodeRequest(c, a), a)
	if err == nil {
		a.RespondedAt = unixNow()
		if response.Close {
			conn.socket.Close()
		} else {
			d.release(conn)
		}
		retryAfter, _ = strconv.ParseFloat(response.Header.Get(retryAfterHeader), 64)
		return retryAfter
	}
	conn.socket.Close()
	if a.Outcome == OutcomeReturned && !isTimeout(err) { // the response was truncated, which the client notices
		a.Outcome = OutcomeFailed
		a.Error = "cut: " + err.Error()
		a.RespondedAt = unixNow()
		return 0
	}
	a.Error = err.Error()
	a.ClientDisconnected = isTimeout(err) && c.disconnectsEarly(a)
	return 0
}

func (d *dispatcherClient) encodeRequest(c *logicalCall, a *ClientAttempt) string {
	request := fmt.Sprintf("POST /v2/models/%s/infer HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"+
		idempotencyKeyHeader+": %s\r\n"+timeoutHeader+": %.3f\r\n", a.Model, d.address, len(requestBody), a.Key, a.Timeout)
	if c.tenant != "" {
		request += tenantHeader + ": " + c.tenant + "\r\n"
	}
	if a.Number > 0 {
		request += retryHeader + ": true\r\n"
	}
	return request + "\r\n" + requestBody
}

// exchange sends a request and reads the complete response. It records the response's head in the attempt even if the body is
// truncated.
func (c *clientConn) exchange(request string, a *ClientAttempt) (*http.Response, error) {
	if _, err := io.WriteString(c.socket, request); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	a.Status = response.StatusCode
	a.Outcome = Outcome(response.Header.Get(outcomeHeader))
	a.Request = response.Header.Get(requestIDHeader)
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}
