package eventloop

// Timer fires once at a time of the loop's clock. It is meant to be a field of the record it serves: starting,
// moving and stopping it allocates nothing. The zero Timer with Fire set is ready to use.
type Timer struct {
	Fire     func() // called on the loop
	at       float64
	seq      uint64
	position int // place in the heap, counted from 1; 0 when stopped
}

// Pending tells whether the timer is started and has not fired.
func (t *Timer) Pending() bool { return t.position > 0 }

// timerHeap is a binary heap by time, then by order of starting.
type timerHeap struct {
	items []*Timer
	seq   uint64
}

func (h *timerHeap) before(a, b *Timer) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

func (h *timerHeap) place(i int, t *Timer) { h.items[i], t.position = t, i+1 }

func (h *timerHeap) siftUp(i int) {
	t := h.items[i]
	for i > 0 && h.before(t, h.items[(i-1)/2]) {
		h.place(i, h.items[(i-1)/2])
		i = (i - 1) / 2
	}
	h.place(i, t)
}

func (h *timerHeap) siftDown(i int) {
	t := h.items[i]
	for {
		c := 2*i + 1
		if c >= len(h.items) {
			break
		}
		if c+1 < len(h.items) && h.before(h.items[c+1], h.items[c]) {
			c++
		}
		if !h.before(h.items[c], t) {
			break
		}
		h.place(i, h.items[c])
		i = c
	}
	h.place(i, t)
}

// start sets the timer, or moves it when it is pending.
func (h *timerHeap) start(t *Timer, at float64) {
	h.stop(t)
	h.seq++
	t.at, t.seq = at, h.seq
	h.items = append(h.items, t)
	h.siftUp(len(h.items) - 1)
}

func (h *timerHeap) stop(t *Timer) {
	if t.position == 0 {
		return
	}
	i, last := t.position-1, len(h.items)-1
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

// popDue takes the first timer off if its time has come.
func (h *timerHeap) popDue(now float64) *Timer {
	if len(h.items) == 0 || h.items[0].at > now {
		return nil
	}
	t := h.items[0]
	h.stop(t)
	return t
}
