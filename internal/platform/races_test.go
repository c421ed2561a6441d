package platform

import (
	"io"
	"net"
	"testing"
)

// crossing has one request come in and something happen to it at an exact place of the loop's turn: after its attempt
// was queued, in the turn in which the connection is begun (up false), or behind its bytes in the buffer of a connection
// that is up, before they are flushed (up true).
func (r *rig) crossing(c *client, group string, up bool, then func(k *call)) {
	r.t.Helper()
	done := make(chan struct{})
	r.on(func() {
		l := r.d.Loop
		turn := l.AfterEvents
		c.send(group, "in")
		for x := r.d.front.oldest.next; x != &r.d.front.oldest; x = x.next {
			x.conn.ReadNow()
		}
		if len(r.d.front.open) != 1 {
			r.t.Errorf("%d in hand", len(r.d.front.open))
		}
		var k *call
		for _, k = range r.d.front.open {
		}
		l.AfterEvents = func() {
			l.AfterEvents = turn
			turn() // the decisions ask for the attempt, and the link's pump is due
			act := func() { then(k); close(done) }
			if up {
				l.Defer(act) // between the pump's write and the flush
			} else {
				l.Defer(func() { l.Defer(act) }) // after the pump has begun to connect
			}
		}
	})
	<-done
}

// An attempt that has not left never does, whoever calls it off, wherever it waits.
func TestWhatIsCalledOffNeverLeaves(t *testing.T) {
	for name, off := range map[string]func(r *rig, k *call, w *scripted){
		"the client closes":  func(_ *rig, k *call, _ *scripted) { c := k.c; c.conn.Close(); c.Closed(nil, io.EOF) },
		"it takes it back":   func(r *rig, k *call, _ *scripted) { q := k.q; k.release(); r.d.Gateway.ClientGone(q) },
		"the decisions fail": func(r *rig, k *call, _ *scripted) { r.d.Gateway.Fail(k.q.ID()) },
		"the worker drains": func(r *rig, _ *call, w *scripted) {
			r.d.feed.body = append(r.d.feed.body[:0], `{"seq":2,"results":[{"seq":2,"fleet":{"members":[`+w.member("leaving", 0)+`]}}]}`...)
			r.d.feed.call.Cancel()
			r.d.feed.ResponseDone(nil)
		},
		"the worker is gone": func(r *rig, _ *call, w *scripted) {
			r.d.feed.body = append(r.d.feed.body[:0], `{"seq":2,"results":[{"seq":2,"fleet":{"members":[`+w.member("left", 0)+`]}}]}`...)
			r.d.feed.call.Cancel()
			r.d.feed.ResponseDone(nil)
		},
	} {
		for _, up := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", connection up", false: ", connection coming up"}[up], func(t *testing.T) {
				w := newWorker(t, "w1", fine)
				r := newRig(t, "load", w)
				before := 0
				if up {
					r.expect("read", "returned")
					before = 1
				}
				r.crossing(r.dial2(), "once", up, func(k *call) { off(r, k, w) })
				r.until("what was begun has ended", func() bool {
					for c := range r.d.front.workers.conns {
						if !c.up {
							return false
						}
					}
					return r.d.Gateway.InFlight() == 0 || name != "the client closes"
				})
				// The worker reads in order: what had left before a probe on the same connections is there before its answer.
				probes := 0
				r.on(func() {
					for c := range r.d.front.workers.conns {
						c.conn.Write([]byte("gauges z\r\n"))
						probes++
					}
				})
				for len(w.seen("gauges")) < probes {
					r.on(func() {})
				}
				if n := len(w.seen("invoke")); n != before {
					t.Errorf("%d forwards left, %d wanted", n, before)
				}
			})
		}
	}
}

// dial2 is a client whose connection has been accepted.
func (r *rig) dial2() *client {
	r.t.Helper()
	c := r.dial()
	c.Write(alive(1))
	if _, ok := c.answer(); !ok {
		r.t.Fatal("no answer to alive")
	}
	c.seq = 1
	return c
}

// An answer and the worker's close in one read: the answer counts, and the close is no failure of the request.
func TestAnswerAndCloseInOneRead(t *testing.T) {
	w := newWorker(t, "w1", func(c net.Conn, m seen) { fine(c, m); c.Close() })
	r := newRig(t, "load", w)
	for range 20 {
		r.expect("once", "returned")
		r.until("the close is seen", func() bool { return len(r.d.front.workers.conns) == 0 }) // the next would cross it
	}
	if n := len(w.seen("invoke")); n != 20 {
		t.Errorf("%d forwards of 20", n)
	}
}

// A client that half-closes after other bytes has gone: what it asked in them is not sent on further.
func TestLeavingBehindOtherBytes(t *testing.T) {
	full := func(c net.Conn, m seen) { reply("overload", "-", "")(c, m) }
	w := newWorker(t, "w1", silent, full)
	r := newRig(t, "load", w)
	c := r.dial2()
	var all []byte
	for seq := int32(2); seq < 12; seq++ {
		all = append(all, request(seq, "once", "in")...)
	}
	c.Write(all)
	c.Conn.(*net.TCPConn).CloseWrite()
	r.idle()
	n := len(w.seen("invoke"))
	r.on(func() {})
	if later := len(w.seen("invoke")); later > n+1 {
		t.Errorf("%d forwards after it had gone", later-n)
	}
}

// Handshakes are paid for over the whole fleet: a second connection to a worker is opened only when the first carries some.
func TestSpareConnectionsAreFew(t *testing.T) {
	w := newWorker(t, "w1", fine, silent)
	r := newRig(t, "load", w)
	r.expect("read", "returned") // the copy is warm
	c := r.dial2()
	for n := 1; n <= spareLeast+1; n++ {
		c.send("read", "in")
		r.until("it is out", func() bool { return len(w.seen("invoke")) == n+1 })
		want := 1
		if n >= spareLeast {
			want = 2
		}
		r.until("the connections are up", func() bool {
			for x := range r.d.front.workers.conns {
				if !x.up {
					return false
				}
			}
			return true
		})
		r.on(func() {
			if got := len(r.d.front.workers.conns); got != want {
				t.Errorf("%d connections with %d forwards out, want %d", got, n, want)
			}
		})
	}
}

// An attempt that waits for a descriptor goes out as soon as another connection is idle, and not only with the next one.
func TestWaitingForADescriptor(t *testing.T) {
	workers := []*scripted{newWorker(t, "w1", silent), newWorker(t, "w2", silent)}
	r := newRig(t, "load", workers...)
	r.on(func() { r.d.front.workers.most = 1 - reservedWorkers }) // one connection in all
	c := r.dial2()
	waits := false
	for n := 1; n < 30 && !waits; n++ { // models new each time, until one has its home at the other worker
		c.send("read", "in", "entity="+newID())
		r.until("it is out or waits", func() bool {
			waits = len(r.d.front.workers.starved) > 0
			return waits || len(workers[0].seen("invoke"))+len(workers[1].seen("invoke")) == n
		})
	}
	if !waits {
		t.Fatal("no forward had to wait")
	}
	held, other := workers[0], workers[1]
	if len(held.seen("invoke")) == 0 {
		held, other = other, held
	}
	for _, m := range held.seen("invoke") {
		say(m.conn, m, "served", "detail=resident", "well")
	}
	r.until("the one that waited is out", func() bool { return len(other.seen("invoke")) == 1 })
}

// Connections that keep half a message back for good make room for others.
func TestHalfMessagesMakeRoom(t *testing.T) {
	r := newRig(t, "load", newWorker(t, "w1", fine))
	r.on(func() { r.d.front.most = 8 })
	for range 8 {
		r.dial().Write(request(1, "read", "in")[:40])
	}
	r.until("all are in part", func() bool {
		n := 0
		for c := r.d.front.oldest.next; c != &r.d.front.oldest; c = c.next {
			if c.part {
				n++
			}
		}
		return n == 8
	})
	r.expect("read", "returned")
	if n := r.refused("idle_closed"); n != 1 {
		t.Errorf("%d closed to make room", n)
	}
}

// A connection whose time is up is not closed over bytes that lie unread.
func TestExpiryReadsFirst(t *testing.T) {
	r := newRig(t, "load", newWorker(t, "w1", fine))
	c := r.dial()
	r.until("it is accepted", func() bool { return r.d.front.conns == 1 })
	r.on(func() {
		c.send("once", "in")
		r.d.front.oldest.next.expired()
	})
	if a, ok := c.answer(); !ok || kind(a) != "returned" {
		t.Errorf("%+v, open %v", a, ok)
	}
	idle := r.dial()
	r.until("it is accepted", func() bool { return r.d.front.conns == 2 })
	r.on(func() {
		for x := r.d.front.oldest.next; x != &r.d.front.oldest; x = x.next {
			if !x.used {
				x.expired()
				break
			}
		}
	})
	if a, ok := idle.answer(); ok {
		t.Errorf("%+v", a)
	}
}
