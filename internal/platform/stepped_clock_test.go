package platform

import (
	"fmt"
	"testing"
	"time"
)

// A start that appears in the change log in service is one of a moment ago, however the wall clocks of this machine and of
// the change log were stepped: for a new worker, for one with an earlier start, and for one that has been up for long.
func TestStartsUnderSteppedClocks(t *testing.T) {
	for _, before := range []string{"new", "started", "long up"} {
		for _, localStep := range []time.Duration{0, time.Hour, -time.Hour, 4 * time.Second, -4 * time.Second} {
			for _, remoteStep := range []time.Duration{0, time.Hour, -time.Hour, 4 * time.Second} {
				t.Run(fmt.Sprintf("%s, local step %v, remote step %v", before, localStep, remoteStep), func(t *testing.T) {
					checkStartUnderSteps(t, before, localStep, remoteStep)
				})
			}
		}
	}
}

func checkStartUnderSteps(t *testing.T, before string, localStep, remoteStep time.Duration) {
	clock := newSteppedClock(t)
	worker := newFakeWorker(t, "w1", respondServed)
	h := newHarness(t, "load")
	events := 1
	publish := func(upSinceMS int64) {
		h.changeLog.publish(false, worker.memberJSON("active", upSinceMS))
		events++
		h.waitFor("the event is applied", func() bool { return h.dispatcher.watch.lastSeq == int64(events) })
	}
	switch before {
	case "started":
		publish(time.Now().Add(-time.Minute).UnixMilli())
	case "long up":
		publish(0)
	}
	clock.Store(int64(localStep))
	publish(time.Now().Add(remoteStep).UnixMilli())
	h.onLoop(func() {
		age := h.dispatcher.Loop.Now() - h.dispatcher.Gateway.Members.ByName("w1").Advertised().StartedAt
		if age < 0 || age > 3.5 {
			t.Errorf("a start of now is %g s old", age)
		}
	})
}

// A start that the change log repeats is the same start, also after a step of the wall clock, and so is an earlier one.
func TestSameStartUnderSteppedClocks(t *testing.T) {
	clock := newSteppedClock(t)
	worker := newFakeWorker(t, "w1", respondServed)
	h := newHarness(t, "load")
	first := time.Now().UnixMilli()
	second := first + 40
	h.changeLog.publish(false, worker.memberJSON("active", first))
	h.changeLog.publish(false, worker.memberJSON("active", second))
	h.waitFor("both events are applied", func() bool { return h.dispatcher.watch.lastSeq == 3 })
	var start float64
	h.onLoop(func() { start = h.dispatcher.Gateway.Members.ByName("w1").Advertised().StartedAt })
	clock.Store(int64(time.Hour))
	h.changeLog.publish(false, worker.memberJSON("leaving", second))
	h.changeLog.publish(false, worker.memberJSON("active", second))
	h.changeLog.publish(false, worker.memberJSON("active", first))
	h.waitFor("all events are applied", func() bool { return h.dispatcher.watch.lastSeq == 6 })
	h.onLoop(func() {
		repeated := h.dispatcher.Gateway.Members.ByName("w1").Advertised().StartedAt
		if repeated != start {
			t.Errorf("the start moved from %g to %g", start, repeated)
		}
	})
}
