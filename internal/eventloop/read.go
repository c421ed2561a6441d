//go:build linux

package eventloop

import (
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// The reading half of a connection: how much is read when, when it came in, and what the peer's close means.

// ReadNow reads now what the kernel holds, before the turn in which it would be heard: what has come in by the time a
// connection is closed was sent in time. The handler hears it as ever, and may close the connection.
func (c *Conn) ReadNow() {
	after := c.arrivedAfter()
	for taken := 0; taken < maxCatchUpReads*readBufferBytes && c.fd >= 0 && c.established && !c.paused && !c.lingering; {
		n, more := c.read(after)
		if taken += n; !more {
			break
		}
	}
	if len(c.in) > 0 || c.backingOff {
		c.markUnread(after)
	}
}

// read reads once what had not come in at a time, and tells how much, and whether there may be more.
func (c *Conn) read(after float64) (n int, more bool) {
	n, err := c.loop.kernel.Read(c.fd, c.loop.readBuffer)
	switch {
	case err == unix.EAGAIN:
		return 0, false
	case err == unix.EINTR:
		return 0, true
	case err == unix.ENOMEM || err == unix.ENOBUFS:
		c.backOff()
	case err != nil:
		c.fail(os.NewSyscallError("read", err))
	case n == 0:
		c.peerClosed()
	case c.lingering: // dropped
	case c.paused: // the peer has left with bytes unread: nobody will answer to them
		c.in = append(c.in, c.loop.readBuffer[:n]...)
		if len(c.in) > 4*readBufferBytes {
			c.fail(io.EOF)
		}
	default:
		c.receivedAt = c.loop.arrivalTime(after)
		if n == len(c.loop.readBuffer) {
			c.markUnread(after)
		} else {
			c.hasUnread = false
		}
		c.deliver(c.loop.readBuffer[:n])
		return n, true
	}
	return 0, false
}

// deliver gives the handler what is there, and keeps what it leaves.
func (c *Conn) deliver(b []byte) {
	if len(c.in) > 0 {
		c.in = append(c.in, b...)
		b = c.in
	}
	used := c.handler.Received(c, b)
	if c.fd < 0 || c.lingering {
		return
	}
	rest := b[used:]
	switch {
	case len(rest) == 0:
		if c.in != nil {
			c.loop.recycleBuffer(c.in)
			c.in = nil
		}
	case len(c.in) > 0:
		if used > 0 {
			c.in = c.in[:copy(c.in, rest)]
		}
	default:
		c.in = append(c.loop.takeBuffer(), rest...)
	}
}

// HalfCloser is a Handler that has something to say to a peer that has closed its side: it may still read.
type HalfCloser interface {
	// PeerClosed is called before the connection ends for that; it may write, and close the connection by CloseFlushed.
	PeerClosed(c *Conn)
}

// peerClosed ends a connection whose peer has closed its side; one that is being ended goes on until all is written.
func (c *Conn) peerClosed() {
	if c.lingering && c.UnsentBytes() > 0 {
		c.peerClosedSide = true
		c.setInterest(c.interest &^ (unix.EPOLLIN | unix.EPOLLRDHUP))
		return
	}
	if h, ok := c.handler.(HalfCloser); ok && !c.lingering {
		if h.PeerClosed(c); c.lingering {
			return
		}
	}
	c.fail(io.EOF)
}

// ReceivedAt is when the bytes that Data is called with came in, as early as the loop's looks allow: it may have stood
// still since. It is on the loop's clock and never in the future.
func (c *Conn) ReceivedAt() float64 { return c.receivedAt }

// markUnread notes that what is there may have come in before the latest looks, but after a time.
func (c *Conn) markUnread(after float64) {
	c.hasUnread, c.unreadAfter, c.unreadPoll = true, after, c.loop.pollCount
}

// arrivedAfter is a time at which what is read now had not come in. A connection that fell behind and that a later look did
// not tell of had nothing then, unless the kernel does not watch it.
func (c *Conn) arrivedAfter() float64 {
	if c.hasUnread && c.loop.pollCount <= c.unreadPoll+1 || c.backingOff || c.fd >= 0 && c.loop.descriptors[c.fd].refused {
		return c.unreadAfter
	}
	return c.loop.previousPolledUntil
}

// ReadPauses counts how often the connection was left alone for a moment, as its reads or writes failed for want of the
// machine's means: what did not come in meanwhile is not its peer's fault.
func (c *Conn) ReadPauses() uint32 { return c.readPauses }

// backOff leaves a connection alone for a moment, as the kernel has no memory for it.
func (c *Conn) backOff() {
	if c.backingOff {
		return
	}
	c.unreadAfter = c.arrivedAfter()
	c.backingOff = true
	c.readPauses++
	c.loop.Stats.LocalFailures.Add(1)
	c.setInterest(c.interest &^ unix.EPOLLIN)
	c.loop.backingOff = append(c.loop.backingOff, c)
	if !c.loop.backoffTimer.Pending() {
		c.loop.Start(&c.loop.backoffTimer, localFailureBackoff)
	}
}

// resumeBackedOff goes on with the connections that rest.
func (l *Loop) resumeBackedOff() {
	list := l.backingOff
	l.backingOff = nil
	for _, c := range list {
		c.backingOff = false
		if c.fd < 0 {
			continue
		}
		c.wasUnwatched = true
		c.markUnread(c.unreadAfter)
		if !c.paused {
			c.setInterest(c.interest | unix.EPOLLIN)
		}
		if c.writeBlocked {
			c.flush()
		}
	}
}
