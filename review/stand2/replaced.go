package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
)

func init() { cases["replaced"] = replacedCase }

const (
	replacedSpan   = 96.0 // s of requests
	replacedRate   = 75.0 // requests/s
	replacedEvery  = 6.0  // s between two replacements
	replacedCells  = 4
	replacedHosts  = 12
	restartGap     = 0.3 // s from the end of a process to the start of the next at its address
	startToldAfter = 2.0 // s from a start until the list tells of it: add_s is 0.94 to 2.1 s
	endToldAfter   = 3.0 // s from an end until the list tells of it: notice_s is 0.62 to 4.1 s
	ruleSlack      = 0.05
)

// replacedCase replaces runners by new ones at their addresses, in another cell.
func replacedCase(w *world) int {
	models := make([]string, 24)
	for i := range models {
		models[i] = newID()
	}
	f := &fleet{rec: w.rec, memory: map[string]*attempt{}, window: 12, load: between(0.8, 2), work: between(0.13, 0.23), coldFrom: 0.3, coldFor: 12}
	var runners []*runner
	var members []member
	for i := range replacedHosts {
		r := f.startRunner(fmt.Sprintf("s-%02d", i), "", i%replacedCells, -100)
		runners = append(runners, r)
		members = append(members, r.member("active", 0))
	}
	log := w.newChangeLog(members)
	d := w.newDispatcher("n1")
	d.writeConfig(log.addr, log.known(), packetSettings(1), 1024)
	d.start()
	c := w.newClients(d, 6)
	from := w.rec.now()
	var done sync.WaitGroup
	done.Add(1)
	go func() {
		defer done.Done()
		for n := 1; w.trouble && float64(n)*replacedEvery+10 < replacedSpan; n++ {
			w.rec.sleepUntil(from + 8 + float64(n)*replacedEvery)
			i := (n * 5) % replacedHosts
			runners[i] = f.replace(log, runners[i], n)
		}
	}()
	for i := 0; w.rec.now() < from+replacedSpan; i++ {
		w.rec.sleepUntil(from + float64(i)/replacedRate)
		model := models[int(float64(len(models))*rand.Float64()*rand.Float64())]
		switch x := rand.Float64(); {
		case x < 0.4:
			c.send("taxon-guess", "", model, 2.5+2.5*rand.Float64())
		case x < 0.75:
			c.send("record-update", newKey(), model, 3+3*rand.Float64())
		default:
			c.send("catalogue-number", "", model, 2+2*rand.Float64())
		}
	}
	done.Wait()
	sleep(6)
	w.rec.printf("requests by class and end: %v", c.counts())
	return f.judgeCells(0)
}

// replace ends a runner and starts another one of the next cell at its address. The list tells of both later.
func (f *fleet) replace(log *changeLog, old *runner, n int) *runner {
	old.die()
	sleep(restartGap)
	startedAt := f.rec.now()
	next := f.startRunner(fmt.Sprintf("t-%02d", n), old.addr, (old.cell+1)%replacedCells, startedAt)
	go func() {
		f.rec.sleepUntil(startedAt + startToldAfter)
		log.tell(next.member("active", f.rec.unix(startedAt)))
		f.rec.sleepUntil(startedAt - restartGap + endToldAfter)
		log.tell(old.member("left", 0))
	}()
	return next
}

// judgeCells checks that no deduped request that may have run was sent to a runner of another cell later than a time.
func (f *fleet) judgeCells(after float64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	earlier := map[string][]*attempt{}
	broken, twice := 0, 0
	for _, a := range f.attempts {
		if a.class != "record-update" {
			continue
		}
		for _, e := range earlier[a.id] {
			if a.at <= after || e.neverRan() || e.cell == a.cell {
				continue
			}
			broken++
			f.rec.printf("BROKEN: %s was sent at %.3f to %s of cell %d, where it may have run (%s, ran at %.3f), and at %.3f to %s of cell %d (%s, ran at %.3f)",
				a.id, e.at, e.runner, e.cell, e.end, e.ranAt, a.at, a.runner, a.cell, a.end, a.ranAt)
			if e.ranAt > 0 && a.ranAt > 0 {
				twice++
			}
		}
		earlier[a.id] = append(earlier[a.id], a)
	}
	summary := fmt.Sprintf("%d deduped requests, %d repeats outside the cell of an attempt that may have run, %d of them applied twice", len(earlier), broken, twice)
	f.rec.printf("%s", summary)
	fmt.Println(summary)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
