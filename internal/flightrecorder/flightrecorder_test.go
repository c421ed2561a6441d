package flightrecorder

import "testing"

func TestRingKeepsTheLatest(t *testing.T) {
	var ring Ring
	for i := range capacity + 10 {
		ring.Add(Event{Request: uint64(i)})
	}
	want := uint64(10)
	ring.Each(func(e *Event) {
		if e.Request != want {
			t.Fatalf("event %d, want %d", e.Request, want)
		}
		want++
	})
	if want != capacity+10 || ring.Count() != capacity+10 {
		t.Errorf("ended at %d, count %d", want, ring.Count())
	}
	if n := testing.AllocsPerRun(100, func() { ring.Add(Event{What: "x", Why: "y"}) }); n != 0 {
		t.Errorf("%g allocations per event", n)
	}
}
