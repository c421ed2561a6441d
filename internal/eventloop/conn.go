//go:build linux

package eventloop

import (
	"fmt"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is one TCP connection. It belongs to its loop; a closed Conn may still be used, without effect.
type Conn struct {
	loop         *Loop
	handler      Handler // nil once the connection has ended
	fd           int     // -1 before there is a socket and after the end
	peer         netip.AddrPort
	unconsumed   []byte // received, and not consumed by the handler
	outgoing     []byte // written by the owner; the first outgoingSent bytes have been accepted by the kernel
	outgoingSent int
	sentBytes    uint64 // accepted by the kernel in total
	interest     uint32 // epoll events asked for

	dialing         bool
	connectDeadline float64
	established     bool
	lingering       bool  // ended by CloseFlushed
	peerClosedSide  bool  // while lingering with bytes still to be written
	timer           Timer // for connecting, then for lingering

	writePending      bool // in Loop.writes
	writeBlocked      bool // the kernel accepted less than was written
	notifyFlushed     bool // Flushed is to be called in any case
	redeliveryPending bool // in Loop.redeliveries
	paused            bool // by Pause

	backingOff   bool   // in Loop.backingOff: the kernel has no memory for reads or writes
	readPauses   uint32 // how often that happened
	wasUnwatched bool   // events may have been missed: the next read reads everything

	// Arrival times; see arrival.go.
	hasUnread   bool    // unread bytes may have arrived before the latest polls,
	unreadAfter float64 // and after this time;
	unreadPoll  int64   // pollHistory.count when that was recorded
	receivedAt  float64 // when the bytes being passed to the handler arrived
}

// Peer returns the address of the other side.
func (c *Conn) Peer() netip.AddrPort { return c.peer }

// IsOpen reports whether the connection is established or being established, and not being closed.
func (c *Conn) IsOpen() bool { return c.fd >= 0 && !c.lingering }

// IsEstablished reports whether the connection is established.
func (c *Conn) IsEstablished() bool { return c.established }

// Close ends the connection at once. Bytes that the kernel has not accepted are lost. Closed is not called.
func (c *Conn) Close() {
	if c.fd >= 0 {
		c.loop.unregister(c.fd)
		c.fd = -1
	}
	c.release()
}

// Abort ends the connection at once with a reset. Closed is not called.
func (c *Conn) Abort() {
	if c.fd >= 0 {
		// Where this fails the connection ends by a FIN: the peer still sees a response that is not complete.
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.Close()
}

// CloseFlushed ends the connection once all written bytes have been sent. What the peer still sends is read and
// discarded until it closes its side, for lingerTimeout at most: unread bytes would make the kernel reset the connection,
// and the peer could lose the last response. Closed is not called.
func (c *Conn) CloseFlushed() {
	if c.fd < 0 || c.lingering {
		return
	}
	if !c.established {
		c.Close()
		return
	}
	c.lingering = true
	c.loop.lingeringCount++
	c.timer.Fire = c.Close
	c.loop.StartTimer(&c.timer, flushTimeout)
	c.setInterest(c.interest | unix.EPOLLIN)
	c.scheduleWrite()
	c.loop.recycleBuffer(c.unconsumed)
	c.unconsumed = nil
}

// fail ends the connection and calls Closed, unless the owner has closed it.
func (c *Conn) fail(err error) {
	handler := c.handler
	if handler == nil {
		return
	}
	wasLingering := c.lingering
	c.Close()
	if !wasLingering {
		handler.Closed(c, err)
	}
}

// release returns what the connection held to the loop, once, and lets paused listeners accept again.
func (c *Conn) release() {
	l := c.loop
	l.CancelTimer(&c.timer)
	if c.handler == nil {
		return
	}
	c.handler = nil
	if c.lingering {
		l.lingeringCount--
	}
	l.recycleBuffer(c.unconsumed)
	l.recycleBuffer(c.outgoing)
	c.unconsumed = nil
	c.outgoing = nil
	c.outgoingSent = 0
	c.established = false
	c.dialing = false
	l.connCount--
	l.Stats.Connections.Add(-1)
	for _, listener := range l.listeners {
		if listener.paused && !listener.timer.Pending() {
			listener.resume()
		}
	}
}

// setInterest changes the epoll events asked for.
func (c *Conn) setInterest(events uint32) {
	if c.fd >= 0 && events != c.interest {
		c.interest = events
		c.loop.setEvents(c.fd, events)
	}
}

// handleEvents handles the events that a poll reported.
func (c *Conn) handleEvents(events uint32) {
	if !c.established {
		c.finishConnect(events)
		return
	}
	if events&unix.EPOLLOUT != 0 && c.writeBlocked {
		c.flush()
	}
	if c.fd >= 0 {
		c.handleReadable(events)
	}
}

// finishConnect handles the events of a connection being established.
func (c *Conn) finishConnect(events uint32) {
	code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = syscall.Errno(code)
	}
	if err != nil {
		c.fail(fmt.Errorf("connect %s: %w", c.peer, err))
		return
	}
	if events&unix.EPOLLOUT == 0 {
		return
	}
	c.established = true
	c.loop.CancelTimer(&c.timer)
	c.setInterest(unix.EPOLLIN | unix.EPOLLRDHUP)
	c.handler.Connected(c)
	if c.fd >= 0 && len(c.outgoing) > 0 {
		c.scheduleWrite()
	}
}
