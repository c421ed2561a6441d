package control

import (
	"math"
	"slices"
)

const maxModels = 2e4 // models held in memory: beyond them the half that was requested longest ago is evicted

// modelGroup is a model group: its settings, and estimates over all its models.
type modelGroup struct {
	effect           Effect
	dedupScope       DedupScope
	objective        Seconds // latency objective
	timeout          Seconds
	dedupWindow      Seconds // time for which workers drop repeats
	objectiveStretch float64 // the latency objective is longer by this multiple of a request's work
	runTime          Seconds // smoothed answer time of warm replicas
	runKnown         bool    // runTime has been learned from an answer
	meanWork         Seconds // smoothed work of a request, for those without a hint
	loadTime         Seconds // smoothed load time, for models not seen before
}

// model is one model: its estimates and its replicas.
type model struct {
	id           ModelID
	group        *modelGroup
	runTime      Seconds // smoothed answer time of warm replicas
	runKnown     bool    // runTime has been learned from an answer
	loadTime     Seconds // from a hint, or learned
	loadKnown    bool    // loadTime has been learned from an answer
	replicas     []*replica
	openReplicas []*replica // sorted by worker index; some may no longer be open
	recent       recentCount
	preferred    int // number of workers it should be loaded on
}

// inUse reports whether a load order or a first answer of the model is outstanding.
func (m *model) inUse() bool {
	return slices.ContainsFunc(m.replicas, func(r *replica) bool { return r != nil && (r.loadRequested() || r.loading) })
}

// modelTable holds the models that were requested.
type modelTable struct {
	byID    map[ModelID]*model
	evictAt int // no eviction before there are so many: where most are in use, not with each new one
}

// forgetWorker discards what was assumed of a worker that has started anew.
func (t *modelTable) forgetWorker(restarted *worker) {
	for _, m := range t.byID {
		if restarted.index < len(m.replicas) && m.replicas[restarted.index] != nil {
			m.replicas[restarted.index].loadedUntil = math.Inf(-1)
			m.replicas[restarted.index].loadRequestBackoffUntil = 0
		}
	}
}

// evict drops, once there are more than limit models, the half that was requested longest ago, apart from those in use.
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
		lastRequests = append(lastRequests, m.recent.updatedAt)
	}
	slices.Sort(lastRequests)
	median := lastRequests[len(lastRequests)/2]
	for id, m := range t.byID {
		if m.recent.updatedAt <= median && !requested[m] && !m.inUse() {
			delete(t.byID, id)
		}
	}
	t.evictAt = len(t.byID) + limit/2
}
