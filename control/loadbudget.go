package control

// loadBudgetSlots is the number of slots that the window is divided into. A slot enters and leaves the window as a whole.
const loadBudgetSlots = 16

// loadBudget limits the load requests in a sliding window to a base plus a multiple of the client requests that arrived in
// it (rule 5).
type loadBudget struct {
	window     Seconds // 0 for no limit
	base       float64 // load requests allowed without any client request
	perRequest float64 // further load requests allowed for each client request

	loadRequests, requests [loadBudgetSlots + 1]float64 // counts by slot, the oldest first
	newestSlot             int64                        // number of the last slot, counted from time 0
}

// countRequest records the arrival of a client request.
func (b *loadBudget) countRequest(now Seconds) {
	if b.window > 0 {
		b.advance(now)
		b.requests[loadBudgetSlots]++
	}
}

// admitLoadRequest reports whether the budget allows another load request, and records it if so.
func (b *loadBudget) admitLoadRequest(now Seconds) bool {
	if b.window <= 0 {
		return true
	}
	b.advance(now)
	loadRequests, requests := b.totals()
	if loadRequests+1 > b.base+float64(b.perRequest*requests) {
		return false
	}
	b.loadRequests[loadBudgetSlots]++
	return true
}

// advance moves the window forward to now.
func (b *loadBudget) advance(now Seconds) {
	current := int64(now / b.window * loadBudgetSlots)
	for b.newestSlot = max(b.newestSlot, current-loadBudgetSlots-1); b.newestSlot < current; b.newestSlot++ {
		copy(b.loadRequests[:], b.loadRequests[1:])
		copy(b.requests[:], b.requests[1:])
		b.loadRequests[loadBudgetSlots] = 0
		b.requests[loadBudgetSlots] = 0
	}
}

// totals returns the counts within the window. The oldest slot is partly outside it: its load requests are counted and its
// client requests are not, so the limit is never exceeded.
func (b *loadBudget) totals() (loadRequests, requests float64) {
	for i := range b.loadRequests {
		loadRequests += b.loadRequests[i]
		if i > 0 {
			requests += b.requests[i]
		}
	}
	return loadRequests, requests
}
