package control

import "testing"

// Months in service: names of models, workers replaced and bursts must not stay for ever.
func TestWhatWasSeenOnceIsForgotten(t *testing.T) {
	a := &answering{}
	d := New(1, Settings{Attempts: AttemptSettings{Max: 3}, Loads: LoadSettings{KeepAlive: Some(8.0)}, Tick: Some(0.001),
		Groups: []GroupSettings{{Effect: Retriable, SLO: Some(1.0), Timeout: Some(5.0)}}}, a)
	now, id := 0.0, RequestID(0)
	at := func(s Seconds, f func()) { now += s; a.now = now; d.SetNow(now); f(); d.Reconcile() }
	list := func(day, n int) (l []WorkerInfo) {
		for i := range n {
			l = append(l, WorkerInfo{ID: WorkerID(day*10000 + i), State: Ready, Weight: 1, StartedAt: -1e6})
		}
		return l
	}
	ask := func(m ModelID) {
		id++
		at(1e-4, func() { d.RequestArrived(Request{ID: id, Model: m, Deadline: now + 60}) })
	}
	answer := func() {
		sent := a.sent
		a.sent, a.at = nil, nil // answers let others go, which are answered the next time
		for _, o := range sent {
			at(1e-4, func() { d.AttemptFinished(o) })
		}
	}
	for day := range 30 { // all workers replaced each day
		at(86400, func() { d.UpdateWorkers(ListSnapshot, uint32(day), list(day, 200)) })
		for m := range 300 {
			ask(ModelID(m))
		}
		answer()
		at(0.01, func() { d.TimerFired(0) })
	}
	if len(d.workers) > 400 || len(d.workersByID) != len(d.workers) || d.nextIndex > 600 { // two days in the list, and the next as it comes
		t.Errorf("%d workers, %d known, %d indexes after 6,000 replaced", len(d.workers), len(d.workersByID), d.nextIndex)
	}
	for _, m := range d.models {
		if len(m.replicas) > 600 {
			t.Fatalf("%d places", len(m.replicas))
		}
		for _, rep := range m.replicas {
			if rep != nil && d.workersByID[rep.worker.ID] != rep.worker {
				t.Fatal("a place at a worker that is forgotten")
			}
		}
	}
	for m := range 25_000 { // names, each asked for once
		ask(ModelID(1000 + m))
		if m%100 == 0 {
			answer()
			at(0.01, func() { d.TimerFired(0) })
		}
	}
	answer()
	if len(d.models) > modelsMax+1 {
		t.Errorf("%d models are kept", len(d.models))
	}
	before := a.n
	for range 3_000 { // a burst, held while nothing is answered
		ask(5)
	}
	if len(d.inFlight.slots) < 3_000 {
		t.Fatalf("%d in hand", len(d.inFlight.slots))
	}
	for i := 0; len(d.inFlight.byID) > 0; i++ {
		if i == 10_000 {
			t.Fatalf("%d are in hand for ever", len(d.inFlight.byID))
		}
		answer()
		at(0.01, func() { d.TimerFired(0) })
	}
	at(0.01, func() { d.TimerFired(0) })
	if len(d.inFlight.slots) > tableMin || a.n != before {
		t.Errorf("%d places of the slab after the burst; %d shed", len(d.inFlight.slots), a.n-before)
	}
	ask(5) // and it goes on
	if len(a.sent) != 1 {
		t.Error("no attempt after all that")
	}
}
