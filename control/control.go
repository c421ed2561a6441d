package control

import "math"

const (
	groupLimit          = 8     // requests ever in one open group: the paper's; 5 and 16 no change at any site
	firstLoad           = 2.0   // s, load time of a model before any is told or seen (design)
	firstRun            = 0.25  // of the SLO time: run time of a model group before any answer
	smoothing           = 0.1   // weight of a new answer in run and load times: some ten answers back
	sweepInterval       = 0.01  // s between looks at all in flight: well under any SLO time, and cheap
	heldRetryInterval   = 0.1   // s until those held for room are tried again where nothing was heard meanwhile
	answerMarginMin     = 0.02  // s kept of the client's time, on top of two ticks: two looks at all in flight
	hedgeDelay          = 3.0   // expected answer times until an attempt is late: they spread about as wide
	failureSmoothing    = 0.2   // weight of one outcome in a worker's failure share: some five back
	ejectAt             = 0.3   // failure share at which a worker is ejected: two failures close together
	rampStart           = 1.0   // attempts a second let through to an ejected worker
	rampDone            = 16.0  // a second at which it is taken back: four doublings
	retryEarned         = 0.3   // retries earned by each request taken while all of them succeed
	retryEarnedMin      = 0.03  // and while none does, so that success can be seen again
	retryTokensMax      = 30.0  // retries saved up at most: a short outage of one worker
	failureScopeSpan    = 5.0   // s for which a worker that did well by others is fit for them
	fullBackoff         = 0.05  // s without new work after a worker turned some away; doubles until it answers
	fullBackoffMax      = 0.5   // s, the most of it
	noRoomPause         = 1.0   // s without load orders of a model after one found no room
	coldSafety          = 0.4   // of the cold budget used: peers' turns fall by chance, capacity is a guess
	subscribeBackoffMin = 0.5   // s until discovery is asked again after a failed call; doubles
	concurrencyFleet    = 24.0  // attempts of all out at a worker: 12 idles quick workers, 36 no better
	concurrencyMin      = 4.0   // own attempts any worker may have out: chance; 1 lost with many peers
	preemptAge          = 0.25  // of the SLO time: how much younger one held must be to preempt another
	staleShare          = 0.25  // of the limit for requests worth little by now; 0.5 lost in retry storms
	peerWorkSpan        = 1.0   // s over which own work at a worker is smoothed to stand for a peer's
	tieBand             = 3.0   // load times: costs nearer are ties; 1 lost where loads are scarce, 8 too
	tieWarm             = 2.0   // run times: costs of warm copies nearer than that are ties
	reportSpan          = 10.0  // s in which a report loses two thirds of its weight; 4 lost 0.03 to 0.07
	reportSmoothing     = 0.5   // weight of a new report of a worker
	probeCount          = 2     // preferred workers probed before a group opens; 3 no better, 0 loses
	probeBudget         = 0.03  // of a request's value, paid at most for those reports: what they gain
	probeMaxAge         = 0.3   // s for which a report is new enough: about what workers take to renew it
	sparseRate          = 0.25  // own requests a second for each worker, under which own counts say little
	parallelLoads       = 4.0   // loads a worker does beside each other: told nowhere; 2 idles it, 1 lost
	workerSlots         = 10.0  // requests a worker works on together, slowed; 4 shed many
	workerCores         = 4.0   // requests it does at once unslowed: cores are told nowhere; 2 lost
	popularitySpan      = 20.0  // s over which requests taken are counted: popularity lasts about as long
	preferredShare      = 0.5   // of a worker's mean traffic that one model may make at one; 0.2 no better
	preferredMin        = 30.0  // requests in that span under which shares tell little
	forgetGoneAfter     = 300   // s after which a gone worker is forgotten: a restart is back by then
	modelsMax           = 2e4   // models kept: beyond them the half asked for longest ago is forgotten
	tableMin            = 1024  // places of the table that are always kept: a look at them costs little
	classesMax          = 512   // tenants times model groups told apart at a worker: more would fill the memory
	triedPenalty        = 1e6   // s added to the cost of a worker tried already: taken only if there is no other
	tickDefault         = 0.001 // s, and the next three: where nothing is told
	askEveryDefault     = 10
	fallDefault         = 1
	sloDefault          = 1
	dispatchersMax      = 1 << 16 // more are a mistake
	timeoutDefault      = 60      // s that clients wait where nothing is told: long, but an answer comes
	coldShareDefault    = 0.1     // capacity share of a cold worker where none is told: a careful guess
	shareMin            = 1e-3    // shares and multiples under it would divide by nearly nothing
	spanMin             = 1e-3    // s, spans under it too: no clock here is finer
	listMax             = 4096    // entries of a list of the settings: more is a mistake
)

var never = math.Inf(1) // also a span without end

// New makes a dispatcher that acts by a, its chance from the seed. Settings that can't be used are logged.
func New(seed uint64, from Settings, a Actions) *Dispatcher {
	s, problems := resolve(from)
	d := &Dispatcher{settings: s, settingErrors: append(problems.unusable, problems.unknownWords...), actions: a, rnd: newRandom(seed)}
	d.models, d.workersByID, d.inFlight.byID = map[ModelID]*model{}, map[WorkerID]*worker{}, map[RequestID]int{}
	d.retryTokens, d.retrySuccess, d.admittingShare, d.runTime = retryTokensMax, 1, 1, firstRun
	if d.subscribeBackoff = subscribeBackoffMin; s.discovery != DiscoverySubscribe {
		d.subscribeAt = never
	}
	d.loadOrders = s.mayOrder && s.onMiss == MissRejects
	d.probesMax = int(math.Min(probeCount, probeBudget/math.Max(shareMin*probeBudget, s.probePrice)))
	for i, field := range s.reportFields {
		if field == "inflight" || field == "queue" {
			d.inFlightFields = append(d.inFlightFields, i)
		}
	}
	for _, g := range s.groups {
		g.loadTime, g.runTime, g.meanWork = firstLoad, firstRun*g.slo, firstRun*g.slo
	}
	d.tenants = newTenants(s.quotas, s.dispatchers)
	if d.tenantClasses = max(1, len(d.tenants)); len(s.groups)*d.tenantClasses > classesMax {
		d.tenantClasses = 1
	}
	return d
}
