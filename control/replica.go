package control

import (
	"cmp"
	"math"
	"slices"
)

const maxCohortSize = 8 // requests ever in one open group, as in the paper; 5 and 16 changed nothing at any site

// cohort is a batch of requests that share one replica. It is open while some of them are unanswered and few have joined.
type cohort struct {
	number      uint32 // of the newest group of the replica
	outstanding int
	size        int // requests ever in it
}

// replica is what this dispatcher knows of one model on one worker, whether or not it is loaded there. It is created with
// the first group and stays in place, as requests and load requests point to it.
type replica struct {
	worker                  *worker
	model                   *model
	loadedUntil             Seconds // assumed to be loaded until then
	loadRequestBackoffUntil Seconds // no load request before then: one found no capacity
	cohort                  cohort
	listed                  bool // listed in its model's openReplicas
	held                    int  // requests held for its first response or for a load request
	inFlight                int  // own attempts for the model on the worker

	loading   bool    // the first response of a cold group is outstanding
	loadCost  Seconds // what the ledger reserves for that load
	startedAt Seconds // when the load request was sent, or the cold group opened

	loadRequestSent      bool // a load request is in flight
	loadRequestScheduled bool // a load request is to be sent
}

// isOpen reports whether requests are unanswered or held at the replica.
func (r *replica) isOpen() bool { return r.cohort.outstanding+r.held > 0 }

// loadRequested reports whether a load request is in flight or to be sent.
func (r *replica) loadRequested() bool { return r.loadRequestSent || r.loadRequestScheduled }

// isLoaded reports whether the model is assumed to be loaded.
func (r *replica) isLoaded(now Seconds) bool { return r.loadedUntil >= now }

// markNotLoaded records that the model is not loaded.
func (r *replica) markNotLoaded() { r.loadedUntil = math.Inf(-1) }

// startCohort starts a new group with one member, and a load where the replica is cold.
func (r *replica) startCohort(now Seconds) {
	r.cohort = cohort{number: r.cohort.number + 1, size: 1}
	if !r.isLoaded(now) && !r.loading {
		r.loading = true
		r.startedAt = now
		r.loadCost = r.model.loadTime
		r.worker.ledger.pendingLoads += r.loadCost
	}
}

// finishLoad records that the first response of a cold group has come, or is not awaited any more.
func (r *replica) finishLoad() {
	if r.loading {
		r.loading = false
		r.worker.ledger.pendingLoads = math.Max(0, r.worker.ledger.pendingLoads-r.loadCost)
	}
}

// reserve enters an attempt.
func (r *replica) reserve() {
	r.cohort.outstanding++
	r.inFlight++
	r.model.listOpen(r)
}

// release takes out an attempt. One of an earlier group leaves the count of the newest alone.
func (r *replica) release(a *attempt) {
	r.inFlight--
	if a.cohortNumber == r.cohort.number && r.cohort.outstanding > 0 {
		r.cohort.outstanding--
	}
}

// unknownReplica is read in place of a replica of which nothing is known.
var unknownReplica = replica{loadedUntil: math.Inf(-1)}

// replica returns the record of the model on a worker, creating it where there is none.
func (m *model) replica(on *worker) *replica {
	for len(m.replicas) <= on.index {
		m.replicas = append(m.replicas, nil)
	}
	if m.replicas[on.index] == nil {
		m.replicas[on.index] = &replica{worker: on, model: m, loadedUntil: math.Inf(-1)}
	}
	return m.replicas[on.index]
}

// replicaIfKnown returns the record of the model on a worker for reading only: unknownReplica where there is none.
func (m *model) replicaIfKnown(on *worker) *replica {
	if on.index < len(m.replicas) && m.replicas[on.index] != nil {
		return m.replicas[on.index]
	}
	return &unknownReplica
}

// dropReplica forgets the record of the model on a worker.
func (m *model) dropReplica(on *worker) {
	if on.index >= len(m.replicas) {
		return
	}
	m.openReplicas = slices.DeleteFunc(m.openReplicas, func(open *replica) bool { return open.worker == on })
	m.replicas[on.index] = nil
}

// listOpen adds a replica to openReplicas, if it is not listed there.
func (m *model) listOpen(opened *replica) {
	if opened.listed {
		return
	}
	opened.listed = true
	i, _ := slices.BinarySearchFunc(m.openReplicas, opened, func(a, b *replica) int {
		return cmp.Compare(a.worker.index, b.worker.index)
	})
	m.openReplicas = slices.Insert(m.openReplicas, i, opened)
}

// listOpenReplicas returns the open replicas, in order of worker indexes: few, however many workers there are. Those that
// are no longer open are taken off the list on this occasion.
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
