//go:build linux

package eventloop

import (
	"fmt"
	"math"
	"runtime"
)

// Run runs the loop until Stop is called, and returns an error if epoll fails. It locks its goroutine to an operating
// system thread and closes all descriptors of the loop before it returns.
func (l *Loop) Run() error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer l.Close()
	for !l.stopped {
		if err := l.pollEvents(l.pollTimeout()); err != nil {
			return fmt.Errorf("wait for epoll events: %w", err)
		}
		started := l.now
		l.runTurn()
		turnNs := int64((l.Clock() - started) * 1e9)
		if turnNs > l.Stats.LongestTurnNs.Load() {
			l.Stats.LongestTurnNs.Store(turnNs)
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
		untilDue := l.timers.items[0].dueAt - l.Clock()
		wait = math.Min(wait, math.Max(0, untilDue))
	}
	return int(math.Ceil(wait * 1e3))
}

// runTurn runs the part of a turn that follows the dispatch of events. Before writing it polls again if the latest poll is
// stale, so that no decision is sent while bytes that arrived during a stall are unread. It does so at most
// maxExtraPollsPerTurn times, so that writes are not delayed indefinitely on a slow machine.
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

// flushWrites writes the queued bytes of all connections. Bytes queued meanwhile wait for the next round.
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
