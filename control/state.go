package control

import (
	"math"
)

// modelGroup is a model group with its settings.
type modelGroup struct {
	effect     Effect
	scope      DedupScope
	slo        Seconds
	timeout    Seconds
	window     Seconds
	sloStretch float64 // the SLO time is longer by so much of a request's work
	runTime    Seconds // smoothed warm answer time of its models
	meanWork   Seconds // smoothed mean work of a request, for the cold budget
	loadTime   Seconds // smoothed load time of its models
	runKnown   bool
}

// tenant counts one tenant's traffic against its share.
type tenant struct {
	quota     float64 // requests a second in its share, for this dispatcher
	tokens    float64 // token bucket
	updatedAt Seconds
}

// newTenants makes the tenants, each with one dispatcher's part of its quota.
func newTenants(quotas []float64, dispatchers float64) (all []*tenant) {
	for _, quota := range quotas {
		part := quota / dispatchers
		all = append(all, &tenant{quota: part, tokens: math.Max(1, part)})
	}
	return all
}

// Dispatcher is the state of one dispatcher.
type Dispatcher struct {
	settings
	probesMax       int     // preferred workers probed for one request
	loadOrders      bool    // a miss is answered by a load order
	inFlightFields  []int   // which values of a report tell requests held
	settingErrors   []error // settings that can't be used, until they are logged
	tenantClasses   int     // tenants told apart at a worker, for each model group
	actions         Actions
	rnd             random
	now             Seconds
	workers         []*worker
	forgetModelsAt  int   // no look for models to forget before there are so many
	nextIndex       int   // given to workers so far
	freeIndexes     []int // of those, the ones whose worker is forgotten
	workersByID     map[WorkerID]*worker
	models          map[ModelID]*model
	tenants         []*tenant
	inFlight        requestTable
	changedRequests []*request
	wantedOrders    []*replica // wanted load orders
	timerSet        bool
	sparseTraffic   bool      // own traffic is too thin for own ledgers to tell of the workers
	heardNews       bool      // something was heard since those held for room were tried
	youngestTimely  Seconds   // when the youngest was taken that was held for room and could have been in time
	heldRetriedAt   Seconds   // when they were
	candidates      []*worker // preferred workers of the model at hand, first in order first
	placements      uint64    // looks for a place so far
	wantedProbes    []*worker // wanted probes

	meanFrom, meanTo, meanWeight float64 // how far means are eased from one time to another
	admittingShare               float64 // share of the workers that the last request looked at could go to

	rateValue, rateAt, rateOf float64 // requests taken a second, as of when and for which count

	runTime          Seconds // smoothed warm answer time of all
	recent, recentAt float64 // requests taken of late, and as of when

	retryTokens, retrySuccess     float64 // retries that may be made, and the share of recent ones that succeeded
	readyWorkers, ejectedWorkers  int
	subscribeAt, subscribeBackoff Seconds // when discovery is asked next, and the gap after a failure
	loadRation                    ration
}

// rationParts is how many parts the window of load orders is counted in; a part is counted whole.
const rationParts = 16

// ration counts load orders sent and requests taken over a sliding window.
type ration struct {
	sent, taken [rationParts + 1]float64
	part        int64
}

// count moves the window on and returns what is in it: the oldest part, of which some has left the window
// already, counts for orders and not for takings, so that the count errs to the strict side.
func (c *ration) count(now, span Seconds) (sent, taken float64) {
	at := int64(now / span * rationParts)
	for c.part = max(c.part, at-rationParts-1); c.part < at; c.part++ {
		copy(c.sent[:], c.sent[1:])
		copy(c.taken[:], c.taken[1:])
		c.sent[rationParts], c.taken[rationParts] = 0, 0
	}
	for i := range c.sent {
		sent += c.sent[i]
		if i > 0 {
			taken += c.taken[i]
		}
	}
	return sent, taken
}

// smooth blends a new value into a smoothed one; the first stands for itself.
func smooth(x *float64, seen *bool, v, weight float64) {
	if !*seen {
		*x, *seen = v, true
	}
	*x += weight * (v - *x)
}

// overQuota counts one request of the tenant and tells whether it is beyond its share.
func (t *tenant) overQuota(now Seconds) bool {
	if t.quota == never {
		return false
	}
	depth := math.Max(1, t.quota) // of the token bucket: a share of under one a second would never hold a whole token
	t.tokens = math.Min(depth, t.tokens+(now-t.updatedAt)*t.quota) - 1
	t.updatedAt = now
	over := t.tokens < 0
	t.tokens = math.Max(0, t.tokens)
	return over
}

// The events that call for nothing but a note.

// SetNow sets the clock for the events of that moment.
func (d *Dispatcher) SetNow(now Seconds) { d.now = now }

// RequestCancelled takes note that the client left.
func (d *Dispatcher) RequestCancelled(id RequestID) {
	if r := d.inFlight.lookup(id); r != nil && r.state != stateDone {
		d.finish(r)
	}
}

// ResponseStarted takes note that the answer has begun: the attempt is the client's now.
func (d *Dispatcher) ResponseStarted(id RequestID, _ int, _ WorkerID, _ Seconds) {
	if r := d.inFlight.lookup(id); r != nil {
		r.streaming = true
	}
}

// PeerMessageReceived takes a note of a peer; none is needed so far.
func (d *Dispatcher) PeerMessageReceived(PeerID, []byte) {}

// TimerFired has all in flight looked at.
func (d *Dispatcher) TimerFired(TimerID) {
	d.timerSet = false
	d.inFlight.shrink(tableMin)
	d.sweep()
}

// requestRate is how many requests a second this dispatcher takes, worked out once for each moment.
func (d *Dispatcher) requestRate() float64 {
	if d.rateAt != d.now || d.rateOf != d.recent {
		span := popularitySpan * (1 - math.Exp(-math.Max(1, d.now)/popularitySpan))
		d.rateValue = d.recent * math.Exp((d.recentAt-d.now)/popularitySpan) / span
		d.rateAt, d.rateOf = d.now, d.recent
	}
	return d.rateValue
}

// requestRatePerWorker is how many of those come for each worker.
func (d *Dispatcher) requestRatePerWorker() float64 {
	return d.requestRate() / math.Max(1, float64(d.readyWorkers))
}
