package control

import "testing"

func TestOutlierEjectionAndRecovery(t *testing.T) {
	var o outlierDetector
	o.recordFailure(1)
	if o.ejected {
		t.Fatal("ejected after one failure")
	}
	o.recordFailure(1)
	if !o.ejected || o.admits(1, Retriable) {
		t.Fatal("not ejected after two failures close together")
	}
	if o.backingOff(1) {
		t.Error("an ejected scope backs off although it has not rejected a request")
	}
	if !o.admits(1+1/initialRampRate, Retriable) {
		t.Error("no attempt is admitted when the recovery ramp starts")
	}
	if o.admits(1+1/initialRampRate, NonRetriable) {
		t.Error("a non-retriable request is admitted in the first step of the recovery ramp")
	}
	successes := 0
	for ; o.ejected && successes < 100; successes++ {
		o.recordSuccess()
	}
	if successes != 4 {
		t.Errorf("readmitted after %d successes, want 4: the ramp doubles from 1 to 16 attempts/s", successes)
	}
	o.recordFailure(9)
	if !o.ejected {
		t.Error("one failure after the readmission does not eject the scope again")
	}
}

func TestOutlierRejectionBackoff(t *testing.T) {
	var o outlierDetector
	for _, backoff := range []Seconds{0.05, 0.1, 0.2, 0.4, 0.5, 0.5} {
		if until := o.recordRejection(0); until != backoff {
			t.Errorf("backoff %g s, want %g", until, backoff)
		}
	}
	o.recordSuccess()
	if until := o.recordRejection(0); until != minRejectBackoff {
		t.Errorf("backoff %g s after a success, want %g", until, minRejectBackoff)
	}
	o.backoffUntil = 5
	if !o.backingOff(4.9) || !o.admits(5, Retriable) {
		t.Error("the backoff does not end at its time")
	}
}

// TestFailureScope checks that a failure is attributed to one traffic class if another class succeeded recently, and to the
// whole worker otherwise.
func TestFailureScope(t *testing.T) {
	w := &worker{outlierByClass: make([]outlierDetector, 3)}
	if w.failureScope(1, 0) != &w.outlier {
		t.Error("without any response: want the whole worker")
	}
	w.outlierByClass[1].recordResponse(5, true)
	if w.failureScope(1, 0) != &w.outlier {
		t.Error("with responses of the same class only: want the whole worker")
	}
	w.outlierByClass[0].recordResponse(6, true)
	if w.failureScope(1, 0) != &w.outlierByClass[1] {
		t.Error("another class succeeded: want the class")
	}
	if w.failureScope(1, 6) != &w.outlier {
		t.Error("the response of the other class is too old: want the whole worker")
	}
	w.outlierByClass[2].recordResponse(7, false)
	if w.failureScope(1, 0) != &w.outlier {
		t.Error("the latest response of another class was an error: want the whole worker")
	}
}

func TestEjectionsAreIgnoredWhileMostWorkersAreEjected(t *testing.T) {
	d := New(1, Settings{}, nil)
	d.SetNow(1)
	var list []WorkerInfo
	for id := WorkerID(1); id <= 3; id++ {
		list = append(list, WorkerInfo{ID: id, State: Ready})
	}
	d.UpdateWorkers(ListSnapshot, 1, list)
	req := &request{group: d.groups[0]}
	for ejected, admitted := range []bool{false, true, true} {
		w := d.workers.all[ejected]
		d.recordFailure(&w.outlier)
		d.recordFailure(&w.outlier)
		if d.workerAdmits(req, w) != admitted {
			t.Errorf("an ejected worker admits = %t with %d of 3 workers ejected, want %t", !admitted, ejected+1, admitted)
		}
	}
	list[1].State = Draining
	list[2].State = Gone
	d.UpdateWorkers(ListSnapshot, 2, append(list, WorkerInfo{ID: 4, State: Ready}, WorkerInfo{ID: 5, State: Ready}))
	if d.workerAdmits(req, d.workers.all[0]) {
		t.Error("an ejected worker admits a request with 1 of 3 ready workers ejected: ejected ones that drain or are gone must not count")
	}
	d.UpdateWorkers(ListSnapshot, 3, list)
	d.workers.all[0].outlier.backoffUntil = 2
	if d.workerAdmits(req, d.workers.all[0]) {
		t.Error("a worker that backs off admits a request because most workers are ejected")
	}
}
