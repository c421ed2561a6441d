//go:build linux

package eventloop

import "math"

// Estimation of arrival times.
//
// The process can stall between any two instructions, because it is not scheduled or is stopped by a signal. Bytes keep
// arriving in the kernel and the client's timeout keeps running, so the loop may read bytes long after they arrived. The
// kernel does not report when they arrived; a lower bound follows from the polls:
//
//   - pollHistory.reportedUntil: all bytes that arrived before this time have been reported by the latest poll or an
//     earlier one. It is the time just before epoll_wait was called. If the wait ended without events, it is the scheduled
//     end of the wait, or the time at which epoll_wait returned if that is earlier: if it returned late, as after a stall,
//     nothing is known about bytes that arrived after the scheduled end.
//   - pollHistory.previousReportedUntil: the same for the poll before the latest. Bytes that the latest poll is the first to
//     report arrived after this time: epoll is level-triggered, so the earlier poll would have reported them.
//
// The estimate of arrivalTime is this lower bound plus arrivalSlack, but not later than now. In normal operation, with gaps
// between polls below arrivalSlack, bytes count as arrived now. After a stall, its duration less arrivalSlack counts as
// time that has passed for the client.
//
// The bound previousReportedUntil holds for a connection only if earlier polls watched it and all bytes that they reported
// were read. Otherwise the connection has a bound of its own:
//
//   - Bytes were or may have been left unread (a full read, a partial message, a failed read, a limited number of reads):
//     markUnread records the bound that applied to that read. It applies to reads in the same poll and in the next one.
//     If the next poll does not report the connection, no bytes were left unread at that time, and the bound of the polls
//     applies again.
//   - Reading was paused by Pause, so that polls did not watch for bytes: the bound is the time of Pause.
//   - The kernel had no memory for a read or write (Conn.inBackoff) or for a change of the registration
//     (registration.failed), so that polls are not reliable: the bound is the one that applied when that began.
//   - The connection was just accepted: its first bytes may be as old as the time at which the listener's queue was last
//     known to be empty (Listener.knownEmptyAt).

// pollHistory holds what the polls so far imply about arrival times, as explained above. Times are in seconds of the
// loop's clock.
type pollHistory struct {
	count                 int64   // polls so far
	reportedUntil         float64 // all bytes that arrived before this time have been reported
	previousReportedUntil float64 // reportedUntil as of the poll before the latest
	catchingUp            bool    // the latest poll ended more than arrivalSlack after previousReportedUntil
}

// record adds a poll that started and ended at the given times of the loop's clock, had a timeout in seconds, and reported
// eventCount events.
func (h *pollHistory) record(started, timeout, ended float64, eventCount int) {
	h.previousReportedUntil = h.reportedUntil
	h.reportedUntil = started
	if eventCount == 0 {
		h.reportedUntil = math.Min(ended, started+timeout)
	}
	h.count++
	h.catchingUp = ended-h.previousReportedUntil > arrivalSlack
}

// arrivalTime returns the estimated arrival time of bytes that arrived after the given time: arrivalSlack later, but not
// later than now.
func (l *Loop) arrivalTime(after float64) float64 { return math.Min(l.now, after+arrivalSlack) }

// ArrivedAt returns the estimated time at which the events handled in this turn occurred, posted functions included. It
// accounts for stalls of the process and is never in the future.
func (l *Loop) ArrivedAt() float64 { return l.arrivalTime(l.polls.previousReportedUntil) }

// ReceivedAt returns the estimated time, on the loop's clock, at which the bytes passed to Received arrived. It accounts
// for stalls of the process and is never in the future.
func (c *Conn) ReceivedAt() float64 { return c.receivedAt }

// markUnread records that the connection may have unread bytes that arrived before the latest polls but after the given
// time.
func (c *Conn) markUnread(after float64) {
	c.hasUnread = true
	c.unreadAfter = after
	c.unreadPoll = c.loop.polls.count
}

// arrivedAfter returns a lower bound of the arrival time of the bytes that a read from the connection returns now.
func (c *Conn) arrivedAfter() float64 {
	pollsSince := c.loop.polls.count - c.unreadPoll
	markApplies := c.hasUnread && pollsSince <= 1
	if markApplies || c.isUnwatched() {
		return c.unreadAfter
	}
	return c.loop.polls.previousReportedUntil
}

// isUnwatched reports whether polls may fail to report arriving bytes.
func (c *Conn) isUnwatched() bool {
	return c.inBackoff || c.fd >= 0 && c.loop.descriptors[c.fd].failed
}
