package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// request is one request of a client.
type request struct {
	id, class, model, key string
	patience              time.Duration

	sentAt     float64
	answers    []answer
	answeredAt float64 // of the first answer
	lost       string  // why it can't get an answer any more
	done       chan struct{}
}

// newRequest returns a request with a new id. key is empty in classes without one.
func newRequest(class, model, key string, patience time.Duration) *request {
	return &request{id: randomHex(), class: class, model: model, key: key, patience: patience, done: make(chan struct{})}
}

// randomHex returns 16 hex digits.
func randomHex() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// client is one connection of a client to a dispatcher. Its methods may be called from any goroutine.
type client struct {
	rec  *record
	conn net.Conn

	mu      sync.Mutex
	lastSeq int32
	open    map[int32]*request
	closed  bool
}

// dialClient connects to a dispatcher.
func dialClient(rec *record, address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{rec: rec, conn: conn, open: map[int32]*request{}}
	go c.readAnswers()
	return c, nil
}

// send sends a request. Its answer, or its loss, closes done.
func (c *client) send(r *request) {
	fields := map[string]string{
		"route": r.class, "trace": r.id, "entity": r.model, "patience": fmt.Sprint(r.patience.Milliseconds()),
		"weight": "8.2", "extras": "memory_mb:512;lanes:8;load_ms:640",
	}
	if r.key != "" {
		fields["nonce"] = r.key
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastSeq++
	c.open[c.lastSeq] = r
	r.sentAt = c.rec.add("client    sends     %s %s model %s key %s patience %d ms", r.id, r.class, r.model, r.key, r.patience.Milliseconds())
	if c.closed {
		c.lose(r, net.ErrClosed)
		return
	}
	_, err := c.conn.Write(dispatchFrame(c.lastSeq, fields, "body of "+r.id))
	if err != nil {
		c.lose(r, err)
	}
}

// lose records that a request can't get an answer. The caller holds mu.
func (c *client) lose(r *request, why error) {
	if r.lost == "" && len(r.answers) == 0 {
		r.lost = why.Error()
		c.rec.add("client    lost      %s: %v", r.id, why)
		close(r.done)
	}
}

func (c *client) readAnswers() {
	in := bufio.NewReader(c.conn)
	for {
		a, err := readAnswer(in)
		c.mu.Lock()
		if err != nil {
			c.closed = true
			for _, r := range c.open {
				c.lose(r, err)
			}
			c.mu.Unlock()
			return
		}
		r := c.open[a.seq]
		if r != nil {
			at := c.rec.add("client    gets      %s %s %q after %.3f s", r.id, a.word, a.body, c.rec.now()-r.sentAt)
			r.answers = append(r.answers, a)
			if len(r.answers) == 1 {
				r.answeredAt = at
				close(r.done)
			}
		}
		c.mu.Unlock()
	}
}

// close closes the connection.
func (c *client) close() { c.conn.Close() }

// isAlive asks a dispatcher whether it is ready.
func isAlive(address string) bool {
	conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(500 * time.Millisecond))
	_, err = conn.Write(aliveFrame(1))
	if err != nil {
		return false
	}
	a, err := readAnswer(conn)
	return err == nil && a.good
}
