//go:build linux

package eventloop

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

var free = netip.MustParseAddrPort("127.0.0.1:0")

// running starts a loop; do runs a function on it and waits.
func running(t *testing.T, maxConns int) (*Loop, func(func())) {
	t.Helper()
	l, err := New(maxConns)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	start := func() { go func() { done <- l.Run() }() }
	start()
	t.Cleanup(func() {
		l.Stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l, func(f func()) {
		t.Helper()
		ok := make(chan struct{})
		l.Post(func() { f(); close(ok) })
		select {
		case <-ok:
		case <-time.After(10 * time.Second):
			t.Fatal("the loop hangs")
		}
	}
}

// plain is a handler made of functions.
type plain struct {
	opened, drained func(*Conn)
	data            func(*Conn, []byte) int
	closed          func(*Conn, error)
}

func (p *plain) Connected(c *Conn) {
	if p.opened != nil {
		p.opened(c)
	}
}
func (p *plain) Flushed(c *Conn) {
	if p.drained != nil {
		p.drained(c)
	}
}
func (p *plain) Received(c *Conn, b []byte) int {
	if p.data != nil {
		return p.data(c, b)
	}
	return len(b)
}
func (p *plain) Closed(c *Conn, err error) {
	if p.closed != nil {
		p.closed(c, err)
	}
}

func listen(t *testing.T, l *Loop, do func(func()), h func(*Conn) Handler) *Listener {
	t.Helper()
	var ln *Listener
	var err error
	do(func() { ln, err = l.Listen(free, h) })
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

func dial(t *testing.T, ln *Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func echo(*Conn) Handler {
	return &plain{data: func(c *Conn, b []byte) int { c.Write(b); return len(b) }}
}

func TestTimersAgainstSorting(t *testing.T) {
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		var h timerHeap
		all := make([]Timer, 40)
		want := map[*Timer]float64{}
		for range 300 {
			x := &all[rnd.IntN(len(all))]
			if rnd.IntN(3) == 0 {
				h.stop(x)
				delete(want, x)
			} else {
				at := float64(rnd.IntN(30))
				h.start(x, at)
				want[x] = at
			}
		}
		var times []float64
		for _, at := range want {
			times = append(times, at)
		}
		sort.Float64s(times)
		for i, at := range times {
			x := h.popDue(1e9)
			if x == nil || x.at != at || want[x] != at || x.Pending() {
				t.Fatalf("seed %d: timer %d is %v, want one at %g", seed, i, x, at)
			}
			delete(want, x)
		}
		if h.popDue(1e9) != nil {
			t.Fatalf("seed %d: one too many", seed)
		}
	}
}

func TestPostFromManyGoroutines(t *testing.T) {
	l, do := running(t, 0)
	n := 0
	var wg sync.WaitGroup
	for range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 500 {
				l.Post(func() { n++ })
			}
		}()
	}
	wg.Wait()
	for range 20 { // more were posted than one turn runs
		do(func() {})
	}
	do(func() {
		if n != 8000 {
			t.Errorf("%d of 8000 ran", n)
		}
	})
}

// A connection that never stops sending gets one read a look, so that another is answered beside it; more only where the
// loop itself stood still and has to catch up.
func TestFloodDoesNotStarve(t *testing.T) {
	l, do := running(t, 0)
	var twice, reads atomic.Int64
	ln := listen(t, l, do, func(*Conn) Handler {
		last := int64(-1)
		return &plain{data: func(c *Conn, b []byte) int {
			if l.pollCount == last && !l.catchingUp {
				twice.Add(1)
			}
			last = l.pollCount
			reads.Add(1)
			if len(b) == 1 {
				c.Write(b)
			}
			return len(b)
		}}
	})
	flood := dial(t, ln)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		junk := make([]byte, 1<<20)
		for {
			select {
			case <-stop:
				return
			default:
				if _, err := flood.Write(junk); err != nil {
					return
				}
			}
		}
	}()
	c := dial(t, ln)
	for i := range 200 {
		c.Write([]byte{'x'})
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Fatalf("ping %d beside the flood: %v", i, err)
		}
	}
	second := twice.Load() // a peer that has left is read to its end at once
	close(stop)
	flood.Close()
	wg.Wait()
	if second > 0 || reads.Load() < 150 {
		t.Errorf("%d second reads in one look, of %d", second, reads.Load())
	}
}

// With no descriptor left, accepting rests, nobody who waits is closed, and all are served once there are descriptors
// again; the loop does not spin meanwhile.
func TestDescriptorsRunOut(t *testing.T) {
	l, err := New(0)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := l.Listen(free, echo)
	if err != nil {
		t.Fatal(err)
	}
	var conns []net.Conn
	for range 12 { // the kernel holds them until they are accepted
		conns = append(conns, dial(t, ln))
	}
	var old unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &old); err != nil {
		t.Skip("no limits here: ", err)
	}
	top := 0
	entries, _ := os.ReadDir("/proc/self/fd")
	used := map[int]bool{}
	for _, e := range entries {
		if n, err := strconv.Atoi(e.Name()); err == nil {
			used[n] = true
		}
	}
	for left := 6; left > 0; top++ { // the limit leaves six numbers free
		if !used[top] {
			left--
		}
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(top), Max: old.Max}); err != nil {
		t.Skip("limits cannot be set: ", err)
	}
	done := make(chan error, 1)
	go func() { done <- l.Run() }()
	for i := 0; l.Stats.DescriptorShortages.Load() < 2 && i < 1000; i++ {
		time.Sleep(5 * time.Millisecond)
	}
	turns := l.Stats.Turns.Load()
	time.Sleep(200 * time.Millisecond)
	if n := l.Stats.Turns.Load() - turns; n > 60 {
		t.Errorf("%d turns in 0.2 s without a descriptor", n)
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	if l.Stats.DescriptorShortages.Load() < 2 {
		t.Error("descriptors never ran out")
	}
	served, refused := 0, 0
	for _, c := range conns {
		c.Write([]byte("hello"))
		b := make([]byte, 5)
		if _, err := io.ReadFull(c, b); err == nil && string(b) == "hello" {
			served++
		} else {
			refused++
		}
	}
	if refused > 0 || served != 12 {
		t.Errorf("%d served and %d refused of 12: those that wait are to be served later", served, refused)
	}
	l.Stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestMostConnections(t *testing.T) {
	l, do := running(t, 2)
	ln := listen(t, l, do, echo)
	a, b, c := dial(t, ln), dial(t, ln), dial(t, ln)
	for _, x := range []net.Conn{a, b} {
		x.Write([]byte{'1'})
		if _, err := io.ReadFull(x, make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	c.Write([]byte{'3'})
	do(func() {
		if l.Stats.Connections.Load() != 2 {
			t.Errorf("%d connections, 2 allowed", l.Stats.Connections.Load())
		}
	})
	a.Close() // makes room
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Errorf("the third was not accepted when there was room: %v", err)
	}
}

func TestConnectRefusedAndTimedOut(t *testing.T) {
	l, do := running(t, 0)
	gone, _ := net.Listen("tcp", "127.0.0.1:0")
	at := netip.MustParseAddrPort(gone.Addr().String())
	gone.Close()
	end := make(chan error, 2)
	var conn *Conn
	try := func(to netip.AddrPort) error {
		do(func() {
			conn = l.Dial(to, 0.1, &plain{opened: func(*Conn) { end <- nil }, closed: func(_ *Conn, err error) { end <- err }})
			conn.Write([]byte("never"))
		})
		select {
		case err := <-end:
			do(func() {
				if conn.SentBytes() != 0 {
					t.Errorf("%d bytes sent on a connection that never came up", conn.SentBytes())
				}
			})
			return err
		case <-time.After(5 * time.Second):
			t.Fatal("neither up nor closed")
			return nil
		}
	}
	if err := try(at); !errors.Is(err, unix.ECONNREFUSED) {
		t.Errorf("refused: %v", err)
	}
	// A listener whose backlog is full drops further tries to connect.
	fd, _ := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	defer unix.Close(fd)
	unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	unix.Listen(fd, 0)
	sa, _ := unix.Getsockname(fd)
	full := addrPort(sa)
	for range 4 {
		c, err := net.DialTimeout("tcp", full.String(), 50*time.Millisecond)
		if err == nil {
			defer c.Close()
		}
	}
	if err := try(full); !errors.Is(err, ErrConnectTimeout) {
		t.Errorf("full backlog: %v", err)
	}
}

// The last answer reaches a peer that goes on sending: unread bytes must not turn the close into a reset.
func TestCloseFlushedBesideUnreadBytes(t *testing.T) {
	l, do := running(t, 0)
	big := bytes.Repeat([]byte("answer"), 200_000)
	ln := listen(t, l, do, func(*Conn) Handler {
		return &plain{data: func(c *Conn, b []byte) int { c.Write(big); c.CloseFlushed(); return 0 }}
	})
	c := dial(t, ln)
	go c.Write(make([]byte, 2<<20))
	got, err := io.ReadAll(c)
	if err != nil || !bytes.Equal(got, big) {
		t.Errorf("%d of %d bytes, %v", len(got), len(big), err)
	}
}

func TestPauseHoldsBackAndNoticesLeaving(t *testing.T) {
	l, do := running(t, 0)
	var got, closed atomic.Int64
	var conn *Conn
	ready := make(chan struct{})
	ln := listen(t, l, do, func(c *Conn) Handler {
		conn = c
		return &plain{
			data:   func(c *Conn, b []byte) int { got.Add(int64(len(b))); c.Pause(); close(ready); return 1 },
			closed: func(*Conn, error) { closed.Add(1) }}
	})
	c := dial(t, ln)
	c.Write([]byte("ab"))
	<-ready
	c.Write([]byte("cd"))
	do(func() {})
	if got.Load() != 2 {
		t.Errorf("%d bytes heard while paused", got.Load())
	}
	c.Close()
	for i := 0; closed.Load() == 0 && i < 1000; i++ {
		time.Sleep(time.Millisecond)
	}
	do(func() {
		if closed.Load() != 1 || conn.Open() {
			t.Errorf("closed told %d times", closed.Load())
		}
	})
}

// Bytes left over come again after Again, without new ones.
func TestLeftOverBytesComeAgain(t *testing.T) {
	l, do := running(t, 0)
	ln := listen(t, l, do, func(*Conn) Handler {
		return &plain{data: func(c *Conn, b []byte) int {
			c.Write(b[:1])
			c.Redeliver()
			l.Defer(c.Redeliver)
			return 1
		}}
	})
	c := dial(t, ln)
	c.Write([]byte("stepwise"))
	b := make([]byte, 8)
	if _, err := io.ReadFull(c, b); err != nil || string(b) != "stepwise" {
		t.Errorf("%q %v", b, err)
	}
}

func BenchmarkTimer(b *testing.B) {
	var h timerHeap
	all := make([]Timer, 10_000)
	for i := range all {
		h.start(&all[i], float64(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		h.start(&all[i%len(all)], float64(i%7919))
	}
}

// What is taken back before the kernel has it never leaves, and what was queued behind it moves up.
func TestRetract(t *testing.T) {
	l, _ := New(0)
	defer l.Close()
	c := &Conn{loop: l, fd: 1 << 20, established: true, writePending: true, sentBytes: 5}
	c.outgoing, c.outgoingSent = []byte("xxAABBCC"), 2
	for _, r := range []struct {
		from, to uint64
		ok       bool
		left     string
	}{{4, 7, false, "xxAABBCC"}, {7, 20, false, "xxAABBCC"}, {7, 9, true, "xxAACC"}, {7, 9, true, "xxAA"}, {5, 7, true, "xx"}, {5, 7, false, "xx"}} {
		if ok := c.Unwrite(r.from, r.to); ok != r.ok || string(c.outgoing) != r.left || c.UnsentBytes() != len(r.left)-2 {
			t.Errorf("%d to %d: %v, left %q", r.from, r.to, ok, c.outgoing)
		}
	}
}
