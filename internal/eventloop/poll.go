//go:build linux

package eventloop

import "golang.org/x/sys/unix"

// pollEvents waits up to timeout ms for events, dispatches them, and updates the clock and what is known of arrival
// times. A wait interrupted by a signal counts as no poll.
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
		l.OnStall(l.now - l.polls.previousUntil)
	}
	return nil
}

// pollFurtherEvents polls again, as part of the same poll, while the event buffer was full: otherwise some descriptors
// that were ready by pollHistory.until would not be reported.
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
			continue // of a descriptor closed since the poll
		}
		entry := l.descriptors[event.Fd]
		if entry.conn != nil {
			entry.conn.handleEvents(event.Events)
		} else if entry.listener != nil {
			entry.listener.acceptWaiting()
		}
	}
}

// pollIsStale reports whether the latest poll is so long ago that what has arrived since must be read before anything is
// written.
func (l *Loop) pollIsStale() bool { return l.Clock()-l.polls.until > maxPollAge }
