//go:build linux

package eventloop

import (
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// HalfCloser is implemented by a Handler that may still have bytes to write when the peer closes its side: the peer may
// still be reading.
type HalfCloser interface {
	// PeerClosed is called before the connection is closed for that reason. It may write, and end the connection by
	// CloseFlushed; otherwise Closed follows.
	PeerClosed(c *Conn)
}

// Pause stops calls of Received; the kernel's receive buffer then holds the peer back. A peer that closes the connection
// is still noticed.
func (c *Conn) Pause() {
	if c.paused {
		return
	}
	c.paused = true
	c.unreadAfter = c.loop.now
	c.setInterest(c.interest &^ unix.EPOLLIN)
}

// Resume undoes Pause. Bytes that were not consumed are passed to Received again in this turn.
func (c *Conn) Resume() {
	if !c.paused {
		return
	}
	c.paused = false
	c.markUnread(c.unreadAfter)
	c.setInterest(c.interest | unix.EPOLLIN)
	c.Redeliver()
}

// Redeliver passes bytes that were not consumed, if any, to Received again in this turn.
func (c *Conn) Redeliver() {
	if len(c.unconsumed) > 0 && !c.redeliveryPending {
		c.redeliveryPending = true
		c.loop.redeliveries.add(c)
	}
}

// ReadNow reads what the kernel holds at once, without waiting for a poll to report it. An owner that is about to close
// the connection for lateness calls it first, as what has arrived by then was sent in time. Received is called as usual
// and may close the connection.
func (c *Conn) ReadNow() {
	after := c.arrivedAfter()
	total := 0
	for total < maxCatchUpReads*readBufferBytes && c.deliversReads() {
		n, more := c.readOnce(after)
		total += n
		if !more {
			break
		}
	}
	if len(c.unconsumed) > 0 || c.backingOff {
		c.markUnread(after)
	}
}

// deliversReads reports whether what is read from the connection is passed to the handler at present.
func (c *Conn) deliversReads() bool {
	return c.fd >= 0 && c.established && !c.paused && !c.lingering
}

// handleReadable reads after a poll has reported the connection as readable, closed or failed.
func (c *Conn) handleReadable(events uint32) {
	const closeEvents = unix.EPOLLERR | unix.EPOLLHUP | unix.EPOLLRDHUP
	if events&(unix.EPOLLIN|closeEvents) == 0 {
		return
	}
	peerClosing := events&closeEvents != 0
	if !c.paused {
		c.readReported(peerClosing)
	} else if peerClosing {
		c.readOnce(c.arrivedAfter())
	}
}

// readReported reads once, or several times where more is wanted at once: if the peer is closing, as nothing may be
// reported afterwards; after a stall, or while the connection was not watched, as the peer may have sent more meanwhile;
// and to complete a message, as a read may be short.
func (c *Conn) readReported(peerClosing bool) {
	after := c.arrivedAfter()
	limit := 1 // bytes after which no further read is made
	if peerClosing || c.loop.polls.catchingUp || c.wasUnwatched {
		limit = maxCatchUpReads * readBufferBytes
	}
	total := 0
	for total < limit && c.fd >= 0 && !c.paused {
		n, more := c.readOnce(after)
		total += n
		if !more {
			break
		}
		if len(c.unconsumed) > 0 {
			limit = max(limit, readBufferBytes)
		}
	}
	// There may be more than was read; if so, the next poll reports it.
	if total == 0 || len(c.unconsumed) > 0 || c.backingOff {
		c.markUnread(after)
	}
	c.wasUnwatched = c.wasUnwatched && total == 0
}

// readOnce makes one read of bytes that arrived after the given time and handles the result. It returns the number of
// bytes passed to the handler, and whether there may be more to read.
func (c *Conn) readOnce(after float64) (n int, more bool) {
	buffer := c.loop.readBuffer
	n, err := c.loop.kernel.Read(c.fd, buffer)
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
		c.handlePeerClose()
	case c.lingering: // discarded
	case c.paused:
		c.keepAbandoned(buffer[:n])
	default:
		c.receivedAt = c.loop.arrivalTime(after)
		if n == len(buffer) {
			c.markUnread(after)
		} else {
			c.hasUnread = false
		}
		c.deliver(buffer[:n])
		return n, true
	}
	return 0, false
}

// keepAbandoned keeps bytes of a paused connection whose peer is closing it, so that the end of the stream is reached.
// Beyond a limit the connection ends: its peer does not wait for responses to them.
func (c *Conn) keepAbandoned(b []byte) {
	c.unconsumed = append(c.unconsumed, b...)
	if len(c.unconsumed) > maxAbandonedBytes {
		c.fail(io.EOF)
	}
}

// deliver passes the unconsumed bytes followed by b to the handler, and keeps what it does not consume.
func (c *Conn) deliver(b []byte) {
	if len(c.unconsumed) > 0 {
		c.unconsumed = append(c.unconsumed, b...)
		b = c.unconsumed
	}
	used := c.handler.Received(c, b)
	if c.fd < 0 || c.lingering {
		return
	}
	rest := b[used:]
	switch {
	case len(rest) == 0:
		if c.unconsumed != nil {
			c.loop.recycleBuffer(c.unconsumed)
			c.unconsumed = nil
		}
	case len(c.unconsumed) > 0:
		if used > 0 {
			c.unconsumed = c.unconsumed[:copy(c.unconsumed, rest)]
		}
	default:
		c.unconsumed = append(c.loop.acquireBuffer(), rest...)
	}
}

// handlePeerClose ends a connection whose peer has closed its side. One that CloseFlushed is ending stays until all is
// written.
func (c *Conn) handlePeerClose() {
	if c.lingering && c.UnsentBytes() > 0 {
		c.peerClosedSide = true
		c.setInterest(c.interest &^ (unix.EPOLLIN | unix.EPOLLRDHUP))
		return
	}
	halfCloser, ok := c.handler.(HalfCloser)
	if ok && !c.lingering {
		halfCloser.PeerClosed(c)
		if c.lingering {
			return
		}
	}
	c.fail(io.EOF)
}
