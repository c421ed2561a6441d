//go:build linux

package eventloop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Dial starts to connect to an address and returns the connection, to which the caller may write immediately. Connected is
// called when the connection is established, or Closed if that fails or takes longer than timeout seconds. Attempts that
// fail for lack of local resources are retried within that time.
func (l *Loop) Dial(to netip.AddrPort, timeout float64, handler Handler) *Conn {
	c := &Conn{
		loop:            l,
		handler:         handler,
		fd:              -1,
		peer:            to,
		interest:        unix.EPOLLOUT,
		dialing:         true,
		connectDeadline: l.now + timeout,
	}
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
		l.StartTimer(&c.timer, c.connectDeadline-l.now)
		return
	}
	if err == unix.EMFILE && l.OnDescriptorShortage != nil {
		l.OnDescriptorShortage()
	}
	if isRetriable(err) && l.now+localFailureBackoff < c.connectDeadline {
		l.Stats.LocalFailures.Add(1)
		l.StartTimer(&c.timer, localFailureBackoff)
		return
	}
	if isLocalError(err) {
		err = &LocalError{err}
	}
	// Deferred, so that Closed is not called before Dial has returned.
	l.Defer(func() { c.fail(fmt.Errorf("connect %s: %w", c.peer, err)) })
}

// onConnectTimer dials again after a local failure, or fails a connection that was not established in time.
func (c *Conn) onConnectTimer() {
	if c.fd < 0 {
		c.tryDial()
		return
	}
	c.fail(ErrConnectTimeout)
}

// startConnect opens a socket and starts to connect it.
func (l *Loop) startConnect(to netip.AddrPort) (fd int, err error) {
	domain, address := toSockaddr(to)
	fd, err = l.kernel.Socket(domain, unix.SOCK_STREAM, 0)
	if err != nil {
		return -1, err
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // a failure only adds latency
	err = l.kernel.Connect(fd, address)
	switch err {
	case nil, unix.EINPROGRESS, unix.EINTR: // an interrupted connect continues in the kernel
		return fd, nil
	}
	l.kernel.Close(fd)
	return -1, err
}
