package soak

import "time"

const (
	delayProbePeriod = 0.01 // s between measurements of the harness's own delay
	delayBucket      = 0.1  // s for which the worst of them is kept
)

func bucketOf(at float64) int { return int(at / delayBucket) }

// monitorDelays measures how late the harness's own timers fire, until stopped. The checks allow for that.
func (r *runner) monitorDelays(stop <-chan struct{}) {
	for {
		before := r.history.now()
		select {
		case <-stop:
			return
		case <-time.After(seconds(delayProbePeriod)):
		}
		now := r.history.now()
		r.mu.Lock()
		for b := bucketOf(before); b <= bucketOf(now); b++ {
			r.harnessDelays[b] = max(r.harnessDelays[b], now-before-delayProbePeriod)
		}
		r.mu.Unlock()
	}
}

// harnessDelay returns the worst delay of the harness between two times.
func (r *runner) harnessDelay(from, to float64) (worst float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for b := bucketOf(from); b <= bucketOf(to); b++ {
		worst = max(worst, r.harnessDelays[b])
	}
	return worst
}
