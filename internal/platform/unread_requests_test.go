package platform

import (
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"mastchute/internal/syscalls/faults"
)

// Requests keep being read and answered while most reads and writes fail for lack of memory and the others are short.
func TestRequestsAreReadWhileMostReadsFail(t *testing.T) {
	for _, call := range []faults.Call{faults.Read, faults.Write} {
		t.Run(string(call), func(t *testing.T) {
			kernel := newFailingKernel(t)
			h := newHarness(t, "load", newFakeWorker(t, "w1", respondServed))
			h.expect("read", "returned")
			client := h.dialAccepted()
			kernel.setPassEveryNth(10)
			kernel.maxTransfer.Store(7)
			kernel.failFor(call, unix.ENOBUFS, time.Minute)
			sentAt := time.Now()
			for range 5 {
				client.send("read", strings.Repeat("x", 2000))
				if reply, ok := client.readReply(); !ok || replyKind(reply) != "returned" {
					t.Errorf("%+v %v", reply, ok)
				}
			}
			if took := time.Since(sentAt); took > requestTimeoutMS*time.Millisecond {
				t.Errorf("five requests take %v", took)
			}
			if kernel.matchingCalls.Load() == 0 {
				t.Error("the call never failed")
			}
		})
	}
}
