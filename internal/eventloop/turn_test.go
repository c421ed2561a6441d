//go:build linux

package eventloop

import (
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"mastchute/internal/syscalls"
)

func TestPostFromManyGoroutines(t *testing.T) {
	l, onLoop := startLoop(t, 0)
	n := 0
	var wg sync.WaitGroup
	for range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 500 {
				l.Post(func() { n++ })
			}
		}()
	}
	wg.Wait()
	for range 20 { // more were posted than one turn runs
		onLoop(func() {})
	}
	onLoop(func() {
		if n != 8000 {
			t.Errorf("%d of 8000 ran", n)
		}
	})
}

// A connection that never stops sending gets one read a poll, so that another is served beside it; more only after a
// stall of the loop, when it has to catch up.
func TestFloodDoesNotStarve(t *testing.T) {
	l, onLoop := startLoop(t, 0)
	var twice, reads atomic.Int64
	ln := listen(t, l, onLoop, func(*Conn) Handler {
		last := int64(-1)
		return &handlerFuncs{received: func(c *Conn, b []byte) int {
			if l.polls.count == last && !l.polls.catchingUp {
				twice.Add(1)
			}
			last = l.polls.count
			reads.Add(1)
			if len(b) == 1 {
				c.Write(b)
			}
			return len(b)
		}}
	})
	flood := dial(t, ln)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		junk := make([]byte, 1<<20)
		for {
			select {
			case <-stop:
				return
			default:
				if _, err := flood.Write(junk); err != nil {
					return
				}
			}
		}
	}()
	c := dial(t, ln)
	for i := range 200 {
		c.Write([]byte{'x'})
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Fatalf("ping %d beside the flood: %v", i, err)
		}
	}
	second := twice.Load() // a peer that has closed is read to its end at once
	close(stop)
	flood.Close()
	wg.Wait()
	if second > 0 || reads.Load() < 150 {
		t.Errorf("%d second reads in one poll, of %d", second, reads.Load())
	}
}

// withheldKernel measures for how long the loop did not run although it could have: how much longer than asked for a wait
// took, and in the turn from the end of a wait to the next one, for how long its thread was runnable without a processor. A
// turn that takes long for a reason of its own does not count. Its fields belong to the loop.
type withheldKernel struct {
	syscalls.Kernel
	returnedDelay time.Duration // run delay of the thread at the end of the latest wait
	interrupted   time.Duration // interrupted waits, which count as no polls
	latest        time.Duration // withheld from the end of the previous poll to the end of the latest
	previous      time.Duration // the same of the previous poll
}

func (k *withheldKernel) EpollWait(epoll int, events []unix.EpollEvent, ms int) (int, error) {
	turnDelay := runDelay() - k.returnedDelay
	called := time.Now()
	n, err := k.Kernel.EpollWait(epoll, events, ms)
	wait := time.Since(called)
	k.returnedDelay = runDelay()
	if err == unix.EINTR {
		k.interrupted += turnDelay + wait
		return n, err
	}
	overrun := max(0, wait-time.Duration(ms)*time.Millisecond)
	k.previous = k.latest
	k.latest = k.interrupted + turnDelay + overrun
	k.interrupted = 0
	return n, err
}

// runDelay returns for how long the calling thread has been runnable and waited for a processor since its start, 0 where the
// kernel does not count it.
func runDelay() time.Duration {
	text, err := os.ReadFile("/proc/thread-self/schedstat")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text)) // time run, run delay, number of time slices
	if len(fields) < 2 {
		return 0
	}
	ns, _ := strconv.ParseInt(fields[1], 10, 64)
	return time.Duration(ns)
}

// withheld returns for how long the loop did not run in the span by which stalls are judged: from the start of the previous
// poll until now.
func (k *withheldKernel) withheld() time.Duration {
	return k.previous + k.latest + runDelay() - k.returnedDelay
}

// An idle loop counts no stall unless it was denied its processor. Two waits of 40 ms each, the longest there are, leave 20
// ms up to the 100 ms from which a gap counts as a stall.
func TestIdleLoopCountsNoStalls(t *testing.T) {
	const leastWithheld = 20 * time.Millisecond
	kernel := &withheldKernel{Kernel: syscalls.Linux{}}
	syscalls.Default = kernel
	l, onLoop := startLoop(t, 0)
	syscalls.Default = syscalls.Linux{}
	var stallsBefore, reported, pollsBefore int64
	onLoop(func() {
		stallsBefore = l.Stats.Stalls.Load()
		pollsBefore = l.polls.count
		l.OnStall = func(span float64) {
			reported++
			withheld := kernel.withheld()
			if withheld < leastWithheld {
				t.Errorf("a stall of %.3f s is counted, and the loop was denied its processor for %v of it", span, withheld)
			}
		}
	})
	ln := listen(t, l, onLoop, newEchoHandler)
	c := dial(t, ln)
	for range 12 {
		time.Sleep(31 * time.Millisecond)
		c.Write([]byte("x"))
		io.ReadFull(c, make([]byte, 1))
	}
	time.Sleep(250 * time.Millisecond) // waits that end without events
	onLoop(func() {
		if n := l.Stats.Stalls.Load() - stallsBefore; n != reported {
			t.Errorf("%d stalls are counted, %d reported", n, reported)
		}
		if n := l.polls.count - pollsBefore; n < 14 {
			t.Errorf("%d polls: fewer than there were events", n)
		}
	})
}
