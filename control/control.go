package control

import "math"

// maxTrafficClasses bounds the traffic classes counted at each worker, tenants times model groups: more would fill the memory.
const maxTrafficClasses = 512

var never = math.Inf(1) // a time that does not come, and a duration without end

// Dispatcher decides for one dispatcher process. Each concern has a type and a file of its own; the methods of Dispatcher
// join them.
type Dispatcher struct {
	settings
	settingErrors []error // unusable settings, until they are logged
	actions       Actions
	rnd           random
	now           Seconds // as SetNow set it

	// What is known of the fleet.
	workers      workerSet
	models       modelTable
	subscription subscription

	// Requests, and what is to be done about them.
	inFlight requestTable
	held     heldRequests
	outbox   outbox

	// Limits on requests, retries and loads.
	tenants     []*tenantQuota
	retryBudget retryBudget
	loadBudget  loadBudget
	slowStart   slowStart

	// Measurements that placement uses.
	arrivals      arrivalRate
	sparseTraffic bool            // own traffic is too sparse for own ledgers to show the workers' load
	runTime       Seconds         // smoothed answer time of warm replicas, over all models
	peerWeight    smoothingWeight // of the latest own work, in the mean that is assumed of a peer
	placement     placement

	// Derived from the settings.
	tenantClasses  int   // tenants with a traffic class of their own, within each model group
	requestsLoads  bool  // a miss is answered by a load order
	maxProbes      int   // preferred workers probed for one request
	inFlightFields []int // indexes of the load report's values that count requests
}

// New returns a dispatcher that acts through a and draws chance from the seed. Settings that can't be used are logged.
func New(seed uint64, from Settings, a Actions) *Dispatcher {
	s, problems := resolve(from)
	d := &Dispatcher{settings: s, settingErrors: append(problems.unusable, problems.unknownModes...), actions: a, rnd: newRandom(seed)}
	d.workers.byID = map[WorkerID]*worker{}
	d.models.byID = map[ModelID]*model{}
	d.inFlight.byID = map[RequestID]int{}
	d.subscription = newSubscription(s.discovery, s.maxSubscribeBackoff)
	d.retryBudget = newRetryBudget()
	d.loadBudget = loadBudget{window: s.loadBudgetWindow, base: s.loadBudgetBase, perRequest: s.loadBudgetPerRequest}
	d.slowStart = slowStart{
		duration:        s.slowStartDuration,
		initialCapacity: s.slowStartCapacity,
		overloadFactor:  s.overloadFactor,
		overloadWindow:  s.overloadWindow,
		dispatchers:     s.dispatchers,
	}
	d.placement.admittingFraction = 1
	d.runTime = initialRunTimeAll
	d.requestsLoads = s.loadsAllowed && s.missPolicy == MissRejects
	d.maxProbes = probesPerRequest(s.probePrice)
	d.inFlightFields = reportFieldsInFlight(s.reportFields)
	for _, g := range s.groups {
		g.loadTime = initialLoadTime
		g.runTime = initialRunTime * g.objective
		g.meanWork = initialRunTime * g.objective
	}
	d.tenants = newTenantQuotas(s.quotas, s.dispatchers)
	d.tenantClasses = max(1, len(d.tenants))
	if len(s.groups)*d.tenantClasses > maxTrafficClasses {
		d.tenantClasses = 1
	}
	return d
}

// SetNow sets the clock for the events of that moment.
func (d *Dispatcher) SetNow(now Seconds) { d.now = now }

// PeerMessageReceived ignores gossip: no decision uses it.
func (d *Dispatcher) PeerMessageReceived(PeerID, []byte) {}
