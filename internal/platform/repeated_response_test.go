package platform

import (
	"net"
	"sync"
	"testing"
	"time"
)

// A worker's response that comes twice is not taken for the response to a later attempt of the same request: the request is
// neither sent again nor shed while that attempt runs.
func TestRepeatedResponseDoesNotEndLaterAttempt(t *testing.T) {
	for _, c := range []struct {
		group, response string
		maxConns        int // to all workers; 0 for the limit of the configuration
	}{
		{"once", "not_here", 0},
		{"once", "overload", 0},
		{"write", "not_here", 0},
		{"once", "not_here", 1},
	} {
		t.Run(c.group+" "+c.response, func(t *testing.T) {
			var first workerMessage
			var running sync.WaitGroup
			defer running.Wait()
			rejectAttempt := workerAction(func(conn net.Conn, message workerMessage) {
				first = message
				writeResponse(conn, message, c.response, "-", "")
			})
			repeatRejection := workerAction(func(conn net.Conn, message workerMessage) {
				running.Add(1)
				go func() {
					defer running.Done()
					writeResponse(first.conn, first, c.response, "-", "")
					time.Sleep(100 * time.Millisecond)
					respondServed(conn, message)
				}()
			})
			worker := newFakeWorker(t, "w1", rejectAttempt, repeatRejection)
			h := newHarness(t, "load", worker)
			if c.maxConns > 0 {
				h.onLoop(func() { h.dispatcher.clients.workers.maxConns = c.maxConns })
			}
			h.expect(c.group, "returned")
			if n := len(worker.messages("invoke")); n != 2 {
				t.Errorf("%d attempts, want 2", n)
			}
		})
	}
}
