package lab

import (
	"fmt"
	"strings"
	"testing"

	"mastchute/internal/config"
	"mastchute/internal/emulator"
)

// parseEvidence parses the evidence of a small scenario: one event a line.
//
//	arrive T ID.F WORKER GROUP [DISPATCHER] | turned T ID.F WORKER | ran T ID.F WORKER GROUP KEY | served T ID.F WORKER
//	start T WORKER | fell T WORKER | order T WORKER DISPATCHER
//	try SENT ANSWERED ID ANSWER [TIMEOUT]      ANSWERED 0: none came
//	word T DISPATCHER WORKER STATE | down FROM TO DISPATCHER | extra
func parseEvidence(t *testing.T, text string) *Evidence {
	t.Helper()
	s := config.Default()
	s.Groups = []config.Group{{Name: "read", Effect: "retriable"}, {Name: "write", Effect: "deduped", DedupScope: "zone", DedupWindow: config.Seconds(2)},
		{Name: "all", Effect: "deduped", DedupScope: "all", DedupWindow: config.Seconds(2)}, {Name: "once", Effect: "non-retriable"}}
	s.Rules = config.Rules{DrainGrace: config.Seconds(0.5), SlowStartDuration: config.Seconds(5), OverloadWindow: config.Seconds(1), OverloadFactor: 2, SlowStartCapacity: 0.2}
	s.Loads.BudgetWindow, s.Loads.BudgetBase, s.Loads.BudgetPerRequest = config.Seconds(5), 2, 0.5
	e := &Evidence{Settings: &s, Zones: map[string]string{"a": "1", "b": "1", "c": "2"}, Cells: map[string]string{}}
	for _, line := range strings.Split(text, "\n") {
		f := append(strings.Fields(line), "", "", "", "", "", "")
		var at float64
		fmt.Sscan(f[1], &at)
		inf := func(w string) (r emulator.Record) {
			id, n, _ := strings.Cut(w, ".")
			fmt.Sscan(n, &r.Attempt)
			r.Request, r.T, r.Event, r.Worker, r.Group, r.Dispatcher = id, at, emulator.Event(f[0]), f[3], f[4], f[5]
			if r.Dispatcher == "" {
				r.Dispatcher = "d0"
			}
			return r
		}
		switch f[0] {
		case "":
		case "arrive", "served":
			e.Records = append(e.Records, inf(f[2]))
		case "turned":
			r := inf(f[2])
			r.Why = "full"
			e.Records = append(e.Records, r)
		case "ran":
			r := inf(f[2])
			r.Key, r.Dispatcher = f[5], "d0"
			e.Records = append(e.Records, r)
		case "start", "fell":
			e.Records = append(e.Records, emulator.Record{T: at, Event: emulator.Event(f[0]), Worker: f[2]})
		case "order":
			e.Records = append(e.Records, emulator.Record{T: at, Event: "order", Worker: f[2], Dispatcher: f[3]})
		case "try":
			a := ClientAttempt{SentAt: at, Request: f[3], Answer: Answer(f[4]), Timeout: 1, Dispatcher: "d0", Key: "k" + f[3]}
			fmt.Sscan(f[2], &a.AnsweredAt)
			fmt.Sscan(f[5], &a.Timeout)
			e.ClientAttempts = append(e.ClientAttempts, a)
		case "extra":
			e.ClientAttempts[len(e.ClientAttempts)-1].UnwantedBytes = 7
		case "word":
			e.StateChanges = append(e.StateChanges, StateChange{Dispatcher: f[2], Worker: f[3], State: f[4], NotifiedAt: at})
		case "down":
			outage := Outage{Dispatcher: f[3], From: at}
			fmt.Sscan(f[2], &outage.To)
			e.Outages = append(e.Outages, outage)
		default:
			t.Fatalf("%q", line)
		}
	}
	return e
}

// Each violation is found and described; the sound variant beside it is not reported.
func TestCheckerFindsEachViolation(t *testing.T) {
	for _, c := range []struct {
		name, events string
		rule         int // the rule broken; 0 for none
		message      string
	}{
		{"answered in time", "try 1 1.5 i returned", 0, ""},
		{"never answered", "try 1 0 i", 1, "no answer within"},
		{"never answered by one that was killed", "try 1 0 i\ndown 1.4 2 d0", 0, ""},
		{"answered too late", "try 1 2.5 i failed", 1, "after the client's time"},
		{"two answers on one connection", "try 1 1.5 i returned\nextra", 1, "second answer"},
		{"one inference answered twice", "try 1 1.5 i returned\ntry 1 1.6 i shed", 1, "answered 2 times"},
		{"sent after the answer", "try 1 1.5 i failed\narrive 1.2 i.0 a read\narrive 1.8 i.1 b read", 1, "after the final answer"},
		{"a retriable one sent twice", "arrive 1 i.0 a read\narrive 1.1 i.1 b read\ntry 1 1.5 i returned", 0, ""},
		{"a non-retriable one sent twice", "arrive 1 i.0 a once\narrive 1.1 i.1 b once", 2, "forward 1 came to b while forward 0 at a may have run"},
		{"after it was turned away", "arrive 1 i.0 a once\nturned 1.05 i.0 a once\narrive 1.1 i.1 b once", 0, ""},
		{"before it was turned away", "arrive 1 i.0 a once\narrive 1.1 i.1 b once\nturned 1.2 i.0 a once", 2, "may have run"},
		{"ran twice under two ids", "ran 1 i.0 a once k\nran 2 j.0 b once k", 2, "ran twice: at a as i, and at b as j"},
		{"shed, though it may have run", "arrive 1 i.0 a once\ntry 1 1.5 i shed", 2, "shed, though forward 0 at a may have run"},
		{"shed after it was turned away", "arrive 1 i.0 a once\nturned 1.1 i.0 a once\ntry 1 1.5 i shed", 0, ""},
		{"repeat in its zone and window", "arrive 1 i.0 a write\narrive 2.5 i.1 b write", 0, ""},
		{"repeat outside its zone", "arrive 1 i.0 a write\narrive 2.5 i.1 c write", 2, "outside the zone of a"},
		{"repeat past its window", "arrive 1 i.0 a write\narrive 3.5 i.1 b write", 2, "past the window"},
		{"deduped in a zone, shed", "arrive 1 i.0 a write\ntry 1 1.5 i shed", 2, "shed, though"},
		{"deduped everywhere, shed", "arrive 1 i.0 a all\ntry 1 1.5 i shed", 0, ""},
		{"work within the grace", "arrive 1 i.0 a read\nword 2 d0 a draining\narrive 2.3 j.0 a read", 0, ""},
		{"work after a drain", "arrive 1 i.0 a read\nword 2 d0 a draining\narrive 2.8 j.0 a read", 3, "0.800 s after it heard that it is draining"},
		{"an order after a drain", "word 2 d0 a gone\norder 2.8 a d0", 3, "order to load"},
		{"work by one that was not told", "word 2 d0 a draining\narrive 2.8 j.0 a read d1", 0, ""},
		{"work once it is ready again", "word 2 d0 a draining\nword 3 d0 a ready\narrive 3.8 j.0 a read", 0, ""},
		{"a cold worker pushed over", "start 1 a\narrive 1.1 i.0 a read\nserved 1.2 i.0 a read\narrive 1.6 j.0 a read\narrive 1.7 k.0 a read\narrive 1.8 l.0 a read\nfell 1.8 a", 4, "a fell over 0.80 s after its start: 4 inferences within 1s, 3 of them by those who knew (d0 3)"},
		{"pushed over by those who could not know", "start 1 a\narrive 1.6 j.0 a read\narrive 1.7 k.0 a read\nfell 1.8 a", 0, ""},
		{"orders within the ration", "try 1 1.1 i returned\ntry 1 1.2 j returned\norder 2 a d0\norder 2.1 b d0\norder 2.2 c d0", 0, ""},
		{"orders beyond it", "try 1 1.1 i returned\norder 2 a d0\norder 2.1 b d0\norder 2.2 c d0", 5, "ordered 3 loads within 5s, where 1 inferences allow 2.5"},
		{"orders that have left the window", "order 2 a d0\norder 2.1 b d0\norder 8 c d0", 0, ""},
	} {
		for _, f := range CheckInvariants(parseEvidence(t, c.events)) {
			switch {
			case f.Rule != c.rule && f.Violations > 0:
				t.Errorf("%s: rule %d is called broken: %q", c.name, f.Rule, f.Examples)
			case f.Rule == c.rule && (f.Violations == 0 || !strings.Contains(strings.Join(f.Examples, "\n"), c.message)):
				t.Errorf("%s: rule %d: %d breaks %q", c.name, f.Rule, f.Violations, f.Examples)
			case f.Rule == c.rule && f.Verdict() != "BROKEN":
				t.Errorf("%s: verdict %s", c.name, f.Verdict())
			}
		}
	}
}

func TestRuleWithoutTestIsNotShown(t *testing.T) {
	for _, f := range CheckInvariants(parseEvidence(t, "")) {
		if f.Verdict() != "not shown" {
			t.Errorf("rule %d: %s", f.Rule, f.Verdict())
		}
	}
	tests := map[int]int{}
	for _, f := range CheckInvariants(parseEvidence(t, "try 1 1.5 i returned\narrive 1 i.0 a write\narrive 1.2 i.1 b write\nword 2 d0 b gone\nstart 3 c\narrive 3.5 j.0 c read\norder 4 a d0")) {
		if tests[f.Rule] = f.Tests; f.Verdict() != "kept" {
			t.Errorf("rule %d: %s %q", f.Rule, f.Verdict(), f.Examples)
		}
	}
	for rule := 1; rule <= 5; rule++ {
		if tests[rule] != 1 {
			t.Errorf("rule %d: %d tests, want 1", rule, tests[rule])
		}
	}
}
