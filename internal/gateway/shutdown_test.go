package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

func TestShutdownFinishesRequestsInFlight(t *testing.T) {
	h := newHarness(t, "", nil, newWorker(t, "w1", delayed(200*time.Millisecond)))
	result := make(chan clientResponse, 1)
	go func() { result <- h.post("once-1", "", "in") }()
	h.until("it is in flight", func() bool { return h.gateway.inFlight == 1 })
	idle := h.dial()
	h.on(func() {})
	h.on(func() { h.gateway.Stop(5) })
	if response := <-result; response.status != 200 || response.outcome != "returned" {
		t.Errorf("%+v", response)
	}
	if _, err := idle.Read(make([]byte, 1)); err == nil {
		t.Error("an idle connection is not closed")
	}
	if err := h.running.Wait(); err != nil || h.gateway.ExitStatus() != (ExitStatus{}) {
		t.Errorf("%v %+v", err, h.gateway.ExitStatus())
	}
	if conn, err := net.Dial("tcp", h.gateway.Addr().String()); err == nil {
		conn.Close()
		t.Error("it still accepts")
	}
}

func TestExpiredGracePeriodFailsRequestsInFlight(t *testing.T) {
	h := newHarness(t, "", nil, newWorker(t, "w1", neverRespond))
	result := make(chan clientResponse, 1)
	go func() { result <- h.post("once-1", "", "in") }()
	h.until("it is in flight", func() bool { return h.gateway.inFlight == 1 })
	h.on(func() { h.gateway.Stop(30) })
	h.on(func() { h.gateway.Stop(0) })
	if response := <-result; response.status != 502 || response.outcome != "failed" {
		t.Errorf("%+v", response)
	}
	h.running.Wait()
	if status := h.gateway.ExitStatus(); status.CutOffRequests != 1 {
		t.Errorf("%+v", status)
	}
}

// Requests that cross a shutdown get a response: those that the kernel holds unread, and those on connections that have
// not been accepted yet.
func TestShutdownReadsWhatHasArrived(t *testing.T) {
	h := newHarness(t, "", nil, newWorker(t, "w1", succeed))
	request := inferRequest("read-1", "", "in")
	kept := h.dial()
	if response := exchange(kept, bufio.NewReader(kept), request); response.outcome != "returned" {
		t.Fatalf("%+v", response)
	}
	var fresh []net.Conn
	h.on(func() { // the loop reads nothing meanwhile
		io.WriteString(kept, request)
		for range 5 {
			conn := h.dial()
			io.WriteString(conn, request)
			fresh = append(fresh, conn)
		}
		time.Sleep(20 * time.Millisecond)
		h.gateway.Stop(2)
	})
	for i, conn := range append(fresh, kept) {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("connection %d: %v", i, err)
			continue
		}
		response.Body.Close()
		if response.StatusCode != 200 && response.StatusCode != 503 {
			t.Errorf("connection %d: %d", i, response.StatusCode)
		}
	}
}
