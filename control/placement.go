package control

import (
	"cmp"
	"math"
	"slices"
)

const (
	fleetConcurrency    = 24.0 // attempts of all dispatchers in flight at a worker: 12 idled quick workers, 36 was no better
	minConcurrency      = 4.0  // own attempts any worker may have in flight: peers' fall by chance; 1 lost with many of them
	lowPriorityFraction = 0.25 // of that limit for requests of little value by now; 0.5 lost in retry storms
	preemptAge          = 0.25 // of the latency objective: how much younger a held request must be to preempt another
	tieBand             = 3.0  // load times: costs nearer than that are ties; 1 lost where loads are scarce, 8 too
	loadedTieBand       = 2.0  // run times: costs of warm replicas nearer than that are ties
	parallelLoads       = 4.0  // loads a worker performs in parallel, which is not reported: 2 idled it, 1 lost
	workerSlots         = 10.0 // requests a worker runs together, slowed; 4 shed many
	triedPenalty        = 1e6  // s added to the cost of a worker that was tried: it is chosen only if there is no other
)

// Flags of the rank of a candidate among ties, above the bits of its hash.
const (
	rankLoaded      = 1 << 63 // a warm replica before any cold one, also where it has to be waited for
	rankHasCapacity = 1 << 62
)

// placement is the state that one search for a worker leaves for the next steps, and for the next search.
type placement struct {
	candidates        []*worker // workers that may receive the request; the preferred ones first, in order, after markPreferred
	number            uint64    // searches so far
	admittingFraction float64   // share of the ready workers that the last search found admitting
}

// place finds a replica for a request: in an open group, or in a new one; or it holds the request until there is one.
func (d *Dispatcher) place(req *request) {
	if joined := d.joinCohort(req); joined != nil {
		joined.cohort.size++
		if joined.loading {
			d.hold(req, joined)
		} else {
			d.dispatch(req, joined)
		}
		return
	}
	switch target := d.leastLoaded(req, false); {
	case target == nil && req.inFlight == 0 && (req.tooLate || req.noneAllowed && req.attempted > 0):
		d.giveUp(req)
	case target == nil || d.probeCandidates(req):
		d.hold(req, nil)
	default:
		target.startCohort(d.now)
		d.dispatch(req, target)
	}
}

// joinCohort returns the replica whose open group a request may join, nil if there is none: the group is below its
// limit, and own work queued there takes less than a load would. Of several, the one with least own work is returned.
func (d *Dispatcher) joinCohort(req *request) *replica {
	var best *replica
	for _, open := range req.model.listOpenReplicas() {
		if open.cohort.size >= maxCohortSize {
			continue
		}
		on := open.worker
		wait := d.updateQueuedWork(on) + float64(open.held)*req.model.runTime
		if req.tried(on) || wait >= req.model.loadTime || !d.accepts(req, on) ||
			d.now+wait/workerSlots+math.Min(req.model.runTime, req.objective)/2 > req.deadline {
			continue
		}
		if best == nil || on.ledger.queued < best.worker.ledger.queued {
			best = open
		}
	}
	return best
}

// accepts reports whether a worker may receive an attempt of a request now.
func (d *Dispatcher) accepts(req *request, target *worker) bool {
	return d.allowed(req, target) && d.admits(req, target) && d.hasCapacity(req, target)
}

// hasCapacity reports whether a worker is under its concurrency limit for a request.
func (d *Dispatcher) hasCapacity(req *request, target *worker) bool {
	return target.ledger.concurrency(d.now, d.runTime) < d.concurrencyLimit(req)
}

// concurrencyLimit returns how many own attempts a worker may have in flight. Requests that can't meet their latency
// objective any more, or exceed their tenant's quota, leave part of it to the others.
func (d *Dispatcher) concurrencyLimit(req *request) float64 {
	limit := max(minConcurrency, fleetConcurrency/d.dispatchers)
	if req.overQuota || req.clientRetry || d.now+req.model.runTime > req.arrivedAt+req.objective {
		limit *= lowPriorityFraction
	}
	return limit
}

// leastLoaded returns the replica with the least work before it, its load included; nil where the request has to wait.
// With warmOnly it considers warm replicas only.
func (d *Dispatcher) leastLoaded(req *request, warmOnly bool) *replica {
	backingOff, timely := d.scoreQueues(req)
	d.markPreferred(req.model)
	best := d.cheapest(req, d.scoreLoads(req, warmOnly))
	req.tooLate = req.tooLate && best == nil && !backingOff
	if best == nil || !d.hasCapacity(req, best) || req.attempted == 0 && d.loadBackingOff(req.model, best) {
		if timely {
			d.held.noteTimely(req)
		}
		return nil
	}
	return req.model.replica(best)
}

// loadBackingOff reports whether a worker would need a load that it, or the model's last load order there, has rejected.
// Such a worker is waited for: if its models were loaded elsewhere they would be loaded twice and evict others, and the
// fleet would have more to load than before. That harms where a worker stays without capacity for long.
func (d *Dispatcher) loadBackingOff(requested *model, on *worker) bool {
	return !on.score.loaded && (requested.replicaIfKnown(on).loadRequestBackoffUntil > d.now || on.loadBackoffUntil > d.now)
}

// scoreQueues sets each worker's cost: the time a request would wait and run there without a load, +Inf where it may not
// be sent now. It reports whether some worker is merely backing off, and whether one would meet the latency objective.
func (d *Dispatcher) scoreQueues(req *request) (backingOff, timely bool) {
	requested, objectiveAt, latest := req.model, req.arrivedAt+req.objective, req.deadline
	d.placement.candidates = d.placement.candidates[:0]
	req.tooLate, req.noneAllowed = false, true
	if d.held.shouldPreempt(req, d.now) {
		latest = math.Min(latest, objectiveAt)
	}
	admitting := 0.0
	for _, candidate := range d.workers.all {
		candidate.score.cost = math.Inf(1)
		if !d.allowed(req, candidate) {
			continue
		}
		req.noneAllowed = false
		queue := d.updateQueuedWork(candidate)
		end := d.now + queue/workerSlots + min(requested.runTime, req.objective)/2
		timely = timely || end <= objectiveAt
		late := end > latest
		if admits := d.admits(req, candidate); !admits || late {
			backingOff = backingOff || !admits
			req.tooLate = req.tooLate || late
			continue
		}
		admitting++
		candidate.score.cost = (queue + requested.runTime) / d.slowStart.capacityFraction(d.now, candidate.StartedAt)
		// A quick error must not make a worker appear idle: its failures count as work to be repeated.
		failureRate := max(candidate.outlier.failureRate, candidate.outlierByClass[req.trafficClass].failureRate)
		candidate.score.cost += failureRate * (requested.loadTime + req.objective)
		if req.tried(candidate) {
			candidate.score.cost += triedPenalty
		}
		candidate.score.rank = preferenceRank(requested.id, candidate.ID)
		d.placement.candidates = append(d.placement.candidates, candidate)
	}
	d.placement.admittingFraction = math.Min(1, math.Max(admitting, 1)/math.Max(1, float64(d.workers.ready)))
	return backingOff, timely
}

// preferenceRank orders the workers of a model, the preferred one highest. All dispatchers compute the same: they agree
// without gossip where a model is loaded, and return to where a replica may still be.
func preferenceRank(requested ModelID, on WorkerID) uint64 {
	return hash(uint64(requested)*0x9e3779b97f4a7c15 ^ uint64(on))
}

// markPreferred marks the candidates that all dispatchers prefer for a model that should be loaded on several workers.
func (d *Dispatcher) markPreferred(requested *model) {
	scratch := &d.placement
	if d.sparseTraffic {
		scratch.candidates = topRanked(scratch.candidates, max(requested.preferred, probesPerPlacement))
	}
	scratch.number++
	if requested.preferred > 1 {
		for _, w := range scratch.candidates[:min(len(scratch.candidates), requested.preferred)] {
			w.score.preferredAt = scratch.number
		}
	}
}

// scoreLoads adds a load to the cost of workers without a warm replica, and returns the lowest cost. Loads run beside the
// work of warm replicas: those pending delay only another load.
func (d *Dispatcher) scoreLoads(req *request, warmOnly bool) Seconds {
	requested, lowest := req.model, math.Inf(1)
	for _, candidate := range d.workers.all {
		if candidate.score.cost > math.MaxFloat64 {
			continue
		}
		candidate.score.loaded = requested.replicaIfKnown(candidate).isLoaded(d.now) || candidate.score.preferredAt == d.placement.number
		if !candidate.score.loaded {
			candidate.score.cost += requested.loadTime
			if warmOnly || d.now+candidate.ledger.pendingLoads/parallelLoads > req.deadline {
				candidate.score.cost = math.Inf(1)
			}
		}
		lowest = min(lowest, candidate.score.cost)
	}
	return lowest
}

// cheapest returns the best of the workers whose costs are too near the lowest to be distinguished, nil if there is none.
func (d *Dispatcher) cheapest(req *request, lowest Seconds) *worker {
	var best *worker
	requested, limit, highest := req.model, d.concurrencyLimit(req), uint64(0)
	band := lowest + tieBand*requested.loadTime
	for _, candidate := range d.workers.all {
		if candidate.score.cost > band || candidate.score.cost > math.MaxFloat64 {
			continue
		}
		rank := candidate.score.rank >> 2
		if candidate.score.loaded {
			if d.sparseTraffic { // by cost, ties by chance: peers see the same load reports
				rank = uint64(1e18 / (1 + candidate.score.cost + loadedTieBand*requested.runTime*d.rnd.float()))
			}
			rank |= rankLoaded
		}
		if candidate.ledger.concurrency(d.now, d.runTime) < limit {
			rank |= rankHasCapacity
		}
		if best == nil || rank > highest {
			best, highest = candidate, rank
		}
	}
	return best
}

// topRanked returns the count workers of highest rank, and maybe some more, the highest first. Ranks are hashes: of a long
// list, only the workers above the rank that about twice as many should exceed are sorted.
func topRanked(list []*worker, count int) []*worker {
	if expected := 2*count + 16; len(list) > 2*expected {
		threshold := ^uint64(0) / uint64(len(list)) * uint64(len(list)-expected)
		above := 0
		for i, w := range list {
			if w.score.rank >= threshold {
				list[i], list[above] = list[above], w
				above++
			}
		}
		if above >= count {
			list = list[:above]
		}
	}
	slices.SortFunc(list, func(a, b *worker) int { return cmp.Compare(b.score.rank, a.score.rank) })
	return list
}

// dispatch wants an attempt at a replica and reserves it in the ledgers.
func (d *Dispatcher) dispatch(req *request, target *replica) {
	on, requested := target.worker, req.model
	added := &req.attempts[req.attempted]
	*added = attempt{
		worker:       on,
		sentAt:       d.now,
		runTime:      requested.runTime,
		expected:     on.ledger.queued + requested.runTime,
		cohortNumber: target.cohort.number,
	}
	if !target.isLoaded(d.now) {
		added.loading = true
		added.expected = added.expected + requested.loadTime + on.ledger.pendingLoads
	}
	req.attempted++
	req.inFlight++
	req.state = stateAttempt
	d.outbox.addRequest(req)
	d.updateQueuedWork(on)
	on.ledger.reserve(added)
	target.reserve()
	d.chargeAdmission(req, on)
}

// retractAttempt takes back the latest attempt, which has not been sent yet.
func (d *Dispatcher) retractAttempt(req *request) {
	unsent := req.latestAttempt()
	req.attempted--
	req.releaseAttempt(unsent, req.model.replica(unsent.worker))
}
