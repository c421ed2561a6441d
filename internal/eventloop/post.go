//go:build linux

package eventloop

import "golang.org/x/sys/unix"

// wakeTag is the epoll tag of the wake-up descriptor; the tags of all others are generations, which are positive.
const wakeTag = -1

// Post calls f on the loop soon. It is safe for use from any goroutine and never blocks. f is not called if the loop has
// ended.
func (l *Loop) Post(f func()) {
	l.postedMutex.Lock()
	l.posted.add(f)
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
