// The decision module: one Dispatcher for each dispatcher process, made by New and driven through the
// interface Module of api.go (At, then the events of that moment, then Settle). Handlers change the wanted
// state: what each inference in hand should be (held, out, shed, failed), which orders, probes and timer
// should be out. Settle alone emits the difference to what is out. The ordinary path is docs/design.md's.
package control

import (
	"math"
	"slices"
)

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
	sidesMost     = 512  // tenants times model groups told apart at a worker: beyond it they would fill the memory
	aheadOff      = 1e6  // s added to the cost of a worker tried already: taken only if there is no other
	timeoutUntold = 60   // s that clients wait where nothing is told: long, but an answer comes
	coldUntold    = 0.1  // share of its capacity a cold worker is taken to have where none is told: a careful guess
	coldLeast     = 1e-3 // shares and multiples under it would divide by nearly nothing
	spanLeast     = 1e-3 // s, spans under it too: no clock here is finer
	listMost      = 4096 // entries of a list of the settings: more is a mistake
)

var never = math.Inf(1)

func New(seed uint64, from Settings, a Actions) *Dispatcher {
	s, r := read(from)
	d := &Dispatcher{told: s, wrong: append(r.wrong, r.unknown...), act: a, rnd: newRandom(seed), models: map[ModelID]*model{}}
	d.known, d.hand.byID = map[WorkerID]*worker{}, map[InferenceID]int{}
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

func (d *Dispatcher) Workers(kind ListKind, _ uint32, list []WorkerInfo) {
	if kind == ListFailed {
		d.askAt, d.askGap = d.now+d.askGap, math.Min(2*d.askGap, d.told.askEvery)
		return
	} else if kind != ListCached {
		d.askGap = askFirst
	}
	if kind != ListChanges {
		for _, w := range d.workers {
			w.State = Gone
		}
	}
	for _, l := range list {
		w := d.known[l.ID]
		if w == nil {
			w = &worker{WorkerInfo: l, index: d.index(), coldAt: math.Inf(-1), heldAt: math.Inf(-1),
				goneAt: math.Inf(1), sides: make([]health, len(d.told.groups)*d.sidesEach)}
			d.known[l.ID] = w
			d.workers = append(d.workers, w)
		} else if l.Start > w.Start {
			d.fresh(w)
		}
		w.WorkerInfo = l
	}
	d.forgetWorkers(goneLong)
	d.countReady()
	d.changed = true
	d.look()
}

// fresh forgets what was believed of a worker that started anew: it is empty, and owed a new judgement.
func (d *Dispatcher) fresh(w *worker) {
	for _, m := range d.models {
		if w.index < len(m.places) && m.places[w.index] != nil {
			m.places[w.index].warm, m.places[w.index].noRoom = math.Inf(-1), 0
		}
	}
	clear(w.sides)
	w.health, w.coldAt = health{}, math.Inf(-1)
	d.countReady()
}

func (d *Dispatcher) Inference(q Inference) {
	r := d.hand.take(q.ID)
	r.group = d.told.groups[min(int(q.Group), len(d.told.groups)-1)]
	m := d.models[q.Model]
	if m == nil {
		d.forgetModels(modelsMost)
		m = &model{id: q.Model, group: r.group, run: r.group.run, load: r.group.load}
		d.models[q.Model] = m
	}
	if q.Load > 0 && q.Load < never && !m.heard {
		m.load = q.Load
	}
	m.asked, m.askedAt = 1+m.asked*math.Exp((m.askedAt-d.now)/homeSpan), d.now
	d.asked, d.askedAt = 1+d.asked*math.Exp((d.askedAt-d.now)/homeSpan), d.now
	r.model, r.taken, r.work = m, d.now, q.Work
	d.sparse = d.taken() < sparseRate*float64(d.ready)
	if m.homes = 1; d.sparse { // nobody sees a home's queue in time: as many as keep its share below a worker's
		m.homes = min(1+int(m.asked*float64(d.ready)/(homeShare*(d.asked+homeLeast))), max(1, d.ready/2))
	}
	r.repeat, r.notAfter = q.Repeat, d.now+r.group.timeout
	if q.NotAfter < r.notAfter { // not so where it is no number
		r.notAfter = q.NotAfter
	}
	if q.Work > 0 && q.Work < never {
		r.group.work += blend * (q.Work - r.group.work)
	}
	work := r.group.work
	if q.Work > 0 {
		work = q.Work
	}
	r.slo = math.Min(r.group.slo+r.group.stretch*work, r.group.timeout)
	r.side = min(int(q.Group), len(d.told.groups)-1) * d.sidesEach
	if int(q.Tenant) < len(d.tenants) {
		r.side += int(q.Tenant) % d.sidesEach
		r.over = d.tenants[q.Tenant].beyond(d.now)
	}
	d.further = math.Min(furtherMost, d.further+furtherLeast+(furtherShare-furtherLeast)*d.furtherOK)
	if span := d.told.window; span > 0 {
		d.ration.count(d.now, span)
		d.ration.taken[rationParts]++
	}
	if d.now >= r.notAfter-d.margin() {
		d.giveUp(r) // it came with its time up, after a stall before us: the next look would be too late
		return
	}
	d.find(r)
}

// margin is how long before the client's time is up the final answer goes out.
func (d *Dispatcher) margin() Seconds { return endMargin + 2*d.told.tick }

// may tells whether the rules let this inference go to this worker now (rules 1 to 3 and the count of
// forwards).
func (d *Dispatcher) may(r *inference, w *worker) bool {
	if w.State != Ready || d.now >= r.notAfter-d.margin() || r.stream ||
		r.n >= d.told.most || r.out > 0 && !d.told.second {
		return false
	}
	f, scope := r.mayHaveRun(), r.group.scope // the earliest one binds; the later ones kept to its scope
	return f == nil || r.group.effect == "retriable" || d.repeatable(r, f) && (scope == "all" ||
		f.to.Zone == w.Zone && (scope == "zone" || scope == "cell" && f.to.Cell == w.Cell))
}

// repeatable tells whether a repeat of a forward that may have run is still dropped within its scope.
func (d *Dispatcher) repeatable(r *inference, f *forward) bool {
	return r.group.effect == "deduped" && d.now <= f.sent+r.group.window-d.margin()
}

// spent tells whether the rules bar every further forward of this inference for good, to any worker: holding it
// for room or for a load would only keep its answer back.
func (d *Dispatcher) spent(r *inference) bool {
	f := r.mayHaveRun()
	return r.out == 0 && (r.n >= d.told.most ||
		f != nil && r.group.effect != "retriable" && !d.repeatable(r, f))
}

// mayShed tells whether the client may be told that trying again is harmless (rule 2).
func (d *Dispatcher) mayShed(r *inference) bool {
	f := r.mayHaveRun()
	return !r.stream && (f == nil || r.group.effect == "retriable" ||
		r.group.scope == "all" && d.repeatable(r, f))
}

// warmth is the share of its capacity a worker is sure to have since its start (rule 4).
func (d *Dispatcher) warmth(w *worker) float64 {
	span, low := d.told.warmAfter, d.told.coldShare
	if age := d.now - w.Start; age < span {
		return low + (1-low)*math.Max(0, age)/span
	}
	return 1
}

// open tells whether a worker takes a forward now: a cold one within our share of its budget (rule 4), one
// set aside as a trickle; where most look bad the cause is shared, and none counts so.
func (d *Dispatcher) open(r *inference, w *worker) bool {
	if c, fall := d.warmth(w), d.told.fall; c < 1 && d.sparse {
		// A turn would lapse unused: own inferences that would choose it come too rarely. So each of them goes
		// there by chance, less often when few workers are left to choose. It harms if one model is most traffic.
		share := coldSafety * d.told.overload * c * d.choice
		if d.now < w.coldAt || mix(uint64(r.id)<<32^uint64(w.ID)) > uint64(share*(1<<53))<<11 {
			return false
		}
	} else if c < 1 {
		if d.now > w.coldAt+fall { // a turn by chance; unused in time it lapses: all fellows' turns add up
			safe := coldSafety * (1 + 1/d.told.dispatchers) // alone there is no chance in it but our own
			share := math.Max(1/(fall*d.told.dispatchers), safe*d.told.overload*c*d.seen())
			w.coldAt = d.now + 2*d.rnd.share()/share
		}
		if d.now < w.coldAt {
			return false
		}
	}
	for _, h := range [2]*health{&w.health, &w.sides[r.side]} {
		if d.now < h.crowd || h.aside && (h != &w.health || 2*d.aside <= d.ready) &&
			(d.now < h.next || r.group.effect == "non-retriable" && h.rate <= trickleFirst) {
			return false
		}
	}
	return true
}

func (d *Dispatcher) spend(r *inference, w *worker) {
	if w.coldAt = math.Inf(-1); d.sparse && d.warmth(w) < 1 { // at our share of the whole budget, at most
		w.coldAt = d.now + 2*d.rnd.share()/(d.told.overload*d.warmth(w)*d.seen())
	}
	for _, h := range [2]*health{&w.health, &w.sides[r.side]} {
		if h.aside {
			h.next = d.now + (0.5+d.rnd.share())/h.rate // not in step with fellow dispatchers
		}
	}
}

// find places an inference: into an open group, into a new one, or it is held until there is a worker.
func (d *Dispatcher) find(r *inference) {
	if pl := d.join(r); pl != nil {
		if pl.count++; pl.cold {
			d.hold(r, pl)
		} else {
			d.send(r, pl)
		}
		return
	}
	switch pl := d.least(r, false); {
	case pl == nil && r.out == 0 && (r.hopeless || r.barred && r.n > 0):
		d.giveUp(r)
	case pl == nil || d.probe(r):
		d.hold(r, nil)
	default:
		pl.group, pl.open, pl.count = pl.group+1, 0, 1
		if pl.warm < d.now && !pl.cold {
			pl.cold, pl.since, pl.load = true, d.now, r.model.load
			pl.worker.loads += pl.load
		}
		d.send(r, pl)
	}
}

// probe asks some homes of the model, by chance, what they hold, where that is allowed, own traffic is too
// thin to tell and no report is new; the inference is held for the answers, or a look or two. Fewer or none
// are asked where the settings price a probe above what it gains: all dispatchers together pay for theirs.
func (d *Dispatcher) probe(r *inference) bool {
	if r.probed || r.n > 0 || !d.sparse || len(d.told.counts) == 0 || !d.told.probes || d.told.homes == 0 {
		return false
	}
	n := min(len(d.top), max(r.model.homes, probeHomes))
	for i := range min(n, d.told.homes) {
		j := i + int(d.rnd.share()*float64(n-i))
		d.top[i], d.top[j] = d.top[j], d.top[i]
		if w := d.top[i]; w.heldAt < d.now-probeFresh {
			d.probes = append(d.probes, w)
			r.probed = true
		}
	}
	return r.probed
}

// report takes what a worker reports to hold; those that wait there count twice where they are told apart.
func (d *Dispatcher) report(w *worker, told []float64, weight float64) {
	held := 0.0
	for _, i := range d.told.counts {
		if i >= len(told) {
			return
		}
		held += told[i]
	}
	if !(held >= 0 && held < never) {
		return
	}
	w.held = d.holds(w)
	w.held, w.heldAt = w.held+weight*(held-w.held), d.now
}

// join returns the place with an open group that this inference may join: under the limit, and own
// requests there take less than a load would; of several, where they take least.
func (d *Dispatcher) join(r *inference) *place {
	var best *place
	for _, pl := range r.model.groups() {
		if pl.count >= groupLimit {
			continue
		}
		w := pl.worker
		wait := d.queue(w) + float64(pl.waiting)*r.model.run
		if r.tried(w) || wait >= r.model.load || !d.may(r, w) || !d.open(r, w) || !d.room(r, w) ||
			d.now+wait/slots+math.Min(r.model.run, r.slo)/2 > r.notAfter {
			continue
		}
		if best == nil || w.work < best.worker.work {
			best = pl
		}
	}
	return best
}

// room tells whether the worker is under its width.
func (d *Dispatcher) room(r *inference, w *worker) bool { return float64(w.out-w.cold) < d.width(r) }

// width is how many own forwards a worker may have out. Inferences that can no longer be in time, or are
// beyond their tenant's share, leave part of it to the others.
func (d *Dispatcher) width(r *inference) float64 {
	limit := max(widthLeast, widthAll/d.told.dispatchers)
	if r.over || r.repeat || d.now+r.model.run > r.taken+r.slo {
		limit *= staleShare
	}
	return limit
}

// queue is the run time queued at a worker: ours, and for fellows' what it reports to hold where own traffic
// is sparse, else for each as much as ours is there over time, since all share the same homes of models.
func (d *Dispatcher) queue(w *worker) Seconds {
	if d.sparse && len(d.told.counts) > 0 {
		return max(w.work, d.holds(w)*d.run/atOnce)
	}
	if d.told.dispatchers > 1 && w.meanAt < d.now {
		if d.easedFrom != w.meanAt || d.easedTo != d.now { // most were looked at together the last time too
			d.easedFrom, d.easedTo, d.eased = w.meanAt, d.now, 1-math.Exp((w.meanAt-d.now)/meanSpan)
		}
		w.mean += (w.work - w.mean) * d.eased
		w.meanAt = d.now
	}
	return w.work + (d.told.dispatchers-1)*w.mean
}

// holds is how many inferences a worker holds by its reports, drawn as they age to what the fleet must hold
// on average by Little's law (the mean of the reports themselves leans to the busy workers).
func (d *Dispatcher) holds(w *worker) float64 {
	mean := d.told.dispatchers * d.taken() * d.run / math.Max(1, float64(d.ready))
	return mean + (w.held-mean)*math.Exp((w.heldAt-d.now)/reportSpan)
}

// taken is how many inferences a second this dispatcher takes, worked out once for each moment.
func (d *Dispatcher) taken() float64 {
	if d.rateAt != d.now || d.rateOf != d.asked {
		span := homeSpan * (1 - math.Exp(-math.Max(1, d.now)/homeSpan))
		d.rate = d.asked * math.Exp((d.askedAt-d.now)/homeSpan) / span
		d.rateAt, d.rateOf = d.now, d.asked
	}
	return d.rate
}

// seen is how many of those come for each worker.
func (d *Dispatcher) seen() float64 { return d.taken() / math.Max(1, float64(d.ready)) }

// least returns the place with least queued work, load included where no warm copy is believed. Costs too
// near to tell apart are ties; they go by a hash of model and worker that all dispatchers share: so they
// agree unasked on where a model lives, and return to where a copy or an image may still be.
func (d *Dispatcher) least(r *inference, warmOnly bool) *place {
	m, low, resting := r.model, math.Inf(1), false
	d.top, r.hopeless, r.barred = d.top[:0], false, true
	aim, timely := r.taken+r.slo, false
	until := r.notAfter
	if d.timely > math.Max(r.taken+giveWay*r.slo, d.now-r.slo) {
		until = math.Min(until, aim) // a younger one that is held could be in time: late answers feed an overload
	}
	choice := 0.0
	for _, w := range d.workers {
		w.cost = math.Inf(1)
		if !d.may(r, w) {
			continue
		}
		r.barred = false
		queue := d.queue(w)
		end := d.now + queue/slots + min(m.run, r.slo)/2
		timely = timely || end <= aim
		late := end > until // the wait outlasts the client
		if open := d.open(r, w); !open || late {
			resting, r.hopeless = resting || !open, r.hopeless || late
			continue
		}
		choice++
		w.cost = (queue + m.run) / d.warmth(w)
		// A quick error must not make a worker look empty: its failures count as work to be done again.
		w.cost += max(w.bad, w.sides[r.side].bad) * (m.load + r.slo)
		if r.tried(w) {
			w.cost += aheadOff
		}
		w.rank = mix(uint64(m.id)*0x9e3779b97f4a7c15 ^ uint64(w.ID))
		d.top = append(d.top, w)
	}
	d.choice = math.Min(1, math.Max(choice, 1)/math.Max(1, float64(d.ready)))
	if d.sparse {
		d.top = first(d.top, max(m.homes, probeHomes))
	}
	if d.looks++; m.homes > 1 {
		for _, w := range d.top[:min(len(d.top), m.homes)] {
			w.home = d.looks
		}
	}
	for _, w := range d.workers {
		if w.cost <= math.MaxFloat64 {
			pl := m.seen(w)
			if w.hot = pl.warm >= d.now || w.home == d.looks; !w.hot {
				// Loads run beside the work of warm copies: those pending hold up only another load.
				w.cost += m.load
				if warmOnly || d.now+w.loads/loadsBeside > r.notAfter {
					w.cost = math.Inf(1) // or the loads pending there outlast the client's time
				}
			}
			low = min(low, w.cost)
		}
	}
	var best *worker
	top, band, width := uint64(0), low+tieBand*m.load, d.width(r)
	for _, w := range d.workers {
		if w.cost > band || w.cost > math.MaxFloat64 {
			continue
		}
		h := w.rank >> 2
		if w.hot {
			if d.sparse { // by cost, ties by chance: fellows see the same reports
				h = uint64(1e18 / (1 + w.cost + tieWarm*m.run*d.rnd.share()))
			}
			h |= 1 << 63 // a warm copy before any hash, also where it has to be waited for
		}
		if float64(w.out-w.cold) < width {
			h |= 1 << 62
		}
		if best == nil || h > top {
			best, top = w, h
		}
	}
	r.hopeless = r.hopeless && best == nil && !resting
	// A home that turned a load away is waited for: left for another, its models are loaded twice, push others
	// out, and the fleet has more to load than before. It harms where a worker has no room for long.
	if best == nil || !d.room(r, best) ||
		r.n == 0 && !best.hot && (m.seen(best).noRoom > d.now || best.noLoad > d.now) {
		if timely {
			d.timely = math.Max(d.timely, r.taken)
		}
		return nil
	}
	return m.at(best)
}

// send wants a forward to a place and books it in the ledger.
func (d *Dispatcher) send(r *inference, pl *place) {
	w, m := pl.worker, r.model
	f := &r.forwards[r.n]
	*f = forward{to: w, sent: d.now, run: m.run, group: pl.group, expect: w.work + m.run}
	if pl.warm < d.now {
		f.load, f.expect = true, f.expect+m.load+w.loads
		w.cold++
	}
	r.n, r.out, r.want = r.n+1, r.out+1, wantForward
	d.touch(r)
	d.queue(w)
	w.work, w.out = w.work+f.run, w.out+1
	pl.open, pl.out = pl.open+1, pl.out+1
	m.joined(pl)
	d.spend(r, w)
}

// release lets those held for a place go: to it where a copy stands there, else anew.
func (d *Dispatcher) release(pl *place, stands bool) {
	for i := 0; i < len(d.hand.all) && pl.waiting > 0; i++ {
		r := d.hand.all[i]
		if !r.live || r.waits != pl || r.want != wantHold {
			continue
		}
		r.unhold()
		to, missed := pl, !stands && r.n > 0
		if missed { // to a warm worker, or back to the client
			to = d.least(r, true)
		}
		if to == nil {
			d.giveUp(r)
		} else if w := to.worker; (stands || missed) && d.may(r, w) && d.open(r, w) && d.room(r, w) {
			d.send(r, to)
		} else {
			d.find(r)
		}
	}
}

func (d *Dispatcher) Outcome(o Outcome) {
	r := d.hand.find(o.ID)
	if r == nil || o.Forward < 0 || o.Forward >= r.n || r.forwards[o.Forward].fate != fateOut {
		return
	}
	f := &r.forwards[o.Forward]
	w, m := f.to, r.model
	pl := m.at(w)
	d.changed = true
	d.queue(w)
	d.unbook(r, f, pl)
	if f.fate = fateMay; o.Result.NeverRan() {
		f.fate = fateNever
	}
	side := &w.sides[r.side]
	if o.Result.Heard() {
		side.at, side.ok = d.now, o.Result == Returned || o.Result == Missed
	}
	d.report(w, o.Report, reportBlend)
	if o.Result == Returned && o.Forward > 0 {
		d.furtherOK += blend * (1 - d.furtherOK)
	} else if o.Forward > 0 && o.Result != Cancelled && o.Result != Missed {
		d.furtherOK -= blend * d.furtherOK
	}
	switch o.Result {
	case Returned:
		d.learn(r, f, o)
		d.judge(&w.health, true)
		d.judge(side, true)
		if f.sent > w.Start {
			pl.warm = d.now + d.told.keep
		}
		d.settled(pl)
		d.release(pl, true)
		d.end(r)
		return
	case Missed:
		pl.warm = math.Inf(-1)
		if r.want != wantDone && !o.Final && o.Found != LoadFailed && d.order(pl) {
			if d.hold(r, pl); d.spent(r) {
				d.giveUp(r)
			}
			return
		}
	case Full:
		h := d.blame(w, r.side, f.sent-blameSpan)
		f.full, h.fulls = d.sparse, h.fulls+1
		until := d.now + math.Min(crowdPause*math.Exp2(h.fulls-1), crowdMost)
		if f.load && m.homes == 1 { // no room for the copy, or too many loads: warm copies may still do well
			w.noLoad = until
		} else {
			h.crowd = until
		}
	case Errored, TimedOut, ConnectFailed, Reset:
		if o.Found == LoadFailed {
			pl.warm = math.Inf(-1)
		} else if o.Result != TimedOut || d.now < r.notAfter-d.margin() {
			d.judge(d.blame(w, r.side, f.sent-blameSpan), false)
		}
	}
	d.settled(pl)
	d.release(pl, false)
	if o.Final || r.want == wantDone {
		d.end(r)
	} else if r.out == 0 && r.want != wantHold {
		d.again(r)
	}
}

func (d *Dispatcher) learn(r *inference, f *forward, o Outcome) {
	m, g := r.model, r.group
	switch {
	case o.Found == FoundWarm || o.Found == NotTold && !f.load:
		ease(&m.run, &m.timed, o.Took, blend)
		d.run += blend / 2 * (o.Took - d.run)
		ease(&g.run, &g.timed, o.Took, blend)
		if r.work == 0 {
			g.work += blend * (o.Took - g.work)
		}
	case o.Found == BeganLoad:
		d.loaded(m, math.Max(0, o.Took-m.run))
	}
}

func (d *Dispatcher) loaded(m *model, took Seconds) {
	ease(&m.load, &m.heard, took, blend)
	m.group.load += blend * (took - m.group.load)
}

// blame finds the narrowest scope that a failure speaks of. Where the worker did well by another tenant or
// model group since, and that is the latest heard of others, it speaks of this tenant and group there only.
func (d *Dispatcher) blame(w *worker, side int, since Seconds) *health {
	last := health{at: since}
	for i, h := range w.sides {
		if i != side && h.at > last.at {
			last = h
		}
	}
	if last.ok {
		return &w.sides[side]
	}
	return &w.health
}

// judge keeps a failure share, sets aside by it and brings back by a trickle that doubles.
func (d *Dispatcher) judge(h *health, ok bool) {
	was := h.aside
	if ok {
		h.bad, h.fulls, h.rate = h.bad-badBlend*h.bad, 0, 2*h.rate
		if h.aside && h.rate >= trickleBack {
			h.aside, h.bad = false, badAside/2 // one more failure sets it aside again
		}
	} else if h.bad += badBlend * (1 - h.bad); h.bad > badAside || h.aside {
		h.aside, h.rate, h.next = true, trickleFirst, d.now+1/trickleFirst
	}
	if h.aside != was {
		d.countReady()
	}
}

// again makes a further forward where the model group, the rules and the success of recent ones allow.
func (d *Dispatcher) again(r *inference) {
	if d.further >= 1 && slices.ContainsFunc(d.workers, func(w *worker) bool { return d.may(r, w) }) {
		d.further--
		d.find(r)
	} else if r.out == 0 {
		d.giveUp(r)
	}
}

// giveUp answers an inference for good, at once.
func (d *Dispatcher) giveUp(r *inference) {
	d.touch(r)
	r.unhold()
	if r.want = wantFail; d.mayShed(r) {
		r.want = wantShed
	}
}

// order wants a load order for a place: one for a worker and model at a time, within the ration.
func (d *Dispatcher) order(pl *place) bool {
	if pl.ordered || pl.wanted || !d.told.orders ||
		pl.noRoom > d.now || pl.worker.State != Ready {
		return pl.ordered || pl.wanted
	}
	if span := d.told.window; span > 0 { // rule 5
		sent, taken := d.ration.count(d.now, span)
		if sent+1 > d.told.few+d.told.share*taken {
			return false
		}
		d.ration.sent[rationParts]++
	}
	pl.wanted = true
	d.orders = append(d.orders, pl)
	return true
}

func (d *Dispatcher) Ordered(o OrderResult) {
	w, m := d.known[o.Worker], d.models[o.Model]
	if w == nil || m == nil {
		return
	}
	pl := m.at(w)
	pl.ordered = false
	stands := o.Result == Returned && o.Copies > 0
	if pl.warm = d.now + d.told.keep; stands {
		d.loaded(m, o.Took)
	} else {
		pl.warm, pl.noRoom = math.Inf(-1), d.now+roomPause
	}
	d.settled(pl)
	d.release(pl, stands)
}

func (d *Dispatcher) Probed(o ProbeResult) {
	if w := d.known[o.Worker]; w != nil && o.Result == Returned {
		d.report(w, o.Report, 1)
	}
	d.changed = true
	d.look()
}

// look goes over all in hand: time-outs, late forwards, and those held for a worker to have room.
func (d *Dispatcher) look() {
	retry := d.changed || d.now > d.retried+lookLong
	if retry {
		d.changed, d.retried = false, d.now
	}
	for _, r := range d.hand.all {
		if !r.live || r.want != wantHold && r.want != wantOut {
			continue
		}
		if !r.stream && (d.now >= r.notAfter-d.margin() || r.want == wantHold && d.spent(r)) {
			d.giveUp(r)
			continue
		}
		if r.want == wantHold {
			if pl := r.waits; pl == nil && retry || pl != nil && (pl.worker.State != Ready || pl.worker.aside ||
				!pl.ordered && !pl.wanted && d.now >= pl.since+patience*r.model.load) {
				r.unhold()
				d.find(r)
			}
			continue
		}
		for i := 0; i < r.n && r.want == wantOut && !r.stream; i++ {
			if f := &r.forwards[i]; f.fate == fateOut && !f.hedged {
				d.late(r, f)
			}
		}
	}
}

// late answers silence: a worker that answered none like it since a forward far past its expected time, or is
// gone or new, has failed it, and a second copy goes out where allowed; else the inference is just heavy.
func (d *Dispatcher) late(r *inference, f *forward) {
	lost := f.to.State == Gone || f.sent <= f.to.Start
	if !lost && (f.to.sides[r.side].at > f.sent || d.now-f.sent < math.Max(patience*f.expect, r.slo/2)) {
		return
	}
	if f.hedged = true; !lost {
		d.judge(d.blame(f.to, r.side, f.sent), false)
	}
	if d.told.second {
		d.again(r)
	}
}

// Settle emits the difference between the wanted state and what is out.
func (d *Dispatcher) Settle() {
	if d.now >= d.askAt {
		d.askAt = math.Inf(1)
		d.act.Subscribe(true)
	}
	for _, err := range d.wrong {
		d.act.Log(err.Error() + "; the default is used")
	}
	d.wrong = nil
	for _, pl := range d.orders {
		pl.wanted = false
		if pl.worker.State == Ready {
			pl.ordered, pl.since = true, d.now
			d.act.Order(pl.worker.ID, pl.model.id, 1)
		}
	}
	for _, w := range d.probes {
		d.act.Probe(w.ID)
	}
	for _, r := range d.dirty {
		r.dirty = false
		switch r.want {
		case wantForward:
			d.act.Forward(r.id, r.forwards[r.n-1].to.ID, 0)
			r.want = wantOut
		case wantShed:
			d.act.Shed(r.id, math.Min(r.model.load, d.told.retryMost))
			r.want = wantDone
		case wantFail:
			d.act.Fail(r.id)
			r.want = wantDone
		}
		if r.want != wantDone {
			continue
		}
		for i := range r.forwards[:r.n] {
			if f := &r.forwards[i]; f.fate == fateOut && d.told.cancel && !r.stream {
				d.act.Cancel(r.id, i)
			}
		}
		if r.out == 0 && r.live {
			d.hand.drop(r)
		}
	}
	d.orders, d.probes, d.dirty = d.orders[:0], d.probes[:0], d.dirty[:0]
	if !d.waked && (len(d.hand.byID) > 0 || !math.IsInf(d.askAt, 1)) {
		d.waked = true
		d.act.Wake(scan, 0)
	}
}
