package emulator

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

func spec(n int) Spec {
	s := Spec{Seed: 1, Store: StoreSpec{Slots: 1, Limit: 2},
		Models: []ModelSpec{{Name: "m-*", Group: "g", MemoryMB: 100, Lanes: 2, Work: 0.1, Fetch: 0.4, Boot: 0.2}, {Name: "k", Group: "d", MemoryMB: 100, Lanes: 2, Work: 0.1, Fetch: 0.4, Boot: 0.2, Deduped: true}}}
	for i := range n {
		s.Workers = append(s.Workers, WorkerSpec{Name: string(rune('a' + i)), Cores: 2, Speed: 1, MemoryMB: 250, Queue: 4, Loads: 2, OnMiss: "load",
			Keep: 2, ColdShare: 0.25, WarmAfter: 4, Overload: 2, Fall: 1, DedupWindow: 3, DedupScope: "all"})
	}
	return s
}

func arrive(f *Fleet, now float64, w int, model string) *Req {
	r := &Req{Model: model}
	f.Arrive(now, w, r)
	return r
}

func TestLoadRunUnload(t *testing.T) {
	f := NewFleet(spec(1), false)
	a, b := arrive(f, 0, 0, "m-1"), arrive(f, 0.1, 0, "m-1")
	f.Advance(0.59)
	if a.RanAt != 0 {
		t.Error("it ran before a copy stood")
	}
	f.Advance(1)
	if a.Found != "began" || b.Found != "awaited" || math.Abs(a.RanAt-0.6) > 1e-3 || a.EndAt-a.RanAt < 0.05 || a.EndAt-a.RanAt > 0.15+1e-3 {
		t.Errorf("%+v %+v", a, b)
	}
	c := arrive(f, 1, 0, "m-1")
	f.Advance(1.3)
	if c.Found != "warm" || c.Verdict != Served {
		t.Errorf("%+v", c)
	}
	f.Advance(4) // idle past its keep
	if d := arrive(f, 4, 0, "m-1"); d.found != "began" {
		t.Errorf("an idle copy stayed: %+v", d)
	}
}

func TestFullMissAndStoreLimit(t *testing.T) {
	s := spec(3)
	s.Workers[0].OnMiss = "miss"
	f := NewFleet(s, false)
	if r := arrive(f, 0, 0, "m-1"); r.Verdict != TurnMiss {
		t.Errorf("%+v", r)
	}
	o := &Req{Model: "m-1", Order: 1, Copies: 1}
	f.Arrive(0, 0, o)
	arrive(f, 0, 1, "m-1")
	if r := arrive(f, 0, 2, "m-1"); r.Verdict != TurnFull || f.Refused != 1 {
		t.Errorf("a third fetch where the store allows two: %+v", r)
	}
	f.Advance(1.1) // two fetches share one slot: 0.8 s, and 0.2 s to start
	if o.Verdict != Served || o.Copies != 1 {
		t.Errorf("%+v", o)
	}
	for range 8 {
		arrive(f, 1.1, 0, "m-1")
	}
	if r := arrive(f, 1.1, 0, "m-1"); r.Verdict != TurnFull {
		t.Errorf("beyond lanes and queue: %+v", r)
	}
}

func TestRepeatsAreDroppedWithinWindowAndScope(t *testing.T) {
	s := spec(3)
	for i := range s.Workers {
		s.Workers[i].DedupScope, s.Workers[i].Zone = "zone", string(rune('x'+i/2))
	}
	f := NewFleet(s, false)
	ran := 0
	f.Log = func(_ float64, _, event string, _ *Req) {
		if event == "ran" {
			ran++
		}
	}
	send := func(at float64, w int) { f.Arrive(at, w, &Req{Model: "k", Key: "1"}); f.Advance(at + 2) }
	send(0, 0)
	send(2, 1) // the other worker of the zone
	if ran != 1 {
		t.Errorf("ran %d times within the zone and window", ran)
	}
	send(4, 2) // another zone
	send(6, 0) // past the window
	if ran != 3 {
		t.Errorf("ran %d times", ran)
	}
}

// Two model groups on the same workers each have their own scope and window.
func TestScopeAndWindowAreTheModelGroups(t *testing.T) {
	s := spec(2)
	s.Workers[1].Zone = "z"
	s.Models = []ModelSpec{{Name: "all", MemoryMB: 1, Lanes: 1, Work: 0.01, Deduped: true, Scope: "all", Window: 9},
		{Name: "zone", MemoryMB: 1, Lanes: 1, Work: 0.01, Deduped: true, Scope: "zone", Window: 9}}
	f := NewFleet(s, false)
	ran := map[string]int{}
	f.Log = func(_ float64, _, event string, r *Req) {
		if event == "ran" {
			ran[r.Model]++
		}
	}
	for i, at := range []float64{0, 4} {
		f.Arrive(at, i, &Req{Model: "all", Key: "1"})
		f.Arrive(at, i, &Req{Model: "zone", Key: "2"})
		f.Advance(at + 3)
	}
	if ran["all"] != 1 || ran["zone"] != 2 {
		t.Errorf("%v", ran)
	}
}

func TestColdWorkerFallsOver(t *testing.T) {
	for _, c := range []struct {
		gap  float64
		fell bool
	}{{0.02, true}, {0.5, false}} {
		f := NewFleet(spec(1), true)
		for at := 0.0; at < 3 && !f.Fell(0); at += c.gap {
			arrive(f, at, 0, "m-1")
		}
		if f.Fell(0) != c.fell || f.Up(0) == c.fell {
			t.Errorf("an inference every %gs: fell %v", c.gap, f.Fell(0))
		}
	}
}

func TestVanishedComesBackEmptyAndCold(t *testing.T) {
	f := NewFleet(spec(1), false)
	r := arrive(f, 0, 0, "m-1")
	f.Set(0.3, Fault{Kind: "vanish", Span: 1})
	if r.Verdict != Dead || f.Up(0) {
		t.Errorf("%+v", r)
	}
	f.Advance(1.31)
	if !f.Up(0) || f.Start(0) < 1.29 || f.workers[0].capacity(f.now) > 0.3 {
		t.Errorf("up %v since %g", f.Up(0), f.Start(0))
	}
	if q := arrive(f, 1.4, 0, "m-1"); q.found != "began" {
		t.Errorf("%+v", q)
	}
}

// The same seed gives the same events to the letter, and nothing is ever in two places, whatever is drawn.
func TestDrawnTroublesRepeatAndAddUp(t *testing.T) {
	play := func(seed uint64) string {
		var log strings.Builder
		rnd := rand.New(rand.NewPCG(seed, 9))
		s := spec(3)
		f := NewFleet(s, seed%2 == 0)
		f.Log = func(now float64, w, event string, r *Req) {
			log.WriteString(w + event)
			if now < f.now-1e-9 {
				t.Fatal("time went back")
			}
		}
		open := 0
		for now := 0.0; now < 20; now += rnd.Float64() * 0.2 {
			if rnd.IntN(20) == 0 {
				names := []string{"fast_errors", "hang", "vanish", "slow", "pauses", "ageing", "flush", "store_slow", "reset", "silent_group"}
				f.Set(now, Fault{Kind: names[rnd.IntN(len(names))], Worker: string(rune('a' + rnd.IntN(3))), Share: 0.5, Span: rnd.Float64() * 3, Factor: 4, What: "g"})
			}
			if r := arrive(f, now, rnd.IntN(3), "m-"+string(rune('0'+rnd.IntN(5)))); r.Verdict == Open {
				open++
			}
			for range f.TakeDone() {
				open--
			}
			for _, w := range f.workers {
				memory, busy := 0.0, 0
				for _, c := range w.order {
					memory += float64(c.stand) * c.spec.MemoryMB
					if c.isLoading {
						memory += c.spec.MemoryMB
					}
					if busy += c.busy; c.busy < 0 || c.stand < 0 || c.busy > max(c.stand, 1)*c.spec.Lanes {
						t.Fatalf("seed %d: %d busy in %d copies", seed, c.busy, c.stand)
					}
				}
				if math.Abs(memory-w.memory) > 1e-6 || memory > w.MemoryMB || busy != len(w.running) || w.held < busy {
					t.Fatalf("seed %d at %g: memory %g booked %g, %d busy, %d run, %d held", seed, now, memory, w.memory, busy, len(w.running), w.held)
				}
			}
			if f.fetches < 0 || f.fetches > s.Store.Limit {
				t.Fatalf("seed %d: %d fetches", seed, f.fetches)
			}
		}
		return log.String()
	}
	for seed := range uint64(30) {
		if first, second := play(seed), play(seed); first != second {
			t.Fatalf("seed %d plays differently each time", seed)
		}
	}
}
