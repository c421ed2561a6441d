//go:build linux

package eventloop

import (
	"os"

	"golang.org/x/sys/unix"
)

// WriteInterceptor is implemented by a Handler that checks queued bytes before they are passed to the kernel.
type WriteInterceptor interface {
	// BeforeWrite is called before each write. It may remove bytes with RemoveQueued, write others, or close the connection.
	BeforeWrite(c *Conn)
}

// SentBytes returns the number of bytes that the kernel has accepted since the connection was created.
func (c *Conn) SentBytes() uint64 { return c.sentBytes }

// WrittenBytes returns the number of bytes written to the connection since it was created, sent and queued.
func (c *Conn) WrittenBytes() uint64 { return c.sentBytes + uint64(c.UnsentBytes()) }

// UnsentBytes returns the number of queued bytes that the kernel has not accepted.
func (c *Conn) UnsentBytes() int { return len(c.outgoing) - c.outgoingSent }

// Write queues a copy of b, which is sent at the end of the turn. It has no effect on a connection that is closed or being
// closed.
func (c *Conn) Write(b []byte) {
	if c.fd < 0 && !c.dialing || c.lingering {
		return
	}
	if c.outgoing == nil {
		c.outgoing = c.loop.acquireBuffer()
	}
	c.outgoing = append(c.outgoing, b...)
	c.scheduleWrite()
}

// RemoveQueued removes the queued bytes between two positions, counted as by WrittenBytes; bytes queued after them move up.
// It returns false and removes nothing if the kernel has accepted some of them.
func (c *Conn) RemoveQueued(from, to uint64) bool {
	if c.fd < 0 || c.lingering || from < c.sentBytes || to > c.WrittenBytes() || from > to {
		return false
	}
	start := c.outgoingSent + int(from-c.sentBytes)
	end := c.outgoingSent + int(to-c.sentBytes)
	c.outgoing = append(c.outgoing[:start], c.outgoing[end:]...)
	return true
}

// Flush writes queued bytes immediately, as far as the kernel accepts them.
func (c *Conn) Flush() {
	if c.fd >= 0 && c.established {
		c.flush()
	}
}

// NotifyFlushed requests a call of Flushed once the bytes written so far are sent, even if the kernel accepts them at once.
func (c *Conn) NotifyFlushed() { c.notifyFlushed = true }

func (c *Conn) scheduleWrite() {
	if !c.writePending && c.established {
		c.writePending = true
		c.loop.writes.add(c)
	}
}

func (c *Conn) flush() {
	interceptor, ok := c.handler.(WriteInterceptor)
	if ok && !c.lingering {
		interceptor.BeforeWrite(c)
		if c.fd < 0 {
			return
		}
	}
	if c.writeQueued() {
		c.finishFlush()
	}
}

// writeQueued writes queued bytes until the kernel accepts no more or the round ends, and reports whether the kernel has accepted
// all of them.
func (c *Conn) writeQueued() bool {
	failures := 0 // in a row, for lack of memory
	sentBefore := c.sentBytes
	var round callRound
	for c.outgoingSent < len(c.outgoing) {
		if !round.next(c.loop) {
			c.awaitWritable()
			return false
		}
		n, err := c.loop.kernel.Write(c.fd, c.outgoing[c.outgoingSent:])
		switch err {
		case nil:
			c.outgoingSent += n
			c.sentBytes += uint64(n)
			c.backoffDelay = 0
			failures = 0
		case unix.EINTR:
		case unix.EAGAIN:
			c.awaitWritable()
			return false
		case unix.ENOBUFS, unix.ENOMEM:
			c.loop.Stats.LocalFailures.Add(1)
			failures++
			if failures <= maxImmediateRetries {
				continue
			}
			if c.sentBytes == sentBefore {
				c.writeBlocked = true
				c.startBackoff()
			} else {
				c.awaitWritable()
			}
			return false
		default:
			c.ReadNow() // the peer may have sent a response before it closed the connection
			c.fail(os.NewSyscallError("write", err))
			return false
		}
	}
	return true
}

// awaitWritable continues to write once a poll reports that the kernel accepts bytes.
func (c *Conn) awaitWritable() {
	c.writeBlocked = true
	c.setInterest(c.interest | unix.EPOLLOUT)
}

// finishFlush is called when the kernel has accepted all queued bytes. It shuts down a lingering connection, or calls
// Flushed.
func (c *Conn) finishFlush() {
	c.loop.recycleBuffer(c.outgoing)
	c.outgoing = nil
	c.outgoingSent = 0
	if c.lingering {
		if c.peerHalfClosed {
			c.Close()
			return
		}
		unix.Shutdown(c.fd, unix.SHUT_WR) // fails only if the peer has reset the connection, which the linger timer then closes
		c.loop.StartTimer(&c.timer, lingerTimeout)
	}
	notify := c.writeBlocked || c.notifyFlushed
	c.notifyFlushed = false
	if c.writeBlocked {
		c.writeBlocked = false
		c.setInterest(c.interest &^ unix.EPOLLOUT)
	}
	if notify && !c.lingering {
		c.handler.Flushed(c)
	}
}
