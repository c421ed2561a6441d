//go:build linux

package eventloop

import "golang.org/x/sys/unix"

// BackoffCount returns how often reading was suspended for a moment because a read or write of the connection failed for
// lack of local resources. What did not arrive during such a pause is not the peer's fault.
func (c *Conn) BackoffCount() uint32 { return c.readPauses }

// backOff suspends reads and writes of a connection for localFailureBackoff, as the kernel has no memory for them.
func (c *Conn) backOff() {
	if c.backingOff {
		return
	}
	c.unreadAfter = c.arrivedAfter()
	c.backingOff = true
	c.readPauses++
	l := c.loop
	l.Stats.LocalFailures.Add(1)
	c.setInterest(c.interest &^ unix.EPOLLIN)
	l.backingOff = append(l.backingOff, c)
	if !l.backoffTimer.Pending() {
		l.StartTimer(&l.backoffTimer, localFailureBackoff)
	}
}

// resumeBackedOff resumes the connections suspended by backOff.
func (l *Loop) resumeBackedOff() {
	conns := l.backingOff
	l.backingOff = nil
	for _, c := range conns {
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
