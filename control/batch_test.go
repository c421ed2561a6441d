package control

import (
	"math"
	"testing"
)

// A request and the word that its worker drains, is gone or has started anew come in one batch: the attempt goes elsewhere.
func TestNewsInTheSameBatchMovesTheAttempt(t *testing.T) {
	line := func(w rune, s WorkerState, start Seconds) WorkerInfo {
		return WorkerInfo{ID: WorkerID(w), State: s, Weight: 1, StartedAt: start}
	}
	for _, c := range []struct {
		name string
		news func(was rune) WorkerInfo
	}{
		{"drains", func(w rune) WorkerInfo { return line(w, Draining, math.Inf(-1)) }},
		{"gone", func(w rune) WorkerInfo { return line(w, Gone, math.Inf(-1)) }},
		{"started anew", func(w rune) WorkerInfo { return line(w, Ready, 10) }},
	} {
		p := &player{t: t, set: SettingValues{"groups": ListLength(1), "groups.0.name": "read", "groups.0.effect": "retriable", "groups.0.slo": 1.0,
			"groups.0.timeout": 5.0, "rules.cold_share": 0.05, "rules.warm_after": 20.0, "dispatchers": 100.0}, words: map[string]string{}, now: 1}
		p.event(func() {
			p.d.UpdateWorkers(ListSnapshot, 1, []WorkerInfo{line('A', Ready, math.Inf(-1)), line('B', Ready, math.Inf(-1))})
		})
		p.acts, p.now = nil, 10
		p.event(func() {
			p.d.RequestArrived(Request{ID: 1, Model: 1, Deadline: 14, Tenant: math.MaxUint16})
			r := p.d.inFlight.lookup(1)
			if r == nil || r.state != stateAttempt {
				t.Fatalf("%s: not placed at once", c.name)
			}
			p.d.UpdateWorkers(ListDelta, 2, []WorkerInfo{c.news(rune(r.attempts[0].worker.ID))})
		})
		moved := p.d.inFlight.lookup(1).attempts[0].worker
		if len(p.acts) != 1 || p.acts[0] != "attempt 1 "+name(moved.ID) || moved.State != Ready || !math.IsInf(moved.StartedAt, -1) {
			t.Errorf("%s: %v, at a worker in state %d started at %g", c.name, p.acts, moved.State, moved.StartedAt)
		}
	}
}
