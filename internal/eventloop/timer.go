//go:build linux

package eventloop

import "math"

// Timer fires once, at a given time of the loop's clock. It is meant to be a field of the struct that uses it: starting,
// moving and cancelling it does not allocate. The zero Timer with Fire set is ready for use. A pending Timer must not be
// copied.
type Timer struct {
	Fire     func()  // called on the loop
	dueAt    float64 // on the loop's clock, s
	sequence uint64  // breaks ties between timers due at the same time: the one started first fires first
	position int     // index in the heap plus one; 0 while not pending
}

// Pending reports whether the timer has been started and has neither fired nor been cancelled.
func (t *Timer) Pending() bool { return t.position > 0 }

// StartTimer makes the timer fire after the given number of seconds. It moves a pending timer.
func (l *Loop) StartTimer(t *Timer, after float64) { l.timers.start(t, l.now+math.Max(0, after)) }

// CancelTimer stops a timer; it has no effect on one that is not pending.
func (l *Loop) CancelTimer(t *Timer) { l.timers.stop(t) }

// runTimers fires the timers that are due as of the latest poll.
func (l *Loop) runTimers() {
	for range maxTimersPerTurn {
		t := l.timers.popDue(l.now)
		if t == nil {
			break
		}
		l.Stats.TimerLatenessNs.Store(int64((l.now - t.dueAt) * 1e9))
		t.Fire()
	}
}

// timerHeap is a binary heap of timers, ordered by due time and then by sequence.
type timerHeap struct {
	items    []*Timer
	sequence uint64
}

func (h *timerHeap) before(a, b *Timer) bool {
	return a.dueAt < b.dueAt || a.dueAt == b.dueAt && a.sequence < b.sequence
}

func (h *timerHeap) place(i int, t *Timer) {
	h.items[i] = t
	t.position = i + 1
}

func (h *timerHeap) siftUp(i int) {
	t := h.items[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !h.before(t, h.items[parent]) {
			break
		}
		h.place(i, h.items[parent])
		i = parent
	}
	h.place(i, t)
}

func (h *timerHeap) siftDown(i int) {
	t := h.items[i]
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.before(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.before(h.items[child], t) {
			break
		}
		h.place(i, h.items[child])
		i = child
	}
	h.place(i, t)
}

// start adds the timer, or moves it if it is pending.
func (h *timerHeap) start(t *Timer, at float64) {
	h.stop(t)
	h.sequence++
	t.dueAt = at
	t.sequence = h.sequence
	h.items = append(h.items, t)
	h.siftUp(len(h.items) - 1)
}

// stop removes the timer if it is pending. The last timer of the heap takes its position and is sifted up or down.
func (h *timerHeap) stop(t *Timer) {
	if t.position == 0 {
		return
	}
	i := t.position - 1
	last := len(h.items) - 1
	t.position = 0
	moved := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	if i == last {
		return
	}
	h.place(i, moved)
	h.siftUp(i)
	h.siftDown(moved.position - 1)
}

// popDue removes and returns the first timer if it is due, or returns nil.
func (h *timerHeap) popDue(now float64) *Timer {
	if len(h.items) == 0 || h.items[0].dueAt > now {
		return nil
	}
	t := h.items[0]
	h.stop(t)
	return t
}
