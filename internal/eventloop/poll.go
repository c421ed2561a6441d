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

// entry is a descriptor's place in the table.
type entry struct {
	gen     int32
	events  uint32
	added   bool // the kernel watches it
	refused bool // the kernel refused the latest change; it is tried again
	c       *Conn
	l       *Listener
}

type unarmed struct {
	fd  int
	gen int32
}

// enter registers a descriptor.
func (l *Loop) enter(fd int, events uint32, e entry) {
	for len(l.fds) <= fd {
		l.fds = append(l.fds, entry{})
	}
	l.gen = (l.gen + 1) & math.MaxInt32
	e.gen, e.events = l.gen, events
	l.fds[fd] = e
	l.arm(fd)
}

func (l *Loop) change(fd int, events uint32) {
	l.fds[fd].events = events
	l.arm(fd)
}

func (l *Loop) leave(fd int) {
	l.fds[fd] = entry{}
	unix.Close(fd)
	l.restoreReserve()
}

// arm tells the kernel what a descriptor is watched for. Where it has no memory for that, it is told again soon.
func (l *Loop) arm(fd int) {
	e := &l.fds[fd]
	operation := unix.EPOLL_CTL_MOD
	if !e.added {
		operation = unix.EPOLL_CTL_ADD
	}
	if err := l.kernel.EpollControl(l.ep, operation, fd, e.events, e.gen); err == nil {
		e.added = true
		return
	}
	l.Stats.LocalFailures.Add(1)
	if !e.refused {
		if e.c != nil {
			e.c.since = e.c.cameAfter()
		}
		e.refused = true
		l.unarmed = append(l.unarmed, unarmed{fd, e.gen})
	}
	if !l.armTimer.Pending() {
		l.Start(&l.armTimer, localRest)
	}
}

// armAgain tells the kernel what it refused to hear.
func (l *Loop) armAgain() {
	list := l.unarmed
	l.unarmed = nil
	for _, u := range list {
		if e := &l.fds[u.fd]; e.gen == u.gen {
			e.refused = false
			if e.c != nil {
				e.c.missed = true
				e.c.fallBehind(e.c.since)
			}
			if l.arm(u.fd); e.refused {
				l.tryUnwatched(*e)
			}
		}
	}
}

// tryUnwatched reads, writes or accepts what the kernel does not tell of meanwhile.
func (l *Loop) tryUnwatched(e entry) {
	switch c := e.c; {
	case e.l != nil:
		e.l.accept()
	case c.up:
		if c.ReadNow(); c.fd >= 0 && c.waits {
			c.flush()
		}
	}
}

// look waits up to so many ms and hears what is ready.
func (l *Loop) look(ms int) error {
	began := l.Clock()
	n, err := l.kernel.EpollWait(l.ep, l.events[:], ms)
	l.now = l.Clock()
	if err == unix.EINTR {
		return nil
	} else if err != nil {
		return err
	}
	l.heardTo, l.lookedAt = l.lookedAt, began
	if n == 0 { // nothing up to the end of the wait
		l.lookedAt = math.Min(l.now, began+float64(ms)/1e3)
	}
	l.looks++
	l.catchingUp = l.now-l.heardTo > arrivalSlack
	if l.catchingUp {
		l.Stats.Stalls.Add(1)
	}
	l.hear(l.events[:n])
	for range looksMore { // with more ready than one look tells
		if n < len(l.events) {
			break
		}
		if n, err = l.kernel.EpollWait(l.ep, l.events[:], 0); err != nil {
			break
		}
		l.hear(l.events[:n])
	}
	if l.catchingUp && l.OnStall != nil {
		l.OnStall(l.now - l.heardTo)
	}
	return nil
}

func (l *Loop) hear(events []unix.EpollEvent) {
	for i := range events {
		e := &events[i]
		if e.Pad < 0 {
			var b [8]byte
			l.kernel.Read(l.wake, b[:])
			l.waked.Store(false) // after the read: else a Post in between would be read away, and none wake us again
			continue
		}
		if int(e.Fd) >= len(l.fds) || l.fds[e.Fd].gen != e.Pad {
			continue // of a descriptor closed in this turn
		}
		if in := l.fds[e.Fd]; in.c != nil {
			in.c.ready(e.Events)
		} else if in.l != nil {
			in.l.accept()
		}
	}
}

// stale tells whether the latest look is so long ago that what has come in since is to be heard before anything goes out.
func (l *Loop) stale() bool { return l.Clock()-l.lookedAt > lookSpan }

// arrival is when bytes came in that were not there at a time: no later than now, and as early as that allows.
func (l *Loop) arrival(after float64) float64 { return math.Min(l.now, after+arrivalSlack) }

// ArrivedAt is when what was posted or heard in this turn came in, as early as the loop's looks allow.
func (l *Loop) ArrivedAt() float64 { return l.arrival(l.heardTo) }

// releaseReserve gives the reserve descriptor back for one more connection; false where it is used already.
func (l *Loop) releaseReserve() bool {
	if l.reserve < 0 {
		return false
	}
	unix.Close(l.reserve)
	l.reserve = -1
	return true
}

// restoreReserve takes a reserve descriptor again once there is one.
func (l *Loop) restoreReserve() {
	if l.reserve < 0 {
		l.reserve, _ = unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0) // -1 where there is still none
	}
}
