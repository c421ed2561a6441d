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
	after := c.cameAfter()
	for taken := 0; taken < readsMore*readSize && c.fd >= 0 && c.up && !c.paused && !c.linger; {
		n, more := c.read(after)
		if taken += n; !more {
			break
		}
	}
	if len(c.in) > 0 || c.resting {
		c.fallBehind(after)
	}
}

// read reads once what had not come in at a time, and tells how much, and whether there may be more.
func (c *Conn) read(after float64) (n int, more bool) {
	n, err := c.l.kernel.Read(c.fd, c.l.scratch)
	switch {
	case err == unix.EAGAIN:
		return 0, false
	case err == unix.EINTR:
		return 0, true
	case err == unix.ENOMEM || err == unix.ENOBUFS:
		c.rest()
	case err != nil:
		c.end(os.NewSyscallError("read", err))
	case n == 0:
		c.peerClosed()
	case c.linger: // dropped
	case c.paused: // the peer has left with bytes unread: nobody will answer to them
		c.in = append(c.in, c.l.scratch[:n]...)
		if len(c.in) > 4*readSize {
			c.end(io.EOF)
		}
	default:
		c.heardAt = c.l.arrival(after)
		if n == len(c.l.scratch) {
			c.fallBehind(after)
		} else {
			c.behind = false
		}
		c.feed(c.l.scratch[:n])
		return n, true
	}
	return 0, false
}

// feed gives the handler what is there, and keeps what it leaves.
func (c *Conn) feed(b []byte) {
	if len(c.in) > 0 {
		c.in = append(c.in, b...)
		b = c.in
	}
	used := c.h.Received(c, b)
	if c.fd < 0 || c.linger {
		return
	}
	rest := b[used:]
	switch {
	case len(rest) == 0:
		if c.in != nil {
			c.l.give(c.in)
			c.in = nil
		}
	case len(c.in) > 0:
		if used > 0 {
			c.in = c.in[:copy(c.in, rest)]
		}
	default:
		c.in = append(c.l.buffer(), rest...)
	}
}

// HalfCloser is a Handler that has something to say to a peer that has closed its side: it may still read.
type HalfCloser interface {
	// PeerClosed is called before the connection ends for that; it may write, and close the connection by CloseFlushed.
	PeerClosed(c *Conn)
}

// peerClosed ends a connection whose peer has closed its side; one that is being ended goes on until all is written.
func (c *Conn) peerClosed() {
	if c.linger && c.UnsentBytes() > 0 {
		c.eof = true
		c.want(c.interest &^ (unix.EPOLLIN | unix.EPOLLRDHUP))
		return
	}
	if h, ok := c.h.(HalfCloser); ok && !c.linger {
		if h.PeerClosed(c); c.linger {
			return
		}
	}
	c.end(io.EOF)
}

// ReceivedAt is when the bytes that Data is called with came in, as early as the loop's looks allow: it may have stood
// still since. It is on the loop's clock and never in the future.
func (c *Conn) ReceivedAt() float64 { return c.heardAt }

// fallBehind notes that what is there may have come in before the latest looks, but after a time.
func (c *Conn) fallBehind(after float64) {
	c.behind, c.since, c.lookedIn = true, after, c.l.looks
}

// cameAfter is a time at which what is read now had not come in. A connection that fell behind and that a later look did
// not tell of had nothing then, unless the kernel does not watch it.
func (c *Conn) cameAfter() float64 {
	if c.behind && c.l.looks <= c.lookedIn+1 || c.resting || c.fd >= 0 && c.l.fds[c.fd].refused {
		return c.since
	}
	return c.l.heardTo
}

// ReadPauses counts how often the connection was left alone for a moment, as its reads or writes failed for want of the
// machine's means: what did not come in meanwhile is not its peer's fault.
func (c *Conn) ReadPauses() uint32 { return c.rests }

// rest leaves a connection alone for a moment, as the kernel has no memory for it.
func (c *Conn) rest() {
	if c.resting {
		return
	}
	c.since = c.cameAfter()
	c.resting = true
	c.rests++
	c.l.Stats.LocalFailures.Add(1)
	c.want(c.interest &^ unix.EPOLLIN)
	c.l.resting = append(c.l.resting, c)
	if !c.l.restTimer.Pending() {
		c.l.Start(&c.l.restTimer, localRest)
	}
}

// goOn goes on with the connections that rest.
func (l *Loop) goOn() {
	list := l.resting
	l.resting = nil
	for _, c := range list {
		c.resting = false
		if c.fd < 0 {
			continue
		}
		c.missed = true
		c.fallBehind(c.since)
		if !c.paused {
			c.want(c.interest | unix.EPOLLIN)
		}
		if c.waits {
			c.flush()
		}
	}
}
