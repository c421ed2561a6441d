package lab

import (
	"fmt"
	"slices"

	"mastchute/control"
	"mastchute/internal/emulator"
)

// told is what a worker's answer says.
type told struct {
	result control.Result
	found  control.ModelState
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
	was, up := s.fleet.StartTime(f.worker), s.fleet.IsUp(f.worker)
	arrive := func() {
		switch {
		case f.done: // called off on its way; the worker sees a closed connection
			return
		case !up:
			f.answered = true
			s.message(func() { f.end(&told{result: control.ConnectFailed, crowd: -1}) })
			return
		case !s.fleet.IsUp(f.worker) || s.fleet.StartTime(f.worker) != was:
			f.answered = true
			s.message(func() { f.end(&told{lost: true, crowd: -1}) })
			return
		}
		s.sends[f.worker] = append(s.sends[f.worker], f)
		s.fleet.Submit(s.now, f.worker, &f.req)
		if f.req.Outcome != emulator.Pending {
			s.answer(f)
		}
	}
	s.message(func() {
		if s.fleet.HasFault(f.worker, emulator.FaultSlowConnect) {
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
	t := &told{result: control.Succeeded, crowd: -1, start: simEpoch + s.fleet.StartTime(i)}
	in, queue := s.fleet.LoadReport(i)
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
	if f.answered || r.Outcome == emulator.Unanswered || r.Outcome == emulator.WorkerLost {
		return
	}
	s.drop(f)
	t := s.tells(f.worker)
	t.copies = r.Replicas
	switch r.Outcome {
	case emulator.Served:
		t.crowd = r.SameModelInFlight
		t.found = map[emulator.ModelState]control.ModelState{emulator.ModelWarm: control.ModelWarm, emulator.LoadStarted: control.LoadStarted,
			emulator.LoadAwaited: control.LoadAwaited}[r.ModelState]
		t.lost = r.ResetResponse || r.TruncateResponse
	case emulator.RejectedFull:
		if t.result = control.AtCapacity; r.ModelState == emulator.LoadFailed {
			t.found = control.LoadFailed
		}
	case emulator.RejectedMiss:
		t.result = control.ModelNotLoaded
	case emulator.Errored:
		t.result = control.WorkerError
	}
	s.message(func() { f.end(t) })
}
