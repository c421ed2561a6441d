//go:build linux

package eventloop

import "golang.org/x/sys/unix"

// wakeTag is the epoll tag of the wake-up descriptor. The tags of all others are generations, which are not negative.
const wakeTag = -1

// Post calls f on the loop as soon as possible. It is safe for use from any goroutine and never blocks. f is not called
// if the loop has ended.
func (l *Loop) Post(f func()) {
	l.postedMutex.Lock()
	defer l.postedMutex.Unlock()
	if l.closed { // wakeFD may be the number of another descriptor by now
		return
	}
	l.posted.add(f)
	if l.wakePending.CompareAndSwap(false, true) {
		l.wakeUp()
	}
}

// wakeUp ends the current or next poll of the loop. A failure is harmless, as a poll waits no longer than maxPollWait.
func (l *Loop) wakeUp() {
	increment := [8]byte{1}
	for {
		_, err := l.kernel.Write(l.wakeFD, increment[:])
		if err != unix.EINTR {
			return
		}
	}
}

// resetWakeUp consumes a wake-up. It clears the flag after the read: otherwise the read could consume the wake-up of a
// concurrent Post while the flag stays set, and later calls of Post would not wake the loop.
func (l *Loop) resetWakeUp() {
	var counter [8]byte
	l.kernel.Read(l.wakeFD, counter[:])
	l.wakePending.Store(false)
}

// Stop ends Run after the current turn. It is safe for use from any goroutine.
func (l *Loop) Stop() { l.Post(func() { l.stopped = true }) }

// Defer calls f within this turn, after the events that are being handled.
func (l *Loop) Defer(f func()) { l.deferred.add(f) }

func (l *Loop) runPosted() {
	l.postedMutex.Lock()
	batch := l.posted.next()
	l.postedMutex.Unlock()
	for i, f := range batch {
		if i < maxPostedPerTurn {
			f()
		} else {
			l.Defer(f)
		}
	}
	clear(batch)
}

func (l *Loop) runDeferred() {
	batch := l.deferred.next()
	for _, f := range batch {
		f()
	}
	clear(batch)
}
