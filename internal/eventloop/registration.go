//go:build linux

package eventloop

import (
	"math"

	"golang.org/x/sys/unix"
)

// registration is the entry of a descriptor in the loop's table: the epoll events to watch for and their receiver.
type registration struct {
	generation int32  // tag of its epoll events; tells them from events of a closed descriptor with the same number
	events     uint32 // epoll events to watch for
	added      bool   // epoll watches the descriptor
	failed     bool   // the latest epoll_ctl failed and will be retried; events may be missed meanwhile
	conn       *Conn
	listener   *Listener
}

// registrationRef identifies a registration, also after it has ended and its descriptor number has been reused.
type registrationRef struct {
	fd         int
	generation int32
}

// register adds a descriptor to the table and to epoll.
func (l *Loop) register(fd int, events uint32, entry registration) {
	for len(l.descriptors) <= fd {
		l.descriptors = append(l.descriptors, registration{})
	}
	l.generation = (l.generation + 1) & math.MaxInt32
	entry.generation = l.generation
	entry.events = events
	l.descriptors[fd] = entry
	l.applyRegistration(fd)
}

// setEvents changes the events that a registered descriptor is watched for.
func (l *Loop) setEvents(fd int, events uint32) {
	l.descriptors[fd].events = events
	l.applyRegistration(fd)
}

// unregister closes a descriptor; the kernel then removes it from epoll.
func (l *Loop) unregister(fd int) {
	l.descriptors[fd] = registration{}
	l.kernel.Close(fd)
	l.restoreReserve()
}

// applyRegistration passes the events to watch for to epoll. If that fails for lack of memory, it is retried after
// localFailureBackoff.
func (l *Loop) applyRegistration(fd int) {
	entry := &l.descriptors[fd]
	operation := unix.EPOLL_CTL_MOD
	if !entry.added {
		operation = unix.EPOLL_CTL_ADD
	}
	err := l.kernel.EpollControl(l.epollFD, operation, fd, entry.events, entry.generation)
	if err == nil {
		entry.added = true
		return
	}
	l.Stats.LocalFailures.Add(1)
	if !entry.failed {
		if entry.conn != nil {
			entry.conn.unreadAfter = entry.conn.arrivedAfter()
		}
		entry.failed = true
		l.failedRegistrations = append(l.failedRegistrations, registrationRef{fd, entry.generation})
	}
	if !l.registrationTimer.Pending() {
		l.StartTimer(&l.registrationTimer, localFailureBackoff)
	}
}

// retryRegistrations retries the registrations that failed. Descriptors for which it fails again are served without
// waiting for an event.
func (l *Loop) retryRegistrations() {
	refs := l.failedRegistrations
	l.failedRegistrations = nil
	for _, ref := range refs {
		entry := &l.descriptors[ref.fd]
		if entry.generation != ref.generation {
			continue // closed in the meantime
		}
		entry.failed = false
		if entry.conn != nil {
			entry.conn.readAll = true
			entry.conn.markUnread(entry.conn.unreadAfter)
		}
		if entry.listener != nil {
			entry.listener.markPending()
		}
		l.applyRegistration(ref.fd)
		if entry.failed {
			l.serveUnwatched(entry.conn, entry.listener)
		}
	}
}

// serveUnwatched reads from and writes to a connection, or accepts from a listener, whose events epoll may not report.
func (l *Loop) serveUnwatched(c *Conn, listener *Listener) {
	switch {
	case listener != nil:
		listener.acceptPending()
	case c.established:
		c.ReadNow()
		if c.fd >= 0 && c.writeBlocked {
			c.flush()
		}
	}
}
