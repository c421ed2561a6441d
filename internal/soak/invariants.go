package soak

import (
	"fmt"
	"math"
	"slices"
	"sort"
)

// Violation is a violated guarantee, or another error that the run detected.
type Violation struct {
	Guarantee   string // its number in docs/promises.md, or one of the values below
	Description string
	At          float64 // s of the run
}

// Values of Violation.Guarantee for errors that violate no documented guarantee.
const (
	guaranteeLog     = "log"     // a log line that a correct dispatcher does not write
	guaranteeHarness = "harness" // the test harness itself failed
)

// String describes the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", v.Guarantee, v.At, v.Description)
}

const (
	responseSlack    = 0.5  // s past a client's timeout until a response counts as late
	clientAbortSlack = 0.1  // s after a client's abort within which an attempt may begin
	timeoutSlack     = 0.15 // s by which an attempt's timeout may exceed the time that the client has left
	ruleSlack        = 0.05 // s on each other time limit
	harnessSlack     = 0.06 // s for reads and writes of the harness itself

	timeoutResolution = 0.002 // s by which the difference between the timeouts of two attempts, in whole ms, may be wrong
)

// checkInvariants reports the violated guarantees, according to the recorded traffic.
func (r *runner) checkInvariants() {
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	c := &checker{run: r, plan: &r.plan, history: r.history}
	c.checkAll()
}

// checker checks a history that is complete.
type checker struct {
	run     *runner
	plan    *Plan
	history *history
}

func (c *checker) checkAll() {
	h := c.history
	for _, req := range h.Requests {
		c.checkResponse(req)
	}
	for _, list := range h.Attempts {
		sort.Slice(list, func(a, b int) bool { return list[a].FirstByteAt < list[b].FirstByteAt })
	}
	for _, req := range h.Requests {
		if req.Outcome != Resent {
			c.checkAttempts(req, h.Attempts[req.ID])
		}
	}
	for _, load := range h.LoadRequests {
		c.checkDrain("a load request", nil, load.Worker, load.At)
	}
	for worker, at := range h.StartedAt {
		c.checkSlowStart(worker, at)
	}
	for _, text := range h.Unexpected {
		c.run.report("P13", 0, "%s", text)
	}
}

// checkResponse checks that a request got its response in time, unless its client aborted it or its dispatcher was
// killed.
func (c *checker) checkResponse(req *request) {
	d := c.run.dispatchers[req.Dispatcher]
	due := req.SentAt + req.Timeout + responseSlack
	due += d.suspendedTime(req.SentAt, due) + c.ioFaultTime(req, due) + harnessSlack + c.run.harnessDelay(req.SentAt, due)
	switch req.Outcome {
	case ClientAborted, NotAccepted, Resent:
		return
	case Closed, NoResponse, pending, Malformed:
		if d.killedBetween(req.SentAt, max(req.EndedAt, due)) {
			req.Outcome = Excused
			return
		}
		c.run.report("P1", req.SentAt, "request %s (%s) to dispatcher %d from %s: outcome %s after %.3f s, timeout %.3f s, client aborted after %.3f s",
			req.ID, req.Class, req.Dispatcher, req.LocalAddr, req.Outcome, req.EndedAt-req.SentAt, req.Timeout, max(0, req.AbortedAt-req.SentAt))
	default:
		if req.EndedAt > due {
			c.run.report("P1", req.SentAt, "request %s (%s) to dispatcher %d: outcome %s too late, after %.3f s, timeout %.3f s",
				req.ID, req.Class, req.Dispatcher, req.Outcome, req.EndedAt-req.SentAt, req.Timeout)
		}
	}
}

// checkAttempts checks the attempts of a request, in the order in which they reached workers.
func (c *checker) checkAttempts(req *request, list []*attempt) {
	for i, a := range list {
		slack := harnessSlack + c.harnessDelayNear(a.FirstByteAt)
		c.checkAttemptTimes(req, a, slack)
		c.checkDrain("an attempt", c.run.dispatchers[req.Dispatcher], a.Worker, a.FirstByteAt)
		if a.ReceivedAt > 0 && a.Key != req.Key {
			c.run.report("P13", a.FirstByteAt, "attempt of %s has idempotency key %q, its client sent %q", req.ID, a.Key, req.Key)
		}
		for _, earlier := range list[:i] {
			c.checkRetry(req, earlier, a, slack)
		}
		shedAfterwards := req.Outcome == Shed && a.ReceivedAt > 0 && a.ReceivedAt < req.EndedAt-slack
		if req.Class == nonRetriableClass && shedAfterwards && !a.neverRan(req.EndedAt+slack) {
			c.run.report("P5", req.EndedAt, "request %s was shed by dispatcher %d, but an attempt may have run at worker %s", req.ID, req.Dispatcher, a.Worker)
		}
	}
	received := slices.ContainsFunc(list, func(a *attempt) bool { return a.ReceivedAt > 0 })
	if req.Outcome == Served && (!received || req.Body != responseBody(req.ID)) {
		c.run.report("P13", req.EndedAt, "request %s was served with body %q, which no worker sent for it", req.ID, req.Body)
	}
}

// checkAttemptTimes checks the times of one attempt against the client's abort, its timeout and the final response.
func (c *checker) checkAttemptTimes(req *request, a *attempt, slack float64) {
	ioDelay := c.ioFaultTime(req, a.FirstByteAt) // during it the dispatcher can't read the client's abort
	if req.AbortedAt > 0 && a.FirstByteAt > req.AbortedAt+clientAbortSlack+slack+ioDelay {
		c.run.report("P2", a.FirstByteAt, "attempt of %s begins %.3f s after its client aborted the request to dispatcher %d",
			req.ID, a.FirstByteAt-req.AbortedAt, req.Dispatcher)
	}
	remaining := req.Timeout - (a.FirstByteAt - req.SentAt)
	if a.ReceivedAt > 0 && a.Timeout > max(remaining, 0)+timeoutSlack+slack {
		c.run.report("P3", a.FirstByteAt, "attempt of %s by dispatcher %d has a timeout of %.3f s, its client has %.3f s left",
			req.ID, req.Dispatcher, a.Timeout, remaining)
	}
	if req.hasEnded() && a.FirstByteAt > req.EndedAt+ruleSlack+slack {
		c.run.report("P4", a.FirstByteAt, "attempt of %s begins %.3f s after its final response (%s) from dispatcher %d",
			req.ID, a.FirstByteAt-req.EndedAt, req.Outcome, req.Dispatcher)
	}
}

// hasEnded reports whether the request ended so that no attempt may begin after it: not by an abort of its client or the
// end of its connection.
func (r *request) hasEnded() bool {
	switch r.Outcome {
	case ClientAborted, Closed, Excused:
		return false
	}
	return r.EndedAt > 0
}

// checkRetry checks an attempt that follows an earlier one of the same request.
func (c *checker) checkRetry(req *request, earlier, a *attempt, slack float64) {
	if earlier.neverRan(a.latestFirstByteAt(earlier)+slack) || a.ReceivedAt == 0 || req.Class == retriableClass {
		return
	}
	if earlier.LatestReceivedAt >= a.FirstByteAt && a.neverRan(earlier.LatestReceivedAt+slack) {
		return // the worker of the earlier attempt had stopped reading: it may have arrived after this one, which never ran
	}
	if req.Class == nonRetriableClass {
		c.run.report("P5", a.FirstByteAt,
			"request %s (sent at %.3f, %s at %.3f, aborted at %.3f) is sent to worker %s by dispatcher %d, but an attempt may have run at worker %s: received at %.3f, result %q at %.3f",
			req.ID, req.SentAt, req.Outcome, req.EndedAt, req.AbortedAt, a.Worker, req.Dispatcher,
			earlier.Worker, earlier.ReceivedAt, earlier.Result, earlier.RespondedAt)
		return
	}
	if c.isOutsideScope(earlier, a) {
		c.run.report("P6", a.FirstByteAt, "request %s is sent to worker %s by dispatcher %d, but worker %s of another group may have run it: received at %.3f, result %q at %.3f",
			req.ID, a.Worker, req.Dispatcher, earlier.Worker, earlier.ReceivedAt, earlier.Result, earlier.RespondedAt)
	}
	if a.FirstByteAt > max(earlier.ReceivedAt, earlier.LatestReceivedAt)+c.plan.Site.Window+ruleSlack+slack {
		c.run.report("P6", a.FirstByteAt, "request %s is retried %.3f s after an attempt that may have run", req.ID, a.FirstByteAt-earlier.ReceivedAt)
	}
}

// isOutsideScope reports whether an attempt reached a worker that does not drop the repeat of an earlier one. It makes no
// difference whether the dispatcher counts as notified of the workers: a repeat that is not dropped takes effect twice.
func (c *checker) isOutsideScope(earlier, a *attempt) bool {
	scope := c.plan.Site.Scope
	isLimited := scope == scopeZone || scope == scopeCell
	return isLimited && c.history.GroupOf[earlier.Worker] != c.history.GroupOf[a.Worker]
}

// checkDrain checks that a message reached a worker before its drain or within the drain grace. from is the dispatcher
// that sent the message, nil if that is unknown.
func (c *checker) checkDrain(message string, from *dispatcher, worker string, firstByteAt float64) {
	notifiedAt, ok := c.history.DrainedAt[worker]
	if !ok {
		return
	}
	eventAt := notifiedAt
	notifiedAt = c.plan.notifiedAt(eventAt)
	if from != nil {
		notifiedAt = from.notifiedWithReload(eventAt, notifiedAt)
	}
	excess := firstByteAt - notifiedAt - c.plan.Site.Grace - ruleSlack
	if excess > harnessSlack+c.harnessDelayNear(firstByteAt) {
		c.run.report("P7", firstByteAt, "%s reaches draining worker %s %.3f s past the drain grace", message, worker, excess)
	}
}

// checkSlowStart checks how many attempts a worker gets right after dispatchers count as notified of its start. The
// settings allow it a fraction of its full capacity; see slowStartLimit.
func (c *checker) checkSlowStart(worker string, startedAt float64) {
	from := c.plan.notifiedAt(startedAt)
	age := from - c.history.BornAt[worker]
	if age >= slowStartDuration {
		return
	}
	received := 0
	for _, list := range c.history.Attempts {
		for _, a := range list {
			if a.Worker == worker && a.ReceivedAt >= from && a.ReceivedAt < from+overloadWindow {
				received++
			}
		}
	}
	limit := c.slowStartLimit(age)
	if float64(received) > limit {
		c.run.report("P8", startedAt, "worker %s gets %d attempts in the first %g s after its start is known, %.0f are allowed",
			worker, received, overloadWindow, limit)
	}
}

// slowStartLimit returns the number of attempts in an overload window beyond which P8 is violated, for a window that
// begins at the given age of a worker: the allowed mean, and some standard deviations of a Poisson process. The rate of
// a worker at full capacity is that of the site if it limits the capacity, and otherwise the mean request rate per worker.
func (c *checker) slowStartLimit(age float64) float64 {
	requests := 0
	for _, req := range c.history.Requests {
		if req.SentAt < c.plan.Duration {
			requests++
		}
	}
	fullRate := float64(requests) / c.plan.Duration / float64(c.plan.Site.Workers)
	if c.plan.Site.Capacity > 0 {
		fullRate = c.plan.Site.workerRate()
	}
	meanCapacity := slowStartCapacity + (1-slowStartCapacity)*(age+overloadWindow/2)/slowStartDuration
	allowed := overloadFactor * fullRate * overloadWindow * min(1, meanCapacity)
	if allowed < 30 {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// harnessDelayNear returns the worst scheduling delay of the harness shortly before and after a time.
func (c *checker) harnessDelayNear(at float64) float64 { return c.run.harnessDelay(at-0.3, at+0.1) }

// ioFaultTime returns for how long, from a request until a time, its dispatcher's reads and writes failed or were
// short, so that it could neither read nor respond. For a new connection this includes the time in which it could
// accept none.
func (c *checker) ioFaultTime(req *request, until float64) (sum float64) {
	for _, f := range c.plan.Faults {
		if f.Target == req.Dispatcher && f.Kind.stopsIO(req.NewConn) && f.overlaps(req.SentAt, until) {
			sum += f.To - f.From
		}
	}
	return sum
}

// stopsIO reports whether a dispatcher can't read and write on a connection during a fault of the kind.
func (k FaultKind) stopsIO(newConn bool) bool {
	switch k {
	case WriteFails, ReadFails:
		return true
	case AcceptFails, DescriptorLimit:
		return newConn
	}
	return false
}

// suspendedTime returns how long the suspensions of the process lasted that overlap a span of time.
func (d *dispatcher) suspendedTime(from, to float64) (sum float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, suspension := range d.suspensions {
		if suspension.to > from && suspension.from < to {
			sum += suspension.to - suspension.from
		}
	}
	return sum
}

// killedBetween reports whether a process was killed within a span of time.
func (d *dispatcher) killedBetween(from, to float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.killTimes, func(at float64) bool { return at >= from-harnessSlack && at <= to+harnessSlack })
}
