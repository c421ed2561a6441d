package platform

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"mastchute/internal/thrift/thrifttest"
)

// newBlackhole is an address at which no connection comes up: its listen backlog is full. room makes place in it.
func newBlackhole(t *testing.T) (addr netip.AddrPort, room func()) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*unix.SockaddrInet4).Port))
	for full := false; !full; {
		c, err := net.DialTimeout("tcp", addr.String(), 100*time.Millisecond)
		if full = err != nil; !full {
			t.Cleanup(func() { c.Close() })
		}
	}
	return addr, func() {
		if c, _, err := unix.Accept(fd); err == nil {
			unix.Close(c)
		}
	}
}

// onQueuedRetries has f look at all repeats that wait for a connection, at the end of each turn.
func (r *harness) onQueuedRetries(f func(s *workerCall)) {
	r.onLoop(func() {
		turn := r.dispatcher.Loop.AfterEvents
		r.dispatcher.Loop.AfterEvents = func() {
			turn()
			for c := range r.dispatcher.clients.workers.conns {
				for _, s := range c.transport.queue {
					if s.attempt != nil && s.attempt.Index > 0 {
						f(s)
					}
				}
			}
		}
	})
}

// A repeat of a deduplicated request whose window ends while it waits for its connection never leaves, and the first
// that may have run is what the window counts from.
func TestNoRepeatLeavesAfterItsWindow(t *testing.T) {
	w := newFakeWorker(t, "w1", resetConn, respondServed)
	r := newHarness(t, "load", w)
	looked := 0
	r.onQueuedRetries(func(s *workerCall) {
		if until := s.attempt.SendDeadline - r.dispatcher.Loop.Now(); looked == 0 && (until > 1 || until < 0.5) {
			t.Errorf("a window of 1 s ends in %g s", until)
		}
		looked++
		s.attempt.SendDeadline = r.dispatcher.Loop.Now() - 0.001 // the connection comes up a moment too late
	})
	if got, _ := r.roundTrip("write"); got != "shed" && got != "failed" {
		t.Errorf("it was %s", got)
	}
	r.waitIdle()
	r.onLoop(func() {
		if n := len(w.messages("invoke")); n != 1 || looked == 0 {
			t.Errorf("%d forwards left, %d repeats were looked at", n, looked)
		}
	})
}

// Where the window ends while a repeat waits for a connection that is never up, the answer comes then, and not when the
// connection is given up.
func TestEndOfTheWindowIsAnsweredAtOnce(t *testing.T) {
	w := newFakeWorker(t, "w1", resetConn)
	r := newHarness(t, "load", w)
	hole, _ := newBlackhole(t)
	r.onLoop(func() { r.dispatcher.clients.workers.connectTimeout = 60 })
	r.onQueuedRetries(func(s *workerCall) {
		if s.transport.addr != hole {
			s.transport.addr = hole
			for c := range r.dispatcher.clients.workers.conns { // the one that comes up is not to be had
				s.transport.removeConn(c)
				c.conn.Close()
			}
			s.transport.scheduleDrain()
		}
	})
	start := time.Now()
	got, _ := r.roundTrip("write", "patience=20000")
	if took := time.Since(start); got == "returned" || took > 1700*time.Millisecond {
		t.Errorf("%s after %v", got, took)
	}
	if n := len(w.messages("invoke")); n != 1 {
		t.Errorf("%d forwards left", n)
	}
}

// A connection that never comes up, or late, beside one that stands: what waits goes out on either as soon as there is
// room, once.
func TestConnectionComesUpLateOrNever(t *testing.T) {
	for name, late := range map[string]bool{"never": false, "late": true} {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", respondServed, ignore)
			r := newHarness(t, "load", w)
			r.expect("once", "returned") // one connection stands
			hole, room := newBlackhole(t)
			r.onLoop(func() {
				r.dispatcher.clients.workers.maxStreams = 1
				for c := range r.dispatcher.clients.workers.conns {
					c.transport.addr = hole
				}
			})
			c := r.dial()
			c.send("once", "first")
			r.waitFor("it is out", func() bool { return len(w.messages("invoke")) == 2 })
			c.send("once", "second")
			r.waitFor("the second waits for a connection that does not come up", func() bool {
				for x := range r.dispatcher.clients.workers.conns {
					if !x.established && len(x.transport.queue) == 1 {
						return true
					}
				}
				return false
			})
			if late {
				room() // it comes up when the kernel tries again; by then the other has room too
			}
			m := w.messages("invoke")[1]
			writeResponse(m.conn, m, "served", "detail=resident", "well")
			if a, ok := c.readReply(); !ok || replyKind(a) != "returned" {
				t.Errorf("first: %+v %v", a, ok)
			}
			r.waitFor("the second is out", func() bool { return len(w.messages("invoke")) == 3 })
			m = w.messages("invoke")[2]
			writeResponse(m.conn, m, "served", "detail=resident", "well")
			if a, ok := c.readReply(); !ok || replyKind(a) != "returned" || m.body != "second" {
				t.Errorf("second: %+v %v", a, ok)
			}
			r.waitIdle()
		})
	}
}

// What the configuration knows is enough to be ready at once, whatever the change log does.
func TestReadyWithoutAChangeLog(t *testing.T) {
	hole, _ := newBlackhole(t)
	refuses, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refuses.Close()
	for name, addr := range map[string]netip.AddrPort{"never comes up": hole, "refuses": netip.MustParseAddrPort(refuses.Addr().String())} {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", respondServed)
			r := &harness{t: t, changeLog: newFakeChangeLog(t)}
			r.changeLog.publish(true, w.memberJSON("active", 0))
			r.config = testConfig(t, r.changeLog, "load")
			r.config.changeLog = addr
			r.start()
			c := r.dial()
			c.Write(aliveFrame(1))
			if a, ok := c.readReply(); !ok || !a.Good {
				t.Errorf("not ready at the first question: %+v %v", a, ok)
			}
			r.expect("once", "returned")
		})
	}
}

// A flood of requests that are taken back at once leaves nothing behind, and others are served meanwhile.
func TestFloodOfCancels(t *testing.T) {
	w := newFakeWorker(t, "w1", func(c net.Conn, m workerMessage) {
		if m.body != "flood" {
			respondServed(c, m)
		}
	})
	r := newHarness(t, "load", w)
	r.expect("read", "returned")
	flood := r.dialAccepted()
	var all []byte
	for seq := int32(2); seq < 5002; seq++ {
		all = append(all, requestFrame(seq, "read", "flood")...)
		all = append(all, frame(thrifttest.Cancel(seq))...)
	}
	sent := make(chan error, 1)
	go func() { _, err := flood.Write(all); sent <- err }()
	for range 20 {
		r.expect("read", "returned")
	}
	if err := <-sent; err != nil {
		t.Fatal(err)
	}
	flood.Write(aliveFrame(6000))
	if a, ok := flood.readReply(); !ok || a.Seq != 6000 {
		t.Errorf("%+v %v: an answer to what was taken back", a, ok)
	}
	r.waitIdle()
	r.onLoop(func() {
		p := r.dispatcher.clients
		if n := len(p.freeRequests); n > maxPooledRequests {
			t.Errorf("%d records kept", n)
		}
		for c := range p.workers.conns {
			if len(c.inFlight) > 0 || len(c.transport.queue) > 0 || c.conn.UnsentBytes() > maxUnreadBytes {
				t.Errorf("%d open, %d queued, %d bytes wait", len(c.inFlight), len(c.transport.queue), c.conn.UnsentBytes())
			}
		}
	})
}

// An answer half written when the dispatcher is told to stop is written whole, however late its client reads.
func TestStopWritesHalfAnswersWhole(t *testing.T) {
	const size = 50 << 10
	big := make([]byte, size)
	w := newFakeWorker(t, "w1", respond("served", "detail=resident", string(big)))
	r := newHarness(t, "load", w)
	slow := r.dialAccepted()
	half := func() (n int) { // bytes that the kernel does not take
		for c := r.dispatcher.clients.connRing.next; c != &r.dispatcher.clients.connRing; c = c.next {
			n += c.conn.UnsentBytes()
		}
		return n
	}
	answers, waiting := 0, 0
	for ; waiting == 0 && answers < 500; answers++ {
		slow.send("read", "in")
		r.waitFor("it is answered", func() bool { waiting = half(); return r.dispatcher.Gateway.InFlight() == 0 })
	}
	if waiting == 0 {
		t.Fatal("the kernel takes all")
	}
	r.onLoop(func() { r.dispatcher.Stop() })
	r.onLoop(func() { r.dispatcher.stopTimer.Fire() })
	r.onLoop(func() { r.dispatcher.clients.closeDrained() })
	for i := range answers {
		if a, ok := slow.readReply(); !ok || replyKind(a) != "returned" || len(a.Body) != size {
			t.Fatalf("answer %d: %s of %d bytes, open %v", i, replyKind(a), len(a.Body), ok)
		}
	}
	r.waitEnd()
}
