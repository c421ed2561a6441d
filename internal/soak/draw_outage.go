package soak

import "math/rand/v2"

const (
	outageRandomStream  = 11  // stream of the random source for DrawOutage
	firstOutageAt       = 0.8 // s
	outageStartRange    = 0.6 // s after firstOutageAt
	minOutageAfterGrace = 2.0 // s that an outage lasts at least after outageNotificationDelay and the drain grace
	maxOtherFaults      = 3
	lateDrainDelay      = 7.5 // s from the start of the outage
)

// otherOutageFaults are the kinds of fault that may occur within an outage besides WorkerDrains.
var otherOutageFaults = []FaultKind{Terminate, Kill, SignalSeries, Reload, Suspend, WorkerResets, WorkerHangs, LinkSlow, ClientsCancel}

// DrawOutage draws a plan from a seed: an outage of the change log, longer than outageNotificationDelay, during which
// workers drain and keep running, with a few other faults. Some plans have more clients, or an outage with a gap.
func DrawOutage(seed uint64, b Bounds) Plan {
	rnd := rand.New(rand.NewPCG(seed, outageRandomStream))
	p := Plan{Seed: seed, Site: drawOutageSite(rnd, b)}
	from := firstOutageAt + outageStartRange*rnd.Float64()
	to := from + outageNotificationDelay + p.Site.Grace + minOutageAfterGrace*(1+rnd.Float64())
	p.Duration = to + 1
	p.Faults = append(drawOutageSpans(rnd, from, to), drawDrains(rnd, p.Site, from, to)...)
	for range rnd.IntN(maxOtherFaults + 1) {
		fault := drawFault(rnd, pick(rnd, otherOutageFaults...), p.Site, to)
		fault.From = from + (to-from)*rnd.Float64()
		fault.To = fault.From + 0.1 + 0.9*rnd.Float64()
		p.Faults = append(p.Faults, fault)
	}
	return p
}

func drawOutageSite(rnd *rand.Rand, b Bounds) Site {
	site := drawSite(rnd, b)
	site.Deadline = pick(rnd, 0.12, 0.25, 0.6, 1.2, 2.5, 4)
	site.Sockets = pick(rnd, 128, 256)
	site.Capacity = pick(rnd, 0, 2, 4, 8)
	site.RunTime = min(pick(rnd, 0.005, 0.02, 0.04), site.Deadline/6)
	if rnd.IntN(4) == 0 {
		site.Clients = 2 * clientsPerDispatcher
		site.RequestInterval = meanRequestInterval / 2
	}
	return site
}

// drawOutageSpans draws the outage: one fault, or two if discovery is available for a moment in between.
func drawOutageSpans(rnd *rand.Rand, from, to float64) []Fault {
	variant := float64(rnd.IntN(outageVariantCount))
	outage := Fault{Kind: DiscoveryOutage, From: from, To: to, Amount: variant}
	if rnd.IntN(4) > 0 {
		return []Fault{outage}
	}
	gapAt := from + (to-from)*rnd.Float64()
	first := outage
	first.To = gapAt
	second := outage
	second.From = gapAt + 0.1 + 0.4*rnd.Float64()
	return []Fault{first, second}
}

// drawDrains draws the workers that drain in an outage: early, late, one after the other, or all but one early.
func drawDrains(rnd *rand.Rand, site Site, from, to float64) (drains []Fault) {
	pattern := rnd.IntN(4)
	count := 1 + rnd.IntN(site.Workers-1)
	if pattern == 3 {
		count = site.Workers - 1
	}
	for i := range count {
		at := from + 0.05 + 0.45*rnd.Float64()
		switch pattern {
		case 1:
			at = from + lateDrainDelay + rnd.Float64()
		case 2:
			at = from + (to-from)*float64(i)/float64(count)
		}
		end := to + 0.5*rnd.Float64()
		if rnd.IntN(3) == 0 { // a new process starts at its address during the outage
			end = at + (to-at)*rnd.Float64()
		}
		end = max(end, at+site.Grace+drainMargin)
		drains = append(drains, Fault{Kind: WorkerDrains, Target: i, From: at, To: end})
	}
	return drains
}
