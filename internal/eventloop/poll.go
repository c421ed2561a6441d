//go:build linux

package eventloop

import (
	"math"

	"golang.org/x/sys/unix"
)

// The loop's half of epoll: which descriptors are watched for what, and what a look at them proves about the time at
// which bytes came in.
//
// A process can stand still, for want of a processor or by a signal, between any two lines. What a look finds came in at
// some time since the look before; where that is long ago, the time since counts in full but for arrivalSlack, as the
// client's clock went on.

// registration is a descriptor's place in the table.
type registration struct {
	generation int32
	events     uint32
	added      bool // the kernel watches it
	refused    bool // the kernel refused the latest change; it is tried again
	conn       *Conn
	listener   *Listener
}

type registrationRef struct {
	fd         int
	generation int32
}

// register registers a descriptor.
func (l *Loop) register(fd int, events uint32, e registration) {
	for len(l.descriptors) <= fd {
		l.descriptors = append(l.descriptors, registration{})
	}
	l.generation = (l.generation + 1) & math.MaxInt32
	e.generation, e.events = l.generation, events
	l.descriptors[fd] = e
	l.applyRegistration(fd)
}

func (l *Loop) setEvents(fd int, events uint32) {
	l.descriptors[fd].events = events
	l.applyRegistration(fd)
}

func (l *Loop) unregister(fd int) {
	l.descriptors[fd] = registration{}
	unix.Close(fd)
	l.restoreReserve()
}

// applyRegistration tells the kernel what a descriptor is watched for. Where it has no memory for that, it is told again soon.
func (l *Loop) applyRegistration(fd int) {
	e := &l.descriptors[fd]
	operation := unix.EPOLL_CTL_MOD
	if !e.added {
		operation = unix.EPOLL_CTL_ADD
	}
	if err := l.kernel.EpollControl(l.epollFD, operation, fd, e.events, e.generation); err == nil {
		e.added = true
		return
	}
	l.Stats.LocalFailures.Add(1)
	if !e.refused {
		if e.conn != nil {
			e.conn.unreadAfter = e.conn.arrivedAfter()
		}
		e.refused = true
		l.refusedRegistrations = append(l.refusedRegistrations, registrationRef{fd, e.generation})
	}
	if !l.registrationTimer.Pending() {
		l.Start(&l.registrationTimer, localFailureBackoff)
	}
}

// retryRegistrations tells the kernel what it refused to hear.
func (l *Loop) retryRegistrations() {
	list := l.refusedRegistrations
	l.refusedRegistrations = nil
	for _, u := range list {
		if e := &l.descriptors[u.fd]; e.generation == u.generation {
			e.refused = false
			if e.conn != nil {
				e.conn.wasUnwatched = true
				e.conn.markUnread(e.conn.unreadAfter)
			}
			if l.applyRegistration(u.fd); e.refused {
				l.serveUnwatched(*e)
			}
		}
	}
}

// serveUnwatched reads, writes or accepts what the kernel does not tell of meanwhile.
func (l *Loop) serveUnwatched(e registration) {
	switch c := e.conn; {
	case e.listener != nil:
		e.listener.acceptWaiting()
	case c.established:
		if c.ReadNow(); c.fd >= 0 && c.writeBlocked {
			c.flush()
		}
	}
}

// pollEvents waits up to so many ms and hears what is ready.
func (l *Loop) pollEvents(ms int) error {
	began := l.Clock()
	n, err := l.kernel.EpollWait(l.epollFD, l.events[:], ms)
	l.now = l.Clock()
	if err == unix.EINTR {
		return nil
	} else if err != nil {
		return err
	}
	l.previousPolledUntil, l.polledUntil = l.polledUntil, began
	if n == 0 { // nothing up to the end of the wait
		l.polledUntil = math.Min(l.now, began+float64(ms)/1e3)
	}
	l.pollCount++
	l.catchingUp = l.now-l.previousPolledUntil > arrivalSlack
	if l.catchingUp {
		l.Stats.Stalls.Add(1)
	}
	l.dispatchEvents(l.events[:n])
	for range maxFollowUpPolls { // with more ready than one look tells
		if n < len(l.events) {
			break
		}
		if n, err = l.kernel.EpollWait(l.epollFD, l.events[:], 0); err != nil {
			break
		}
		l.dispatchEvents(l.events[:n])
	}
	if l.catchingUp && l.OnStall != nil {
		l.OnStall(l.now - l.previousPolledUntil)
	}
	return nil
}

func (l *Loop) dispatchEvents(events []unix.EpollEvent) {
	for i := range events {
		e := &events[i]
		if e.Pad < 0 {
			var b [8]byte
			l.kernel.Read(l.wakeFD, b[:])
			l.wakePending.Store(false) // after the read: else a Post in between would be read away, and none wake us again
			continue
		}
		if int(e.Fd) >= len(l.descriptors) || l.descriptors[e.Fd].generation != e.Pad {
			continue // of a descriptor closed in this turn
		}
		if in := l.descriptors[e.Fd]; in.conn != nil {
			in.conn.handleEvents(e.Events)
		} else if in.listener != nil {
			in.listener.acceptWaiting()
		}
	}
}

// pollIsStale tells whether the latest look is so long ago that what has come in since is to be heard before anything goes out.
func (l *Loop) pollIsStale() bool { return l.Clock()-l.polledUntil > maxPollAge }

// arrivalTime is when bytes came in that were not there at a time: no later than now, and as early as that allows.
func (l *Loop) arrivalTime(after float64) float64 { return math.Min(l.now, after+arrivalSlack) }

// ArrivedAt is when what was posted or heard in this turn came in, as early as the loop's looks allow.
func (l *Loop) ArrivedAt() float64 { return l.arrivalTime(l.previousPolledUntil) }

// releaseReserve gives the reserve descriptor back for one more connection; false where it is used already.
func (l *Loop) releaseReserve() bool {
	if l.reserveFD < 0 {
		return false
	}
	unix.Close(l.reserveFD)
	l.reserveFD = -1
	return true
}

// restoreReserve takes a reserve descriptor again once there is one.
func (l *Loop) restoreReserve() {
	if l.reserveFD < 0 {
		l.reserveFD, _ = unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0) // -1 where there is still none
	}
}
