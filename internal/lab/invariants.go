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
	Tests      int      `json:"tests"`            // how often the rule was put to the test
	Examples   []string `json:"breaks,omitempty"` // the first violations
	Violations int      `json:"broken"`           // number of violations
	// Nearest is how near to its limit the rule came at the worst, 1 for at the limit: of the client's timeout for rule 1,
	// the drain grace for 3, the work that crashes a worker in slow start for 4 (simulated only), and the load budget for 5.
	Nearest float64 `json:"nearest,omitempty"`
}

// Verdict returns "BROKEN", "kept", or "not shown" if nothing put the rule to the test.
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
	answerSlack   = 0.25 // s that a response may come after the client's timeout: scheduling on a loaded machine
	wireSlack     = 0.10 // s that a message may take, on loopback and in busy workers
	drainTestSpan = 2.0  // s before a drain within which something has to be sent for the drain to be a test
	maxExamples   = 5    // violations that are described, for each rule
)

func (f *Finding) violation(format string, args ...any) {
	f.Violations++
	if len(f.Examples) < maxExamples {
		f.Examples = append(f.Examples, fmt.Sprintf(format, args...))
	}
}

// nearest records how near to its limit the rule came.
func (f *Finding) nearest(fraction float64) { f.Nearest = math.Max(f.Nearest, fraction) }

// ruleSlowStart is the number of the rule whose nearest approach to its limit only a simulation knows.
const ruleSlowStart = 4

// CheckInvariants checks the five rules from what the sockets carried. It shares no code with the dispatchers' decisions.
func CheckInvariants(e *Evidence) []Finding {
	c := newInvariantChecker(e)
	findings := []Finding{c.checkAnswers(), c.checkEffects(), c.checkDrains(), c.checkSlowStart(), c.checkLoadBudget()}
	for i := range findings {
		findings[i].Rule = i + 1
	}
	return findings
}

// workerAttempt is an attempt as a worker saw it.
type workerAttempt struct {
	emulator.Record
	rejectedAt float64 // when it was rejected without running; 0 if it was not
}

// invariantChecker holds the evidence in the forms that the rules need.
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

// recordRejection marks an attempt as rejected; one that was answered with an error may have run.
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

// checkAnswers checks rule 1: one final answer for each request, in time, and no attempt after it.
func (c *invariantChecker) checkAnswers() Finding {
	f := Finding{Name: "one final answer each, in time, nothing sent after"}
	answers := map[string]int{} // by request
	for i := range c.ClientAttempts {
		a := &c.ClientAttempts[i]
		if a.UnwantedBytes > 0 {
			f.violation("%s: %d bytes came behind the answer of try %d of %s: a second answer", a.Request, a.UnwantedBytes, a.Number, a.Key)
		}
		if a.ClientLeft || a.NotAccepted {
			continue
		}
		if a.AnsweredAt == 0 {
			c.checkMissingAnswer(&f, a)
			continue
		}
		if a.Answer == "" {
			continue // rejected before it was taken
		}
		answers[a.Request]++
		c.checkAnswer(&f, a, answers[a.Request])
	}
	return f
}

// checkMissingAnswer checks an attempt without a response: its dispatcher must have been down.
func (c *invariantChecker) checkMissingAnswer(f *Finding, a *ClientAttempt) {
	due := a.SentAt + a.Timeout + answerSlack
	if c.wasDown(a.Dispatcher, a.SentAt, due) {
		return
	}
	f.Tests++
	f.violation("try %d of %s at %s: no answer within %.2f s (%s)", a.Number, a.Key, a.Dispatcher, a.Timeout, a.Error)
}

// checkAnswer checks the n-th answer to a request.
func (c *invariantChecker) checkAnswer(f *Finding, a *ClientAttempt, n int) {
	f.Tests++
	took := a.AnsweredAt - a.SentAt
	f.nearest(took / a.Timeout)
	if late := took - a.Timeout; late > answerSlack {
		f.violation("%s: answered %.3f s after the client's time", a.Request, late)
	}
	if a.Answer != AnswerReturned && a.Answer != AnswerShed && a.Answer != AnswerFailed {
		f.violation("%s: %q is no final answer", a.Request, a.Answer)
	}
	if n > 1 {
		f.violation("%s: answered %d times", a.Request, n)
	}
	for _, wa := range c.attempts[a.Request] {
		if wa.T > a.AnsweredAt+wireSlack {
			f.violation("%s: forward %d came to %s %.3f s after the final answer", a.Request, wa.Attempt, wa.Worker, wa.T-a.AnsweredAt)
		}
	}
}

// checkEffects checks rule 2: no request takes effect twice, and none that may have taken effect is shed.
func (c *invariantChecker) checkEffects() Finding {
	f := Finding{Name: "no effect twice"}
	shed := map[string]*ClientAttempt{} // by request
	for i := range c.ClientAttempts {
		if a := &c.ClientAttempts[i]; a.Answer == AnswerShed {
			shed[a.Request] = a
		}
	}
	var requests []string
	for id := range c.attempts {
		requests = append(requests, id)
	}
	sort.Strings(requests)
	for _, id := range requests {
		group := c.groups[c.attempts[id][0].Group]
		if group.Effect == effectRetriable {
			continue
		}
		first := c.checkRetries(&f, id, group)
		if a, ok := shed[id]; ok {
			f.Tests++
			mayBeRepeated := group.Effect != effectNonRetriable && group.DedupScope == "all"
			if first != nil && first.T < a.AnsweredAt && !mayBeRepeated {
				f.violation("%s of %s %s: shed, though forward %d at %s may have run", id, group.Effect, group.Name, first.Attempt, first.Worker)
			}
		}
	}
	c.checkRanOnce(&f)
	return f
}

// checkRetries checks the attempts of a request that is not retriable. It returns the first that may have run, nil for none.
func (c *invariantChecker) checkRetries(f *Finding, id string, group config.Group) (first *workerAttempt) {
	list := c.attempts[id]
	for i, a := range list {
		if i > 0 {
			f.Tests++
		}
		switch {
		case first != nil && group.Effect == effectNonRetriable:
			f.violation("%s of non-retriable %s: forward %d came to %s while forward %d at %s may have run", id, group.Name, a.Attempt, a.Worker, first.Attempt, first.Worker)
		case first != nil:
			c.checkDuplicate(f, id, group, first, a)
		}
		// It is known not to have run only if it was rejected before the next one arrived.
		nextAt := math.Inf(1)
		if i+1 < len(list) {
			nextAt = list[i+1].T
		}
		if first == nil && (a.rejectedAt == 0 || a.rejectedAt > nextAt) {
			first = a
		}
	}
	return first
}

// checkDuplicate checks that a retry of a deduplicated request reaches a worker that drops duplicates of the first, in time.
func (c *invariantChecker) checkDuplicate(f *Finding, id string, group config.Group, first, a *workerAttempt) {
	if !c.sharesDedupScope(group, first.Worker, a.Worker) {
		f.violation("%s of deduped %s: forward %d went to %s, outside the %s of %s", id, group.Name, a.Attempt, a.Worker, group.DedupScope, first.Worker)
	}
	if late := a.T - first.T - group.DedupWindow.Seconds; late > wireSlack {
		f.violation("%s of deduped %s: forward %d came %.3f s past the window of %gs", id, group.Name, a.Attempt, late, group.DedupWindow.Seconds)
	}
}

// sharesDedupScope reports whether worker b drops duplicates of what worker a received.
func (c *invariantChecker) sharesDedupScope(group config.Group, a, b string) bool {
	switch emulator.DedupScope(group.DedupScope) {
	case emulator.DedupZone:
		return c.Zones[a] == c.Zones[b]
	case emulator.DedupCell:
		return c.Zones[a] == c.Zones[b] && c.Cells[a] == c.Cells[b]
	}
	return true
}

// checkRanOnce checks that no idempotency key of a non-retriable group ran twice, under whatever request ids.
func (c *invariantChecker) checkRanOnce(f *Finding) {
	ran := map[string][]emulator.Record{} // by key
	for _, r := range c.records {
		if r.Event != emulator.EventRunning || r.Key == "" || c.groups[r.Group].Effect != effectNonRetriable {
			continue
		}
		ran[r.Key] = append(ran[r.Key], r)
		if len(ran[r.Key]) == 2 {
			first := ran[r.Key][0]
			f.violation("%s of non-retriable %s ran twice: at %s as %s, and at %s as %s", r.Key, r.Group, first.Worker, first.Request, r.Worker, r.Request)
		}
	}
}

// dispatcherWorker is a dispatcher and a worker that it sends to.
type dispatcherWorker struct{ dispatcher, worker string }

// checkDrains checks rule 3: nothing is sent to a worker past the grace after the dispatcher was notified that it drains or
// is gone. A notification is a test if its dispatcher sent something to the worker shortly before.
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

// checkDrain checks what a dispatcher sent to a worker until the end of a drain.
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
		f.nearest(sinceNotified / (grace + wireSlack))
		if r.T > drain.NotifiedAt+grace+wireSlack {
			f.violation("%s sent %s an %s of %s %.3f s after it heard that it is %s", drain.Dispatcher, drain.Worker, describeKind(r), r.Model, sinceNotified, drain.State)
		}
	}
	if tested {
		f.Tests++
	}
}

// drainEnd returns when a dispatcher may send to a worker again: it was notified that the worker is ready, or it restarted
// and is notified anew. changes are the notifications of the same dispatcher and worker.
func (c *invariantChecker) drainEnd(drain StateChange, changes []StateChange) float64 {
	until := math.Inf(1)
	for _, change := range changes {
		if change.State == stateReady && change.NotifiedAt >= drain.NotifiedAt {
			until = change.NotifiedAt - wireSlack // it was notified a little before that is certain
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
		return "order to load"
	}
	return "inference"
}
