// Package rules is the one place that says whether an act towards a client or a worker is allowed by the rules now:
// making an attempt, letting its first byte go, shedding, ordering a load, closing a connection, and which deadline to
// pass on. It is pure: state and time go in, Allowed or a typed reason comes out. What is wise is decided by package
// control; what is forbidden is forbidden here, whatever was decided.
package rules

import (
	"math"

	"mastchute/control"
)

const (
	// MinDeadlineMillis is the shortest deadline, in ms, that is passed to a worker: zero would mean none to some.
	MinDeadlineMillis = 1
	// MaxDeadlineAge is how old, in seconds, a deadline may be when its message leaves: the rule allows 0.15.
	MaxDeadlineAge = 0.05
	// renewMost is how often a message is written anew for its age; then PartialAge holds, so that a dispatcher that is
	// slow itself gets on.
	renewMost = 3
	// MaxPartialAge is how old a message may be when the rest of it leaves, in seconds; its head can't be changed any more.
	MaxPartialAge = 0.1
)

// Reason says why an act is not allowed.
type Reason uint8

const (
	Allowed            Reason = iota
	AlreadyAnswered           // the final answer is given, or the client has left
	DeadlineExceeded          // the client's time is up
	WorkerNotReady            // the worker drains or is gone
	MayHaveRun                // an earlier attempt may have run, and this may not run twice
	OutsideDedupScope         // the worker does not drop repeats of an earlier attempt that may have run
	DedupWindowExpired        // workers no longer drop repeats
	StaleDeadline             // it waited too long to leave as it is: its deadline is out of date
	ResponseOwed              // the connection owes an answer
	reasons
)

var reasonNames = [reasons]string{"allowed", "answered", "time_up", "worker_not_ready", "may_have_run", "out_of_scope",
	"window_over", "stale_deadline", "open_request"}

func (r Reason) String() string { return reasonNames[r] }

// Rule is the number of the rule that a reason speaks of, as docs/host.md counts them.
func (r Reason) Rule() int {
	switch r {
	case AlreadyAnswered, DeadlineExceeded, StaleDeadline, ResponseOwed:
		return 1
	case MayHaveRun, OutsideDedupScope, DedupWindowExpired:
		return 2
	case WorkerNotReady:
		return 3
	}
	return 0
}

// RequestFacts is what of a request bears on its attempts and its answer. Times are seconds of one monotonic clock.
type RequestFacts struct {
	Answered     bool
	Deadline     float64 // the end of the client's time
	Effect       control.Effect
	MayHaveRun   bool    // an earlier attempt is out, or may have run
	DedupUntil   float64 // the end of the time in which workers drop repeats of it
	InDedupScope bool    // the worker in question drops repeats of it
}

// CheckAttempt tells whether an attempt may be made at a worker, ready or not.
func CheckAttempt(now float64, q RequestFacts, ready bool) Reason {
	switch {
	case q.Answered:
		return AlreadyAnswered
	case !ready:
		return WorkerNotReady
	case now > q.Deadline:
		return DeadlineExceeded
	case !q.MayHaveRun || q.Effect == control.Retriable:
		return Allowed
	case q.Effect == control.NonRetriable:
		return MayHaveRun
	case !q.InDedupScope:
		return OutsideDedupScope
	case now > q.DedupUntil:
		return DedupWindowExpired
	}
	return Allowed
}

// CheckFirstByte tells whether the first byte of a message may go to the kernel: what holds for the attempt has to hold still,
// and the deadline in it, set when it was written for the renewed-th time, has to be true still.
func CheckFirstByte(now, written float64, renewed int, q RequestFacts, ready bool) Reason {
	if r := CheckAttempt(now, q, ready); r != Allowed {
		return r
	}
	most := MaxDeadlineAge
	if renewed >= renewMost {
		most = MaxPartialAge
	}
	if now-written > most {
		return StaleDeadline
	}
	return Allowed
}

// CheckRemainder tells whether the rest of a message that has left in part may follow.
func CheckRemainder(now, written float64) Reason {
	if now-written > MaxPartialAge {
		return StaleDeadline
	}
	return Allowed
}

// CheckShed tells whether a client may be told that trying again is harmless.
func CheckShed(q RequestFacts) Reason {
	switch {
	case q.Answered:
		return AlreadyAnswered
	case q.MayHaveRun && q.Effect == control.NonRetriable:
		return MayHaveRun
	}
	return Allowed
}

// CheckLoad tells whether a load order may be sent to a worker.
func CheckLoad(ready bool) Reason {
	if !ready {
		return WorkerNotReady
	}
	return Allowed
}

// CheckClose tells whether a client's connection that is not at fault may be closed: not while it is owed an answer.
func CheckClose(open int) Reason {
	if open > 0 {
		return ResponseOwed
	}
	return Allowed
}

// WorkerDeadlineMillis is the deadline to pass to a worker, in ms: what the client has left.
func WorkerDeadlineMillis(now, notAfter float64) int64 {
	return int64(math.Max(MinDeadlineMillis, math.Floor((notAfter-now)*1e3)))
}
