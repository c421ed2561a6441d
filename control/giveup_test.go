package control

import "testing"

// TestGivenUpIsAnsweredAtOnce plays the drawn worlds. A request that is given up has its final answer in the same batch;
// one that was sent before, is held here and may be sent to no worker any more is held for no longer than two sweeps.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	const patience = heldRetryInterval + 2*sweepInterval
	late, seen := 0, 0
	for seed := range uint64(40) {
		futileSince := map[RequestID]Seconds{} // since when nothing could be done for it
		playWorld(seed, func(w *drawnWorld) {
			for _, req := range w.d.inFlight.slots {
				if !req.live {
					continue
				}
				if req.state == stateShed || req.state == stateFail {
					t.Errorf("seed %d: request %d is given up and was not answered", seed, req.id)
				}
				if req.state != stateHeld || req.attempted == 0 || w.d.allowedAnywhere(req) {
					delete(futileSince, req.id)
					continue
				}
				seen++
				if _, ok := futileSince[req.id]; !ok {
					futileSince[req.id] = w.now
				}
				if w.now > futileSince[req.id]+patience {
					late++
				}
			}
		})
	}
	if late > 0 || seen == 0 {
		t.Errorf("held for nothing for over %g s: %d times, of %d times at all", patience, late, seen)
	}
}

// allowedAnywhere reports whether the rules admit a request to any worker now.
func (d *Dispatcher) allowedAnywhere(req *request) bool {
	for _, w := range d.workers.all {
		if d.allowed(req, w) {
			return true
		}
	}
	return false
}
