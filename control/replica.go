package control

import (
	"cmp"
	"math"
	"slices"
)

const maxCohortSize = 8 // requests that may join one cohort in all, as in the paper that docs/design.md cites

// cohort is a set of requests for one model that are sent to one replica, an "open group" in docs/design.md. Requests may
// join it while some of its attempts are outstanding and it is smaller than maxCohortSize.
type cohort struct {
	number      uint32 // counts the cohorts of the replica
	outstanding int    // attempts in flight
	size        int    // requests that ever joined
}

// replica is the record of one model on one worker, whether or not it is loaded there. It is created on first use and is
// not moved or copied, as requests and load requests point to it.
type replica struct {
	worker                  *worker
	model                   *model
	loadedUntil             Seconds // the model is assumed to be loaded until then
	loadRequestBackoffUntil Seconds // no load request before then, as one failed
	cohort                  cohort  // the newest cohort
	listed                  bool    // listed in its model's openReplicas
	queued                  int     // requests that are queued until it is loaded
	inFlight                int     // own attempts for the model on the worker

	loading          bool    // a load that an attempt started is outstanding
	reservedLoadTime Seconds // part of the ledger's pendingLoads for that load
	startedAt        Seconds // when the load request was sent or that attempt was scheduled

	loadRequestSent      bool // a load request is in flight
	loadRequestScheduled bool // the next Reconcile is to send a load request
}

// isOpen reports whether attempts are outstanding at the replica or requests are queued for it.
func (r *replica) isOpen() bool { return r.cohort.outstanding+r.queued > 0 }

// loadRequested reports whether a load request is in flight or scheduled.
func (r *replica) loadRequested() bool { return r.loadRequestSent || r.loadRequestScheduled }

// isLoaded reports whether the model is assumed to be loaded.
func (r *replica) isLoaded(now Seconds) bool { return r.loadedUntil >= now }

// markNotLoaded records that the model is not loaded.
func (r *replica) markNotLoaded() { r.loadedUntil = math.Inf(-1) }

// startCohort starts a new cohort with one request, and records the load that the request starts if the model is not loaded.
func (r *replica) startCohort(now Seconds) {
	r.cohort = cohort{number: r.cohort.number + 1, size: 1}
	if !r.isLoaded(now) && !r.loading {
		r.loading = true
		r.startedAt = now
		r.reservedLoadTime = r.model.loadTime
		r.worker.ledger.pendingLoads += r.reservedLoadTime
	}
}

// finishLoad records that the load that an attempt started has ended or is no longer expected to end.
func (r *replica) finishLoad() {
	if r.loading {
		r.loading = false
		r.worker.ledger.pendingLoads = math.Max(0, r.worker.ledger.pendingLoads-r.reservedLoadTime)
	}
}

// reserve adds an attempt.
func (r *replica) reserve() {
	r.cohort.outstanding++
	r.inFlight++
	r.model.addOpenReplica(r)
}

// release removes an attempt. An attempt of an earlier cohort does not change the newest cohort.
func (r *replica) release(a *attempt) {
	r.inFlight--
	if a.cohortNumber == r.cohort.number && r.cohort.outstanding > 0 {
		r.cohort.outstanding--
	}
}

// unknownReplica stands for replicas without a record. It must not be modified.
var unknownReplica = replica{loadedUntil: math.Inf(-1)}

// replica returns the record of the model on a worker, and creates it if there is none.
func (m *model) replica(w *worker) *replica {
	for len(m.replicas) <= w.index {
		m.replicas = append(m.replicas, nil)
	}
	if m.replicas[w.index] == nil {
		m.replicas[w.index] = &replica{worker: w, model: m, loadedUntil: math.Inf(-1)}
	}
	return m.replicas[w.index]
}

// replicaIfKnown returns the record of the model on a worker, unknownReplica if there is none. Callers must not modify it.
func (m *model) replicaIfKnown(w *worker) *replica {
	if w.index < len(m.replicas) && m.replicas[w.index] != nil {
		return m.replicas[w.index]
	}
	return &unknownReplica
}

// dropReplica removes the record of the model on a worker.
func (m *model) dropReplica(w *worker) {
	if w.index >= len(m.replicas) {
		return
	}
	m.openReplicas = slices.DeleteFunc(m.openReplicas, func(open *replica) bool { return open.worker == w })
	m.replicas[w.index] = nil
}

// addOpenReplica adds a replica to openReplicas unless it is already listed.
func (m *model) addOpenReplica(opened *replica) {
	if opened.listed {
		return
	}
	opened.listed = true
	i, _ := slices.BinarySearchFunc(m.openReplicas, opened, func(a, b *replica) int {
		return cmp.Compare(a.worker.index, b.worker.index)
	})
	m.openReplicas = slices.Insert(m.openReplicas, i, opened)
}

// listOpenReplicas removes replicas that are no longer open from openReplicas, and returns the list, sorted by worker index.
// The list stays short even with many workers.
func (m *model) listOpenReplicas() []*replica {
	open := 0
	for _, listed := range m.openReplicas {
		listed.listed = listed.isOpen()
		if listed.listed {
			m.openReplicas[open] = listed
			open++
		}
	}
	clear(m.openReplicas[open:])
	m.openReplicas = m.openReplicas[:open]
	return m.openReplicas
}
