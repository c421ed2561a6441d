//go:build linux

package loop

import (
	"fmt"
	"io"
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
	timer    Timer // connect time-out, then linger
}

// Dial begins a connection; h hears Opened, or Closed if it does not come up within timeout seconds.
func (l *Loop) Dial(to netip.AddrPort, timeout float64, h Handler) *Conn {
	c := &Conn{l: l, h: h, fd: -1, peer: to, interest: unix.EPOLLOUT}
	domain, sa := sockaddr(to)
	fd, err := l.kernel.Socket(domain, unix.SOCK_STREAM, 0)
	if err == nil {
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		if err = l.kernel.Connect(fd, sa); err == nil || err == unix.EINPROGRESS {
			c.fd = fd
			err = l.enter(fd, c.interest, entry{c: c})
		} else {
			unix.Close(fd)
		}
	}
	l.conns++
	l.Stats.Conns.Add(1)
	l.Stats.Dialled.Add(1)
	if err != nil {
		l.Later(func() { c.end(fmt.Errorf("connect %s: %w", to, err)) })
		return c
	}
	c.timer.Fire = func() { c.end(ErrConnectTimeout) }
	l.Start(&c.timer, timeout)
	return c
}

// Peer is the other side's address.
func (c *Conn) Peer() netip.AddrPort { return c.peer }

// Open tells whether the connection is up or coming up.
func (c *Conn) Open() bool { return c.fd >= 0 && !c.linger }

// Up tells whether the connection is established.
func (c *Conn) Up() bool { return c.up }

// Sent counts the bytes the kernel has taken, Queued those and the ones that still wait.
func (c *Conn) Sent() uint64 { return c.total }

// Queued counts all bytes ever written to the connection.
func (c *Conn) Queued() uint64 { return c.total + uint64(len(c.out)-c.sent) }

// Waiting is how many written bytes the kernel has not taken.
func (c *Conn) Waiting() int { return len(c.out) - c.sent }

// Write queues bytes; they go out at the end of the turn. b may be used again at once.
func (c *Conn) Write(b []byte) {
	if c.fd < 0 || c.linger {
		return
	}
	if c.out == nil {
		c.out = c.l.buffer()
	}
	c.out = append(c.out, b...)
	c.mark()
}

// Retract takes queued bytes back, from one position to another as Queued counted them. It returns false, and takes
// nothing back, where some have gone to the kernel. What was queued behind them moves up.
func (c *Conn) Retract(from, to uint64) bool {
	if c.fd < 0 || c.linger || from < c.total || to > c.Queued() || from > to {
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
		c.paused = true
		c.want(c.interest &^ unix.EPOLLIN)
	}
}

// Resume lets Data be called again, in this turn for what was left over.
func (c *Conn) Resume() {
	if !c.paused {
		return
	}
	c.paused = false
	c.want(c.interest | unix.EPOLLIN)
	c.Again()
}

// Again lets Data be called in this turn for bytes it left before, if there are any.
func (c *Conn) Again() {
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

// Poll reads now what the kernel holds, before the turn in which it would be heard: what has come in by the time a
// connection is closed was sent in time. The handler hears it as ever, and may close the connection.
func (c *Conn) Poll() {
	if c.fd >= 0 && c.up && !c.paused && !c.linger {
		c.read()
	}
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
	c.in, c.out, c.sent, c.up = nil, nil, 0, false
	c.l.conns--
	c.l.Stats.Conns.Add(-1)
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
		if code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || code != 0 {
			c.end(fmt.Errorf("connect %s: %w", c.peer, syscall.Errno(code)))
			return
		}
		if events&unix.EPOLLOUT == 0 {
			return
		}
		c.up = true
		c.l.Cancel(&c.timer)
		c.want(unix.EPOLLIN | unix.EPOLLRDHUP)
		c.h.Opened(c)
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
	if events&(unix.EPOLLIN|unix.EPOLLERR|unix.EPOLLHUP|unix.EPOLLRDHUP) != 0 {
		if c.paused && events&(unix.EPOLLERR|unix.EPOLLHUP|unix.EPOLLRDHUP) == 0 {
			return
		}
		c.read()
	}
}

func (c *Conn) read() {
	n, err := c.l.kernel.Read(c.fd, c.l.scratch)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
	case err != nil:
		c.end(os.NewSyscallError("read", err))
	case n == 0:
		c.end(io.EOF)
	case c.linger: // dropped
	case c.paused: // the peer has left with bytes unread: nobody will answer to them
		c.in = append(c.in, c.l.scratch[:n]...)
		if len(c.in) > 4*readSize {
			c.end(io.EOF)
		}
	default:
		c.feed(c.l.scratch[:n])
	}
}

// feed gives the handler what is there, and keeps what it leaves.
func (c *Conn) feed(b []byte) {
	if len(c.in) > 0 {
		c.in = append(c.in, b...)
		b = c.in
	}
	used := c.h.Data(c, b)
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

func (c *Conn) flush() {
	for c.sent < len(c.out) {
		n, err := c.l.kernel.Write(c.fd, c.out[c.sent:])
		if err == unix.EAGAIN {
			c.waits = true
			c.want(c.interest | unix.EPOLLOUT)
			return
		} else if err == unix.EINTR {
			continue
		} else if err != nil {
			c.end(os.NewSyscallError("write", err))
			return
		}
		c.sent += n
		c.total += uint64(n)
	}
	c.l.give(c.out)
	c.out, c.sent = nil, 0
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
		c.h.Drained(c)
	}
}

// NotifyDrained asks for Drained after what is written now, also where it goes out at once.
func (c *Conn) NotifyDrained() { c.notify = true }
