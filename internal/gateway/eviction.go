package gateway

import (
	"math"
	"net/netip"

	"mastchute/internal/membership"
)

const (
	evictionInterval = 5.0   // s
	evictAfter       = 300.0 // s since the latest request for a model, or since a worker became gone; the control module uses the same for workers
)

func (g *Gateway) evictPeriodically() {
	g.EvictIdle(g.Loop.Now() - evictAfter)
	g.Loop.StartTimer(&g.evictionTimer, evictionInterval)
}

// EvictIdle evicts the models that were last requested before the given time, and the workers that have been gone since
// before it and have nothing in flight.
func (g *Gateway) EvictIdle(before float64) {
	g.models.evict(before, math.MaxInt)
	g.Members.EvictGone(before, g.evictWorker)
	g.evictAddresses()
}

// evictWorker removes a worker with its transport and metrics unless they are in use, and reports whether it has done so.
func (g *Gateway) evictWorker(member *membership.Worker) bool {
	w := g.workers[member.ID]
	if w == nil {
		return true
	}
	hasCalls := w.callsInFlight > 0 || w.startupProbeCommand != nil || w.probeRetryTimer.Pending()
	if hasCalls || w.transport.ConnectionCount() > 0 {
		return false
	}
	delete(g.workers, member.ID)
	g.Metrics.deleteWorker(member.Name)
	return true
}

// evictAddresses removes the records of addresses that no worker has any more. Connections and attempts keep those that they
// refer to.
func (g *Gateway) evictAddresses() {
	if len(g.addresses) <= len(g.workers) {
		return
	}
	used := map[netip.AddrPort]bool{}
	for _, w := range g.workers {
		used[w.transportAddr] = true
	}
	for addr := range g.addresses {
		if !used[addr] {
			delete(g.addresses, addr)
		}
	}
}
