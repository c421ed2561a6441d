//go:build linux

package eventloop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// LocalError ends a dialled connection that could not be tried for want of this machine's means: it says nothing of the
// peer, and nothing was written.
type LocalError struct{ Err error }

func (e *LocalError) Error() string { return "no means to connect: " + e.Err.Error() }

// Unwrap returns what the system call said.
func (e *LocalError) Unwrap() error { return e.Err }

// Dial begins a connection; h hears Opened, or Closed if it does not come up within timeout seconds. What fails for want
// of this machine's means is tried again within that time.
func (l *Loop) Dial(to netip.AddrPort, timeout float64, h Handler) *Conn {
	c := &Conn{loop: l, handler: h, fd: -1, peer: to, interest: unix.EPOLLOUT, dialing: true, connectDeadline: l.now + timeout}
	c.timer.Fire = c.onConnectTimer
	l.connCount++
	l.Stats.Connections.Add(1)
	l.Stats.Dialled.Add(1)
	c.tryDial()
	return c
}

func (c *Conn) tryDial() {
	l := c.loop
	fd, err := l.startConnect(c.peer)
	if err == nil {
		c.fd = fd
		l.register(fd, c.interest, registration{conn: c})
		l.Start(&c.timer, c.connectDeadline-l.now)
		return
	}
	if err == unix.EMFILE && l.OnDescriptorShortage != nil {
		l.OnDescriptorShortage()
	}
	if isRetryable(err) && l.now+localFailureBackoff < c.connectDeadline {
		l.Stats.LocalFailures.Add(1)
		l.Start(&c.timer, localFailureBackoff)
		return
	}
	if isLocalError(err) {
		err = &LocalError{err}
	}
	l.Defer(func() { c.fail(fmt.Errorf("connect %s: %w", c.peer, err)) })
}

// onConnectTimer tries again what failed here, or gives up what does not come up.
func (c *Conn) onConnectTimer() {
	if c.fd < 0 {
		c.tryDial()
		return
	}
	c.fail(ErrConnectTimeout)
}

// startConnect begins a connection on a new socket.
func (l *Loop) startConnect(to netip.AddrPort) (int, error) {
	domain, sa := sockaddr(to)
	fd, err := l.kernel.Socket(domain, unix.SOCK_STREAM, 0)
	if err != nil {
		return -1, err
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	switch err = l.kernel.Connect(fd, sa); err {
	case nil, unix.EINPROGRESS, unix.EINTR: // interrupted, it goes on by itself
		return fd, nil
	}
	unix.Close(fd)
	return -1, err
}

// isLocalError tells whether an error of socket or connect speaks of this machine and not of the peer.
func isLocalError(err error) bool {
	switch err {
	case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EADDRINUSE, unix.EAGAIN:
		return true
	}
	return false
}

// isRetryable tells whether an error is worth another try: what is ours, and a network that is down, which may be so for all.
func isRetryable(err error) bool {
	return isLocalError(err) || err == unix.ENETUNREACH || err == unix.ENETDOWN
}
