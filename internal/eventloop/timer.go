package eventloop

// Timer fires once at a time of the loop's clock. It is meant to be a field of the record it serves: starting,
// moving and stopping it allocates nothing. The zero Timer with Fire set is ready to use.
type Timer struct {
	Fire func() // called on the loop
	at   float64
	seq  uint64
	i    int // place in the heap, counted from 1; 0 when stopped
}

// Pending tells whether the timer is started and has not fired.
func (t *Timer) Pending() bool { return t.i > 0 }

// timers is a binary heap by time, then by order of starting.
type timers struct {
	heap []*Timer
	seq  uint64
}

func (h *timers) before(a, b *Timer) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

func (h *timers) put(i int, t *Timer) { h.heap[i], t.i = t, i+1 }

func (h *timers) up(i int) {
	t := h.heap[i]
	for i > 0 && h.before(t, h.heap[(i-1)/2]) {
		h.put(i, h.heap[(i-1)/2])
		i = (i - 1) / 2
	}
	h.put(i, t)
}

func (h *timers) down(i int) {
	t := h.heap[i]
	for {
		c := 2*i + 1
		if c >= len(h.heap) {
			break
		}
		if c+1 < len(h.heap) && h.before(h.heap[c+1], h.heap[c]) {
			c++
		}
		if !h.before(h.heap[c], t) {
			break
		}
		h.put(i, h.heap[c])
		i = c
	}
	h.put(i, t)
}

// start sets the timer, or moves it when it is pending.
func (h *timers) start(t *Timer, at float64) {
	h.stop(t)
	h.seq++
	t.at, t.seq = at, h.seq
	h.heap = append(h.heap, t)
	h.up(len(h.heap) - 1)
}

func (h *timers) stop(t *Timer) {
	if t.i == 0 {
		return
	}
	i, last := t.i-1, len(h.heap)-1
	t.i = 0
	moved := h.heap[last]
	h.heap[last] = nil
	h.heap = h.heap[:last]
	if i == last {
		return
	}
	h.put(i, moved)
	h.up(i)
	h.down(moved.i - 1)
}

// due takes the first timer off if its time has come.
func (h *timers) due(now float64) *Timer {
	if len(h.heap) == 0 || h.heap[0].at > now {
		return nil
	}
	t := h.heap[0]
	h.stop(t)
	return t
}
