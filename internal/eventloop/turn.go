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
		if took > l.Stats.LongestTurnNs.Load() {
			l.Stats.LongestTurnNs.Store(took)
		}
		l.Stats.Turns.Add(1)
	}
	return nil
}

// pollTimeout returns how long the next poll may wait, in ms.
func (l *Loop) pollTimeout() int {
	if !l.deferred.isEmpty() || !l.writes.isEmpty() || !l.redeliveries.isEmpty() {
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
		if !l.writes.isEmpty() && extraPolls < maxExtraPollsPerTurn && l.pollIsStale() {
			extraPolls++
			if err := l.pollEvents(0); err == nil {
				l.runTimers()
				continue
			}
		}
		l.flushWrites()
		if l.deferred.isEmpty() && l.redeliveries.isEmpty() {
			break
		}
	}
}

func (l *Loop) runRedelivery() {
	batch := l.redeliveries.next()
	for _, c := range batch {
		c.redeliveryPending = false
		if c.fd >= 0 && !c.paused && !c.lingering && len(c.unconsumed) > 0 {
			c.deliver(nil)
		}
	}
	clear(batch)
}

// flushWrites writes what connections have queued. Bytes queued meanwhile wait for the next round.
func (l *Loop) flushWrites() {
	batch := l.writes.next()
	for _, c := range batch {
		c.writePending = false
		if c.fd >= 0 {
			c.flush()
		}
	}
	clear(batch)
}
