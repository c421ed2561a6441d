package platform

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// A worker's start in the change log is used without a probe. A later start means a new process: no model is loaded on it,
// and the connections to the previous process are not used.
func TestWorkerRestartInChangeLog(t *testing.T) {
	worker := newFakeWorker(t, "w1", respondServed)
	h := newHarness(t, "load", worker)
	h.expect("read", "returned")
	now := time.Now().UnixMilli()
	h.changeLog.publish(false, worker.memberJSON("active", now))
	h.waitUntil("the new start is applied", func() bool {
		status := h.dispatcher.Gateway.Status().Workers[0]
		return status.Age != nil && *status.Age < 60 && len(status.LoadedModels) == 0
	})
	conns := worker.connCount()
	h.expect("read", "returned")
	if worker.connCount() == conns {
		t.Error("a connection to the previous process is used")
	}
	if n := len(worker.messages("gauges")) + len(worker.messages("alive")); n > 0 {
		t.Errorf("%d probes", n)
	}
}

// A new worker at the address of one that is gone is a different worker: connections to the old one are not used.
func TestNewWorkerAtOldAddress(t *testing.T) {
	worker := newFakeWorker(t, "w1", respondServed)
	h := newHarness(t, "load", worker)
	h.expect("read", "returned")
	h.changeLog.publish(false, worker.memberJSON("left", 0), strings.Replace(worker.memberJSON("active", 0), `"w1"`, `"w2"`, 1))
	h.waitUntil("the new worker is listed", func() bool {
		workers := h.dispatcher.Gateway.Status().Workers
		return len(workers) == 2 && workers[0].State == "gone" && workers[0].Connections == 0 && workers[1].State == "ready"
	})
	conns := worker.connCount()
	h.expect("read", "returned")
	if worker.connCount() == conns {
		t.Error("a connection to the worker that is gone is used")
	}
}

// After each kind of failure the change log is polled again from the last event, and no event is applied twice.
func TestChangeLogFailures(t *testing.T) {
	closeAfterQuarters := func(n int) func(http.ResponseWriter, string) {
		return func(w http.ResponseWriter, text string) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:n*len(text)/4])
			conn.Close()
		}
	}
	for name, respond := range map[string]func(http.ResponseWriter, string){
		"closed mid-event": closeAfterQuarters(2),
		"closed":           closeAfterQuarters(0),
		"stalls mid-event": func(w http.ResponseWriter, text string) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:len(text)/2])
		},
		"error":        func(w http.ResponseWriter, _ string) { w.WriteHeader(500) },
		"invalid JSON": func(w http.ResponseWriter, text string) { io.WriteString(w, text[:len(text)-1]) },
		"closed, without a length": func(w http.ResponseWriter, text string) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", text[:len(text)-9])
			conn.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			workerA := newFakeWorker(t, "w1", respondServed)
			workerB := newFakeWorker(t, "w2", respondServed)
			h := newHarness(t, "load", workerA)
			h.changeLog.mu.Lock()
			h.changeLog.nextResponse = respond
			h.changeLog.mu.Unlock()
			h.changeLog.publish(false, workerB.memberJSON("active", 0))
			h.waitUntil("the event is applied", func() bool { return len(h.dispatcher.Gateway.Status().Workers) == 2 })
			h.onLoop(func() {
				version := h.dispatcher.Gateway.Members.Version
				if version != 2 || h.dispatcher.watch.lastSeq != 2 {
					t.Errorf("endpoint list of version %d, event %d", version, h.dispatcher.watch.lastSeq)
				}
			})
		})
	}
}

// A malformed part of a response is counted and skipped, and the rest is applied. For a missing event the log is polled once
// more, then the event is skipped.
func TestMalformedChangeLogEntriesAreSkipped(t *testing.T) {
	workerA := newFakeWorker(t, "w1", respondServed)
	workerB := newFakeWorker(t, "w2", respondServed)
	for name, c := range map[string]struct {
		response    string   // A and B stand for the active workers
		wantWorkers []string // listed
		wantSeq     int64    // the last event applied
		counted     string   // the reason that must be counted; empty for none
		wantRetry   bool     // the log is polled again for a missing event
	}{
		"an entry":                          {`{"seq":2,"results":[{"seq":2,"fleet":{"members":[{"id":"w9","host_port":"nowhere","phase":"active"},{"id":7},3,B]}}]}`, []string{"w1", "w2"}, 2, "change_log_entry", false},
		"a known entry":                     {`{"seq":2,"results":[{"seq":2,"fleet":{"complete":true,"members":[{"id":"w1","host_port":"nowhere","phase":"active"},B]}}]}`, []string{"w1", "w2"}, 2, "change_log_entry", false},
		"an event":                          {`{"seq":3,"results":[{"seq":2,"fleet":7},{"seq":3,"fleet":{"members":[B]}}]}`, []string{"w1", "w2"}, 3, "change_log_event", false},
		"out of order":                      {`{"seq":3,"results":[{"seq":3,"fleet":{"members":[B]}},{"seq":2,"fleet":{"members":[]}}]}`, []string{"w1", "w2"}, 3, "", false},
		"an older sequence number":          {`{"seq":1,"results":[{"seq":1,"fleet":{"complete":true,"members":[B]}}]}`, []string{"w1"}, 1, "", false},
		"a worker twice":                    {`{"seq":2,"results":[{"seq":2,"fleet":{"complete":true,"members":[A,A,B]}}]}`, []string{"w1", "w2"}, 2, "", false},
		"complete, without a listed worker": {`{"seq":2,"results":[{"seq":2,"fleet":{"complete":true,"members":[B]}}]}`, []string{"w2"}, 2, "", false},
		"a missing event":                   {`{"seq":3,"results":[{"seq":3,"fleet":{"members":[B]}}]}`, []string{"w1"}, 1, "", true},
		"a sequence number too high":        {`{"seq":9,"results":[{"seq":2,"fleet":{"members":[B]}}]}`, []string{"w1", "w2"}, 2, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "load", workerA)
			text := strings.NewReplacer("A", workerA.memberJSON("active", 0), "B", workerB.memberJSON("active", 0)).Replace(c.response)
			h.onLoop(func() {
				watch := h.dispatcher.watch
				h.respondToPoll(text)
				listed := h.listedWorkers()
				if !slices.Equal(listed, c.wantWorkers) || watch.lastSeq != c.wantSeq || (watch.backoff > 0) != c.wantRetry {
					t.Errorf("workers %v, event %d, backoff %g; want %v, %d", listed, watch.lastSeq, watch.backoff, c.wantWorkers, c.wantSeq)
				}
				counts := h.dispatcher.clients.dropCounts
				if c.counted != "" && counts[c.counted] == 0 {
					t.Errorf("not counted as %s: %v", c.counted, counts)
				}
				if !c.wantRetry {
					return
				}
				h.respondToPoll(text)
				if watch.lastSeq <= c.wantSeq {
					t.Errorf("polled for event %d a third time", watch.lastSeq+1)
				}
			})
		})
	}
}

// An event with an earlier start of a worker does not change the worker's start time.
func TestLatestStartIsKept(t *testing.T) {
	h := newHarness(t, "load")
	worker := newFakeWorker(t, "w1", respondServed)
	now := time.Now().UnixMilli()
	h.changeLog.publish(false, worker.memberJSON("active", now))
	h.changeLog.publish(false, worker.memberJSON("leaving", 0))
	h.waitUntil("both events are applied", func() bool { return h.dispatcher.watch.lastSeq == 3 })
	h.onLoop(func() {
		epoch := h.dispatcher.Gateway.Members.ByName("w1").StartEpoch
		if epoch != float64(now)/1e3 {
			t.Errorf("start %g s, want %d ms", epoch, now)
		}
	})
}
