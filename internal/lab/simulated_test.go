package lab

import (
	"context"
	"encoding/json"
	"os"
	"runtime"
	"strings"
	"testing"
)

func simulate(t *testing.T, text string, seed uint64) (*Evidence, *Report) {
	t.Helper()
	day, err := ParseDay("day", []byte(text), Simulated)
	if err != nil {
		t.Fatal(err)
	}
	day.Seed = seed
	return Simulate(context.Background(), day, nil, nil)
}

// TestSimulatedRepeats plays the bad day with everything in it: the same bytes for a seed, whatever GOMAXPROCS is.
func TestSimulatedRepeats(t *testing.T) {
	day := badDay(t) + "network: {delay: 1ms, jitter: 2ms, lost: 0.01}\n"
	play := func(procs int, seed uint64) string {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(procs))
		e, rep := simulate(t, day, seed)
		if rep.Broken() || rep.Served < 1000 {
			t.Errorf("seed %d: served %d, rules %+v", seed, rep.Served, rep.Findings)
		}
		b, _ := json.Marshal([]any{e.Tries, e.Records, e.Words, e.Downs, rep})
		return string(b)
	}
	a, b, c := play(1, 7), play(4, 7), play(4, 8)
	if a != b {
		t.Error("the same seed gave other bytes")
	}
	if a == c {
		t.Error("another seed gave the same bytes")
	}
}

func TestSimulatedHoldsMoreThanSockets(t *testing.T) {
	text := strings.NewReplacer("dispatchers: 2", "dispatchers: 100", "workers: 8", "workers: 500").Replace(badDay(t))
	if _, err := ParseDay("day", []byte(text), Simulated); err != nil {
		t.Error(err)
	}
	_, err := ParseDay("day", []byte(text), Sockets)
	if err == nil || !strings.Contains(err.Error(), "dispatchers") || !strings.Contains(err.Error(), "workers") {
		t.Errorf("%v", err)
	}
}

func badDay(t *testing.T) string {
	text, err := os.ReadFile("../../days/bad-day.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
