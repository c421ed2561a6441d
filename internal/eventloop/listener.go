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

	l        *Loop
	fd       int
	addr     netip.AddrPort
	accepted func(c *Conn) Handler
	rest     float64
	timer    Timer
	paused   bool
	draining bool
	behind   bool    // connections may wait from before the last look
	emptyAt  float64 // the backlog was empty then, or later
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
		err = l.kernel.Listen(fd, backlogSize)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listen %s: %w", at, err)
	}
	ln := &Listener{l: l, fd: fd, addr: at, accepted: accepted, emptyAt: l.now}
	if sa, err := unix.Getsockname(fd); err == nil {
		ln.addr = addrPort(sa)
	}
	ln.timer.Fire = ln.retry
	l.enter(fd, unix.EPOLLIN, entry{l: ln})
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
		ln.accept()
	}
}

// Draining tells whether connections may still wait to be accepted before accepting ends.
func (ln *Listener) Draining() bool { return ln.draining && ln.fd >= 0 }

// Close ends accepting; accepted connections live on.
func (ln *Listener) Close() {
	if ln.fd >= 0 {
		ln.l.Cancel(&ln.timer)
		ln.l.leave(ln.fd)
		ln.fd = -1
	}
}

func (ln *Listener) pause() {
	ln.behind = true
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

// retry goes on after a rest.
func (ln *Listener) retry() {
	ln.resume()
	if ln.draining { // an empty backlog would never call
		ln.accept()
	}
}

// pauseFor lets accepting rest.
func (ln *Listener) pauseFor(span float64) {
	ln.pause()
	ln.l.Start(&ln.timer, span)
}

// accept takes what waits, up to a bound for each turn.
func (ln *Listener) accept() {
	if !ln.behind {
		ln.emptyAt = math.Max(ln.emptyAt, ln.l.heardTo)
	}
	before := ln.l.Stats.Accepted.Load()
	for i := range acceptTurn {
		if ln.fd < 0 || !ln.acceptOne(i == 0) {
			return
		}
	}
	if ln.behind = true; ln.l.Stats.Accepted.Load() == before { // nothing but failures: no busy loop
		ln.restMore()
		return
	}
	if ln.draining {
		ln.l.Defer(ln.accept)
	}
}

// acceptOne takes one connection, and tells whether to go on. Where one is sure to wait, room is made for it.
func (ln *Listener) acceptOne(sure bool) bool {
	l := ln.l
	if l.maxConns > 0 && l.conns >= l.maxConns {
		ln.pause() // gone resumes
		if ln.draining {
			l.Start(&ln.timer, acceptRest)
		}
		return false
	}
	if ln.Room != nil && !ln.Room(sure || ln.draining) {
		if ln.behind = true; sure || ln.draining {
			ln.pauseFor(roomRest)
		}
		return false
	}
	fd, sa, err := l.kernel.Accept(ln.fd)
	switch err {
	case nil:
	case unix.EAGAIN:
		ln.behind, ln.emptyAt = false, l.now
		if ln.draining {
			ln.Close()
		}
		return false
	case unix.EMFILE:
		l.Stats.DescriptorShortages.Add(1)
		if l.releaseReserve() || l.OnDescriptorShortage != nil && l.OnDescriptorShortage() {
			return true
		}
		ln.restMore()
		return false
	case unix.ENFILE, unix.ENOBUFS, unix.ENOMEM:
		l.Stats.DescriptorShortages.Add(1)
		ln.restMore()
		return false
	default: // the connection failed before it was accepted, ECONNABORTED and the like, or EINTR
		return true
	}
	ln.rest = 0
	l.Stats.Accepted.Add(1)
	ln.begin(fd, addrPort(sa))
	return true
}

// restMore rests for longer each time, as what fails is the machine's.
func (ln *Listener) restMore() {
	ln.rest = math.Min(math.Max(2*ln.rest, acceptRest), acceptMost)
	ln.pauseFor(ln.rest)
}

// begin takes an accepted connection in.
func (ln *Listener) begin(fd int, peer netip.AddrPort) {
	l := ln.l
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := &Conn{l: l, fd: fd, peer: peer, up: true, interest: unix.EPOLLIN | unix.EPOLLRDHUP}
	c.fallBehind(ln.emptyAt)
	if c.h = ln.accepted(c); c.h == nil {
		unix.Close(fd)
		return
	}
	l.conns++
	l.Stats.Connections.Add(1)
	l.enter(fd, c.interest, entry{c: c})
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
