//go:build linux

package eventloop

import (
	"fmt"
	"math"
	"runtime"
)

// Run runs the loop until Stop, and returns an error if epoll fails. It locks its goroutine to a thread and closes all
// descriptors of the loop before it returns.
func (l *Loop) Run() error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer l.Close()
	for !l.stopped {
		if err := l.pollEvents(l.pollTimeout()); err != nil {
			return fmt.Errorf("epoll: %w", err)
		}
		started := l.now
		l.runTurn()
		took := int64((l.Clock() - started) * 1e9)
		if took > l.Stats.TurnNs.Load() {
			l.Stats.TurnNs.Store(took)
		}
		l.Stats.Turns.Add(1)
	}
	return nil
}

// pollTimeout returns how long the next poll may wait, in ms.
func (l *Loop) pollTimeout() int {
	if len(l.deferred) > 0 || len(l.pendingWrites) > 0 || len(l.pendingRedelivery) > 0 {
		return 0
	}
	wait := maxPollWait
	if len(l.timers.items) > 0 {
		untilDue := l.timers.items[0].at - l.Clock()
		wait = math.Min(wait, math.Max(0, untilDue))
	}
	return int(math.Ceil(wait * 1e3))
}

// runTurn handles what follows from the events dispatched by the latest poll. Before anything is written it polls again
// if that poll is stale, so that a decision is not sent while bytes that arrived during a stall are unread; at most
// maxExtraPollsPerTurn times, so that writes are not put off for ever on a slow machine.
func (l *Loop) runTurn() {
	l.runPosted()
	l.runTimers()
	extraPolls := 0
	for range maxRoundsPerTurn {
		l.runDeferred()
		l.runRedelivery()
		if l.AfterEvents != nil {
			l.AfterEvents()
		}
		if len(l.pendingWrites) > 0 && extraPolls < maxExtraPollsPerTurn && l.pollIsStale() {
			extraPolls++
			if err := l.pollEvents(0); err == nil {
				l.runTimers()
				continue
			}
		}
		l.flushWrites()
		if len(l.deferred) == 0 && len(l.pendingRedelivery) == 0 {
			break
		}
	}
}

func (l *Loop) runRedelivery() {
	l.pendingRedelivery, l.runningRedelivery = l.runningRedelivery[:0], l.pendingRedelivery
	for i, c := range l.runningRedelivery {
		l.runningRedelivery[i] = nil
		c.redeliveryPending = false
		if c.fd >= 0 && !c.paused && !c.lingering && len(c.unconsumed) > 0 {
			c.deliver(nil)
		}
	}
}

// flushWrites writes what connections have queued. Bytes queued meanwhile wait for the next round.
func (l *Loop) flushWrites() {
	l.pendingWrites, l.runningWrites = l.runningWrites[:0], l.pendingWrites
	for i, c := range l.runningWrites {
		l.runningWrites[i] = nil
		c.writePending = false
		if c.fd >= 0 {
			c.flush()
		}
	}
}
