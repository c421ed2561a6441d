package control

const minRequestSlots = 1024 // slots that are never released: a sweep over so many costs little

// requestTable holds the requests in flight, in slots that are reused. Requests are swept and released in the order of the
// slots.
type requestTable struct {
	slots []*request
	free  []int // slots not in use, the next one last
	byID  map[RequestID]int
}

// acquire returns a blank record for a request, which stays in use until remove.
func (t *requestTable) acquire(id RequestID) *request {
	if len(t.free) == 0 {
		t.slots = append(t.slots, new(request))
		t.free = append(t.free, len(t.slots)-1)
	}
	slot := t.free[len(t.free)-1]
	t.free = t.free[:len(t.free)-1]
	*t.slots[slot] = request{id: id, slot: slot, live: true}
	t.byID[id] = slot
	return t.slots[slot]
}

// lookup returns the record of a request, nil for an unknown one.
func (t *requestTable) lookup(id RequestID) *request {
	slot, ok := t.byID[id]
	if !ok {
		return nil
	}
	return t.slots[slot]
}

// remove frees the slot of a request.
func (t *requestTable) remove(req *request) {
	req.live = false
	delete(t.byID, req.id)
	t.free = append(t.free, req.slot)
}

// empty reports whether no request is in flight.
func (t *requestTable) empty() bool { return len(t.byID) == 0 }

// anyHeldFor reports whether a request is held for a replica on a worker.
func (t *requestTable) anyHeldFor(target *worker) bool {
	for _, req := range t.slots {
		if req.live && req.heldFor != nil && req.heldFor.worker == target {
			return true
		}
	}
	return false
}

// shrink releases the free slots after a burst: if there are more than minSlots and three quarters of them are free.
// Requests in flight keep their order.
func (t *requestTable) shrink(minSlots int) {
	if len(t.slots) <= minSlots || len(t.byID)*4 > len(t.slots) {
		return
	}
	kept := make([]*request, 0, 2*len(t.byID))
	byID := make(map[RequestID]int, 2*len(t.byID))
	for _, req := range t.slots {
		if req.live {
			req.slot = len(kept)
			byID[req.id] = len(kept)
			kept = append(kept, req)
		}
	}
	t.slots = kept
	t.byID = byID
	t.free = nil
}
