package lab

import (
	"fmt"
	"slices"

	"mastchute/control"
	"mastchute/internal/standin"
)

// told is what a worker's answer says.
type told struct {
	result control.Result
	found  control.Found
	crowd  int
	report []float64
	start  float64
	copies int
	lost   bool // no answer: the connection is lost
}

func (s *sim) worker(name string) int {
	var n int
	fmt.Sscanf(name, "w%d", &n)
	return n - 1
}

// send carries an attempt or an order to its worker. A connection to a worker that is down does not come about; one
// that was under way when the worker went is reset.
func (s *sim) send(f *simAttempt) {
	was, up := s.fleet.Start(f.worker), s.fleet.Up(f.worker)
	arrive := func() {
		switch {
		case f.done: // called off on its way; the worker sees a closed connection
			return
		case !up:
			f.answered = true
			s.message(func() { f.end(&told{result: control.ConnectFailed, crowd: -1}) })
			return
		case !s.fleet.Up(f.worker) || s.fleet.Start(f.worker) != was:
			f.answered = true
			s.message(func() { f.end(&told{lost: true, crowd: -1}) })
			return
		}
		s.sends[f.worker] = append(s.sends[f.worker], f)
		s.fleet.Arrive(s.now, f.worker, &f.req)
		if f.req.Verdict != standin.Open {
			s.answer(f)
		}
	}
	s.message(func() {
		if s.fleet.Has(f.worker, "slow_connect") {
			s.after(0.2, arrive)
			return
		}
		arrive()
	})
}

// called tells a worker that an attempt was called off.
func (s *sim) called(f *simAttempt) {
	if f.answered || f.end == nil { // answered, or never sent
		return
	}
	s.message(func() {
		if !f.answered && slices.Contains(s.sends[f.worker], f) {
			s.drop(f)
			s.fleet.Cancel(s.now, &f.req)
		}
	})
}

func (s *sim) drop(f *simAttempt) {
	f.answered = true
	if i := slices.Index(s.sends[f.worker], f); i >= 0 {
		s.sends[f.worker] = slices.Delete(s.sends[f.worker], i, i+1)
	}
}

// tells is what every answer of a worker tells.
func (s *sim) tells(i int) *told {
	t := &told{result: control.Returned, crowd: -1, start: simEpoch + s.fleet.Start(i)}
	in, queue := s.fleet.Report(i)
	for _, f := range s.day.Settings.Report {
		switch f {
		case "inflight":
			t.report = append(t.report, in)
		case "queue":
			t.report = append(t.report, queue)
		}
	}
	if len(t.report) < len(s.day.Settings.Report) {
		t.report = nil
	}
	return t
}

// answer sends a worker's answer on its way.
func (s *sim) answer(f *simAttempt) {
	r := &f.req
	if f.answered || r.Verdict == standin.Silent || r.Verdict == standin.Dead {
		return
	}
	s.drop(f)
	t := s.tells(f.worker)
	t.copies = r.Copies
	switch r.Verdict {
	case standin.Served:
		t.crowd = r.Crowd
		t.found = map[string]control.Found{"warm": control.FoundWarm, "began": control.BeganLoad, "awaited": control.AwaitedLoad}[r.Found]
		t.lost = r.Reset || r.Cut
	case standin.TurnFull:
		if t.result = control.Full; r.Found == "failed" {
			t.found = control.LoadFailed
		}
	case standin.TurnMiss:
		t.result = control.Missed
	case standin.Broke:
		t.result = control.Errored
	}
	s.message(func() { f.end(t) })
}
