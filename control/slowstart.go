package control

import "math"

// warmupSafety is the fraction of the slow start budget that is used. It leaves a margin because all dispatchers draw their
// send slots at random and a worker's capacity is an estimate.
const warmupSafety = 0.4

// slowStart limits the attempts at workers that are warming up (rule 4): within any overloadWindow, a worker may receive
// overloadFactor times its capacity at that age, from all dispatchers together. Each dispatcher sends attempts in send slots
// that it draws at random.
type slowStart struct {
	duration        Seconds // time from a worker's start to its full capacity
	initialCapacity float64 // fraction of its full capacity that a worker has at its start
	overloadFactor  float64 // multiple of its present capacity that a worker may receive
	overloadWindow  Seconds // time over which the multiple is measured
	dispatchers     float64 // number of dispatchers that share the budget
}

// capacityFraction returns the fraction of its full capacity that a worker has now.
func (s *slowStart) capacityFraction(now, startedAt Seconds) float64 {
	age := now - startedAt
	if age < s.duration {
		return s.initialCapacity + (1-s.initialCapacity)*math.Max(0, age)/s.duration
	}
	return 1
}

// slotExpired reports whether the send slot drawn last was not used in time and has expired. Send slots are not saved up, as
// all dispatchers could use theirs at once.
func (s *slowStart) slotExpired(now, slotAt Seconds) bool { return now > slotAt+s.overloadWindow }

// slotRate returns how many send slots per second this dispatcher has at a worker. The arguments are the worker's fraction
// of its full capacity, and the requests/s that this dispatcher sends to a worker on average.
func (s *slowStart) slotRate(capacity, ratePerWorker float64) float64 {
	safety := warmupSafety * (1 + 1/s.dispatchers) // larger for few dispatchers, as fewer of their slots coincide
	return math.Max(1/(s.overloadWindow*s.dispatchers), safety*s.overloadFactor*capacity*ratePerWorker)
}

// admitsWarmingUp reports whether a worker that is warming up, with the given fraction of its capacity, may receive an
// attempt now. It draws the next send slot if the last one has expired.
func (d *Dispatcher) admitsWarmingUp(req *request, target *worker, capacity float64) bool {
	if d.sparseTraffic {
		return d.admitsByHash(req, target, capacity)
	}
	if d.slowStart.slotExpired(d.now, target.nextWarmupSlotAt) {
		target.nextWarmupSlotAt = d.now + 2*d.rnd.float()/d.slowStart.slotRate(capacity, d.requestRatePerWorker())
	}
	return !(d.now < target.nextWarmupSlotAt)
}

// admitsByHash admits a fraction of the requests, chosen by a hash. It replaces send slots under sparse traffic, where the
// worker is chosen for so few requests that most send slots expire. The fraction is lower while few workers admit requests.
// The worker can be overloaded if one model receives most of the traffic.
func (d *Dispatcher) admitsByHash(req *request, target *worker, capacity float64) bool {
	fraction := warmupSafety * d.slowStart.overloadFactor * capacity * d.placement.admittingFraction
	highestAdmitted := uint64(fraction*(1<<53)) << 11
	return !(d.now < target.nextWarmupSlotAt || hash(uint64(req.id)<<32^uint64(target.ID)) > highestAdmitted)
}

// chargeWarmup records an attempt at a worker, which uses up the send slot there. Under sparse traffic, which has no send
// slots, the next attempt at a worker that is warming up waits for a random time instead.
func (d *Dispatcher) chargeWarmup(target *worker) {
	target.nextWarmupSlotAt = math.Inf(-1)
	if !d.sparseTraffic {
		return
	}
	capacity := d.slowStart.capacityFraction(d.now, d.startedAt(target))
	if capacity < 1 {
		rate := d.slowStart.overloadFactor * capacity * d.requestRatePerWorker()
		target.nextWarmupSlotAt = d.now + 2*d.rnd.float()/rate
	}
}
