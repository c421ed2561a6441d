package permit

import "testing"

func TestAttempt(t *testing.T) {
	once := Request{NotAfter: 10, Effect: NonRetriable, MayHaveRun: true}
	dedup := Request{NotAfter: 10, Effect: Deduplicated, MayHaveRun: true, RepeatsUntil: 3, InScope: true}
	out := dedup
	out.InScope = false
	for _, c := range []struct {
		name  string
		now   float64
		q     Request
		ready bool
		want  Reason
	}{
		{"fresh", 1, Request{NotAfter: 10}, true, Allowed},
		{"answered", 1, Request{NotAfter: 10, Answered: true}, true, Answered},
		{"draining", 1, Request{NotAfter: 10}, false, NotReady},
		{"late", 10.1, Request{NotAfter: 10}, true, TimeUp},
		{"second of a non-retriable", 1, once, true, MayHaveRun},
		{"second of a retriable", 1, Request{NotAfter: 10, Effect: Retriable, MayHaveRun: true}, true, Allowed},
		{"in the window", 3, dedup, true, Allowed},
		{"past the window", 3.1, dedup, true, WindowOver},
		{"out of scope", 2, out, true, OutOfScope},
	} {
		if got := Attempt(c.now, c.q, c.ready); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
	if r := Leave(1.2, 1, 0, Request{NotAfter: 10}, true); r != Stale {
		t.Errorf("a deadline 0.2 s old leaves: %s", r)
	}
	if r := Leave(1.01, 1, 0, dedup, true); r != Allowed {
		t.Errorf("a fresh message: %s", r)
	}
	if Leave(1.08, 1, 2, Request{NotAfter: 10}, true) != Stale || Leave(1.08, 1, 3, Request{NotAfter: 10}, true) != Allowed ||
		Leave(1.12, 1, 9, Request{NotAfter: 10}, true) != Stale {
		t.Error("a message that was written anew before")
	}
	if Finish(1.05, 1) != Allowed || Finish(1.2, 1) != Stale {
		t.Error("the rest of a message")
	}
}

func TestOtherActs(t *testing.T) {
	if Shed(Request{Effect: NonRetriable, MayHaveRun: true}) != MayHaveRun || Shed(Request{Effect: NonRetriable}) != Allowed ||
		Shed(Request{Answered: true}) != Answered || Shed(Request{Effect: Deduplicated, MayHaveRun: true}) != Allowed {
		t.Error("shed")
	}
	if Order(false) != NotReady || Order(true) != Allowed || Close(1) != OpenRequest || Close(0) != Allowed {
		t.Error("order or close")
	}
	if Budget(1, 2.5) != 1500 || Budget(3, 2) != BudgetLeast {
		t.Error("budget")
	}
	for r := Reason(1); r < reasons; r++ {
		if r.Rule() == 0 || r.String() == "" {
			t.Errorf("reason %d has rule %d, name %q", r, r.Rule(), r)
		}
	}
	if EffectOf("retriable") != Retriable || EffectOf("deduped") != Deduplicated || EffectOf("?") != NonRetriable {
		t.Error("effects")
	}
}
