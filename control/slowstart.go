package control

import "math"

const warmupSafety = 0.4 // share of the slow start budget that is used: peers' turns fall by chance, and capacity is a guess

// slowStart is the budget of workers that are warming up (rule 4): no more than a multiple of the capacity that a worker is
// sure to have since its start, over any overloadWindow and from all dispatchers together.
type slowStart struct {
	duration        Seconds // after which a worker has its whole capacity
	initialCapacity float64 // fraction of its capacity at the start
	overloadFactor  float64 // multiple of its capacity that a worker may receive
	overloadWindow  Seconds // time over which the multiple is measured
	dispatchers     float64 // which share the budget
}

// capacityFraction returns the share of its capacity that a worker is sure to have.
func (s *slowStart) capacityFraction(now, startedAt Seconds) float64 {
	if age := now - startedAt; age < s.duration {
		return s.initialCapacity + (1-s.initialCapacity)*math.Max(0, age)/s.duration
	}
	return 1
}

// turnLapsed reports whether the turn drawn last was not used in time. Turns are not saved up: all dispatchers' add up.
func (s *slowStart) turnLapsed(now, turnAt Seconds) bool { return now > turnAt+s.overloadWindow }

// turnRate returns the turns per second of this dispatcher at a worker that it sends ratePerWorker requests/s on average.
func (s *slowStart) turnRate(capacity, ratePerWorker float64) float64 {
	safety := warmupSafety * (1 + 1/s.dispatchers) // a sole dispatcher competes with no other
	return math.Max(1/(s.overloadWindow*s.dispatchers), safety*s.overloadFactor*capacity*ratePerWorker)
}

// admitsWarmingUp reports whether a worker that is warming up, with a fraction of its capacity below 1, may receive an attempt now.
func (d *Dispatcher) admitsWarmingUp(req *request, target *worker, capacity float64) bool {
	if d.sparseTraffic {
		return d.admitsByChance(req, target, capacity)
	}
	if d.slowStart.turnLapsed(d.now, target.nextWarmupTurnAt) {
		target.nextWarmupTurnAt = d.now + 2*d.rnd.float()/d.slowStart.turnRate(capacity, d.requestRatePerWorker())
	}
	return !(d.now < target.nextWarmupTurnAt)
}

// admitsByChance serves sparse traffic, of which a turn would lapse unused: requests that would choose the worker are too
// rare. Each of them goes there by chance instead, less often when few workers are left to choose. It overloads the worker
// if one model makes up most of the traffic.
func (d *Dispatcher) admitsByChance(req *request, target *worker, capacity float64) bool {
	share := warmupSafety * d.slowStart.overloadFactor * capacity * d.placement.admittingFraction
	return !(d.now < target.nextWarmupTurnAt ||
		hash(uint64(req.id)<<32^uint64(target.ID)) > uint64(share*(1<<53))<<11)
}

// chargeWarmup records an attempt at a worker: its turn is used up. Sparse traffic also has to pause for a while.
func (d *Dispatcher) chargeWarmup(target *worker) {
	target.nextWarmupTurnAt = math.Inf(-1)
	if !d.sparseTraffic {
		return
	}
	if capacity := d.slowStart.capacityFraction(d.now, target.StartedAt); capacity < 1 {
		rate := d.slowStart.overloadFactor * capacity * d.requestRatePerWorker()
		target.nextWarmupTurnAt = d.now + 2*d.rnd.float()/rate
	}
}
