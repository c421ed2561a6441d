//go:build linux

package eventloop

import (
	"fmt"
	"math"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Listener accepts connections. It does not drop connections from the kernel's accept queue: while none can be accepted
// they stay there, and Drain accepts all of them before it closes the socket.
type Listener struct {
	// AdmitConnection is called before each connection is accepted, and reports whether there is capacity for one more; if
	// not, connections stay in the accept queue. evict is true if a connection is known to be pending: the owner may then
	// close others to free capacity. AdmitConnection may be nil.
	AdmitConnection func(evict bool) bool

	loop           *Loop
	fd             int // -1 after Close
	addr           netip.AddrPort
	newHandler     func(c *Conn) Handler
	backoffDelay   float64 // duration of the latest pause after failures, s; 0 after a success
	timer          Timer   // ends a pause
	paused         bool
	draining       bool
	mayHavePending bool    // the accept queue may hold connections that are older than the latest polls
	pendingPoll    int64   // pollHistory.count when mayHavePending was set, or when polls began to watch the socket again
	knownEmptyAt   float64 // latest time at which the accept queue is known to have been empty, s of the loop's clock
}

// Listen opens a TCP listener. newHandler returns the handler of an accepted connection, or nil to close it. Port 0
// selects a free port, which Addr returns.
func (l *Loop) Listen(at netip.AddrPort, newHandler func(c *Conn) Handler) (*Listener, error) {
	domain, address := toSockaddr(at)
	fd, err := l.kernel.Socket(domain, unix.SOCK_STREAM, 0)
	if err != nil {
		return nil, fmt.Errorf("listen %s: %w", at, err)
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) // if this fails, bind may return EADDRINUSE
	err = l.kernel.Bind(fd, address)
	if err == nil {
		err = l.kernel.Listen(fd, listenBacklog)
	}
	if err != nil {
		l.kernel.Close(fd)
		return nil, fmt.Errorf("listen %s: %w", at, err)
	}
	listener := &Listener{loop: l, fd: fd, addr: at, newHandler: newHandler, knownEmptyAt: l.now}
	bound, err := unix.Getsockname(fd)
	if err == nil {
		listener.addr = toAddrPort(bound)
	}
	listener.timer.Fire = listener.onBackoffEnd
	l.register(fd, unix.EPOLLIN, registration{listener: listener})
	l.listeners = append(l.listeners, listener)
	return listener, nil
}

// Addr returns the address that the listener listens on.
func (ln *Listener) Addr() netip.AddrPort { return ln.addr }

// Drain accepts all connections in the accept queue, even if accepting pauses in between, and then closes the listener.
// Closing it immediately would reset them, although for their clients they are established and may already carry requests.
func (ln *Listener) Drain() {
	if ln.fd >= 0 && !ln.draining {
		ln.draining = true
		ln.acceptPending()
	}
}

// IsDraining reports whether Drain has been called and connections may still be pending.
func (ln *Listener) IsDraining() bool { return ln.draining && ln.fd >= 0 }

// IsOpen reports whether connections may still be accepted.
func (ln *Listener) IsOpen() bool { return ln.fd >= 0 }

// Close closes the listener immediately. Accepted connections are not affected.
func (ln *Listener) Close() {
	if ln.fd >= 0 {
		ln.loop.CancelTimer(&ln.timer)
		ln.loop.unregister(ln.fd)
		ln.fd = -1
	}
}

// markPending records that the accept queue may hold more connections.
func (ln *Listener) markPending() {
	ln.mayHavePending = true
	ln.pendingPoll = ln.loop.polls.count
}

// wasEmptyBefore reports whether the accept queue was empty as of pollHistory.previousReportedUntil: the poll before the latest
// one watched the socket and did not report it.
func (ln *Listener) wasEmptyBefore() bool {
	if !ln.mayHavePending {
		return true
	}
	isWatched := !ln.paused && !ln.loop.descriptors[ln.fd].failed
	return isWatched && ln.loop.polls.count-ln.pendingPoll > 1
}

func (ln *Listener) pause() {
	ln.markPending()
	if !ln.paused {
		ln.paused = true
		ln.loop.setEvents(ln.fd, 0)
	}
}

func (ln *Listener) resume() {
	if ln.paused && ln.fd >= 0 {
		ln.paused = false
		ln.pendingPoll = ln.loop.polls.count
		ln.loop.setEvents(ln.fd, unix.EPOLLIN)
	}
}

func (ln *Listener) pauseFor(seconds float64) {
	ln.pause()
	ln.loop.StartTimer(&ln.timer, seconds)
}

// startBackoff pauses accepting because of a lack of local resources, for twice as long as the last time, between
// minAcceptBackoff and maxAcceptBackoff.
func (ln *Listener) startBackoff() {
	ln.backoffDelay = math.Min(math.Max(2*ln.backoffDelay, minAcceptBackoff), maxAcceptBackoff)
	ln.pauseFor(ln.backoffDelay)
}

func (ln *Listener) onBackoffEnd() {
	ln.resume()
	if ln.draining { // draining ends when the queue is empty, which epoll does not report
		ln.acceptPending()
	}
}

// acceptPending accepts up to maxAcceptsPerTurn connections from the accept queue.
func (ln *Listener) acceptPending() {
	if ln.wasEmptyBefore() {
		ln.knownEmptyAt = math.Max(ln.knownEmptyAt, ln.loop.polls.previousReportedUntil)
	}
	acceptedBefore := ln.loop.Stats.Accepted.Load()
	for i := range maxAcceptsPerTurn {
		if ln.fd < 0 || !ln.acceptOne(i == 0) {
			return
		}
	}
	ln.markPending()
	if ln.loop.Stats.Accepted.Load() == acceptedBefore { // every accept failed: avoid a busy loop
		ln.startBackoff()
		return
	}
	if ln.draining {
		ln.loop.Defer(ln.acceptPending)
	}
}

// acceptOne accepts one connection and reports whether to continue. knownPending is true if epoll has reported a pending
// connection and none has been accepted since; the owner is then asked to free capacity.
func (ln *Listener) acceptOne(knownPending bool) bool {
	l := ln.loop
	if !ln.hasCapacity(knownPending) {
		return false
	}
	fd, address, err := l.kernel.Accept(ln.fd)
	switch err {
	case nil:
		ln.backoffDelay = 0
		l.Stats.Accepted.Add(1)
		ln.openConn(fd, toAddrPort(address))
		return true
	case unix.EAGAIN:
		ln.mayHavePending = false
		ln.knownEmptyAt = l.now
		if ln.draining {
			ln.Close()
		}
		return false
	case unix.EMFILE:
		l.Stats.DescriptorShortages.Add(1)
		if l.freeDescriptor() {
			return true
		}
		ln.startBackoff()
		return false
	case unix.ENFILE, unix.ENOBUFS, unix.ENOMEM:
		l.Stats.DescriptorShortages.Add(1)
		ln.startBackoff()
		return false
	default: // EINTR, or the connection failed before it was accepted (ECONNABORTED, for example)
		return true
	}
}

// hasCapacity reports whether one more connection may be accepted. If not, it pauses accepting, unless the owner has no
// capacity and no connection is known to be pending.
func (ln *Listener) hasCapacity(knownPending bool) bool {
	l := ln.loop
	if l.maxConns > 0 && l.connCount >= l.maxConns {
		ln.pause() // until Conn.release resumes it
		if ln.draining {
			l.StartTimer(&ln.timer, minAcceptBackoff)
		}
		return false
	}
	evict := knownPending || ln.draining
	if ln.AdmitConnection != nil && !ln.AdmitConnection(evict) {
		ln.markPending()
		if evict {
			ln.pauseFor(capacityBackoff)
		}
		return false
	}
	return true
}

// openConn creates the Conn of an accepted connection.
func (ln *Listener) openConn(fd int, peer netip.AddrPort) {
	l := ln.loop
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // a failure only adds latency
	c := &Conn{loop: l, fd: fd, peer: peer, established: true, interest: unix.EPOLLIN | unix.EPOLLRDHUP}
	c.markUnread(ln.knownEmptyAt) // its first bytes may have arrived at any time since
	c.handler = ln.newHandler(c)
	if c.handler == nil {
		l.kernel.Close(fd)
		return
	}
	l.connCount++
	l.Stats.Connections.Add(1)
	l.register(fd, c.interest, registration{conn: c})
}
