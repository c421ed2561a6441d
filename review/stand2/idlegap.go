package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
)

func init() { cases["idlegap"] = idleGapCase }

const (
	gapRate    = 90.0 // requests/s
	gapBusy    = 6.0  // s of requests before the quiet time
	gapQuiet   = 15.0 // s without requests: connections are closed as idle
	gapOutage  = 55.0 // s for which the change log answers nothing
	gapTold    = 7.0  // s after which it counts as told (PROTOCOL)
	gapReset   = 0.2  // part of the deduped requests of cell 1 whose connection is reset after they have run
	gapStartIn = 0.1  // s from the end of a process to the start of the next at its address
)

// gapRun is the state of the case.
type gapRun struct {
	w      *world
	fleet  *fleet
	log    *changeLog
	hosts  []*runner
	models []string
	c      *clients
	silent atomic.Bool
}

// idleGapCase replaces a runner while nobody is connected to it; soon after, the change log falls silent.
func idleGapCase(w *world) int {
	g := &gapRun{w: w}
	g.fleet = &fleet{rec: w.rec, memory: map[string]*attempt{}, window: 12, load: between(0.8, 1.2), work: between(0.13, 0.23), coldFrom: 0.3, coldFor: 8}
	for range 24 {
		g.models = append(g.models, newID())
	}
	var members []member
	for i, name := range []string{"a", "b", "c", "d", "e", "f"} {
		r := g.fleet.startRunner(name, "", 1+i/3, -100)
		g.hosts = append(g.hosts, r)
		members = append(members, r.member("active", 0))
	}
	g.log = w.newChangeLog(members)
	g.log.hold = g.silent.Load
	g.log.polled = make(chan float64)
	d := w.newDispatcher("n1")
	d.writeConfig(g.log.addr, g.log.known(), packetSettings(1), 1024)
	d.start()
	g.c = w.newClients(d, 4)
	g.sendUntil(w.rec.now() + gapBusy)
	g.pickBusiest()
	sleep(gapQuiet)
	toldAt := g.replaceAndFallSilent()
	g.sendUntil(toldAt + gapOutage - gapTold)
	g.silent.Store(false)
	sleep(6)
	w.rec.printf("requests by class and end: %v", g.c.counts())
	return g.fleet.judgeCellsAfter(toldAt)
}

// pickBusiest puts the runner of cell 1 with the most requests so far in front: the one that is replaced.
func (g *gapRun) pickBusiest() {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	counts := map[string]int{}
	for _, a := range g.fleet.attempts {
		counts[a.runner]++
	}
	cell := g.hosts[:3]
	slices.SortFunc(cell, func(x, y *runner) int { return counts[y.id] - counts[x.id] })
}

// replaceAndFallSilent replaces that runner right after a poll, as far as there is trouble. It starts the outage two polls later
// and returns when what the change log would have told counts as told.
func (g *gapRun) replaceAndFallSilent() (toldAt float64) {
	from := <-g.log.polled
	oldID := g.hosts[0].id
	startedAt := from + gapStartIn
	if g.w.trouble {
		g.w.rec.printf("connections to %s: %d", g.hosts[0].id, g.hosts[0].connections())
		g.hosts[0].die()
		g.w.rec.sleepUntil(startedAt)
		g.hosts[0] = g.fleet.startRunner("new", g.hosts[0].addr, 2, startedAt)
	}
	outageAt := from + 2.1
	toldAt = outageAt + gapTold
	old, next := member{ID: oldID, HostPort: g.hosts[0].addr, Phase: "left", Cell: 1, Locality: "east", Flavor: "std", Size: 4}, g.hosts[0].member("active", 0)
	go func() {
		g.w.rec.sleepUntil(outageAt)
		if !g.w.trouble {
			return
		}
		g.silent.Store(true)
		g.w.rec.printf("the change log falls silent; it counts as having told at %.3f", toldAt)
		g.w.rec.sleepUntil(startedAt + 2.1)
		next.UpSince = g.w.rec.unix(startedAt)
		g.log.tell(next)
		g.w.rec.sleepUntil(from + 4)
		g.log.tell(old)
		g.w.rec.sleepUntil(toldAt + 0.5)
		g.w.rec.printf("connections to the others of cell 1 are reset under requests from now on")
		for _, r := range g.hosts[1:3] {
			r.resets.Store(true)
		}
	}()
	return toldAt
}

// sendUntil sends requests until a time.
func (g *gapRun) sendUntil(end float64) {
	from := g.w.rec.now()
	for i := 0; g.w.rec.now() < end; i++ {
		g.w.rec.sleepUntil(from + float64(i)/gapRate)
		model := g.models[int(float64(len(g.models))*rand.Float64()*rand.Float64())]
		if rand.Float64() < 0.5 {
			g.c.send("taxon-guess", "", model, 2.5+2.5*rand.Float64())
		} else {
			g.c.send("record-update", newKey(), model, 3+3*rand.Float64())
		}
	}
}

// connections returns how many connections to the runner are open.
func (r *runner) connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// judgeCellsAfter is like judgeCells for sends later than a time.
func (f *fleet) judgeCellsAfter(toldAt float64) int {
	f.mu.Lock()
	first := slices.IndexFunc(f.attempts, func(a *attempt) bool { return a.at > toldAt+ruleSlack })
	if first < 0 {
		first = len(f.attempts)
	}
	f.mu.Unlock()
	f.rec.printf("%s", fmt.Sprintf("judged are the sends later than %.3f: %d of %d", toldAt+ruleSlack, len(f.attempts)-first, len(f.attempts)))
	return f.judgeCells(toldAt + ruleSlack)
}
