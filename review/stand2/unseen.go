package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync/atomic"
)

func init() { cases["unseen"] = unseenCase }

const (
	unseenHosts   = 12
	unseenSlowest = 5    // of them are of the slower kind
	unseenRestart = 7    // of them restart: six in ten, the slower ones first
	unseenFast    = 0.97 // speed of a core of the kind std-5
	unseenSlow    = 0.7  // and of the kind slow-5
	unseenCores   = 5    // of a runner
	unseenWork    = 0.19 // s of a core for a request, in the mean
	unseenBusy    = 6.0  // s of requests before the quiet time
	unseenQuiet   = 16.0 // s without requests
	unseenOutage  = 10.0 // s from the begin of the outage to the restarts
	unseenAdd     = 0.6  // s from a start until the list has it: add_s is 0.58 to 1.7 s
	unseenSpan    = 20.0 // s of requests after the quiet time
	unseenLoad    = 1.3  // of what warm runners can do, after the quiet time
	sheetShare    = 0.22 // cold_share
	sheetWarm     = 17.0 // s, warm_after
	sheetFactor   = 2.0  // overload_factor
	sheetFall     = 1.0  // s, fall
	unseenModels  = 24
)

// sheetSettings returns settings with the figures of the site sheet-reader-akl.
func sheetSettings() map[string]any {
	s := packetSettings(1)
	s["rules"] = map[string]any{"answer_slack_us": 8000, "ask_every_us": 10000000, "cold_share": sheetShare, "drain_grace_us": 1000000,
		"fall_us": micros(sheetFall), "overload_factor": sheetFactor, "warm_after_us": micros(sheetWarm)}
	s["limits"].(map[string]any)["probing"] = true
	s["family_info"].(map[string]any)["stays_loaded_us"] = 8000000
	s["costs"] = map[string]any{"probe": 0.01, "waste": 0.027, "origin": 0.1}
	s["request_classes"] = []any{class("species-id", "pure", "all", 1, 5, 5), class("label-write", "token", "all", 1.2, 4, 4),
		class("accession", "side_effect", "all", 0.6, 5, 5)}
	return s
}

// unseenCase restarts runners that nobody is connected to, long after the change log has fallen silent.
func unseenCase(w *world) int {
	f := &fleet{rec: w.rec, memory: map[string]*attempt{}, window: 4, load: between(0.9, 1.8), work: between(0.12, 0.26), coldFrom: sheetShare, coldFor: sheetWarm,
		cores: unseenCores}
	var models []string
	for range unseenModels {
		models = append(models, newID())
	}
	capacity := 0.0 // requests/s of all warm runners
	var hosts []*runner
	var members []member
	for i := range unseenHosts {
		r := f.startRunner(fmt.Sprintf("s-%d", i), "", 1, -100)
		r.speed = unseenFast
		if i < unseenSlowest {
			r.speed = unseenSlow
		}
		capacity += r.speed * unseenCores / unseenWork
		hosts = append(hosts, r)
		members = append(members, r.member("active", 0))
	}
	log := w.newChangeLog(members)
	var silent atomic.Bool
	log.hold = silent.Load
	d := w.newDispatcher("n1")
	d.writeConfig(log.addr, log.known(), sheetSettings(), 1024)
	d.start()
	c := w.newClients(d, 6)
	sendSheet(w, c, models, 0.5*capacity, unseenBusy)
	sleep(unseenQuiet - unseenOutage)
	outageAt := w.rec.now()
	if w.trouble {
		silent.Store(true)
		w.rec.printf("the change log falls silent; from %.3f on it counts as having told", outageAt+gapTold)
	}
	sleep(unseenOutage)
	var started []*runner
	for _, r := range hosts[:unseenRestart] {
		w.rec.printf("connections to %s: %d", r.id, r.connections())
		r.die()
		at := w.rec.now()
		next := f.startRunner(r.id, r.addr, 1, at)
		next.speed = r.speed
		started = append(started, next)
	}
	sleep(unseenAdd)
	for _, r := range started {
		log.tell(r.member("active", w.rec.unix(r.startedAt)))
	}
	sleep(0.1)
	sendSheet(w, c, models, unseenLoad*capacity, unseenSpan)
	sleep(6)
	w.rec.printf("requests by class and end: %v", c.counts())
	return f.judgeFalls(started)
}

// sendSheet sends requests at a rate for some seconds.
func sendSheet(w *world, c *clients, models []string, rate, span float64) {
	from := w.rec.now()
	for at := from; at < from+span; at += rand.ExpFloat64() / rate {
		w.rec.sleepUntil(at)
		model := models[int(float64(len(models))*rand.Float64()*rand.Float64())]
		switch x := rand.Float64(); {
		case x < 0.52:
			c.send("species-id", "", model, 2.5+2.5*rand.Float64())
		case x < 0.88:
			c.send("label-write", newKey(), model, 2+2*rand.Float64())
		default:
			c.send("accession", "", model, 2.5+2.5*rand.Float64())
		}
	}
}

// judgeFalls checks that no runner got more than it bears after its start, within any span of sheetFall.
func (f *fleet) judgeFalls(started []*runner) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	broken := 0
	for _, r := range started {
		var times []float64
		worst := 0.0
		for _, a := range f.attempts {
			if a.runner != r.id || a.at < r.startedAt {
				continue
			}
			times = append(times, a.at)
			for times[0] <= a.at-sheetFall {
				times = times[1:]
			}
			share := min(1, sheetShare+(1-sheetShare)*(a.at-r.startedAt)/sheetWarm)
			n := sheetFactor * share * r.speed * unseenCores / unseenWork * sheetFall
			limit := n + 2*math.Sqrt(n) + 2
			if n < 30 {
				limit = n + 3*math.Sqrt(n) + 3
			}
			if got := float64(len(times)); share < 1 && got > limit {
				broken++
				if got/limit > worst {
					worst = got / limit
					f.rec.printf("BROKEN: %s got %d requests within %.0f s to %.3f, %.3f s after its start; it bears %.1f", r.id, len(times), sheetFall, a.at, a.at-r.startedAt, limit)
				}
			}
		}
	}
	summary := fmt.Sprintf("%d sends beyond what a cold runner bears", broken)
	f.rec.printf("%s", summary)
	fmt.Println(summary)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
