// Package rules decides whether the rules currently allow an action towards a client or a worker: making an attempt, sending
// its first byte or the rest of it, shedding a request, sending a load request, or closing a connection. It also computes the
// deadline that a worker gets.
//
//   - Rule 1: each request gets exactly one final response, by its deadline.
//   - Rule 2: a request that must not run twice does not run twice.
//   - Rule 3: a worker that is draining or gone gets no new work.
//
// Its functions are pure: given the facts and the time, they return Allowed or a typed reason. Package control decides which
// action is best; this package rejects forbidden actions regardless of that decision. control has similar checks, so that it
// does not choose a forbidden action. The two are separate on purpose: a fault in one must not disable the other.
package rules

import (
	"math"

	"mastchute/control"
)

const (
	// MinDeadlineMillis is the shortest deadline, in ms, that a worker gets: some workers interpret 0 as no deadline.
	MinDeadlineMillis = 1
	// MaxDeadlineAge is the maximum age, in seconds, of an encoded deadline when its message is sent. Rule 1 allows 0.15;
	// the difference is a margin for the transmission.
	MaxDeadlineAge = 0.05
	// MaxRemainderAge is the maximum age, in seconds, of an encoded deadline when the rest of its message is sent. It is longer
	// than MaxDeadlineAge because the part with the deadline has been sent and cannot be encoded again.
	MaxRemainderAge = 0.1

	// maxRenewals is how many times a message is encoded again because its deadline is stale. After that, MaxRemainderAge
	// applies instead of MaxDeadlineAge, so that a slow dispatcher still makes progress.
	maxRenewals = 3
)

// Reason is why an action is forbidden. Its text is a value of a metric label.
type Reason uint8

// The reasons, with the number of the rule that each stems from.
const (
	Allowed            Reason = iota // no rule forbids the action
	AlreadyFinished                  // rule 1: the final response has been given, or the client has disconnected
	DeadlineExceeded                 // rule 1: the client's deadline has passed
	WorkerNotReady                   // rule 3: the worker is draining or gone
	LeaseExpired                     // rule 3: the worker may be draining or gone: discovery is unavailable and the worker has no lease of its own
	MayHaveRun                       // rule 2: an earlier attempt may have run, and the request must not run twice
	OutsideDedupScope                // rule 2: the worker does not drop repeats of an earlier attempt that may have run
	WorkerUnidentified               // rule 2: an attempt may have reached, or reach, another process than its worker's
	DedupWindowExpired               // rule 2: workers no longer drop repeats of the request
	StaleDeadline                    // rule 1: the message has waited so long that its encoded deadline is wrong
	ResponsePending                  // rule 1: a request on the connection has no response yet
	reasonCount
)

var reasonNames = [reasonCount]string{"allowed", "answered", "time_up", "worker_not_ready", "lease_expired", "may_have_run", "out_of_scope",
	"worker_unidentified", "window_over", "stale_deadline", "open_request"}

// String returns the reason as metrics and logs show it.
func (r Reason) String() string { return reasonNames[r] }

// Rule returns the number of the rule that the reason stems from, 0 for Allowed.
func (r Reason) Rule() int {
	switch r {
	case AlreadyFinished, DeadlineExceeded, StaleDeadline, ResponsePending:
		return 1
	case MayHaveRun, OutsideDedupScope, WorkerUnidentified, DedupWindowExpired:
		return 2
	case WorkerNotReady, LeaseExpired:
		return 3
	}
	return 0
}

// RequestFacts are the facts about a request that decide whether it may be attempted or shed. Times are seconds of one
// monotonic clock.
type RequestFacts struct {
	Finished     bool           // the final response has been given, or the client has disconnected
	Deadline     float64        // the client's deadline
	Effect       control.Effect // of running the request
	MayHaveRun   bool           // an earlier attempt is in flight or may have run
	DedupUntil   float64        // when workers stop dropping repeats of the request
	Identified   bool           // it is certain which workers' processes the earlier attempts and the new one reach
	InDedupScope bool           // the worker of the new attempt drops repeats of the earlier ones
}

// WorkerFacts are the facts about a worker that decide whether it may be sent new work.
type WorkerFacts struct {
	Ready      bool    // according to the endpoint list
	LeaseUntil float64 // until when Ready may be relied on: the later of the ends of the list's lease and the worker's own
}

// CheckWorker returns Allowed if new work may be sent to a worker.
func CheckWorker(now float64, worker WorkerFacts) Reason {
	switch {
	case !worker.Ready:
		return WorkerNotReady
	case now >= worker.LeaseUntil:
		return LeaseExpired
	}
	return Allowed
}

// CheckAttempt returns Allowed if an attempt may be made at a worker.
func CheckAttempt(now float64, request RequestFacts, worker WorkerFacts) Reason {
	if request.Finished {
		return AlreadyFinished
	}
	reason := CheckWorker(now, worker)
	if reason != Allowed {
		return reason
	}
	switch {
	case now > request.Deadline:
		return DeadlineExceeded
	case !request.MayHaveRun || request.Effect == control.Retriable:
		return Allowed
	case request.Effect == control.NonRetriable:
		return MayHaveRun
	case !request.Identified:
		return WorkerUnidentified
	case !request.InDedupScope:
		return OutsideDedupScope
	case now > request.DedupUntil:
		return DedupWindowExpired
	}
	return Allowed
}

// CheckFirstByte returns Allowed if the first byte of an attempt's message may be sent: the attempt must still be allowed,
// and the deadline in the message, encoded at encodedAt and renewed the given number of times, must not be stale.
func CheckFirstByte(now, encodedAt float64, renewals int, request RequestFacts, worker WorkerFacts) Reason {
	reason := CheckAttempt(now, request, worker)
	if reason != Allowed {
		return reason
	}
	maxAge := MaxDeadlineAge
	if renewals >= maxRenewals {
		maxAge = MaxRemainderAge
	}
	if now-encodedAt > maxAge {
		return StaleDeadline
	}
	return Allowed
}

// CheckRemainder returns Allowed if the rest of a partly sent message may be sent.
func CheckRemainder(now, encodedAt float64) Reason {
	if now-encodedAt > MaxRemainderAge {
		return StaleDeadline
	}
	return Allowed
}

// CheckShed returns Allowed if a request may be shed, which promises the client that a retry at retryAt is harmless. The facts are
// those of a retry, which may go to any worker.
func CheckShed(retryAt float64, request RequestFacts) Reason {
	switch {
	case request.Finished:
		return AlreadyFinished
	case !request.MayHaveRun || request.Effect == control.Retriable:
		return Allowed
	case request.Effect == control.NonRetriable:
		return MayHaveRun
	case !request.InDedupScope:
		return OutsideDedupScope
	case retryAt > request.DedupUntil:
		return DedupWindowExpired
	}
	return Allowed
}

// CheckClose returns Allowed if the connection of a client that is not at fault may be closed.
func CheckClose(pendingResponses int) Reason {
	if pendingResponses > 0 {
		return ResponsePending
	}
	return Allowed
}

// WorkerDeadlineMillis returns the deadline that a worker gets: the time until the client's deadline, in ms, and at least
// MinDeadlineMillis.
func WorkerDeadlineMillis(now, clientDeadline float64) int64 {
	return int64(math.Max(MinDeadlineMillis, math.Floor((clientDeadline-now)*1e3)))
}
