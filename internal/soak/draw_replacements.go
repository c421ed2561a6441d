package soak

import "math/rand/v2"

const (
	replacementsRandomStream = 17  // stream of the random source for DrawReplacements
	frequentReplacements     = 1.5 // per second of the plan
	rareReplacements         = 0.4 // per second: connections to most workers get old enough to identify their processes
	otherFaultsPerSecond     = 2.0
	plansPerOutage           = 3   // one in so many plans has an outage of the change log
	outageMargin             = 3.0 // s that the outage lasts at least after outageNotificationDelay
	replacementClients       = 6   // per dispatcher
	latestResetAfterNews     = 0.3 // s from the news of a replacement until the worker resets connections
	resetSpan                = 0.5 // s
	minReplacementsDuration  = 18  // s of a plan: dispatchers send nothing again in a limited scope before connections are 7 s old
)

// otherReplacementFaults are the kinds of fault that may occur beside replacements: those that make dispatchers send requests
// again, or delay attempts.
var otherReplacementFaults = []FaultKind{WorkerResets, WorkerResets, WorkerCorrupts, WorkerHangs, WorkerStopsReading, WorkerRefuses,
	LinkSlow, WorkerLeaves, ChangeLogFails, Reload, Suspend, Kill, ClientsCancel}

// DrawReplacements draws a plan from a seed: worker processes of two groups are replaced by processes of the other group at the
// same address, and the change log tells of it at once or seconds later. Only workers of one group drop each other's repeats.
// Some plans have an outage of the change log that is longer than outageNotificationDelay.
func DrawReplacements(seed uint64, b Bounds) Plan {
	rnd := rand.New(rand.NewPCG(seed, replacementsRandomStream))
	p := Plan{Seed: seed, Duration: max(b.Duration, minReplacementsDuration), Site: drawSite(rnd, b)}
	p.Site.Scope = pick(rnd, scopeZone, scopeCell, scopeCell)
	p.Site.Deadline = pick(rnd, 0.6, 1.2, 2.5, 4)
	p.Site.RunTime = min(pick(rnd, 0.005, 0.1, 0.3), p.Site.Deadline/6) // long enough for attempts that run while the news comes
	p.Site.Window = pick(rnd, 0.2, 1, 3, 12)
	p.Site.Clients = replacementClients
	if rnd.IntN(plansPerOutage) == 0 {
		from := firstOutageAt + outageStartRange*rnd.Float64()
		to := from + outageNotificationDelay + outageMargin*(1+rnd.Float64())
		p.Duration = max(p.Duration, to+1)
		p.Faults = append(p.Faults, Fault{Kind: DiscoveryOutage, From: from, To: to, Amount: float64(rnd.IntN(outageVariantCount))})
	}
	for range int(pick(rnd, frequentReplacements, rareReplacements, rareReplacements) * p.Duration) {
		p.Faults = append(p.Faults, drawReplacement(rnd, p.Site, p.Duration)...)
	}
	for range int(otherFaultsPerSecond * p.Duration) {
		p.Faults = append(p.Faults, drawFault(rnd, pick(rnd, otherReplacementFaults...), p.Site, p.Duration))
	}
	return p
}

// drawReplacement draws the replacement of a worker's process, after the news of which the new one resets connections.
func drawReplacement(rnd *rand.Rand, site Site, duration float64) []Fault {
	f := drawFault(rnd, WorkerReplaced, site, duration)
	f.Amount = pick(rnd, 0, 0.1, 0.6, 2, 4)
	f.To = f.From + f.Amount
	resets := Fault{Kind: WorkerResets, Target: f.Target, From: f.To + latestResetAfterNews*rnd.Float64()}
	resets.To = resets.From + resetSpan
	return []Fault{f, resets}
}
