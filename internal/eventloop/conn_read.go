//go:build linux

package eventloop

import (
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// HalfCloser is implemented by a Handler that may still write after the peer has closed its side, as the peer may still be
// reading.
type HalfCloser interface {
	// PeerClosed is called when the peer has closed its side. It may write and close the connection with CloseFlushed;
	// otherwise Closed follows.
	PeerClosed(c *Conn)
}

// Pause stops calls of Received, so that TCP flow control slows down the peer. A close by the peer is still detected.
func (c *Conn) Pause() {
	if c.paused {
		return
	}
	c.paused = true
	c.unreadAfter = c.loop.now
	c.setInterest(c.interest &^ unix.EPOLLIN)
}

// Resume undoes Pause. Unconsumed bytes are passed to Received again in this turn.
func (c *Conn) Resume() {
	if !c.paused {
		return
	}
	c.paused = false
	c.markUnread(c.unreadAfter)
	c.setInterest(c.interest | unix.EPOLLIN)
	c.Redeliver()
}

// Redeliver passes unconsumed bytes, if any, to Received again in this turn.
func (c *Conn) Redeliver() {
	if len(c.unconsumed) > 0 && !c.redeliveryPending {
		c.redeliveryPending = true
		c.loop.redeliveries.add(c)
	}
}

// ReadNow reads the bytes that the kernel holds without waiting for a poll to report them. An owner calls it before it
// closes the connection, as bytes that have arrived by then were sent in time. Received is called as usual and may close the
// connection. ReadNow reports whether the kernel holds no more bytes; otherwise, for example if reads fail for lack of memory,
// a close could discard a message.
func (c *Conn) ReadNow() (empty bool) {
	if !c.canDeliver() {
		return false
	}
	after := c.arrivedAfter()
	_, outcome := c.readUpTo(maxCatchUpReads*readBufferBytes, after)
	if len(c.unconsumed) > 0 || c.readAll {
		c.markUnread(after)
	}
	return outcome == readEmpty
}

// canDeliver reports whether bytes read from the connection are passed to the handler at present.
func (c *Conn) canDeliver() bool {
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

// readReported reads once, or several times in these cases: if the peer is closing, as there may be no further event;
// after a stall, or if events may have been missed or reads have failed, as the peer may have sent more meanwhile; and to
// complete a message, as a read may be short.
func (c *Conn) readReported(peerClosing bool) {
	after := c.arrivedAfter()
	limit := 1 // bytes after which no further read is made
	if peerClosing || c.loop.polls.catchingUp || c.readAll {
		limit = maxCatchUpReads * readBufferBytes
	}
	total, _ := c.readUpTo(limit, after)
	// If there is more to read, the next poll reports it.
	if total == 0 || len(c.unconsumed) > 0 || c.readAll {
		c.markUnread(after)
	}
}

// readOutcome is the outcome of one read.
type readOutcome uint8

const (
	readDelivered   readOutcome = iota // bytes were passed to the handler, and there may be more
	readEmpty                          // the kernel holds no bytes
	readInterrupted                    // by a signal
	readShortage                       // the kernel had no memory
	readEnded                          // no further read is to be made
)

// readUpTo reads until limit bytes have been passed to the handler, or more if a message is incomplete or a read has failed,
// or until the kernel holds no more or the round ends. It returns the number of bytes and the last outcome. after is a lower bound
// of their arrival time.
func (c *Conn) readUpTo(limit int, after float64) (total int, outcome readOutcome) {
	failures := 0 // in a row
	var round callRound
	for total < limit && c.fd >= 0 && !c.paused {
		if !round.next(c.loop) {
			c.readAll = true
			return total, outcome
		}
		var n int
		n, outcome = c.readOnce(after)
		total += n
		switch outcome {
		case readDelivered:
			failures = 0
			c.backoffDelay = 0
			if len(c.unconsumed) > 0 {
				limit = max(limit, readBufferBytes)
			}
		case readInterrupted:
			limit = c.startReadAll(limit)
		case readShortage:
			limit = c.startReadAll(limit)
			failures++
			if failures <= maxImmediateRetries {
				continue
			}
			if total == 0 { // otherwise the next poll reports the remaining bytes
				c.startBackoff()
			}
			return total, outcome
		case readEmpty:
			c.readAll = false
			return total, outcome
		default:
			return total, outcome
		}
	}
	return total, outcome
}

// startReadAll records that a read has failed: the bytes that follow may have arrived long before the poll that reports them, so
// all are read, and count as old, until the kernel is known to be empty. It returns the limit for a round of reads.
func (c *Conn) startReadAll(limit int) int {
	c.readAll = true
	return max(limit, maxCatchUpReads*readBufferBytes)
}

// readOnce calls read once and handles the result. after is a lower bound of the arrival time of the bytes. It returns the
// number of bytes passed to the handler.
func (c *Conn) readOnce(after float64) (n int, outcome readOutcome) {
	buffer := c.loop.readBuffer
	n, err := c.loop.kernel.Read(c.fd, buffer)
	switch {
	case err == unix.EAGAIN:
		return 0, readEmpty
	case err == unix.EINTR:
		return 0, readInterrupted
	case isMemoryShortage(err):
		c.loop.Stats.LocalFailures.Add(1)
		return 0, readShortage
	case err != nil:
		c.fail(os.NewSyscallError("read", err))
	case n == 0:
		c.handlePeerClose()
	case c.lingering: // discarded
	case c.paused:
		c.bufferWhilePaused(buffer[:n])
	default:
		c.receivedAt = c.loop.arrivalTime(after)
		if n == len(buffer) {
			c.markUnread(after)
		} else {
			c.hasUnread = false
		}
		c.deliver(buffer[:n])
		return n, readDelivered
	}
	return 0, readEnded
}

// bufferWhilePaused buffers bytes of a paused connection that its peer is closing, so that the end of the stream is
// reached. Beyond maxBufferedWhilePaused the connection is closed: its peer does not wait for responses to these bytes.
func (c *Conn) bufferWhilePaused(b []byte) {
	c.unconsumed = append(c.unconsumed, b...)
	if len(c.unconsumed) > maxBufferedWhilePaused {
		c.fail(io.EOF)
	}
}

// deliver passes the unconsumed bytes followed by b to the handler, and keeps those that it does not consume.
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

// handlePeerClose closes a connection whose peer has closed its side. A connection that CloseFlushed is closing stays open
// until all bytes are written.
func (c *Conn) handlePeerClose() {
	if c.lingering && c.UnsentBytes() > 0 {
		c.peerHalfClosed = true
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
