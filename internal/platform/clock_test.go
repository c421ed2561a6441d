package platform

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"mastchute/internal/syscalls"
	"mastchute/internal/syscalls/faults"
)

// newSteppedClock is a wall clock that a test steps.
func newSteppedClock(t *testing.T) *atomic.Int64 {
	var by atomic.Int64
	syscalls.Default = &faults.Kernel{Kernel: syscalls.Linux{}, Offset: func() time.Duration { return time.Duration(by.Load()) }}
	t.Cleanup(func() { syscalls.Default = syscalls.Linux{} })
	return &by
}

// A start told in service is one of a moment ago, whatever the wall clocks did: ours, the one that the change log tells by, or
// both, by seconds or an hour; of a worker that is new, of one that had a start, and of one that was told to be up for long.
func TestStartsUnderSteppedClocks(t *testing.T) {
	for _, was := range []string{"new", "started", "long up"} {
		for _, ours := range []time.Duration{0, time.Hour, -time.Hour, 4 * time.Second, -4 * time.Second} {
			for _, theirs := range []time.Duration{0, time.Hour, -time.Hour, 4 * time.Second} {
				t.Run(fmt.Sprintf("%s, ours %v, theirs %v", was, ours, theirs), func(t *testing.T) {
					by := newSteppedClock(t)
					w := newFakeWorker(t, "w1", respondServed)
					r := newHarness(t, "load")
					told := 1
					tell := func(up int64) {
						r.changeLog.publish(false, w.memberJSON("active", up))
						told++
						r.waitFor("it is heard", func() bool { return r.dispatcher.watch.lastSeq == int64(told) })
					}
					switch was {
					case "started":
						tell(time.Now().Add(-time.Minute).UnixMilli())
					case "long up":
						tell(0)
					}
					by.Store(int64(ours))
					tell(time.Now().Add(theirs).UnixMilli())
					r.onLoop(func() {
						if age := r.dispatcher.Loop.Now() - r.dispatcher.Gateway.Members.ByName("w1").Advertised().StartedAt; age < 0 || age > 3.5 {
							t.Errorf("a start of now is %g s old", age)
						}
					})
				})
			}
		}
	}
}

// The same start told again is no other, also after a step of the wall clock, and one heard of before is no news.
func TestSameStartUnderSteppedClocks(t *testing.T) {
	by := newSteppedClock(t)
	w := newFakeWorker(t, "w1", respondServed)
	r := newHarness(t, "load")
	first := time.Now().UnixMilli()
	second := first + 40
	r.changeLog.publish(false, w.memberJSON("active", first))
	r.changeLog.publish(false, w.memberJSON("active", second))
	r.waitFor("both are heard", func() bool { return r.dispatcher.watch.lastSeq == 3 })
	var start float64
	r.onLoop(func() { start = r.dispatcher.Gateway.Members.ByName("w1").Advertised().StartedAt })
	by.Store(int64(time.Hour))
	r.changeLog.publish(false, w.memberJSON("leaving", second))
	r.changeLog.publish(false, w.memberJSON("active", second))
	r.changeLog.publish(false, w.memberJSON("active", first))
	r.waitFor("all are heard", func() bool { return r.dispatcher.watch.lastSeq == 6 })
	r.onLoop(func() {
		if s := r.dispatcher.Gateway.Members.ByName("w1").Advertised().StartedAt; s != start {
			t.Errorf("the start moved from %g to %g", start, s)
		}
	})
}
