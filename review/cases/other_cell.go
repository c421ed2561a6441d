package main

import (
	"fmt"
	"sync"
	"time"
)

// This file is the case of a deduped request that is sent again to a runner of another cell, which took the address of a
// runner of its own cell while discovery was down.

const (
	cellWindow      = 12 * time.Second
	updateDeadline  = 6 * time.Second
	replacementAt   = time.Second      // after the begin of the outage
	resetsFrom      = 8 * time.Second  // changes count as told from 7 s after the begin of the outage
	outageDuration  = 12 * time.Second // the rest of the run
	updatesInterval = 25 * time.Millisecond
	toldAfter       = 7.0 // s from the begin of the outage
)

// otherCellSettings returns the settings: two model groups, one dispatcher. hedge tells whether two attempts of a request may
// be out at the same time.
func otherCellSettings(hedge bool) map[string]any {
	class := func(name, effect, scope string, deadline time.Duration) map[string]any {
		return map[string]any{"name": name, "effect": effect, "aim_us": 800_000, "deadline_us": deadline.Microseconds(),
			"group": scope, "window_us": cellWindow.Microseconds(), "gain": 2, "late_worth": 0.1, "stream": false}
	}
	return map[string]any{
		"request_classes": []any{class("taxon-guess", "pure", "all", 5*time.Second), class("record-update", "token", "cell", updateDeadline)},
		"azs":             []string{"room"}, "machine_types": []string{"std"}, "discovery": "automatic", "me": 0, "peers_total": 1, "resolution_us": 2000,
		"family": "warm", "weight_source": "nominal", "worth_by": "request", "tenants": []any{},
		"family_info": map[string]any{"when_absent": "load", "may_order": true, "stays_loaded_us": 8_600_000, "order_limit_us": 10_000_000, "marks_cold": true},
		"load_report": map[string]any{"fields": []string{}, "via": "answers"},
		"limits": map[string]any{"cancel": true, "parallel_tries": hedge, "probing": false, "retry_after": true, "max_retry_after_us": 500_000,
			"max_attempts": 6, "streams_per_conn": 100, "conn_idle_us": 15_000_000, "connect_timeout_us": 250_000, "open_cap": 20_000},
		"rules": map[string]any{"drain_grace_us": 500_000, "cold_share": 0.17, "warm_after_us": 17_000_000, "overload_factor": 4, "fall_us": 2_000_000,
			"ask_every_us": 10_000_000, "answer_slack_us": 8000},
	}
}

// otherCell plays the case. It reports whether the rule held; an error means that the case could not run.
func otherCell(e *environment) (held bool, err error) {
	cell1 := newGroup(1, cellWindow)
	cell2 := newGroup(2, cellWindow)
	runners, err := e.startRunners(cell1, cell1, cell1, cell2, cell2, cell2)
	if err != nil {
		return false, err
	}
	d, err := e.startDispatcher(otherCellSettings(true))
	if err != nil {
		return false, err
	}
	load, err := startUpdates(e.rec, d.address, updatesInterval)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	outageAt := e.rec.now()
	if e.trouble {
		runners, err = playOutage(e, runners, cell2)
		if err != nil {
			return false, err
		}
	} else {
		time.Sleep(outageDuration)
	}
	requests := load.end()
	for _, r := range requests {
		<-r.done
	}
	time.Sleep(500 * time.Millisecond)
	return judgeCells(e.rec, runners, requests, outageAt+toldAfter+timeSlack), nil
}

// playOutage takes discovery down, replaces a runner of cell 1 by one of cell 2 at its address, and resets connections under
// requests at the other runners of cell 1. It returns all runners.
func playOutage(e *environment, runners []*runner, cell2 *group) ([]*runner, error) {
	e.rec.add("discovery is down")
	e.log.takeDown()
	begin := time.Now()
	time.Sleep(time.Until(begin.Add(replacementAt)))
	old := runners[0]
	e.rec.add("runner %s ends, and runner g of cell %d starts at its address", old.name, cell2.cell)
	old.end()
	replacement, err := newRunner(e.rec, "g", old.listener.Addr().String(), cell2)
	if err != nil {
		return nil, fmt.Errorf("start runner g: %w", err)
	}
	left := old.member()
	left.Phase = "left"
	joined := replacement.member()
	joined.UpSinceMS = time.Now().UnixMilli()
	e.log.add(false, []member{left, joined}) // nobody can ask for it
	time.Sleep(time.Until(begin.Add(resetsFrom)))
	e.rec.add("connections to runners b and c are reset under requests")
	for _, r := range runners[1:3] {
		count := 0
		var mu sync.Mutex
		r.setReset(func(a attempt) bool {
			mu.Lock()
			defer mu.Unlock()
			count++
			return a.key != "" && count%3 == 0
		})
	}
	time.Sleep(time.Until(begin.Add(outageDuration)))
	return append(runners, replacement), nil
}

// updateConnections is the number of the clients' connections: each carries at most 32 open requests.
const updateConnections = 8

// updates is the load of the case.
type updates struct {
	stopChan chan struct{}
	ended    chan struct{}
	requests []*request
}

// startUpdates sends deduped requests at regular intervals, in turn on several connections.
func startUpdates(rec *record, address string, interval time.Duration) (*updates, error) {
	var clients []*client
	for range updateConnections {
		c, err := dialClient(rec, address)
		if err != nil {
			return nil, err
		}
		clients = append(clients, c)
	}
	u := &updates{stopChan: make(chan struct{}), ended: make(chan struct{})}
	var models []string
	for range 40 {
		models = append(models, randomHex())
	}
	go func() {
		defer close(u.ended)
		for i := 0; ; i++ {
			select {
			case <-u.stopChan:
				return
			case <-time.After(interval):
			}
			r := newRequest("record-update", models[i%len(models)], randomHex()+randomHex(), updateDeadline)
			u.requests = append(u.requests, r)
			clients[i%len(clients)].send(r)
		}
	}()
	return u, nil
}

// end ends the load and returns the requests.
func (u *updates) end() []*request {
	close(u.stopChan)
	<-u.ended
	return u.requests
}

// judgeCells reports whether no deduped request that may have run in one cell was sent to a runner of another one after the
// runner's cell counted as told.
func judgeCells(rec *record, runners []*runner, requests []*request, toldAt float64) bool {
	held := true
	twice := 0
	again := 0
	for _, r := range requests {
		var attempts []attempt
		runs := 0
		for _, runner := range runners {
			attempts = append(attempts, runner.received(r.id)...)
			if runner.hasRun(r.id) {
				runs++
			}
		}
		if len(attempts) > 1 {
			again++
		}
		if runs > 1 {
			twice++
		}
		for _, a := range attempts {
			for _, earlier := range attempts {
				if a.arrivedAt > earlier.arrivedAt && a.arrivedAt > toldAt && a.runner.group != earlier.runner.group && earlier.runner.hasRun(r.id) {
					held = false
					rec.say("BROKEN: request %s, key %s: run by runner %s of cell %d, then sent at %.3f s to runner %s of cell %d, which counted as told at %.3f s",
						r.id, r.key, earlier.runner.name, earlier.runner.group.cell, a.arrivedAt, a.runner.name, a.runner.group.cell, toldAt)
				}
			}
		}
	}
	rec.say("%d requests, %d sent more than once, %d took effect more than once", len(requests), again, twice)
	return held
}
