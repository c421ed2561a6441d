package membership

import "math"

const (
	maxEarlierStarts = 4   // earlier starts of a worker that are remembered, so that an answer or event told late is no news
	maxClockSkew     = 0.5 // s by which the clocks of two machines may differ without one of them being wrong
)

// WallClock relates a wall clock, in seconds since 1970, to the dispatcher's own: what it told at the own clock's second 0,
// and what it would have told then by how it goes now. They differ where it was stepped in between.
type WallClock struct{ OffsetAtStart, OffsetNow float64 }

// ToMonotonic is when a start told in seconds since 1970 was on the dispatcher's clock. Who told it may have gone by a clock
// that was stepped as ours was, or not: the later reading that is not in the future holds, as a worker taken for younger
// than it is gets too little, and one taken for older too much. A start in the future by both was just now.
func (c WallClock) ToMonotonic(epoch, now float64) float64 {
	start := math.Inf(-1)
	for _, offset := range [2]float64{c.OffsetAtStart, c.OffsetNow} {
		if at := epoch - offset; at <= now {
			start = math.Max(start, at)
		}
	}
	if math.IsInf(start, -1) {
		return now
	}
	return start
}

// startHistory is what was heard of a worker's starts.
type startHistory struct {
	known        bool    // one was told, be it as long ago
	observedAt   float64 // when the latest news of it was
	earlier      [maxEarlierStarts]float64
	earlierCount int
}

// recordStart takes a start that was told, in seconds since 1970 and on the dispatcher's clock, and tells whether it is another
// one than those heard of. It can't have been before the one before was heard, nor before notBefore: a wall clock that
// says so is wrong, and the start was just now for all that is known.
func (w *Worker) recordStart(epoch, start, notBefore, now float64) bool {
	s := &w.startHistory
	if epoch <= 0 || epoch == w.Epoch || s.isEarlier(epoch) {
		if !s.known {
			s.known, s.observedAt = true, now
		}
		return false
	}
	if w.Epoch != 0 {
		s.earlier[s.earlierCount%maxEarlierStarts] = w.Epoch
		s.earlierCount++
	}
	if s.known {
		notBefore = math.Max(notBefore, s.observedAt)
	}
	if start < notBefore-maxClockSkew || start > now {
		start = now
	}
	start = math.Max(start, math.Min(notBefore, now))
	w.Epoch, w.StartedAt = epoch, start
	s.known, s.observedAt = true, now
	return true
}

// isEarlier tells whether a start was heard of before the latest.
func (s *startHistory) isEarlier(epoch float64) bool {
	for _, e := range s.earlier[:min(s.earlierCount, maxEarlierStarts)] {
		if e == epoch {
			return true
		}
	}
	return false
}
