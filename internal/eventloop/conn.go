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
	loop              *Loop
	handler           Handler
	fd                int
	peer              netip.AddrPort
	in, out           []byte
	outSent           int // of out
	sentBytes         uint64
	interest          uint32
	established       bool
	writePending      bool
	paused            bool
	redeliveryPending bool // in the loop's list of those with bytes left over
	writeBlocked      bool // the kernel took less than there was
	notifyFlushed     bool // Drained is wanted in any case
	lingering         bool
	peerClosedSide    bool // the peer has closed its side while written bytes wait
	dialing           bool
	readPauses        uint32  // how often it rested
	backingOff        bool    // the kernel has no memory for it now
	wasUnwatched      bool    // it was not heard for a while: all of it is read at once
	hasUnread         bool    // what is there may have come in before the latest looks
	unreadAfter       float64 // and after this time
	unreadPoll        int64   // the latest look when it fell behind
	receivedAt        float64 // when the bytes in hand came in
	connectDeadline   float64 // when a connection that does not come up is given up
	timer             Timer   // connect time-out, then linger
}

// Peer is the other side's address.
func (c *Conn) Peer() netip.AddrPort { return c.peer }

// Open tells whether the connection is up or coming up.
func (c *Conn) Open() bool { return c.fd >= 0 && !c.lingering }

// Established tells whether the connection is established.
func (c *Conn) Established() bool { return c.established }

// SentBytes counts the bytes the kernel has taken, Queued those and the ones that still wait.
func (c *Conn) SentBytes() uint64 { return c.sentBytes }

// WrittenBytes counts all bytes ever written to the connection.
func (c *Conn) WrittenBytes() uint64 { return c.sentBytes + uint64(len(c.out)-c.outSent) }

// UnsentBytes is how many written bytes the kernel has not taken.
func (c *Conn) UnsentBytes() int { return len(c.out) - c.outSent }

// Write queues bytes; they go out at the end of the turn. b may be used again at once.
func (c *Conn) Write(b []byte) {
	if c.fd < 0 && !c.dialing || c.lingering {
		return
	}
	if c.out == nil {
		c.out = c.loop.takeBuffer()
	}
	c.out = append(c.out, b...)
	c.scheduleWrite()
}

// Unwrite takes queued bytes back, from one position to another as Queued counted them. It returns false, and takes
// nothing back, where some have gone to the kernel. What was queued behind them moves up.
func (c *Conn) Unwrite(from, to uint64) bool {
	if c.fd < 0 || c.lingering || from < c.sentBytes || to > c.WrittenBytes() || from > to {
		return false
	}
	i, j := c.outSent+int(from-c.sentBytes), c.outSent+int(to-c.sentBytes)
	c.out = append(c.out[:i], c.out[j:]...)
	return true
}

func (c *Conn) scheduleWrite() {
	if !c.writePending && c.established {
		c.writePending = true
		c.loop.pendingWrites = append(c.loop.pendingWrites, c)
	}
}

// Pause stops Data; the kernel's buffer then holds the peer back. A peer that leaves is still noticed.
func (c *Conn) Pause() {
	if !c.paused {
		c.paused, c.unreadAfter = true, c.loop.now
		c.setInterest(c.interest &^ unix.EPOLLIN)
	}
}

// Resume lets Data be called again, in this turn for what was left over.
func (c *Conn) Resume() {
	if !c.paused {
		return
	}
	c.paused = false
	c.markUnread(c.unreadAfter)
	c.setInterest(c.interest | unix.EPOLLIN)
	c.Redeliver()
}

// Redeliver lets Data be called in this turn for bytes it left before, if there are any.
func (c *Conn) Redeliver() {
	if len(c.in) > 0 && !c.redeliveryPending {
		c.redeliveryPending = true
		c.loop.pendingRedelivery = append(c.loop.pendingRedelivery, c)
	}
}

func (c *Conn) setInterest(events uint32) {
	if c.fd >= 0 && events != c.interest {
		c.interest = events
		c.loop.setEvents(c.fd, events)
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
	if c.fd < 0 || c.lingering {
		return
	}
	if !c.established {
		c.drop()
		return
	}
	c.lingering = true
	c.loop.lingeringCount++
	c.timer.Fire = c.drop
	c.loop.Start(&c.timer, 30) // for the flush; a peer that reads nothing for that long is cut off
	c.setInterest(c.interest | unix.EPOLLIN)
	c.scheduleWrite()
	c.loop.recycleBuffer(c.in)
	c.in = nil
}

// Flush hands what is written to the kernel now, as far as it takes it.
func (c *Conn) Flush() {
	if c.fd >= 0 && c.established {
		c.flush()
	}
}

func (c *Conn) drop() {
	if c.fd >= 0 {
		c.loop.unregister(c.fd)
		c.fd = -1
	}
	c.release()
}

// release hands back what the connection held, once.
func (c *Conn) release() {
	c.loop.Cancel(&c.timer)
	if c.handler == nil {
		return
	}
	c.handler = nil
	if c.lingering {
		c.loop.lingeringCount--
	}
	c.loop.recycleBuffer(c.in)
	c.loop.recycleBuffer(c.out)
	c.in, c.out, c.outSent, c.established, c.dialing = nil, nil, 0, false, false
	c.loop.connCount--
	c.loop.Stats.Connections.Add(-1)
	for _, ln := range c.loop.listeners {
		if ln.paused && !ln.timer.Pending() {
			ln.resume()
		}
	}
}

// fail tells the handler and drops the connection.
func (c *Conn) fail(err error) {
	if h := c.handler; h != nil {
		linger := c.lingering
		c.drop()
		if !linger {
			h.Closed(c, err)
		}
	}
}

func (c *Conn) handleEvents(events uint32) {
	if !c.established {
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
		c.loop.Cancel(&c.timer)
		c.setInterest(unix.EPOLLIN | unix.EPOLLRDHUP)
		c.handler.Connected(c)
		if c.fd >= 0 && len(c.out) > 0 {
			c.scheduleWrite()
		}
		return
	}
	if events&unix.EPOLLOUT != 0 && c.writeBlocked {
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
			c.read(c.arrivedAfter())
		}
		return
	}
	after := c.arrivedAfter()
	most := 1                                          // bytes after which no further read is made
	if leaves || c.loop.catchingUp || c.wasUnwatched { // all of it, as the peer may have left since
		most = maxCatchUpReads * readBufferBytes
	}
	taken := 0
	for taken < most && c.fd >= 0 && !c.paused {
		n, more := c.read(after)
		if taken += n; !more {
			break
		}
		if len(c.in) > 0 { // a message in part: the rest may be there, as a read may be short
			most = max(most, readBufferBytes)
		}
	}
	if taken == 0 || len(c.in) > 0 || c.backingOff { // more may be there than was read: the next look tells
		c.markUnread(after)
	}
	c.wasUnwatched = c.wasUnwatched && taken == 0
}

func (c *Conn) flush() {
	if w, ok := c.handler.(WriteInterceptor); ok && !c.lingering {
		if w.BeforeWrite(c); c.fd < 0 {
			return
		}
	}
	for c.outSent < len(c.out) {
		n, err := c.loop.kernel.Write(c.fd, c.out[c.outSent:])
		switch err {
		case nil:
		case unix.EINTR:
			continue
		case unix.EAGAIN:
			c.writeBlocked = true
			c.setInterest(c.interest | unix.EPOLLOUT)
			return
		case unix.ENOBUFS, unix.ENOMEM:
			c.writeBlocked = true
			c.backOff()
			return
		default:
			c.ReadNow() // what the peer had said before counts
			c.fail(os.NewSyscallError("write", err))
			return
		}
		c.outSent += n
		c.sentBytes += uint64(n)
	}
	c.loop.recycleBuffer(c.out)
	c.out, c.outSent = nil, 0
	if c.lingering && c.peerClosedSide {
		c.drop()
		return
	}
	if c.lingering {
		unix.Shutdown(c.fd, unix.SHUT_WR)
		c.loop.Start(&c.timer, lingerTimeout)
	}
	tell := c.writeBlocked || c.notifyFlushed
	if c.notifyFlushed = false; c.writeBlocked {
		c.writeBlocked = false
		c.setInterest(c.interest &^ unix.EPOLLOUT)
	}
	if tell && !c.lingering {
		c.handler.Flushed(c)
	}
}

// NotifyFlushed asks for Drained after what is written now, also where it goes out at once.
func (c *Conn) NotifyFlushed() { c.notifyFlushed = true }

// WriteInterceptor is a Handler that wants to look once more at what is about to go to the kernel.
type WriteInterceptor interface {
	// BeforeWrite is called before each write; it may take bytes back by Retract, or close the connection.
	BeforeWrite(c *Conn)
}
