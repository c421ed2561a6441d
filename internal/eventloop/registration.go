//go:build linux

package eventloop

import (
	"math"

	"golang.org/x/sys/unix"
)

// registration is the entry of a descriptor in the loop's table: what epoll is to watch it for, and for whom.
type registration struct {
	generation int32  // tag of its epoll events: an event of a descriptor closed since carries an older one
	events     uint32 // wanted
	added      bool   // epoll watches the descriptor
	refused    bool   // the kernel refused the latest change, which is retried; events may be missing meanwhile
	conn       *Conn
	listener   *Listener
}

// registrationRef identifies a registration. It outlives it: the descriptor's number may be in use by another.
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

// setEvents changes what a registered descriptor is watched for.
func (l *Loop) setEvents(fd int, events uint32) {
	l.descriptors[fd].events = events
	l.applyRegistration(fd)
}

// unregister closes a descriptor; the kernel then removes it from epoll.
func (l *Loop) unregister(fd int) {
	l.descriptors[fd] = registration{}
	unix.Close(fd)
	l.restoreReserve()
}

// applyRegistration passes the wanted events of a descriptor to epoll. Where the kernel refuses, for lack of memory, the
// change is retried after localFailureBackoff.
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
	if !entry.refused {
		if entry.conn != nil {
			entry.conn.unreadAfter = entry.conn.arrivedAfter()
		}
		entry.refused = true
		l.refusedRegistrations = append(l.refusedRegistrations, registrationRef{fd, entry.generation})
	}
	if !l.registrationTimer.Pending() {
		l.StartTimer(&l.registrationTimer, localFailureBackoff)
	}
}

// retryRegistrations retries the changes that the kernel refused. Descriptors for which it refuses again are served
// without waiting for an event.
func (l *Loop) retryRegistrations() {
	refs := l.refusedRegistrations
	l.refusedRegistrations = nil
	for _, ref := range refs {
		entry := &l.descriptors[ref.fd]
		if entry.generation != ref.generation {
			continue // closed since
		}
		entry.refused = false
		if entry.conn != nil {
			entry.conn.wasUnwatched = true
			entry.conn.markUnread(entry.conn.unreadAfter)
		}
		l.applyRegistration(ref.fd)
		if entry.refused {
			l.serveUnwatched(entry.conn, entry.listener)
		}
	}
}

// serveUnwatched reads and writes, or accepts, on a descriptor whose events the kernel may not report.
func (l *Loop) serveUnwatched(c *Conn, listener *Listener) {
	switch {
	case listener != nil:
		listener.acceptWaiting()
	case c.established:
		c.ReadNow()
		if c.fd >= 0 && c.writeBlocked {
			c.flush()
		}
	}
}
