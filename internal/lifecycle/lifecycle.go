// Package lifecycle is what the two ways to run a dispatcher share about signals, starts and reloads: which failures of
// the system pass, when to try again, and when a stop has to be over. It decides; its callers act.
package lifecycle

import (
	"errors"
	"math"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	retryFirst = 0.02 // s from a failure to the next try; doubles
	retryMost  = 0.25 // s, the most of it
)

// IsTransient tells whether a failure of a system call speaks of the machine as it is now: the same call may do later.
func IsTransient(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EADDRNOTAVAIL,
		syscall.ENETDOWN, syscall.EINTR, syscall.EAGAIN, syscall.EIO} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Signals are the signals that a dispatcher heeds, each kind in a channel of its own: a burst of one drops no other, and
// one that waits stands for all of its kind that came since.
type Signals struct {
	Stop   chan os.Signal
	Reload chan os.Signal
	Dump   chan os.Signal
}

// NewSignals makes the channels.
func NewSignals() *Signals {
	return &Signals{Stop: make(chan os.Signal, 1), Reload: make(chan os.Signal, 1), Dump: make(chan os.Signal, 1)}
}

// Notify lets the process's signals come in. A reader of the log that has gone does not end the process.
func (s *Signals) Notify() {
	signal.Ignore(syscall.SIGPIPE)
	signal.Notify(s.Stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.Reload, syscall.SIGHUP)
	signal.Notify(s.Dump, syscall.SIGUSR1)
}

// Close ends that.
func (s *Signals) Close() {
	signal.Stop(s.Stop)
	signal.Stop(s.Reload)
	signal.Stop(s.Dump)
}

// Retry spaces the tries of something that failed, and ends them after a span. The zero value has no tries left.
type Retry struct {
	until time.Time
	gap   float64
}

// NewRetry begins tries for so many seconds from now.
func NewRetry(now time.Time, span float64) Retry {
	return Retry{until: now.Add(seconds(span))}
}

// Next tells how long to wait for the next try; false where there is none any more.
func (r *Retry) Next(now time.Time) (time.Duration, bool) {
	if !now.Before(r.until) {
		return 0, false
	}
	r.gap = math.Min(retryMost, math.Max(retryFirst, 2*r.gap))
	return seconds(r.gap), true
}

// Await waits for the next try, at most so many seconds, and tells what came: a try, a stop, a reload where reload is not
// nil, or that there is no try left.
func (s *Signals) Await(r *Retry, most float64, reload <-chan os.Signal) Event {
	wait, more := r.Next(time.Now())
	if !more {
		return RetriesExhausted
	}
	select {
	case <-s.Stop:
		return StopRequested
	case <-reload:
		return ReloadRequested
	case <-time.After(min(wait, seconds(most))):
		return RetryDue
	}
}

// Event is what Await tells.
type Event uint8

// The events.
const (
	RetryDue Event = iota
	RetriesExhausted
	StopRequested
	ReloadRequested
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// StopPlan is the plan of a stop, by the times of the platform in seconds from the signal.
type StopPlan struct {
	ServeUntil float64 // all goes on until then: clients still come
	AnswerBy   float64 // everything is answered by then
}

// StopTimes say how a platform stops a process.
type StopTimes struct {
	ClientArrivalSpan float64 // s in which clients still come
	MaxServeSpan      float64 // s in which all goes on at most
	MaxDeadline       float64 // s that a longer deadline counts as
	KillDelay         float64 // s beyond the longest deadline until the kill
	KillMargin        float64 // s kept before the kill, for the last answers to go out
}

// PlanStop plans a stop for a longest deadline. With short deadlines the kill comes soon, and less is served.
func PlanStop(t StopTimes, deadline float64) StopPlan {
	end := math.Min(deadline, t.MaxDeadline) + t.KillDelay - t.KillMargin
	return StopPlan{ServeUntil: math.Min(t.MaxServeSpan, math.Max(t.ClientArrivalSpan, end)), AnswerBy: end}
}
