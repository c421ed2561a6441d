package soak

import (
	"fmt"
	"strings"
	"testing"
)

// scene is a history made by hand: one request of a non-retriable class that was served by one attempt.
type scene struct {
	run     *runner
	request *request
	attempt *attempt
}

func soundScene() *scene {
	s := &scene{
		run: &runner{plan: Plan{Site: Site{Deadline: 1, Window: 1, Grace: 0.3}}, history: newHistory(), harnessDelays: map[int]float64{},
			dispatchers: []*dispatcher{{}}},
		request: &request{ID: "a", Class: nonRetriableClass, Timeout: 1, SentAt: 1, EndedAt: 1.1, Outcome: Served, Body: "answer to a"},
		attempt: &attempt{RequestID: "a", Worker: "s-00-0", FirstByteAt: 1.01, ReceivedAt: 1.01, Timeout: 0.95, Result: "served", AnsweredAt: 1.09},
	}
	s.run.history.addRequest(s.request)
	s.run.history.addAttempt(s.attempt)
	return s
}

// addAttempt adds an attempt of the request at another worker.
func (s *scene) addAttempt(at, timeout float64) {
	s.run.history.addAttempt(&attempt{RequestID: "a", Worker: "s-01-0", FirstByteAt: at, ReceivedAt: at, Timeout: timeout})
}

// invariantCases change the sound scene; want is the promise that is broken by that, empty for none.
var invariantCases = []struct {
	name, want string
	change     func(s *scene)
}{
	{"sound", "", func(*scene) {}},
	{"closed", "P1", func(s *scene) { s.request.Outcome = Closed }},
	{"cut", "P1", func(s *scene) { s.request.Outcome = Malformed }},
	{"never answered", "P1", func(s *scene) { s.request.Outcome, s.request.EndedAt = NoResponse, 4 }},
	{"answered late", "P1", func(s *scene) { s.request.EndedAt = 2.7 }},
	{"killed", "", func(s *scene) {
		s.request.Outcome = Closed
		s.run.dispatchers[0].kills = []float64{1.05}
	}},
	{"begun after the client left", "P2", func(s *scene) {
		s.request.Outcome, s.request.LeftAt = ClientLeft, 1.01
		s.attempt.FirstByteAt, s.attempt.Timeout = 1.3, 0.5
	}},
	{"deadline too long", "P3", func(s *scene) { s.attempt.Timeout = 1.25 }},
	{"sent after the answer", "P4", func(s *scene) { s.attempt.FirstByteAt, s.attempt.ReceivedAt, s.attempt.Timeout = 1.4, 1.4, 0.5 }},
	{"run twice", "P5", func(s *scene) { s.addAttempt(1.05, 0.9) }},
	{"again after it never ran", "", func(s *scene) {
		s.attempt.Result, s.attempt.AnsweredAt = "overload", 1.02
		s.addAttempt(1.05, 0.9)
	}},
	{"shed though it ran", "P5", func(s *scene) { s.request.Outcome, s.request.EndedAt = Shed, 1.3 }},
	{"repeat past the window", "P6", func(s *scene) {
		s.request.Class, s.request.Timeout, s.request.EndedAt = deduplicatedClass, 3, 2
		s.run.plan.Site.Window = 0.2
		s.addAttempt(1.6, 2)
	}},
	{"sent to one that drains", "P7", func(s *scene) { s.run.history.DrainedAt["s-00-0"] = 0.5 }},
	{"ordered at one that drains", "P7", func(s *scene) {
		s.run.history.DrainedAt["s-09-0"] = 0.5
		s.run.history.LoadRequests = append(s.run.history.LoadRequests, loadRequest{Worker: "s-09-0", At: 1.1})
	}},
	{"notified late in an outage", "", func(s *scene) {
		s.run.history.DrainedAt["s-00-0"] = 0.5
		s.run.plan.Faults = []Fault{{Kind: LogFails, From: 0.4, To: 0.8}}
	}},
	{"too much for a worker in slow start", "P8", func(s *scene) {
		s.run.plan.Duration, s.run.plan.Site.Workers = 10, 2
		s.run.history.StartedAt["s-07-1"] = 5
		for i := range 200 { // 10 a second for each
			s.run.history.addRequest(&request{ID: fmt.Sprint(i), SentAt: 1 + float64(i)/25, Outcome: NotAccepted})
		}
		for i := range 18 {
			s.run.history.addAttempt(&attempt{RequestID: fmt.Sprint(i), Worker: "s-07-1", ReceivedAt: 5 + float64(i)/50})
		}
	}},
	{"another key", "P13", func(s *scene) { s.attempt.Key = "k" }},
	{"a body no worker made", "P13", func(s *scene) { s.request.Body = "x" }},
}

// Each promise is broken once, and the checker has to report that one; it reports nothing of sound scenes.
func TestCheckerReportsEachBrokenPromise(t *testing.T) {
	for _, c := range invariantCases {
		s := soundScene()
		c.change(s)
		s.run.checkInvariants()
		var got []string
		for _, f := range s.run.violations {
			got = append(got, f.Rule)
		}
		if strings.Join(got, " ") != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

func TestSameSeedSamePlan(t *testing.T) {
	b := Bounds{Dispatchers: 10, Duration: 8, FaultyBuild: true}
	for seed := range uint64(20) {
		first, second := Draw(seed, b), Draw(seed, b)
		if len(first.Faults) == 0 || len(first.Faults) != len(second.Faults) {
			t.Fatalf("seed %d: %d and %d faults", seed, len(first.Faults), len(second.Faults))
		}
		for i := range first.Faults {
			if first.Faults[i] != second.Faults[i] {
				t.Errorf("seed %d: %v, %v", seed, first.Faults[i], second.Faults[i])
			}
		}
	}
}
