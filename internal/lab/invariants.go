package lab

import (
	"fmt"
	"math"
	"sort"

	"mastchute/internal/config"
	"mastchute/internal/emulator"
)

// Finding is the result of the check of one rule.
type Finding struct {
	Rule       int      `json:"rule"`
	Name       string   `json:"name"`
	Tests      int      `json:"tests"`            // occasions on which the rule could have been violated
	Examples   []string `json:"breaks,omitempty"` // the first violations
	Violations int      `json:"broken"`           // number of violations
	// LimitUsage is the largest fraction of the rule's limit that was reached, 1 at the limit. The limit is the client's timeout
	// for rule 1, the drain grace for rule 3, the work that crashes a worker in slow start for rule 4 (simulated only), and
	// the load budget for rule 5.
	LimitUsage float64 `json:"nearest,omitempty"`
}

// Verdict returns "BROKEN", "kept", or "not shown" if the rule was not tested.
func (f Finding) Verdict() string {
	switch {
	case f.Violations > 0:
		return "BROKEN"
	case f.Tests == 0:
		return "not shown"
	}
	return "kept"
}

const (
	responseTolerance = 0.25 // s that a response may come after the client's timeout, due to scheduling on a loaded machine
	deliveryTolerance = 0.10 // s that a message may take over loopback and in a busy worker
	drainTestSpan     = 2.0  // s before a drain; the drain counts as a test if something was sent to the worker within this span
	maxExamples       = 5    // violations that are described for each rule
)

func (f *Finding) addViolation(format string, args ...any) {
	f.Violations++
	if len(f.Examples) < maxExamples {
		f.Examples = append(f.Examples, fmt.Sprintf(format, args...))
	}
}

// recordLimitUsage updates LimitUsage, the largest fraction of the rule's limit that was reached.
func (f *Finding) recordLimitUsage(fraction float64) { f.LimitUsage = math.Max(f.LimitUsage, fraction) }

// ruleSlowStart is the number of the slow start rule. Only a simulation knows which fraction of a worker's limit was reached.
const ruleSlowStart = 4

// CheckInvariants checks the five rules against what clients and workers recorded. It shares no code with the dispatchers'
// decisions.
func CheckInvariants(e *Evidence) []Finding {
	c := newInvariantChecker(e)
	findings := []Finding{c.checkResponses(), c.checkEffects(), c.checkDrains(), c.checkSlowStart(), c.checkLoadBudget()}
	for i := range findings {
		findings[i].Rule = i + 1
	}
	return findings
}

// workerAttempt is an attempt as recorded by a worker.
type workerAttempt struct {
	emulator.Record
	rejectedAt float64 // when the worker rejected it without running it; 0 if it did not
}

// invariantChecker holds the evidence, indexed for the checks of the rules.
type invariantChecker struct {
	*Evidence
	records  []emulator.Record           // in order of time
	attempts map[string][]*workerAttempt // by request, in order of arrival
	groups   map[string]config.Group
}

func newInvariantChecker(e *Evidence) *invariantChecker {
	c := &invariantChecker{Evidence: e, records: append([]emulator.Record(nil), e.Records...), attempts: map[string][]*workerAttempt{},
		groups: map[string]config.Group{}}
	sort.SliceStable(c.records, func(i, j int) bool { return c.records[i].T < c.records[j].T })
	for _, r := range c.records {
		switch r.Event {
		case emulator.EventArrived:
			c.attempts[r.Request] = append(c.attempts[r.Request], &workerAttempt{Record: r})
		case emulator.EventRejected:
			c.recordRejection(r)
		}
	}
	for _, g := range e.Settings.Groups {
		c.groups[g.Name] = g
	}
	return c
}

// recordRejection marks an attempt as rejected without running. An attempt that received an error may have run and is not
// marked.
func (c *invariantChecker) recordRejection(r emulator.Record) {
	if r.Why != emulator.WhyFull && r.Why != emulator.WhyMiss {
		return
	}
	for _, a := range c.attempts[r.Request] {
		if a.Attempt == r.Attempt && a.rejectedAt == 0 {
			a.rejectedAt = r.T
		}
	}
}

// checkResponses checks rule 1: each request gets one final response, in time, and no attempt is sent after it.
func (c *invariantChecker) checkResponses() Finding {
	f := Finding{Name: "one final answer each, in time, nothing sent after"}
	responses := map[string]int{} // by request
	for i := range c.ClientAttempts {
		a := &c.ClientAttempts[i]
		if a.UnsolicitedBytes > 0 {
			f.addViolation("%s: %d bytes received after the response to attempt %d of %s: a second response", a.Request, a.UnsolicitedBytes, a.Number, a.Key)
		}
		if a.ClientDisconnected || a.NotAccepted {
			continue
		}
		if a.RespondedAt == 0 {
			c.checkMissingResponse(&f, a)
			continue
		}
		if a.Outcome == "" {
			continue // rejected before the dispatcher accepted the request
		}
		responses[a.Request]++
		c.checkResponse(&f, a, responses[a.Request])
	}
	return f
}

// checkMissingResponse checks an attempt without a response, which is a violation unless its dispatcher was down.
func (c *invariantChecker) checkMissingResponse(f *Finding, a *ClientAttempt) {
	due := a.SentAt + a.Timeout + responseTolerance
	if c.wasDown(a.Dispatcher, a.SentAt, due) {
		return
	}
	f.Tests++
	f.addViolation("attempt %d of %s at %s: no response within %.2f s (%s)", a.Number, a.Key, a.Dispatcher, a.Timeout, a.Error)
}

// checkResponse checks the n-th response to a request.
func (c *invariantChecker) checkResponse(f *Finding, a *ClientAttempt, n int) {
	f.Tests++
	elapsed := a.RespondedAt - a.SentAt
	f.recordLimitUsage(elapsed / a.Timeout)
	if late := elapsed - a.Timeout; late > responseTolerance {
		f.addViolation("%s: response %.3f s after the client's timeout", a.Request, late)
	}
	if a.Outcome != OutcomeReturned && a.Outcome != OutcomeShed && a.Outcome != OutcomeFailed {
		f.addViolation("%s: %q is not a final outcome", a.Request, a.Outcome)
	}
	if n > 1 {
		f.addViolation("%s: %d final responses", a.Request, n)
	}
	for _, wa := range c.attempts[a.Request] {
		if wa.T > a.RespondedAt+deliveryTolerance {
			f.addViolation("%s: attempt %d arrived at %s %.3f s after the final response", a.Request, wa.Attempt, wa.Worker, wa.T-a.RespondedAt)
		}
	}
}

// checkEffects checks rule 2: no request takes effect twice, and none that may have taken effect is shed.
func (c *invariantChecker) checkEffects() Finding {
	f := Finding{Name: "no effect twice"}
	shed := map[string]*ClientAttempt{} // by request
	for i := range c.ClientAttempts {
		if a := &c.ClientAttempts[i]; a.Outcome == OutcomeShed {
			shed[a.Request] = a
		}
	}
	var requestIDs []string
	for id := range c.attempts {
		requestIDs = append(requestIDs, id)
	}
	sort.Strings(requestIDs)
	for _, id := range requestIDs {
		group := c.groups[c.attempts[id][0].Group]
		if group.Effect == effectRetriable {
			continue
		}
		first := c.checkRetries(&f, id, group)
		if a, ok := shed[id]; ok {
			f.Tests++
			mayBeRetried := group.Effect != effectNonRetriable && group.DedupScope == "all"
			if first != nil && first.T < a.RespondedAt && !mayBeRetried {
				f.addViolation("%s of %s group %s: shed, though attempt %d at %s may have run", id, group.Effect, group.Name, first.Attempt, first.Worker)
			}
		}
	}
	c.checkRanOnce(&f)
	return f
}

// checkRetries checks the attempts of a request that is not retriable. It returns the first attempt that may have run, or
// nil.
func (c *invariantChecker) checkRetries(f *Finding, id string, group config.Group) (first *workerAttempt) {
	requestAttempts := c.attempts[id]
	for i, a := range requestAttempts {
		if i > 0 {
			f.Tests++
		}
		switch {
		case first != nil && group.Effect == effectNonRetriable:
			f.addViolation("%s of non-retriable group %s: attempt %d arrived at %s while attempt %d at %s may have run", id, group.Name, a.Attempt, a.Worker, first.Attempt, first.Worker)
		case first != nil:
			c.checkDuplicate(f, id, group, first, a)
		}
		// An attempt is known not to have run only if it was rejected before the next one arrived.
		nextAt := math.Inf(1)
		if i+1 < len(requestAttempts) {
			nextAt = requestAttempts[i+1].T
		}
		if first == nil && (a.rejectedAt == 0 || a.rejectedAt > nextAt) {
			first = a
		}
	}
	return first
}

// checkDuplicate checks that a retry of a deduplicated request is within the deduplication scope and window of the first
// attempt.
func (c *invariantChecker) checkDuplicate(f *Finding, id string, group config.Group, first, a *workerAttempt) {
	if !c.sharesDedupScope(group, first.Worker, a.Worker) {
		f.addViolation("%s of deduped group %s: attempt %d was sent to %s, outside the %s of %s", id, group.Name, a.Attempt, a.Worker, group.DedupScope, first.Worker)
	}
	if late := a.T - first.T - group.DedupWindow.Seconds; late > deliveryTolerance {
		f.addViolation("%s of deduped group %s: attempt %d arrived %.3f s past the window of %gs", id, group.Name, a.Attempt, late, group.DedupWindow.Seconds)
	}
}

// sharesDedupScope reports whether worker b drops duplicates of requests that worker a received.
func (c *invariantChecker) sharesDedupScope(group config.Group, a, b string) bool {
	switch emulator.DedupScope(group.DedupScope) {
	case emulator.DedupZone:
		return c.Zones[a] == c.Zones[b]
	case emulator.DedupCell:
		return c.Zones[a] == c.Zones[b] && c.Cells[a] == c.Cells[b]
	}
	return true
}

// checkRanOnce checks that no idempotency key of a non-retriable group ran twice, under the same or different request ids.
func (c *invariantChecker) checkRanOnce(f *Finding) {
	runs := map[string][]emulator.Record{} // by key
	for _, r := range c.records {
		if r.Event != emulator.EventRunning || r.Key == "" || c.groups[r.Group].Effect != effectNonRetriable {
			continue
		}
		runs[r.Key] = append(runs[r.Key], r)
		if len(runs[r.Key]) == 2 {
			first := runs[r.Key][0]
			f.addViolation("%s of non-retriable group %s ran twice: at %s as %s, and at %s as %s", r.Key, r.Group, first.Worker, first.Request, r.Worker, r.Request)
		}
	}
}

// dispatcherWorker identifies a dispatcher and a worker that it sends to.
type dispatcherWorker struct{ dispatcher, worker string }

// checkDrains checks rule 3: once a dispatcher was notified that a worker is draining or gone, it sends the worker nothing
// after the drain grace. A notification is a test if the dispatcher sent something to the worker shortly before.
func (c *invariantChecker) checkDrains() Finding {
	f := Finding{Name: "nothing new to a draining or gone worker"}
	sent := map[dispatcherWorker][]emulator.Record{}
	changes := map[dispatcherWorker][]StateChange{}
	for _, change := range c.StateChanges {
		pair := dispatcherWorker{change.Dispatcher, change.Worker}
		changes[pair] = append(changes[pair], change)
	}
	for _, r := range c.records {
		if r.Event == emulator.EventArrived || r.Event == emulator.EventLoadRequested {
			pair := dispatcherWorker{r.Dispatcher, r.Worker}
			sent[pair] = append(sent[pair], r)
		}
	}
	for _, change := range c.StateChanges {
		if change.State != stateReady {
			pair := dispatcherWorker{change.Dispatcher, change.Worker}
			c.checkDrain(&f, change, c.drainEnd(change, changes[pair]), sent[pair])
		}
	}
	return f
}

// checkDrain checks what a dispatcher sent to a worker during a drain, which ends at until.
func (c *invariantChecker) checkDrain(f *Finding, drain StateChange, until float64, sent []emulator.Record) {
	grace := c.Settings.Rules.DrainGrace.Seconds
	tested := false
	for _, r := range sent {
		sinceNotified := r.T - drain.NotifiedAt
		if r.T > drain.NotifiedAt-drainTestSpan && r.T <= drain.NotifiedAt {
			tested = true
		}
		if r.T <= drain.NotifiedAt || r.T >= until {
			continue
		}
		f.recordLimitUsage(sinceNotified / (grace + deliveryTolerance))
		if r.T > drain.NotifiedAt+grace+deliveryTolerance {
			f.addViolation("%s to %s: %s for %s sent %.3f s after the dispatcher was notified that the worker is %s", drain.Dispatcher, drain.Worker, describeKind(r), r.Model, sinceNotified, drain.State)
		}
	}
	if tested {
		f.Tests++
	}
}

// drainEnd returns when a dispatcher may send to a worker again: when it is notified that the worker is ready, or when it
// restarts, after which it is notified again. changes are the notifications to the same dispatcher about the same worker.
func (c *invariantChecker) drainEnd(drain StateChange, changes []StateChange) float64 {
	until := math.Inf(1)
	for _, change := range changes {
		if change.State == stateReady && change.NotifiedAt >= drain.NotifiedAt {
			until = change.NotifiedAt - deliveryTolerance // the notification arrived up to deliveryTolerance before NotifiedAt
			break
		}
	}
	for _, outage := range c.Outages {
		if outage.Dispatcher == drain.Dispatcher && outage.From >= drain.NotifiedAt {
			until = math.Min(until, outage.From)
		}
	}
	return until
}

func describeKind(r emulator.Record) string {
	if r.Event == emulator.EventLoadRequested {
		return "load request"
	}
	return "inference"
}
