//go:build linux

package eventloop

import (
	"math"

	"golang.org/x/sys/unix"
)

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
	l.recordPoll(started, timeout, n)
	l.dispatchEvents(l.events[:n])
	l.pollFurtherEvents(n)
	if l.catchingUp && l.OnStall != nil {
		l.OnStall(l.now - l.previousPolledUntil)
	}
	return nil
}

// recordPoll updates the arrival times known from polls; see arrival.go.
func (l *Loop) recordPoll(started float64, timeout, eventCount int) {
	l.previousPolledUntil = l.polledUntil
	l.polledUntil = started
	if eventCount == 0 { // nothing arrived up to the end of the wait
		l.polledUntil = math.Min(l.now, started+float64(timeout)/1e3)
	}
	l.pollCount++
	l.catchingUp = l.now-l.previousPolledUntil > arrivalSlack
	if l.catchingUp {
		l.Stats.Stalls.Add(1)
	}
}

// pollFurtherEvents polls again, as part of the same poll, while the event buffer was full: otherwise some descriptors
// that were ready by polledUntil would not be reported.
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
func (l *Loop) pollIsStale() bool { return l.Clock()-l.polledUntil > maxPollAge }
