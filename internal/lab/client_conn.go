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

// The clients use their sockets directly, so that they record what was received as it was received: a response that
// follows another, one that is truncated, none at all.

const (
	dialTimeout        = time.Second
	reuseProbeTime     = 200 * time.Microsecond // for unwanted bytes on an idle connection
	closeProbeTime     = time.Millisecond       // the same, before the connection is closed
	inferenceBody      = `{"inputs":[]}`
	answerHeader       = "Mastchute-Answer"
	requestIDHeader    = "Mastchute-Inference"
	retryAfterHeader   = "Mastchute-Retry-After"
	timeoutHeader      = "Mastchute-Timeout"
	tenantHeader       = "Mastchute-Tenant"
	retryHeader        = "Mastchute-Repeat"
	idempotencyKeyName = "Idempotency-Key"
)

// clientConn is a connection of a client to a dispatcher. One attempt uses it at a time.
type clientConn struct {
	net    net.Conn
	reader *bufio.Reader
	last   *ClientAttempt
}

// isClean waits for bytes that nobody asked for and records them. It returns true if there are none and the connection is
// still open.
func (c *clientConn) isClean(wait time.Duration) bool {
	c.net.SetReadDeadline(time.Now().Add(wait))
	_, err := c.reader.Peek(1)
	if n := c.reader.Buffered(); n > 0 && c.last != nil {
		c.last.UnwantedBytes += n
		return false
	}
	return isTimeout(err)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// dispatcherClient holds the idle connections of all clients to one dispatcher. It is safe for concurrent use.
type dispatcherClient struct {
	name    string
	address string

	mu   sync.Mutex
	idle []*clientConn
}

// acquire returns an idle connection or a new one.
func (d *dispatcherClient) acquire() (*clientConn, error) {
	for {
		conn := d.popIdle()
		if conn == nil {
			break
		}
		if conn.isClean(reuseProbeTime) {
			return conn, nil
		}
		conn.net.Close()
	}
	conn, err := net.DialTimeout("tcp", d.address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{net: conn, reader: bufio.NewReader(conn)}, nil
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

// closeIdle closes the idle connections after a last check for bytes that nobody asked for.
func (d *dispatcherClient) closeIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conn := range d.idle {
		conn.isClean(closeProbeTime)
		conn.net.Close()
	}
	d.idle = nil
}

// unixSeconds converts a time to seconds since 1970.
func unixSeconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }

func unixNow() float64 { return unixSeconds(time.Now()) }

// seconds converts a time in seconds to a time.Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// send makes one attempt of a call and records in it what came of it. It returns the Retry-After of the response.
func (d *dispatcherClient) send(c *logicalCall, a *ClientAttempt) (retryAfter float64) {
	conn, err := d.acquire()
	a.Dispatcher = d.name
	a.SentAt = unixNow()
	if err != nil {
		a.NotAccepted = true
		a.Error = err.Error()
		return 0
	}
	conn.net.SetDeadline(time.Now().Add(seconds(c.waitTime(a))))
	conn.last = a
	response, err := conn.exchange(d.encodeRequest(c, a), a)
	if err == nil {
		a.AnsweredAt = unixNow()
		if response.Close {
			conn.net.Close()
		} else {
			d.release(conn)
		}
		retryAfter, _ = strconv.ParseFloat(response.Header.Get(retryAfterHeader), 64)
		return retryAfter
	}
	conn.net.Close()
	if a.Answer == AnswerReturned && !isTimeout(err) { // truncated: the client has no response, and knows
		a.Answer = AnswerFailed
		a.Error = "cut: " + err.Error()
		a.AnsweredAt = unixNow()
		return 0
	}
	a.Error = err.Error()
	a.ClientLeft = isTimeout(err) && c.leavesEarly(a)
	return 0
}

func (d *dispatcherClient) encodeRequest(c *logicalCall, a *ClientAttempt) string {
	request := fmt.Sprintf("POST /v2/models/%s/infer HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"+
		idempotencyKeyName+": %s\r\n"+timeoutHeader+": %.3f\r\n", a.Model, d.address, len(inferenceBody), a.Key, a.Timeout)
	if c.tenant != "" {
		request += tenantHeader + ": " + c.tenant + "\r\n"
	}
	if a.Number > 0 {
		request += retryHeader + ": true\r\n"
	}
	return request + "\r\n" + inferenceBody
}

// exchange sends a request and reads the complete response. The attempt gets what the response's head holds, even if its body
// is truncated.
func (c *clientConn) exchange(request string, a *ClientAttempt) (*http.Response, error) {
	if _, err := io.WriteString(c.net, request); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	a.Status = response.StatusCode
	a.Answer = Answer(response.Header.Get(answerHeader))
	a.Request = response.Header.Get(requestIDHeader)
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}
