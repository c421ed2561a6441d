package platform

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"mastchute/internal/syscalls/faults"
)

// Clients that connect while accept fails temporarily get responses, both while serving and while draining.
func TestTransientAcceptFailures(t *testing.T) {
	t.Run("serving", testAcceptFailuresServing)
	t.Run("draining", testAcceptFailuresDraining)
}

// Connections in the accept queue are served although every second accept fails.
func testAcceptFailuresServing(t *testing.T) {
	for _, errno := range []syscall.Errno{unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EMFILE, unix.ECONNABORTED, unix.EINTR, unix.EPROTO} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			kernel := newFailingKernel(t)
			h := newHarness(t, "load", newFakeWorker(t, "w1", respondServed))
			h.expect("read", "returned")
			kernel.setFailEveryNth(2)
			kernel.failFor(faults.Accept, errno, 300*time.Millisecond)
			h.sendAll(t, 12, "returned")
			if kernel.matchingCalls.Load() == 0 {
				t.Error("accept never failed")
			}
		})
	}
}

// Connections in the accept queue while accept fails during a shutdown get responses before the process ends.
func testAcceptFailuresDraining(t *testing.T) {
	kernel := newFailingKernel(t)
	h := newHarness(t, "load", newFakeWorker(t, "w1", respondServed))
	h.expect("read", "returned")
	h.onLoop(h.dispatcher.Stop)
	time.Sleep(650 * time.Millisecond)
	kernel.failFor(faults.Accept, unix.ENFILE, 300*time.Millisecond)
	var clients []*testClient
	for range 12 {
		client := h.dial()
		client.send("read", "in")
		clients = append(clients, client)
	}
	closed := 0
	for _, client := range clients {
		if _, ok := client.readReply(); !ok {
			closed++
		}
	}
	if closed > 0 || kernel.matchingCalls.Load() == 0 {
		t.Errorf("%d of 12 closed without a reply; accept failed %d times", closed, kernel.matchingCalls.Load())
	}
}

// Temporary failures of system calls, as documented for Linux, lose no request, make no deadline too long and do not count
// against the worker, even while reads and writes transfer only a few bytes each.
func TestTransientSocketFailures(t *testing.T) {
	const duration = 300 * time.Millisecond
	for _, c := range []struct {
		call        faults.Call
		errno       syscall.Errno
		maxTransfer int // bytes; 0 for no limit
	}{{faults.EpollControl, unix.ENOMEM, 0}, {faults.EpollControl, unix.ENOSPC, 0}, {faults.Read, unix.ENOMEM, 0}, {faults.Read, unix.ENOBUFS, 9},
		{faults.Read, unix.EINTR, 9}, {faults.Write, unix.ENOBUFS, 0}, {faults.Write, unix.ENOMEM, 9}, {faults.Write, unix.EINTR, 9},
		{faults.Write, unix.EAGAIN, 9}, {faults.Socket, unix.ENFILE, 0}, {faults.Socket, unix.EMFILE, 0}, {faults.Connect, unix.EADDRNOTAVAIL, 0},
		{faults.Connect, unix.ENETUNREACH, 0}, {faults.Connect, unix.ENOBUFS, 0}, {faults.Connect, unix.EINTR, 0}, {faults.EpollWait, unix.EINTR, 0}} {
		t.Run(string(c.call)+" "+unix.ErrnoName(c.errno), func(t *testing.T) {
			kernel := newFailingKernel(t)
			worker := newFakeWorker(t, "w1", respondServed)
			h := newHarness(t, "load", worker)
			h.onLoop(func() { h.dispatcher.clients.workers.connectTimeout = 1 }) // longer than the failure
			kernel.maxTransfer.Store(int64(c.maxTransfer))
			kernel.setFailEveryNth(1)
			if c.call == faults.EpollWait || c.errno == unix.EINTR && c.call != faults.Connect {
				kernel.setFailEveryNth(2) // Linux does not interrupt a call every time
			}
			kernel.failFor(c.call, c.errno, duration)
			sent := h.sendAll(t, 10, "returned")
			if kernel.matchingCalls.Load() == 0 {
				t.Error("the call never failed")
			}
			if n := h.attemptCount("connect_failed") + h.attemptCount("reset"); n > 0 {
				t.Errorf("%g attempts count against the worker", n)
			}
			for _, message := range worker.messages("invoke") {
				deadline := workerDeadline(t, message)
				left := requestTimeoutMS*time.Millisecond - message.at.Sub(sent[message.id])
				if deadline > left+200*time.Millisecond {
					t.Errorf("an attempt has a deadline of %v, but its request has %v left", deadline, left)
				}
			}
		})
	}
}

// attemptCount returns how many attempts ended with a result, from the metrics.
func (h *harness) attemptCount(result string) float64 {
	h.t.Helper()
	return h.counterSum("mastchute_forward_ends_total", result)
}

// counterSum returns the sum of a metric's counters that have all of the given label values.
func (h *harness) counterSum(name string, labelValues ...string) (sum float64) {
	h.t.Helper()
	families, err := h.dispatcher.Gateway.Metrics.Registry.Gather()
	if err != nil {
		h.t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.Metric {
			values := map[string]bool{}
			for _, label := range metric.Label {
				values[label.GetValue()] = true
			}
			missing := slices.ContainsFunc(labelValues, func(value string) bool { return !values[value] })
			if !missing {
				sum += metric.Counter.GetValue()
			}
		}
	}
	return sum
}

// A message that arrives slowly because local reads fail is not counted as stalled.
func TestLocalReadFailuresAreNotStalls(t *testing.T) {
	kernel := newFailingKernel(t)
	h := newHarness(t, "load", newFakeWorker(t, "w1", respondServed))
	h.expect("read", "returned")
	client := h.dial()
	h.waitUntil("the connection is accepted", func() bool { return h.dispatcher.clients.connCount > 0 })
	kernel.setFailEveryNth(2)
	kernel.maxTransfer.Store(2)
	kernel.failFor(faults.Read, unix.ENOBUFS, 1900*time.Millisecond)
	client.send("read", "in")
	if reply, ok := client.readReply(); !ok || replyKind(reply) != "returned" {
		t.Errorf("%+v %v", reply, ok)
	}
	if n := h.dropCount("message_stalled"); n > 0 {
		t.Errorf("%d messages count as stalled", n)
	}
}
