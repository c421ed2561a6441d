package control

import "math"

// maxTrafficClasses is how many traffic classes (model groups times tenants) may have an outlier detector of their own at
// each worker: more would take too much memory.
const maxTrafficClasses = 512

// infinity stands for a time that is never reached, a duration without limit and a rate without limit.
var infinity = math.Inf(1)

// Dispatcher decides for one dispatcher process. Each concern has a type and a file of its own; the methods of Dispatcher
// join them.
type Dispatcher struct {
	settings
	settingErrors []error // the unusable settings, until Reconcile has logged them
	actions       Actions
	rnd           random
	now           Seconds // the time of the latest SetNow

	// State of the fleet.
	workers      workerSet
	models       modelTable
	subscription subscription
	listLease    ListLease

	// Requests in flight, and the actions that they need.
	inFlight requestTable
	queue    requestQueue
	pending  pendingActions

	// Limits on requests, retries and loads.
	tenants     []*tenantQuota
	retryBudget retryBudget
	loadBudget  loadBudget
	slowStart   slowStart

	// Estimates and measurements that placement uses.
	arrivals      arrivalRate
	sparseTraffic bool            // this dispatcher sends too few requests to each worker to estimate its load from them
	runTime       Seconds         // smoothed response time of loaded replicas, over all models
	peerWeight    smoothingWeight // of a new value in workLedger.meanQueuedWork
	placement     placement

	// Derived from the settings.
	tenantClasses     int   // traffic classes within each model group: one for each tenant, or one for all
	sendsLoadRequests bool  // a worker that rejects a request because its model is not loaded receives a load request
	maxProbes         int   // preferred workers probed at most for one request
	inFlightFields    []int // indexes of the values of a load report that count requests
}

// New returns a dispatcher that calls actions from Reconcile. Equal seeds, settings and events give equal actions. The
// first Reconcile logs the unusable settings, which the defaults replace.
func New(seed uint64, configured Settings, actions Actions) *Dispatcher {
	resolved, problems := resolve(configured)
	d := &Dispatcher{
		settings:      resolved,
		settingErrors: append(problems.unusable, problems.unknownNames...),
		actions:       actions,
		rnd:           newRandom(seed),
	}
	d.workers.byID = map[WorkerID]*worker{}
	d.models.byID = map[ModelID]*model{}
	d.inFlight.byID = map[RequestID]int{}
	d.listLease = unlimitedLease
	d.subscription = newSubscription(d.discovery, d.maxSubscribeBackoff)
	d.retryBudget = newRetryBudget()
	d.loadBudget = loadBudget{window: d.loadBudgetWindow, base: d.loadBudgetBase, perRequest: d.loadBudgetPerRequest}
	d.slowStart = slowStart{
		duration:        d.slowStartDuration,
		initialCapacity: d.slowStartCapacity,
		overloadFactor:  d.overloadFactor,
		overloadWindow:  d.overloadWindow,
		dispatchers:     d.dispatchers,
	}
	d.placement.admittingFraction = 1
	d.runTime = initialOverallRunTime
	d.sendsLoadRequests = d.loadRequestsAllowed && d.missPolicy == MissRejects
	d.maxProbes = probesPerRequest(d.probePrice)
	d.inFlightFields = reportFieldsInFlight(d.reportFields)
	for _, group := range d.groups {
		group.loadTime = initialLoadTime
		group.runTime = initialRunTimeFraction * group.objective
		group.meanWork = initialRunTimeFraction * group.objective
	}
	d.tenants = newTenantQuotas(d.quotas, d.dispatchers)
	d.tenantClasses = max(1, len(d.tenants))
	if len(d.groups)*d.tenantClasses > maxTrafficClasses {
		d.tenantClasses = 1
	}
	return d
}

// SetNow sets the clock for the events that follow.
func (d *Dispatcher) SetNow(now Seconds) { d.now = now }

// PeerMessageReceived ignores gossip: no decision uses it.
func (d *Dispatcher) PeerMessageReceived(PeerID, []byte) {}
