package lab

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The clients speak to their sockets directly, so that what came on them is recorded as it came: an answer that
// follows another, one cut short, none at all.

// gateway is one dispatcher as clients see it.
type gateway struct {
	name string
	addr string
	mu   sync.Mutex
	idle []*line
}

// line is one connection.
type line struct {
	c    net.Conn
	r    *bufio.Reader
	last *Try
}

// extra looks for bytes that nobody asked for; false means that the connection is over.
func (l *line) extra(wait time.Duration) bool {
	l.c.SetReadDeadline(time.Now().Add(wait))
	_, err := l.r.Peek(1)
	if n := l.r.Buffered(); n > 0 && l.last != nil {
		l.last.Extra += n
		return false
	}
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

func (g *gateway) take() (*line, error) {
	for {
		g.mu.Lock()
		n := len(g.idle)
		if n == 0 {
			g.mu.Unlock()
			break
		}
		l := g.idle[n-1]
		g.idle = g.idle[:n-1]
		g.mu.Unlock()
		if l.extra(200 * time.Microsecond) {
			return l, nil
		}
		l.c.Close()
	}
	c, err := net.DialTimeout("tcp", g.addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &line{c: c, r: bufio.NewReader(c)}, nil
}

func (g *gateway) put(l *line) {
	g.mu.Lock()
	g.idle = append(g.idle, l)
	g.mu.Unlock()
}

// closeIdle ends the connections, and looks a last time for bytes nobody asked for.
func (g *gateway) closeIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.idle {
		l.extra(time.Millisecond)
		l.c.Close()
	}
	g.idle = nil
}

func unix(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }

// try makes one try and fills it in. patience is how long the client stays, at most the timeout it tells. It returns
// the retry-after of a shed answer.
func (g *gateway) try(t *Try, tenant string, patience float64, repeat bool) (retryAfter float64) {
	l, err := g.take()
	t.Dispatcher, t.Sent = g.name, unix(time.Now())
	if err != nil {
		t.Refused, t.Error = true, err.Error()
		return 0
	}
	body := `{"inputs":[]}`
	head := fmt.Sprintf("POST /v2/models/%s/infer HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"+
		"Idempotency-Key: %s\r\nMastchute-Timeout: %.3f\r\n", t.Model, g.addr, len(body), t.Key, t.Timeout)
	if tenant != "" {
		head += "Mastchute-Tenant: " + tenant + "\r\n"
	}
	if repeat {
		head += "Mastchute-Repeat: true\r\n"
	}
	start := time.Now()
	wait := t.Timeout + 2*answerSlack
	if patience < t.Timeout {
		wait = patience
	}
	l.c.SetDeadline(start.Add(time.Duration(wait * float64(time.Second))))
	l.last = t
	if _, err = io.WriteString(l.c, head+"\r\n"+body); err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(l.r, nil); err == nil {
			t.Status, t.Answer, t.Request = resp.StatusCode, resp.Header.Get("Mastchute-Answer"), resp.Header.Get("Mastchute-Inference")
			retryAfter, _ = strconv.ParseFloat(resp.Header.Get("Mastchute-Retry-After"), 64)
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if err != nil && t.Answer == "returned" && !timedOut(err) { // cut off: the client has no answer, and knows
				t.Answer, t.Error = "failed", "cut: "+err.Error()
				t.Answered = unix(time.Now())
				l.c.Close()
				return 0
			}
			if err == nil {
				t.Answered = unix(time.Now())
				if resp.Close {
					l.c.Close()
				} else {
					g.put(l)
				}
				return retryAfter
			}
		}
	}
	l.c.Close()
	t.Error = err.Error()
	t.Left = timedOut(err) && patience < t.Timeout
	return 0
}

func timedOut(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// crowd is all clients of a day.
type crowd struct {
	day      *Day
	gateways []*gateway
	mu       sync.Mutex
	tries    []*Try
	wait     sync.WaitGroup
}

// load plays the arrivals of the day: open loop.
func (c *crowd) load(ctx context.Context, begin time.Time) {
	for next := c.day.arrivals(); ; {
		a, ok := next()
		if !ok {
			break
		}
		time.Sleep(time.Until(begin.Add(time.Duration(a.at * float64(time.Second)))))
		if ctx.Err() != nil {
			break
		}
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			c.call(newCaller(c.day, a, len(c.gateways)))
		}()
	}
	c.wait.Wait()
	for _, g := range c.gateways {
		g.closeIdle()
	}
}

// call plays one logical call.
func (c *crowd) call(k *caller) {
	begin := time.Now()
	for {
		t, ok := k.next(time.Since(begin).Seconds())
		if !ok {
			return
		}
		again, made := 0.0, *t
		for i := range c.gateways { // one that refuses connections is passed over: nothing was taken there
			*t = made
			if again = c.gateways[(k.first+i)%len(c.gateways)].try(t, k.tenant, k.patience, t.Number > 0); !t.Refused {
				break
			}
		}
		c.mu.Lock()
		c.tries = append(c.tries, t)
		c.mu.Unlock()
		wait, ok := k.after(t, again)
		if !ok {
			return
		}
		time.Sleep(time.Duration(wait * float64(time.Second)))
	}
}
