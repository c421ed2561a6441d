//go:build linux

package eventloop

import (
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"
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

// An idle loop that gets its processor counts no stalls.
func TestIdleLoopCountsNoStalls(t *testing.T) {
	l, onLoop := startLoop(t, 0)
	ln := listen(t, l, onLoop, newEchoHandler)
	c := dial(t, ln)
	for range 12 {
		time.Sleep(31 * time.Millisecond)
		c.Write([]byte("x"))
		io.ReadFull(c, make([]byte, 1))
	}
	if n := l.Stats.Stalls.Load(); n > 1 { // one may be the machine's
		t.Errorf("%d stalls", n)
	}
}
