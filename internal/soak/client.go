package soak

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/apache/thrift/lib/go/thrift"
)

const (
	waitBeyond   = 0.7  // s that a client goes on waiting past its time
	crossSpan    = 0.05 // s before a close within which a request is sent again
	requestEvery = 0.03 // s between the requests of one client, in the mean
	idleClient   = 4.0  // s after which clients close
	maxAnswer    = 1 << 20
)

// message encodes by the published library, in a frame.
func message(f func(ctx context.Context, p *thrift.TBinaryProtocol)) []byte {
	buf := thrift.NewTMemoryBuffer()
	p := thrift.NewTBinaryProtocolConf(buf, &thrift.TConfiguration{})
	ctx := context.Background()
	f(ctx, p)
	p.Flush(ctx)
	return append(binary.BigEndian.AppendUint32(nil, uint32(buf.Len())), buf.Bytes()...)
}

func callMessage(seq int32, fields map[string]string, body []byte) []byte {
	return message(func(ctx context.Context, p *thrift.TBinaryProtocol) {
		p.WriteMessageBegin(ctx, "dispatch", thrift.CALL, seq)
		p.WriteFieldBegin(ctx, "fields", thrift.MAP, 1)
		p.WriteMapBegin(ctx, thrift.STRING, thrift.STRING, len(fields))
		for k, v := range fields {
			p.WriteString(ctx, k)
			p.WriteString(ctx, v)
		}
		p.WriteFieldBegin(ctx, "body", thrift.STRING, 2)
		p.WriteBinary(ctx, body)
		p.WriteFieldStop(ctx)
	})
}

func cancelMessage(seq, target int32) []byte {
	return message(func(ctx context.Context, p *thrift.TBinaryProtocol) {
		p.WriteMessageBegin(ctx, "cancelRequest", thrift.ONEWAY, seq)
		p.WriteFieldBegin(ctx, "seqid", thrift.I32, 1)
		p.WriteI32(ctx, target)
		p.WriteFieldStop(ctx)
	})
}

func aliveMessage(seq int32) []byte {
	return message(func(ctx context.Context, p *thrift.TBinaryProtocol) {
		p.WriteMessageBegin(ctx, "alive", thrift.CALL, seq)
		p.WriteFieldBegin(ctx, "unused", thrift.BOOL, 1)
		p.WriteBool(ctx, true)
		p.WriteFieldStop(ctx)
	})
}

// reply is an answer as a client reads it.
type reply struct {
	seq    int32
	ending Ending
	body   string
	good   bool
}

// readReply reads one answer by the published library.
func readReply(frame []byte) (r reply, err error) {
	buf := thrift.NewTMemoryBuffer()
	buf.Write(frame)
	p := thrift.NewTBinaryProtocolConf(buf, &thrift.TConfiguration{})
	ctx := context.Background()
	_, kind, seq, err := p.ReadMessageBegin(ctx)
	if r.seq = seq; err != nil {
		return r, err
	}
	if kind == thrift.EXCEPTION {
		r.ending = Failed
		return r, nil
	}
	_, _, id, err := p.ReadFieldBegin(ctx)
	if err != nil {
		return r, err
	}
	switch id {
	case 1:
		r.ending = Shed
		return r, p.Skip(ctx, thrift.STRUCT)
	case 2:
		r.ending = Failed
		return r, p.Skip(ctx, thrift.STRUCT)
	}
	r.ending = Served
	for {
		_, kind, id, err := p.ReadFieldBegin(ctx)
		if err != nil {
			return r, err
		}
		if kind == thrift.STOP {
			return r, nil
		}
		switch id {
		case 1:
			b, err := p.ReadBinary(ctx)
			if err != nil {
				return r, err
			}
			r.body = string(b)
		case 3:
			if r.good, err = p.ReadBool(ctx); err != nil {
				return r, err
			}
		default:
			if err := p.Skip(ctx, kind); err != nil {
				return r, err
			}
		}
	}
}

// readFrame reads one frame.
func readFrame(r io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxAnswer {
		return nil, fmt.Errorf("a frame of %d bytes", n)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, errors.Join(io.ErrUnexpectedEOF, err)
	}
	return b, nil
}

// clientConn is one connection of a client.
type clientConn struct {
	c        net.Conn
	s        *stage
	seq      int32
	mu       sync.Mutex
	open     map[int32]*Request
	dead     bool
	half     bool // the client has closed its side, and reads on
	answered bool // once at least
	done     chan struct{}
}

// client is one client of one dispatcher.
type client struct {
	s    *stage
	p    *process
	rnd  *rand.Rand
	conn *clientConn
	wg   sync.WaitGroup
}

func (c *client) connect() (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", c.p.address, time.Second)
	if err != nil {
		return nil, err
	}
	k := &clientConn{c: conn, s: c.s, open: map[int32]*Request{}, done: make(chan struct{})}
	go k.read()
	return k, nil
}

// read takes answers until the connection ends.
func (k *clientConn) read() {
	defer close(k.done)
	for {
		frame, err := readFrame(k.c)
		now := k.s.hist.Now()
		if err != nil {
			k.ended(now, errors.Is(err, io.ErrUnexpectedEOF))
			return
		}
		r, err := readReply(frame)
		k.mu.Lock()
		q, dead := k.open[r.seq], k.dead
		k.answered = true
		delete(k.open, r.seq)
		k.mu.Unlock()
		if dead { // closed by the client a moment ago
			continue
		}
		k.s.hist.update(func() {
			switch {
			case err != nil:
				k.s.hist.Stray = append(k.s.hist.Stray, "an answer that can't be read: "+err.Error())
			case q == nil:
				k.s.hist.Stray = append(k.s.hist.Stray, fmt.Sprintf("an answer to number %d, which is not open", r.seq))
			case q.Ending == unending:
				q.Ending, q.Ended, q.Body, q.Answers = r.ending, now, r.body, 1
			}
		})
	}
}

// ended notes that the connection ended; what was open on it has no answer.
func (k *clientConn) ended(now float64, cut bool) {
	k.c.Close()
	k.mu.Lock()
	open := k.open
	k.open, k.dead = map[int32]*Request{}, true
	k.mu.Unlock()
	k.s.hist.update(func() {
		for _, q := range open {
			if q.Ending != unending {
				continue
			}
			q.Ending, q.Ended, q.Alone = Closed, now, len(open) == 1 && k.seq > 1
			if cut {
				q.Ending = Garbled
			}
		}
	})
}

func (c *client) run(stop <-chan struct{}) {
	defer c.wg.Wait()
	for {
		wait := time.Duration(c.rnd.ExpFloat64() * requestEvery * 1e9)
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
		c.one()
	}
}

// one sends one request where its dispatcher takes any.
func (c *client) one() {
	newConn, old := c.p.takes(c.s.hist.Now())
	if !old {
		return
	}
	if k := c.conn; k != nil {
		k.mu.Lock()
		dead, open := k.dead || k.half, len(k.open)
		k.mu.Unlock()
		if dead || c.rnd.IntN(20) == 0 && open == 0 { // clients come and go
			if !dead {
				k.c.Close()
			}
			c.conn = nil
		} else if open >= 8 {
			return
		}
	}
	if c.conn == nil {
		if !newConn {
			return
		}
		k, err := c.connect()
		if err != nil {
			return // never accepted: nothing is owed
		}
		c.conn = k
	}
	c.send(c.conn, c.draw(), true)
}

func (c *client) draw() *Request {
	class := pick(c.rnd, ReadClass, ReadClass, WriteClass, OnceClass)
	q := &Request{ID: fmt.Sprintf("%016x", c.rnd.Uint64()), Class: class, Dispatcher: c.p.index, Ending: unending,
		Patience: c.s.plan.Site.Deadline * (0.6 + 0.4*c.rnd.Float64())}
	if class == WriteClass {
		q.Key = fmt.Sprintf("%032x", c.rnd.Uint64())
	}
	return q
}

// send writes a request, and waits for its end in the background.
func (c *client) send(k *clientConn, q *Request, again bool) {
	fields := map[string]string{"route": string(q.Class), "trace": q.ID, "patience": strconv.Itoa(int(q.Patience * 1e3)),
		"entity": fmt.Sprintf("%016x", 0xabc0+c.rnd.IntN(6)), "weight": "4", "extras": "memory_mb:100;lanes:1;load_ms:40"}
	if q.Key != "" {
		fields["nonce"] = q.Key
	}
	body := make([]byte, c.rnd.IntN(300))
	if c.rnd.IntN(20) == 0 {
		body = make([]byte, 12<<10)
	}
	k.mu.Lock()
	if k.dead || k.half {
		k.mu.Unlock()
		return
	}
	k.seq++
	seq, isNew := k.seq, !k.answered
	k.open[seq] = q
	k.mu.Unlock()
	q.Patience = float64(int(q.Patience*1e3)) / 1e3
	q.Local, q.New = k.c.LocalAddr().String(), isNew
	q.Sent = c.s.hist.Now()
	c.s.hist.request(q)
	_, err := k.c.Write(callMessage(seq, fields, body))
	now := c.s.hist.Now()
	c.s.hist.update(func() {
		q.Sent = now
		if err != nil && (q.Ending == unending || q.Ending == Closed) { // it was never whole
			q.Ending, q.Ended = Refused, now
		}
	})
	leave := -1.0
	if t := c.s.find(ClientsCancel, c.p.index); t != nil && c.rnd.IntN(2) == 0 || c.rnd.IntN(40) == 0 {
		leave = c.rnd.Float64() * 0.05
	}
	c.wg.Add(1)
	go c.follow(k, q, seq, departure{after: leave, closes: c.rnd.IntN(3) == 0, half: c.rnd.IntN(2) == 0}, again)
}

// departure is how a client leaves before its answer: by a cancel, a close, or a close of its side only. A negative time
// means that it stays.
type departure struct {
	after        float64
	closes, half bool
}

// follow waits for the end of a request: an answer, a close, or the end of its time; or it leaves before.
func (c *client) follow(k *clientConn, q *Request, seq int32, d departure, again bool) {
	defer c.wg.Done()
	h := c.s.hist
	if d.after >= 0 {
		time.Sleep(time.Duration(d.after * 1e9))
		if d.closes && d.half {
			k.halfClose()
		} else if d.closes {
			now := h.Now()
			k.mu.Lock()
			open := k.open
			k.open, k.dead = map[int32]*Request{}, true
			k.mu.Unlock()
			k.c.Close()
			done := h.Now()
			h.update(func() {
				for _, o := range open {
					if o.Ending == unending {
						o.Ending, o.Left, o.Ended = Gone, done, now
					}
				}
			})
			return
		}
		k.mu.Lock()
		_, open := k.open[seq]
		half := k.half
		k.mu.Unlock()
		if open && !half {
			now := h.Now()
			_, err := k.c.Write(cancelMessage(seq, seq))
			done := h.Now()
			h.update(func() {
				if q.Ending == unending && err == nil {
					q.Ending, q.Ended, q.Left = Gone, now, done
				}
			})
			// its answer may cross the cancel, so its number stays open
		}
	}
	deadline := time.NewTimer(time.Duration((q.Patience + waitBeyond + 2) * 1e9))
	defer deadline.Stop()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		ended, crossed := false, false
		h.update(func() {
			ended = q.Ending != unending
			crossed = q.Ending == Closed && q.Alone && q.Ended-q.Sent <= crossSpan
		})
		if crossed && again {
			c.sendAgain(q)
			return
		}
		if ended {
			return
		}
		select {
		case <-deadline.C:
			h.update(func() {
				if q.Ending == unending {
					q.Ending, q.Ended = NoAnswer, h.Now()
				}
			})
			return
		case <-tick.C:
		}
	}
}

// halfClose closes the client's side; what is open is owed its answer still, and no new attempt.
func (k *clientConn) halfClose() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.dead || k.half {
		return
	}
	k.half = true
	k.c.(*net.TCPConn).CloseWrite()
	now := k.s.hist.Now()
	k.s.hist.update(func() {
		for _, o := range k.open {
			o.Left = now
		}
	})
}

// sendAgain sends, once and on a new connection, a request that crossed the close of a resting one.
func (c *client) sendAgain(q *Request) {
	h := c.s.hist
	newConn, _ := c.p.takes(h.Now())
	if !newConn {
		return
	}
	k, err := c.connect()
	if err != nil {
		return
	}
	next := &Request{ID: q.ID, Class: q.Class, Key: q.Key, Dispatcher: q.Dispatcher, Patience: q.Patience, Ending: unending}
	h.update(func() { q.Ending = Crossed })
	other := &client{s: c.s, p: c.p, rnd: rand.New(rand.NewPCG(c.s.plan.Seed, uint64(q.Sent*1e6)))}
	other.send(k, next, false)
	other.wg.Wait()
	k.c.Close()
}

// flood opens connections that say nothing, half a message or noise, until the trouble is over.
func (s *stage) flood(t Trouble, p *process) {
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	rnd := rand.New(rand.NewPCG(s.plan.Seed, uint64(t.From*1e6)))
	for range 40 {
		if s.hist.Now() > t.To {
			break
		}
		c, err := net.DialTimeout("tcp", p.address, 200*time.Millisecond)
		if err != nil {
			continue
		}
		conns = append(conns, c)
		switch rnd.IntN(4) {
		case 0:
			c.Write([]byte{0, 0, 1, 0, 0x80, 1})
		case 1:
			c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		case 2:
			for i := range int32(20) {
				c.Write(cancelMessage(i, i+1))
			}
		}
	}
	time.Sleep(time.Duration(max(0, t.To-s.hist.Now()) * 1e9))
}

// alive asks a dispatcher whether it can serve.
func alive(address string) bool {
	c, err := net.DialTimeout("tcp", address, 300*time.Millisecond)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(500 * time.Millisecond))
	if _, err := c.Write(aliveMessage(1)); err != nil && !errors.Is(err, syscall.EPIPE) {
		return false
	}
	frame, err := readFrame(c)
	if err != nil {
		return false
	}
	r, err := readReply(frame)
	return err == nil && r.ending == Served && r.good
}
