package rules

import (
	"testing"

	"mastchute/control"
)

func TestAttempt(t *testing.T) {
	once := RequestFacts{Deadline: 10, Effect: control.NonRetriable, MayHaveRun: true}
	dedup := RequestFacts{Deadline: 10, Effect: control.Deduplicated, MayHaveRun: true, DedupUntil: 3, InDedupScope: true}
	out := dedup
	out.InDedupScope = false
	for _, c := range []struct {
		name  string
		now   float64
		q     RequestFacts
		ready bool
		want  Reason
	}{
		{"fresh", 1, RequestFacts{Deadline: 10}, true, Allowed},
		{"answered", 1, RequestFacts{Deadline: 10, Answered: true}, true, AlreadyAnswered},
		{"draining", 1, RequestFacts{Deadline: 10}, false, WorkerNotReady},
		{"late", 10.1, RequestFacts{Deadline: 10}, true, DeadlineExceeded},
		{"second of a non-retriable", 1, once, true, MayHaveRun},
		{"second of a retriable", 1, RequestFacts{Deadline: 10, Effect: control.Retriable, MayHaveRun: true}, true, Allowed},
		{"in the window", 3, dedup, true, Allowed},
		{"past the window", 3.1, dedup, true, DedupWindowExpired},
		{"out of scope", 2, out, true, OutsideDedupScope},
	} {
		if got := CheckAttempt(c.now, c.q, c.ready); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
	if r := CheckFirstByte(1.2, 1, 0, RequestFacts{Deadline: 10}, true); r != StaleDeadline {
		t.Errorf("a deadline 0.2 s old leaves: %s", r)
	}
	if r := CheckFirstByte(1.01, 1, 0, dedup, true); r != Allowed {
		t.Errorf("a fresh message: %s", r)
	}
	if CheckFirstByte(1.08, 1, 2, RequestFacts{Deadline: 10}, true) != StaleDeadline || CheckFirstByte(1.08, 1, 3, RequestFacts{Deadline: 10}, true) != Allowed ||
		CheckFirstByte(1.12, 1, 9, RequestFacts{Deadline: 10}, true) != StaleDeadline {
		t.Error("a message that was written anew before")
	}
	if CheckRemainder(1.05, 1) != Allowed || CheckRemainder(1.2, 1) != StaleDeadline {
		t.Error("the rest of a message")
	}
}

func TestOtherActs(t *testing.T) {
	if CheckShed(RequestFacts{Effect: control.NonRetriable, MayHaveRun: true}) != MayHaveRun || CheckShed(RequestFacts{Effect: control.NonRetriable}) != Allowed ||
		CheckShed(RequestFacts{Answered: true}) != AlreadyAnswered || CheckShed(RequestFacts{Effect: control.Deduplicated, MayHaveRun: true}) != Allowed {
		t.Error("shed")
	}
	if CheckLoad(false) != WorkerNotReady || CheckLoad(true) != Allowed || CheckClose(1) != ResponseOwed || CheckClose(0) != Allowed {
		t.Error("order or close")
	}
	if WorkerDeadlineMillis(1, 2.5) != 1500 || WorkerDeadlineMillis(3, 2) != MinDeadlineMillis {
		t.Error("budget")
	}
	for r := Reason(1); r < reasonCount; r++ {
		if r.Rule() == 0 || r.String() == "" {
			t.Errorf("reason %d has rule %d, name %q", r, r.Rule(), r)
		}
	}
	if control.ParseEffect("retriable") != control.Retriable || control.ParseEffect("deduped") != control.Deduplicated || control.ParseEffect("?") != control.NonRetriable {
		t.Error("effects")
	}
}
