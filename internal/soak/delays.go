package soak

import "time"

const (
	delaySampleInterval = 0.01 // s between measurements of the harness's scheduling delay
	delayBucketWidth    = 0.1  // s; the worst delay of each bucket is kept
)

func delayBucketIndex(at float64) int { return int(at / delayBucketWidth) }

// measureHarnessDelays measures how late timers of the harness fire, until stopped. The checks allow for these delays.
func (r *runner) measureHarnessDelays(stop <-chan struct{}) {
	for {
		before := r.history.now()
		select {
		case <-stop:
			return
		case <-time.After(seconds(delaySampleInterval)):
		}
		now := r.history.now()
		r.mu.Lock()
		for b := delayBucketIndex(before); b <= delayBucketIndex(now); b++ {
			r.harnessDelays[b] = max(r.harnessDelays[b], now-before-delaySampleInterval)
		}
		r.mu.Unlock()
	}
}

// harnessDelay returns the worst scheduling delay of the harness between two times.
func (r *runner) harnessDelay(from, to float64) (worst float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for b := delayBucketIndex(from); b <= delayBucketIndex(to); b++ {
		worst = max(worst, r.harnessDelays[b])
	}
	return worst
}
