package control

import (
	"math"
	"slices"
)

// worker is one worker as this dispatcher knows it.
type worker struct {
	WorkerInfo
	index            int     // of its replicas in the models' lists
	goneAt           Seconds // since when it is not listed, +Inf where it is
	ledger           workLedger
	report           loadReport
	outlier          outlierDetector
	outlierByClass   []outlierDetector // by traffic class
	nextWarmupTurnAt Seconds           // the next attempt fits the slow start budget then, -Inf where no turn is drawn
	loadBackoffUntil Seconds           // no new load before then: the worker rejected one
	score            placementScore
}

// placementScore is scratch space of the placement that is under way.
type placementScore struct {
	cost        Seconds // until the request would be answered, +Inf where it can't be placed here
	rank        uint64  // order among the preferred workers of the model, shared by all dispatchers
	loaded      bool    // a loaded replica is assumed here
	preferredAt uint64  // number of the last placement that had it among the preferred workers
}

// forgetHistory discards what was learned of a worker that has restarted: it holds no models and has yet to fail.
func (w *worker) forgetHistory() {
	clear(w.outlierByClass)
	w.outlier = outlierDetector{}
	w.nextWarmupTurnAt = math.Inf(-1)
	w.ledger.abandoned = 0
}

// workerSet holds the workers that are listed, and for a while those that are no longer.
type workerSet struct {
	all         []*worker // in the order in which they appeared
	byID        map[WorkerID]*worker
	freeIndexes []int // indexes of workers that were dropped
	nextIndex   int   // indexes assigned so far

	ready, ejected int // counted by recount
}

// add adds a worker that was listed for the first time.
func (s *workerSet) add(info WorkerInfo, trafficClasses int) *worker {
	added := &worker{
		WorkerInfo:       info,
		index:            s.allocIndex(),
		goneAt:           math.Inf(1),
		report:           loadReport{receivedAt: math.Inf(-1)},
		outlierByClass:   make([]outlierDetector, trafficClasses),
		nextWarmupTurnAt: math.Inf(-1),
	}
	s.byID[info.ID] = added
	s.all = append(s.all, added)
	return added
}

// remove drops the worker at a position of all; its index is reused.
func (s *workerSet) remove(position int) {
	removed := s.all[position]
	s.all = slices.Delete(s.all, position, position+1)
	delete(s.byID, removed.ID)
	s.freeIndexes = append(s.freeIndexes, removed.index)
}

// allocIndex returns an index for a new worker. Indexes stay small, as each model has a list as long as the largest.
func (s *workerSet) allocIndex() int {
	if n := len(s.freeIndexes); n > 0 {
		index := s.freeIndexes[n-1]
		s.freeIndexes = s.freeIndexes[:n-1]
		return index
	}
	s.nextIndex++
	return s.nextIndex - 1
}

// recount counts the workers listed as ready, and those ejected.
func (s *workerSet) recount() {
	s.ready, s.ejected = 0, 0
	for _, w := range s.all {
		if w.State == Ready {
			s.ready++
		}
		if w.outlier.ejected {
			s.ejected++
		}
	}
}

// mostEjected reports whether more than half of the workers are ejected: the cause is shared then, and no worker an outlier.
func (s *workerSet) mostEjected() bool { return 2*s.ejected > s.ready }
