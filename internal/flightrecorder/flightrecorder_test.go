package flightrecorder

import "testing"

func TestRingKeepsTheLatest(t *testing.T) {
	var r Ring
	for i := range capacity + 10 {
		r.Add(Event{Request: uint64(i)})
	}
	want := uint64(10)
	r.Each(func(e *Event) {
		if e.Request != want {
			t.Fatalf("event %d, want %d", e.Request, want)
		}
		want++
	})
	if want != capacity+10 || r.Count() != capacity+10 {
		t.Errorf("ended at %d, count %d", want, r.Count())
	}
	if n := testing.AllocsPerRun(100, func() { r.Add(Event{What: "x", Why: "y"}) }); n != 0 {
		t.Errorf("%g allocations an event", n)
	}
}
