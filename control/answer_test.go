package control

import "testing"

// TestGivenUpIsAnsweredAtOnce plays the drawn worlds. A request that is given up on has its final answer in the same
// batch; one that was sent on, is held here and may go to no worker any more is held no longer than two looks.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	const patience = heldRetryInterval + 2*sweepInterval
	late, seen := 0, 0
	for seed := range uint64(40) {
		since := map[RequestID]Seconds{} // since when nothing could be done for it
		world(seed, func(w *drawn) {
			for _, r := range w.d.inFlight.slots {
				if !r.live {
					continue
				}
				if r.state == stateShed || r.state == stateFail {
					t.Errorf("seed %d: inference %d is given up on and was not answered", seed, r.id)
				}
				if r.state != stateHeld || r.attempted == 0 || w.d.mayGoOn(r) {
					delete(since, r.id)
					continue
				}
				seen++
				if _, ok := since[r.id]; !ok {
					since[r.id] = w.now
				}
				if w.now > since[r.id]+patience {
					late++
				}
			}
		})
	}
	if late > 0 || seen == 0 {
		t.Errorf("held for nothing for over %g s: %d times, of %d times at all", patience, late, seen)
	}
}

// mayGoOn tells whether the rules let a request go to any worker now.
func (d *Dispatcher) mayGoOn(r *request) bool {
	for _, w := range d.workers.all {
		if d.allowed(r, w) {
			return true
		}
	}
	return false
}
