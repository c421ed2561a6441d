package platform

import (
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mastchute/internal/syscalls"
	"mastchute/internal/syscalls/faults"
)

// failingKernel passes system calls to Linux, and injects the failures and stalls that a test sets.
type failingKernel struct {
	faults.Kernel

	mu           sync.Mutex // guards the fields below
	call         faults.Call
	errno        syscall.Errno
	until        time.Time
	failEveryNth int64 // 0 if each call fails
	passEveryNth int64 // 0 if no call passes, unless failEveryNth lets it

	matchingCalls   atomic.Int64 // calls of the failing system call, including those that failEveryNth let pass
	failureDelay    atomic.Int64 // ns that a failing call takes
	maxTransfer     atomic.Int64 // bytes that a read or write transfers at most; 0 for no limit
	stallBeforePoll atomic.Int64 // ns by which the next epoll_wait is delayed
	stallInRead     atomic.Int64 // ns by which the next read is delayed
}

// newFailingKernel returns a kernel that is used by all loops that the test creates afterwards.
func newFailingKernel(t *testing.T) *failingKernel {
	k := &failingKernel{Kernel: faults.Kernel{Kernel: syscalls.Linux{}}}
	k.Fail = func(c faults.Call, _ int) error {
		if c == faults.EpollWait {
			time.Sleep(time.Duration(k.stallBeforePoll.Swap(0)))
		}
		if c == faults.Read {
			time.Sleep(time.Duration(k.stallInRead.Swap(0)))
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		if c == k.call && time.Now().Before(k.until) {
			n := k.matchingCalls.Add(1)
			if k.passEveryNth > 0 && n%k.passEveryNth == 0 {
				return nil
			}
			if k.failEveryNth == 0 || n%k.failEveryNth == 0 {
				spin(time.Duration(k.failureDelay.Load()))
				return k.errno
			}
		}
		return nil
	}
	k.MaxBytes = func(_ faults.Call, _, n int) int {
		if limit := int(k.maxTransfer.Load()); limit > 0 {
			return limit
		}
		return n
	}
	syscalls.Default = k
	t.Cleanup(func() { syscalls.Default = syscalls.Linux{} })
	return k
}

// spin waits for a duration that may be shorter than the shortest sleep.
func spin(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		runtime.Gosched()
	}
}

// failFor makes a system call fail with errno for the given duration from now.
func (k *failingKernel) failFor(call faults.Call, errno syscall.Errno, duration time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.call = call
	k.errno = errno
	k.until = time.Now().Add(duration)
}

// setFailEveryNth makes only every nth of the calls fail.
func (k *failingKernel) setFailEveryNth(n int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failEveryNth = n
}

// setPassEveryNth makes every nth of the calls succeed.
func (k *failingKernel) setPassEveryNth(n int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.passEveryNth = n
}

// newSteppedClock replaces the wall clock by one that is stepped by the returned number of ns.
func newSteppedClock(t *testing.T) *atomic.Int64 {
	var step atomic.Int64
	syscalls.Default = &faults.Kernel{Kernel: syscalls.Linux{}, ClockOffset: func() time.Duration { return time.Duration(step.Load()) }}
	t.Cleanup(func() { syscalls.Default = syscalls.Linux{} })
	return &step
}
