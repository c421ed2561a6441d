package main

import (
	"fmt"
	"time"
)

// This file is the case of an attempt that is sent after the window in which runners drop its repeat.

const (
	dedupWindow   = 4 * time.Second
	writeDeadline = 5 * time.Second
	streams       = 16 // of a connection to a runner
	timeSlack     = 0.05
	cutDuration   = 4850 * time.Millisecond
	crowdSize     = 17 // non-retriable requests that are on their way to the runner that is cut off
)

// lateAttemptSettings returns the settings: three model groups, one dispatcher.
func lateAttemptSettings() map[string]any {
	class := func(name, effect string, deadline time.Duration) map[string]any {
		return map[string]any{"name": name, "effect": effect, "aim_us": 1_000_000, "deadline_us": deadline.Microseconds(),
			"group": "all", "window_us": dedupWindow.Microseconds(), "gain": 1, "late_worth": 0.1, "stream": false}
	}
	return map[string]any{
		"request_classes": []any{class("species-id", "pure", 5*time.Second), class("label-write", "token", writeDeadline),
			class("accession", "side_effect", 5*time.Second)},
		"azs": []string{"room"}, "machine_types": []string{"std"}, "discovery": "automatic", "me": 0, "peers_total": 1, "resolution_us": 2000,
		"family": "warm", "weight_source": "nominal", "worth_by": "request", "tenants": []any{},
		"family_info": map[string]any{"when_absent": "load", "may_order": true, "stays_loaded_us": 8_000_000, "order_limit_us": 10_000_000, "marks_cold": true},
		"load_report": map[string]any{"fields": []string{}, "via": "answers"},
		"limits": map[string]any{"cancel": true, "parallel_tries": true, "probing": false, "retry_after": true, "max_retry_after_us": 500_000,
			"max_attempts": 2, "streams_per_conn": streams, "conn_idle_us": 15_000_000, "connect_timeout_us": 250_000, "open_cap": 20_000},
		"rules": map[string]any{"drain_grace_us": 1_000_000, "cold_share": 0.22, "warm_after_us": 17_000_000, "overload_factor": 2, "fall_us": 1_000_000,
			"ask_every_us": 10_000_000, "answer_slack_us": 8000},
	}
}

// lateAttempt plays the case. It reports whether the rule held; an error means that the case could not run.
func lateAttempt(e *environment) (held bool, err error) {
	g := newGroup(1, dedupWindow)
	runners, err := e.startRunners(g, g, g, g, g, g)
	if err != nil {
		return false, err
	}
	d, err := e.startDispatcher(lateAttemptSettings())
	if err != nil {
		return false, err
	}
	c, err := dialClient(e.rec, d.address)
	if err != nil {
		return false, err
	}
	defer c.close()
	writeModel, crowdModel, target, err := warmUp(c, runners)
	if err != nil {
		return false, err
	}
	background, err := dialClient(e.rec, d.address)
	if err != nil {
		return false, err
	}
	defer background.close()
	stop := startBackground(background, 12)
	defer close(stop)
	time.Sleep(500 * time.Millisecond)
	if target.openConns() != 1 {
		return false, fmt.Errorf("runner %s has %d connections, not one", target.name, target.openConns())
	}
	write := newRequest("label-write", writeModel, randomHex()+randomHex(), writeDeadline)
	if e.trouble {
		for _, r := range runners {
			r.loseAnswer = func(a attempt) bool { return a.id == write.id && r != target && len(r.received(a.id)) == 1 }
		}
		err = target.cutLink()
		if err != nil {
			return false, err
		}
	}
	var crowd []*request
	for range crowdSize {
		r := newRequest("accession", crowdModel, "", 5*time.Second)
		crowd = append(crowd, r)
		c.send(r)
	}
	c.send(write)
	if e.trouble {
		time.Sleep(time.Until(e.rec.start.Add(time.Duration(write.sentAt * float64(time.Second))).Add(cutDuration)))
		err = target.healLink()
		if err != nil {
			return false, err
		}
	}
	for _, r := range append(crowd, write) {
		<-r.done
	}
	time.Sleep(time.Second)
	return judgeWindow(e.rec, runners, write), nil
}

// judgeWindow reports whether every attempt of a deduped request was sent within the window from the one that was out
// first.
func judgeWindow(rec *record, runners []*runner, r *request) bool {
	var attempts []attempt
	runs := 0
	for _, runner := range runners {
		attempts = append(attempts, runner.received(r.id)...)
		if runner.hasRun(r.id) {
			runs++
		}
	}
	held := true
	for _, a := range attempts {
		for _, earlier := range attempts {
			late := a.arrivedAt - earlier.arrivedAt - dedupWindow.Seconds() - timeSlack
			if late > 0 {
				held = false
				rec.say("BROKEN: request %s, key %s: attempt at runner %s %.3f s after the one at runner %s, %.3f s later than the rule allows",
					r.id, r.key, a.runner.name, a.arrivedAt-earlier.arrivedAt, earlier.runner.name, late)
			}
		}
	}
	rec.say("request %s: %d attempts reached runners, and it took effect %d times", r.id, len(attempts), runs)
	return held
}

// warmUp sends requests of two classes until one runner has loaded a model of each, and returns the models and the runner.
func warmUp(c *client, runners []*runner) (writeModel, crowdModel string, target *runner, err error) {
	writes := map[*runner]string{}
	crowds := map[*runner]string{}
	for range 60 {
		write := newRequest("label-write", randomHex(), randomHex()+randomHex(), writeDeadline)
		crowd := newRequest("accession", randomHex(), "", 5*time.Second)
		c.send(write)
		<-write.done
		c.send(crowd)
		<-crowd.done
		for _, r := range runners {
			if r.hasRun(write.id) {
				writes[r] = write.model
			}
			if r.hasRun(crowd.id) {
				crowds[r] = crowd.model
			}
			if writes[r] == "" || crowds[r] == "" {
				continue
			}
			err = confirmWarm(c, r, writes[r], crowds[r])
			return writes[r], crowds[r], r, err
		}
	}
	return "", "", nil, fmt.Errorf("no runner has loaded a model of each class")
}

// confirmWarm sends each model some more requests, so that its run time is known.
func confirmWarm(c *client, target *runner, writeModel, crowdModel string) error {
	for range 30 {
		write := newRequest("label-write", writeModel, randomHex()+randomHex(), writeDeadline)
		crowd := newRequest("accession", crowdModel, "", 5*time.Second)
		c.send(write)
		<-write.done
		c.send(crowd)
		<-crowd.done
		if !target.hasRun(write.id) || !target.hasRun(crowd.id) {
			return fmt.Errorf("the models don't stay on runner %s", target.name)
		}
	}
	return nil
}

// startBackground sends retriable requests at the given rate until the returned channel is closed. The models are loaded one
// after another before, so that no runner has several requests at a time.
func startBackground(c *client, perSecond int) chan struct{} {
	stop := make(chan struct{})
	var models []string
	for range 6 {
		r := newRequest("species-id", randomHex(), "", 5*time.Second)
		c.send(r)
		<-r.done
		models = append(models, r.model)
	}
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / time.Duration(perSecond)):
			}
			c.send(newRequest("species-id", models[i%len(models)], "", 5*time.Second))
		}
	}()
	return stop
}
