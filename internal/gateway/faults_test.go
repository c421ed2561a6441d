package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"mastchute/internal/syscalls"
	"mastchute/internal/syscalls/faults"
)

// An attempt that waits for its connection is sent with the time that its client has left by then.
func TestDeadlineOfALateConnection(t *testing.T) {
	var until atomic.Int64
	syscalls.Default = &faults.Kernel{Kernel: syscalls.Linux{}, Fail: func(c faults.Call, _ int) error {
		if c == faults.Connect && time.Now().UnixNano() < until.Load() {
			return unix.EADDRNOTAVAIL
		}
		return nil
	}}
	t.Cleanup(func() { syscalls.Default = syscalls.Linux{} })
	w := newWorker(t, "w1", succeed)
	h := newHarness(t, "limits: {connect_timeout: 2s}\n", nil, w)
	h.on(func() { h.gateway.CloseIdleConnections(h.gateway.Members.All()[0].ID) })
	sent := time.Now()
	until.Store(sent.Add(500 * time.Millisecond).UnixNano())
	if a := h.post("read-1", "Mastchute-Timeout: 2\r\n", "in"); a.outcome != "returned" {
		t.Errorf("%+v", a)
	}
	for _, s := range w.received() {
		told, err := strconv.ParseFloat(s.header.Get("Mastchute-Timeout"), 64)
		if err != nil {
			continue // a question for its start
		}
		left := 2 - s.at.Sub(sent).Seconds()
		if told > left+0.15 {
			t.Errorf("a deadline of %g s, and %g s are left", told, left)
		}
	}
}

// A connection that this machine has no means for says nothing of the worker.
func TestLocalFailuresSpareTheWorker(t *testing.T) {
	var fails atomic.Bool
	syscalls.Default = &faults.Kernel{Kernel: syscalls.Linux{}, Fail: func(c faults.Call, _ int) error {
		if c == faults.Connect && fails.Load() {
			return unix.EADDRNOTAVAIL
		}
		return nil
	}}
	t.Cleanup(func() { syscalls.Default = syscalls.Linux{} })
	h := newHarness(t, "limits: {connect_timeout: 30ms}\n", nil, newWorker(t, "w1", succeed))
	h.on(func() { h.gateway.CloseIdleConnections(h.gateway.Members.All()[0].ID) })
	fails.Store(true)
	for range 5 {
		if a := h.post("read-1", "", "in"); a.outcome != "shed" {
			t.Errorf("%+v", a)
		}
	}
	if n := h.counterValue("mastchute_forward_ends_total", "connect_failed"); n > 0 {
		t.Errorf("%g attempts count against the worker", n)
	}
	fails.Store(false)
	h.expect("read-1", 200, "returned")
}

// Requests that cross a stop are answered: those unread in the kernel, and those of
// connections that wait to be accepted.
func TestStopReadsFirst(t *testing.T) {
	h := newHarness(t, "", nil, newWorker(t, "w1", succeed))
	rested := h.dial()
	br := bufio.NewReader(rested)
	text := "POST /v2/models/read-1/infer HTTP/1.1\r\nHost: g\r\nContent-Length: 2\r\n\r\nin"
	if a := exchange(rested, br, text); a.outcome != "returned" {
		t.Fatalf("%+v", a)
	}
	fresh := []net.Conn{}
	h.on(func() { // the loop looks at nothing meanwhile
		io.WriteString(rested, text)
		for range 5 {
			n := h.dial()
			io.WriteString(n, text)
			fresh = append(fresh, n)
		}
		time.Sleep(20 * time.Millisecond)
		h.gateway.Stop(2)
	})
	for i, conn := range append(fresh, rested) {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("connection %d: %v", i, err)
			continue
		}
		resp.Body.Close()
		if resp.StatusCode != 200 && resp.StatusCode != 503 {
			t.Errorf("connection %d: %d", i, resp.StatusCode)
		}
	}
}

// Two starts under one wall clock, as a stepped one can tell the same time twice, give their requests different names:
// they are the marks by which workers drop repeats.
func TestStartsNameTheirRequests(t *testing.T) {
	at := time.Now()
	syscalls.Default = frozenClockKernel{syscalls.Linux{}, at}
	t.Cleanup(func() { syscalls.Default = syscalls.Linux{} })
	names := map[string]bool{}
	for range 3 {
		h := newHarness(t, "", nil, newWorker(t, "w1", succeed))
		h.on(func() { names[h.gateway.requestIDPrefix] = true })
	}
	if len(names) != 3 {
		t.Errorf("%d names for 3 starts: %v", len(names), fmt.Sprint(names))
	}
}

// frozenClockKernel is a kernel whose wall clock stands.
type frozenClockKernel struct {
	syscalls.Kernel
	at time.Time
}

func (k frozenClockKernel) WallClock() time.Time { return k.at }
