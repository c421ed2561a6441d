//go:build linux

package loop

import (
	"fmt"
	"math"
	"net/netip"

	"golang.org/x/sys/unix"
)

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

// Drain accepts all that wait in the listen backlog, and then ends accepting: closing would reset them, and the requests
// they carry were taken when the kernel completed the connections.
func (ln *Listener) Drain() {
	for before := int64(-1); ln.fd >= 0 && !ln.paused && ln.l.Stats.Accepted.Load() != before; {
		before = ln.l.Stats.Accepted.Load()
		ln.accept()
	}
	ln.Close()
}

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
		fd, sa, err := ln.l.kernel.Accept(ln.fd)
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
	if fd, _, err := ln.l.kernel.Accept(ln.fd); err == nil {
		unix.Close(fd)
	}
	ln.l.reserve, _ = unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
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
