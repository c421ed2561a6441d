//go:build linux

package eventloop

import "golang.org/x/sys/unix"

// pollEvents waits up to timeout milliseconds for events, dispatches them, and updates the clock and the poll history. A
// wait interrupted by a signal does not count as a poll.
func (l *Loop) pollEvents(timeout int) error {
	started := l.Clock()
	n, err := l.kernel.EpollWait(l.epollFD, l.events[:], timeout)
	l.now = l.Clock()
	if err == unix.EINTR {
		return nil
	}
	if err != nil {
		return err
	}
	l.polls.record(started, float64(timeout)/1e3, l.now, n)
	if l.polls.catchingUp {
		l.Stats.Stalls.Add(1)
	}
	l.dispatchEvents(l.events[:n])
	l.pollFurtherEvents(n)
	if l.polls.catchingUp && l.OnStall != nil {
		l.OnStall(l.now - l.polls.previousReportedUntil)
	}
	return nil
}

// pollFurtherEvents polls again, as part of the same poll, while the event buffer was full: otherwise some descriptors
// that were ready by pollHistory.reportedUntil would not be reported.
func (l *Loop) pollFurtherEvents(eventCount int) {
	for range maxFollowUpPolls {
		if eventCount < len(l.events) {
			return
		}
		var err error
		eventCount, err = l.kernel.EpollWait(l.epollFD, l.events[:], 0)
		if err != nil {
			return
		}
		l.dispatchEvents(l.events[:eventCount])
	}
}

func (l *Loop) dispatchEvents(events []unix.EpollEvent) {
	for i := range events {
		event := &events[i]
		if event.Pad == wakeTag {
			l.resetWakeUp()
			continue
		}
		if int(event.Fd) >= len(l.descriptors) || l.descriptors[event.Fd].generation != event.Pad {
			continue // the descriptor was closed after the poll
		}
		entry := l.descriptors[event.Fd]
		if entry.conn != nil {
			entry.conn.handleEvents(event.Events)
		} else if entry.listener != nil {
			entry.listener.acceptPending()
		}
	}
}

// pollIsStale reports whether the latest poll is older than maxPollAge, so that bytes which have arrived since must be read
// before any are written.
func (l *Loop) pollIsStale() bool { return l.Clock()-l.polls.reportedUntil > maxPollAge }
