//go:build linux

package eventloop

import (
	"fmt"
	"math"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Listener accepts connections. No connection that the kernel holds is ever closed unheard: while none can be taken,
// they wait in the backlog.
type Listener struct {
	// Room, where set, is asked before each connection is accepted; where it says no, connections wait in the backlog.
	// With one known to wait it is asked to make room.
	Room func(makeIt bool) bool

	loop           *Loop
	fd             int
	addr           netip.AddrPort
	newHandler     func(c *Conn) Handler
	backoff        float64
	timer          Timer
	paused         bool
	draining       bool
	mayHaveWaiting bool    // connections may wait from before the last look
	knownEmptyAt   float64 // the backlog was empty then, or later
}

// Listen opens a TCP listener; accepted returns the handler of a new connection. Port 0 takes a free one, which
// Addr tells.
func (l *Loop) Listen(at netip.AddrPort, accepted func(c *Conn) Handler) (*Listener, error) {
	domain, sa := sockaddr(at)
	fd, err := l.kernel.Socket(domain, unix.SOCK_STREAM, 0)
	if err != nil {
		return nil, fmt.Errorf("listen %s: %w", at, err)
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err = l.kernel.Bind(fd, sa); err == nil {
		err = l.kernel.Listen(fd, listenBacklog)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listen %s: %w", at, err)
	}
	ln := &Listener{loop: l, fd: fd, addr: at, newHandler: accepted, knownEmptyAt: l.now}
	if sa, err := unix.Getsockname(fd); err == nil {
		ln.addr = addrPort(sa)
	}
	ln.timer.Fire = ln.onBackoffEnd
	l.register(fd, unix.EPOLLIN, registration{listener: ln})
	l.listeners = append(l.listeners, ln)
	return ln, nil
}

// Addr is the address listened on.
func (ln *Listener) Addr() netip.AddrPort { return ln.addr }

// Drain accepts all that wait in the backlog, however long accepting has to rest in between, and then ends accepting:
// closing at once would reset them, and the requests they carry were taken when the kernel completed the connections.
func (ln *Listener) Drain() {
	if ln.fd >= 0 && !ln.draining {
		ln.draining = true
		ln.acceptWaiting()
	}
}

// Draining tells whether connections may still wait to be accepted before accepting ends.
func (ln *Listener) Draining() bool { return ln.draining && ln.fd >= 0 }

// Close ends accepting; accepted connections live on.
func (ln *Listener) Close() {
	if ln.fd >= 0 {
		ln.loop.Cancel(&ln.timer)
		ln.loop.unregister(ln.fd)
		ln.fd = -1
	}
}

func (ln *Listener) pause() {
	ln.mayHaveWaiting = true
	if !ln.paused {
		ln.paused = true
		ln.loop.setEvents(ln.fd, 0)
	}
}

func (ln *Listener) resume() {
	if ln.paused && ln.fd >= 0 {
		ln.paused = false
		ln.loop.setEvents(ln.fd, unix.EPOLLIN)
	}
}

// onBackoffEnd goes on after a rest.
func (ln *Listener) onBackoffEnd() {
	ln.resume()
	if ln.draining { // an empty backlog would never call
		ln.acceptWaiting()
	}
}

// pauseFor lets accepting rest.
func (ln *Listener) pauseFor(span float64) {
	ln.pause()
	ln.loop.Start(&ln.timer, span)
}

// acceptWaiting takes what waits, up to a bound for each turn.
func (ln *Listener) acceptWaiting() {
	if !ln.mayHaveWaiting {
		ln.knownEmptyAt = math.Max(ln.knownEmptyAt, ln.loop.previousPolledUntil)
	}
	before := ln.loop.Stats.Accepted.Load()
	for i := range maxAcceptsPerTurn {
		if ln.fd < 0 || !ln.acceptOne(i == 0) {
			return
		}
	}
	if ln.mayHaveWaiting = true; ln.loop.Stats.Accepted.Load() == before { // nothing but failures: no busy loop
		ln.backOff()
		return
	}
	if ln.draining {
		ln.loop.Defer(ln.acceptWaiting)
	}
}

// acceptOne takes one connection, and tells whether to go on. Where one is sure to wait, room is made for it.
func (ln *Listener) acceptOne(sure bool) bool {
	l := ln.loop
	if l.maxConns > 0 && l.connCount >= l.maxConns {
		ln.pause() // gone resumes
		if ln.draining {
			l.Start(&ln.timer, minAcceptBackoff)
		}
		return false
	}
	if ln.Room != nil && !ln.Room(sure || ln.draining) {
		if ln.mayHaveWaiting = true; sure || ln.draining {
			ln.pauseFor(capacityBackoff)
		}
		return false
	}
	fd, sa, err := l.kernel.Accept(ln.fd)
	switch err {
	case nil:
	case unix.EAGAIN:
		ln.mayHaveWaiting, ln.knownEmptyAt = false, l.now
		if ln.draining {
			ln.Close()
		}
		return false
	case unix.EMFILE:
		l.Stats.DescriptorShortages.Add(1)
		if l.releaseReserve() || l.OnDescriptorShortage != nil && l.OnDescriptorShortage() {
			return true
		}
		ln.backOff()
		return false
	case unix.ENFILE, unix.ENOBUFS, unix.ENOMEM:
		l.Stats.DescriptorShortages.Add(1)
		ln.backOff()
		return false
	default: // the connection failed before it was accepted, ECONNABORTED and the like, or EINTR
		return true
	}
	ln.backoff = 0
	l.Stats.Accepted.Add(1)
	ln.openConn(fd, addrPort(sa))
	return true
}

// backOff rests for longer each time, as what fails is the machine's.
func (ln *Listener) backOff() {
	ln.backoff = math.Min(math.Max(2*ln.backoff, minAcceptBackoff), maxAcceptBackoff)
	ln.pauseFor(ln.backoff)
}

// openConn takes an accepted connection in.
func (ln *Listener) openConn(fd int, peer netip.AddrPort) {
	l := ln.loop
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := &Conn{loop: l, fd: fd, peer: peer, established: true, interest: unix.EPOLLIN | unix.EPOLLRDHUP}
	c.markUnread(ln.knownEmptyAt)
	if c.handler = ln.newHandler(c); c.handler == nil {
		unix.Close(fd)
		return
	}
	l.connCount++
	l.Stats.Connections.Add(1)
	l.register(fd, c.interest, registration{conn: c})
}

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
