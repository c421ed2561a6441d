package platform

import (
	"strings"
	"testing"
)

// prepare performs steps: "connect W" opens a connection to a worker, "lose W" resets all connections to it, "confirm" polls
// the change log, and "outage" takes it down.
func (h *harness) prepare(steps string, workers map[string]*fakeWorker) {
	h.t.Helper()
	for step := range strings.SplitSeq(steps, "; ") {
		verb, name, _ := strings.Cut(step, " ")
		switch verb {
		case "connect":
			h.connect(workers[name])
		case "lose":
			h.loseConnections(workers[name])
		case "confirm":
			h.confirmList()
		case "outage":
			h.beginOutage()
		case "doubt":
			h.onLoop(func() { h.dispatcher.Gateway.EndpointListResponseCutOff(h.dispatcher.Loop.Now() - outageCutOffAge) })
		}
	}
}

// Guards against a repeat at a process that took the address of a listed worker while discovery is down: a deduplicated
// request that may have run is sent again only on a connection that shows that the process is still the listed one.
func TestNoRepeatAtUnidentifiedProcessDuringOutage(t *testing.T) {
	for _, c := range []struct {
		name, group, steps string
		repeats            int // attempts at w2, after one at w1 that may have run
	}{
		{"both connections are older than the list", "local", "connect w1; connect w2; confirm; outage", 1},
		{"the repeat would open a connection", "local", "connect w1; confirm; outage", 0},
		{"the repeat would open a connection, zone", "regional", "connect w1; confirm; outage", 0},
		{"a connection was opened after the list was confirmed", "local", "connect w1; confirm; connect w2; outage", 0},
		{"the first attempt opened a connection", "local", "connect w2; confirm; outage", 0},
		{"a connection was lost shortly before", "local", "connect w1; connect w2; lose w2; connect w2; confirm; outage", 0},
		{"all workers drop the repeat", "write", "connect w1; confirm; outage", 1},
		{"a retriable request", "read", "connect w1; confirm; outage", 1},
		{"the list is valid", "local", "confirm", 1},
		{"the list is confirmed again", "local", "doubt; confirm", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			first := newFakeWorker(t, "w1", respondServed)
			second := newFakeWorker(t, "w2", respondServed)
			h := newPassiveHarness(t, first, second)
			h.prepare(c.steps, map[string]*fakeWorker{"w1": first, "w2": second})
			first.setAction(resetConn)
			attemptsBefore := len(second.messages("invoke"))
			firstBefore := len(first.messages("invoke"))
			id := h.startRequest(h.dial(), c.group)
			h.attemptAndWait(id, "w1")
			h.attemptAndWait(id, "w2")
			attempts := len(first.messages("invoke")) - firstBefore
			repeats := len(second.messages("invoke")) - attemptsBefore
			if attempts != 1 || repeats != c.repeats {
				t.Errorf("%d attempts and %d repeats, want 1 and %d", attempts, repeats, c.repeats)
			}
		})
	}
}

// Guards against a repeat that was decided while the list was valid and is sent at a process that may have taken the address:
// it waits for a connection while discovery goes down.
func TestQueuedRepeatIsNotSentOnceListIsInDoubt(t *testing.T) {
	first := newFakeWorker(t, "w1", resetConn)
	second := newFakeWorker(t, "w2", respondServed)
	h := newPassiveHarness(t, first, second)
	id := h.startRequest(h.dial(), "local")
	h.attemptAndWait(id, "w1")
	h.onLoop(func() {
		g := h.dispatcher.Gateway
		g.SendAttempt(id, g.Members.ByName("w2").ID, 0)
		g.EndpointListResponseCutOff(h.dispatcher.Loop.Now() - outageCutOffAge)
	})
	h.waitUntil("the attempt has ended", func() bool { return h.callsInFlight() == 0 })
	if n := len(second.messages("invoke")); n != 0 {
		t.Errorf("%d attempts were sent", n)
	}
}
