package gateway

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"mastchute/control"
	"mastchute/internal/config"
	"mastchute/internal/membership"
)

// Rule 2: which kinds of failure allow a retry, for groups that must not run twice and for those that may.
func TestRetryByFailureKind(t *testing.T) {
	for _, c := range []struct {
		name     string
		first    workerAction
		model    string
		status   int
		outcome  string
		attempts int // if there are 2, the second one goes to the other worker
	}{
		{"at capacity", rejectAtCapacity, "once-1", 200, "returned", 2},
		{"model not loaded", rejectModelNotLoaded, "once-1", 200, "returned", 2},
		{"503 without proof", rejectPossiblyRun, "once-1", 502, "failed", 1},
		{"error", failInternally, "once-1", 502, "failed", 1},
		{"reset", resetConnection, "once-1", 502, "failed", 1},
		{"truncated", truncateResponse, "once-1", 502, "failed", 1},
		{"error, retriable", failInternally, "read-1", 200, "returned", 2},
		{"reset, retriable", resetConnection, "read-1", 200, "returned", 2},
		{"truncated, retriable", truncateResponse, "read-1", 200, "returned", 2},
		{"reset, deduplicated in the zone", resetConnection, "write-1", 200, "returned", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			// The first request to either worker gets the action; all others succeed.
			var once sync.Once
			script := func(conn net.Conn, request *http.Request) {
				action := succeed
				once.Do(func() { action = c.first })
				action(conn, request)
			}
			w1, w2 := newWorker(t, "w1", script), newWorker(t, "w2", script)
			h := newHarness(t, "", nil, w1, w2)
			h.expect(c.model, c.status, c.outcome)
			received := append(w1.received(), w2.received()...)
			if len(received) != c.attempts {
				t.Errorf("%d attempts", len(received))
			}
			if strings.HasPrefix(c.model, "write") && received[0].header.Get("Idempotency-Key") != received[1].header.Get("Idempotency-Key") {
				t.Error("the retry has a different idempotency key")
			}
		})
	}
}

func TestConnectFailureIsRetried(t *testing.T) {
	stopped, w2 := newWorker(t, "w1", succeed), newWorker(t, "w2", succeed)
	h := newHarness(t, "", nil, stopped, w2)
	stopped.server.Close()
	h.onLoop(func() { h.worker("w1").transport.CloseIdle() })
	for i := range 8 {
		h.expect(fmt.Sprintf("once-%d", i), 200, "returned")
	}
	if len(stopped.received()) != 0 || h.counterValue("mastchute_forward_ends_total", "connect_failed") == 0 {
		t.Error("no connection to the stopped worker was attempted, or it received a request")
	}
}

// If the worker closes an idle connection while the next request is being sent on it, the request may have run, because bytes
// of it were written.
func TestResetOfReusedConnectionMayHaveRun(t *testing.T) {
	w := newWorker(t, "w1", succeed, resetConnection, succeed)
	h := newHarness(t, "", nil, w)
	h.expect("once-1", 200, "returned")
	h.expect("once-1", 502, "failed")
	if n := len(w.received()); n != 2 {
		t.Errorf("%d attempts", n)
	}
}

// Rule 2 for a group deduplicated within zones: once an attempt may have run, nothing is sent to another zone.
func TestDeduplicatedRetryStaysInZone(t *testing.T) {
	var workers []*scriptedWorker
	for _, name := range []string{"w1", "w2", "w3", "w4"} {
		workers = append(workers, newWorker(t, name, resetConnection))
	}
	h := newHarness(t, "forwards: {most: 6}\n", nil, workers...)
	h.expect("write-1", 502, "failed")
	zone1 := len(workers[0].received()) + len(workers[1].received())
	zone2 := len(workers[2].received()) + len(workers[3].received())
	if zone1*zone2 != 0 || zone1+zone2 < 2 {
		t.Errorf("%d attempts in one zone, %d in the other", zone1, zone2)
	}
}

// A retry of a deduplicated request that waits for a connection until the deduplication window is over is not sent.
func TestQueuedRetryIsNotSentAfterDedupWindow(t *testing.T) {
	w := newWorker(t, "w1", resetConnection, succeed)
	h := newHarness(t, "", nil, w)
	expired := 0
	// expire ends the window of each retry that waits for a connection, as if the connection were established too late,
	// and of all later retries.
	expire := func() {
		for _, r := range h.gateway.requests {
			if !r.inUse {
				continue
			}
			for _, a := range r.attempts[:r.attemptCount] {
				state, _ := a.TransportState.(*httpAttempt)
				if a.Index > 0 && !a.finished && state.call.SentAt == 0 {
					expired++
					a.SendDeadline = h.gateway.Loop.Now() - 0.001
					r.group.DedupWindow = config.Seconds(0)
				}
			}
		}
	}
	h.onLoop(func() {
		endBatch := h.gateway.Loop.AfterEvents
		h.gateway.Loop.AfterEvents = func() {
			endBatch()
			expire()
		}
	})
	if response := h.post("write-1", "", "in"); response.outcome == "returned" || response.err != nil {
		t.Errorf("%+v", response)
	}
	h.onLoop(func() {
		if n := len(w.received()); n != 1 || expired == 0 {
			t.Errorf("%d attempts sent, %d retries expired", n, expired)
		}
	})
}

// The deduplication window starts when the first attempt is sent that may have run, whether it was made before or after the
// one that is to be sent.
func TestDedupWindowStart(t *testing.T) {
	r := &Request{group: &group{effect: control.Deduplicated, dedupScope: control.ScopeAll}, attemptCount: 5}
	r.group.DedupWindow = config.Seconds(2)
	ended := func(createdAt, sentAt float64, result control.Result) *Attempt {
		return &Attempt{Request: r, createdAt: createdAt, sentAt: sentAt, finished: true, result: result}
	}
	rejected := ended(1, 1, control.AtCapacity)
	lost := ended(3, 3.5, control.ConnectionReset)
	notSent := ended(2, 0, control.NotSent)
	lostLater := ended(4, 4, control.ConnectionReset)
	timedOut := ended(3.25, 0, control.TimedOut)
	for _, c := range []struct {
		name          string
		before, after []*Attempt
		want          float64
	}{
		{"no other attempt", nil, nil, math.Inf(1)},
		{"attempts that never ran", []*Attempt{rejected, notSent}, []*Attempt{rejected}, math.Inf(1)},
		{"an earlier attempt", []*Attempt{rejected, lost}, nil, 5.5},
		{"a later attempt", nil, []*Attempt{lost}, 5.5},
		{"the first one that was sent counts", []*Attempt{lostLater}, []*Attempt{lost}, 5.5},
		{"a timeout, of which it is not known when it was sent", []*Attempt{timedOut}, nil, 5.25},
	} {
		attempt := &Attempt{Request: r}
		all := append(append(append([]*Attempt{}, c.before...), attempt), c.after...)
		r.attemptCount = copy(r.attempts[:], all)
		r.group.effect = control.Deduplicated
		if until := dedupDeadline(r.attemptFacts(attempt, control.DedupGroup{}, 4.5)); until != c.want {
			t.Errorf("%s: the window ends at %g, want %g", c.name, until, c.want)
		}
		r.group.effect = control.Retriable
		if until := dedupDeadline(r.attemptFacts(attempt, control.DedupGroup{}, 4.5)); !math.IsInf(until, 1) {
			t.Errorf("%s: a retriable request has a deduplication window", c.name)
		}
	}
}

// Rule 3 applies to requests that are queued in the control module, to attempts that wait for a connection, and to retries.
func TestDrainingWorkerGetsNoNewAttempts(t *testing.T) {
	draining := newWorker(t, "w1", delayed(300*time.Millisecond))
	ready := newWorker(t, "w2", succeed)
	h := newHarness(t, "limits: {worker_connections: 1}\n", nil, draining)
	h.expect("read-1", 200, "returned") // the model is loaded, and the connection is kept open
	var requests sync.WaitGroup
	for range 5 {
		requests.Add(1)
		go func() {
			defer requests.Done()
			h.expect("read-1", 200, "returned")
		}()
	}
	h.waitUntil("four wait for the connection", func() bool {
		return len(draining.received()) == 2 && h.worker("w1").transport.QueuedCount() == 4
	})
	h.setAdminState(membership.Entry{Name: "w2", Addr: ready.addr(), State: control.Ready, Weight: 1})
	h.waitUntil("w2 is announced", func() bool { return h.worker("w2").announced })
	h.setAdminState(membership.Entry{Name: "w1", State: control.Draining})
	requests.Wait()
	if len(draining.received()) != 2 || len(ready.received()) != 4 {
		t.Errorf("%d requests at the draining worker, %d at the other", len(draining.received()), len(ready.received()))
	}
}

// Rule 5: if the model is not loaded, one load request is sent within the load budget, and the request is retried.
func TestModelNotLoadedTriggersLoad(t *testing.T) {
	w := newWorker(t, "w1", rejectModelNotLoaded, respond(200, "Mastchute-Copies: 1\r\n", ""), succeed, rejectModelNotLoaded)
	h := newHarness(t, "loads: {on_miss: miss, window: 60s, few: 1, share: 0}\n", nil, w)
	h.expect("read-1", 200, "returned")
	if got := paths(w.received()); got != "/v2/models/read-1/infer /v2/repository/models/read-1/load /v2/models/read-1/infer" {
		t.Errorf("%s", got)
	}
	h.expect("read-2", 503, "shed") // the load budget is used up
	if n := strings.Count(paths(w.received()), "/load"); n != 1 {
		t.Errorf("%d load requests, 1 allowed", n)
	}
}

// Guards against a repeat in the zone of a worker whose address another one has taken, as the list that is read again shows.
// No start is known, so either process may have run the request.
func TestNoRepeatAfterAddressIsTaken(t *testing.T) {
	for _, c := range []struct {
		name      string
		zone      string // of the worker that is listed at the address from then on, empty for none
		cell      string
		inZone    int // repeats at another worker of the first one's zone
		otherZone int // repeats at one of another zone
		outcome   string
	}{
		{"by one of another zone", "z1", "", 0, 0, "failed"},
		{"by one of the same zone", "z0", "", 1, 0, "returned"},
		{"by one of another cell of the zone", "z0", "c9", 1, 0, "returned"},
		{"by none", "", "", 1, 0, "returned"},
	} {
		t.Run(c.name, func(t *testing.T) {
			release := make(chan struct{})
			taken := newWorker(t, "w1", func(conn net.Conn, request *http.Request) {
				<-release
				resetConnection(conn, request)
			})
			inZone, otherZone := newWorker(t, "w2", succeed), newWorker(t, "w3", succeed)
			h := newHarness(t, "", nil, taken)
			response := make(chan clientResponse, 1)
			go func() { response <- h.post("write-1", "", "in") }()
			h.waitUntil("the attempt has arrived", func() bool { return len(taken.received()) == 1 })
			list := []membership.Entry{
				{Name: "w2", Addr: inZone.addr(), Zone: "z0", State: control.Ready, Weight: 1},
				{Name: "w3", Addr: otherZone.addr(), Zone: "z1", State: control.Ready, Weight: 1},
			}
			if c.zone != "" {
				list = append(list, membership.Entry{Name: "w9", Addr: taken.addr(), Zone: c.zone, Cell: c.cell, State: control.Draining, Weight: 1})
			}
			h.onLoop(func() {
				if err := h.gateway.ReplaceWorkers(membership.SourceConfig, list); err != nil {
					t.Error(err)
				}
			})
			h.waitUntil("the workers are announced", func() bool { return h.worker("w2").announced && h.worker("w3").announced })
			close(release)
			got := <-response
			if len(inZone.received()) != c.inZone || len(otherZone.received()) != c.otherZone || got.outcome != c.outcome {
				t.Errorf("%d and %d repeats, %s; want %d and %d, %s", len(inZone.received()), len(otherZone.received()), got.outcome,
					c.inZone, c.otherZone, c.outcome)
			}
		})
	}
}

// Guards against a repeat at a worker that the list has moved to another zone, on a connection to its process before that.
func TestRepeatAfterWorkerHasMovedZone(t *testing.T) {
	moved := newWorker(t, "w1", succeed)
	h := newHarness(t, "", nil, moved)
	h.expect("write-1", 200, "returned")
	before := moved.closedCount()
	h.replaceWorkers(membership.Entry{Name: "w1", Addr: moved.addr(), Zone: "z7", State: control.Ready, Weight: 1})
	h.waitUntil("its connections are closed", func() bool { return moved.closedCount() > before })
	h.expect("write-1", 200, "returned")
}

// Guards against an attempt that is sent after the deduplication window of a later one, or outside its scope: it has waited for
// the only connection to a worker that was busy.
func TestQueuedAttemptIsCheckedAgainstLaterOnes(t *testing.T) {
	for _, c := range []struct {
		name    string
		zone    string        // of the worker of the later attempt; the queued one is for z0
		action  workerAction  // of that worker
		busyFor time.Duration // the other worker's connection; the window is 1 s
		want    int           // whether the queued attempt is sent
	}{
		{"after the window", "z0", resetConnection, 1300 * time.Millisecond, 0},
		{"within the window", "z0", resetConnection, 200 * time.Millisecond, 1},
		{"outside the scope", "z1", resetConnection, 200 * time.Millisecond, 0},
		{"the later one never ran", "z1", rejectAtCapacity, 1300 * time.Millisecond, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			busy := newWorker(t, "w1", delayed(c.busyFor), succeed)
			later := newWorker(t, "w2", c.action)
			h := newHarness(t, "limits: {worker_connections: 1}\n", newFaultyModule(func(*faultyModule) {}), busy)
			h.onLoop(func() {
				for _, group := range h.gateway.groups {
					group.DedupWindow = config.Seconds(1)
				}
				list := []membership.Entry{
					{Name: "w1", Addr: busy.addr(), Zone: "z0", State: control.Ready, Weight: 1},
					{Name: "w2", Addr: later.addr(), Zone: c.zone, State: control.Ready, Weight: 1},
				}
				if err := h.gateway.ReplaceWorkers(membership.SourceConfig, list); err != nil {
					t.Error(err)
				}
			})
			h.waitUntil("w2 is announced", func() bool { return h.worker("w2") != nil && h.worker("w2").announced })
			h.startAttempt("read-1", "w1")
			id := h.startAttempt("write-1", "w1")
			h.onLoop(func() { h.gateway.SendAttempt(id, h.worker("w2").ID, 0) })
			time.Sleep(c.busyFor + 150*time.Millisecond)
			if n := len(busy.received()) - 1; n != c.want || len(later.received()) != 1 {
				t.Errorf("the queued attempt was sent %d times, want %d; %d later attempts", n, c.want, len(later.received()))
			}
		})
	}
}

// startAttempt posts a request, and makes an attempt at a worker in place of the control module. It returns the request's id.
func (h *harness) startAttempt(model, worker string) (id control.RequestID) {
	h.t.Helper()
	go h.post(model, "", "in")
	h.waitUntil("the request is in flight", func() bool {
		for _, r := range h.gateway.requests {
			if r.inUse && r.model.Name == model {
				id = r.id
			}
		}
		return id != 0
	})
	h.onLoop(func() { h.gateway.SendAttempt(id, h.worker(worker).ID, 0) })
	return id
}

// Guards against an invitation to retry a deduplicated request that may have run, if the client's retry may reach a worker that
// does not drop it: after the window, or outside the scope. Retry-After is in whole seconds.
func TestShedOnlyIfRetryIsDropped(t *testing.T) {
	for _, c := range []struct {
		name       string
		scope      control.DedupScope
		window     float64 // s
		retryAfter float64 // s
		action     workerAction
		want       string
	}{
		{"within the window", control.ScopeAll, 1.8, 0.5, resetConnection, "shed"},
		{"the retry comes after the window", control.ScopeAll, 0.8, 0.5, resetConnection, "failed"},
		{"only some workers drop it", control.ScopeZone, 1.8, 0.5, resetConnection, "failed"},
		{"it never ran", control.ScopeZone, 0.8, 0.5, rejectAtCapacity, "shed"},
	} {
		worker := newWorker(t, "w1", c.action)
		h := newHarness(t, "", newFaultyModule(func(*faultyModule) {}), worker)
		h.onLoop(func() {
			for _, group := range h.gateway.groups {
				group.dedupScope = c.scope
				group.DedupWindow = config.Seconds(c.window)
			}
		})
		response := make(chan clientResponse, 1)
		go func() { response <- h.post("write-1", "", "in") }()
		var request *Request
		h.waitUntil("the request is in flight", func() bool {
			for _, r := range h.gateway.requests {
				if r.inUse {
					request = r
				}
			}
			return request != nil
		})
		h.onLoop(func() { h.gateway.SendAttempt(request.id, h.worker("w1").ID, 0) })
		h.waitUntil("the attempt has ended", func() bool { return request.attempts[0].finished })
		h.onLoop(func() { h.gateway.Shed(request.id, c.retryAfter) })
		if got := <-response; got.outcome != c.want {
			t.Errorf("%s: %+v, want %s", c.name, got, c.want)
		}
	}
}
