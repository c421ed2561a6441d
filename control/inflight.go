package control

const minRequestSlots = 1024 // slots that are never released: scanning this many is cheap

// requestTable holds the requests in flight, in slots that are reused. Requests are scanned and released in the order of
// their slots.
type requestTable struct {
	slots []*request
	free  []int             // indexes of unused slots; the last one is reused first
	byID  map[RequestID]int // index of the slot
}

// acquire returns a new record for a request, which is in use until remove is called.
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

// lookup returns the record of a request, nil if there is none.
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

// anyQueuedFor reports whether a request is queued for a replica on a worker.
func (t *requestTable) anyQueuedFor(target *worker) bool {
	for _, req := range t.slots {
		if req.live && req.queuedFor != nil && req.queuedFor.worker == target {
			return true
		}
	}
	return false
}

// shrink releases the free slots after a burst, if there are more than minSlots slots and at least three quarters of them
// are free. Requests in flight keep their order.
func (t *requestTable) shrink(minSlots int) {
	if len(t.slots) <= minSlots || len(t.byID)*4 > len(t.slots) {
		return
	}
	compacted := make([]*request, 0, 2*len(t.byID))
	byID := make(map[RequestID]int, 2*len(t.byID))
	for _, req := range t.slots {
		if req.live {
			req.slot = len(compacted)
			byID[req.id] = len(compacted)
			compacted = append(compacted, req)
		}
	}
	t.slots = compacted
	t.byID = byID
	t.free = nil
}
