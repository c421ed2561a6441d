package platform

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"mastchute/internal/thrift/thrifttest"
)

// blackhole is an address at which no connection comes up: its listen backlog is full. room makes place in it.
func blackhole(t *testing.T) (addr netip.AddrPort, room func()) {
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

// repeats has f look at all repeats that wait for a connection, at the end of each turn.
func (r *rig) repeats(f func(s *sent)) {
	r.on(func() {
		turn := r.d.Loop.AfterEvents
		r.d.Loop.AfterEvents = func() {
			turn()
			for c := range r.d.front.workers.conns {
				for _, s := range c.l.queue {
					if s.f != nil && s.f.Index > 0 {
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
	w := newWorker(t, "w1", reset, fine)
	r := newRig(t, "load", w)
	looked := 0
	r.repeats(func(s *sent) {
		if until := s.f.SendDeadline - r.d.Loop.Now(); looked == 0 && (until > 1 || until < 0.5) {
			t.Errorf("a window of 1 s ends in %g s", until)
		}
		looked++
		s.f.SendDeadline = r.d.Loop.Now() - 0.001 // the connection comes up a moment too late
	})
	if got, _ := r.ask("write"); got != "shed" && got != "failed" {
		t.Errorf("it was %s", got)
	}
	r.idle()
	r.on(func() {
		if n := len(w.seen("invoke")); n != 1 || looked == 0 {
			t.Errorf("%d forwards left, %d repeats were looked at", n, looked)
		}
	})
}

// Where the window ends while a repeat waits for a connection that is never up, the answer comes then, and not when the
// connection is given up.
func TestEndOfTheWindowIsAnsweredAtOnce(t *testing.T) {
	w := newWorker(t, "w1", reset)
	r := newRig(t, "load", w)
	hole, _ := blackhole(t)
	r.on(func() { r.d.front.workers.connect = 60 })
	r.repeats(func(s *sent) {
		if s.l.addr != hole {
			s.l.addr = hole
			for c := range r.d.front.workers.conns { // the one that comes up is not to be had
				s.l.remove(c)
				c.conn.Close()
			}
			s.l.mark()
		}
	})
	start := time.Now()
	got, _ := r.ask("write", "patience=20000")
	if took := time.Since(start); got == "returned" || took > 1700*time.Millisecond {
		t.Errorf("%s after %v", got, took)
	}
	if n := len(w.seen("invoke")); n != 1 {
		t.Errorf("%d forwards left", n)
	}
}

// A connection that never comes up, or late, beside one that stands: what waits goes out on either as soon as there is
// room, once.
func TestConnectionComesUpLateOrNever(t *testing.T) {
	for name, late := range map[string]bool{"never": false, "late": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorker(t, "w1", fine, silent)
			r := newRig(t, "load", w)
			r.expect("once", "returned") // one connection stands
			hole, room := blackhole(t)
			r.on(func() {
				r.d.front.workers.streams = 1
				for c := range r.d.front.workers.conns {
					c.l.addr = hole
				}
			})
			c := r.dial()
			c.send("once", "first")
			r.until("it is out", func() bool { return len(w.seen("invoke")) == 2 })
			c.send("once", "second")
			r.until("the second waits for a connection that does not come up", func() bool {
				for x := range r.d.front.workers.conns {
					if !x.up && len(x.l.queue) == 1 {
						return true
					}
				}
				return false
			})
			if late {
				room() // it comes up when the kernel tries again; by then the other has room too
			}
			m := w.seen("invoke")[1]
			say(m.conn, m, "served", "detail=resident", "well")
			if a, ok := c.answer(); !ok || kind(a) != "returned" {
				t.Errorf("first: %+v %v", a, ok)
			}
			r.until("the second is out", func() bool { return len(w.seen("invoke")) == 3 })
			m = w.seen("invoke")[2]
			say(m.conn, m, "served", "detail=resident", "well")
			if a, ok := c.answer(); !ok || kind(a) != "returned" || m.body != "second" {
				t.Errorf("second: %+v %v", a, ok)
			}
			r.idle()
		})
	}
}

// What the configuration knows is enough to be ready at once, whatever the change log does.
func TestReadyWithoutAChangeLog(t *testing.T) {
	hole, _ := blackhole(t)
	refuses, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refuses.Close()
	for name, addr := range map[string]netip.AddrPort{"never comes up": hole, "refuses": netip.MustParseAddrPort(refuses.Addr().String())} {
		t.Run(name, func(t *testing.T) {
			w := newWorker(t, "w1", fine)
			r := &rig{t: t, log: newChangeLog(t)}
			r.log.add(true, w.member("active", 0))
			r.file = rigFile(t, r.log, "load")
			r.file.changeLog = addr
			r.start()
			c := r.dial()
			c.Write(alive(1))
			if a, ok := c.answer(); !ok || !a.Good {
				t.Errorf("not ready at the first question: %+v %v", a, ok)
			}
			r.expect("once", "returned")
		})
	}
}

// A flood of requests that are taken back at once leaves nothing behind, and others are served meanwhile.
func TestFloodOfCancels(t *testing.T) {
	w := newWorker(t, "w1", func(c net.Conn, m seen) {
		if m.body != "flood" {
			fine(c, m)
		}
	})
	r := newRig(t, "load", w)
	r.expect("read", "returned")
	flood := r.dial2()
	var all []byte
	for seq := int32(2); seq < 5002; seq++ {
		all = append(all, request(seq, "read", "flood")...)
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
	flood.Write(alive(6000))
	if a, ok := flood.answer(); !ok || a.Seq != 6000 {
		t.Errorf("%+v %v: an answer to what was taken back", a, ok)
	}
	r.idle()
	r.on(func() {
		p := r.d.front
		if n := len(p.free); n > keptCalls {
			t.Errorf("%d records kept", n)
		}
		for c := range p.workers.conns {
			if len(c.open) > 0 || len(c.l.queue) > 0 || c.conn.UnsentBytes() > unreadMost {
				t.Errorf("%d open, %d queued, %d bytes wait", len(c.open), len(c.l.queue), c.conn.UnsentBytes())
			}
		}
	})
}

// An answer half written when the dispatcher is told to stop is written whole, however late its client reads.
func TestStopWritesHalfAnswersWhole(t *testing.T) {
	const size = 50 << 10
	big := make([]byte, size)
	w := newWorker(t, "w1", reply("served", "detail=resident", string(big)))
	r := newRig(t, "load", w)
	slow := r.dial2()
	half := func() (n int) { // bytes that the kernel does not take
		for c := r.d.front.oldest.next; c != &r.d.front.oldest; c = c.next {
			n += c.conn.UnsentBytes()
		}
		return n
	}
	answers, waiting := 0, 0
	for ; waiting == 0 && answers < 500; answers++ {
		slow.send("read", "in")
		r.until("it is answered", func() bool { waiting = half(); return r.d.Gateway.InFlight() == 0 })
	}
	if waiting == 0 {
		t.Fatal("the kernel takes all")
	}
	r.on(func() { r.d.Stop() })
	r.on(func() { r.d.stop.Fire() })
	r.on(func() { r.d.front.closeIdle() })
	for i := range answers {
		if a, ok := slow.answer(); !ok || kind(a) != "returned" || len(a.Body) != size {
			t.Fatalf("answer %d: %s of %d bytes, open %v", i, kind(a), len(a.Body), ok)
		}
	}
	r.ended()
}
