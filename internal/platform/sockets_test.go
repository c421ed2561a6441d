package platform

import (
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"mastchute/internal/syscalls/faults"
)

// System calls that fail for a moment as Linux documents lose no request, pass no deadline on that is too long, and say
// nothing of a worker's health; also where reads and writes come in scraps meanwhile.
func TestPassingFailuresOfSockets(t *testing.T) {
	const span = 300 * time.Millisecond
	for _, c := range []struct {
		call  faults.Call
		errno syscall.Errno
		scrap int // bytes that a read or write takes at most
	}{{faults.EpollControl, unix.ENOMEM, 0}, {faults.EpollControl, unix.ENOSPC, 0}, {faults.Read, unix.ENOMEM, 0}, {faults.Read, unix.ENOBUFS, 9},
		{faults.Read, unix.EINTR, 9}, {faults.Write, unix.ENOBUFS, 0}, {faults.Write, unix.ENOMEM, 9}, {faults.Write, unix.EINTR, 9},
		{faults.Write, unix.EAGAIN, 9}, {faults.Socket, unix.ENFILE, 0}, {faults.Socket, unix.EMFILE, 0}, {faults.Connect, unix.EADDRNOTAVAIL, 0},
		{faults.Connect, unix.ENETUNREACH, 0}, {faults.Connect, unix.ENOBUFS, 0}, {faults.Connect, unix.EINTR, 0}, {faults.EpollWait, unix.EINTR, 0}} {
		t.Run(string(c.call)+" "+unix.ErrnoName(c.errno), func(t *testing.T) {
			k := newFailingKernel(t)
			w := newFakeWorker(t, "w1", respondServed)
			r := newHarness(t, "load", w)
			r.onLoop(func() { r.dispatcher.clients.workers.connectTimeout = 1 }) // longer than the failure
			k.maxTransfer.Store(int64(c.scrap))
			k.setFailEveryNth(1)
			if c.call == faults.EpollWait || c.errno == unix.EINTR && c.call != faults.Connect {
				k.setFailEveryNth(2) // one that is interrupted each time is no failure that Linux has
			}
			k.failFor(c.call, c.errno, span)
			sent := r.sendAll(t, 10, "returned")
			if k.failures.Load() == 0 {
				t.Error("the call never failed")
			}
			if n := r.attemptCount("connect_failed") + r.attemptCount("reset"); n > 0 {
				t.Errorf("%g attempts count against the worker", n)
			}
			for _, m := range w.messages("invoke") {
				if b, left := workerDeadline(t, m), requestTimeoutMS*time.Millisecond-m.at.Sub(sent[m.id]); b > left+200*time.Millisecond {
					t.Errorf("a deadline of %v, and %v are left", b, left)
				}
			}
		})
	}
}

// attemptCount counts the attempts that ended in a way, as the metrics tell.
func (r *harness) attemptCount(result string) (sum float64) {
	r.t.Helper()
	list, err := r.dispatcher.Gateway.Metrics.Registry.Gather()
	if err != nil {
		r.t.Fatal(err)
	}
	for _, f := range list {
		for _, m := range f.Metric {
			for _, l := range m.Label {
				if f.GetName() == "mastchute_forward_ends_total" && l.GetValue() == result {
					sum += m.Counter.GetValue()
				}
			}
		}
	}
	return sum
}
