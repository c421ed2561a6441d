package main

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"
)

func init() { cases["crowd"] = crowdCase }

const (
	crowdSpan    = 50.0 // s of requests
	crowdRate    = 20.0 // requests/s, each on a connection of its own
	crowdSize    = 480  // bad clients
	crowdFrom    = 8.0  // s
	crowdTo      = 38.0 // s
	crowdSockets = 256
	answerSlack  = 0.5
	crossing     = 0.05 // s: a request that crosses a close within this time is sent again by its client
)

// crowdCase has many bad clients whose second message never ends.
func crowdCase(w *world) int {
	model := newID()
	f := &fleet{rec: w.rec, memory: map[string]*attempt{}, window: 12, load: between(0.8, 1), work: between(0.05, 0.1), coldFrom: 0.3, coldFor: 12}
	var members []member
	for i := range 6 {
		members = append(members, f.startRunner(fmt.Sprintf("s-%02d", i), "", i%2, -100, model).member("active", 0))
	}
	log := w.newChangeLog(members)
	d := w.newDispatcher("n1")
	d.writeConfig(log.addr, log.known(), packetSettings(1), crowdSockets)
	d.start()
	from := w.rec.now()
	var stop atomic.Bool
	var turned atomic.Int64
	if w.trouble {
		go func() {
			w.rec.sleepUntil(from + crowdFrom)
			w.rec.printf("%d bad clients", crowdSize)
			for range crowdSize {
				go badClient(d.addr, &stop, &turned)
			}
			w.rec.sleepUntil(from + crowdTo)
			stop.Store(true)
			w.rec.printf("the bad clients leave; %d connections were closed", turned.Load())
		}()
	}
	var all []*clients
	for i := 0; w.rec.now() < from+crowdSpan; i++ {
		w.rec.sleepUntil(from + float64(i)/crowdRate)
		c := w.newClients(d, 1)
		all = append(all, c)
		c.send("catalogue-number", "", model, 2+2*float64(i%11)/10)
		go func() {
			for !c.answered() {
				sleep(0.05)
			}
			c.close()
		}()
	}
	sleep(8)
	return judgeAnswers(w, all)
}

// answered reports whether all requests have ended, or their time is long over.
func (c *clients) answered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		if r.end == "" && c.rec.now() < r.sentAt+r.patience+4 {
			return false
		}
	}
	return true
}

// close closes the clients' connections.
func (c *clients) close() {
	c.mu.Lock()
	conns := c.conns
	c.mu.Unlock()
	for _, conn := range conns {
		conn.conn.Close()
	}
}

// badClient sends a request of a class that doesn't exist and then a message that never ends, again and again.
func badClient(addr string, stop *atomic.Bool, turned *atomic.Int64) {
	for !stop.Load() {
		conn, err := net.Dial("tcp4", addr)
		if err != nil {
			sleep(0.05)
			continue
		}
		args := dispatchArgs(map[string]string{"route": "no-such", "trace": newID(), "patience": "1000", "entity": newID()}, nil)
		whole := frame(1, "dispatch", 1, args)
		conn.Write(append(whole, frame(1, "dispatch", 2, args)[:40]...))
		conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		io.Copy(io.Discard, conn)
		conn.Close()
		turned.Add(1)
	}
}

// judgeAnswers checks that each request has its answer within its time. Requests that crossed a close are left out.
func judgeAnswers(w *world, all []*clients) int {
	lost := 0
	counts := map[string]int{}
	longest := 0.0
	for _, c := range all {
		c.mu.Lock()
		for _, r := range c.requests {
			counts[r.end]++
			took := r.endedAt - r.sentAt
			longest = max(longest, took)
			if r.end == "closed" && took < crossing {
				w.rec.printf("%s crossed the close of its connection", r.id)
				continue
			}
			if r.end == "" || r.end == "closed" || took > r.patience+answerSlack {
				lost++
				w.rec.printf("LOST: %s sent at %.3f, patience %.3f: %q after %.3f", r.id, r.sentAt, r.patience, r.end, took)
			}
		}
		c.mu.Unlock()
	}
	w.rec.printf("%v, longest %.3f, lost %d", counts, longest, lost)
	fmt.Println(counts, longest, "lost", lost)
	if lost > 0 {
		return exitBroken
	}
	return exitHeld
}
