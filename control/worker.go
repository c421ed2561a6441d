package control

import (
	"math"
	"slices"
)

// worker is the record of one worker.
type worker struct {
	WorkerInfo
	index            int     // index of its replica in model.replicas
	goneAt           Seconds // when it was first seen as gone, +Inf while it is listed
	ledger           workLedger
	report           loadReport
	outlier          outlierDetector
	outlierByClass   []outlierDetector // by traffic class
	nextWarmupSlotAt Seconds           // when slow start allows the next attempt, -Inf if no time is drawn
	loadBackoffUntil Seconds           // end of the backoff after the worker rejected a load
	rejections       rejectionCounts
	concurrency      concurrencyLimiter
	score            placementScore
	unidentified     bool         // an attempt may reach another process than that of the entry
	lease            *workerLease // stored separately, as placements visit all workers and read it only while discovery is unavailable
}

// rejectionCounts counts the rejections by a worker and the backoffs that followed, for operators.
type rejectionCounts struct {
	total           uint64  // attempts that the worker rejected for lack of capacity
	withOwnInFlight uint64  // those of them that were rejected while other own attempts were in flight at the worker
	backoffTotal    Seconds // total length of all backoffs, with overlaps counted once
}

// countRejection counts a rejection of an attempt that is no longer in flight, and the backoff after it.
func (w *worker) countRejection(now, backoffUntil Seconds) {
	w.rejections.total++
	if w.ledger.inFlight > 0 {
		w.rejections.withOwnInFlight++
	}
	w.rejections.backoffTotal += backoffUntil - math.Max(now, math.Min(w.backoffUntil(), backoffUntil))
}

// backoffUntil returns when the latest backoff after rejections ends: of the worker, of one traffic class there, or of loads.
func (w *worker) backoffUntil() Seconds {
	latest := math.Max(w.outlier.backoffUntil, w.loadBackoffUntil)
	for i := range w.outlierByClass {
		latest = math.Max(latest, w.outlierByClass[i].backoffUntil)
	}
	return latest
}

// placementScore is the worker's result in the latest search for a replica.
type placementScore struct {
	cost              Seconds // time until the request would be served, +Inf if it can't be sent here
	rank              uint64  // preferenceRank of the worker for the model
	loaded            bool    // the model is assumed to be loaded here, or should be
	preferredInSearch uint64  // number of the latest search in which this worker was preferred
}

// resetHistory discards the recorded outcomes of attempts at a worker that has restarted.
func (w *worker) resetHistory() {
	clear(w.outlierByClass)
	w.outlier = outlierDetector{}
	w.nextWarmupSlotAt = math.Inf(-1)
	w.concurrency = concurrencyLimiter{}
	w.ledger.abandoned = 0
}

// workerSet holds the listed workers, and those that are gone until they are evicted.
type workerSet struct {
	all         []*worker // in the order in which they were first listed
	byID        map[WorkerID]*worker
	freeIndexes []int // indexes of removed workers, for reuse
	nextIndex   int   // lowest index that was never assigned

	ready, ejected int // counted by recount
}

// add adds a worker that is listed for the first time.
func (s *workerSet) add(info WorkerInfo, trafficClasses int) *worker {
	added := &worker{
		WorkerInfo:       info,
		index:            s.allocIndex(),
		goneAt:           math.Inf(1),
		report:           loadReport{receivedAt: math.Inf(-1)},
		outlierByClass:   make([]outlierDetector, trafficClasses),
		nextWarmupSlotAt: math.Inf(-1),
		lease:            newWorkerLease(),
	}
	s.byID[info.ID] = added
	s.all = append(s.all, added)
	return added
}

// remove removes the worker at a position of all.
func (s *workerSet) remove(position int) {
	removed := s.all[position]
	s.all = slices.Delete(s.all, position, position+1)
	delete(s.byID, removed.ID)
	s.freeIndexes = append(s.freeIndexes, removed.index)
}

// allocIndex returns an index for a new worker. Indexes are reused, as each model has a slice as long as the largest index.
func (s *workerSet) allocIndex() int {
	if n := len(s.freeIndexes); n > 0 {
		index := s.freeIndexes[n-1]
		s.freeIndexes = s.freeIndexes[:n-1]
		return index
	}
	s.nextIndex++
	return s.nextIndex - 1
}

// recount counts the workers listed as ready, and those of them that are ejected.
func (s *workerSet) recount() {
	s.ready = 0
	s.ejected = 0
	for _, w := range s.all {
		if w.State != Ready {
			continue
		}
		s.ready++
		if w.outlier.ejected {
			s.ejected++
		}
	}
}

// mostEjected reports whether more than half of the ready workers are ejected. They then probably fail for a common reason and are
// not outliers.
func (s *workerSet) mostEjected() bool { return 2*s.ejected > s.ready }
