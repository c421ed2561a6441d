package gateway

import (
	"math"

	"mastchute/control"
	"mastchute/internal/flightrecorder"
	"mastchute/internal/rules"
)

// attemptFacts is what the rules need to know of a request for an attempt at a worker, given the attempts before it.
func (q *Request) attemptFacts(w *Worker, before int) rules.Request {
	t := rules.Request{Answered: q.finished, Deadline: q.deadline, Effect: q.group.effect, DedupUntil: math.Inf(1)}
	for _, f := range q.attempts[:before] {
		if f.finished && f.result.NeverRan() {
			continue
		}
		if !t.MayHaveRun {
			t.MayHaveRun, t.DedupUntil, t.InDedupScope = true, f.createdAt+q.group.Window.Seconds, true
		}
		t.InDedupScope = t.InDedupScope && q.group.dedupScopeCovers(f.Worker, w)
	}
	return t
}

// dedupDeadline is when the window ends in which workers drop a repeat, counted from the first attempt that may have run;
// endless where there is none, or where repeats do no harm.
func dedupDeadline(t rules.Request) float64 {
	if t.Effect == control.Deduplicated && t.MayHaveRun {
		return t.DedupUntil
	}
	return math.Inf(1)
}

// dedupScopeCovers tells whether two workers drop each other's repeats.
func (c *group) dedupScopeCovers(a, b *Worker) bool {
	switch c.Scope {
	case "all":
		return true
	case "zone":
		return a.Zone == b.Zone
	case "cell":
		return a.Zone == b.Zone && a.Cell == b.Cell
	}
	return a == b
}

// isReady tells whether new work may go to a worker.
func (w *Worker) isReady() bool { return w.State == control.Ready }

// CheckFirstByte tells whether the first byte of an attempt may go to the kernel at a time of the loop's clock, in a message that
// was written at another, for the renewed-th time. A refusal is counted: the attempt was overtaken on its way out, which is no fault.
func (f *Attempt) CheckFirstByte(now, written float64, renewed int) rules.Reason {
	terms := f.Request.attemptFacts(f.Worker, f.Index)
	terms.DedupUntil = f.SendDeadline
	why := rules.CheckFirstByte(now, written, renewed, terms, f.Worker.isReady())
	if why != rules.Allowed {
		f.gateway.Metrics.heldBack.WithLabelValues(ruleNames[why.Rule()], why.String()).Inc()
		f.gateway.RecordEvent("overtaken", why.String(), f.Request, f.Worker, now-written)
	}
	return why
}

// recordViolation counts and logs that the decisions asked for what a rule forbids; it was not done.
func (g *Gateway) recordViolation(why rules.Reason, what string, q *Request, w *Worker) {
	g.Metrics.violations.WithLabelValues(ruleNames[why.Rule()], why.String()).Inc()
	g.RecordEvent("violation", why.String(), q, w, 0)
	e := g.log.Error().Int("rule", why.Rule()).Stringer("reason", why).Str("act", what)
	if q != nil {
		e = e.Str("inference", string(g.appendRequestID(nil, q))).Bytes("trace", q.traceID[:])
	}
	if w != nil {
		e = e.Str("worker", w.Name)
	}
	e.Msg("rule violation barred")
}

var ruleNames = [...]string{"0", "1", "2", "3", "4", "5"}

// RecordEvent records a state change with its reason. q and w may be nil.
func (g *Gateway) RecordEvent(what, why string, q *Request, w *Worker, value float64) {
	e := flightrecorder.Event{At: g.Loop.Now(), What: what, Why: why, Value: value}
	if q != nil {
		e.Request = q.seq
	}
	if w != nil {
		e.Worker = uint32(w.ID)
	}
	g.Events.Add(e)
}

// SetTrace names a request as its client does, in logs and dumps.
func (q *Request) SetTrace(id [16]byte) { q.traceID = id }

// DumpFlightRecorder writes the flight recorder to the log, oldest event first, and the requests in flight.
func (g *Gateway) DumpFlightRecorder(why string) {
	g.log.Warn().Str("why", why).Uint64("events", g.Events.Count()).Int("in_hand", g.inFlight).Msg("flight recorder")
	g.Events.Each(func(e *flightrecorder.Event) {
		g.log.Warn().Float64("at", e.At).Str("what", e.What).Str("reason", e.Why).Uint64("request", e.Request).
			Uint32("worker_id", e.Worker).Float64("value", e.Value).Msg("event")
	})
	for _, q := range g.requests {
		if q.inUse {
			g.log.Warn().Uint64("request", q.seq).Bytes("trace", q.traceID[:]).Bool("answered", q.finished).Int("attempts", q.attemptCount).
				Int("out", q.unreportedAttempts).Float64("left_s", q.deadline-g.Loop.Now()).Msg("in flight")
		}
	}
}
