//go:build linux

package eventloop

import (
	"math"

	"golang.org/x/sys/unix"
)

// A read or write that fails because the kernel has no memory says nothing about the peer, and the next one may succeed. It is
// retried at once up to maxImmediateRetries times in a row. After that, it is tried again in the next turn if bytes have been
// transferred in this one; otherwise the connection is suspended for a backoff, which doubles until a read or write succeeds.

// isMemoryShortage reports whether a read or write failed because the kernel had no memory.
func isMemoryShortage(err error) bool { return err == unix.ENOMEM || err == unix.ENOBUFS }

// BackoffCount returns how often reading was suspended briefly because reads or writes of the connection failed for lack
// of local resources. The peer is not at fault for bytes that were not received during such a pause.
func (c *Conn) BackoffCount() uint32 { return c.backoffCount }

// startBackoff suspends reads and writes of a connection after the kernel had no memory for one, for twice as long as the
// last time, between minBackoff and maxBackoff.
func (c *Conn) startBackoff() {
	if c.inBackoff {
		return
	}
	c.unreadAfter = c.arrivedAfter()
	c.inBackoff = true
	c.backoffCount++
	c.backoffDelay = math.Min(maxBackoff, math.Max(minBackoff, 2*c.backoffDelay))
	c.setInterest(c.interest &^ unix.EPOLLIN)
	c.backoffTimer.Fire = c.endBackoff
	c.loop.StartTimer(&c.backoffTimer, c.backoffDelay)
}

// endBackoff resumes a connection suspended by startBackoff.
func (c *Conn) endBackoff() {
	c.inBackoff = false
	c.readAll = true
	c.markUnread(c.unreadAfter)
	if !c.paused {
		c.setInterest(c.interest | unix.EPOLLIN)
	}
	if c.writeBlocked {
		c.flush()
	}
}
