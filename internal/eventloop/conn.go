//go:build linux

package eventloop

import (
	"fmt"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a TCP connection. It belongs to its loop. Methods of a closed Conn have no effect.
type Conn struct {
	loop         *Loop
	handler      Handler // nil once the connection has ended
	fd           int     // -1 before the socket is created and after it is closed
	peer         netip.AddrPort
	unconsumed   []byte // received, but not consumed by the handler
	outgoing     []byte // queued for writing; the kernel has accepted the first outgoingSent bytes
	outgoingSent int
	sentBytes    uint64 // accepted by the kernel in total
	interest     uint32 // epoll events to watch for

	dialing         bool
	connectDeadline float64 // on the loop's clock, s
	established     bool
	lingering       bool  // being closed by CloseFlushed
	peerHalfClosed  bool  // the peer closed its side while lingering with bytes left to write
	timer           Timer // connect timeout, then flush and linger timeouts

	writePending      bool // in Loop.writes
	writeBlocked      bool // the kernel did not accept all queued bytes
	notifyFlushed     bool // call Flushed even if the kernel accepts all bytes at once
	redeliveryPending bool // in Loop.redeliveries
	paused            bool // by Pause

	inBackoff    bool    // the kernel had no memory for a read or write, and backoffTimer is pending
	backoffDelay float64 // duration of the latest backoff, s; 0 after a read or write that succeeded
	backoffTimer Timer
	backoffCount uint32 // number of backoffs so far
	readAll      bool   // events may have been missed or a read has failed since the kernel was last empty: read until it is

	// Arrival times; see arrival.go.
	hasUnread   bool    // there may be unread bytes that arrived before the latest polls
	unreadAfter float64 // lower bound of their arrival time
	unreadPoll  int64   // pollHistory.count when hasUnread was set
	receivedAt  float64 // estimated arrival time of the bytes being passed to the handler
}

// Peer returns the address of the peer.
func (c *Conn) Peer() netip.AddrPort { return c.peer }

// IsOpen reports whether the connection is established or being established, and not being closed.
func (c *Conn) IsOpen() bool { return c.fd >= 0 && !c.lingering }

// IsEstablished reports whether the connection is established.
func (c *Conn) IsEstablished() bool { return c.established }

// Close closes the connection immediately. Bytes that the kernel has not accepted are lost. Closed is not called.
func (c *Conn) Close() {
	if c.fd >= 0 {
		c.loop.unregister(c.fd)
		c.fd = -1
	}
	c.release()
}

// Abort resets the connection immediately. Closed is not called.
func (c *Conn) Abort() {
	if c.fd >= 0 {
		// If this fails, the connection ends with a FIN, and the peer still sees an incomplete response.
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.Close()
}

// CloseFlushed closes the connection once all written bytes have been sent. It then waits for the peer to close its side,
// for at most lingerTimeout. Bytes that the peer still sends are read and discarded: unread bytes would make the kernel
// reset the connection, and the peer could lose the last response. Closed is not called.
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

// fail closes the connection and calls Closed, unless the owner has closed it already.
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

// release returns the buffers and the slot of the connection to the loop and lets paused listeners accept again. Further
// calls have no effect.
func (c *Conn) release() {
	l := c.loop
	l.CancelTimer(&c.timer)
	l.CancelTimer(&c.backoffTimer)
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

// setInterest changes the epoll events that the connection is watched for.
func (c *Conn) setInterest(events uint32) {
	if c.fd >= 0 && events != c.interest {
		c.interest = events
		c.loop.setEvents(c.fd, events)
	}
}

// handleEvents handles the events reported by a poll.
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
