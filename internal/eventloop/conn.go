//go:build linux

package eventloop

import (
	"fmt"
	"net/netip"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is one connection.
type Conn struct {
	l        *Loop
	h        Handler
	fd       int
	peer     netip.AddrPort
	in, out  []byte
	sent     int // of out
	total    uint64
	interest uint32
	up       bool
	dirty    bool
	paused   bool
	again    bool // in the loop's list of those with bytes left over
	waits    bool // the kernel took less than there was
	notify   bool // Drained is wanted in any case
	linger   bool
	eof      bool // the peer has closed its side while written bytes wait
	dialing  bool
	rests    uint32  // how often it rested
	resting  bool    // the kernel has no memory for it now
	missed   bool    // it was not heard for a while: all of it is read at once
	behind   bool    // what is there may have come in before the latest looks
	since    float64 // and after this time
	lookedIn int64   // the latest look when it fell behind
	heardAt  float64 // when the bytes in hand came in
	giveUpAt float64 // when a connection that does not come up is given up
	timer    Timer   // connect time-out, then linger
}

// Peer is the other side's address.
func (c *Conn) Peer() netip.AddrPort { return c.peer }

// Open tells whether the connection is up or coming up.
func (c *Conn) Open() bool { return c.fd >= 0 && !c.linger }

// Established tells whether the connection is established.
func (c *Conn) Established() bool { return c.up }

// SentBytes counts the bytes the kernel has taken, Queued those and the ones that still wait.
func (c *Conn) SentBytes() uint64 { return c.total }

// WrittenBytes counts all bytes ever written to the connection.
func (c *Conn) WrittenBytes() uint64 { return c.total + uint64(len(c.out)-c.sent) }

// UnsentBytes is how many written bytes the kernel has not taken.
func (c *Conn) UnsentBytes() int { return len(c.out) - c.sent }

// Write queues bytes; they go out at the end of the turn. b may be used again at once.
func (c *Conn) Write(b []byte) {
	if c.fd < 0 && !c.dialing || c.linger {
		return
	}
	if c.out == nil {
		c.out = c.l.buffer()
	}
	c.out = append(c.out, b...)
	c.mark()
}

// Unwrite takes queued bytes back, from one position to another as Queued counted them. It returns false, and takes
// nothing back, where some have gone to the kernel. What was queued behind them moves up.
func (c *Conn) Unwrite(from, to uint64) bool {
	if c.fd < 0 || c.linger || from < c.total || to > c.WrittenBytes() || from > to {
		return false
	}
	i, j := c.sent+int(from-c.total), c.sent+int(to-c.total)
	c.out = append(c.out[:i], c.out[j:]...)
	return true
}

func (c *Conn) mark() {
	if !c.dirty && c.up {
		c.dirty = true
		c.l.dirty = append(c.l.dirty, c)
	}
}

// Pause stops Data; the kernel's buffer then holds the peer back. A peer that leaves is still noticed.
func (c *Conn) Pause() {
	if !c.paused {
		c.paused, c.since = true, c.l.now
		c.want(c.interest &^ unix.EPOLLIN)
	}
}

// Resume lets Data be called again, in this turn for what was left over.
func (c *Conn) Resume() {
	if !c.paused {
		return
	}
	c.paused = false
	c.fallBehind(c.since)
	c.want(c.interest | unix.EPOLLIN)
	c.Redeliver()
}

// Redeliver lets Data be called in this turn for bytes it left before, if there are any.
func (c *Conn) Redeliver() {
	if len(c.in) > 0 && !c.again {
		c.again = true
		c.l.refeed = append(c.l.refeed, c)
	}
}

func (c *Conn) want(events uint32) {
	if c.fd >= 0 && events != c.interest {
		c.interest = events
		c.l.change(c.fd, events)
	}
}

// Close ends the connection now; what was not written is lost. Handlers are not told.
func (c *Conn) Close() { c.drop() }

// Abort ends the connection now with a reset.
func (c *Conn) Abort() {
	if c.fd >= 0 {
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.drop()
}

// CloseFlushed ends the connection when all written bytes have gone out; what the peer still sends is dropped for a
// while, as unread bytes would make the kernel reset it and the last answer with it. Handlers are not told.
func (c *Conn) CloseFlushed() {
	if c.fd < 0 || c.linger {
		return
	}
	if !c.up {
		c.drop()
		return
	}
	c.linger = true
	c.l.lingering++
	c.timer.Fire = c.drop
	c.l.Start(&c.timer, 30) // for the flush; a peer that reads nothing for that long is cut off
	c.want(c.interest | unix.EPOLLIN)
	c.mark()
	c.l.give(c.in)
	c.in = nil
}

// Flush hands what is written to the kernel now, as far as it takes it.
func (c *Conn) Flush() {
	if c.fd >= 0 && c.up {
		c.flush()
	}
}

func (c *Conn) drop() {
	if c.fd >= 0 {
		c.l.leave(c.fd)
		c.fd = -1
	}
	c.gone()
}

// gone hands back what the connection held, once.
func (c *Conn) gone() {
	c.l.Cancel(&c.timer)
	if c.h == nil {
		return
	}
	c.h = nil
	if c.linger {
		c.l.lingering--
	}
	c.l.give(c.in)
	c.l.give(c.out)
	c.in, c.out, c.sent, c.up, c.dialing = nil, nil, 0, false, false
	c.l.conns--
	c.l.Stats.Connections.Add(-1)
	for _, ln := range c.l.listeners {
		if ln.paused && !ln.timer.Pending() {
			ln.resume()
		}
	}
}

// end tells the handler and drops the connection.
func (c *Conn) end(err error) {
	if h := c.h; h != nil {
		linger := c.linger
		c.drop()
		if !linger {
			h.Closed(c, err)
		}
	}
}

func (c *Conn) ready(events uint32) {
	if !c.up {
		code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
		if err == nil && code != 0 {
			err = syscall.Errno(code)
		}
		if err != nil {
			c.end(fmt.Errorf("connect %s: %w", c.peer, err))
			return
		}
		if events&unix.EPOLLOUT == 0 {
			return
		}
		c.up = true
		c.l.Cancel(&c.timer)
		c.want(unix.EPOLLIN | unix.EPOLLRDHUP)
		c.h.Connected(c)
		if c.fd >= 0 && len(c.out) > 0 {
			c.mark()
		}
		return
	}
	if events&unix.EPOLLOUT != 0 && c.waits {
		c.flush()
	}
	if c.fd < 0 {
		return
	}
	if events&(unix.EPOLLIN|unix.EPOLLERR|unix.EPOLLHUP|unix.EPOLLRDHUP) == 0 {
		return
	}
	leaves := events&(unix.EPOLLERR|unix.EPOLLHUP|unix.EPOLLRDHUP) != 0
	if c.paused {
		if leaves {
			c.read(c.cameAfter())
		}
		return
	}
	after := c.cameAfter()
	most := 1                                 // bytes after which no further read is made
	if leaves || c.l.catchingUp || c.missed { // all of it, as the peer may have left since
		most = readsMore * readSize
	}
	taken := 0
	for taken < most && c.fd >= 0 && !c.paused {
		n, more := c.read(after)
		if taken += n; !more {
			break
		}
		if len(c.in) > 0 { // a message in part: the rest may be there, as a read may be short
			most = max(most, readSize)
		}
	}
	if taken == 0 || len(c.in) > 0 || c.resting { // more may be there than was read: the next look tells
		c.fallBehind(after)
	}
	c.missed = c.missed && taken == 0
}

func (c *Conn) flush() {
	if w, ok := c.h.(WriteInterceptor); ok && !c.linger {
		if w.BeforeWrite(c); c.fd < 0 {
			return
		}
	}
	for c.sent < len(c.out) {
		n, err := c.l.kernel.Write(c.fd, c.out[c.sent:])
		switch err {
		case nil:
		case unix.EINTR:
			continue
		case unix.EAGAIN:
			c.waits = true
			c.want(c.interest | unix.EPOLLOUT)
			return
		case unix.ENOBUFS, unix.ENOMEM:
			c.waits = true
			c.rest()
			return
		default:
			c.ReadNow() // what the peer had said before counts
			c.end(os.NewSyscallError("write", err))
			return
		}
		c.sent += n
		c.total += uint64(n)
	}
	c.l.give(c.out)
	c.out, c.sent = nil, 0
	if c.linger && c.eof {
		c.drop()
		return
	}
	if c.linger {
		unix.Shutdown(c.fd, unix.SHUT_WR)
		c.l.Start(&c.timer, lingerSpan)
	}
	tell := c.waits || c.notify
	if c.notify = false; c.waits {
		c.waits = false
		c.want(c.interest &^ unix.EPOLLOUT)
	}
	if tell && !c.linger {
		c.h.Flushed(c)
	}
}

// NotifyFlushed asks for Drained after what is written now, also where it goes out at once.
func (c *Conn) NotifyFlushed() { c.notify = true }

// WriteInterceptor is a Handler that wants to look once more at what is about to go to the kernel.
type WriteInterceptor interface {
	// BeforeWrite is called before each write; it may take bytes back by Retract, or close the connection.
	BeforeWrite(c *Conn)
}
