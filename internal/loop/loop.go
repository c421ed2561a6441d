//go:build linux

// Package loop is an event loop on epoll: one locked thread, non-blocking sockets, timers in a heap, and wake-ups
// from other goroutines by eventfd. It knows descriptors and bytes, and nothing of what they mean.
//
// Everything but Post, Stop and Stats is to be called on the loop only: from handlers, timers and posted functions.
// A turn waits, hears what is ready, fires what is due, calls OnTurn, and then writes what was queued. What one
// connection may do in a turn is bounded (one read), so that none starves another.
package loop

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/netip"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readSize    = 64 << 10 // bytes read from one connection in a turn
	eventsTurn  = 512      // ready descriptors heard in a turn
	timersTurn  = 4096     // timers fired in a turn; the rest wait for the next
	acceptTurn  = 64       // connections accepted from one listener in a turn
	postedTurn  = 1024     // posted functions run in a turn
	settleTurns = 8        // rounds of OnTurn in one turn while each brings new events
	acceptRest  = 0.05     // s without accepting after descriptors ran out; doubles
	acceptMost  = 1.0      // s, the most of it
	keepBuffer  = 64 << 10 // bytes: larger buffers go back to the collector
	lingerSpan  = 1.0      // s an ended connection may take to close its side, so that the last answer is not reset
	bufferPool  = 256      // buffers kept for reuse
	backlogSize = 4096     // connections the kernel may hold for a listener
)

// ErrConnectTimeout ends a dialled connection that did not come up in time; nothing was written to it.
var ErrConnectTimeout = errors.New("connect timed out")

// Handler hears of one connection. Its methods run on the loop.
type Handler interface {
	// Opened tells that a dialled connection is up.
	Opened(c *Conn)
	// Data gets all bytes read and not yet used, and returns how many it used. b is valid for this call only. The
	// rest comes again with the next bytes, or after Resume.
	Data(c *Conn, b []byte) (used int)
	// Drained tells that all written bytes have gone to the kernel, after some could not go at once, or after
	// NotifyDrained.
	Drained(c *Conn)
	// Closed tells, exactly once, that the connection ended by the peer (io.EOF), by an error, or did not come up.
	// It is not called after Close or CloseFlushed.
	Closed(c *Conn, err error)
}

// Stats counts, for operators; all fields grow but Conns.
type Stats struct {
	Conns, Accepted, Dialled, NoDescriptor, Turns atomic.Int64
	LateNs                                        atomic.Int64 // how late the latest due timer fired, ns
	TurnNs                                        atomic.Int64 // longest turn so far, ns
}

// Loop is one event loop. Make it by New, run it by Run on a goroutine of its own.
type Loop struct {
	OnTurn func() // called after the events of a turn and before its writes; may be nil
	Stats  Stats

	ep, wake  int
	start     time.Time
	now       float64
	timers    timers
	fds       []entry
	gen       int32
	scratch   []byte
	free      [][]byte
	dirty     []*Conn
	flushing  []*Conn
	refeed    []*Conn
	refeeding []*Conn
	later     []func() // called on this loop in this turn, after what is at hand
	laterRun  []func()
	mu        sync.Mutex
	posted    []func()
	postedRun []func()
	waked     atomic.Bool
	stopped   bool
	reserve   int // a descriptor kept back to accept and refuse when there are none left
	conns     int
	maxConns  int
	listeners []*Listener
}

type entry struct {
	gen int32
	c   *Conn
	l   *Listener
}

// New makes a loop that holds at most maxConns connections, dialled ones included; 0 means no limit but the
// descriptors'.
func New(maxConns int) (*Loop, error) {
	ep, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	wake, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		unix.Close(ep)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	l := &Loop{ep: ep, wake: wake, start: time.Now(), scratch: make([]byte, readSize), reserve: -1, maxConns: maxConns}
	if err := unix.EpollCtl(ep, unix.EPOLL_CTL_ADD, wake, &unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(wake), Pad: -1}); err != nil {
		unix.Close(ep)
		unix.Close(wake)
		return nil, fmt.Errorf("epoll: %w", err)
	}
	l.reserve, _ = unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
	return l, nil
}

// Now is the loop's clock: seconds since New, as of this turn's start.
func (l *Loop) Now() float64 { return l.now }

// Clock reads the clock afresh: seconds since New. Safe from any goroutine.
func (l *Loop) Clock() float64 { return time.Since(l.start).Seconds() }

// Origin is the wall-clock time of the loop's second 0.
func (l *Loop) Origin() time.Time { return l.start }

// Start sets the timer to fire after the given seconds; a pending one is moved.
func (l *Loop) Start(t *Timer, after float64) { l.timers.start(t, l.now+math.Max(0, after)) }

// Cancel stops a timer; a stopped one stays so.
func (l *Loop) Cancel(t *Timer) { l.timers.stop(t) }

// Later calls f on this loop after what is at hand, within this turn.
func (l *Loop) Later(f func()) { l.later = append(l.later, f) }

// Post calls f on the loop, soon. Safe from any goroutine; it never blocks. After the loop has ended f is not called.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	if l.waked.CompareAndSwap(false, true) {
		var one = [8]byte{1}
		unix.Write(l.wake, one[:])
	}
}

// Stop ends Run after the turn in hand. Safe from any goroutine.
func (l *Loop) Stop() { l.Post(func() { l.stopped = true }) }

// Run turns until Stop. It locks its goroutine to a thread and closes every descriptor of the loop at the end.
func (l *Loop) Run() error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer l.close()
	var events [eventsTurn]unix.EpollEvent
	for !l.stopped {
		n, err := unix.EpollWait(l.ep, events[:], l.timeout())
		if err != nil && err != unix.EINTR {
			return fmt.Errorf("epoll: %w", err)
		}
		l.now = l.Clock()
		l.turn(events[:max(n, 0)])
		if took := int64((l.Clock() - l.now) * 1e9); took > l.Stats.TurnNs.Load() {
			l.Stats.TurnNs.Store(took)
		}
		l.Stats.Turns.Add(1)
	}
	return nil
}

// timeout is how long the wait may take, in ms.
func (l *Loop) timeout() int {
	if len(l.later) > 0 || len(l.dirty) > 0 || len(l.refeed) > 0 {
		return 0
	}
	if len(l.timers.heap) == 0 {
		return -1
	}
	wait := l.timers.heap[0].at - l.Clock()
	return int(math.Ceil(math.Min(math.Max(0, wait), 60) * 1e3))
}

func (l *Loop) turn(events []unix.EpollEvent) {
	for i := range events {
		e := &events[i]
		if e.Pad < 0 {
			var b [8]byte
			unix.Read(l.wake, b[:])
			l.waked.Store(false) // after the read: else a Post in between would be read away, and none wake us again
			continue
		}
		if int(e.Fd) >= len(l.fds) || l.fds[e.Fd].gen != e.Pad {
			continue // of a descriptor closed in this turn
		}
		if in := l.fds[e.Fd]; in.c != nil {
			in.c.ready(e.Events)
		} else if in.l != nil {
			in.l.accept()
		}
	}
	l.runPosted()
	for range timersTurn {
		t := l.timers.due(l.now)
		if t == nil {
			break
		}
		l.Stats.LateNs.Store(int64((l.now - t.at) * 1e9))
		t.Fire()
	}
	for range settleTurns {
		l.runLater()
		l.runRefeed()
		if l.OnTurn != nil {
			l.OnTurn()
		}
		l.flush()
		if len(l.later) == 0 && len(l.refeed) == 0 {
			break
		}
	}
}

func (l *Loop) runPosted() {
	l.mu.Lock()
	l.posted, l.postedRun = l.postedRun[:0], l.posted
	l.mu.Unlock()
	for i, f := range l.postedRun {
		if i >= postedTurn {
			l.later = append(l.later, f)
		} else {
			f()
		}
		l.postedRun[i] = nil
	}
}

func (l *Loop) runLater() {
	l.later, l.laterRun = l.laterRun[:0], l.later
	for i, f := range l.laterRun {
		f()
		l.laterRun[i] = nil
	}
}

func (l *Loop) runRefeed() {
	l.refeed, l.refeeding = l.refeeding[:0], l.refeed
	for i, c := range l.refeeding {
		l.refeeding[i] = nil
		c.again = false
		if c.fd >= 0 && !c.paused && !c.linger && len(c.in) > 0 {
			c.feed(nil)
		}
	}
}

func (l *Loop) flush() {
	l.dirty, l.flushing = l.flushing[:0], l.dirty // what is written meanwhile waits for the next round
	for i, c := range l.flushing {
		l.flushing[i] = nil
		c.dirty = false
		if c.fd >= 0 {
			c.flush()
		}
	}
}

func (l *Loop) close() {
	for fd, e := range l.fds {
		if e.c != nil || e.l != nil {
			unix.Close(fd)
		}
	}
	for _, fd := range []int{l.ep, l.wake, l.reserve} {
		if fd >= 0 {
			unix.Close(fd)
		}
	}
	l.fds = nil
}

// enter registers a descriptor.
func (l *Loop) enter(fd int, events uint32, e entry) error {
	for len(l.fds) <= fd {
		l.fds = append(l.fds, entry{})
	}
	l.gen = (l.gen + 1) & math.MaxInt32
	e.gen = l.gen
	l.fds[fd] = e
	return unix.EpollCtl(l.ep, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Events: events, Fd: int32(fd), Pad: e.gen})
}

func (l *Loop) change(fd int, events uint32) {
	unix.EpollCtl(l.ep, unix.EPOLL_CTL_MOD, fd, &unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.fds[fd].gen})
}

func (l *Loop) leave(fd int) {
	l.fds[fd] = entry{}
	unix.Close(fd)
}

// buffer returns an empty buffer to grow; give takes it back.
func (l *Loop) buffer() []byte {
	if n := len(l.free); n > 0 {
		b := l.free[n-1]
		l.free = l.free[:n-1]
		return b
	}
	return make([]byte, 0, 4<<10)
}

func (l *Loop) give(b []byte) {
	if cap(b) > 0 && cap(b) <= keepBuffer && len(l.free) < bufferPool {
		l.free = append(l.free, b[:0])
	}
}

// Listener accepts connections.
type Listener struct {
	l      *Loop
	fd     int
	addr   netip.AddrPort
	accept func()
	rest   float64
	timer  Timer
	paused bool
}

// Listen opens a TCP listener; accepted returns the handler of a new connection. Port 0 takes a free one, which
// Addr tells.
func (l *Loop) Listen(at netip.AddrPort, accepted func(c *Conn) Handler) (*Listener, error) {
	domain, sa := sockaddr(at)
	fd, err := unix.Socket(domain, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("listen %s: %w", at, err)
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err = unix.Bind(fd, sa); err == nil {
		err = unix.Listen(fd, backlogSize)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listen %s: %w", at, err)
	}
	ln := &Listener{l: l, fd: fd, addr: at}
	if sa, err := unix.Getsockname(fd); err == nil {
		ln.addr = addrPort(sa)
	}
	ln.accept = func() { ln.acceptSome(accepted) }
	ln.timer.Fire = ln.resume
	if err := l.enter(fd, unix.EPOLLIN, entry{l: ln}); err != nil {
		l.leave(fd)
		return nil, fmt.Errorf("listen %s: %w", at, err)
	}
	l.listeners = append(l.listeners, ln)
	return ln, nil
}

// Addr is the address listened on.
func (ln *Listener) Addr() netip.AddrPort { return ln.addr }

// Close ends accepting; accepted connections live on.
func (ln *Listener) Close() {
	if ln.fd >= 0 {
		ln.l.Cancel(&ln.timer)
		ln.l.leave(ln.fd)
		ln.fd = -1
	}
}

func (ln *Listener) pause() {
	if !ln.paused {
		ln.paused = true
		ln.l.change(ln.fd, 0)
	}
}

func (ln *Listener) resume() {
	if ln.paused && ln.fd >= 0 {
		ln.paused = false
		ln.l.change(ln.fd, unix.EPOLLIN)
	}
}

func (ln *Listener) acceptSome(accepted func(c *Conn) Handler) {
	l := ln.l
	for range acceptTurn {
		if l.maxConns > 0 && l.conns >= l.maxConns {
			ln.pause() // the kernel's backlog waits; gone resumes
			return
		}
		fd, sa, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
		case err == unix.EAGAIN:
			return
		case err == unix.EMFILE || err == unix.ENFILE || err == unix.ENOBUFS || err == unix.ENOMEM:
			l.Stats.NoDescriptor.Add(1)
			ln.refuse()
			ln.rest = math.Min(math.Max(2*ln.rest, acceptRest), acceptMost)
			ln.pause()
			l.Start(&ln.timer, ln.rest)
			return
		default: // the connection failed before it was accepted, ECONNABORTED and the like
			continue
		}
		ln.rest = 0
		l.Stats.Accepted.Add(1)
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		c := &Conn{l: l, fd: fd, peer: addrPort(sa), up: true, interest: unix.EPOLLIN | unix.EPOLLRDHUP}
		if c.h = accepted(c); c.h == nil {
			unix.Close(fd)
			continue
		}
		if err := l.enter(fd, c.interest, entry{c: c}); err != nil {
			l.leave(fd)
			c.fd = -1
			c.h.Closed(c, err)
			continue
		}
		l.conns++
		l.Stats.Conns.Add(1)
	}
}

// refuse gives the reserve descriptor up for a moment, to take one waiting connection and close it: its client
// learns at once, and the backlog does not keep the listener ready for ever.
func (ln *Listener) refuse() {
	if ln.l.reserve < 0 {
		return
	}
	unix.Close(ln.l.reserve)
	if fd, _, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC); err == nil {
		unix.Close(fd)
	}
	ln.l.reserve, _ = unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
}

// Conn is one connection.
type Conn struct {
	l        *Loop
	h        Handler
	fd       int
	peer     netip.AddrPort
	in, out  []byte
	sent     int // of out
	total    uint64
	interest uint32
	up       bool
	dirty    bool
	paused   bool
	again    bool // in the loop's list of those with bytes left over
	waits    bool // the kernel took less than there was
	notify   bool // Drained is wanted in any case
	linger   bool
	timer    Timer // connect time-out, then linger
}

// Dial begins a connection; h hears Opened, or Closed if it does not come up within timeout seconds.
func (l *Loop) Dial(to netip.AddrPort, timeout float64, h Handler) *Conn {
	c := &Conn{l: l, h: h, fd: -1, peer: to, interest: unix.EPOLLOUT}
	domain, sa := sockaddr(to)
	fd, err := unix.Socket(domain, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		if err = unix.Connect(fd, sa); err == nil || err == unix.EINPROGRESS {
			c.fd = fd
			err = l.enter(fd, c.interest, entry{c: c})
		} else {
			unix.Close(fd)
		}
	}
	l.conns++
	l.Stats.Conns.Add(1)
	l.Stats.Dialled.Add(1)
	if err != nil {
		l.Later(func() { c.end(fmt.Errorf("connect %s: %w", to, err)) })
		return c
	}
	c.timer.Fire = func() { c.end(ErrConnectTimeout) }
	l.Start(&c.timer, timeout)
	return c
}

// Peer is the other side's address.
func (c *Conn) Peer() netip.AddrPort { return c.peer }

// Open tells whether the connection is up or coming up.
func (c *Conn) Open() bool { return c.fd >= 0 && !c.linger }

// Up tells whether the connection is established.
func (c *Conn) Up() bool { return c.up }

// Sent counts the bytes the kernel has taken, Queued those and the ones that still wait.
func (c *Conn) Sent() uint64 { return c.total }

// Queued counts all bytes ever written to the connection.
func (c *Conn) Queued() uint64 { return c.total + uint64(len(c.out)-c.sent) }

// Waiting is how many written bytes the kernel has not taken.
func (c *Conn) Waiting() int { return len(c.out) - c.sent }

// Write queues bytes; they go out at the end of the turn. b may be used again at once.
func (c *Conn) Write(b []byte) {
	if c.fd < 0 || c.linger {
		return
	}
	if c.out == nil {
		c.out = c.l.buffer()
	}
	c.out = append(c.out, b...)
	c.mark()
}

func (c *Conn) mark() {
	if !c.dirty && c.up {
		c.dirty = true
		c.l.dirty = append(c.l.dirty, c)
	}
}

// Pause stops Data; the kernel's buffer then holds the peer back. A peer that leaves is still noticed.
func (c *Conn) Pause() {
	if !c.paused {
		c.paused = true
		c.want(c.interest &^ unix.EPOLLIN)
	}
}

// Resume lets Data be called again, in this turn for what was left over.
func (c *Conn) Resume() {
	if !c.paused {
		return
	}
	c.paused = false
	c.want(c.interest | unix.EPOLLIN)
	c.Again()
}

// Again lets Data be called in this turn for bytes it left before, if there are any.
func (c *Conn) Again() {
	if len(c.in) > 0 && !c.again {
		c.again = true
		c.l.refeed = append(c.l.refeed, c)
	}
}

func (c *Conn) want(events uint32) {
	if c.fd >= 0 && events != c.interest {
		c.interest = events
		c.l.change(c.fd, events)
	}
}

// Close ends the connection now; what was not written is lost. Handlers are not told.
func (c *Conn) Close() { c.drop() }

// Abort ends the connection now with a reset.
func (c *Conn) Abort() {
	if c.fd >= 0 {
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.drop()
}

// CloseFlushed ends the connection when all written bytes have gone out; what the peer still sends is dropped for a
// while, as unread bytes would make the kernel reset it and the last answer with it. Handlers are not told.
func (c *Conn) CloseFlushed() {
	if c.fd < 0 || c.linger {
		return
	}
	if !c.up {
		c.drop()
		return
	}
	c.linger = true
	c.timer.Fire = c.drop
	c.l.Start(&c.timer, 30) // for the flush; a peer that reads nothing for that long is cut off
	c.want(c.interest | unix.EPOLLIN)
	c.mark()
	c.l.give(c.in)
	c.in = nil
}

func (c *Conn) drop() {
	if c.fd >= 0 {
		c.l.leave(c.fd)
		c.fd = -1
	}
	c.gone()
}

// gone hands back what the connection held, once.
func (c *Conn) gone() {
	c.l.Cancel(&c.timer)
	if c.h == nil {
		return
	}
	c.h = nil
	c.l.give(c.in)
	c.l.give(c.out)
	c.in, c.out, c.sent, c.up = nil, nil, 0, false
	c.l.conns--
	c.l.Stats.Conns.Add(-1)
	for _, ln := range c.l.listeners {
		if ln.paused && !ln.timer.Pending() {
			ln.resume()
		}
	}
}

// end tells the handler and drops the connection.
func (c *Conn) end(err error) {
	if h := c.h; h != nil {
		linger := c.linger
		c.drop()
		if !linger {
			h.Closed(c, err)
		}
	}
}

func (c *Conn) ready(events uint32) {
	if !c.up {
		if code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || code != 0 {
			c.end(fmt.Errorf("connect %s: %w", c.peer, syscall.Errno(code)))
			return
		}
		if events&unix.EPOLLOUT == 0 {
			return
		}
		c.up = true
		c.l.Cancel(&c.timer)
		c.want(unix.EPOLLIN | unix.EPOLLRDHUP)
		c.h.Opened(c)
		if c.fd >= 0 && len(c.out) > 0 {
			c.mark()
		}
		return
	}
	if events&unix.EPOLLOUT != 0 && c.waits {
		c.flush()
	}
	if c.fd < 0 {
		return
	}
	if events&(unix.EPOLLIN|unix.EPOLLERR|unix.EPOLLHUP|unix.EPOLLRDHUP) != 0 {
		if c.paused && events&(unix.EPOLLERR|unix.EPOLLHUP|unix.EPOLLRDHUP) == 0 {
			return
		}
		c.read()
	}
}

func (c *Conn) read() {
	n, err := unix.Read(c.fd, c.l.scratch)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
	case err != nil:
		c.end(os.NewSyscallError("read", err))
	case n == 0:
		c.end(io.EOF)
	case c.linger: // dropped
	case c.paused: // the peer has left with bytes unread: nobody will answer to them
		c.in = append(c.in, c.l.scratch[:n]...)
		if len(c.in) > 4*readSize {
			c.end(io.EOF)
		}
	default:
		c.feed(c.l.scratch[:n])
	}
}

// feed gives the handler what is there, and keeps what it leaves.
func (c *Conn) feed(b []byte) {
	if len(c.in) > 0 {
		c.in = append(c.in, b...)
		b = c.in
	}
	used := c.h.Data(c, b)
	if c.fd < 0 || c.linger {
		return
	}
	rest := b[used:]
	switch {
	case len(rest) == 0:
		if c.in != nil {
			c.l.give(c.in)
			c.in = nil
		}
	case len(c.in) > 0:
		if used > 0 {
			c.in = c.in[:copy(c.in, rest)]
		}
	default:
		c.in = append(c.l.buffer(), rest...)
	}
}

func (c *Conn) flush() {
	for c.sent < len(c.out) {
		n, err := unix.Write(c.fd, c.out[c.sent:])
		if err == unix.EAGAIN {
			c.waits = true
			c.want(c.interest | unix.EPOLLOUT)
			return
		} else if err == unix.EINTR {
			continue
		} else if err != nil {
			c.end(os.NewSyscallError("write", err))
			return
		}
		c.sent += n
		c.total += uint64(n)
	}
	c.l.give(c.out)
	c.out, c.sent = nil, 0
	if c.linger {
		unix.Shutdown(c.fd, unix.SHUT_WR)
		c.l.Start(&c.timer, lingerSpan)
	}
	tell := c.waits || c.notify
	if c.notify = false; c.waits {
		c.waits = false
		c.want(c.interest &^ unix.EPOLLOUT)
	}
	if tell && !c.linger {
		c.h.Drained(c)
	}
}

// NotifyDrained asks for Drained after what is written now, also where it goes out at once.
func (c *Conn) NotifyDrained() { c.notify = true }

func sockaddr(a netip.AddrPort) (int, unix.Sockaddr) {
	if a.Addr().Unmap().Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().Unmap().As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}
}

func addrPort(sa unix.Sockaddr) netip.AddrPort {
	switch sa := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(sa.Addr), uint16(sa.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(sa.Addr).Unmap(), uint16(sa.Port))
	}
	return netip.AddrPort{}
}
