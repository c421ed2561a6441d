package control

import "testing"

// TestGivenUpIsAnsweredAtOnce plays the drawn worlds. An inference that is given up on has its final answer in the same
// batch; one that was forwarded, is held here and may go to no worker any more is held no longer than two looks.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	const patience = lookLong + 2*scan
	late, seen := 0, 0
	for seed := range uint64(40) {
		since := map[InferenceID]Seconds{} // since when nothing could be done for it
		world(seed, func(w *drawn) {
			for _, r := range w.d.hand.all {
				if !r.live {
					continue
				}
				if r.want == wantShed || r.want == wantFail {
					t.Errorf("seed %d: inference %d is given up on and was not answered", seed, r.id)
				}
				if r.want != wantHold || r.n == 0 || w.d.mayGoOn(r) {
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

// mayGoOn tells whether the rules let an inference go to any worker now.
func (d *Dispatcher) mayGoOn(r *inference) bool {
	for _, w := range d.workers {
		if d.may(r, w) {
			return true
		}
	}
	return false
}
