//go:build linux

package eventloop

import "golang.org/x/sys/unix"

// wakeTag is the epoll tag of the wake-up descriptor; the tags of all others are generations, which are positive.
const wakeTag = -1

// Post calls f on the loop soon. It is safe for use from any goroutine and never blocks. f is not called if the loop has
// ended.
func (l *Loop) Post(f func()) {
	l.postedMutex.Lock()
	l.posted = append(l.posted, f)
	l.postedMutex.Unlock()
	if l.wakePending.CompareAndSwap(false, true) {
		l.wakeUp()
	}
}

// wakeUp ends the current or next wait of the loop. A failure is harmless: a wait lasts no longer than maxPollWait.
func (l *Loop) wakeUp() {
	increment := [8]byte{1}
	for {
		_, err := l.kernel.Write(l.wakeFD, increment[:])
		if err != unix.EINTR {
			return
		}
	}
}

// resetWakeUp consumes a wake-up. The flag is cleared after the read: otherwise the read could consume the wake-up of a
// Post in between, whose flag would then keep all later ones from waking the loop.
func (l *Loop) resetWakeUp() {
	var counter [8]byte
	l.kernel.Read(l.wakeFD, counter[:])
	l.wakePending.Store(false)
}

// Stop ends Run after the current turn. It is safe for use from any goroutine.
func (l *Loop) Stop() { l.Post(func() { l.stopped = true }) }

// Defer calls f on the loop within this turn, after the events being handled.
func (l *Loop) Defer(f func()) { l.deferred = append(l.deferred, f) }

func (l *Loop) runPosted() {
	l.postedMutex.Lock()
	l.posted, l.runningPosted = l.runningPosted[:0], l.posted
	l.postedMutex.Unlock()
	for i, f := range l.runningPosted {
		if i >= maxPostedPerTurn {
			l.deferred = append(l.deferred, f)
		} else {
			f()
		}
		l.runningPosted[i] = nil
	}
}

func (l *Loop) runDeferred() {
	l.deferred, l.runningDeferred = l.runningDeferred[:0], l.deferred
	for i, f := range l.runningDeferred {
		f()
		l.runningDeferred[i] = nil
	}
}
