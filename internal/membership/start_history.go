package membership

import "math"

const (
	maxEarlierStarts = 4   // earlier starts stored per worker, so that a late response or event with one does not count as a restart
	maxClockSkew     = 0.5 // s by which the clocks of two machines may differ before one of them counts as wrong
)

// WallClock relates a wall clock to the dispatcher's monotonic clock. Each offset is the wall clock's time at second 0 of the
// monotonic clock, in seconds since 1970: OffsetAtStart was read then, OffsetNow is computed from the wall clock's current
// time. They differ if the wall clock was stepped in between.
type WallClock struct{ OffsetAtStart, OffsetNow float64 }

// ToMonotonic converts a worker's start time, reported in seconds since 1970, to the dispatcher's clock. The clock of the
// reporter may or may not have been stepped together with the dispatcher's. Of the two possible results, the later one that
// is not in the future applies, because an error in that direction is safer: a worker that seems younger than it is gets too
// little work for a while, one that seems older gets too much. If both are in the future, ToMonotonic returns now.
func (c WallClock) ToMonotonic(epoch, now float64) float64 {
	startedAt := math.Inf(-1)
	for _, offset := range [...]float64{c.OffsetAtStart, c.OffsetNow} {
		candidate := epoch - offset
		if candidate <= now {
			startedAt = math.Max(startedAt, candidate)
		}
	}
	if math.IsInf(startedAt, -1) {
		return now
	}
	return startedAt
}

// Bounds returns the earliest and the latest time on the dispatcher's clock at which a worker started that reports its start
// in seconds since 1970, whether or not the clock of the reporter was stepped together with the dispatcher's.
func (c WallClock) Bounds(epoch float64) (earliest, latest float64) {
	fromStart, fromNow := epoch-c.OffsetAtStart, epoch-c.OffsetNow
	return math.Min(fromStart, fromNow) - maxClockSkew, math.Max(fromStart, fromNow) + maxClockSkew
}

// startHistory holds the starts of a worker before the latest one, and when the latest one was reported.
type startHistory struct {
	startReported    bool    // a start was reported, possibly without a time
	latestReportedAt float64 // when the latest start was first reported
	earlier          [maxEarlierStarts]float64
	earlierCount     int // starts written to earlier, which is a ring buffer
}

// recordStart records a reported start, and reports whether it differs from the known ones. epoch is in seconds since 1970;
// startedAt is the same on the dispatcher's clock. If it is in the future, or more than maxClockSkew earlier than the report
// of the previous start or notBefore, the reporting clock is wrong, and the start is recorded as now.
func (w *Worker) recordStart(epoch, startedAt, notBefore, now float64) bool {
	history := &w.startHistory
	if epoch <= 0 || epoch == w.StartEpoch || history.contains(epoch) {
		if !history.startReported {
			history.startReported = true
			history.latestReportedAt = now
		}
		return false
	}
	if w.StartEpoch != 0 {
		history.earlier[history.earlierCount%maxEarlierStarts] = w.StartEpoch
		history.earlierCount++
	}
	if history.startReported {
		notBefore = math.Max(notBefore, history.latestReportedAt)
	}
	if startedAt < notBefore-maxClockSkew || startedAt > now {
		startedAt = now
	}
	w.StartEpoch = epoch
	w.StartedAt = math.Max(startedAt, math.Min(notBefore, now))
	history.startReported = true
	history.latestReportedAt = now
	return true
}

// contains reports whether a start is one of the stored earlier ones.
func (h *startHistory) contains(epoch float64) bool {
	for _, earlier := range h.earlier[:min(h.earlierCount, maxEarlierStarts)] {
		if earlier == epoch {
			return true
		}
	}
	return false
}
