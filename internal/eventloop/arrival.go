//go:build linux

package eventloop

import "math"

// When bytes arrived.
//
// Between any two instructions the process may be stalled, for lack of a processor or by a signal. Bytes arrive in the
// kernel meanwhile, and the client's clock keeps running, so the time at which the loop reads bytes may be long after
// the time at which they arrived. The kernel does not report that time; it is estimated from the polls:
//
//   - pollHistory.until: whatever arrived before this time has been reported by the latest poll or an earlier one. It is
//     the time just before epoll_wait was called. Where the wait ended without events it is the scheduled end of the
//     wait, or the time at which epoll_wait returned if that is earlier: of what arrived between the scheduled end and a
//     later return, as after a stall, nothing is known.
//   - pollHistory.previousUntil: the same for the poll before the latest. What the latest poll reports for the first time
//     arrived after it, as epoll is level-triggered and the earlier poll would have reported it.
//
// From the lower bound the estimate is made by arrivalTime: the bound plus arrivalSlack, and never later than now. So in
// ordinary operation, with gaps between polls below arrivalSlack, bytes count as arrived now; after a stall the span of
// the stall, less arrivalSlack, counts as time that has passed for the client.
//
// The bound previousUntil holds for a connection only if earlier polls watched it and all they reported was read.
// Where that is not so, the connection carries a bound of its own:
//
//   - Bytes were left unread, or may have been (a full read, a partial message, a failed read, a bounded number of reads):
//     markUnread records the bound that applied to that read. It applies to what is read in the poll at which it was
//     recorded and in the next one. If the next poll did not report the connection, nothing was left unread at that
//     time, and the bound of the polls applies again.
//   - Reading was paused by Pause, so that polls did not watch for bytes: the bound is the time of Pause.
//   - The kernel had no memory for a read, a write (Conn.backingOff) or a change of registration (registration.refused),
//     so that polls do not report reliably: the bound is the one that applied when that began.
//   - A connection was accepted: its first bytes may be as old as the time at which the listener's queue was last known
//     to be empty (Listener.knownEmptyAt).

// pollHistory is what the polls so far prove about arrival times, as explained above.
type pollHistory struct {
	count         int64   // of polls
	until         float64 // what arrived before this time has been reported
	previousUntil float64 // the same as of the poll before the latest
	catchingUp    bool    // the latest poll came more than arrivalSlack after the previous one
}

// record adds a poll that started and ended at the given times of the loop's clock, was to wait for at most timeout
// seconds, and reported a number of events.
func (h *pollHistory) record(started, timeout, ended float64, eventCount int) {
	h.previousUntil = h.until
	h.until = started
	if eventCount == 0 {
		h.until = math.Min(ended, started+timeout)
	}
	h.count++
	h.catchingUp = ended-h.previousUntil > arrivalSlack
}

// arrivalTime returns the estimated time at which bytes arrived that had not arrived at the given time: no later than
// now, and otherwise as early as the given time allows.
func (l *Loop) arrivalTime(after float64) float64 { return math.Min(l.now, after+arrivalSlack) }

// ArrivedAt returns the estimated time at which events handled in this turn, posted functions included, came in. It
// accounts for stalls of the process and is never in the future.
func (l *Loop) ArrivedAt() float64 { return l.arrivalTime(l.polls.previousUntil) }

// ReceivedAt returns the estimated time, on the loop's clock, at which the bytes passed to Received arrived. It accounts
// for stalls of the process and is never in the future.
func (c *Conn) ReceivedAt() float64 { return c.receivedAt }

// markUnread records that bytes of the connection may be unread that arrived before the latest polls, but after the
// given time.
func (c *Conn) markUnread(after float64) {
	c.hasUnread = true
	c.unreadAfter = after
	c.unreadPoll = c.loop.polls.count
}

// arrivedAfter returns a time before which nothing arrived of what is read from the connection now.
func (c *Conn) arrivedAfter() float64 {
	pollsSince := c.loop.polls.count - c.unreadPoll
	markApplies := c.hasUnread && pollsSince <= 1
	if markApplies || c.isUnwatched() {
		return c.unreadAfter
	}
	return c.loop.polls.previousUntil
}

// isUnwatched reports whether polls may fail to report what arrives.
func (c *Conn) isUnwatched() bool {
	return c.backingOff || c.fd >= 0 && c.loop.descriptors[c.fd].refused
}
