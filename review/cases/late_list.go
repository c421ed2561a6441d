package main

import (
	"fmt"
	"time"
)

// This file is the case of a deduped request that was sent to a runner of another cell before the list told of it, and is
// sent again in the cell of that runner's predecessor after the list has told of it.

const (
	longRun      = 350 * time.Millisecond
	listDelay    = 4000 * time.Millisecond // from the replacement of a runner until the list tells of it
	resetDelay   = 60 * time.Millisecond
	resetSpan    = 400 * time.Millisecond
	listInterval = 4 * time.Millisecond // between two requests
	rounds       = 6
)

// lateList plays the case. It reports whether the rule held; an error means that the case could not run.
func lateList(e *environment) (held bool, err error) {
	cell1 := newGroup(1, cellWindow)
	cell2 := newGroup(2, cellWindow)
	runners, err := e.startRunners(cell1, cell1, cell1, cell1, cell1, cell1, cell1, cell2, cell2, cell2, cell2)
	if err != nil {
		return false, err
	}
	for _, r := range runners {
		r.runTime = longRun
	}
	d, err := e.startDispatcher(otherCellSettings(false))
	if err != nil {
		return false, err
	}
	load, err := startUpdates(e.rec, d.address, listInterval)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	all := runners
	for i := range rounds {
		if !e.trouble {
			time.Sleep(listDelay + time.Second)
			continue
		}
		replacement, err := e.replaceLate(runners[i], cell2)
		if err != nil {
			return false, err
		}
		all = append(all, replacement)
	}
	requests := load.end()
	for _, r := range requests {
		<-r.done
	}
	time.Sleep(500 * time.Millisecond)
	return judgeLateList(e.rec, all, requests), nil
}

// replaceLate replaces a runner by one of another cell at its address. The list tells of it seconds later, and soon after
// that connections to the new runner are reset under requests that it has run. It returns the new runner.
func (e *environment) replaceLate(old *runner, g *group) (*runner, error) {
	startedAt := time.Now()
	old.end()
	replacement, err := newRunner(e.rec, old.name+"2", old.listener.Addr().String(), g)
	if err != nil {
		return nil, fmt.Errorf("replace runner %s: %w", old.name, err)
	}
	replacement.runTime = longRun
	e.rec.add("runner %s has ended, and runner %s of cell %d has started at its address", old.name, replacement.name, g.cell)
	time.Sleep(listDelay)
	left := old.member()
	left.Phase = "left"
	joined := replacement.member()
	joined.UpSinceMS = startedAt.UnixMilli()
	e.log.add(false, []member{left, joined})
	replacement.toldAt = e.rec.add("the change log tells that runner %s has left, and of runner %s", old.name, replacement.name)
	time.Sleep(resetDelay)
	e.rec.add("connections to runner %s are reset under requests", replacement.name)
	replacement.setReset(func(attempt) bool { return true })
	time.Sleep(resetSpan)
	replacement.setReset(nil)
	time.Sleep(time.Second - resetSpan)
	return replacement, nil
}

// judgeLateList reports whether no deduped request that a replacement had run was sent to another cell after the change log
// had told of the replacement.
func judgeLateList(rec *record, runners []*runner, requests []*request) bool {
	held := true
	twice := 0
	for _, r := range requests {
		var attempts []attempt
		runs := 0
		for _, runner := range runners {
			attempts = append(attempts, runner.received(r.id)...)
			if runner.hasRun(r.id) {
				runs++
			}
		}
		if runs > 1 {
			twice++
		}
		for _, a := range attempts {
			for _, earlier := range attempts {
				toldAt := earlier.runner.toldAt + timeSlack
				if toldAt <= timeSlack || a.arrivedAt < toldAt || a.arrivedAt <= earlier.arrivedAt {
					continue
				}
				if a.runner.group != earlier.runner.group && earlier.runner.hasRun(r.id) {
					held = false
					rec.say("BROKEN: request %s, key %s: run by runner %s of cell %d, then sent to runner %s of cell %d, %.3f s after the change log had told of %s",
						r.id, r.key, earlier.runner.name, earlier.runner.group.cell, a.runner.name, a.runner.group.cell,
						a.arrivedAt-earlier.runner.toldAt, earlier.runner.name)
				}
			}
		}
	}
	rec.say("%d requests, %d took effect more than once", len(requests), twice)
	return held
}
