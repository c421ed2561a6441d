package emulator

import "math"

// minLoadTime is the least duration of a fetch and of a boot, so that each ends in an event of its own.
const minLoadTime = 1e-6 // s

// acceptLoad handles a load request.
func (f *Fleet) acceptLoad(w *worker, r *Request, spec *ModelSpec) {
	f.emitEvent(w, EventLoadRequested, r)
	if w.hasFault(FaultHang) {
		r.Silenced = true
		return
	}
	mr := w.replicasOf(r.Model, spec)
	mr.idleSince = f.now
	if mr.ready >= r.Replicas {
		r.Outcome = Served
		r.EndedAt = f.now
		r.Replicas = mr.ready
		return
	}
	if !mr.isLoading && !f.startLoad(w, mr) {
		r.Outcome = RejectedFull
		r.EndedAt = f.now
		r.Replicas = mr.ready
		return
	}
	mr.loadRequests = append(mr.loadRequests, r)
}

// startLoad begins to load one more replica. It returns false if loads, memory or the store are at their limits.
func (f *Fleet) startLoad(w *worker, mr *modelReplicas) bool {
	loading := 0
	for _, other := range w.active {
		if other.isLoading {
			loading++
		}
	}
	if loading >= w.spec.ConcurrentLoads || !f.freeMemory(w, mr) {
		return false
	}
	if !mr.imageCached && f.spec.Store.Limit > 0 && f.fetching >= f.spec.Store.Limit {
		f.FetchesRejected++
		return false
	}
	mr.isLoading = true
	mr.bootLeft = math.Max(minLoadTime, mr.spec.BootTime)
	mr.fetchLeft = 0
	w.memory += mr.spec.MemoryMB
	if !mr.imageCached {
		f.fetching++
		f.storeChanged = true
		f.Fetches++
		mr.fetchLeft = math.Max(minLoadTime, mr.spec.FetchTime)
		f.emitEvent(w, EventFetchStarted, &Request{Model: mr.name})
	}
	f.emitEvent(w, EventLoadStarted, &Request{Model: mr.name})
	return true
}

// freeMemory unloads replicas of other models, longest idle first, until one more replica of the model fits. It returns
// false if that is not possible; replicas that it has unloaded by then stay unloaded.
func (f *Fleet) freeMemory(w *worker, mr *modelReplicas) bool {
	for w.memory+mr.spec.MemoryMB > w.spec.MemoryMB {
		var longestIdle *modelReplicas
		for _, other := range w.active {
			if other == mr || !other.idle() {
				continue
			}
			if longestIdle == nil || other.idleSince < longestIdle.idleSince {
				longestIdle = other
			}
		}
		if longestIdle == nil {
			return false
		}
		f.unloadOne(w, longestIdle)
	}
	return true
}

func (f *Fleet) unloadOne(w *worker, mr *modelReplicas) {
	mr.ready--
	w.memory -= mr.spec.MemoryMB
	f.emitEvent(w, EventUnloaded, &Request{Model: mr.name})
}

func (f *Fleet) unloadIdle(w *worker, mr *modelReplicas) {
	for mr.ready > mr.busy {
		f.unloadOne(w, mr)
	}
}

// Unload unloads the idle replicas of a model.
func (f *Fleet) Unload(now float64, worker int, model string) {
	w := f.workers[worker]
	f.beginChange(now, w)
	defer f.endChange(w)
	if mr := w.replicas[model]; mr != nil {
		f.unloadIdle(w, mr)
	}
}

// advanceReplicas advances a model's load and the idle timeout of its replicas by elapsed seconds, during which a fetch
// took storeSlowdown times as long as a single one.
func (f *Fleet) advanceReplicas(w *worker, mr *modelReplicas, elapsed, storeSlowdown float64) {
	switch {
	case mr.fetching():
		mr.fetchLeft -= elapsed / storeSlowdown
		if mr.fetchLeft <= completionTolerance {
			mr.fetchLeft = 0
			f.fetching--
			f.storeChanged = true
		}
	case mr.isLoading:
		mr.bootLeft -= elapsed
		if mr.bootLeft <= completionTolerance {
			f.finishLoad(w, mr)
		}
	case w.spec.IdleTimeout > 0 && mr.idle() && f.now >= mr.idleSince+w.spec.IdleTimeout-completionTolerance:
		f.unloadIdle(w, mr)
	}
}

func (f *Fleet) finishLoad(w *worker, mr *modelReplicas) {
	mr.isLoading = false
	mr.imageCached = true
	mr.ready++
	mr.idleSince = f.now
	f.emitEvent(w, EventLoaded, &Request{Model: mr.name})
	for _, r := range mr.loadRequests {
		r.Outcome = Served
		r.Replicas = mr.ready
		r.EndedAt = f.now
		f.finished = append(f.finished, r)
	}
	mr.loadRequests = nil
	f.runWaiting(w, mr)
}
