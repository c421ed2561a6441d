package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
)

// request is one request of a client, with its end.
type request struct {
	id, class, key, model string
	dispatcher            string
	sentAt, patience      float64
	end                   string // served, shed, failed, exception, closed
	endedAt               float64
}

// clients are the stand-ins of the clients of one dispatcher. Each connection carries up to 32 requests.
type clients struct {
	rec      *record
	name     string
	addr     string
	mu       sync.Mutex
	requests []*request
	conns    []*clientConn
	size     int
}

type clientConn struct {
	conn    net.Conn
	mu      sync.Mutex
	lastSeq int32
	open    map[int32]*request
	closed  bool
}

const bodyBytes = 512

// newClients returns clients with a number of connections to a dispatcher.
func (w *world) newClients(d *dispatcher, size int) *clients {
	return &clients{rec: w.rec, name: d.name, addr: d.addr, size: size}
}

// text appends a string of the Thrift binary protocol.
func text(b []byte, s string) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(s)))
	return append(b, s...)
}

// frame returns a message in a frame.
func frame(kind byte, method string, seq int32, args []byte) []byte {
	b := []byte{0, 0, 0, 0, 0x80, 1, 0, kind}
	b = text(b, method)
	b = binary.BigEndian.AppendUint32(b, uint32(seq))
	b = append(b, args...)
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	return b
}

// dispatchArgs returns the arguments of a request.
func dispatchArgs(fields map[string]string, body []byte) []byte {
	b := []byte{13, 0, 1, 11, 11}
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)))
	for name, value := range fields {
		b = text(text(b, name), value)
	}
	b = append(b, 11, 0, 2)
	return append(text(b, string(body)), 0)
}

// alive asks the dispatcher whether it is alive.
func (d *dispatcher) alive() bool {
	conn, err := net.Dial("tcp4", d.addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.Write(frame(1, "alive", 1, []byte{2, 0, 1, 1, 0}))
	answer, err := readFrame(conn)
	return err == nil && bytes.Contains(answer, []byte{2, 0, 3, 1})
}

func readFrame(conn io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > 1<<20 || n < 12 {
		return nil, errors.New("length of a frame is out of range")
	}
	payload := make([]byte, n)
	_, err := io.ReadFull(conn, payload)
	return payload, err
}

// newID returns 16 hex digits.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newKey returns an idempotency key.
func newKey() string { return newID() + newID() }

// send sends a request on an open connection, or on a new one where none is free.
func (c *clients) send(class, key, model string, patience float64) *request {
	conn := c.pick()
	r := &request{id: newID(), class: class, key: key, model: model, dispatcher: c.name, patience: patience}
	fields := map[string]string{"route": class, "trace": r.id, "patience": strconv.Itoa(int(patience * 1000)), "entity": model,
		"weight": "170", "extras": "memory_mb:3000;lanes:8;load_ms:1400"}
	if key != "" {
		fields["nonce"] = key
	}
	c.mu.Lock()
	c.requests = append(c.requests, r)
	c.mu.Unlock()
	if conn == nil {
		r.end, r.sentAt, r.endedAt = "not taken", c.rec.now(), c.rec.now()
		return r
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.closed {
		r.end, r.sentAt, r.endedAt = "not taken", c.rec.now(), c.rec.now()
		return r
	}
	conn.lastSeq++
	conn.open[conn.lastSeq] = r
	r.sentAt = c.rec.now()
	conn.conn.Write(frame(1, "dispatch", conn.lastSeq, dispatchArgs(fields, make([]byte, bodyBytes))))
	c.rec.printf("client of %s sends %s class %s key %s model %s patience %.3f", c.name, r.id, class, key, model, patience)
	return r
}

// pick returns a connection with room. It opens one if there are fewer than size.
func (c *clients) pick() *clientConn {
	c.mu.Lock()
	conns := slices.Clone(c.conns)
	c.mu.Unlock()
	var usable []*clientConn
	for _, conn := range conns {
		conn.mu.Lock()
		if !conn.closed && len(conn.open) < 32 {
			usable = append(usable, conn)
		}
		conn.mu.Unlock()
	}
	if len(usable) >= c.size {
		return usable[rand.IntN(len(usable))]
	}
	raw, err := net.Dial("tcp4", c.addr)
	if err != nil {
		return nil
	}
	conn := &clientConn{conn: raw, open: map[int32]*request{}}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	go c.read(conn)
	return conn
}

// read reads the answers on a connection.
func (c *clients) read(conn *clientConn) {
	for {
		payload, err := readFrame(conn.conn)
		conn.mu.Lock()
		if err != nil {
			conn.closed = true
			for _, r := range conn.open {
				c.finish(r, "closed")
			}
			conn.open = nil
			conn.mu.Unlock()
			conn.conn.Close()
			return
		}
		seq, end := parseAnswer(payload)
		if end == "failed" || end == "exception" {
			c.rec.printf("client of %s reads %q", c.name, payload[12:])
		}
		if r := conn.open[seq]; r != nil {
			delete(conn.open, seq)
			c.finish(r, end)
		}
		conn.mu.Unlock()
	}
}

// parseAnswer returns the sequence number and the kind of an answer.
func parseAnswer(payload []byte) (seq int32, end string) {
	n := int(binary.BigEndian.Uint32(payload[4:]))
	if 8+n+4 > len(payload) {
		return 0, "unreadable"
	}
	seq = int32(binary.BigEndian.Uint32(payload[8+n:]))
	rest := payload[12+n:]
	switch {
	case payload[3] == 3:
		return seq, "exception"
	case bytes.HasPrefix(rest, []byte{12, 0, 0}):
		return seq, "served"
	case bytes.HasPrefix(rest, []byte{12, 0, 1}):
		return seq, "shed"
	case bytes.HasPrefix(rest, []byte{12, 0, 2}):
		return seq, "failed"
	}
	return seq, "unreadable"
}

func (c *clients) finish(r *request, end string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.end = end
	r.endedAt = c.rec.now()
	c.rec.printf("client of %s gets %s: %s after %.3f s", c.name, r.id, end, r.endedAt-r.sentAt)
}

// counts returns how the requests ended.
func (c *clients) counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for _, r := range c.requests {
		counts[r.class+" "+r.end]++
	}
	return counts
}
