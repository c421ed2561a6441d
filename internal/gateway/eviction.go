package gateway

import (
	"math"

	"mastchute/internal/membership"
)

const (
	evictionInterval = 5.0   // s between evictions
	evictAfter       = 300.0 // s idle or gone, after which a model or worker is evicted, as by the control module
)

func (g *Gateway) evictPeriodically() {
	g.EvictIdle(g.Loop.Now() - evictAfter)
	g.Loop.Start(&g.evictionTimer, evictionInterval)
}

// EvictIdle evicts the models that were last requested before a time, and the workers that have been gone since before it
// and have nothing in flight.
func (g *Gateway) EvictIdle(since float64) {
	g.models.evict(since, math.MaxInt)
	g.Members.EvictGone(since, g.evictWorker)
}

// evictWorker drops a worker's transport and metrics, unless they are in use, and reports whether it did.
func (g *Gateway) evictWorker(member *membership.Worker) bool {
	w := g.workers[member.ID]
	if w == nil {
		return true
	}
	if w.callsInFlight > 0 || w.startupProbeCall != nil || w.probeRetryTimer.Pending() || w.transport.ConnectionCount() > 0 {
		return false
	}
	delete(g.workers, member.ID)
	g.Metrics.forgetWorker(member.Name)
	return true
}
