package control

import (
	"cmp"
	"math"
	"slices"
)

const (
	maxWorkerConcurrency = 24.0 // attempts of all dispatchers in flight at one worker; fewer leave fast workers idle, more only queue there
	minConcurrency       = 4.0  // lowest limit on own attempts in flight at a worker; an equal share of many dispatchers would be about one
	lowPriorityFraction  = 0.25 // of the concurrency limit, for late requests, client retries and requests over quota; others keep capacity in retry storms
	preemptAgeFraction   = 0.25 // fraction of the latency objective by which a queued request must be younger than another to preempt it
	tieBand              = 3.0  // load times above the lowest cost within which costs are ties; narrow bands cause loads, wide ones long queues
	loadedCostJitter     = 2.0  // run times; largest jitter added to the cost of a loaded replica under sparse traffic
	parallelLoads        = 4.0  // loads that a worker is assumed to perform in parallel; fewer leave workers idle
	parallelRequests     = 10.0 // requests that a worker is assumed to run at once, if slowly; a lower estimate sheds many requests
	triedPenalty         = 1e6  // s, added to the cost of a worker that was tried, so that it is chosen only if there is no other
)

// Flags of the rank of a candidate among ties, above the bits that hold its hash or its cost.
const (
	rankLoaded      = 1 << 63 // a loaded replica ranks before any other, even if the request has to wait for it
	rankHasCapacity = 1 << 62 // the worker is under its concurrency limit
)

// replicaFilter says which replicas a search considers.
type replicaFilter uint8

const (
	anyReplicas    replicaFilter = iota // all replicas, also those that are not loaded
	loadedReplicas                      // loaded replicas only
)

// placement is the state of the latest search for a worker, shared by the steps of that search. The next search also reads
// admittingFraction.
type placement struct {
	candidates        []*worker // workers that may receive the request; markPreferred moves the preferred ones to the front
	number            uint64    // number of this search
	admittingFraction float64   // fraction of the ready workers that admitted the request
}

// place schedules an attempt of a request at a replica, in its open cohort or a new one. If no replica may receive it now,
// the request is queued, or it is shed or failed if no replica could serve it in time.
func (d *Dispatcher) place(req *request) {
	joined := d.joinCohort(req)
	if joined != nil {
		joined.cohort.size++
		if joined.loading {
			d.enqueue(req, joined)
		} else {
			d.dispatch(req, joined)
		}
		return
	}
	target := d.chooseReplica(req, anyReplicas)
	unservable := req.tooLate || req.noneAllowed && req.attempted > 0
	switch {
	case target == nil && req.inFlight == 0 && unservable:
		d.shedOrFail(req)
	case target == nil || d.probeCandidates(req):
		d.enqueue(req, nil)
	default:
		target.startCohort(d.now)
		d.dispatch(req, target)
	}
}

// joinCohort returns the replica whose open cohort a request may join, nil if there is none. Of several, it returns the one
// with the least own work queued.
func (d *Dispatcher) joinCohort(req *request) *replica {
	var best *replica
	for _, open := range req.model.listOpenReplicas() {
		if open.cohort.size >= maxCohortSize || !d.mayJoin(req, open) {
			continue
		}
		if best == nil || open.worker.ledger.queuedWork < best.worker.ledger.queuedWork {
			best = open
		}
	}
	return best
}

// mayJoin reports whether a request may join the cohort of a replica: the wait there must be shorter than a load, and the
// request must be expected to be served by its deadline.
func (d *Dispatcher) mayJoin(req *request, open *replica) bool {
	target := open.worker
	wait := d.updateQueuedWork(target) + float64(float64(open.queued)*req.model.runTime)
	if req.tried(target) || wait >= req.model.loadTime || !d.accepts(req, target) {
		return false
	}
	end := d.now + wait/parallelRequests + float64(math.Min(req.model.runTime, req.objective)/2)
	return !(end > req.deadline)
}

// accepts reports whether a worker may receive an attempt of a request now.
func (d *Dispatcher) accepts(req *request, target *worker) bool {
	return d.allowed(req, target) && d.admits(req, target) && d.hasCapacity(req, target)
}

// hasCapacity reports whether a worker is under its concurrency limit for a request.
func (d *Dispatcher) hasCapacity(req *request, target *worker) bool {
	return target.ledger.concurrency(d.now, d.runTime) < d.concurrencyLimit(req) && d.withinLearnedLimit(target)
}

// withinLearnedLimit reports whether the concurrency limit learned from a worker's rejections allows another attempt.
func (d *Dispatcher) withinLearnedLimit(target *worker) bool {
	return target.concurrency.admits(d.now, target.ledger.occupancy(d.now, d.runTime))
}

// concurrencyLimit returns the number of own attempts in flight below which a worker may receive a request. It is lower for
// requests that can't meet their latency objective, are retries by the client or exceed their tenant's quota.
func (d *Dispatcher) concurrencyLimit(req *request) float64 {
	limit := max(minConcurrency, maxWorkerConcurrency/d.dispatchers)
	isLate := d.now+req.model.runTime > req.arrivedAt+req.objective
	if req.overQuota || req.clientRetry || isLate {
		limit *= lowPriorityFraction
	}
	return limit
}

// chooseReplica returns the replica at which a request should be attempted now, nil if the request has to be queued. Among
// replicas of about the lowest cost, it prefers those that are loaded, then those whose worker has capacity.
func (d *Dispatcher) chooseReplica(req *request, filter replicaFilter) *replica {
	mayAdmitLater, timely := d.scoreQueues(req)
	d.markPreferred(req.model)
	best := d.chooseAmongTies(req, d.scoreLoads(req, filter))
	req.tooLate = req.tooLate && best == nil && !mayAdmitLater
	mustQueue := best == nil || !d.hasCapacity(req, best) || d.awaitsLoadBackoff(req, best)
	if mustQueue {
		if timely {
			d.queue.recordTimely(req)
		}
		return nil
	}
	if !d.leaseValid(best) {
		d.scheduleCheck(best, req.model)
		req.awaitsCheck = true
		return nil
	}
	return req.model.replica(best)
}

// awaitsLoadBackoff reports whether a request stays queued until loads on a worker are no longer paused. A retry does not,
// as it would be queued a second time, unless the worker rejected this request while discovery was unavailable: few workers
// may be left then, and that worker would reject the retries at once until no attempts are left.
func (d *Dispatcher) awaitsLoadBackoff(req *request, target *worker) bool {
	return (req.attempted == 0 || req.rejectedInOutageBy(target)) && d.loadBackingOff(req.model, target)
}

// loadBackingOff reports whether the model is not loaded on a worker and loads there are paused after a rejection. Requests
// are queued for such a worker, as loading its models elsewhere would evict others and cause more loads. The drawback is a
// useless delay if the worker has no capacity for a long time.
func (d *Dispatcher) loadBackingOff(requested *model, target *worker) bool {
	if target.score.loaded {
		return false
	}
	return requested.replicaIfKnown(target).loadRequestBackoffUntil > d.now || target.loadBackoffUntil > d.now
}

// scoreQueues sets each worker's cost: the time that a request would wait and run there without a load, +Inf if it may not
// be sent there now. It returns whether some worker that does not admit the request now may admit it later, and whether some
// worker would meet the request's latency objective.
func (d *Dispatcher) scoreQueues(req *request) (mayAdmitLater, timely bool) {
	requested := req.model
	objectiveAt := req.arrivedAt + req.objective
	latest := req.deadline
	d.placement.candidates = d.placement.candidates[:0]
	req.tooLate = false
	req.noneAllowed = true
	req.awaitsCheck = false
	if d.queue.preempts(req, d.now) {
		latest = math.Min(latest, objectiveAt)
	}
	admitting := 0.0
	listValid := d.listLeaseValid()
	for _, candidate := range d.workers.all {
		candidate.score.cost = math.Inf(1)
		if !d.allowedUnderLease(req, candidate) {
			continue
		}
		if !listValid && !d.leaseValid(candidate) && !d.mayQueueForCheck(req, candidate) {
			obtainable := d.leaseObtainable(req, candidate)
			req.noneAllowed = req.noneAllowed && !obtainable
			req.tooLate = req.tooLate || !obtainable
			mayAdmitLater = mayAdmitLater || obtainable
			continue
		}
		req.noneAllowed = false
		queuedWork := d.updateQueuedWork(candidate)
		end := d.now + queuedWork/parallelRequests + float64(min(requested.runTime, req.objective)/2)
		timely = timely || end <= objectiveAt
		late := end > latest
		admits := d.admits(req, candidate)
		if !admits || late {
			mayAdmitLater = mayAdmitLater || !admits
			req.tooLate = req.tooLate || late
			continue
		}
		admitting++
		candidate.score.cost = d.queueCost(req, candidate, queuedWork)
		candidate.score.rank = preferenceRank(requested.id, candidate.ID)
		d.placement.candidates = append(d.placement.candidates, candidate)
	}
	d.placement.admittingFraction = math.Min(1, math.Max(admitting, 1)/math.Max(1, float64(d.workers.ready)))
	return mayAdmitLater, timely
}

// mayQueueForCheck reports whether a request may be placed at a worker without a lease and be queued until a check renews the
// lease. A request with an attempt in flight is not queued.
func (d *Dispatcher) mayQueueForCheck(req *request, candidate *worker) bool {
	return req.inFlight == 0 && d.mayCheck(candidate)
}

// queueCost returns the time that a request would wait and run at a worker with the given queued work, without a load. It
// increases with the failure rate, as a worker that fails quickly would otherwise appear idle.
func (d *Dispatcher) queueCost(req *request, candidate *worker, queuedWork Seconds) Seconds {
	cost := (queuedWork + req.model.runTime) / d.slowStart.capacityFraction(d.now, d.startedAt(candidate))
	failureRate := max(candidate.outlier.failureRate, candidate.outlierByClass[req.trafficClass].failureRate)
	cost += float64(failureRate * (req.model.loadTime + req.objective))
	if req.tried(candidate) || candidate.loadBackoffUntil > d.now && req.rejectedInOutageBy(candidate) {
		cost += triedPenalty
	}
	return cost
}

// preferenceRank returns the rank of a worker for a model by rendezvous hashing; the most preferred worker has the highest.
// All dispatchers compute the same ranks, so they agree without gossip where to load a model, and return to a worker on
// which it may still be loaded.
func preferenceRank(requested ModelID, candidate WorkerID) uint64 {
	return hash(uint64(requested)*0x9e3779b97f4a7c15 ^ uint64(candidate))
}

// markPreferred marks the highest-ranking candidates for a model that should be loaded on several workers.
func (d *Dispatcher) markPreferred(requested *model) {
	search := &d.placement
	if d.sparseTraffic {
		search.candidates = topRanked(search.candidates, max(requested.preferred, probesPerPlacement))
	}
	search.number++
	if requested.preferred <= 1 {
		return
	}
	count := min(len(search.candidates), requested.preferred)
	for _, preferred := range search.candidates[:count] {
		preferred.score.preferredInSearch = search.number
	}
}

// scoreLoads adds the load time to the cost of workers without a loaded replica, and returns the lowest cost. Pending loads
// delay only other loads, as loads run in parallel with the requests of loaded replicas.
func (d *Dispatcher) scoreLoads(req *request, filter replicaFilter) Seconds {
	requested := req.model
	lowest := math.Inf(1)
	for _, candidate := range d.workers.all {
		if candidate.score.cost > math.MaxFloat64 {
			continue
		}
		isPreferred := candidate.score.preferredInSearch == d.placement.number
		candidate.score.loaded = isPreferred || requested.replicaIfKnown(candidate).isLoaded(d.now)
		if !candidate.score.loaded {
			candidate.score.cost += requested.loadTime
			loadsUntil := d.now + float64(candidate.ledger.pendingLoads/parallelLoads)
			if filter == loadedReplicas || loadsUntil > req.deadline {
				candidate.score.cost = math.Inf(1)
			}
		}
		lowest = min(lowest, candidate.score.cost)
	}
	return lowest
}

// chooseAmongTies returns the worker of highest rank among those whose costs count as ties with the lowest one, nil if there
// is none.
func (d *Dispatcher) chooseAmongTies(req *request, lowest Seconds) *worker {
	var best *worker
	highest := uint64(0)
	requested := req.model
	limit := d.concurrencyLimit(req)
	highestTie := lowest + float64(tieBand*requested.loadTime)
	for _, candidate := range d.workers.all {
		if candidate.score.cost > highestTie || candidate.score.cost > math.MaxFloat64 {
			continue
		}
		rank := candidate.score.rank >> 2
		if candidate.score.loaded {
			if d.sparseTraffic { // rank by cost, with jitter as other dispatchers act on the same load reports
				rank = uint64(1e18 / (1 + candidate.score.cost + float64(loadedCostJitter*requested.runTime*d.rnd.float())))
			}
			rank |= rankLoaded
		}
		if candidate.ledger.concurrency(d.now, d.runTime) < limit && d.withinLearnedLimit(candidate) {
			rank |= rankHasCapacity
		}
		if best == nil || rank > highest {
			best = candidate
			highest = rank
		}
	}
	return best
}

// topRanked returns the highest-ranking workers in descending order: at least count of them, or all if there are fewer. It
// reorders the list. Ranks are hashes and so evenly distributed, which allows it to sort only a part of a long list: the
// workers above a threshold that about 2*count of them exceed.
func topRanked(list []*worker, count int) []*worker {
	expected := 2*count + 16
	if len(list) > 2*expected {
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

// dispatch schedules an attempt at a replica and adds it to the ledgers.
func (d *Dispatcher) dispatch(req *request, target *replica) {
	destination := target.worker
	requested := req.model
	added := &req.attempts[req.attempted]
	*added = attempt{
		worker:           destination,
		group:            destination.dedupGroup(),
		sentAt:           d.now,
		runTime:          requested.runTime,
		expectedDuration: destination.ledger.queuedWork + requested.runTime,
		cohortNumber:     target.cohort.number,
	}
	if !target.isLoaded(d.now) {
		added.loading = true
		added.expectedDuration = added.expectedDuration + requested.loadTime + destination.ledger.pendingLoads
	}
	req.attempted++
	req.inFlight++
	req.state = stateAttempt
	d.pending.addRequest(req)
	d.updateQueuedWork(destination)
	destination.ledger.reserve(added)
	added.occupancy = int32(destination.ledger.inFlight)
	target.reserve()
	d.chargeAdmission(req, destination)
}

// retractAttempt withdraws the latest attempt, which Reconcile has not sent yet.
func (d *Dispatcher) retractAttempt(req *request) {
	unsent := req.latestAttempt()
	req.attempted--
	req.releaseAttempt(unsent, req.model.replica(unsent.worker))
}
