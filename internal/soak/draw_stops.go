package soak

import "math/rand/v2"

const (
	stopsRandomStream    = 13  // stream of the random source for DrawStops
	stopsPerDispatcher   = 2   // in a plan
	faultsPerStop        = 2   // other faults that overlap a stop
	earliestFaultAtStop  = 0.3 // s before the stop
	faultSpanAtStop      = 1.2 // s in which these faults begin
	stopsFaultKindCount  = 4   // kinds of fault in a plan, drawn with replacement
	crowdClients         = 8   // per dispatcher, in plans with a crowd
	crowdRequestInterval = 0.01
	plansPerCrowd        = 3 // one in so many plans has a crowd
)

// DrawStops draws a plan from a seed: dispatchers that are stopped one after the other, half of them among other signals, while
// clients go on using open connections and other faults overlap the stops. Some plans have a crowd of clients.
func DrawStops(seed uint64, b Bounds) Plan {
	rnd := rand.New(rand.NewPCG(seed, stopsRandomStream))
	p := Plan{Seed: seed, Duration: b.Duration, Site: drawSite(rnd, b)}
	if rnd.IntN(plansPerCrowd) == 0 {
		p.Site.Clients = crowdClients
		p.Site.RequestInterval = crowdRequestInterval
	}
	kinds := drawKindsAtStops(rnd, b)
	for target := range b.Dispatchers {
		for range stopsPerDispatcher {
			stop := drawFault(rnd, pick(rnd, Terminate, SignalSeries), p.Site, b.Duration)
			stop.Target = target
			p.Faults = append(p.Faults, stop)
			for range faultsPerStop {
				p.Faults = append(p.Faults, drawFaultAtStop(rnd, pick(rnd, kinds...), stop, p.Site, b.Duration))
			}
		}
	}
	return p
}

// drawKindsAtStops draws the kinds of fault that overlap the stops of a plan.
func drawKindsAtStops(rnd *rand.Rand, b Bounds) (kinds []FaultKind) {
	if len(b.Kinds) > 0 {
		return b.Kinds
	}
	for len(kinds) < stopsFaultKindCount {
		kind := pick(rnd, FaultKinds...)
		if kind != Terminate && (b.SyscallFaults || !kind.needsSyscallFaults()) {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

// drawFaultAtStop draws a fault that begins around a stop, at the same dispatcher if its kind affects dispatchers.
func drawFaultAtStop(rnd *rand.Rand, kind FaultKind, stop Fault, site Site, duration float64) Fault {
	f := drawFault(rnd, kind, site, duration)
	if !kind.targetsWorker() {
		f.Target = stop.Target
	}
	length := f.To - f.From
	f.From = max(firstFaultAt, stop.From-earliestFaultAtStop+faultSpanAtStop*rnd.Float64())
	f.To = f.From + length
	return f
}
