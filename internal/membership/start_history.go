package membership

import "math"

const (
	maxEarlierStarts = 4   // earlier starts stored per worker, so that a late response or event with one does not count as a restart
	maxClockSkew     = 0.5 // s by which the clocks of two machines may differ without one of them being wrong
)

// WallClock relates a wall clock to the dispatcher's monotonic clock, by the wall clock's time at second 0 of the latter
// in seconds since 1970: as it was read then, and as it follows from the time that it shows now. They differ if the wall
// clock was stepped in between.
type WallClock struct{ OffsetAtStart, OffsetNow float64 }

// ToMonotonic returns the time of a worker's start, reported in seconds since 1970, on the dispatcher's clock. The clock
// of the reporter may have been stepped like the dispatcher's own, or not. The later of the two readings that is not in
// the future applies, as the error is safer on that side: a worker that seems younger than it is gets too little work for a
// while, one that seems older gets too much. If both are in the future, ToMonotonic returns now.
func (c WallClock) ToMonotonic(epoch, now float64) float64 {
	startedAt := math.Inf(-1)
	for _, offset := range [...]float64{c.OffsetAtStart, c.OffsetNow} {
		reading := epoch - offset
		if reading <= now {
			startedAt = math.Max(startedAt, reading)
		}
	}
	if math.IsInf(startedAt, -1) {
		return now
	}
	return startedAt
}

// startHistory is what is known of a worker's starts before the latest one.
type startHistory struct {
	known        bool    // a start was reported, even if only as long ago
	observedAt   float64 // when the latest start was first reported
	earlier      [maxEarlierStarts]float64
	earlierCount int // starts written to earlier, which is a ring buffer
}

// recordStart records a reported start, and reports whether it differs from those known. epoch is in seconds since 1970;
// startedAt is the same on the dispatcher's clock. A start that would be from before the previous one was observed, or
// from before notBefore, was reported by a wrong clock, and now is recorded instead.
func (w *Worker) recordStart(epoch, startedAt, notBefore, now float64) bool {
	history := &w.startHistory
	if epoch <= 0 || epoch == w.Epoch || history.isEarlier(epoch) {
		if !history.known {
			history.known = true
			history.observedAt = now
		}
		return false
	}
	if w.Epoch != 0 {
		history.earlier[history.earlierCount%maxEarlierStarts] = w.Epoch
		history.earlierCount++
	}
	if history.known {
		notBefore = math.Max(notBefore, history.observedAt)
	}
	if startedAt < notBefore-maxClockSkew || startedAt > now {
		startedAt = now
	}
	w.Epoch = epoch
	w.StartedAt = math.Max(startedAt, math.Min(notBefore, now))
	history.known = true
	history.observedAt = now
	return true
}

// isEarlier reports whether a start is one of the stored ones before the latest.
func (h *startHistory) isEarlier(epoch float64) bool {
	for _, earlier := range h.earlier[:min(h.earlierCount, maxEarlierStarts)] {
		if earlier == epoch {
			return true
		}
	}
	return false
}
