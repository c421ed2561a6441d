package control

import "math"

const (
	groupLimit    = 8    // inferences ever in one open group: the paper's; 5 and 16 no change at any site
	firstLoad     = 2.0  // s, load time of a model before any is told or seen (design)
	firstRun      = 0.25 // of the SLO time: run time of a model group before any answer
	blend         = 0.1  // weight of a new answer in run and load times: some ten answers back
	scan          = 0.01 // s between looks at all in hand: well under any SLO time, and cheap
	lookLong      = 0.1  // s until those held for room are tried again where nothing was heard meanwhile
	endMargin     = 0.02 // s kept of the client's time, on top of two ticks: two looks at all in hand
	patience      = 3.0  // expected answer times until a forward is late: answer times spread about as wide
	badBlend      = 0.2  // weight of one outcome in a worker's failure share: some five back
	badAside      = 0.3  // failure share at which a worker is set aside: two failures close together
	trickleFirst  = 1.0  // forwards a second let through to a worker set aside
	trickleBack   = 16.0 // trickle at which it is taken back: four doublings
	furtherShare  = 0.3  // further forwards earned by each inference taken while all of them succeed
	furtherLeast  = 0.03 // and while none does, so that success can be seen again
	furtherMost   = 30.0 // further forwards saved up at most: a short outage of one worker
	blameSpan     = 5.0  // s within which a worker that did well by others is fit for them: a few own answers
	crowdPause    = 0.05 // s without new work after a worker turned some away; doubles until it answers
	crowdMost     = 0.5  // s, the most of it
	roomPause     = 1.0  // s without load orders of a model after one found no room
	coldSafety    = 0.4  // of the cold budget used: fellows' turns fall by chance, capacity is a guess
	askFirst      = 0.5  // s until discovery is asked again after a failed call; doubles
	widthAll      = 24.0 // forwards of all dispatchers out at a worker: 12 idles quick workers, 36 no better
	widthLeast    = 4.0  // own forwards any worker may have out: they come by chance; 1 lost with many fellows
	giveWay       = 0.25 // of the SLO time: how much younger one held must be for an older one to give way to it
	staleShare    = 0.25 // of the width for inferences worth little by now; 0.5 lost in retry storms
	meanSpan      = 1.0  // s over which own work at a worker is smoothed to stand for a fellow's
	tieBand       = 3.0  // load times: costs nearer are ties; 1 lost where loads are scarce, 8 at one site
	tieWarm       = 2.0  // run times: costs of warm copies nearer than that are ties
	reportSpan    = 10.0 // s in which a report loses two thirds of its weight; 4 lost 0.03 to 0.07
	reportBlend   = 0.5  // weight of a new report of a worker
	probeHomes    = 2    // homes asked for a report before a group opens; 3 no better, none 0.02 to 0.06 worse
	probeWorth    = 0.03 // of an inference's value, paid at most for those reports: what they gain
	probeFresh    = 0.3  // s for which a report is new enough: about what workers take to renew it
	sparseRate    = 0.25 // own inferences a second for each worker, under which own ledgers say little of it
	loadsBeside   = 4.0  // loads a worker does beside each other: told nowhere; 2 idles it, 1 lost
	slots         = 10.0 // inferences a worker works on together, slowed: tells who comes too late; 4 shed many
	atOnce        = 4.0  // inferences a worker does at once unslowed: cores are told nowhere; 2 lost at one site
	homeSpan      = 20.0 // s over which inferences taken are counted: popularity lasts about as long
	homeShare     = 0.5  // of a worker's mean traffic that one model may make at a home; 0.2 no better
	homeLeast     = 30.0 // inferences in that span under which shares tell little
	goneLong      = 300  // s after which a gone worker is forgotten: a restart under its name is back by then
	modelsMost    = 2e4  // models kept: beyond them the half asked for longest ago is forgotten
	slabLeast     = 1024 // places of the slab that are always kept: a look at them costs little
	sidesMost     = 512  // tenants times model groups told apart at a worker: more would fill the memory
	aheadOff      = 1e6  // s added to the cost of a worker tried already: taken only if there is no other
	timeoutUntold = 60   // s that clients wait where nothing is told: long, but an answer comes
	coldUntold    = 0.1  // share of its capacity a cold worker is taken to have where untold: a careful guess
	coldLeast     = 1e-3 // shares and multiples under it would divide by nearly nothing
	spanLeast     = 1e-3 // s, spans under it too: no clock here is finer
	listMost      = 4096 // entries of a list of the settings: more is a mistake
)

var never = math.Inf(1)

func New(seed uint64, from Settings, a Actions) *Dispatcher {
	s, r := read(from)
	d := &Dispatcher{told: s, wrong: append(r.wrong, r.unknown...), act: a, rnd: newRandom(seed)}
	d.models, d.known, d.hand.byID = map[ModelID]*model{}, map[WorkerID]*worker{}, map[InferenceID]int{}
	d.further, d.furtherOK, d.choice = furtherMost, 1, 1
	d.run = firstRun
	if d.askGap = askFirst; !s.asked {
		d.askAt = never
	}
	for _, quota := range s.quotas {
		q := quota / s.dispatchers
		d.tenants = append(d.tenants, &tenant{quota: q, level: math.Max(1, q)})
	}
	if d.sidesEach = max(1, len(d.tenants)); len(s.groups)*d.sidesEach > sidesMost {
		d.sidesEach = 1
	}
	return d
}
