package platform

import (
	"io"
	"net"
	"testing"
)

// interceptAttempt has one request come in and something happen to it at an exact place of the loop's turn: after its attempt
// was queued, in the turn in which the connection is begun (up false), or behind its bytes in the buffer of a connection
// that is up, before they are flushed (up true).
func (r *harness) interceptAttempt(c *testClient, group string, up bool, then func(k *clientRequest)) {
	r.t.Helper()
	done := make(chan struct{})
	r.onLoop(func() {
		l := r.dispatcher.Loop
		turn := l.AfterEvents
		c.send(group, "in")
		for x := r.dispatcher.clients.connRing.next; x != &r.dispatcher.clients.connRing; x = x.next {
			x.conn.ReadNow()
		}
		if len(r.dispatcher.clients.inFlight) != 1 {
			r.t.Errorf("%d in hand", len(r.dispatcher.clients.inFlight))
		}
		var k *clientRequest
		for _, k = range r.dispatcher.clients.inFlight {
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
	for name, off := range map[string]func(r *harness, k *clientRequest, w *fakeWorker){
		"the client closes": func(_ *harness, k *clientRequest, _ *fakeWorker) { c := k.conn; c.conn.Close(); c.Closed(nil, io.EOF) },
		"it takes it back": func(r *harness, k *clientRequest, _ *fakeWorker) {
			q := k.request
			k.release()
			r.dispatcher.Gateway.ClientGone(q)
		},
		"the decisions fail": func(r *harness, k *clientRequest, _ *fakeWorker) { r.dispatcher.Gateway.Fail(k.request.ID()) },
		"the worker drains": func(r *harness, _ *clientRequest, w *fakeWorker) {
			r.dispatcher.watch.body = append(r.dispatcher.watch.body[:0], `{"seq":2,"results":[{"seq":2,"fleet":{"members":[`+w.memberJSON("leaving", 0)+`]}}]}`...)
			r.dispatcher.watch.call.Cancel()
			r.dispatcher.watch.ResponseDone(nil)
		},
		"the worker is gone": func(r *harness, _ *clientRequest, w *fakeWorker) {
			r.dispatcher.watch.body = append(r.dispatcher.watch.body[:0], `{"seq":2,"results":[{"seq":2,"fleet":{"members":[`+w.memberJSON("left", 0)+`]}}]}`...)
			r.dispatcher.watch.call.Cancel()
			r.dispatcher.watch.ResponseDone(nil)
		},
	} {
		for _, up := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", connection up", false: ", connection coming up"}[up], func(t *testing.T) {
				w := newFakeWorker(t, "w1", respondServed)
				r := newHarness(t, "load", w)
				before := 0
				if up {
					r.expect("read", "returned")
					before = 1
				}
				r.interceptAttempt(r.dialAccepted(), "once", up, func(k *clientRequest) { off(r, k, w) })
				r.waitFor("what was begun has ended", func() bool {
					for c := range r.dispatcher.clients.workers.conns {
						if !c.established {
							return false
						}
					}
					return r.dispatcher.Gateway.InFlight() == 0 || name != "the client closes"
				})
				// The worker reads in order: what had left before a probe on the same connections is there before its answer.
				probes := 0
				r.onLoop(func() {
					for c := range r.dispatcher.clients.workers.conns {
						c.conn.Write([]byte("gauges z\r\n"))
						probes++
					}
				})
				for len(w.messages("gauges")) < probes {
					r.onLoop(func() {})
				}
				if n := len(w.messages("invoke")); n != before {
					t.Errorf("%d forwards left, %d wanted", n, before)
				}
			})
		}
	}
}

// dialAccepted is a client whose connection has been accepted.
func (r *harness) dialAccepted() *testClient {
	r.t.Helper()
	c := r.dial()
	c.Write(aliveFrame(1))
	if _, ok := c.readReply(); !ok {
		r.t.Fatal("no answer to alive")
	}
	c.seq = 1
	return c
}

// An answer and the worker's close in one read: the answer counts, and the close is no failure of the request.
func TestAnswerAndCloseInOneRead(t *testing.T) {
	w := newFakeWorker(t, "w1", func(c net.Conn, m workerMessage) { respondServed(c, m); c.Close() })
	r := newHarness(t, "load", w)
	for range 20 {
		r.expect("once", "returned")
		r.waitFor("the close is seen", func() bool { return len(r.dispatcher.clients.workers.conns) == 0 }) // the next would cross it
	}
	if n := len(w.messages("invoke")); n != 20 {
		t.Errorf("%d forwards of 20", n)
	}
}

// A client that half-closes after other bytes has gone: what it asked in them is not sent on further.
func TestLeavingBehindOtherBytes(t *testing.T) {
	full := func(c net.Conn, m workerMessage) { respond("overload", "-", "")(c, m) }
	w := newFakeWorker(t, "w1", ignore, full)
	r := newHarness(t, "load", w)
	c := r.dialAccepted()
	var all []byte
	for seq := int32(2); seq < 12; seq++ {
		all = append(all, requestFrame(seq, "once", "in")...)
	}
	c.Write(all)
	c.Conn.(*net.TCPConn).CloseWrite()
	r.waitIdle()
	n := len(w.messages("invoke"))
	r.onLoop(func() {})
	if later := len(w.messages("invoke")); later > n+1 {
		t.Errorf("%d forwards after it had gone", later-n)
	}
}

// Handshakes are paid for over the whole fleet: a second connection to a worker is opened only when the first carries some.
func TestSpareConnectionsAreFew(t *testing.T) {
	w := newFakeWorker(t, "w1", respondServed, ignore)
	r := newHarness(t, "load", w)
	r.expect("read", "returned") // the copy is warm
	c := r.dialAccepted()
	for n := 1; n <= spareConnThreshold+1; n++ {
		c.send("read", "in")
		r.waitFor("it is out", func() bool { return len(w.messages("invoke")) == n+1 })
		want := 1
		if n >= spareConnThreshold {
			want = 2
		}
		r.waitFor("the connections are up", func() bool {
			for x := range r.dispatcher.clients.workers.conns {
				if !x.established {
					return false
				}
			}
			return true
		})
		r.onLoop(func() {
			if got := len(r.dispatcher.clients.workers.conns); got != want {
				t.Errorf("%d connections with %d forwards out, want %d", got, n, want)
			}
		})
	}
}

// An attempt that waits for a descriptor goes out as soon as another connection is idle, and not only with the next one.
func TestWaitingForADescriptor(t *testing.T) {
	workers := []*fakeWorker{newFakeWorker(t, "w1", ignore), newFakeWorker(t, "w2", ignore)}
	r := newHarness(t, "load", workers...)
	r.onLoop(func() { r.dispatcher.clients.workers.maxConns = 1 - reservedForWorkers }) // one connection in all
	c := r.dialAccepted()
	waits := false
	for n := 1; n < 30 && !waits; n++ { // models new each time, until one has its home at the other worker
		c.send("read", "in", "entity="+newID())
		r.waitFor("it is out or waits", func() bool {
			waits = len(r.dispatcher.clients.workers.awaitingDescriptor) > 0
			return waits || len(workers[0].messages("invoke"))+len(workers[1].messages("invoke")) == n
		})
	}
	if !waits {
		t.Fatal("no forward had to wait")
	}
	held, other := workers[0], workers[1]
	if len(held.messages("invoke")) == 0 {
		held, other = other, held
	}
	for _, m := range held.messages("invoke") {
		writeResponse(m.conn, m, "served", "detail=resident", "well")
	}
	r.waitFor("the one that waited is out", func() bool { return len(other.messages("invoke")) == 1 })
}

// Connections that keep half a message back for good make room for others.
func TestHalfMessagesMakeRoom(t *testing.T) {
	r := newHarness(t, "load", newFakeWorker(t, "w1", respondServed))
	r.onLoop(func() { r.dispatcher.clients.maxConns = 8 })
	for range 8 {
		r.dial().Write(requestFrame(1, "read", "in")[:40])
	}
	r.waitFor("all are in part", func() bool {
		n := 0
		for c := r.dispatcher.clients.connRing.next; c != &r.dispatcher.clients.connRing; c = c.next {
			if c.partialMessage {
				n++
			}
		}
		return n == 8
	})
	r.expect("read", "returned")
	if n := r.dropCount("idle_closed"); n != 1 {
		t.Errorf("%d closed to make room", n)
	}
}

// A connection whose time is up is not closed over bytes that lie unread.
func TestExpiryReadsFirst(t *testing.T) {
	r := newHarness(t, "load", newFakeWorker(t, "w1", respondServed))
	c := r.dial()
	r.waitFor("it is accepted", func() bool { return r.dispatcher.clients.connCount == 1 })
	r.onLoop(func() {
		c.send("once", "in")
		r.dispatcher.clients.connRing.next.timerExpired()
	})
	if a, ok := c.readReply(); !ok || replyKind(a) != "returned" {
		t.Errorf("%+v, open %v", a, ok)
	}
	idle := r.dial()
	r.waitFor("it is accepted", func() bool { return r.dispatcher.clients.connCount == 2 })
	r.onLoop(func() {
		for x := r.dispatcher.clients.connRing.next; x != &r.dispatcher.clients.connRing; x = x.next {
			if !x.hasSpoken {
				x.timerExpired()
				break
			}
		}
	})
	if a, ok := idle.readReply(); ok {
		t.Errorf("%+v", a)
	}
}
