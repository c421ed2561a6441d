package control

import "slices"

const maxModels = 2e4 // models in memory; above it, the least recently requested half is evicted

// modelGroup holds the settings of a model group, and estimates over all its models.
type modelGroup struct {
	effect           Effect
	dedupScope       DedupScope
	objective        Seconds // latency objective
	timeout          Seconds
	dedupWindow      Seconds // time for which workers drop repeats of a request
	objectiveStretch float64 // multiple of a request's work by which the latency objective is extended
	runTime          Seconds // exponential average of the response time of loaded replicas
	runKnown         bool    // runTime has been learned from a response
	meanWork         Seconds // exponential average of the work of a request, for those without a hint
	loadTime         Seconds // exponential average of the load time, for models not requested before
}

// model holds the estimates and the replicas of one model.
type model struct {
	id             ModelID
	group          *modelGroup
	runTime        Seconds    // exponential average of the response time of loaded replicas
	runKnown       bool       // runTime has been learned from a response
	loadTime       Seconds    // from a hint, or learned
	loadKnown      bool       // loadTime has been learned from a response
	replicas       []*replica // by worker.index; nil where nothing is known
	openReplicas   []*replica // sorted by worker index; some may no longer be open
	recentRequests decayingCount
	preferred      int // number of workers on which it should be loaded
}

// inUse reports whether a load of the model, or a load request for it, is outstanding.
func (m *model) inUse() bool {
	return slices.ContainsFunc(m.replicas, func(r *replica) bool { return r != nil && (r.loadRequested() || r.loading) })
}

// modelTable holds the records of the models that were requested.
type modelTable struct {
	byID    map[ModelID]*model
	evictAt int // number of models above which the next eviction runs, so that not every new model causes one while most are in use
}

// markRestarted records that a worker has restarted and has no model loaded.
func (t *modelTable) markRestarted(restarted *worker) {
	for _, m := range t.byID {
		if restarted.index < len(m.replicas) && m.replicas[restarted.index] != nil {
			m.replicas[restarted.index].markNotLoaded()
			m.replicas[restarted.index].loadRequestBackoffUntil = 0
		}
	}
}

// evict removes the least recently requested half of the models, except those in use, if there are more than limit models.
func (t *modelTable) evict(limit int, inFlight *requestTable) {
	if len(t.byID) <= max(limit, t.evictAt) {
		return
	}
	requested := map[*model]bool{}
	for _, req := range inFlight.slots {
		if req.live {
			requested[req.model] = true
		}
	}
	lastRequests := make([]Seconds, 0, len(t.byID))
	for _, m := range t.byID {
		lastRequests = append(lastRequests, m.recentRequests.updatedAt)
	}
	slices.Sort(lastRequests)
	median := lastRequests[len(lastRequests)/2]
	for id, m := range t.byID {
		if m.recentRequests.updatedAt <= median && !requested[m] && !m.inUse() {
			delete(t.byID, id)
		}
	}
	t.evictAt = len(t.byID) + limit/2
}
