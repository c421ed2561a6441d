package control

import (
	"cmp"
	"math"
	"slices"
)

const maxCohortSize = 8 // requests that ever join one cohort, as in the paper of docs/design.md; 5 and 16 scored the same in the lab

// cohort is a set of requests for one model that are sent to one replica, an "open group" in docs/design.md. Requests may
// join it while some of its attempts are outstanding and it is smaller than maxCohortSize.
type cohort struct {
	number      uint32 // counts the cohorts of the replica
	outstanding int    // attempts in flight
	size        int    // requests that ever joined
}

// replica is what this dispatcher knows of one model on one worker, whether or not it is loaded there. It is created on
// first use and not moved or copied, as requests and load requests point to it.
type replica struct {
	worker                  *worker
	model                   *model
	loadedUntil             Seconds // the model is assumed to be loaded until then
	loadRequestBackoffUntil Seconds // no load request before then, as one failed
	cohort                  cohort  // the newest one
	listed                  bool    // listed in its model's openReplicas
	held                    int     // requests held until it is loaded
	inFlight                int     // own attempts for the model on the worker

	loading   bool    // a load that an attempt started is outstanding
	loadCost  Seconds // what the ledger reserves for that load
	startedAt Seconds // when the load request was sent, or that attempt was scheduled

	loadRequestSent      bool // a load request is in flight
	loadRequestScheduled bool // the next Reconcile is to send a load request
}

// isOpen reports whether attempts are outstanding at the replica or requests are held for it.
func (r *replica) isOpen() bool { return r.cohort.outstanding+r.held > 0 }

// loadRequested reports whether a load request is in flight or scheduled.
func (r *replica) loadRequested() bool { return r.loadRequestSent || r.loadRequestScheduled }

// isLoaded reports whether the model is assumed to be loaded.
func (r *replica) isLoaded(now Seconds) bool { return r.loadedUntil >= now }

// markNotLoaded records that the model is not loaded.
func (r *replica) markNotLoaded() { r.loadedUntil = math.Inf(-1) }

// startCohort starts a new cohort with one request, which starts a load if the model is not loaded.
func (r *replica) startCohort(now Seconds) {
	r.cohort = cohort{number: r.cohort.number + 1, size: 1}
	if !r.isLoaded(now) && !r.loading {
		r.loading = true
		r.startedAt = now
		r.loadCost = r.model.loadTime
		r.worker.ledger.pendingLoads += r.loadCost
	}
}

// finishLoad records that the load that an attempt started has ended, or is no longer expected to.
func (r *replica) finishLoad() {
	if r.loading {
		r.loading = false
		r.worker.ledger.pendingLoads = math.Max(0, r.worker.ledger.pendingLoads-r.loadCost)
	}
}

// reserve adds an attempt.
func (r *replica) reserve() {
	r.cohort.outstanding++
	r.inFlight++
	r.model.listOpen(r)
}

// release removes an attempt. One of an earlier cohort does not change the newest one.
func (r *replica) release(a *attempt) {
	r.inFlight--
	if a.cohortNumber == r.cohort.number && r.cohort.outstanding > 0 {
		r.cohort.outstanding--
	}
}

// unknownReplica stands for a replica without a record. It is never written.
var unknownReplica = replica{loadedUntil: math.Inf(-1)}

// replica returns the record of the model on a worker, and creates it if there is none.
func (m *model) replica(host *worker) *replica {
	for len(m.replicas) <= host.index {
		m.replicas = append(m.replicas, nil)
	}
	if m.replicas[host.index] == nil {
		m.replicas[host.index] = &replica{worker: host, model: m, loadedUntil: math.Inf(-1)}
	}
	return m.replicas[host.index]
}

// replicaIfKnown returns the record of the model on a worker, unknownReplica if there is none. It is for reading only.
func (m *model) replicaIfKnown(host *worker) *replica {
	if host.index < len(m.replicas) && m.replicas[host.index] != nil {
		return m.replicas[host.index]
	}
	return &unknownReplica
}

// dropReplica removes the record of the model on a worker.
func (m *model) dropReplica(host *worker) {
	if host.index >= len(m.replicas) {
		return
	}
	m.openReplicas = slices.DeleteFunc(m.openReplicas, func(open *replica) bool { return open.worker == host })
	m.replicas[host.index] = nil
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

// listOpenReplicas returns the open replicas by worker index, after it has removed from the list those that are no longer
// open. It is short, however many workers there are.
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
